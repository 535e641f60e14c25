package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/verdictsharer"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	quarantineInterval = 200 * time.Millisecond
	// answerObservation is how long after its first event a target may still end because of
	// the request: the event may leave the target before it ends. It is shorter than the time
	// for which a subject is suspected before it is barred.
	answerObservation = 500 * time.Millisecond
	// maxRepeatedCrashes limits the evidence that a control VM receives over a new link.
	maxRepeatedCrashes = 64
)

// identity returns what the quarantiner needs to know about the request.
func (q *request) identity() quarantiner.Request {
	if q.cachedIdentity == nil {
		r := quarantiner.NewRequest(q.fingerprint(), q.sharedSegments())
		q.cachedIdentity = &r
	}
	return *q.cachedIdentity
}

// sharedSegments returns the segments of the prompt that other requests may share.
func (q *request) sharedSegments() []uint64 {
	segments := q.metadata.config.Segments
	if len(segments) == 0 {
		return nil
	}
	var ids []uint64
	for _, s := range segments[:len(segments)-1] {
		ids = append(ids, s.ID())
	}
	return ids
}

func (q *request) fingerprint() quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(quarantiner.FingerprintConfig{
		Organisation: q.organisation, Method: q.http.Method, Host: q.http.Host, URI: q.http.RequestURI, Body: q.body,
	})
}

// quarantineRefusal returns a refusal if targets have ended under such requests.
func (q *request) quarantineRefusal() *refusal {
	if !q.gateway.quarantiner.Watching() {
		return nil
	}
	now := time.Now()
	v, barred := q.gateway.quarantiner.Find(q.identity(), now)
	if !barred {
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, "quarantined", v.ExpiresAt().Sub(now), verdictsharer.Fields(v, now)...)
}

// recordAnswered records that the target has answered the request with success, or has
// survived the beginning of its answer: it did not end under it. A failure says nothing, since
// the target may not have come to the part under which it ends.
func (q *request) recordAnswered() {
	if q.answered || !q.gateway.quarantiner.Watching() {
		return
	}
	q.answered = true
	q.gateway.verdicts.RecordAnswered(q.identity(), q.sentAt, time.Now())
}

// hasSurvivedAnswer reports whether the target has sent events for so long that an end of it
// has another cause than this request.
func (q *request) hasSurvivedAnswer(now time.Time) bool {
	return !q.firstEventAt.IsZero() && now.Sub(q.firstEventAt) >= answerObservation
}

// recordCrash records that a target has ended while it had a request of this router, and
// tells those who decide.
func (g *Gateway) recordCrash(c quarantiner.Crash) {
	now := time.Now()
	g.quarantiner.RecordCrash(c, now)
	peers := g.controlPeers()
	if g.spender.Disconnected(now) || len(peers) == 0 {
		peers = append(peers, g.lenderPeers()...)
	}
	g.sendCrashes([]quarantiner.Crash{c}, peers)
}

func (g *Gateway) sendCrashes(crashes []quarantiner.Crash, peers []*linker.Peer) {
	if len(crashes) == 0 {
		return
	}
	data, err := quarantiner.EncodeCrashes(crashes, time.Now())
	if err != nil {
		g.log.Warn("cannot encode the ends of targets", recorder.Err(err))
		return
	}
	for _, peer := range peers {
		if err := peer.Notify(messenger.CrashNotice, data); err != nil {
			g.log.Debug("cannot send the ends of targets", zap.Stringer("peer", peer.Identity().Process()), recorder.Err(err))
		}
	}
}

// runQuarantine decides by the evidence of this router and its peers while control cannot.
// Control, which knows the evidence of all routers, decides otherwise: who knows part of it
// may blame a request for what another one did.
func (g *Gateway) runQuarantine(ctx context.Context) {
	repeater.New(repeater.Config{Interval: quarantineInterval, Step: func(context.Context) {
		now := time.Now()
		if g.spender.Disconnected(now) || len(g.controlPeers()) == 0 {
			g.verdicts.Decide(now)
		}
	}}).Run(ctx)
}
