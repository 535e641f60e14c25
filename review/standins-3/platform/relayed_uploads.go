package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// relayedEdges edge machines, besides the first one, take long uploads, uploadsAtOnce each.
	relayedEdges   = 4
	uploadsAtOnce  = 14
	storeBytes     = 4 << 20 // the limit of the configuration
	relayedTime    = 4500 * time.Millisecond
	storeDeadline  = 3 * time.Second
	storePause     = 100 * time.Millisecond
	relayedOrderMS = 300
)

// runRelayedUploads lets all replicas of the model crash, after which some edge machines open
// their connections through another one, and the replicas of a store fall silent, which get long
// uploads. The platform kills a process that uses more than the memory of its machine. The rule is
// broken if more than three orders for a sound service, which the machine in between has read from
// kept connections and passed on, then end without an answer.
func runRelayedUploads(r *run) bool {
	f := newFleet(r.record, 1+relayedEdges, 5, edgeMemoryMB)
	r.fleet = f
	for range 3 {
		f.startReplica("shop", 64, orderBytes).work = relayedOrderMS * time.Millisecond
	}
	for range 2 {
		f.startStoreReplica(r.trouble)
	}
	crashed := f.announceModel(r)
	c := configuration(100_000_000)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-store", "host": testHost, "path_prefix": "/store/", "route_type": "non_idempotent", "timeout_ms": storeDeadline.Milliseconds(),
		"target_latency_ms": 1000, "priority": 2, "service": "store", "max_attempts": 1, "anonymous": false,
	})
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": "store", "health_check_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false,
	})
	f.configure(c)
	for _, m := range f.edges {
		f.awaitReady(m)
	}
	time.Sleep(2 * heartbeatInterval) // until the replicas are known
	relay := f.edges[0]
	r.note("platform: %s uses %.1f MB of %d before the uploads", relay.name, relay.residentMB(), relay.memoryMB)
	orders := &orderClients{run: r, address: f.frontend(relay)}
	orders.start()
	done, killed := make(chan struct{}), make(chan float64, 1)
	go f.limitMemory(relay, done, killed)
	if r.trouble {
		r.note("platform: all replicas of the model crash")
		close(crashed)
	}
	until := time.Now().Add(relayedTime)
	var running sync.WaitGroup
	var sent atomic.Int64
	for _, m := range f.edges[1:] {
		address := f.frontend(m)
		running.Go(func() { r.sendDrafts(address, until) })
		for range uploadsAtOnce {
			running.Go(func() { r.store(address, until, &sent) })
		}
	}
	running.Wait()
	time.Sleep(2 * time.Second)
	close(done)
	used := <-killed
	orders.stop()
	for _, m := range f.edges[1:] {
		r.note("judge: %s uses %.1f MB", m.name, m.residentMB())
	}
	r.note("judge: %d uploads were sent; %s used up to %.1f MB; its machine has %d MB", sent.Load(), relay.name, used, relay.memoryMB)
	r.note("judge: %d orders were answered; %d from kept connections had been passed on and ended without an answer (%d are allowed)",
		orders.answered.Load(), orders.lost.Load(), maxLost)
	return orders.lost.Load() > maxLost
}

// sendDrafts sends drafts to a machine, which finds the replicas of the model gone.
func (r *run) sendDrafts(address string, until time.Time) {
	for ; r.trouble && time.Now().Before(until); time.Sleep(draftPause) {
		attempt := newAttempt("draft")
		request := head("POST", "/draft/jar", attempt, 3*time.Second, "X-Model: m", "X-Token-Usage: 800,60", "Content-Length: 0")
		r.note("client: %s: %v", attempt, exchange(address, request, "POST", 3*time.Second))
	}
}

// store sends one long upload after the other.
func (r *run) store(address string, until time.Time, sent *atomic.Int64) {
	body := strings.Repeat("x", storeBytes)
	for ; time.Now().Before(until); time.Sleep(storePause) {
		attempt := newAttempt("store")
		request := head("POST", "/store/jar", attempt, storeDeadline, fmt.Sprintf("Content-Length: %d", storeBytes)) + body
		r.note("client: %s: %v", attempt, exchange(address, request, "POST", storeDeadline+time.Second))
		sent.Add(1)
	}
}

// startStoreReplica starts a replica of the store. If it is in trouble it is silent: it takes
// connections and reads nothing.
func (f *fleet) startStoreReplica(trouble bool) {
	if !trouble {
		f.startReplica("store", 64, orderBytes)
		return
	}
	r := f.newReplica("store", 64, orderBytes)
	listener, err := narrowListener(r.address)
	if err != nil {
		fail("%v", err)
	}
	r.listener = listener
	go func() {
		var open []net.Conn
		for {
			c, err := listener.Accept()
			if err != nil {
				break // the case is over
			}
			open = append(open, c)
			r.note("replica: %s is silent, with %d connections", r.id, len(open))
		}
		for _, c := range open {
			_ = c.Close() // the case is over
		}
	}()
	go r.announce()
}
