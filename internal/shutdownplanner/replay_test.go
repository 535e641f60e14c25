package shutdownplanner_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/durationestimator"
	"radishshed.example/radishshed/internal/shutdownplanner"
)

const (
	replayCallers = 16
	replayStops   = 4 // for each mean and grace period
	noticeShare   = 0.3
	// runSpread is the standard deviation of the logarithm of the durations of runs, and
	// paceSpread that of the time for a unit of their size.
	runSpread, paceSpread = 0.6, 0.15
	// warmUpRuns is how many runs each caller has made before the stop.
	warmUpRuns = 6
	// maxCutShare bounds the part of the requests taken after SIGTERM that are cut off.
	maxCutShare = 0.01
	// maxEarlyShare bounds the part of the requests after SIGTERM that are refused though they
	// would have ended.
	maxEarlyShare = 0.25
)

// way is a way to decide on requests during a stop.
type way string

const (
	takeAll           way = "take all"
	refuseAtOnce      way = "refuse from SIGTERM on"
	refuseAfterNotice way = "refuse after the notice"
	byDuration        way = "by learned durations"
	bySize            way = "by learned durations and sizes"
)

// outcome counts what becomes of the requests that arrive after SIGTERM.
type outcome struct{ arrived, cut, early, refused int }

// replay plays stops under callers that send one stream after the other on kept connections, in
// virtual time.
type replay struct {
	random      *rand.Rand
	way         way
	mean, grace time.Duration
	outcome     outcome
}

// draw returns the duration of a run and its size.
func (r *replay) draw() (time.Duration, int64) {
	size := r.mean.Seconds() * math.Exp(r.random.NormFloat64()*runSpread)
	duration := size * math.Exp(r.random.NormFloat64()*paceSpread)
	if r.way != bySize {
		return time.Duration(duration * float64(time.Second)), 0
	}
	return time.Duration(duration * float64(time.Second)), int64(size*1000) + 1
}

func (r *replay) stop() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	plan := shutdownplanner.New(shutdownplanner.Config{StartedAt: start, Notice: time.Duration(noticeShare * float64(r.grace)), Grace: r.grace})
	durations := durationestimator.New()
	for range replayCallers {
		// The runs before the stop; the last of them is under way at SIGTERM.
		at := start.Add(-time.Duration(r.random.Float64() * float64(r.mean)))
		for range warmUpRuns {
			duration, size := r.draw()
			durations.Begin(durationestimator.NewRequest("route", size), at.Add(-duration)).End(at)
		}
	}
	for range replayCallers {
		at := start.Add(time.Duration(r.random.Float64() * float64(r.mean)))
		for at.Before(plan.KilledAt()) {
			duration, size := r.draw()
			r.outcome.arrived++
			if !r.takes(plan, durations.Longest(durationestimator.NewRequest("route", size), at), at) {
				r.outcome.refused++
				if !at.Add(duration).After(plan.CutAt()) {
					r.outcome.early++
				}
				break // the connection closes
			}
			at = at.Add(duration)
			if at.After(plan.CutAt()) {
				r.outcome.cut++
			}
		}
	}
}

func (r *replay) takes(plan shutdownplanner.Plan, longest time.Duration, at time.Time) bool {
	switch r.way {
	case takeAll:
		return true
	case refuseAtOnce:
		return false
	case refuseAfterNotice:
		return at.Before(plan.NoticeEndsAt())
	default:
		decision := plan.Decide(shutdownplanner.Request{Now: at, Deadline: at.Add(time.Hour), LongestRun: longest})
		_, accepted := decision.(shutdownplanner.Accept)
		return accepted
	}
}

// Replays planned stops over streams and grace periods of very different lengths, for each way to
// decide. What is decided by learned durations cuts next to nothing, and refuses little that
// would have ended.
func TestWaysToDecide(t *testing.T) {
	for _, way := range []way{takeAll, refuseAtOnce, refuseAfterNotice, byDuration, bySize} {
		sum := outcome{}
		for _, grace := range []time.Duration{2, 4, 8, 15, 30, 60} {
			for _, mean := range []float64{0.1, 0.3, 1, 3, 10, 30, 60} {
				r := &replay{
					random: rand.New(rand.NewPCG(36, uint64(grace))), way: way,
					mean: time.Duration(mean * float64(time.Second)), grace: grace * time.Second,
				}
				for range replayStops {
					r.stop()
				}
				sum.arrived += r.outcome.arrived
				sum.cut += r.outcome.cut
				sum.early += r.outcome.early
				sum.refused += r.outcome.refused
			}
		}
		stops := 6 * 7 * replayStops
		t.Logf("%-32s %d stops: %d arrived, %d refused, %d of these early, %d cut", way, stops, sum.arrived, sum.refused, sum.early, sum.cut)
		if way != byDuration && way != bySize {
			continue
		}
		taken := sum.arrived - sum.refused
		if share := float64(sum.cut) / float64(taken); share > maxCutShare {
			t.Errorf("%s: %.4f of what was taken is cut, want at most %v", way, share, maxCutShare)
		}
		if share := float64(sum.early) / float64(sum.arrived); share > maxEarlyShare {
			t.Errorf("%s: %.3f of what arrived is refused early, want at most %v", way, share, maxEarlyShare)
		}
	}
}
