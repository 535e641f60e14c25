package gateway

import (
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
)

// heed records what a target says about itself in a response.
func (g *Gateway) heed(target selector.Announcement, advice adviser.Advice) {
	now := time.Now()
	known, _ := g.limiter.Known(target.Name(), now)
	limit, changed, err := g.limiter.Observe(limiter.Observation{
		Target: target.Name(), Incarnation: target.Incarnation(), RateLimit: advice.RateLimit(),
	}, now)
	if err != nil {
		g.log.Warn("cannot record the request limit of a target", zap.String("target", target.Name()), recorder.Err(err))
		return
	}
	if changed {
		g.log.Info("target changed its request limit", zap.String("target", limit.Target()), zap.Stringer("limit", limit),
			zap.Stringer("former", known), zap.Duration("formerAge", age(known, now)))
	}
}

// age returns how long this router has known of a limit, or zero for no limit.
func age(l limiter.Limit, now time.Time) time.Duration {
	if l.ChangedAt().IsZero() {
		return 0
	}
	return now.Sub(l.ChangedAt())
}
