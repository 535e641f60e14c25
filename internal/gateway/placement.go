package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// newLimitSharer returns the sharer of the limits of targets. Lenders coordinate them, since
// all routers keep links to these.
func (g *Gateway) newLimitSharer() *limitsharer.Sharer {
	return limitsharer.New(limitsharer.Config{
		VM:         g.process.VM(),
		Candidates: func() []string { return slices.Collect(maps.Keys(*g.lenderVMs.Load())) },
		Peer:       g.lenderPeer,
		Publish:    g.publish,
		Forward:    g.forward,
		Metrics:    g.metrics,
		Log:        g.log,
	})
}

// lenderPeer returns the link to a lender, and whether there is one.
func (g *Gateway) lenderPeer(vm string) (limitsharer.Peer, bool) {
	return g.endpoint.PeerOnVM(vm, linker.Router)
}

// acquirePlacement chooses a target and gets the permit to send a request to it, if the
// target has a limit.
func (q *request) acquirePlacement(ctx context.Context) (*placer.Placement, error) {
	choice := q.gateway.limits.Begin(q.rank())
	for {
		placement, err := q.choosePlacement(choice.Avoid())
		if errors.Is(err, placer.ErrNoTarget) {
			return nil, choice.Explain(err)
		}
		if err != nil {
			return nil, err
		}
		if choice.Permits(ctx, placement.Target().Name(), placement.Target().Incarnation()) {
			return placement, nil
		}
		placement.Cancel()
	}
}

// choosePlacement chooses a target that is not among those to avoid.
func (q *request) choosePlacement(avoid []string) (*placer.Placement, error) {
	engine, _ := q.service.Engine()
	r := q.placementRequest(time.Now(), slices.Concat(q.excluded, avoid))
	r.TokensPerEvent = engine.TokensPerEvent
	r.MaxEventGap = q.route.MaxEventGap()
	r.Segments = q.metadata.config.Segments
	r.FirstEventObjective = q.route.FirstEventObjective()
	r.MaxFirstEvent = q.maxFirstEvent()
	r.Patience = stallTimeout(q.route)
	return q.gateway.placer.Choose(r)
}

// placementRequest returns what decides which targets can be chosen.
func (q *request) placementRequest(now time.Time, exclude []string) placer.Request {
	return placer.Request{
		Service: q.service.Name(), SoftwareVersion: q.onlyVersion, Exclude: exclude,
		Allows: q.allowsDataCentre(), IgnoreLeases: q.gateway.inLeaseGrace(now), Now: now,
	}
}

// maxFirstEvent returns the time to the first event beyond which the request is refused, or
// zero if it is not refused for that. The caller of a stream that it takes up waits as long
// as between two events.
func (q *request) maxFirstEvent() time.Duration {
	_, isStream := q.route.ExecutionPolicy().(cataloguer.Stream)
	switch {
	case !isStream || q.attempts > 0:
		return 0
	case q.gateway.diverting.Load():
		return 0 // while the own link is full, late first events say nothing about targets
	case q.takesUpStream():
		return stallTimeout(q.route)
	default:
		return q.route.FirstEventObjective()
	}
}

// rank returns the rank by which the request gets a permit. Large requests are kept away from
// targets that have no limit. If there are none, requests of all sizes have the same chance.
func (q *request) rank() float64 {
	g := q.gateway
	now := time.Now()
	size := q.metadata.config.PromptTokens
	if q.attempts == 0 {
		g.sizeRanker.Record(q.service.Name(), size)
	}
	limited := g.limits.Limited(now)
	if len(limited) == 0 {
		return 0 // nothing needs a permit
	}
	if g.placer.CountUsable(q.placementRequest(now, limited)) == 0 {
		return g.sizeRanker.Random()
	}
	return g.sizeRanker.Rank(q.service.Name(), size)
}
