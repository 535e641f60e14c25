// Package limiter shares the request rate that a target accepts among all routers.
//
// A target in need names in its responses how many requests a second it takes from all
// routers together. That can be less than one request a router in the time that counts, so
// no router can have a part of its own. Instead each request to such a target needs a
// permit. A coordinator, one of the routers, grants the permits of a target from a single
// token bucket. Two more stand in for one that cannot be reached, each at a quarter of the
// rate of the one before it, so that no partition and no disagreement about who is reachable lets
// through more than a third above the limit.
//
// The load pattern: many routers, of which one may carry a large part of the traffic, have
// more work for a target than it takes. Each of them sends what gets a permit, and the rest
// elsewhere at once, without a permit request while the last answer holds. Since the limit counts
// requests, and targets without a limit get the rest, the permits go to the largest requests
// (SizeRanker): the others cost those targets least.
//
// A target that warms up has a limit as well: that of its service, until the end of the warm-up
// (Announce, ExtendWarmup). The load: all targets of a data centre start at
// once and end under more than a few requests a second. All routers know the limit from the
// announcement, without a response. Its permits go to the smallest requests, and its coordinators
// grant fewer at once, since the bound is on the requests in one second.
//
// Use: Observe and Apply record limits, Decide decides on a request, Grant answers other
// routers, Resolve records their answers.
//
// A Limiter reads no clock and sends no messages: the time is an argument of its methods,
// and what others have to know is returned to the caller.
package limiter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/pkg/coordination/ranker"
)

const (
	// limitLifetime is how long a limit is remembered after the last response that named
	// it. It is renewed after half of that.
	limitLifetime = 5 * time.Minute
	// ignoredChange is the relative change of a limit that other routers need not hear of.
	ignoredChange = 0.1
	// minChangeInterval limits how often one process reports that a target's limit has
	// risen or ended.
	minChangeInterval = 250 * time.Millisecond
	// minRate is the rate, in requests a second, at which a target is used that takes less
	// or nothing. Only its answers tell that its limit has ended.
	minRate = 0.25
	// maxTargets bounds the number of targets with a known limit.
	maxTargets = 4096
	// tieBreakBits is the part of a sequence that makes the sequences of processes differ
	// that report the same change at the same time.
	tieBreakBits = 16
)

// ErrFull is returned if so many limits are known that a further one is not recorded.
var ErrFull = errors.Errorf("the limits of %d targets are known already", maxTargets)

// Config configures a Limiter.
type Config struct {
	// VM is the name of the VM of this process. Required.
	VM string
	// Random returns a random number in [0, 1). Default: rand.Float64.
	Random func() float64
}

// Limiter holds what a process knows about the limits of targets. It is safe for
// concurrent use.
type Limiter struct {
	tieBreak uint64
	random   func() float64

	mutex       sync.Mutex
	targets     map[string]*target
	warmupRates map[string]float64 // by service
}

// target is the state of a target whose limit is known.
type target struct {
	incarnation uint64
	limit       Limit  // what the target names, if anything
	warmup      warmup // zero if none is known

	// As a router that sends requests.
	demand    demand
	wanted    uint64    // requests since the last permit request
	waitUntil time.Time // no permit can be had before
	// minRankUntil is until when no permit can be had for a rank below minRank.
	minRank      float64
	minRankUntil time.Time

	bucket bucket // as a coordinator
}

// New returns a limiter that knows no limit.
func New(c Config) *Limiter {
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &Limiter{tieBreak: ranker.Weight("", c.VM) & (1<<tieBreakBits - 1), random: c.Random, targets: map[string]*target{}}
}

// Observation is a response of a target and what it says about the target's limit.
type Observation struct {
	// Target and Incarnation identify the run of the target. Required.
	Target      string
	Incarnation uint64
	// RateLimit is what the response says. Required.
	RateLimit adviser.RateLimit
}

