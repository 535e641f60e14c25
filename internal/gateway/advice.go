package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// applyAdvice acts on what a target says about itself in a response.
func (g *Gateway) applyAdvice(p *placer.Placement, advice adviser.Advice) {
	now := time.Now()
	target := p.Target()
	g.limits.Observe(target.Name(), target.Incarnation(), advice, now)
	g.limits.ObserveWarmup(target, advice, now)
	g.departures.Observe(target.Name(), target.Incarnation(), advice, now)
	if until := advice.PausedUntil(); !until.IsZero() {
		p.RecordPause(until, now)
		g.log.Info("target wants no requests from this router for a while", zap.String("target", target.Name()), zap.Duration("remaining", until.Sub(now)))
	}
}

// matches reports whether a response belongs to the request. One that belongs to another
// request may come late, so only what holds for the rest of the target's run is taken from it.
func (q *request) matches(target selector.Announcement, m ResponseMetadata) bool {
	if m.ID() == q.metadata.ID() {
		return true
	}
	q.gateway.departures.Observe(target.Name(), target.Incarnation(), m.Advice(), time.Now())
	return false
}

// publish distributes an entry to all processes. While control, which passes entries on,
// cannot be reached, it sends the entry to the lenders.
func (g *Gateway) publish(e disseminator.Entry) error {
	if err := g.disseminator.Put(e); err != nil {
		return err
	}
	now := time.Now()
	if !g.spender.Disconnected(now) && len(g.controlPeers()) > 0 {
		return nil
	}
	return g.sendEntry(e, g.lenderPeers(), now)
}

// forward sends an entry that this lender has received to the routers that are no lenders.
func (g *Gateway) forward(e disseminator.Entry) {
	lenders := *g.lenderVMs.Load()
	peers := slices.DeleteFunc(g.peersOf(linker.Router), func(p *linker.Peer) bool { return lenders[p.Identity().Process().VM()] })
	if err := g.sendEntry(e, peers, time.Now()); err != nil {
		g.log.Warn("cannot pass an entry on", zap.String("key", e.Key()), recorder.Err(err))
	}
}

// sendEntry sends an entry to peers, apart from the updates over links to control.
func (g *Gateway) sendEntry(e disseminator.Entry, peers []*linker.Peer, now time.Time) error {
	body, err := disseminator.EncodeUpdates([]disseminator.Update{disseminator.NewUpdate(e)}, now)
	if err != nil {
		return err
	}
	for _, peer := range peers {
		if err := peer.Notify(messenger.Updates, body); err != nil {
			g.log.Debug("cannot send an entry to a router", zap.Stringer("peer", peer.Identity().Process()), recorder.Err(err))
		}
	}
	return nil
}

// recordRejection records that a target has turned a request away. One that is brittle is left
// alone for a while by all routers.
func (g *Gateway) recordRejection(target selector.Announcement, advice adviser.Advice) {
	if advice.Brittleness() == 0 || !advice.PausedUntil().IsZero() {
		return
	}
	now := time.Now()
	full := adviser.NewFull(target.Name(), target.Incarnation(), now.Add(adviser.FullPause(advice.Brittleness())))
	g.log.Info("brittle target has no room", zap.String("target", full.Target()), zap.Int("brittleness", advice.Brittleness()),
		zap.Duration("remaining", full.Until().Sub(now)))
	g.placer.RecordFull(full, now)
	if err := g.publish(full.Entry(now)); err != nil {
		g.log.Warn("cannot publish that a brittle target has no room", zap.String("target", full.Target()), recorder.Err(err))
	}
}

// applyFull leaves the brittle targets alone that other routers have found without room.
func (g *Gateway) applyFull(entries []disseminator.Entry, now time.Time) {
	for _, e := range entries {
		if full, ok := adviser.FullFrom(e); ok {
			g.placer.RecordFull(full, now)
		}
	}
}

// rejection returns the outcome of an attempt that the target refused without running it.
func rejection(advice adviser.Advice) placer.Outcome {
	if !advice.PausedUntil().IsZero() || advice.Brittleness() > 0 {
		return placer.Paused{}
	}
	return placer.Rejected{}
}

// notRun reports whether the outcome guarantees that the target has not run the request.
func notRun(o placer.Outcome) bool {
	switch o.(type) {
	case placer.Rejected, placer.Paused:
		return true
	default:
		return false
	}
}
