package limitsharer

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// SetWarmupRates sets how many requests a second a warming target of each service takes.
// Warm-ups of other services are not recorded, so those among the present entries are applied
// again. Entries that arrive later find the new rates.
func (s *Sharer) SetWarmupRates(rates map[string]float64, entries func() []disseminator.Entry, now time.Time) {
	s.limiter.SetWarmupRates(rates)
	s.hasWarmupRates.Store(len(rates) > 0)
	if len(rates) == 0 {
		return
	}
	for _, e := range entries() {
		s.applyWarmup(e, now)
	}
}

// ObserveWarmup records the warm-up that a response of a target states, and tells other
// processes of one that ends later than they know.
func (s *Sharer) ObserveWarmup(target selector.Announcement, advice adviser.Advice, now time.Time) {
	switch w := advice.Warmup().(type) {
	case adviser.WarmupMalformed:
		s.RecordMalformedWarmup(target.Name(), now)
	case adviser.Warming:
		warmup := limiter.NewWarmup(limiter.WarmupConfig{
			Target: target.Name(), Incarnation: target.Incarnation(), Services: target.Services(), EndsAt: w.Until(),
		})
		report, err := s.limiter.ExtendWarmup(warmup, now)
		if err != nil {
			s.logUnrecorded(target.Name(), err)
			return
		}
		if report {
			s.logWarmup(warmup.Target(), warmup.EndsAt(), "response", now)
			s.publishWarmup(warmup)
		}
	}
}

// RecordMalformedWarmup records that the warm-up that a target states cannot be read.
func (s *Sharer) RecordMalformedWarmup(target string, now time.Time) {
	s.malformedWarmups.Inc(1)
	s.logMalformed(malformedKey{target, "warm-up"}, now)
}

func (s *Sharer) publishWarmup(w limiter.Warmup) {
	entry, err := w.Entry()
	if err == nil {
		err = s.config.Publish(entry)
	}
	if err != nil {
		s.config.Log.Warn("cannot publish the warm-up of a target", zap.String("target", w.Target()), recorder.Err(err))
	}
}

// applyWarmup records what an entry says about the warm-up of a target, if anything.
func (s *Sharer) applyWarmup(e disseminator.Entry, now time.Time) {
	if !s.hasWarmupRates.Load() {
		return
	}
	switch {
	case selector.IsTarget(e):
		if a, err := selector.AnnouncementFrom(e); err == nil { // the process that received the announcement has validated it
			s.applyAnnouncement(a, now)
		}
	case limiter.IsWarmup(e):
		w, err := limiter.WarmupFrom(e)
		if err != nil {
			s.config.Log.Warn("cannot decode the warm-up of a target", zap.String("key", e.Key()), recorder.Err(err))
			return
		}
		extended, err := s.limiter.ExtendWarmup(w, now)
		if err != nil {
			s.logUnrecorded(w.Target(), err)
		}
		if extended {
			s.logWarmup(w.Target(), w.EndsAt(), "process", now)
			s.forward(w.Target(), e)
		}
	}
}

// forward passes the warm-up of a target on if this process is one of the target's coordinators.
// A router that has no link to control tells the lenders only, and others may lack such a link
// as well.
func (s *Sharer) forward(target string, e disseminator.Entry) {
	if s.config.Forward != nil && slices.Contains(s.coordinators(target), s.config.VM) {
		s.config.Forward(e)
	}
}

func (s *Sharer) applyAnnouncement(a selector.Announcement, now time.Time) {
	endsAt := a.WarmupEndsAt()
	if endsAt.IsZero() {
		return
	}
	changed, err := s.limiter.Announce(limiter.AnnouncedWarmup{
		Target: a.Name(), Incarnation: a.Incarnation(), Sequence: a.Sequence(), Services: a.Services(), EndsAt: endsAt,
	}, now)
	if err != nil {
		s.logUnrecorded(a.Name(), err)
	}
	if changed {
		s.logWarmup(a.Name(), endsAt, "announcement", now)
	}
}

// logWarmup logs that a target warms, and for how long, or that it does no longer.
func (s *Sharer) logWarmup(target string, endsAt time.Time, source string, now time.Time) {
	remaining := max(0, endsAt.Sub(now))
	if remaining > 0 {
		s.warmupsStarted.Inc(1)
	}
	s.config.Log.Info("target changed its warm-up", zap.String("target", target), zap.Duration("remaining", remaining), zap.String("source", source))
}