// Observe records what a response of a target says about its limit. It returns the limit
// and whether other routers have to be told of it. It returns ErrFull if the limit cannot
// be recorded.
func (l *Limiter) Observe(o Observation, now time.Time) (Limit, bool, error) {
	switch o.RateLimit.(type) {
	case adviser.NotStated, adviser.Malformed:
		return Limit{}, false, nil
	case adviser.Limited, adviser.Unlimited:
	default:
		panic(errors.Errorf("limiter: unknown rate limit %T", o.RateLimit))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	observed := Limit{target: o.Target, incarnation: o.Incarnation, rate: o.RateLimit, changedAt: now, expiresAt: now.Add(limitLifetime)}
	known, ok := l.known(o.Target, now)
	if !ok || known.incarnation < o.Incarnation {
		if _, limited := observed.requestsPerSecond(); !limited {
			return Limit{}, false, nil
		}
	}
	if ok && known.incarnation > o.Incarnation || l.knowsLaterWarmup(o.Target, o.Incarnation, now) {
		return Limit{}, false, nil
	}
	if ok && known.incarnation == o.Incarnation {
		if !needsReport(known, observed, now) {
			return known, false, nil
		}
		observed.sequence = known.sequence
		if sameRate(known.rate, observed.rate) {
			observed.changedAt = known.changedAt
		}
	}
	observed.sequence = (observed.sequence>>tieBreakBits+1)<<tieBreakBits | l.tieBreak
	return observed, true, l.store(observed, now)
}

// needsReport reports whether an observed limit differs from the known one so that it has
// to be recorded and reported, or whether it renews the known one.
func needsReport(known, observed Limit, now time.Time) bool {
	rate, limited := observed.requestsPerSecond()
	knownRate, wasLimited := known.requestsPerSecond()
	switch {
	case sameRate(known.rate, observed.rate):
		return limited && known.expiresAt.Sub(now) < limitLifetime/2
	case limited && (!wasLimited || rate < knownRate):
		return true
	default:
		return now.Sub(known.changedAt) >= minChangeInterval
	}
}

// Apply records a limit that another process has reported. It reports whether the limit
// replaces the known one. It returns ErrFull if the limit cannot be recorded.
func (l *Limiter) Apply(reported Limit, now time.Time) (bool, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.apply(reported, now)
}

func (l *Limiter) apply(reported Limit, now time.Time) (bool, error) {
	known, ok := l.known(reported.target, now)
	if ok && !reported.newerThan(known) || l.knowsLaterWarmup(reported.target, reported.incarnation, now) {
		return false, nil
	}
	reported.changedAt = now
	if ok && known.incarnation == reported.incarnation && sameRate(known.rate, reported.rate) {
		reported.changedAt = known.changedAt
	}
	return true, l.store(reported, now)
}

// Known returns the known limit of a target, and whether there is one that has not expired.
func (l *Limiter) Known(name string, now time.Time) (Limit, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.known(name, now)
}

func (l *Limiter) known(name string, now time.Time) (Limit, bool) {
	t, ok := l.targets[name]
	if !ok || t.limit.rate == nil || !now.Before(t.limit.expiresAt) {
		return Limit{}, false
	}
	return t.limit, true
}

// store records a limit. What was derived from another rate, or from an earlier run of the
// target, is forgotten.
func (l *Limiter) store(limit Limit, now time.Time) error {
	t, err := l.run(limit.target, limit.incarnation, now)
	if err != nil {
		return err
	}
	if !sameRate(t.limit.rate, limit.rate) {
		t.forgetWaits()
	}
	t.limit = limit
	return nil
}

// run returns the state of a run of a target. What belongs to another run is forgotten.
func (l *Limiter) run(name string, incarnation uint64, now time.Time) (*target, error) {
	t, ok := l.targets[name]
	if !ok {
		if len(l.targets) >= maxTargets {
			l.removeExpired(now)
		}
		if len(l.targets) >= maxTargets {
			return nil, ErrFull
		}
		t = &target{}
		l.targets[name] = t
	}
	if t.incarnation != incarnation {
		*t = target{incarnation: incarnation}
	}
	return t, nil
}

// forgetWaits forgets the answers to permit requests that concerned another limit.
func (t *target) forgetWaits() { t.waitUntil, t.minRankUntil = time.Time{}, time.Time{} }

func (l *Limiter) removeExpired(now time.Time) {
	for name, t := range l.targets {
		if !now.Before(t.limit.expiresAt) && !now.Before(t.warmup.endsAt()) {
			delete(l.targets, name)
		}
	}
}
