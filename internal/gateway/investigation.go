package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/selector"
)

// maxInvestigations limits the investigations at the same time. While many targets fail
// at once, what one more request has met tells nothing new.
const maxInvestigations = 64

// investigation finds out whether a target has ended while it had a request. A response
// that breaks off does not tell: connections are also reset on the way.
type investigation struct {
	gateway     *Gateway
	requestID   string
	fingerprint quarantiner.Fingerprint
	target      selector.Announcement
	startedAt   time.Time // when the request was sent to the target
	endedAt     time.Time // when its connection ended
}

// investigate starts an investigation of an attempt that ended before anything of the
// response had arrived.
func (q *request) investigate(target selector.Announcement, startedAt time.Time) {
	g := q.gateway
	select {
	case g.investigations <- struct{}{}:
	default:
		g.meters.investigationsSkipped.Inc(1)
		return
	}
	i := investigation{
		gateway: g, requestID: q.metadata.ID(), fingerprint: q.fingerprint(),
		target: target, startedAt: startedAt, endedAt: time.Now(),
	}
	go i.run(context.WithoutCancel(q.http.Context()))
}

func (i investigation) run(ctx context.Context) {
	defer func() { <-i.gateway.investigations }()
	ended := i.gateway.exchanger.Refuses(ctx, i.target.Address())
	i.gateway.log.Info("target broke off a request before its response", zap.Bool("targetEnded", ended),
		zap.String("request", i.requestID), zap.Stringer("fingerprint", i.fingerprint),
		zap.String("target", i.target.Name()), zap.Uint64("incarnation", i.target.Incarnation()),
		zap.Duration("ran", i.endedAt.Sub(i.startedAt)), zap.Duration("age", time.Since(i.endedAt)))
}

func (q *request) fingerprint() quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(quarantiner.FingerprintConfig{
		Organisation: q.organisation, Method: q.http.Method, Host: q.http.Host, URI: q.http.RequestURI, Body: q.body,
	})
}
