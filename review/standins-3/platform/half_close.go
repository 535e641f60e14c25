package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leavingInterval is the time between two clients. One of leavingEach leaves after
	// leaveAfter, half of the objective of the route and before its answer.
	leavingClients  = 100
	leavingEach     = 5
	leavingInterval = 50 * time.Millisecond
	leaveAfter      = 150 * time.Millisecond
	leavingWork     = 250 * time.Millisecond
	leavingLimit    = 5 * time.Second
)

// runHalfClose lets a fifth of the clients leave before their deadline: they close their side of
// the connection and read what still comes until the gateway has closed its side. The rule is
// broken if a client gets a success that is no replica's.
func runHalfClose(r *run) bool {
	f := newFleet(r.record, 2, 2, edgeMemoryMB)
	r.fleet = f
	for range 2 {
		f.startReplica("shop", 64, orderBytes).work = leavingWork
	}
	f.configure(configuration(1_000_000))
	for _, m := range f.edges {
		f.awaitReady(m)
	}
	time.Sleep(2 * heartbeatInterval) // until the replicas are known
	var running sync.WaitGroup
	var broken atomic.Int64
	for i := range leavingClients {
		running.Go(func() {
			attempt := newAttempt("order")
			a := r.order(f.frontend(f.edges[i%len(f.edges)]), attempt, r.trouble && i%leavingEach == 0)
			r.note("client: %s: %v", attempt, a)
			if a.status >= 200 && a.status < 300 && a.signature == "" {
				broken.Add(1)
				r.note("judge: %s got a success without the signature of a replica", attempt)
			}
		})
		time.Sleep(leavingInterval)
	}
	running.Wait()
	r.note("judge: %d of %d clients got a success that is no replica's", broken.Load(), leavingClients)
	return broken.Load() > 0
}

// order sends an order and returns what came. The client may leave before the answer.
func (r *run) order(address, attempt string, leaves bool) answer {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }() // nothing more is read
	if err := c.SetDeadline(time.Now().Add(leavingLimit)); err != nil {
		return answer{err: err}
	}
	body := `{"kit":"jar"}`
	if _, err := io.WriteString(c, head("POST", "/order/kit", attempt, 3*time.Second, "Content-Length: 13")+body); err != nil {
		return answer{err: err}
	}
	if leaves {
		time.Sleep(leaveAfter)
		socket, ok := c.(*net.TCPConn)
		if !ok {
			return answer{err: errors.New("not a TCP connection")}
		}
		if err := socket.CloseWrite(); err != nil {
			return answer{err: err}
		}
		r.note("client: %s leaves", attempt)
	}
	return readAnswer(c, "POST")
}
