package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	edgeMemoryBytes = 206 << 20
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
	// lineInterval is the time between the header lines that come without end.
	lineInterval = time.Second
	// headBytes is what a replica in trouble sends at once of a head without end.
	headBytes = 60 << 10
)

// privateBytes returns the private memory of a process, without its program file.
func privateBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// memoryGuard ends a process over the memory of its machine and starts it again, as the platform does.
type memoryGuard struct {
	fleet   *fleet
	process *process
	stopped chan struct{}
	running sync.WaitGroup
	most    int64
	ended   int
	failure error // of a start
}

func (m *memoryGuard) run() {
	defer m.running.Done()
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := privateBytes(m.process.command.Process.Pid)
		m.most = max(m.most, used)
		if used <= edgeMemoryBytes {
			continue
		}
		m.ended++
		m.fleet.record.log("%s uses %d MB of %d MB and is ended", m.process.name, used>>20, edgeMemoryBytes>>20)
		m.fleet.signal(m.process, syscall.SIGKILL)
		<-m.process.exited
		time.Sleep(restartDelay)
		if err := m.fleet.start(m.process); err != nil {
			m.failure = err
			return
		}
	}
}

// endlessHead answers each request on a connection with header lines without end.
func endlessHead(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n", request.Header.Get("X-Attempt-Id"))
	n := 0
	line := func() string {
		n++
		return fmt.Sprintf("%03s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	for b.Len() < headBytes {
		b.WriteString(line())
	}
	for {
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
		b.Reset()
		b.WriteString(line())
		time.Sleep(lineInterval)
	}
}

// troubled is a replica in trouble: it announces itself, and its answers are heads without end.
type troubled struct{ *target }

func (t troubled) open() (net.Listener, error) {
	l, err := net.Listen("tcp", t.address())
	if err != nil {
		return nil, err
	}
	t.born, t.state = time.Now().UnixMilli(), "ready"
	go t.runHeartbeats(0)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go endlessHead(c)
		}
	}()
	return l, nil
}

// keptClient sends orders one after the other on a kept connection.
type keptClient struct {
	fleet   *fleet
	edge    *process
	name    string
	pause   time.Duration
	stopped chan struct{}

	sent, served int
	unanswered   []string // ids of orders that ended without an answer
}

func (k *keptClient) run(done *sync.WaitGroup) {
	defer done.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for n := 0; ; n++ {
		select {
		case <-k.stopped:
			return
		case <-time.After(k.pause):
		}
		id := fmt.Sprintf("%s-%05d", k.name, n)
		k.sent++
		status, err := k.order(client, id)
		k.fleet.record.log("client gets status %d for %s from %s (error: %v)", status, id, k.edge.name, err)
		switch {
		case err != nil:
			k.unanswered = append(k.unanswered, id)
		case status == http.StatusOK:
			k.served++
		}
	}
}

func (k *keptClient) order(client *http.Client, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/orders/place", k.edge.ip, k.fleet.caller), strings.NewReader(id))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil // the client library must not send it again
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Bearer key-acme-1")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// endlessHeads lets some replicas of the model service answer with heads without end.
func endlessHeads(r *record, trouble bool) (bool, error) {
	const (
		engines        = 5
		inTrouble      = 3
		promptInterval = 14600 * time.Microsecond // 68.6 a second, as on the site
		length         = 45 * time.Second
		maxCut         = 3
	)
	f, err := newFleet(r, 3, 3)
	if err != nil {
		return false, err
	}
	defer func() { f.stop() }()
	if err := f.startAll(strings.Replace(engineConfiguration, `"timeout_ms": 12000`, `"timeout_ms": 15000`, 1)); err != nil {
		return false, err
	}
	for i := range engines {
		t := &target{fleet: f, name: fmt.Sprintf("i-llm-%d", i+1), service: "llm", ip: fmt.Sprintf("%s.3.%d", f.prefix, i+1), port: f.targets,
			zone: zones[i%3], version: "v1", capacity: 64, work: 40 * time.Millisecond, stream: writeEvents}
		if trouble && i < inTrouble {
			l, err := troubled{t}.open()
			if err != nil {
				return false, err
			}
			defer func() { _ = l.Close() }()
			continue
		}
		defer t.close()
		if err := t.open(); err != nil {
			return false, err
		}
	}
	var shops []*target
	for i := range 3 {
		t := &target{fleet: f, name: fmt.Sprintf("i-shop-%d", i+1), service: "shop", ip: fmt.Sprintf("%s.4.%d", f.prefix, i+1), port: f.targets,
			zone: zones[i], version: "v1", capacity: 6, work: 300 * time.Millisecond}
		defer t.close()
		if err := t.open(); err != nil {
			return false, err
		}
		shops = append(shops, t)
	}
	time.Sleep(contactWindow + 2*time.Second)
	stopped := make(chan struct{})
	var guards []*memoryGuard
	for _, g := range f.gateways {
		m := &memoryGuard{fleet: f, process: g, stopped: stopped}
		m.running.Add(1)
		go m.run()
		guards = append(guards, m)
	}
	var clients []*keptClient
	var done sync.WaitGroup
	for i := range 12 {
		k := &keptClient{fleet: f, edge: f.gateways[i%3], name: fmt.Sprintf("o%02d", i), pause: 180 * time.Millisecond, stopped: stopped}
		done.Add(1)
		go k.run(&done)
		clients = append(clients, k)
	}
	prompts := f.startLoad(promptInterval, func(n int) (*process, attempt) {
		a := orderAttempt(fmt.Sprintf("p%06d", n), "/notes/write", fmt.Sprintf("prompt %d", n))
		a.deadline = 15 * time.Second
		a.headers = map[string]string{"X-Model": "m", "X-Token-Usage": "140,60", "X-Prefix-Hash": fmt.Sprintf("a0000001:40,%08x:100", n+0x1000)}
		return f.gateways[n%3], a
	})
	time.Sleep(length)
	close(stopped)
	promptsSent, promptsServed := prompts.end()
	done.Wait()
	arrived := map[string]bool{}
	for _, t := range shops {
		for _, a := range t.received() {
			arrived[a.id] = arrived[a.id] || a.ran
		}
	}
	sent, served, cut, ended := 0, 0, 0, 0
	for _, k := range clients {
		sent, served = sent+k.sent, served+k.served
		for _, id := range k.unanswered {
			if arrived[id] {
				cut++
				r.log("%s reached a sound replica and ended without an answer", id)
			}
		}
	}
	for _, m := range guards {
		m.running.Wait()
		if m.failure != nil {
			return false, m.failure
		}
		ended += m.ended
		r.log("%s used %d MB of %d MB at most and was ended %d times for it", m.process.name, m.most>>20, edgeMemoryBytes>>20, m.ended)
	}
	r.log("%d of %d orders and %d of %d prompts served; %d orders that had reached a sound replica were cut (bound %d); %d processes ended for their memory",
		served, sent, promptsServed, promptsSent, cut, maxCut, ended)
	return cut <= maxCut, nil
}
