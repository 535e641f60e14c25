package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small deployment. The names are those of the settings file of the platform.
const (
	gracePeriod        = 8 * time.Second
	heartbeatInterval  = 1200 * time.Millisecond
	contactWindow      = 3 * time.Second
	headerTimeout      = 3 * time.Second
	idleTimeout        = 15 * time.Second
	edgeMemoryMB       = 206
	coreMemoryMB       = 280
	edgeDescriptors    = 2870
	restartDelay       = 300 * time.Millisecond
	startTimeout       = 20 * time.Second
	programPath        = "target/radishshed"
	testHost           = "ficu95.example"
	testKey            = "n2ctnfzs989anu6wsjnb"
	testTenant         = "hule930"
	operatorCallLimit  = time.Second
	controlCount       = 3
	firstControl       = 10
	firstEdge          = 50
	firstReplica       = 100
	processKillTimeout = 5 * time.Second
)

// machine is a process of the fleet and its settings.
type machine struct {
	name, ip, settings, logPath string
	role                        string
	memoryMB                    int

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is a small deployment: three machines of the core, a few edge machines, and the
// replicas of its services.
type fleet struct {
	*record
	folder  string
	network network
	ports   struct{ link, operator, admin, frontend, ready, replica int }

	controls, edges []*machine
	replicas        []*replica
	client          *http.Client
	next            atomic.Int64 // number of the next control machine that is called
}

// newFleet starts the core and the edge machines. Edge machines have the given memory.
func newFleet(r *record, edges, replicas, memoryMB int) *fleet {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	f := &fleet{record: r, folder: folder, network: newNetwork(), client: &http.Client{Timeout: operatorCallLimit}}
	var ips []string
	for i := range controlCount {
		ips = append(ips, f.network.ip(firstControl+i))
	}
	for i := range edges {
		ips = append(ips, f.network.ip(firstEdge+i))
	}
	for i := range replicas {
		ips = append(ips, f.network.ip(firstReplica+i))
	}
	ports := drawPorts(ips, 6)
	f.ports.link, f.ports.operator, f.ports.admin = ports[0], ports[1], ports[2]
	f.ports.frontend, f.ports.ready, f.ports.replica = ports[3], ports[4], ports[5]
	for i := range controlCount {
		f.controls = append(f.controls, f.newControl(i))
	}
	for i := range edges {
		f.edges = append(f.edges, f.newEdge(i, memoryMB))
	}
	for _, m := range append(f.controls, f.edges...) {
		f.start(m)
	}
	return f
}

func (f *fleet) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

func (f *fleet) seeds() []string {
	var seeds []string
	for i := range controlCount {
		seeds = append(seeds, f.address(f.network.ip(firstControl+i), f.ports.admin))
	}
	return seeds
}

// newControl returns a machine of the core. Its settings are those of deploy/control.json.
func (f *fleet) newControl(i int) *machine {
	ip := f.network.ip(firstControl + i)
	return f.newMachine(fmt.Sprintf("core-%d", i+1), ip, "control", coreMemoryMB, map[string]any{
		"vm": ip, "dataCentre": zoneOf(i), "dataCentres": zones, "linkAddress": f.address(ip, f.ports.link),
		"operatorAddress": f.address(ip, f.ports.admin), "seeds": f.seeds(), "openLinks": true, "firstStart": true,
		"dataFolder": filepath.Join(f.folder, "data-"+ip), "memoryMegabytes": coreMemoryMB,
	})
}

// newEdge returns an edge machine. Its settings are those of deploy/gateway.json.
func (f *fleet) newEdge(i, memoryMB int) *machine {
	ip, name := f.network.ip(firstEdge+i), fmt.Sprintf("edge-%d", i+1)
	return f.newMachine(name, ip, "gateway", memoryMB, map[string]any{
		"vm": name, "dataCentre": zoneOf(i), "dataCentres": zones, "linkAddress": f.address(ip, f.ports.link),
		"operatorAddress": f.address(ip, f.ports.operator), "callerAddress": f.address(ip, f.ports.frontend),
		"readyAddress": f.address(ip, f.ports.ready), "seeds": f.seeds(), "openLinks": true, "linkMegabits": 700,
		"memoryMegabytes": memoryMB, "drainNotice": "2500ms",
		"retries": map[string]any{"ratio": 0.2, "minimum": 116, "window": "10s"},
	})
}

// zones are the zones of the deployment, all in one region.
var zones = []string{"ba-a", "ba-b", "ba-c"}

func zoneOf(i int) string { return zones[i%len(zones)] }

func (f *fleet) newMachine(name, ip, role string, memoryMB int, settings map[string]any) *machine {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		fail("%v", err)
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		fail("%v", err)
	}
	return &machine{name: name, ip: ip, settings: path, role: role, memoryMB: memoryMB, logPath: filepath.Join(f.folder, name+".log")}
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	arguments := []string{"gateway", "--settings", m.settings}
	if m.role == "control" {
		arguments = []string{"control", "--platform", "--settings", m.settings}
	}
	// The shell only lowers the number of descriptors to that of the machine.
	script := fmt.Sprintf("ulimit -n %d; exec %s %s", edgeDescriptors, programPath, strings.Join(arguments, " "))
	c := exec.Command("/bin/sh", "-c", script)
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), "RADISHSHED_GRACE_PERIOD=8s", `RADISHSHED_REGIONS={"ba-a":"ba-region","ba-b":"ba-region","ba-c":"ba-region"}`)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(c); err != nil {
		fail("start %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.mutex.Lock()
	m.command, m.ended = c, ended
	m.mutex.Unlock()
	f.note("platform: %s starts", m.name)
	go func() {
		_ = c.Wait()    // the end is recorded below
		_ = log.Close() // nothing was written here
		f.note("platform: the process of %s has ended (%s)", m.name, c.ProcessState)
		close(ended)
	}()
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s) // fails only if it has ended
	}
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM, kills the process after the grace period, and returns once it has
// ended.
func (f *fleet) terminate(m *machine) {
	f.note("platform: SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(gracePeriod):
		f.note("platform: SIGKILL to %s", m.name)
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
}

// killForMemory kills a process that uses too much memory, and starts it again.
func (f *fleet) killForMemory(m *machine) {
	m.signal(syscall.SIGKILL)
	<-m.ended
	time.Sleep(restartDelay)
	f.start(m)
}

// residentMB returns the resident memory of the process, or zero if it has ended.
func (m *machine) residentMB() float64 {
	m.mutex.Lock()
	pid := m.command.Process.Pid
	m.mutex.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64) // the kernel writes a number
			return kilobytes / 1024
		}
	}
	return 0
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, r := range f.replicas {
		r.stop()
	}
	for _, m := range append(f.edges, f.controls...) {
		m.signal(syscall.SIGKILL)
		select {
		case <-m.ended:
		case <-time.After(processKillTimeout):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) // it lies in the temporary folder
	}
}

