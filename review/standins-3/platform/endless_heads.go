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
	// endlessClients begin a head and never end it.
	endlessClients  = 1150
	endlessInterval = time.Second
	endlessTime     = 14 * time.Second
	// ordinaryClients try one new connection after the other, from ordinaryBegin on.
	ordinaryClients  = 10
	ordinaryBegin    = time.Second
	ordinaryInterval = 100 * time.Millisecond
	// minTrying is how many clients try at least, by the rule.
	minTrying = 7
)

// span is a time without a new connection that was taken.
type span struct {
	from, to time.Time
	trying   map[int]bool
	unready  bool
}

// watcher follows what becomes of ordinary clients at one edge machine.
type watcher struct {
	*run
	machine *machine

	mutex   sync.Mutex
	current span
	longest span
	counted bool // whether the heads are over their time limit
	taken   int
	refused int
}

// runEndlessHeads sends many heads without end to an edge machine. The rule is broken if the
// machine, which says that it is ready, then takes no new connection of ordinary clients for the
// contact window. Only the time counts in which the heads are over the time limit of the
// configuration already.
func runEndlessHeads(r *run) bool {
	f := newFleet(r.record, 2, 2, edgeMemoryMB)
	r.fleet = f
	f.startReplica("shop", 64, 800)
	f.startReplica("shop", 64, 800)
	f.configure(configuration(1_000_000))
	for _, m := range f.edges {
		f.awaitReady(m)
	}
	time.Sleep(2 * heartbeatInterval) // until the replicas are known
	w := &watcher{run: r, machine: f.edges[0], current: span{trying: map[int]bool{}}}
	var running sync.WaitGroup
	done := make(chan struct{})
	running.Go(func() { w.watchReadiness(done) })
	begun := time.Now()
	if r.trouble {
		running.Go(func() { sendEndlessHeads(r, f.frontend(w.machine)) })
	}
	sleepUntil(begun.Add(ordinaryBegin))
	for i := range ordinaryClients {
		running.Go(func() { w.try(i, done) })
	}
	sleepUntil(begun.Add(headerTimeout + 500*time.Millisecond))
	w.count()
	sleepUntil(begun.Add(endlessTime))
	close(done)
	running.Wait()
	return w.judge()
}

// sendEndlessHeads opens the connections at once and adds a field to each head every second.
// Connections that are closed are not opened again.
func sendEndlessHeads(r *run, address string) {
	var opened, closed atomic.Int64
	var running sync.WaitGroup
	for i := range endlessClients {
		running.Go(func() {
			c, err := net.DialTimeout("tcp", address, connectTimeout)
			if err != nil {
				return
			}
			opened.Add(1)
			defer func() { _ = c.Close() }() // the head has no end
			begin := "GET /look/kit HTTP/1.1\r\nHost: " + testHost + "\r\n"
			if _, err := io.WriteString(c, begin); err != nil {
				closed.Add(1)
				return
			}
			for field, until := 0, time.Now().Add(endlessTime-time.Second); time.Now().Before(until); field++ {
				time.Sleep(endlessInterval)
				if _, err := fmt.Fprintf(c, "X-Field-%d-%d: a\r\n", i, field); err != nil {
					closed.Add(1)
					return
				}
			}
		})
	}
	r.note("clients with heads without end: %d begin to connect", endlessClients)
	time.Sleep(2 * time.Second)
	r.note("clients with heads without end: %d have connected, %d were closed", opened.Load(), closed.Load())
	running.Wait()
	r.note("clients with heads without end: %d had connected, %d were closed", opened.Load(), closed.Load())
}

// try sends one request after the other, each on a new connection.
func (w *watcher) try(client int, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(ordinaryInterval):
		}
		attempt := newAttempt(fmt.Sprintf("ordinary-%d", client))
		request := head("GET", "/look/kit", attempt, 3*time.Second)
		w.recordTry(client, attempt, exchange(w.fleet.frontend(w.machine), request, "GET", time.Second))
	}
}

func (w *watcher) recordTry(client int, attempt string, a answer) {
	w.note("client: %s: %v", attempt, a)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if a.status != 0 {
		w.taken++
		w.endSpan(now)
		return
	}
	w.refused++
	w.current.trying[client] = true
}

// endSpan ends the span without a connection that was taken and begins the next one.
func (w *watcher) endSpan(now time.Time) {
	w.current.to = now
	if w.counted && !w.current.unready && len(w.current.trying) >= minTrying && w.current.to.Sub(w.current.from) > w.longest.to.Sub(w.longest.from) {
		w.longest = w.current
	}
	w.current = span{from: now, trying: map[int]bool{}}
}

// count begins to count spans.
func (w *watcher) count() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counted, w.current = true, span{from: time.Now(), trying: map[int]bool{}}
	w.note("judge: the heads are over the time limit of the configuration: counting begins")
}

// watchReadiness asks for the readiness once a second, as the platform does.
func (w *watcher) watchReadiness(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		ready := w.fleet.ready(w.machine)
		w.note("platform: readiness of %s: %t", w.machine.name, ready)
		if !ready {
			w.mutex.Lock()
			w.current.unready = true
			w.mutex.Unlock()
		}
	}
}

func (w *watcher) judge() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endSpan(time.Now())
	length := w.longest.to.Sub(w.longest.from)
	w.note("judge: %d tries were answered, %d were not", w.taken, w.refused)
	w.note("judge: the longest time without a new connection that was taken: %.3f s, while %d clients tried and the machine said that it is ready; the contact window is %.0f s",
		length.Seconds(), len(w.longest.trying), contactWindow.Seconds())
	return length >= contactWindow
}
