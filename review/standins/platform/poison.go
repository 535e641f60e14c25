package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashJudge counts the crashes under requests that end replicas, and the requests that reach
// replicas although they should no longer be sent.
type crashJudge struct {
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

func (j *crashJudge) arrived() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.arrivals = append(j.arrivals, time.Now())
}

func (j *crashJudge) crashed() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.crashes = append(j.crashes, time.Now())
}

// lateArrivals returns how many requests reached replicas later than contactWindow after the
// given crash, counted from one.
func (j *crashJudge) lateArrivals(crash int) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if len(j.crashes) < crash {
		return 0
	}
	late := 0
	for _, at := range j.arrivals {
		if at.After(j.crashes[crash-1].Add(contactWindow)) {
			late++
		}
	}
	return late
}

const engineConfiguration = `{"version": 1, "routes": [
 {"name": "notes", "host": "jars.example", "path_prefix": "/notes/", "route_type": "streaming", "timeout_ms": 12000,
  "target_latency_ms": 500, "priority": 0, "service": "llm", "max_attempts": 1, "anonymous": false, "session_affinity": true, "stream_resumption": false, "target_itl_ms": 500},
 {"name": "orders", "host": "jars.example", "path_prefix": "/orders/", "route_type": "non_idempotent", "timeout_ms": 1500,
  "target_latency_ms": 300, "priority": 1, "service": "shop", "max_attempts": 1, "anonymous": false, "session_affinity": false, "stream_resumption": false}],
 "services": [{"name": "shop", "health_check_path": "/healthz", "max_connections": 214, "protocol": "h1", "tls": false},
  {"name": "llm", "health_check_path": "/healthz", "max_connections": 771, "protocol": "h1", "tls": false,
   "backend": {"capacity": 64, "kv_capacity_tokens": 594063, "kv_bytes": 163840, "bandwidth_mbps": 740000.0, "interval": 5, "models": [{"name": "m"}]}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "acme", "api_keys": ["key-acme-1"], "priority": 1}]}`

// poisonOptions describes a case with requests under which replicas end.
type poisonOptions struct {
	service  string
	replicas int
	capacity int
	work     time.Duration
	// fatal reports whether a request makes its replica end.
	fatal func(r *http.Request, body []byte) bool
	// sound and poison return the n-th request of each kind.
	sound, poison func(n int) attempt
	soundEvery    time.Duration
	poisonEvery   time.Duration
	length        time.Duration
	stream        func(w http.ResponseWriter, r *http.Request)
	// dark makes replicas fall silent before they are back, as a machine does that loses power.
	dark bool
	// crashAfter is how many events a replica has written when it ends.
	crashAfter int
	// allowedCrashes is after which crash the requests must no longer be sent.
	allowedCrashes int
}

const maxLateArrivals = 3

