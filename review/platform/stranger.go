package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stranger"] = incompleteHeartbeat }

// incompleteHeartbeat: another writer sends heartbeats in which a field is missing. They name no
// replica to use, but the server that they name gets the bookings of clients.
func incompleteHeartbeat(f *fleet, trouble bool) (bool, string) {
	f.start(2)
	f.submit(configuration(1, 1_000_000_000,
		route("book", "/book/", "non_idempotent", 4000, 300, 500, 1, "app", false)))
	for n := range 3 {
		f.startTarget(n, fmt.Sprintf("i-%d", n), "app", func(t *target, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(60 * time.Millisecond)
			fmt.Fprintf(w, "booked by %s", t.id)
		})
	}
	// The server of the other writer answers what it is sent, as any server does.
	address := addr(f.ip(80), targetPort)
	l, err := net.Listen("tcp", address)
	must(err)
	var ran atomic.Int64
	stranger := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		if named := r.Header.Get("X-Target-Instance"); named != "x-1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		ran.Add(1)
		f.record.log("stranger x-1: runs %s %s %s of the tenant %s", id, r.Method, r.URL.Path, r.Header.Get("X-Tenant"))
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Response-Signature", "of the other deployment")
		fmt.Fprint(w, "booked elsewhere")
	})}
	go func() { _ = stranger.Serve(l) }()
	defer func() { _ = stranger.Close() }()
	f.awaitReady()
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		f.record.log("another writer: heartbeats of x-1 at %s without the field born, every %s", address, heartbeat)
		go func() {
			client := &http.Client{Timeout: time.Second}
			for seq := 1; ; seq++ {
				body, err := json.Marshal(map[string]any{
					"service": "app", "address": address, "zone": "a", "version": "v1", "capacity": 64, "state": "ready", "warmup_remaining_ms": 0, "seq": seq,
				})
				must(err)
				c := f.controls[rand.IntN(len(f.controls))]
				if response, err := client.Post("http://"+addr(c.ip, adminPort)+"/Instances.Heartbeat/x-1", "application/json", bytes.NewReader(body)); err == nil {
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
	time.Sleep(2 * time.Second)
	var served, foreign, other atomic.Int64
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			for k := range 60 {
				time.Sleep(20 * time.Millisecond)
				c, err := dial(f.routers[(n+k)%2].ip)
				if err != nil {
					continue
				}
				e := c.send(http.MethodPost, "/book/x", fmt.Sprintf("b%d-%d", n, k), 4*time.Second, nil, "booking")
				c.close()
				switch {
				case e.status == http.StatusOK && strings.HasPrefix(e.body, "booked by i-"):
					served.Add(1)
				case e.status == http.StatusOK:
					foreign.Add(1)
					f.record.log("client: %s status 200, %q", e.id, e.body)
				default:
					other.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return ran.Load() > 0, fmt.Sprintf("%d bookings run by a server that is no replica, %d clients got its answer as a success, %d served by replicas, %d others",
		ran.Load(), foreign.Load(), served.Load(), other.Load())
}
