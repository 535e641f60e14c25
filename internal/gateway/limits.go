package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// permitTimeout bounds the wait for a permit. One that is granted later is not used.
	permitTimeout = 80 * time.Millisecond
	// suspectTime is how long a coordinator that has not answered is not asked again.
	suspectTime = time.Second
	// maxPermitQuestions is how many coordinators are asked for one attempt of a request.
	maxPermitQuestions = 4
	// limitReportInterval is the interval of the log lines about limits in use.
	limitReportInterval = 5 * time.Second
)

// limitedError means that the targets that could take a request have limits, and that no
// permit can be had for any of them.
type limitedError struct {
	targets []string
	denied  int       // questions that coordinators have denied or not answered
	freeAt  time.Time // when a permit may be had
}

// Error implements error.
func (e *limitedError) Error() string {
	return fmt.Sprintf("the request limits of %d targets are used up", len(e.targets))
}

// suspectList holds the VMs of processes that have not answered a call, and until when they
// are not called again.
type suspectList struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func (s *suspectList) add(vm string, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until[vm] = until
}

// contains reports whether the VM is suspected at the moment.
func (s *suspectList) contains(vm string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	until, ok := s.until[vm]
	if ok && !now.Before(until) {
		delete(s.until, vm)
	}
	return ok && now.Before(until)
}

// acquirePlacement chooses a target and gets the permit to send a request to it, if the
// target has a limit. A target without a permit is avoided, and so are others that are known
// to have none at the moment.
func (q *request) acquirePlacement(ctx context.Context) (*placer.Placement, error) {
	g := q.gateway
	rank := q.rank()
	var avoid []string
	questions := 0
	for counted := false; ; counted = true {
		placement, err := q.choosePlacement(avoid)
		if err != nil {
			return nil, g.limitedError(err, limitedError{targets: avoid, denied: questions}, rank)
		}
		target := placement.Target()
		switch d := g.limiter.Want(limiter.Wish{Target: target.Name(), Incarnation: target.Incarnation(), Rank: rank, Counted: counted}, time.Now()).(type) {
		case limiter.Free:
			return placement, nil
		case limiter.Ask:
			questions++
			if g.askForPermit(ctx, d.Request()) {
				return placement, nil
			}
		case limiter.Wait:
		default:
			panic(errors.Errorf("gateway: unknown decision of the limiter %T", d))
		}
		placement.Cancel()
		if questions >= maxPermitQuestions {
			avoid = g.limiter.Limited(time.Now())
			continue
		}
		avoid, _ = g.limiter.Waiting(rank, time.Now())
		avoid = append(avoid, target.Name())
	}
}

// rank returns the rank by which the request gets a permit. A large request is kept away from
// targets that have no limit. If there are none, requests of all sizes have the same chance.
func (q *request) rank() float64 {
	g := q.gateway
	now := time.Now()
	limited := g.limiter.Limited(now)
	if len(limited) > 0 && !g.placer.HasUsable(q.service.Name(), limited, now, g.inLeaseGrace(now)) {
		return g.ranker.Random()
	}
	size := q.metadata.config.PromptTokens
	if q.attempts == 0 {
		g.ranker.Record(q.service.Name(), size)
	}
	return g.ranker.Rank(q.service.Name(), size)
}

// limitedError completes the error of a placement for which targets with limits were avoided.
func (g *Gateway) limitedError(err error, limited limitedError, rank float64) error {
	if len(limited.targets) == 0 || !errors.Is(err, placer.ErrNoTarget) {
		return err
	}
	_, limited.freeAt = g.limiter.Waiting(rank, time.Now())
	return &limited
}

// askForPermit asks the first coordinator that can be reached.
func (g *Gateway) askForPermit(ctx context.Context, r limiter.PermitRequest) bool {
	reply, err := g.permitReply(ctx, r)
	now := time.Now()
	if err == nil {
		err = g.limiter.Resolve(r, reply, now)
	}
	switch {
	case err != nil:
		g.limiter.Unanswered(r, now)
		g.meters.permitsUnanswered.Inc(1)
		g.log.Debug("no permit for a target with a limit", zap.String("target", r.Target()), recorder.Err(err))
		return false
	case reply.Granted():
		g.meters.permitsGranted.Inc(1)
		return true
	default:
		g.meters.permitsDenied.Inc(1)
		return false
	}
}

// errNoCoordinator means that no coordinator of a target's limit can be reached.
var errNoCoordinator = errors.New("no coordinator of the limit can be reached")

// permitReply returns the answer of the first coordinator that can be reached.
func (g *Gateway) permitReply(ctx context.Context, r limiter.PermitRequest) (limiter.PermitReply, error) {
	now := time.Now()
	for rank, vm := range g.coordinatorsOf(r.Target()) {
		if vm == g.process.VM() {
			return g.limiter.Grant(r, rank, now), nil
		}
		peer := g.lenderPeer(vm)
		if peer == nil || g.coordinators.contains(vm, now) {
			continue
		}
		reply, err := callForPermit(ctx, peer, r)
		if err != nil && ctx.Err() == nil {
			g.coordinators.add(vm, time.Now().Add(suspectTime))
		}
		return reply, err
	}
	return limiter.PermitReply{}, errNoCoordinator
}

