package router

import (
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// applyAdvice acts on what a target says about itself in a response, and tells the other
// processes what is new.
func (r *Router) applyAdvice(target *selector.Target, advice adviser.Advice) {
	now := time.Now()
	r.limits.Observe(target.Name(), target.Incarnation(), advice, now)
	d := adviser.NewDeparture(target.Name(), target.Incarnation())
	if !advice.Leaving() || !r.selector.RecordDeparture(d) {
		return
	}
	r.logDeparture(d, "response")
	if err := r.disseminator.Put(d.Entry(now)); err != nil {
		r.log.Warn("cannot publish that a target leaves", zap.String("target", d.Target()), recorder.Err(err))
	}
}

// applyDepartures records what other routers have heard of targets.
func (r *Router) applyDepartures(entries []disseminator.Entry) {
	for _, e := range entries {
		if d, ok := adviser.DepartureFrom(e); ok && r.selector.RecordDeparture(d) {
			r.logDeparture(d, "process")
		}
	}
}

func (r *Router) logDeparture(d adviser.Departure, source string) {
	r.log.Info("target says that it leaves", zap.String("target", d.Target()), zap.Uint64("incarnation", d.Incarnation()), zap.String("source", source))
}
