package main

import (
	"fmt"
	"net/http"
	"time"
)

const orderConfiguration = `{"version": 1, "routes": [
 {"name": "orders", "host": "jars.example", "path_prefix": "/orders/", "route_type": "idempotent", "timeout_ms": 1500,
  "target_latency_ms": 300, "priority": 1, "service": "shop", "max_attempts": 2, "anonymous": false, "session_affinity": false, "stream_resumption": false}],
 "services": [{"name": "shop", "health_check_path": "/healthz", "max_connections": 214, "protocol": "h1", "tls": false}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "acme", "api_keys": ["key-acme-1"], "priority": 1}]}`

// lateHeartbeat cuts a replica off from control for some seconds. Once the cut has healed, the
// replica deregisters, and a heartbeat arrives that the cut had delayed.
func lateHeartbeat(r *record, trouble bool) (bool, error) {
	const (
		cut       = 5 * time.Second
		late      = 500 * time.Millisecond
		observed  = 8 * time.Second
		sendEvery = 20 * time.Millisecond
	)
	f, err := newFleet(r, 3, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	var targets []*target
	for i := range 3 {
		t := &target{fleet: f, name: fmt.Sprintf("i-%d", i+1), service: "shop", ip: fmt.Sprintf("%s.3.%d", f.prefix, i+1), port: f.targets,
			zone: []string{"za", "zb", "zc"}[i], version: "v1", capacity: 6, work: 20 * time.Millisecond, downtime: 3 * time.Second}
		defer t.close()
		targets = append(targets, t)
	}
	if err := f.startAll(orderConfiguration); err != nil {
		return false, err
	}
	for _, t := range targets {
		if err := t.open(); err != nil {
			return false, err
		}
	}
	time.Sleep(contactWindow + 2*time.Second)
	load := f.startLoad(sendEvery, func(n int) (*process, attempt) {
		return f.gateways[n%len(f.gateways)], attempt{id: fmt.Sprintf("a%07d", n), method: http.MethodGet, path: "/orders/look", key: "key-acme-1", deadline: 3 * time.Second}
	})
	time.Sleep(time.Second)
	leaver := targets[0]
	if trouble {
		r.log("the cut between %s and control begins", leaver.name)
		leaver.mutex.Lock()
		leaver.silent = true
		leaver.mutex.Unlock()
	}
	time.Sleep(cut - heartbeatInterval)
	leaver.mutex.Lock()
	leaver.silent = true // it is about to leave
	leaver.mutex.Unlock()
	delayed := leaver.heartbeat() // its last one, which is delayed on the way
	r.log("%s sends its last heartbeat", leaver.name)
	time.Sleep(heartbeatInterval)
	r.log("the cut is over; %s deregisters", leaver.name)
	status, _ := f.call(f.controls[1], "/Instances.Deregister/"+leaver.name, fmt.Sprintf(`{"seq": %d, "born": %d}`, leaver.seq+1, leaver.born))
	acknowledged := time.Now()
	r.log("%s answers the deregistration of %s with %d", f.controls[1].name, leaver.name, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the deregistration was not acknowledged: %d", status)
	}
	time.Sleep(late)
	status, _ = f.call(f.controls[0], "/Instances.Heartbeat/"+leaver.name, delayed)
	r.log("a delayed heartbeat of %s arrives at %s: %s, status %d", leaver.name, f.controls[0].name, delayed, status)
	time.Sleep(observed)
	sent, served := load.end()
	tooLate := 0
	for _, a := range leaver.received() {
		if a.at.After(acknowledged.Add(drainTimeout)) {
			tooLate++
			r.log("%s reached %s %.3f s after the acknowledgement", a.id, leaver.name, a.at.Sub(acknowledged).Seconds())
		}
	}
	r.log("%d of %d requests answered with 200; %d requests reached %s later than %s after the acknowledgement", served, sent, tooLate, leaver.name, drainTimeout)
	if served*2 < sent {
		return false, fmt.Errorf("only %d of %d requests were answered with 200", served, sent)
	}
	return tooLate == 0, nil
}
