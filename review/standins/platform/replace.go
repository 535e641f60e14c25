package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// replaceCore replaces two core machines by empty ones at other addresses, one long after the
// other, and reads the configuration back.
func replaceCore(r *record, trouble bool) (bool, error) {
	const (
		gap      = time.Second      // between the loss of a machine and the start of its successor
		settling = 12 * time.Second // after each start; sync_timeout_s is 4 s
		reading  = 12 * time.Second // how long the operator tries to read back
	)
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return false, err
	}
	defer func() { f.stop() }()
	if err := f.startAll(orderConfiguration); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	version := 1
	for i, lost := range []*process{f.controls[2], f.controls[1]} {
		if trouble {
			if err := f.replace(lost, 4+i, gap); err != nil {
				return false, err
			}
		}
		time.Sleep(settling)
		if i > 0 {
			break
		}
		version++
		if err := f.submit(f.versioned(version), time.Now().Add(4*time.Second)); err != nil {
			return false, fmt.Errorf("after one replacement: %w", err)
		}
	}
	deadline := time.Now().Add(reading)
	for n := 0; time.Now().Before(deadline); n++ {
		node := f.controls[n%len(f.controls)]
		status, read := f.fetch(node)
		r.log("the operator reads the configuration at %s: status %d", node.name, status)
		if status == http.StatusOK {
			r.log("version read back: %s", read)
			return strings.Contains(read, fmt.Sprintf(`"version": %d,`, version)), nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.log("version %d was acknowledged and cannot be read back", version)
	if err := f.submit(f.versioned(version+1), time.Now().Add(5*time.Second)); err != nil {
		r.log("another change: %v", err)
	}
	return false, nil
}

// replace ends a core machine for good and starts an empty one at another address.
func (f *fleet) replace(lost *process, number int, gap time.Duration) error {
	f.signal(lost, syscall.SIGKILL)
	<-lost.exited
	var kept []*process
	var seeds []string
	for _, p := range f.controls {
		if p != lost {
			kept = append(kept, p)
			seeds = append(seeds, fmt.Sprintf("%s:%d", p.ip, f.admin))
		}
	}
	time.Sleep(gap)
	successor, err := f.newControl(number, seeds, false)
	if err != nil {
		return err
	}
	f.controls = append(kept, successor)
	return f.start(successor)
}

func (f *fleet) versioned(version int) string {
	return strings.Replace(orderConfiguration, `"version": 1,`, fmt.Sprintf(`"version": %d,`, version), 1)
}

// fetch reads the configuration at a core machine.
func (f *fleet) fetch(p *process) (int, string) {
	response, err := callClient.Get(fmt.Sprintf("http://%s:%d/Config.Fetch", p.ip, f.admin))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, string(data)
}
