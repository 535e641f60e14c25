package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that reached a target.
type arrival struct {
	at     time.Time
	id     string
	header http.Header
	ran    bool
}

// target is a stand-in for one replica, as the pages describe it.
type target struct {
	fleet    *fleet
	name     string
	service  string
	ip       string
	port     int
	zone     string
	version  string
	capacity int
	work     time.Duration
	// crashes reports whether the target ends when it begins to run the request.
	crashes func(r *http.Request, body []byte) bool
	// stream, if set, writes the answer of a request.
	stream func(w http.ResponseWriter, r *http.Request)
	// crashAfter is how many events it writes before it ends.
	crashAfter int
	// dark makes it fall silent for its downtime when it ends: nothing is answered or closed.
	dark bool
	// answers, if set, adds to the head of an answer, and reports whether the request is turned away.
	answers func(h http.Header, now time.Time) bool

	mutex      sync.Mutex
	born       int64
	seq        int
	silent     bool // sends no heartbeats
	state      string
	arrivals   []arrival
	running    int
	server     *http.Server
	listener   net.Listener
	onCrash    func(id string)
	nextNode   int
	downtime   time.Duration
	generation int
	// awake is closed when a target that is silent is back, and nil while it is not silent.
	awake chan struct{}
}

func (t *target) address() string { return fmt.Sprintf("%s:%d", t.ip, t.port) }

// open starts a run of the target.
func (t *target) open() error {
	l, err := net.Listen("tcp", t.address())
	if err != nil {
		return err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.born, t.seq, t.state, t.running = time.Now().UnixMilli(), 0, "ready", 0
	t.generation++
	t.listener = l
	t.server = &http.Server{Handler: t}
	go func(s *http.Server) { _ = s.Serve(l) }(t.server)
	go t.runHeartbeats(t.generation)
	t.fleet.record.log("replica %s (%s) runs at %s, born %d", t.name, t.service, t.address(), t.born)
	return nil
}

// crash ends the run of the target as a killed process does, and starts the next one later.
func (t *target) crash() {
	t.mutex.Lock()
	server := t.server
	t.server = nil
	t.generation++
	t.mutex.Unlock()
	if server == nil {
		return
	}
	if t.dark {
		awake := make(chan struct{})
		t.mutex.Lock()
		t.awake = awake
		t.mutex.Unlock()
		t.fleet.record.log("replica %s has fallen silent", t.name)
		time.AfterFunc(t.downtime, func() {
			_ = server.Close()
			t.mutex.Lock()
			t.awake = nil
			t.mutex.Unlock()
			close(awake)
			if err := t.open(); err != nil {
				t.fleet.record.log("replica %s cannot start: %v", t.name, err)
			}
		})
		return
	}
	_ = server.Close()
	t.fleet.record.log("replica %s has crashed", t.name)
	time.AfterFunc(t.downtime, func() {
		if err := t.open(); err != nil {
			t.fleet.record.log("replica %s cannot start: %v", t.name, err)
		}
	})
}

// heartbeat returns the body of the next heartbeat.
func (t *target) heartbeat() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seq++
	body, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.address(), "zone": t.zone, "version": t.version, "capacity": t.capacity,
		"state": t.state, "warmup_remaining_ms": 0, "seq": t.seq, "born": t.born,
	})
	return string(body)
}

func (t *target) runHeartbeats(generation int) {
	for {
		t.mutex.Lock()
		current, silent := t.generation, t.silent
		t.mutex.Unlock()
		if current != generation {
			return
		}
		if !silent {
			t.beat(t.heartbeat())
		}
		time.Sleep(heartbeatInterval)
	}
}

// beat sends a heartbeat to one control machine, and to the next one if it is not acknowledged.
func (t *target) beat(body string) {
	nodes := t.fleet.controls
	for range nodes {
		t.mutex.Lock()
		node := nodes[t.nextNode%len(nodes)]
		t.mutex.Unlock()
		if status, _ := t.fleet.call(node, "/Instances.Heartbeat/"+t.name, body); status/100 == 2 {
			return
		}
		t.mutex.Lock()
		t.nextNode++
		t.mutex.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.awaitAwake()
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", t.name)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if other := r.Header.Get("X-Target-Instance"); other != "" && other != t.name {
		w.Header().Set("X-Instance-Id", t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mutex.Lock()
	full := t.running >= t.capacity
	counted := !full
	t.arrivals = append(t.arrivals, arrival{time.Now(), id, r.Header.Clone(), !full})
	if counted {
		t.running++
	}
	running := t.running
	t.mutex.Unlock()
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", running, t.capacity))
	if t.answers != nil {
		full = t.answers(w.Header(), time.Now()) || full
	}
	defer func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if counted {
			t.running--
		}
	}()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.fleet.record.log("replica %s begins to run %s", t.name, id)
	if t.crashes != nil && t.crashes(r, body) {
		if t.crashAfter > 0 {
			time.Sleep(t.work)
			writeSomeEvents(w, r, t.crashAfter)
		}
		t.onCrash(id)
		t.crash()
		t.awaitAwake()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	t.awaitAwake()
	if t.stream != nil {
		t.stream(w, r)
		return
	}
	answer := []byte("done " + id)
	w.Header().Set("X-Response-Signature", "s."+t.name+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// awaitAwake blocks while the target is silent, and then ends the request with its connection.
func (t *target) awaitAwake() {
	t.mutex.Lock()
	awake := t.awake
	t.mutex.Unlock()
	if awake != nil {
		<-awake
		panic(http.ErrAbortHandler)
	}
}

// received returns what has reached the target.
func (t *target) received() []arrival {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]arrival{}, t.arrivals...)
}

// close ends the target for good.
func (t *target) close() {
	t.mutex.Lock()
	t.generation++
	server := t.server
	t.server = nil
	t.mutex.Unlock()
	if server != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
	}
}
