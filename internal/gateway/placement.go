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
	now := time.Now()
	engine, _ := q.service.Engine()
	_, isStream := q.route.ExecutionPolicy().(cataloguer.Stream)
	return q.gateway.placer.Choose(placer.Request{
		TokensPerEvent: engine.TokensPerEvent,
		MaxEventGap:    q.route.MaxEventGap(),

		Service:             q.service.Name(),
		Segments:            q.metadata.config.Segments,
		FirstEventObjective: q.route.FirstEventObjective(),
		Exclude:             slices.Concat(q.excluded, avoid),
		// While the own link is full, first events are late for that reason and say
		// nothing about the targets.
		RejectIfLate: isStream && q.attempts == 0 && !q.gateway.diverting.Load(),
		IgnoreLeases: q.gateway.inLeaseGrace(now),
		Now:          now,
	})
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
	if !g.placer.HasUsable(q.service.Name(), limited, now, g.inLeaseGrace(now)) {
		return g.sizeRanker.Random()
	}
	return g.sizeRanker.Rank(q.service.Name(), size)
}
