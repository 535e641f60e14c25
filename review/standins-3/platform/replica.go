package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tokensPerEvent is the number of output tokens in an event of a stream.
	tokensPerEvent = 6
	shopWork       = 60 * time.Millisecond
	orderBytes     = 800
)

// replica is a stand-in for a replica of a service. It behaves as the pages say that a sound one
// does.
type replica struct {
	*record
	fleet         *fleet
	id, service   string
	address       string
	capacity      int
	responseBytes int // of the answers to look-ups
	bornMillis    int64
	listener      net.Listener
	server        *http.Server  // nil if it sends no answers
	work          time.Duration // of an answer of the shop
	stopped       chan struct{}
	mutex         sync.Mutex
	attempts      map[string]bool // that have run
}

// newReplica returns a replica that has not started.
func (f *fleet) newReplica(service string, capacity, responseBytes int) *replica {
	i := len(f.replicas)
	r := &replica{
		record: f.record, fleet: f, id: fmt.Sprintf("i-%s-%d", service, i), service: service, capacity: capacity, responseBytes: responseBytes,
		address: f.address(f.network.ip(firstReplica+i), f.ports.replica), bornMillis: time.Now().UnixMilli(), stopped: make(chan struct{}),
		attempts: map[string]bool{}, work: shopWork,
	}
	f.replicas = append(f.replicas, r)
	return r
}

// startReplica starts a replica, which announces itself to the core.
func (f *fleet) startReplica(service string, capacity, responseBytes int) *replica {
	r := f.newReplica(service, capacity, responseBytes)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		fail("%v", err)
	}
	r.listener = listener
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }() // ends with stop
	go r.announce()
	return r
}

func (r *replica) stop() {
	close(r.stopped)
	_ = r.listener.Close() // the case is over
	if r.server != nil {
		_ = r.server.Close() // as above
	}
}

// hasRun reports whether a replica has begun to run the client attempt.
func (f *fleet) hasRun(attempt string) bool {
	for _, r := range f.replicas {
		r.mutex.Lock()
		ran := r.attempts[attempt]
		r.mutex.Unlock()
		if ran {
			return true
		}
	}
	return false
}

// announce sends heartbeats until the replica stops.
func (r *replica) announce() {
	for sequence := 0; ; sequence++ {
		body, err := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": zones[0], "version": "v1", "capacity": r.capacity, "state": "ready",
			"warmup_remaining_ms": 0, "phase": "unified", "seq": sequence, "born": r.bornMillis,
		})
		if err == nil {
			r.fleet.call(http.MethodPost, "/Instances.Heartbeat/"+r.id, body, heartbeatInterval)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-r.stopped:
			return
		}
	}
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mutex.Lock()
	r.attempts[attempt] = true
	r.mutex.Unlock()
	r.note("replica: %s runs %s", r.id, attempt)
	w.Header().Set("X-Response-Signature", "3e1b.07.5a2."+attempt)
	r.answer(w, request.URL.Path)
	r.note("replica: %s has ended %s", r.id, attempt)
}

// answer answers a request for the shop. Answers to look-ups have the size of the replica.
func (r *replica) answer(w http.ResponseWriter, path string) {
	time.Sleep(r.work)
	size := orderBytes
	if strings.HasPrefix(path, "/look/") {
		size = r.responseBytes
	}
	w.Header().Set("Content-Type", "application/json")
	body := `{"order":"` + strings.Repeat("x", size-12) + `"}`
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // fails only if the gateway has disconnected
}
