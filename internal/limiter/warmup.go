package limiter

import (
	"maps"
	"time"

	"radishshed.example/radishshed/internal/adviser"
)

// ignoredExtension is by how much later a response may state the end of a warm-up without an
// effect. Responses take unequal times.
const ignoredExtension = 250 * time.Millisecond

// warmup is what is known about the warm-up of a run of a target.
type warmup struct {
	services []string
	sequence uint64 // of the announcement
	// announcedEnd follows the newest announcement, and so may move back. observedEnd is the
	// latest end that a response has stated. Nothing orders the two, so the later one holds.
	announcedEnd, observedEnd time.Time
	changedAt                 time.Time // when this process learned of the warm-up
}

func (w warmup) endsAt() time.Time { return later(w.announcedEnd, w.observedEnd) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// AnnouncedWarmup is what an announcement says about the warm-up of a target.
type AnnouncedWarmup struct {
	// Target and Incarnation identify the run of the target. Required.
	Target      string
	Incarnation uint64
	// Sequence orders the announcements of a run. Required.
	Sequence uint64
	// Services are the services that the target serves. Required.
	Services []string
	// EndsAt is the end of the warm-up. One in the past says that the target is not warming.
	EndsAt time.Time
}

// WarmupConfig holds the fields of a Warmup.
type WarmupConfig struct {
	// Target and Incarnation identify the run of the target. Required.
	Target      string
	Incarnation uint64
	// Services are the services that the target serves. Required.
	Services []string
	// EndsAt is the end of the warm-up. Required.
	EndsAt time.Time
}

// Warmup is the warm-up of a run of a target, as stated in a response.
type Warmup struct{ config WarmupConfig }

// NewWarmup returns a Warmup with the given fields.
func NewWarmup(c WarmupConfig) Warmup { return Warmup{c} }

// Target returns the name of the target.
func (w Warmup) Target() string { return w.config.Target }

// EndsAt returns the end of the warm-up.
func (w Warmup) EndsAt() time.Time { return w.config.EndsAt }

// SetWarmupRates sets how many requests a second a warming target of each service takes. A
// service that is not named has no limit.
func (l *Limiter) SetWarmupRates(rates map[string]float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, t := range l.targets {
		for _, s := range t.warmup.services {
			if rates[s] != l.warmupRates[s] {
				t.forgetWaits()
			}
		}
	}
	l.warmupRates = maps.Clone(rates)
}

// Announce records what an announcement says about the warm-up of a target. It reports whether
// the target begins or ends to warm. It returns ErrFull if the warm-up cannot be recorded.
func (l *Limiter) Announce(a AnnouncedWarmup, now time.Time) (bool, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t, known := l.targets[a.Target]
	if l.warmupRate(a.Services) == 0 || known && t.incarnation > a.Incarnation {
		return false, nil
	}
	if !now.Before(a.EndsAt) && (!known || t.incarnation < a.Incarnation) {
		return false, nil
	}
	t, err := l.run(a.Target, a.Incarnation, now)
	if err != nil || a.Sequence < t.warmup.sequence {
		return false, err
	}
	wasWarming := l.isWarming(t, now)
	t.warmup.services, t.warmup.sequence, t.warmup.announcedEnd = a.Services, a.Sequence, a.EndsAt
	return t.warmingChanged(wasWarming, l.isWarming(t, now), now), nil
}

// warmingChanged reports whether a target begins or ends to warm. What coordinators answered
// before concerned another limit.
func (t *target) warmingChanged(wasWarming, isWarming bool, now time.Time) bool {
	if wasWarming == isWarming {
		return false
	}
	t.forgetWaits()
	t.warmup.changedAt = now
	return true
}

// ExtendWarmup records a warm-up that a response of a target states, here or at another process.
// It reports whether the warm-up ends later than it did by so much that other routers have to
// be told. It returns ErrFull if the warm-up cannot be recorded.
func (l *Limiter) ExtendWarmup(w Warmup, now time.Time) (bool, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := w.config
	t, known := l.targets[c.Target]
	if l.warmupRate(c.Services) == 0 || known && t.incarnation > c.Incarnation || !now.Before(c.EndsAt) {
		return false, nil
	}
	t, err := l.run(c.Target, c.Incarnation, now)
	if err != nil {
		return false, err
	}
	wasWarming := l.isWarming(t, now)
	if wasWarming && !c.EndsAt.After(t.warmup.endsAt().Add(ignoredExtension)) {
		return false, nil
	}
	t.warmup.services, t.warmup.observedEnd = c.Services, c.EndsAt
	t.warmingChanged(wasWarming, l.isWarming(t, now), now)
	return true, nil
}

// warmupRate returns the rate of a warming target that serves the services: the lowest, or zero
// if it has no limit.
func (l *Limiter) warmupRate(services []string) float64 {
	lowest := 0.0
	for _, s := range services {
		if rate := l.warmupRates[s]; rate > 0 && (lowest == 0 || rate < lowest) {
			lowest = rate
		}
	}
	return lowest
}

func (l *Limiter) isWarming(t *target, now time.Time) bool {
	return now.Before(t.warmup.endsAt()) && l.warmupRate(t.warmup.services) > 0
}

// knowsLaterWarmup reports whether a run of the target after the given one is warming.
func (l *Limiter) knowsLaterWarmup(name string, incarnation uint64, now time.Time) bool {
	t, ok := l.targets[name]
	return ok && t.incarnation > incarnation && l.isWarming(t, now)
}

// inForce returns the limit in force for a target, and whether there is one: the lower of the
// one that it names and that of its warm-up.
func (l *Limiter) inForce(name string, now time.Time) (Limit, bool) {
	named, ok := l.known(name, now)
	t := l.targets[name]
	if t == nil || !l.isWarming(t, now) {
		return named, ok
	}
	return lower(named, Limit{
		target: name, incarnation: t.incarnation, rate: adviser.NewLimited(l.warmupRate(t.warmup.services)),
		changedAt: t.warmup.changedAt, expiresAt: t.warmup.endsAt(),
	}), true
}

// lower returns the lower one of a limit, which may be none, and that of a warm-up.
func lower(limit, ofWarmup Limit) Limit {
	rate, limited := limit.requestsPerSecond()
	warmupRate, _ := ofWarmup.requestsPerSecond()
	if limited && rate <= warmupRate {
		return limit
	}
	return ofWarmup
}

// ofWarmup reports whether the limit is that of a warm-up. Limits that targets name have a
// sequence. Builds that know no warm-ups take it for the first limit that the target named.
func (l Limit) ofWarmup() bool { return l.rate != nil && l.sequence == 0 }

// lastWait returns the time until which to wait for a permit, which is over at the end of a
// warm-up.
func (l Limit) lastWait(until time.Time) time.Time {
	if l.ofWarmup() && until.After(l.expiresAt) {
		return l.expiresAt
	}
	return until
}

// permitRank returns the rank by which a request gets a permit for a target. Those for warming
// targets go to the smallest requests, since these cost a target least that can do little.
func (l *Limiter) permitRank(t *target, rank float64, now time.Time) float64 {
	if l.isWarming(t, now) {
		return 1 - rank
	}
	return rank
}

// ConcernsWarmup reports whether a request for a permit concerns a target that warms as far as
// this process or the asking one knows.
func (l *Limiter) ConcernsWarmup(r PermitRequest, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t, ok := l.targets[r.limit.target]
	return r.limit.ofWarmup() || ok && l.isWarming(t, now)
}
