// Package estimator learns how fast the engines of a service process prompts.
//
// Nobody tells a router the speed of an engine, and engines differ by more than a factor
// of ten. The time to the first event of a request is the sum of an overhead, the time
// for the prompt, and the wait for other requests, of which a router knows only a part.
// An Estimator therefore fits a low quantile of the observed times: the requests that
// had hardly to wait. A late first event of a busy engine moves the estimate little.
//
// An Estimator has no clock and is not safe for concurrent use.
package estimator

import (
	"math"
	"time"
)

const (
	// quantile is the share of requests that had hardly to wait.
	quantile = 0.25
	// The step is the largest relative change that one observation causes. It falls
	// from initialStep to finalStep over settlingObservations.
	initialStep, finalStep = 0.15, 0.03
	settlingObservations   = 60
	// overheadStep is how far one observation moves the overhead.
	overheadStep    = 500 * time.Microsecond
	initialOverhead = 8 * time.Millisecond
	maxOverhead     = 100 * time.Millisecond
	// minFactor and maxFactor bound the estimate.
	minFactor, maxFactor = 0.02, 50
	// typicalWeight is the weight of an observation in the average of the reference
	// times.
	typicalWeight = 0.05
)

// Estimator learns the factor between the actual time of prompts and a reference time,
// which is the time on an engine of average speed.
type Estimator struct {
	factor       float64
	overhead     time.Duration
	typical      time.Duration // average reference time
	observations int
}

// New returns an estimator that expects the reference times.
func New() *Estimator { return &Estimator{factor: 1, overhead: initialOverhead} }

// Factor returns the estimated actual time divided by the reference time.
func (e *Estimator) Factor() float64 { return e.factor }

// Overhead returns the estimated time to the first event of an empty prompt.
func (e *Estimator) Overhead() time.Duration { return e.overhead }

// Observe records the time to the first event of a prompt with the given reference time.
// Requests that were known to wait must not be observed.
func (e *Estimator) Observe(reference, firstEvent time.Duration) {
	if reference <= 0 || firstEvent <= 0 {
		return
	}
	e.observations++
	if e.typical == 0 {
		e.typical = reference
	}
	e.typical += time.Duration(typicalWeight * float64(reference-e.typical))
	direction := quantile
	if firstEvent < e.overhead+time.Duration(e.factor*float64(reference)) {
		direction = quantile - 1
	}
	if reference < e.typical/2 { // mostly overhead
		e.overhead = min(max(e.overhead+time.Duration(direction*float64(overheadStep)), 0), maxOverhead)
		return
	}
	e.factor = min(max(e.factor*math.Exp(e.step()*direction), minFactor), maxFactor)
}

// step returns the largest relative change that the next observation causes.
func (e *Estimator) step() float64 {
	settled := min(1, float64(e.observations)/settlingObservations)
	return initialStep + (finalStep-initialStep)*settled
}
