package gateway

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/operator"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
)

// handleEvacuations puts the evacuated data centres of a notice of control into force, if
// they supersede those in force. A control VM that lags behind may send older ones.
func (g *Gateway) handleEvacuations(body []byte) error {
	set, err := messenger.DecodeEvacuations(body)
	if err != nil {
		g.log.Warn("cannot decode the evacuated data centres", recorder.Err(err))
		return err
	}
	g.activationMutex.Lock()
	defer g.activationMutex.Unlock()
	previous := g.evacuations.Load()
	if !set.Supersedes(*previous) {
		return nil
	}
	g.evacuations.Store(&set)
	metrics.GetOrRegisterGauge("evacuatedDataCentres", g.metrics).Update(int64(len(set.DataCentres())))
	g.log.Info("evacuated data centres changed", zap.Strings("evacuated", set.DataCentres()),
		zap.Uint64("revision", set.Revision()), zap.Uint64("previous", previous.Revision()))
	return nil
}

// allows returns the data centres to whose targets requests may be sent, or nil if these are
// all.
func (g *Gateway) allows() func(dataCentre string) bool {
	set := g.evacuations.Load()
	if set.IsEmpty() {
		return nil
	}
	return set.Allows
}

// evacuatedMeanwhile reports whether the data centre of the target is evacuated, right before
// the request is sent: it may have waited for a connection since the target was chosen.
func (q *request) evacuatedMeanwhile(target selector.Announcement) bool {
	if !q.gateway.evacuations.Load().Contains(target.DataCentre()) {
		return false
	}
	q.gateway.meters.withdrawnByEvacuation.Inc(1)
	return true
}

// evacuationRefusal returns a refusal if all targets of the service are in evacuated data
// centres.
func (q *request) evacuationRefusal() *refusal {
	g := q.gateway
	set := g.evacuations.Load()
	if set.IsEmpty() {
		return nil
	}
	r := q.placementRequest(time.Now(), nil)
	r.Allows = set.Allows
	if !g.placer.NoneAllowed(r) {
		return nil
	}
	g.meters.refusedByEvacuation.Inc(1)
	return newRefusal(http.StatusServiceUnavailable, "evacuated", evacuatedRetryAfter,
		zap.Strings("evacuated", set.DataCentres()), zap.Uint64("revision", set.Revision()))
}

// serveStatus serves the state of this router to operators.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	set := g.evacuations.Load()
	operator.WriteJSON(w, map[string]any{
		"vm":                 g.settings.VM(),
		"dataCentre":         g.settings.DataCentre(),
		"process":            g.process.String(),
		"role":               "gateway",
		"catalogue":          g.catalogueRecord.Load().Version(),
		"peers":              operator.DescribePeers(g.endpoint.Peers()),
		"entries":            operator.EntryKeys(g.disseminator.Live()),
		"evacuated":          set.DataCentres(),
		"evacuationRevision": set.Revision(),
	})
}
