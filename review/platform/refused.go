package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bookings     = 300
	greyPercent  = 40 // of the requests of a grey replica, as in the troubles of the sites
	greyReplicas = 1  // of seven: a share of 0.14
)

func init() { cases["refused"] = refusedThoughRun }

// refusedThoughRun: one replica fails part of the bookings that it has run with a 503 that does
// not say that they were not run.
func refusedThoughRun(f *fleet, trouble bool) (bool, string) {
	f.start(2)
	f.submit(configuration(1, 1_000_000_000, route("book", "/book/", "non_idempotent", 4000, 300, 500, 1, "app", false)))
	var mutex sync.Mutex
	runsOf := map[string]int{} // by the booking, which is the body
	var turn atomic.Int64
	for n := range 7 {
		f.startTarget(n, fmt.Sprintf("i-%d", n), "app", func(t *target, w http.ResponseWriter, r *http.Request) {
			body := make([]byte, 64)
			length, _ := r.Body.Read(body)
			time.Sleep(20 * time.Millisecond)
			mutex.Lock()
			runsOf[string(body[:length])]++
			mutex.Unlock()
			grey := trouble && n < greyReplicas && turn.Add(1)%5 < greyPercent*5/100
			if grey {
				f.record.log("replica %s: has run %s (%s) and fails with a 503 of its own", t.id, r.Header.Get("X-Attempt-Id"), body[:length])
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintf(w, "booked %s", body[:length])
		})
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)

	var refusedAndRun, answered, failed atomic.Int64
	var clients sync.WaitGroup
	for n := range bookings {
		time.Sleep(30 * time.Millisecond)
		clients.Go(func() {
			booking := fmt.Sprintf("booking-%d", n)
			for try := 1; try <= 2; try++ {
				c, err := dial(f.routers[n%2].ip)
				if err != nil {
					return
				}
				id := fmt.Sprintf("b%d-%d", n, try)
				e := c.send(http.MethodPost, "/book/x", id, 4*time.Second, nil, booking)
				c.close()
				f.record.log("client: %s as %s: status %d", booking, id, e.status)
				if e.status == http.StatusOK {
					answered.Add(1)
					return
				}
				promise := e.status == 429 || e.status == 503 || e.status == 408 || e.status == 421
				if !promise {
					failed.Add(1)
					return // it may have run
				}
				for _, t := range f.targets {
					t.mutex.Lock()
					ran := t.runs[id] > 0
					t.mutex.Unlock()
					if ran {
						refusedAndRun.Add(1)
						f.record.log("judge: %s was answered %d and has run", id, e.status)
					}
				}
			}
		})
	}
	clients.Wait()
	twice := 0
	mutex.Lock()
	for booking, runs := range runsOf {
		if runs > 1 {
			twice++
			f.record.log("judge: %s has run %d times", booking, runs)
		}
	}
	mutex.Unlock()
	return refusedAndRun.Load() > 0, fmt.Sprintf("%d bookings answered 200, %d answered 502 or cut, %d attempts answered 503 though they had run, %d bookings run twice",
		answered.Load(), failed.Load(), refusedAndRun.Load(), twice)
}
