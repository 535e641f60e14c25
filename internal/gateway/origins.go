package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/originsharer"
	"radishshed.example/radishshed/pkg/coordination/originstorer"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// versionRetryAfter is when a target of a missing version may be back after a crash.
	versionRetryAfter = time.Second
	// originMargin is added to the time that the caller has for a stream, since requests take
	// time to arrive.
	originMargin = 2 * time.Second
)

// newOriginSharer returns the sharer of the versions that began streams.
func (g *Gateway) newOriginSharer() *originsharer.Sharer {
	return originsharer.New(originsharer.Config{
		Control:      func() []originsharer.Peer { return originPeers(g.controlPeers()) },
		Routers:      func() []originsharer.Peer { return originPeers(g.lenderPeers()) },
		Disconnected: func() bool { return g.spender.Disconnected(time.Now()) },
		Publish:      g.publish,
		Log:          g.log,
	})
}

func originPeers(peers []*linker.Peer) []originsharer.Peer {
	converted := make([]originsharer.Peer, 0, len(peers))
	for _, p := range peers {
		converted = append(converted, p)
	}
	return converted
}

// takesUpStream reports whether the caller wants to go on with a stream that was interrupted.
func (q *request) takesUpStream() bool {
	_, isStream := q.route.ExecutionPolicy().(cataloguer.Stream)
	return isStream && q.metadata.config.LastEventID != ""
}

// stream returns the identifier of the stream, which stays the same when its caller takes it
// up. Organisations cannot name the streams of others.
func (q *request) stream() originstorer.Stream {
	name := q.metadata.ID()
	if q.takesUpStream() {
		name = q.metadata.config.ResumedStream
	}
	return originstorer.NewStream(q.organisation + "\x00" + name)
}

// takeUp determines the service and the software version at which a stream goes on that the
// caller takes up. It returns a refusal if that cannot be told or is not there any more: the
// stream would be joined from two versions.
func (q *request) takeUp(ctx context.Context) *refusal {
	if !q.takesUpStream() {
		return nil
	}
	g := q.gateway
	switch r := g.origins.Find(ctx, originstorer.NewQuery(q.stream(), q.route.Services())).(type) {
	case originstorer.Begun:
		return q.goOnAt(r)
	case originstorer.Unknown:
		return newRefusal(http.StatusServiceUnavailable, "originUnknown", startingRetryAfter)
	default:
		panic(errors.Errorf("gateway: unexpected resolution %T", r))
	}
}

// goOnAt lets the stream go on only at the version that began it.
func (q *request) goOnAt(b originstorer.Begun) *refusal {
	v := b.Version()
	q.gateway.log.Info("stream taken up", zap.String("request", q.metadata.ID()), zap.String("resumes", q.metadata.config.ResumedStream),
		zap.String("service", v.Service()), zap.String("softwareVersion", v.Software()), zap.Bool("recorded", b.Recorded()))
	service, ok := q.catalogue.Service(v.Service())
	if !ok || !slices.Contains(q.route.Services(), v.Service()) {
		return newRefusal(http.StatusServiceUnavailable, "serviceGone", versionRetryAfter, zap.String("service", v.Service()))
	}
	software := v.Software()
	q.service, q.onlyVersion = service, &software
	if r := q.dataCentreRefusal(); r != nil {
		return r
	}
	if q.gateway.placer.CountUsable(q.placementRequest(time.Now(), nil)) == 0 {
		return newRefusal(http.StatusServiceUnavailable, "versionGone", versionRetryAfter, zap.String("softwareVersion", software))
	}
	return nil
}

// recordOrigin records which version is about to begin the stream, or to go on with it, if
// its caller may take it up. A stream that was relayed to its end may be taken up too: what
// was written last need not have arrived.
func (q *request) recordOrigin() {
	policy, isStream := q.route.ExecutionPolicy().(cataloguer.Stream)
	if !isStream || !policy.Resumable() || q.metadata.ID() == "" || q.takesUpStream() && q.metadata.config.ResumedStream == "" {
		return
	}
	left := q.metadata.config.TimeLeft
	if left == 0 {
		left = q.route.Timeout()
	}
	origin := originstorer.NewOrigin(q.stream(), originstorer.NewVersion(q.service.Name(), q.softwareVersion), q.arrivedAt.Add(left+originMargin))
	q.gateway.origins.Begin(origin, q.route.Services(), time.Now())
}
