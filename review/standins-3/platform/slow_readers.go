package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowReaders is how many clients read their answers slowly, and answerBytes the size of
	// these.
	slowReaders     = 1050
	answerBytes     = 125 << 10
	slowReadBytes   = 512
	slowReadTime    = 12 * time.Second
	slowReadPause   = 500 * time.Millisecond
	slowReaderPace  = 4 * time.Millisecond // between two clients
	memorySample    = 20 * time.Millisecond
	grownEdgeMemory = 136 // MB, the edge machines of the grown deployments
	// orderClientCount clients send one order after the other, each on its own connection. By the
	// rule, maxLost orders may end without an answer.
	orderClientCount = 20
	orderPause       = 50 * time.Millisecond // on average
	orderStagger     = 17 * time.Millisecond // between the starts of two clients
	maxLost          = 3
)

// runSlowReaders lets many clients read their answers slowly. The platform kills a process that
// uses more than the memory of its machine, which is an end of its own. The rule is broken if
// more than three orders, which were read from kept connections and passed on to a sound replica,
// then end with their connections and without an answer.
func runSlowReaders(r *run) bool {
	f := newFleet(r.record, 2, 3, grownEdgeMemory)
	r.fleet = f
	for range 3 {
		f.startReplica("shop", 256, answerBytes)
	}
	f.configure(configuration(1_000_000))
	for _, m := range f.edges {
		f.awaitReady(m)
	}
	time.Sleep(2 * heartbeatInterval) // until the replicas are known
	m := f.edges[0]
	orders := &orderClients{run: r, address: f.frontend(m)}
	orders.start()
	r.note("platform: %s uses %.1f MB of %d before the requests", m.name, m.residentMB(), m.memoryMB)
	var running sync.WaitGroup
	var whole, begun, failed atomic.Int64
	done := make(chan struct{})
	killed := make(chan float64, 1)
	go f.limitMemory(m, done, killed)
	for range slowReaders {
		running.Go(func() { slowlyLook(r, f.frontend(m), &begun, &whole, &failed) })
		time.Sleep(slowReaderPace)
	}
	running.Wait()
	close(done)
	most := <-killed
	orders.stop()
	r.note("judge: %d clients asked; %d answers began, %d arrived whole, %d requests ended without an answer",
		slowReaders, begun.Load(), whole.Load(), failed.Load())
	r.note("judge: %s used up to %.1f MB; its machine has %d MB", m.name, most, m.memoryMB)
	r.note("judge: %d orders were answered; %d from kept connections had been passed on and ended without an answer (%d are allowed)",
		orders.answered.Load(), orders.lost.Load(), maxLost)
	return orders.lost.Load() > maxLost
}

// limitMemory does what the platform does: it kills the process once it uses more than the
// memory of its machine. It sends the most that the process has used.
func (f *fleet) limitMemory(m *machine, done <-chan struct{}, result chan<- float64) {
	most := 0.0
	for {
		select {
		case <-done:
			result <- most
			return
		case <-time.After(memorySample):
		}
		used := m.residentMB()
		if used > most+10 {
			f.note("platform: %s uses %.1f MB", m.name, used)
			most = used
		}
		most = max(most, used)
		if used > float64(m.memoryMB) && !m.hasEnded() {
			f.note("platform: %s uses %.1f MB, more than the %d MB of its machine: SIGKILL", m.name, used, m.memoryMB)
			f.killForMemory(m)
		}
	}
}

// slowlyLook sends a request and reads the answer slowly, or at once without the disruption.
func slowlyLook(r *run, address string, begun, whole, failed *atomic.Int64) {
	attempt := newAttempt("look")
	c, err := dialSlow(address)
	if err != nil {
		r.note("client: %s cannot connect: %v", attempt, err)
		failed.Add(1)
		return
	}
	defer func() { _ = c.Close() }() // nothing more is read
	if _, err := io.WriteString(c, head("GET", "/look/kit", attempt, 15*time.Second)); err != nil {
		failed.Add(1)
		return
	}
	if !r.trouble {
		a := readAnswer(c, "GET")
		r.note("client: %s: %v", attempt, a)
		begun.Add(1)
		if a.status == 200 && a.err == nil {
			whole.Add(1)
		}
		return
	}
	received := 0
	buffer := make([]byte, slowReadBytes)
	until := time.Now().Add(slowReadTime)
	if err := c.SetReadDeadline(until); err != nil {
		failed.Add(1)
		return
	}
	for ; time.Now().Before(until); time.Sleep(slowReadPause) {
		n, err := c.Read(buffer)
		if received == 0 && n > 0 {
			begun.Add(1)
			r.note("client: %s gets an answer: %q", attempt, fmt.Sprintf("%.12s", buffer))
		}
		received += n
		if err != nil {
			if received == 0 {
				failed.Add(1)
			}
			r.note("client: %s: after %d bytes: %v", attempt, received, err)
			return
		}
	}
}

// orderClients send orders on kept connections.
type orderClients struct {
	*run
	address string
	done    chan struct{}
	running sync.WaitGroup

	answered, lost atomic.Int64
}

func (o *orderClients) start() {
	o.done = make(chan struct{})
	for range orderClientCount {
		o.running.Go(o.send)
		time.Sleep(orderStagger)
	}
}

func (o *orderClients) stop() {
	close(o.done)
	o.running.Wait()
}

// send sends orders on one connection after the other until the clients stop.
func (o *orderClients) send() {
	for {
		select {
		case <-o.done:
			return
		default:
			o.useConnection()
			time.Sleep(orderPause)
		}
	}
}

// useConnection sends orders on a new connection until it ends.
func (o *orderClients) useConnection() {
	c, err := net.DialTimeout("tcp", o.address, connectTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // nothing more is read
	reader := bufio.NewReader(c)
	for earlier := 0; ; earlier++ {
		attempt := newAttempt("order")
		if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
			return
		}
		if _, err := io.WriteString(c, head("POST", "/order/kit", attempt, 3*time.Second, "Content-Length: 13")+`{"kit":"jar"}`); err != nil {
			return
		}
		a := readAnswer(reader, "POST")
		o.note("client: %s, after %d others on its connection: %v", attempt, earlier, a)
		if a.status == 0 || a.err != nil {
			if earlier > 0 && o.fleet.hasRun(attempt) {
				o.lost.Add(1)
				o.note("judge: %s was passed on to a replica and ended without an answer", attempt)
			}
			return
		}
		o.answered.Add(1)
		select {
		case <-o.done:
			return
		case <-time.After(rand.N(2 * orderPause)):
		}
	}
}