// runPoison sends sound requests, and requests under which replicas end if there is trouble.
func runPoison(r *record, trouble bool, o poisonOptions) (bool, error) {
	f, err := newFleet(r, 3, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	judge := &crashJudge{}
	for i := range o.replicas {
		t := &target{fleet: f, name: fmt.Sprintf("i-%d", i+1), service: o.service, ip: fmt.Sprintf("%s.3.%d", f.prefix, i+1), port: f.targets,
			zone: []string{"za", "zb", "zc"}[i%3], version: "v1", capacity: o.capacity, work: o.work, downtime: 3 * time.Second, stream: o.stream, crashAfter: o.crashAfter, dark: o.dark}
		t.crashes = func(q *http.Request, body []byte) bool {
			if !o.fatal(q, body) {
				return false
			}
			judge.arrived()
			return trouble
		}
		t.onCrash = func(string) { judge.crashed() }
		defer t.close()
		if err := t.open(); err != nil {
			return false, err
		}
	}
	if err := f.startAll(engineConfiguration); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	sound := f.startLoad(o.soundEvery, func(n int) (*process, attempt) { return f.gateways[n%len(f.gateways)], o.sound(n) })
	poison := f.startLoad(o.poisonEvery, func(n int) (*process, attempt) { return f.gateways[n%len(f.gateways)], o.poison(n) })
	time.Sleep(o.length)
	poisonSent, _ := poison.end()
	soundSent, soundServed := sound.end()
	late := judge.lateArrivals(o.allowedCrashes)
	r.log("%d requests sent that end replicas, %d reached replicas, %d crashes; %d reached replicas later than %s after crash %d (bound %d)",
		poisonSent, len(judge.arrivals), len(judge.crashes), late, contactWindow, o.allowedCrashes, maxLateArrivals)
	r.log("%d of %d sound requests served", soundServed, soundSent)
	if !trouble && soundServed*10 < soundSent*9 {
		return false, fmt.Errorf("only %d of %d sound requests were served without trouble", soundServed, soundSent)
	}
	if trouble && len(judge.crashes) == 0 {
		return false, fmt.Errorf("no replica has ended")
	}
	return late <= maxLateArrivals, nil
}

// orderAttempt returns an order with its own id.
func orderAttempt(id, path, body string) attempt {
	return attempt{id: id, method: http.MethodPost, path: path, key: "key-acme-1", body: []byte(body), deadline: 3 * time.Second}
}

// changedQuery repeats one request under which replicas end, with the same path, caller and body,
// and another query each time.
func changedQuery(r *record, trouble bool) (bool, error) {
	return poisonedOrder(r, trouble, true, false)
}

// sameQuery does the same without a change of the query.
func sameQuery(r *record, trouble bool) (bool, error) { return poisonedOrder(r, trouble, false, false) }

// darkCrash repeats one order under which each replica falls silent until it is back.
func darkCrash(r *record, trouble bool) (bool, error) { return poisonedOrder(r, trouble, false, true) }

func poisonedOrder(r *record, trouble, changes, dark bool) (bool, error) {
	return runPoison(r, trouble, poisonOptions{
		service: "shop", replicas: 5, capacity: 6, work: 60 * time.Millisecond, dark: dark,
		fatal: func(_ *http.Request, body []byte) bool { return string(body) == "poison" },
		sound: func(n int) attempt {
			return orderAttempt(fmt.Sprintf("s%06d", n), "/orders/place", fmt.Sprintf("order %d", n))
		},
		poison: func(n int) attempt {
			path := "/orders/place"
			if changes {
				path += fmt.Sprintf("?try=%d", n)
			}
			return orderAttempt(fmt.Sprintf("p%06d", n), path, "poison")
		},
		soundEvery: 50 * time.Millisecond, poisonEvery: time.Second, length: 35 * time.Second, allowedCrashes: 3,
	})
}

// writeEvents writes a stream of events.
func writeEvents(w http.ResponseWriter, r *http.Request) { writeSomeEvents(w, r, 8) }

func writeSomeEvents(w http.ResponseWriter, r *http.Request, events int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "s."+r.Header.Get("X-Attempt-Id"))
	w.WriteHeader(http.StatusOK)
	for n := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n+1, r.Header.Get("X-Attempt-Id"), n+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// longPrompt sends prompts of many parts, of which one that some of them have ends replicas.
func longPrompt(r *record, trouble bool) (bool, error) { return poisonedPrompt(r, trouble, 17) }

// shortPrompt does the same with prompts of few parts.
func shortPrompt(r *record, trouble bool) (bool, error) { return poisonedPrompt(r, trouble, 2) }

func poisonedPrompt(r *record, trouble bool, common int) (bool, error) {
	var shared []string
	for i := range common {
		shared = append(shared, fmt.Sprintf("%08x:40", 0xa0000000+i))
	}
	const fatalPart = "deadbeef:60"
	prompt := func(id string, n int, fatal bool) attempt {
		parts := append([]string{}, shared...)
		tokens := 40*common + 100
		if fatal {
			parts, tokens = append(parts, fatalPart), tokens+60
		}
		parts = append(parts, fmt.Sprintf("%08x:100", n+0x1000+len(id)<<20))
		a := orderAttempt(id, "/notes/write", fmt.Sprintf("%s prompt %d", id[:1], n))
		a.deadline = 12 * time.Second
		a.headers = map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,60", tokens), "X-Prefix-Hash": strings.Join(parts, ",")}
		return a
	}
	return runPoison(r, trouble, poisonOptions{
		service: "llm", replicas: 5, capacity: 64, work: 40 * time.Millisecond,
		fatal: func(q *http.Request, _ []byte) bool {
			return strings.Contains(q.Header.Get("X-Prefix-Hash"), fatalPart)
		},
		sound:      func(n int) attempt { return prompt(fmt.Sprintf("s%06d", n), n, false) },
		poison:     func(n int) attempt { return prompt(fmt.Sprintf("p%06d", n), n, true) },
		soundEvery: 50 * time.Millisecond, poisonEvery: time.Second, length: 40 * time.Second, allowedCrashes: 5,
		stream: writeEvents,
	})
}

// slowCrash repeats one stream under which each replica ends some time after it has begun.
func slowCrash(r *record, trouble bool) (bool, error) {
	prompt := func(id, body string) attempt {
		a := orderAttempt(id, "/notes/write", body)
		a.deadline = 12 * time.Second
		a.headers = map[string]string{"X-Model": "m", "X-Token-Usage": "140,60", "X-Prefix-Hash": "a0000001:40," + fmt.Sprintf("%08x:100", hash(body))}
		return a
	}
	return runPoison(r, trouble, poisonOptions{
		service: "llm", replicas: 5, capacity: 64, work: 40 * time.Millisecond,
		fatal:      func(_ *http.Request, body []byte) bool { return string(body) == "poison" },
		crashAfter: 50,
		sound:      func(n int) attempt { return prompt(fmt.Sprintf("s%06d", n), fmt.Sprintf("prompt %d", n)) },
		poison:     func(n int) attempt { return prompt(fmt.Sprintf("p%06d", n), "poison") },
		soundEvery: 50 * time.Millisecond, poisonEvery: time.Second, length: 35 * time.Second, allowedCrashes: 3,
		stream: writeEvents,
	})
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
