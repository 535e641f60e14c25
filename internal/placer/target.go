package placer

import (
	"math"
	"time"

	"radishshed.example/radishshed/internal/selector"
)

const (
	// reportSpan is how quickly a report of a target's load loses its weight.
	reportSpan = 1500 * time.Millisecond
	// faultSpan is how quickly failures of a target are forgotten.
	faultSpan = 3 * time.Second
	// minAvoidance and maxAvoidance bound for how long a target that could not be
	// reached gets no work while others can take it.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

// Load is how busy a target says it is.
type Load struct {
	running int64
	waiting int64
	slots   int64
}

// NewLoad returns the load of a target with so many requests that run and wait,
// and so many slots.
func NewLoad(running, waiting, slots int64) Load { return Load{running, waiting, slots} }

// target is what a router knows of a target.
type target struct {
	announcement selector.Announcement
	leaving      bool
	expiresAt    time.Time

	open       int64 // requests of this router that are open
	prefilling int64 // uncached prompt tokens of those without a first event

	// others is the load by other routers as of the newest report.
	others     int64
	waiting    int64
	reportedAt time.Time

	faults       float64 // decaying count of failures
	faultsAt     time.Time
	avoidUntil   time.Time
	avoidance    time.Duration
	firstEventMs float64 // average of the time to the first event
	firstAt      time.Time
}

func (t *target) usable(now time.Time, stalled bool) bool {
	return !t.leaving && (stalled || now.Before(t.expiresAt))
}

func (t *target) report(l Load, now time.Time) {
	t.others = max(0, l.running+l.waiting-t.open)
	t.waiting = l.waiting
	t.reportedAt = now
}

// load estimates how many requests the target has.
func (t *target) load(now time.Time) float64 {
	return float64(t.open) + float64(t.others)*decay(now.Sub(t.reportedAt), reportSpan)
}

func (t *target) faultRate(now time.Time) float64 {
	return t.faults * decay(now.Sub(t.faultsAt), faultSpan)
}

func (t *target) fault(now time.Time) {
	t.faults = t.faultRate(now) + 1
	t.faultsAt = now
}

// avoid keeps work away from a target that could not be reached.
func (t *target) avoid(now time.Time) {
	t.avoidance = min(max(2*t.avoidance, minAvoidance), maxAvoidance)
	t.avoidUntil = now.Add(t.avoidance)
}

// lateness estimates the time to the first event beyond that of an idle target.
func (t *target) lateness(now time.Time) time.Duration {
	return time.Duration(t.firstEventMs*decay(now.Sub(t.firstAt), reportSpan)) * time.Millisecond
}

func decay(elapsed, span time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(span))
}
