package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	draftEvents  = 60
	draftPause   = 100 * time.Millisecond // well below the 500 ms of the sheet
	draftClients = 8
	// allowedAfterStop is until when after a SIGTERM a request may be sent that may be cut while
	// its replica is at work in the last sixth of the grace period.
	allowedAfterStop = 3 * time.Second
)

// plannedStop: clients send one draft after the other, each over its own kept connection, and the
// router that has these connections is stopped as planned.
func plannedStop(f *fleet, trouble bool) (bool, string) {
	f.start(2)
	f.submit(configuration(1, 1_000_000_000, route("draft", "/draft/", "streaming", 15000, 1000, 500, 1, "llm", false)))
	for n := range 3 {
		f.startTarget(n, fmt.Sprintf("i-%d", n), "llm", func(t *target, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Attempt-Id")
			f.record.log("replica %s: runs %s", t.id, id)
			n := stream(w, r, 1, draftEvents, draftPause)
			f.record.log("replica %s: %s ended after %d of %d events", t.id, id, n, draftEvents)
		})
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)

	var mutex sync.Mutex
	var all []exchange
	var clients sync.WaitGroup
	stopped := make(chan struct{}) // closed when the clients shall send nothing more
	begin := time.Now()
	for n := range draftClients {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 700 * time.Millisecond)
			c, err := dial(f.routers[0].ip)
			if err != nil {
				fail("cannot connect: %v", err)
			}
			defer c.close()
			for k := 1; ; k++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", n, k)
				f.record.log("client %d: sends %s over its kept connection", n, id)
				e := c.send(http.MethodPost, "/draft/x", id, 15*time.Second, map[string]string{
					"X-Model": "m", "X-Token-Usage": "628,360", "X-Prefix-Hash": fmt.Sprintf("a1:119,b%d:509", n),
				}, "draft")
				f.record.log("client %d: %s status %d, complete %v, connection: close %v, error %v", n, id, e.status, e.complete, e.closes, e.err)
				mutex.Lock()
				all = append(all, e)
				mutex.Unlock()
				if !e.complete || e.closes {
					return // a new connection goes to another router
				}
			}
		})
	}
	time.Sleep(time.Until(begin.Add(6 * time.Second)))
	stopAt := time.Now()
	if trouble {
		f.routers[0].stop()
	} else {
		time.Sleep(gracePeriod)
	}
	close(stopped)
	clients.Wait()

	cut, excused, complete := 0, 0, 0
	for _, e := range all {
		ran := 0
		for _, t := range f.targets {
			t.mutex.Lock()
			ran += t.runs[e.id]
			t.mutex.Unlock()
		}
		after := e.sentAt.Sub(stopAt)
		switch {
		case e.complete:
			complete++
		case ran == 0:
			f.record.log("judge: %s was not passed on", e.id)
		case trouble && after <= allowedAfterStop:
			excused++
			f.record.log("judge: %s cut; sent %.2f s after the SIGTERM: excused", e.id, after.Seconds())
		default:
			cut++
			f.record.log("judge: %s was passed on to a replica and cut; sent %.2f s after the SIGTERM, used %.2f s of its 15 s", e.id, after.Seconds(), e.endedAt.Sub(e.sentAt).Seconds())
		}
	}
	return cut > 0, fmt.Sprintf("%d answers complete, %d cut though sent later than 3 s after the SIGTERM, %d cut and excused", complete, cut, excused)
}
