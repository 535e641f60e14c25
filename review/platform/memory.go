package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimitMB = 206 // of an edge VM
	bodyBytes     = 4 << 20
	usualClients  = 15
	burstClients  = 25 // 1.67 times the usual
	burstTime     = 3 * time.Second
)

func init() { cases["memory"] = memoryOfBodies }

// anonymousMB returns the memory of a process without the pages of its program file.
func anonymousMB(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// memoryOfBodies: clients send bodies of the size that the configuration allows, and more of
// them come at once.
func memoryOfBodies(f *fleet, trouble bool) (bool, string) {
	f.start(2)
	f.submit(configuration(1, 1_000_000_000, route("book", "/book/", "non_idempotent", 4000, 300, 500, 1, "app", false)))
	for n := range 6 {
		f.startTarget(n, fmt.Sprintf("i-%d", n), "app", func(t *target, w http.ResponseWriter, r *http.Request) {
			size, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			time.Sleep(60 * time.Millisecond)
			fmt.Fprintf(w, "%d bytes", size)
		})
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)

	router := f.routers[0]
	var peak, killedAt atomic.Int64
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { // the platform: "A process that uses more than memory_limit_mb is killed."
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb := anonymousMB(router)
			peak.Store(max(peak.Load(), int64(mb)))
			if mb > memoryLimitMB && killedAt.CompareAndSwap(0, time.Now().UnixNano()) {
				f.record.log("platform: %s uses %.0f MB, more than %d: killed", router.name, mb, memoryLimitMB)
				router.signal(syscall.SIGKILL)
			}
		}
	})

	body := strings.Repeat("x", bodyBytes)
	var mutex sync.Mutex
	var all []exchange
	var clients sync.WaitGroup
	begin := time.Now()
	client := func(n int, from, until time.Duration) {
		time.Sleep(time.Until(begin.Add(from)))
		c, err := dial(router.ip)
		if err != nil {
			return
		}
		defer c.close()
		for k := 1; time.Since(begin) < until; k++ {
			id := fmt.Sprintf("c%d-%d", n, k)
			e := c.send(http.MethodPost, "/book/x", id, 4*time.Second, nil, body)
			if !e.complete || e.status != http.StatusOK {
				f.record.log("client %d: %s status %d, complete %v, error %v", n, id, e.status, e.complete, e.err)
			}
			mutex.Lock()
			all = append(all, e)
			mutex.Unlock()
			if !e.complete || e.closes {
				return
			}
		}
	}
	const total = 12 * time.Second
	for n := range usualClients {
		clients.Go(func() { client(n, 0, total) })
	}
	if trouble {
		f.record.log("burst: %d clients instead of %d for %s", burstClients, usualClients, burstTime)
		for n := range burstClients - usualClients {
			clients.Go(func() { client(usualClients+n, 5*time.Second, 5*time.Second+burstTime) })
		}
	}
	clients.Wait()
	close(done)
	watching.Wait()

	served, other, cut := 0, 0, 0
	for _, e := range all {
		ran := 0
		for _, t := range f.targets {
			t.mutex.Lock()
			ran += t.runs[e.id]
			t.mutex.Unlock()
		}
		switch {
		case e.complete && e.status == http.StatusOK:
			served++
		case e.status == 0 && ran > 0:
			cut++
			f.record.log("judge: %s was passed on to a sound replica over a kept connection, which was closed without an answer", e.id)
		default:
			other++
		}
	}
	return cut > 3, fmt.Sprintf("%d served, %d cut without an answer after they were passed on, %d others; at most %d MB; ended for its memory %v",
		served, cut, other, peak.Load(), killedAt.Load() != 0)
}
