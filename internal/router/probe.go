package router

import (
	"context"
	"sync"
	"time"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
)

const probeInterval = 500 * time.Millisecond

// probeStale requests announcements directly from targets whose leases are
// about to expire because none arrive, as when this router is disconnected from
// the routers that receive them.
func (r *Router) probeStale(ctx context.Context) {
	var running sync.WaitGroup
	for _, target := range r.selector.Stale() {
		p := &probe{r, target}
		running.Go(func() { p.run(ctx) })
	}
	running.Wait()
}

// probe requests the announcement of one target.
type probe struct {
	router *Router
	target *selector.Target
}

func (p *probe) run(ctx context.Context) {
	data, err := p.router.forwarder.FetchAnnouncement(ctx, p.target.Address())
	if err != nil {
		return // the lease of the target expires
	}
	announcement, err := selector.DecodeAnnouncement(data)
	if err != nil || announcement.Name() != p.target.Name() {
		return // not an announcement, or another target has taken the address
	}
	if err := p.router.publishAnnouncement(announcement); err != nil {
		p.router.log.Warn("cannot publish the announcement of a target", recorder.Err(err))
	}
}

// publishAnnouncement publishes the announcement to all routers.
func (r *Router) publishAnnouncement(a selector.Announcement) error {
	now := time.Now()
	entry, err := a.Entry(now)
	if err != nil {
		return err
	}
	r.departures.ObserveAnnouncement(a, now)
	return r.disseminator.Put(entry)
}
