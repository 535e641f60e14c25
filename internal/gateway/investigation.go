package gateway

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/selector"
)

// maxInvestigations limits the investigations at the same time. While many targets fail
// at once, what one more request has met tells nothing new.
const maxInvestigations = 64

// probeDelays are the pauses before each look at whether a target has ended. The connections of a
// process may end some time before its listener, for example while a core file is written.
var probeDelays = []time.Duration{0, 200 * time.Millisecond, 800 * time.Millisecond}

// investigation finds out whether a target has ended while it had a request. A response
// that breaks off does not tell: connections are also reset on the way.
type investigation struct {
	gateway   *Gateway
	requestID string
	address   string // of the target
	crash     quarantiner.CrashConfig
}

// investigate starts an investigation of an attempt that ended before its response or soon
// after the first event of it.
func (q *request) investigate(target selector.Announcement) {
	g := q.gateway
	select {
	case g.investigations <- struct{}{}:
	default:
		g.meters.investigationsSkipped.Inc(1)
		return
	}
	i := investigation{
		gateway: g, requestID: q.metadata.ID(), address: target.Address(),
		crash: quarantiner.CrashConfig{
			Target:  target.Name() + "@" + strconv.FormatUint(target.Incarnation(), 36),
			Request: q.identity(), StartedAt: q.sentAt, EndedAt: time.Now(),
		},
	}
	go i.run(context.WithoutCancel(q.http.Context()))
}

func (i investigation) run(ctx context.Context) {
	defer func() { <-i.gateway.investigations }()
	ended := i.targetEnded(ctx)
	i.gateway.log.Info("target broke off a request before its response", zap.Bool("targetEnded", ended),
		zap.String("request", i.requestID), zap.Stringer("fingerprint", i.crash.Request.Fingerprint()), zap.String("target", i.crash.Target),
		zap.Duration("ran", i.crash.EndedAt.Sub(i.crash.StartedAt)), zap.Duration("age", time.Since(i.crash.EndedAt)))
	if ended {
		i.gateway.recordCrash(quarantiner.NewCrash(i.crash))
	}
}

// targetEnded reports whether the target refuses connections at one of several looks.
func (i investigation) targetEnded(ctx context.Context) bool {
	for _, delay := range probeDelays {
		time.Sleep(delay)
		if i.gateway.relays.Refuses(ctx, i.address) {
			return true
		}
	}
	return false
}
