package main

import (
	"net/http"
	"sync"
	"time"
)

// load sends requests of clients at a steady rate.
type load struct {
	fleet   *fleet
	next    func(n int) (*process, attempt)
	stopped chan struct{}
	running sync.WaitGroup

	mutex        sync.Mutex
	sent, served int
}

// startLoad sends what next returns, once in each interval.
func (f *fleet) startLoad(interval time.Duration, next func(n int) (*process, attempt)) *load {
	l := &load{fleet: f, next: next, stopped: make(chan struct{})}
	l.running.Add(1)
	go l.run(interval)
	return l
}

func (l *load) run(interval time.Duration) {
	defer l.running.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
		}
		l.running.Add(1)
		go l.send(n)
	}
}

func (l *load) send(n int) {
	defer l.running.Done()
	g, a := l.next(n)
	l.fleet.record.log("client sends %s to %s", a.id, g.name)
	answer := l.fleet.send(g, a)
	l.fleet.record.log("client gets status %d for %s after %s (error: %v)", answer.status, a.id, answer.took.Round(time.Millisecond), answer.err)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	if answer.status == http.StatusOK && answer.err == nil {
		l.served++
	}
}

// end ends the load once all requests are answered, and returns how many were sent and served.
func (l *load) end() (sent, served int) {
	close(l.stopped)
	l.running.Wait()
	return l.sent, l.served
}
