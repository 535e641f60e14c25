package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in for a replica. It announces itself, runs what it is sent, echoes the
// identifier of the attempt and signs what it answers.
type target struct {
	fleet    *fleet
	id       string
	service  string
	version  string
	address  string
	zone     string
	capacity int
	born     int64
	// work runs a request. It is called only for requests that the target accepts.
	work func(t *target, w http.ResponseWriter, r *http.Request)

	server   *http.Server
	sequence atomic.Int64
	state    atomic.Value // string
	silent   atomic.Bool  // sends no heartbeats
	stopped  chan struct{}
	once     sync.Once
	running  atomic.Int64

	mutex sync.Mutex
	runs  map[string]int
}

func (f *fleet) startTarget(n int, id, service string, work func(*target, http.ResponseWriter, *http.Request)) *target {
	t := &target{
		fleet: f, id: id, service: service, version: "v1", address: addr(f.ip(100+n), targetPort),
		zone: []string{"a", "b", "c"}[n%3], capacity: 64, born: time.Now().UnixMilli(), work: work,
		stopped: make(chan struct{}), runs: map[string]int{},
	}
	t.state.Store("ready")
	l, err := net.Listen("tcp", t.address)
	must(err)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(l) }()
	go t.beat()
	f.targets = append(f.targets, t)
	return t
}

// end ends the target as a crash does.
func (t *target) end() {
	t.once.Do(func() {
		close(t.stopped)
		_ = t.server.Close()
	})
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", t.running.Load(), t.capacity))
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", t.id)
		return
	}
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mutex.Lock()
	t.runs[id]++
	t.mutex.Unlock()
	t.running.Add(1)
	defer t.running.Add(-1)
	w.Header().Set("X-Response-Signature", "sig-"+id)
	t.work(t, w, r)
}

// timeLeft is the time after which a target stops its work.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// stream writes events at an even pace. It returns how many it wrote before the caller left or
// its time was over.
func stream(w http.ResponseWriter, r *http.Request, first, events int, pause time.Duration) int {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	over := time.After(timeLeft(r))
	for n := first; n <= events; n++ {
		select {
		case <-time.After(pause):
		case <-over:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return n - 1
		}
		last := ""
		if n == events {
			last = " last"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %d%s\n\n", n, n, events, last); err != nil {
			return n - 1
		}
		_ = flusher.Flush()
	}
	return events
}

func (t *target) beat() {
	for {
		if !t.silent.Load() {
			t.announce()
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) announce() bool {
	body, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": t.version, "capacity": t.capacity,
		"state": t.state.Load(), "warmup_remaining_ms": 0, "phase": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}},
		"seq": t.sequence.Add(1), "born": t.born,
	})
	must(err)
	return t.call("/Instances.Heartbeat/"+t.id, body)
}

func (t *target) deregister() bool {
	body, err := json.Marshal(map[string]any{"born": t.born})
	must(err)
	return t.call("/Instances.Deregister/"+t.id, body)
}

// call calls the control VMs, in an order drawn by lot, until one acknowledges.
func (t *target) call(path string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range rand.Perm(len(t.fleet.controls)) {
		c := t.fleet.controls[n]
		response, err := client.Post("http://"+addr(c.ip, adminPort)+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}
