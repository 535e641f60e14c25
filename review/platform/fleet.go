package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site files that the cases use.
const (
	contactWindow = 3 * time.Second
	drainTimeout  = 2 * time.Second
	gracePeriod   = 8 * time.Second
	heartbeat     = 1200 * time.Millisecond
	seedStaleness = 3 * time.Second
)

const (
	linkPort     = 7340
	internalPort = 7355
	frontPort    = 8227
	readyPort    = 8220
	adminPort    = 8229
	targetPort   = 8080
)

// record writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) log(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// unable ends the script with status 2: the case could not run.
type unable struct{ err error }

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

func fail(format string, args ...any) { panic(unable{fmt.Errorf(format, args...)}) }

// process is one process of the system.
type process struct {
	fleet   *fleet
	name    string
	ip      string
	command []string
	cmd     *exec.Cmd
	ended   chan struct{}
}

func (p *process) start() {
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop does what the platform does: SIGTERM, and SIGKILL after the grace period.
func (p *process) stop() {
	p.fleet.record.log("platform: SIGTERM to %s", p.name)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		p.fleet.record.log("platform: %s has ended by itself", p.name)
	case <-time.After(gracePeriod):
		p.fleet.record.log("platform: SIGKILL to %s after the grace period", p.name)
		p.kill()
	}
}

// fleet is a small deployment: three control VMs and a few routers, with one loopback
// address for each VM and the same ports on all of them.
type fleet struct {
	record   *record
	dir      string
	prefix   string
	binary   string
	controls []*process
	routers  []*process
	targets  []*target
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.prefix, n) }

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePrefix returns the first three numbers of loopback addresses of which the ports are free.
func freePrefix() string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(230), rand.IntN(250))
		free := true
		for n := 1; n < 190 && free; n++ {
			for _, port := range []int{linkPort, internalPort, frontPort, readyPort, adminPort, targetPort} {
				l, err := net.Listen("tcp", addr(fmt.Sprintf("%s.%d", prefix, n), port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix
		}
	}
	fail("no free loopback addresses")
	return ""
}

func newFleet(r *record, binary string) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	absolute, err := filepath.Abs(binary)
	must(err)
	if _, err := os.Stat(absolute); err != nil {
		fail("the system is not built: %v", err)
	}
	return &fleet{record: r, dir: dir, prefix: freePrefix(), binary: absolute}
}

func (f *fleet) write(name string, settings map[string]any) string {
	data, err := json.Marshal(settings)
	must(err)
	path := filepath.Join(f.dir, name+".json")
	must(os.WriteFile(path, data, 0o600))
	return path
}

// start starts control and the routers, as deploy/system.toml does, with the settings that the
// templates give.
func (f *fleet) start(routers int) {
	zones := []string{"a", "b", "c"}
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, addr(f.ip(n), adminPort))
	}
	for n := 1; n <= 3; n++ {
		ip := f.ip(n)
		data := filepath.Join(f.dir, fmt.Sprintf("data-%d", n))
		must(os.Mkdir(data, 0o700))
		path := f.write(fmt.Sprintf("core-%d", n), map[string]any{
			"vm": ip, "dataCentre": zones[n-1], "dataCentres": zones,
			"linkAddress": addr(ip, linkPort), "operatorAddress": addr(ip, adminPort),
			"seeds": seeds, "openLinks": true, "firstStart": true, "dataFolder": data, "memoryMegabytes": 280,
		})
		p := &process{fleet: f, name: fmt.Sprintf("core-%d", n), ip: ip, command: []string{f.binary, "control", "--platform", "--settings", path}}
		f.controls = append(f.controls, p)
		p.start()
	}
	for n := 1; n <= routers; n++ {
		ip := f.ip(10 + n)
		name := fmt.Sprintf("edge-%d", n)
		path := f.write(name, map[string]any{
			"vm": name, "dataCentre": zones[(n-1)%3], "dataCentres": zones,
			"linkAddress": addr(ip, linkPort), "operatorAddress": addr(ip, internalPort),
			"callerAddress": addr(ip, frontPort), "readyAddress": addr(ip, readyPort),
			"seeds": seeds, "openLinks": true, "linkMegabits": 700, "memoryMegabytes": 206, "drainNotice": "2500ms",
			"retries": map[string]any{"ratio": 0.2, "minimum": 116, "window": "10s"},
		})
		p := &process{fleet: f, name: name, ip: ip, command: []string{f.binary, "gateway", "--settings", path}}
		f.routers = append(f.routers, p)
		p.start()
	}
}

// close ends all processes that the script has started and removes the folder.
func (f *fleet) close() {
	for _, t := range f.targets {
		t.end()
	}
	for _, p := range append(f.routers, f.controls...) {
		if p.cmd != nil && p.running() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

// submit sends a configuration until it is acknowledged.
func (f *fleet) submit(configuration map[string]any) {
	body, err := json.Marshal(configuration)
	must(err)
	client := &http.Client{Timeout: 2 * time.Second}
	for deadline := time.Now().Add(20 * time.Second); ; {
		for _, c := range f.controls {
			response, err := client.Post("http://"+addr(c.ip, adminPort)+"/Config.Replace", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			switch {
			case response.StatusCode == http.StatusOK:
				f.record.log("operator: configuration %v acknowledged by %s", configuration["version"], c.name)
				return
			case response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429:
				fail("configuration refused: %d %s", response.StatusCode, answer)
			}
		}
		if time.Now().After(deadline) {
			fail("no acknowledgement of the configuration")
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func ready(p *process) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + addr(p.ip, readyPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); ; {
		all := true
		for _, p := range f.routers {
			all = all && ready(p)
		}
		if all {
			return
		}
		if time.Now().After(deadline) {
			fail("the routers are not ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
}