// call calls one control machine after the other until one answers with 200, or the time is
// over.
func (f *fleet) call(method, path string, body []byte, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		url := "http://" + f.seeds()[f.next.Add(1)%controlCount] + path
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			fail("%v", err)
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := f.client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // only the status counts
		_ = response.Body.Close()                 // as above
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(configuration map[string]any) {
	body, err := json.Marshal(configuration)
	if err != nil {
		fail("%v", err)
	}
	if !f.call(http.MethodPost, "/Config.Replace", body, startTimeout) {
		fail("the configuration is not acknowledged")
	}
	f.note("operator: configuration %v acknowledged", configuration["version"])
}

// ready reports whether an edge machine answers the readiness check with 200.
func (f *fleet) ready(m *machine) bool {
	response, err := f.client.Get("http://" + f.address(m.ip, f.ports.ready) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // not read
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until an edge machine is ready.
func (f *fleet) awaitReady(m *machine) {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if f.ready(m) {
			f.note("platform: %s is ready", m.name)
			return
		}
	}
	fail("%s does not become ready", m.name)
}

// frontend returns the address of an edge machine for clients.
func (f *fleet) frontend(m *machine) string { return f.address(m.ip, f.ports.frontend) }

// configuration returns a configuration in the form of the pages.
func configuration(prepaid int64) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-draft", "host": testHost, "path_prefix": "/draft/", "route_type": "streaming", "timeout_ms": 15000,
				"target_latency_ms": 1000, "priority": 1, "service": "engine", "max_attempts": 1, "anonymous": false,
				"session_affinity": true, "stream_resumption": false, "target_itl_ms": 500,
			},
			map[string]any{
				"name": "r-order", "host": testHost, "path_prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 3000,
				"target_latency_ms": 300, "priority": 2, "service": "shop", "max_attempts": 1, "anonymous": false,
			},
			map[string]any{
				"name": "r-look", "host": testHost, "path_prefix": "/look/", "route_type": "idempotent", "timeout_ms": 15000,
				"target_latency_ms": 300, "priority": 2, "service": "shop", "max_attempts": 2, "anonymous": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "engine", "health_check_path": "/healthz", "max_connections": 863, "protocol": "h1", "tls": false,
				"backend": map[string]any{
					"capacity": 64, "kv_capacity_tokens": 584028, "kv_bytes": 163840, "bandwidth_mbps": 1100000.0,
					"interval": tokensPerEvent, "most": 12, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "shop", "health_check_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304,
			"header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": idleTimeout.Milliseconds(),
		},
		"tenants": []any{map[string]any{"name": testTenant, "api_keys": []string{testKey}, "priority": 1, "prepaid": prepaid}},
	}
}
