package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicas      = 36
	released      = 18 // a share of 0.5
	releaseGap    = 720 * time.Millisecond
	linger        = 1500 * time.Millisecond // after drain_timeout_ms
	foreignIDs    = 40
	clientsOfLook = 16
)

func init() { cases["foreign"] = foreignHeartbeats }

// foreignWriter sends heartbeats that cannot be read: their ids are no text. It calls one of the
// control VMs, drawn by lot, as every caller of control does.
func (f *fleet) foreignWriter(stop <-chan struct{}, acknowledged *atomic.Int64) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range foreignIDs {
		go func() {
			time.Sleep(time.Duration(n) * heartbeat / foreignIDs)
			born := time.Now().UnixMilli()
			for seq := 1; ; seq++ {
				body, err := json.Marshal(map[string]any{
					"service": "elsewhere", "address": addr(f.ip(80), targetPort), "zone": "a", "version": "v1", "capacity": 4, "state": "ready",
					"warmup_remaining_ms": 0, "seq": seq, "born": born,
				})
				must(err)
				c := f.controls[rand.IntN(len(f.controls))]
				response, err := client.Post(fmt.Sprintf("http://%s/Instances.Heartbeat/%%FF%%FE%02d", addr(c.ip, adminPort), n), "application/json", bytes.NewReader(body))
				if err == nil {
					if response.StatusCode == http.StatusOK {
						acknowledged.Add(1)
					}
					_ = response.Body.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
			}
		}()
	}
}

// foreignHeartbeats: another writer sends heartbeats that cannot be read while the replicas of a
// service are replaced one after the other.
func foreignHeartbeats(f *fleet, trouble bool) (bool, string) {
	f.start(3)
	f.submit(configuration(1, 1_000_000_000,
		route("book", "/book/", "non_idempotent", 4000, 300, 500, 1, "app", false)))
	var mutex sync.Mutex
	goneAt := map[string]time.Time{} // acknowledged that it is gone
	late := map[string]int{}
	worst := time.Duration(0)
	work := func(t *target, w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		mutex.Lock()
		at, gone := goneAt[t.id]
		if gone && now.Sub(at) > drainTimeout {
			late[t.id]++
			worst = max(worst, now.Sub(at))
			f.record.log("replica %s: %s reaches it %.2f s after it was acknowledged that it is gone", t.id, r.Header.Get("X-Attempt-Id"), now.Sub(at).Seconds())
		}
		mutex.Unlock()
		time.Sleep(60 * time.Millisecond)
		fmt.Fprintf(w, "booked by %s", t.id)
	}
	var old []*target
	for n := range replicas {
		old = append(old, f.startTarget(n, fmt.Sprintf("i-old-%d", n), "app", work))
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var acknowledged atomic.Int64
	if trouble {
		f.record.log("another writer: heartbeats of %d ids that are no text, each every %s", foreignIDs, heartbeat)
		f.foreignWriter(stop, &acknowledged)
	}
	time.Sleep(4 * time.Second)

	var served, refused, cut, failed atomic.Int64
	var clients sync.WaitGroup
	ended := make(chan struct{})
	for n := range clientsOfLook {
		clients.Go(func() {
			for k := 1; ; k++ {
				select {
				case <-ended:
					return
				case <-time.After(10 * time.Millisecond):
				}
				c, err := dial(f.routers[(n+k)%len(f.routers)].ip)
				if err != nil {
					continue
				}
				id := fmt.Sprintf("b%d-%d", n, k)
				e := c.send(http.MethodPost, "/book/x", id, 4*time.Second, nil, "booking")
				c.close()
				switch e.status {
				case 200:
					served.Add(1)
				case 503:
					refused.Add(1)
				case 0:
					cut.Add(1)
				default:
					failed.Add(1)
					f.record.log("client: %s status %d", id, e.status)
				}
			}
		})
	}
	var leaving sync.WaitGroup
	for n := range released {
		f.startTarget(replicas+n, fmt.Sprintf("i-new-%d", n), "app", work)
		time.Sleep(releaseGap)
		t := old[n]
		leaving.Go(func() { // one of those that never report draining
			t.silent.Store(true)
			if !t.deregister() {
				f.record.log("replica %s: no acknowledgement", t.id)
				return
			}
			mutex.Lock()
			goneAt[t.id] = time.Now()
			mutex.Unlock()
			f.record.log("replica %s: acknowledged that it is gone; serves on", t.id)
			time.Sleep(drainTimeout + linger)
			f.record.log("replica %s: exits with %d requests at work", t.id, t.running.Load())
			t.end()
		})
	}
	leaving.Wait()
	time.Sleep(2 * time.Second)
	close(ended)
	clients.Wait()
	close(stop)
	requests := 0
	for _, n := range late {
		requests += n
	}
	return requests > 0, fmt.Sprintf("%d requests reached %d of %d leaving replicas later than 2 s after the acknowledgement (at most %.2f s); clients: %d served, %d refused, %d failed, %d cut; %d foreign heartbeats acknowledged",
		requests, len(late), released, worst.Seconds(), served.Load(), refused.Load(), failed.Load(), cut.Load(), acknowledged.Load())
}