func callForPermit(ctx context.Context, peer *linker.Peer, r limiter.PermitRequest) (limiter.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	data, err := limiter.EncodeRequest(r, time.Now())
	if err == nil {
		data, err = peer.Call(ctx, messenger.PermitCall, data)
	}
	if err != nil {
		return limiter.PermitReply{}, err
	}
	return limiter.DecodeReply(data, time.Now())
}

// coordinatorsOf returns the coordinators of a target's limit, which are lenders: all routers
// have links to these.
func (g *Gateway) coordinatorsOf(target string) []string {
	return limiter.Coordinators(target, slices.Collect(maps.Keys(*g.lenderVMs.Load())))
}

// lenderPeer returns the link to a lender, or nil.
func (g *Gateway) lenderPeer(vm string) *linker.Peer {
	for _, p := range g.lenderPeers() {
		if p.Identity().Process().VM() == vm {
			return p
		}
	}
	return nil
}

// handlePermitCall answers another router.
func (g *Gateway) handlePermitCall(body []byte) ([]byte, error) {
	now := time.Now()
	r, err := limiter.DecodeRequest(body, now)
	if err != nil {
		return nil, err
	}
	rank := slices.Index(g.coordinatorsOf(r.Target()), g.process.VM())
	return limiter.EncodeReply(g.limiter.Grant(r, rank, now), now)
}

// heed records what a target says about itself in a response, and tells other routers what
// is new.
func (g *Gateway) heed(target selector.Announcement, advice adviser.Advice) {
	now := time.Now()
	former, _ := g.limiter.Known(target.Name(), now)
	limit, changed, err := g.limiter.Observe(limiter.Observation{
		Target: target.Name(), Incarnation: target.Incarnation(), RateLimit: advice.RateLimit(),
	}, now)
	if err != nil {
		g.log.Warn("cannot record the request limit of a target", zap.String("target", target.Name()), recorder.Err(err))
		return
	}
	if !changed {
		return
	}
	g.logLimit(former, limit, "response")
	g.publishLimit(limit)
}

// publishLimit tells all routers of a limit. While control cannot be reached, it tells those
// that grant permits.
func (g *Gateway) publishLimit(limit limiter.Limit) {
	entry, err := limit.Entry()
	if err == nil {
		err = g.disseminator.Put(entry)
	}
	if err != nil {
		g.log.Warn("cannot publish the request limit of a target", zap.String("target", limit.Target()), recorder.Err(err))
	}
	now := time.Now()
	if !g.spender.Disconnected(now) && len(g.controlPeers()) > 0 {
		return
	}
	data, err := limiter.EncodeLimit(limit, now)
	if err != nil {
		g.log.Warn("cannot encode the request limit of a target", zap.String("target", limit.Target()), recorder.Err(err))
		return
	}
	for _, peer := range g.lenderPeers() {
		if err := peer.Notify(messenger.LimitNotice, data); err != nil {
			g.log.Debug("cannot send the request limit of a target", zap.Stringer("peer", peer.Identity().Process()), recorder.Err(err))
		}
	}
}

// handleLimitNotice records the limit that another router has observed.
func (g *Gateway) handleLimitNotice(body []byte) error {
	limit, err := limiter.DecodeLimit(body, time.Now())
	if err != nil {
		return err
	}
	g.recordLimit(limit)
	return nil
}

// applyLimit records the limit in an entry.
func (g *Gateway) applyLimit(e disseminator.Entry) {
	limit, err := limiter.LimitFrom(e)
	if err != nil {
		g.log.Warn("cannot decode the request limit of a target", zap.String("key", e.Key()), recorder.Err(err))
		return
	}
	g.recordLimit(limit)
}

func (g *Gateway) recordLimit(limit limiter.Limit) {
	now := time.Now()
	former, _ := g.limiter.Known(limit.Target(), now)
	changed, err := g.limiter.Apply(limit, now)
	if err != nil {
		g.log.Warn("cannot record the request limit of a target", zap.String("target", limit.Target()), recorder.Err(err))
		return
	}
	if changed && former.String() != limit.String() {
		g.logLimit(former, limit, "router")
	}
}

// logLimit logs a changed limit and where this router has it from.
func (g *Gateway) logLimit(former, limit limiter.Limit, source string) {
	g.log.Info("target changed its request limit", zap.String("target", limit.Target()), zap.Stringer("limit", limit),
		zap.Stringer("former", former), zap.Duration("formerAge", ageOf(former, time.Now())), zap.String("source", source))
}

// ageOf returns how long this router has known of a limit, or zero for no limit.
func ageOf(l limiter.Limit, now time.Time) time.Duration {
	if l.ChangedAt().IsZero() {
		return 0
	}
	return now.Sub(l.ChangedAt())
}

// runLimitReports periodically logs the limits for which this router grants permits.
func (g *Gateway) runLimitReports(ctx context.Context) {
	repeater.New(repeater.Config{Interval: limitReportInterval, Step: func(context.Context) {
		now := time.Now()
		for _, u := range g.limiter.Usage(now) {
			g.log.Info("permits for a target with a limit", zap.String("target", u.Limit().Target()), zap.Stringer("limit", u.Limit()),
				zap.Float64("share", u.Rate()), zap.Float64("demand", u.Demand()), zap.Uint64("granted", u.Granted()),
				zap.Uint64("denied", u.Denied()), zap.Duration("age", ageOf(u.Limit(), now)))
		}
	}}).Run(ctx)
}
