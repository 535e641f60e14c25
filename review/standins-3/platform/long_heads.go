package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// draftRate is how many drafts clients send to the edge machine in a second.
	draftRate     = 25
	draftTime     = 12 * time.Second
	draftDeadline = 15 * time.Second
	draftBody     = "tell me about the jar"
	longOrderWork = 300 * time.Millisecond
)

// runLongHeads lets the replicas of one service answer with bytes that are no answer: heads
// without end. The platform kills a process that uses more than the memory of its machine, which
// is an end of its own. The rule is broken if more than three orders for another, sound service,
// which were read from kept connections and passed on, then end without an answer.
func runLongHeads(r *run) bool {
	f := newFleet(r.record, 2, 6, edgeMemoryMB)
	r.fleet = f
	for range 3 {
		f.startReplica("shop", 64, orderBytes).work = longOrderWork
	}
	for range 3 {
		if r.trouble {
			f.startTroubledReplica("engine", 64)
		} else {
			f.startReplica("engine", 64, 0)
		}
	}
	f.configure(configuration(100_000_000))
	for _, m := range f.edges {
		f.awaitReady(m)
	}
	time.Sleep(2 * heartbeatInterval) // until the replicas are known
	m := f.edges[0]
	r.note("platform: %s uses %.1f MB of %d before the drafts", m.name, m.residentMB(), m.memoryMB)
	orders := &orderClients{run: r, address: f.frontend(m)}
	orders.start()
	done, killed := make(chan struct{}), make(chan float64, 1)
	go f.limitMemory(m, done, killed)
	var running sync.WaitGroup
	var open, most atomic.Int64
	for until := time.Now().Add(draftTime); time.Now().Before(until); time.Sleep(time.Second / draftRate) {
		running.Go(func() {
			n := open.Add(1)
			for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			}
			sendDraft(r, f.frontend(m))
			open.Add(-1)
		})
	}
	running.Wait()
	close(done)
	used := <-killed
	orders.stop()
	r.note("judge: up to %d drafts were open; %s used up to %.1f MB; its machine has %d MB", most.Load(), m.name, used, m.memoryMB)
	r.note("judge: %d orders were answered; %d from kept connections had been passed on and ended without an answer (%d are allowed)",
		orders.answered.Load(), orders.lost.Load(), maxLost)
	return orders.lost.Load() > maxLost
}

// sendDraft sends a draft and reads its answer within the deadline.
func sendDraft(r *run, address string) {
	attempt := newAttempt("draft")
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		r.note("client: %s cannot connect: %v", attempt, err)
		return
	}
	defer func() { _ = c.Close() }() // nothing more is read
	if err := c.SetDeadline(time.Now().Add(draftDeadline + time.Second)); err != nil {
		return
	}
	request := head("POST", "/draft/jar", attempt, draftDeadline, "X-Model: m", "X-Token-Usage: 800,120",
		fmt.Sprintf("Content-Length: %d", len(draftBody))) + draftBody
	if _, err := io.WriteString(c, request); err != nil {
		return
	}
	r.note("client: %s: %v", attempt, readAnswer(c, "POST"))
}
