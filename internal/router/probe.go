package router

import (
	"context"
	"sync"
	"time"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
)

const probeInterval = 500 * time.Millisecond

// probeStale asks targets directly when news of them has stalled, as it does at
// a router that is cut off from those that hear their announcements.
func (r *Router) probeStale(ctx context.Context) {
	var asking sync.WaitGroup
	for _, target := range r.selector.Stale() {
		p := &probe{r, target}
		asking.Go(func() { p.run(ctx) })
	}
	asking.Wait()
}

// probe is a question to one target.
type probe struct {
	router *Router
	target *selector.Target
}

func (p *probe) run(ctx context.Context) {
	data, err := p.router.forwarder.Announcement(ctx, p.target.Address())
	if err != nil {
		return // its lease ends
	}
	announcement, err := selector.DecodeAnnouncement(data)
	if err != nil || announcement.Name() != p.target.Name() {
		return // another target has the address by now
	}
	if err := p.router.takeAnnouncement(announcement); err != nil {
		p.router.log.Warn("announcement not taken", recorder.Err(err))
	}
}

// takeAnnouncement spreads the announcement.
func (r *Router) takeAnnouncement(a selector.Announcement) error {
	entry, err := a.Entry(time.Now())
	if err != nil {
		return err
	}
	return r.spreader.Put(entry)
}
