package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/state/cataloguer"
)

const (
	// A stream counts as stalled after stallFirstEventFactor times the objective for
	// the first event or stallGapFactor times the objective for the gap between events
	// without a complete event, whichever is longer, but not before minStallTimeout.
	// Callers wait a third longer before they give up, so the rest is the time to
	// resume the stream at another target.
	minStallTimeout       = 1500 * time.Millisecond
	stallFirstEventFactor = 3
	stallGapFactor        = 6
)

// errStalled means that a stream that had begun made no progress for stallTimeout.
var errStalled = errors.New("the stream has stalled")

// stallTimeout returns how long a stream of the route may make no progress.
func stallTimeout(r cataloguer.Route) time.Duration {
	return max(minStallTimeout, stallFirstEventFactor*r.FirstEventObjective(), stallGapFactor*r.MaxEventGap())
}

// stallDetector ends an attempt whose stream has begun and then makes no progress. Comments
// are no progress. The attempt goes on if the stream cannot resume at another target: a
// slow target is better than none.
type stallDetector struct {
	timeout time.Duration
	// mayResume reports whether the request may be sent to another target, and if so
	// takes the retry from the budget.
	mayResume func() bool
	// end ends the attempt.
	end context.CancelFunc

	mutex sync.Mutex
	timer *time.Timer
	ended bool // whether end has been called because the stream stalled
}

// recordProgress restarts the time without progress.
func (d *stallDetector) recordProgress() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.timer == nil {
		d.timer = time.AfterFunc(d.timeout, d.run)
		return
	}
	d.timer.Reset(d.timeout)
}

// run is called when the stream has made no progress for the timeout.
func (d *stallDetector) run() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.mayResume() {
		d.ended = true
		d.end()
	}
}

// fired reports whether the detector has ended the attempt.
func (d *stallDetector) fired() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ended
}

// stop stops the detector.
func (d *stallDetector) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
}
