package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/regionselector"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/pkg/state/cataloguer"
)

// homeRetryAfter is the Retry-After value for requests without a target in their home regions.
// It is that of noTarget: targets that start are known to all routers within a second.
const homeRetryAfter = targetRetryAfter

// setRegions stores the regions of the data centres.
func (g *Gateway) setRegions(settings configurer.Settings) {
	g.regions.Store(regionselector.New(regionselector.Config{Regions: settings.Regions(), DataCentre: settings.DataCentre()}))
}

// prepareHomeRegions is called before a catalogue is put into force. If the catalogue has home
// regions, no connection that another router carries may be used by further requests: the pool
// does not know through which region it passes.
func (g *Gateway) prepareHomeRegions(c *cataloguer.Catalogue) {
	homeRegions := c.HomeRegions()
	if len(homeRegions) == 0 {
		return
	}
	if !g.hadHomeRegions.Swap(true) {
		g.exchanger.CloseAllIdle()
	}
	if unknown := g.regions.Load().WithoutDataCentre(homeRegions); len(unknown) > 0 {
		g.log.Warn("home regions that no data centre belongs to", zap.Uint64("number", c.Version()), zap.Strings("regions", unknown))
	}
}

// allowsDataCentre returns the filter of the data centres to whose targets the request may be
// sent: those in its home regions that are not evacuated. It is nil if these are all.
func (q *request) allowsDataCentre() func(dataCentre string) bool {
	notEvacuated := q.gateway.allows()
	switch {
	case !q.homes.Restricted():
		return notEvacuated
	case notEvacuated == nil:
		return q.homes.AllowsTarget
	default:
		return func(dataCentre string) bool { return notEvacuated(dataCentre) && q.homes.AllowsTarget(dataCentre) }
	}
}

// dataCentreRefusal returns the refusal of a request for which no data centre with targets is
// left, or nil.
func (q *request) dataCentreRefusal() *refusal {
	if r := q.evacuationRefusal(); r != nil {
		return r
	}
	return q.homeRefusal()
}

// withRelayFilter returns a context in which only routers that may carry the request relay.
func (q *request) withRelayFilter(ctx context.Context) context.Context {
	if !q.homes.Restricted() {
		return ctx
	}
	return relayer.WithFilter(ctx, q.homes.AllowsRelay)
}

// hasHomeTarget reports whether the home regions of the request, if it has any, have a usable
// target that can be reached. Targets that want a pause count: the refusal names its end.
func (q *request) hasHomeTarget() bool {
	if !q.homes.Restricted() {
		return true
	}
	r := q.placementRequest(time.Now(), nil)
	r.SoftwareVersion = nil
	return !errors.Is(q.gateway.placer.Unavailable(r), placer.ErrNoTarget) && q.gateway.relays.Reaches(q.homes.AllowsRelay)
}

// homeRefusal returns the refusal of a request that has no target in its home regions, or nil.
func (q *request) homeRefusal() *refusal {
	if q.hasHomeTarget() {
		return nil
	}
	q.gateway.meters.withoutHomeTarget.Inc(1)
	return newRefusal(http.StatusServiceUnavailable, "noHomeTarget", homeRetryAfter, zap.Strings("homeRegions", q.homes.Regions()))
}
