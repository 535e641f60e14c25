package relayer

import (
	"sync/atomic"
	"time"
)

// abandonDelay is how long after the loss of the path an attempt must have made progress. By
// then what was on its way has arrived on connections that live on.
const abandonDelay = time.Second

// Attempt is a request at a target that may be sent elsewhere.
type Attempt struct {
	relayer    *Relayer
	startedAt  time.Time
	progressed atomic.Bool // since the path was lost
	end        func()
}

// Watch returns an attempt that is ended if the path is lost and the attempt then makes no
// progress: it hangs on a connection that was open before. Stop must be called.
func (r *Relayer) Watch(end func()) *Attempt {
	a := &Attempt{relayer: r, startedAt: time.Now(), end: end}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts[a] = true
	return a
}

// RecordProgress records that part of the response has arrived.
func (a *Attempt) RecordProgress() {
	if a.relayer.Lost() {
		a.progressed.Store(true)
	}
}

// Stop ends the watch.
func (a *Attempt) Stop() {
	a.relayer.mutex.Lock()
	defer a.relayer.mutex.Unlock()
	delete(a.relayer.attempts, a)
}

// beginLoss records that the path was lost, and has the attempts examined that it affects.
func (r *Relayer) beginLoss(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lostAt = now
	close(r.lost)
	time.AfterFunc(abandonDelay, r.endHanging)
}

// endHanging ends the attempts that have made no progress since the path was lost.
func (r *Relayer) endHanging() {
	var hanging []*Attempt
	r.mutex.Lock()
	for a := range r.attempts {
		if a.startedAt.Before(r.lostAt) && !a.progressed.Load() {
			hanging = append(hanging, a)
		}
	}
	r.mutex.Unlock()
	if !r.Lost() {
		return
	}
	for _, a := range hanging {
		a.end()
	}
}
