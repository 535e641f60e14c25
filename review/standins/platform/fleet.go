package main

import (
	"bytes"
	"context"
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
	"syscall"
	"time"
)

// Times and limits of the settings, as on the page of frascoteca-prod.
const (
	heartbeatInterval = 1200 * time.Millisecond
	contactWindow     = 3 * time.Second
	drainTimeout      = 2 * time.Second
	startTimeout      = 15 * time.Second
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one process of the project.
type process struct {
	name     string
	args     []string
	env      []string
	log      string
	ip       string
	settings string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	program  string
	prefix   string // first two parts of the loopback addresses
	link     int    // ports, the same on all machines
	operator int
	caller   int
	ready    int
	admin    int
	targets  int

	controls, gateways []*process

	mutex   sync.Mutex
	version int
}

// freePort returns a port that no process uses on the loopback address.
func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func newFleet(r *record, controls, gateways int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: r, folder: folder, program: filepath.Join(root, "target", "radishshed"), prefix: "127.77",
		link: freePort(), operator: freePort(), caller: freePort(), ready: freePort(), admin: freePort(), targets: freePort(),
	}
	var seeds []string
	for i := range min(3, controls) {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%d", f.prefix, i+1, f.admin))
	}
	seedList, _ := json.Marshal(seeds)
	for i := range controls {
		p, err := f.newControl(i+1, seeds, true)
		if err != nil {
			return nil, err
		}
		f.controls = append(f.controls, p)
	}
	for i := range gateways {
		ip := fmt.Sprintf("%s.2.%d", f.prefix, i+1)
		p := &process{name: fmt.Sprintf("edge-%d", i+1), ip: ip, settings: filepath.Join(folder, ip+".json")}
		p.args = []string{"gateway", "--settings", p.settings}
		p.env = []string{"RADISHSHED_GRACE_PERIOD=8s", `RADISHSHED_REGIONS={"za":"r","zb":"r","zc":"r"}`}
		f.writeSettings(p, fmt.Sprintf(`{"vm": %q, "dataCentre": %q, "dataCentres": ["za","zb","zc"], "linkAddress": "%s:%d",
 "operatorAddress": "%s:%d", "callerAddress": "%s:%d", "readyAddress": "%s:%d", "seeds": %s, "openLinks": true, "linkMegabits": 700,
 "memoryMegabytes": 206, "drainNotice": "2500ms", "retries": {"ratio": 0.2, "minimum": 116, "window": "10s"}}`,
			p.name, zones[i%3], ip, f.link, ip, f.operator, ip, f.caller, ip, f.ready, seedList))
		f.gateways = append(f.gateways, p)
	}
	return f, nil
}

var zones = []string{"za", "zb", "zc"}

// newControl returns a core machine with an empty disk that is not running.
func (f *fleet) newControl(number int, seeds []string, bootstrap bool) (*process, error) {
	seedList, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("%s.1.%d", f.prefix, number)
	data := filepath.Join(f.folder, "data-"+ip)
	if err := os.Mkdir(data, 0o700); err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("core-%d", number), ip: ip, settings: filepath.Join(f.folder, ip+".json")}
	p.args = []string{"control", "--platform", "--settings", p.settings}
	f.writeSettings(p, fmt.Sprintf(`{"vm": %q, "dataCentre": %q, "dataCentres": ["za","zb","zc"], "linkAddress": "%s:%d",
 "operatorAddress": "%s:%d", "seeds": %s, "openLinks": true, "firstStart": %t, "dataFolder": %q, "memoryMegabytes": 280}`,
		ip, zones[(number-1)%3], ip, f.link, ip, f.admin, seedList, bootstrap, data))
	return p, nil
}

// repositoryRoot returns the folder that holds target/radishshed.
func repositoryRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for folder != "/" {
		if _, err := os.Stat(filepath.Join(folder, "target", "radishshed")); err == nil {
			return folder, nil
		}
		folder = filepath.Dir(folder)
	}
	return "", fmt.Errorf("target/radishshed is missing: run the build of the deploy file first")
}

func (f *fleet) writeSettings(p *process, text string) {
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts a process of the project.
func (f *fleet) start(p *process) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(f.program, p.args...)
	p.command.Dir = f.folder
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}, p.env...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(p.command, p.exited)
	f.record.log("%s started as process %d on %s", p.name, p.command.Process.Pid, p.ip)
	return nil
}

// signal sends a signal to a process that this fleet has started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f.record.log("signal %s to %s", s, p.name)
	_ = p.command.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	for _, p := range append(append([]*process{}, f.controls...), f.gateways...) {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// startAll starts all processes, submits the configuration and waits until all gateways are ready.
func (f *fleet) startAll(configuration string) error {
	for _, p := range append(append([]*process{}, f.controls...), f.gateways...) {
		if err := f.start(p); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	if err := f.submit(configuration, deadline); err != nil {
		return err
	}
	for _, g := range f.gateways {
		for f.get(fmt.Sprintf("http://%s:%d/readyz", g.ip, f.ready)) != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.log("all edge machines are ready")
	return nil
}

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) get(url string) int {
	response, err := callClient.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// submit sends a configuration to one control machine after another until one acknowledges it.
func (f *fleet) submit(configuration string, deadline time.Time) error {
	for i := 0; time.Now().Before(deadline); i++ {
		status, _ := f.call(f.controls[i%len(f.controls)], "/Config.Replace", configuration)
		if status == http.StatusOK {
			f.record.log("configuration acknowledged by %s", f.controls[i%len(f.controls)].name)
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("the configuration is refused")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no control machine acknowledges the configuration")
}

// call sends a call to a control machine and returns the status, or zero without an answer.
func (f *fleet) call(p *process, path, body string) (int, string) {
	response, err := callClient.Post(fmt.Sprintf("http://%s:%d%s", p.ip, f.admin, path), "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, string(data)
}

// answer is what a client has got for one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// attempt is one attempt of a client.
type attempt struct {
	id, method, path, key string
	headers               map[string]string
	body                  []byte
	deadline              time.Duration
}

const host = "jars.example"

// send sends an attempt to a gateway on a new connection and reads the whole answer.
func (f *fleet) send(g *process, a attempt) answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.method, fmt.Sprintf("http://%s:%d%s", g.ip, f.caller, a.path), bytes.NewReader(a.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+a.key)
	request.Header.Set("Accept-Encoding", "identity")
	for name, value := range a.headers {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err, took: time.Since(begun)}
}
