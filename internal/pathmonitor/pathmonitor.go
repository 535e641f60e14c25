// Package pathmonitor decides whether a router has lost the network path to all targets.
//
// It answers a partition that cuts single routers, or most of a data centre, off from all
// targets, while callers and other routers still reach them: new connections hang, are reset
// or are refused, and those that are open hang or live on. One target that has ended, or is
// silent for a while, looks the same to a single request. So a suspicion only leads to
// probes: connections to several other targets at the same time. The path is lost if all of
// them fail, and it is back once most succeed.
//
// A Monitor has no clock and opens no connections: its owner passes the time and the results.
package pathmonitor

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ProbeCount is how many targets are probed at a time, if there are as many.
	ProbeCount = 4
	// minFailed is how many targets have to fail: one alone may have ended.
	minFailed = 2
	// SilenceLimit is how long nothing may arrive from any target, or a connection take to
	// be opened, without a suspicion.
	SilenceLimit = 300 * time.Millisecond
	// clearInterval is how long a suspicion is not examined again after probes have succeeded.
	clearInterval = 500 * time.Millisecond
	// lostInterval is the interval of the probes while the path is lost.
	lostInterval = 400 * time.Millisecond
)

// Change is what probes have changed. The interface is sealed: its only implementations are
// Unchanged, Lost and Regained.
type Change interface{ isChange() }

// Unchanged means that the path is as it was.
type Unchanged struct{}

// Lost means that the path to all targets has been lost.
type Lost struct{}

// Regained means that the path is back.
type Regained struct{}

func (Unchanged) isChange() {}
func (Lost) isChange()      {}
func (Regained) isChange()  {}

// Monitor is the state of a router's path to targets. It is safe for concurrent use.
type Monitor struct {
	startedAt  time.Time
	lost       atomic.Bool
	waiting    atomic.Int64 // open requests
	receivedAt atomic.Int64 // when something last arrived for one of these, since startedAt

	mutex     sync.Mutex
	dialling  map[uint64]time.Time
	lastDial  uint64
	nextProbe time.Time // no probes before
}

// New returns a monitor of a path that works.
func New(now time.Time) *Monitor { return &Monitor{startedAt: now, dialling: map[uint64]time.Time{}} }

// Lost reports whether the path has been lost.
func (m *Monitor) Lost() bool { return m.lost.Load() }

// BeginDial records that a connection to a target is being opened. The result is passed to
// EndDial.
func (m *Monitor) BeginDial(now time.Time) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastDial++
	m.dialling[m.lastDial] = now
	return m.lastDial
}

// EndDial records that a connection has been opened, or could not be.
func (m *Monitor) EndDial(dial uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.dialling, dial)
}

// AddWaiting adds to the number of requests that wait for a target's bytes.
func (m *Monitor) AddWaiting(n int64, now time.Time) {
	if m.waiting.Add(n) == n && n > 0 {
		m.RecordReceived(now) // nothing was to arrive before
	}
}

// RecordReceived records that bytes have arrived from a target.
func (m *Monitor) RecordReceived(now time.Time) { m.receivedAt.Store(int64(now.Sub(m.startedAt))) }

// silent reports whether requests wait and nothing arrives for any of them.
func (m *Monitor) silent(now time.Time) bool {
	return m.waiting.Load() > 0 && now.Sub(m.startedAt)-time.Duration(m.receivedAt.Load()) > SilenceLimit
}

// Suspicious reports whether probes are due, since connections take too long or nothing
// arrives, or, while the path is lost, since it may be back.
func (m *Monitor) Suspicious(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Before(m.nextProbe) {
		return false
	}
	if m.lost.Load() || m.silent(now) {
		return true
	}
	for _, startedAt := range m.dialling {
		if now.Sub(startedAt) > SilenceLimit {
			return true
		}
	}
	return false
}

// MayProbe reports whether probes may follow a failed connection: they have not just
// succeeded, and the path is not known to be lost.
func (m *Monitor) MayProbe(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.lost.Load() && !now.Before(m.nextProbe)
}

// RecordProbes records the results of probes of different targets and returns what follows.
func (m *Monitor) RecordProbes(succeeded, failed int, now time.Time) Change {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.nextProbe = now.Add(clearInterval)
	switch {
	case m.lost.Load() && succeeded > failed:
		m.lost.Store(false)
		m.RecordReceived(now)
		return Regained{}
	case m.lost.Load():
		m.nextProbe = now.Add(lostInterval)
		return Unchanged{}
	case succeeded == 0 && failed >= minFailed:
		m.lost.Store(true)
		m.nextProbe = now.Add(lostInterval)
		return Lost{}
	default:
		return Unchanged{}
	}
}
