// Package limitsharer connects the Limiter of a process with those of other processes.
//
// Limits of targets are entries of the disseminator: a process that starts, or whose links
// are restored, receives those that it lacks over its first link. So are warm-ups: as part of
// announcements, or as entries of their own if a response states them. Permits are asked for
// with a call to a coordinator.
package limitsharer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
)

const (
	// permitTimeout bounds the wait for a permit. One that is granted later is not used.
	permitTimeout = 80 * time.Millisecond
	// suspectTime is how long a coordinator that has not answered is not asked again.
	suspectTime = time.Second
	// reportInterval is the interval of the log lines about limits in use.
	reportInterval = 5 * time.Second
	// candidateInterval is the interval at which changes of the candidates are looked for.
	candidateInterval = 500 * time.Millisecond
	// malformedInterval limits the log lines about statements of targets that cannot be read.
	malformedInterval = time.Minute
)

// Peer is the link to another process.
type Peer interface {
	Call(ctx context.Context, kind uint8, body []byte) ([]byte, error)
}

// Config configures a Sharer.
type Config struct {
	// VM is the name of the VM of this process. Required.
	VM string
	// Candidates returns the VMs of the processes that can be coordinators, the same in all
	// processes. Required.
	Candidates func() []string
	// Peer returns the link to the candidate on a VM, and whether there is one. Required.
	Peer func(vm string) (Peer, bool)
	// Publish distributes an entry to the other processes. Required.
	Publish func(disseminator.Entry) error
	// Forward, if set, sends an entry to the processes that are no candidates.
	Forward func(disseminator.Entry)
	// Metrics receives the counters. Required.
	Metrics metrics.Registry
	// Log receives a line for each change of a limit, and its use. Required.
	Log *zap.Logger
}

// Sharer shares the limits of targets with other processes. It is safe for concurrent use.
type Sharer struct {
	config   Config
	limiter  *limiter.Limiter
	suspects suspectList
	ranks    limiter.RankHistory

	granted, denied, unanswered, malformed metrics.Counter
	warmupsStarted, malformedWarmups       metrics.Counter
	// hasWarmupRates is whether targets of any service have a limit while they warm.
	hasWarmupRates atomic.Bool

	mutex           sync.Mutex
	malformedLogged map[malformedKey]time.Time
}

// malformedKey is a target and what of its statements could not be read.
type malformedKey struct{ target, statement string }

// New returns a Sharer that knows no limit.
func New(c Config) *Sharer {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Metrics) }
	return &Sharer{
		config:          c,
		limiter:         limiter.New(limiter.Config{VM: c.VM}),
		suspects:        suspectList{until: map[string]time.Time{}},
		granted:         counter("permitsGranted"),
		denied:          counter("permitsDenied"),
		unanswered:      counter("permitsUnanswered"),
		malformed:       counter("malformedLimits"),
		malformedLogged: map[malformedKey]time.Time{},

		warmupsStarted:   counter("warmupsStarted"),
		malformedWarmups: counter("malformedWarmups"),
	}
}

// Limited returns the targets that have a limit.
func (s *Sharer) Limited(now time.Time) []string { return s.limiter.Limited(now) }

// Run logs the limits in use and follows the candidates until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() {
		repeater.New(repeater.Config{Interval: candidateInterval, AtStart: true, Step: func(context.Context) {
			s.ranks.Record(s.config.Candidates(), time.Now())
		}}).Run(ctx)
	})
	defer running.Wait()
	repeater.New(repeater.Config{Interval: reportInterval, Step: func(context.Context) { s.report(time.Now()) }}).Run(ctx)
}

// report logs the limits for which this process has been asked for permits.
func (s *Sharer) report(now time.Time) {
	for _, u := range s.limiter.Usage(now) {
		s.config.Log.Info("permits for a target with a limit", zap.String("target", u.Limit().Target()), zap.Stringer("limit", u.Limit()),
			zap.Float64("share", u.Rate()), zap.Float64("demand", u.Demand()), zap.Uint64("granted", u.Granted()),
			zap.Uint64("denied", u.Denied()), zap.Duration("age", ageOf(u.Limit(), now)))
	}
}

// Observe records what a response of a run of a target says about it, and tells other
// processes what is new.
func (s *Sharer) Observe(target string, incarnation uint64, advice adviser.Advice, now time.Time) {
	if _, malformed := advice.RateLimit().(adviser.Malformed); malformed {
		s.malformed.Inc(1)
		s.logMalformed(malformedKey{target, "request limit"}, now)
		return
	}
	former, _ := s.limiter.Known(target, now)
	limit, changed, err := s.limiter.Observe(limiter.Observation{Target: target, Incarnation: incarnation, RateLimit: advice.RateLimit()}, now)
	if err != nil {
		s.logUnrecorded(target, err)
		return
	}
	if changed {
		s.logChange(former, limit, "response", now)
		s.publish(limit)
	}
}

// logMalformed logs, now and then, that a target's statement cannot be read.
func (s *Sharer) logMalformed(key malformedKey, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for logged, at := range s.malformedLogged {
		if now.Sub(at) >= malformedInterval {
			delete(s.malformedLogged, logged)
		}
	}
	if _, logged := s.malformedLogged[key]; logged {
		return
	}
	s.malformedLogged[key] = now
	s.config.Log.Warn("the "+key.statement+" that a target names cannot be read and is ignored", zap.String("target", key.target))
}

func (s *Sharer) publish(limit limiter.Limit) {
	entry, err := limit.Entry()
	if err == nil {
		err = s.config.Publish(entry)
	}
	if err != nil {
		s.config.Log.Warn("cannot publish the request limit of a target", zap.String("target", limit.Target()), recorder.Err(err))
	}
}

// Apply records the limits and warm-ups among the entries.
func (s *Sharer) Apply(entries []disseminator.Entry, now time.Time) {
	for _, e := range entries {
		s.applyWarmup(e, now)
		if !limiter.IsLimit(e) {
			continue
		}
		limit, err := limiter.LimitFrom(e)
		if err != nil {
			s.config.Log.Warn("cannot decode the request limit of a target", zap.String("key", e.Key()), recorder.Err(err))
			continue
		}
		s.record(limit, now)
	}
}

// record records a limit that another process has reported.
func (s *Sharer) record(limit limiter.Limit, now time.Time) {
	former, _ := s.limiter.Known(limit.Target(), now)
	changed, err := s.limiter.Apply(limit, now)
	if err != nil {
		s.logUnrecorded(limit.Target(), err)
		return
	}
	if changed && former.String() != limit.String() {
		s.logChange(former, limit, "process", now)
	}
}

func (s *Sharer) logUnrecorded(target string, err error) {
	s.config.Log.Warn("cannot record the request limit of a target", zap.String("target", target), recorder.Err(err))
}

// logChange logs a changed limit and where this process has it from.
func (s *Sharer) logChange(former, limit limiter.Limit, source string, now time.Time) {
	s.config.Log.Info("target changed its request limit", zap.String("target", limit.Target()), zap.Stringer("limit", limit),
		zap.Stringer("former", former), zap.Duration("formerAge", ageOf(former, now)), zap.String("source", source))
}

// ageOf returns how long this process has known of a limit, or zero for no limit.
func ageOf(l limiter.Limit, now time.Time) time.Duration {
	if l.ChangedAt().IsZero() {
		return 0
	}
	return now.Sub(l.ChangedAt())
}

// HandleCall answers a request of another process for a permit.
func (s *Sharer) HandleCall(body []byte, now time.Time) ([]byte, error) {
	r, err := limiter.DecodeRequest(body, now)
	if err != nil {
		return nil, err
	}
	rank := slices.Index(s.coordinators(r.Target()), s.config.VM)
	return limiter.EncodeReply(s.grant(r, rank, now), now)
}

// grant answers a request for a permit. For a warming target the rank counts that this process
// has had for a while: the time in which two coordinators grant the whole rate may be as long as
// the window of its bound.
func (s *Sharer) grant(r limiter.PermitRequest, rank int, now time.Time) limiter.PermitReply {
	if s.limiter.ConcernsWarmup(r, now) {
		s.ranks.Record(s.config.Candidates(), now)
		rank = s.ranks.Settled(r.Target(), s.config.VM, now)
	}
	return s.limiter.Grant(r, rank, now)
}

func (s *Sharer) coordinators(target string) []string {
	return limiter.Coordinators(target, s.config.Candidates())
}

// ask asks the first coordinator that can be reached, and reports whether it grants the
// permit.
func (s *Sharer) ask(ctx context.Context, r limiter.PermitRequest) bool {
	reply, err := s.reply(ctx, r)
	now := time.Now()
	if err == nil {
		err = s.limiter.Resolve(r, reply, now)
	}
	switch {
	case err != nil:
		s.limiter.Unanswered(r, now)
		s.unanswered.Inc(1)
		s.config.Log.Debug("no permit for a target with a limit", zap.String("target", r.Target()), recorder.Err(err))
		return false
	case reply.Granted():
		s.granted.Inc(1)
		return true
	default:
		s.denied.Inc(1)
		return false
	}
}

// errNoCoordinator means that no coordinator of a target's limit can be reached.
var errNoCoordinator = errors.New("no coordinator of the limit can be reached")

// reply returns the answer of the first coordinator that can be reached.
func (s *Sharer) reply(ctx context.Context, r limiter.PermitRequest) (limiter.PermitReply, error) {
	now := time.Now()
	for rank, vm := range s.coordinators(r.Target()) {
		if vm == s.config.VM {
			return s.grant(r, rank, now), nil
		}
		peer, ok := s.config.Peer(vm)
		if !ok || s.suspects.contains(vm, now) {
			continue
		}
		reply, err := call(ctx, peer, r)
		if err != nil && ctx.Err() == nil {
			s.suspects.add(vm, time.Now().Add(suspectTime))
		}
		return reply, err
	}
	return limiter.PermitReply{}, errNoCoordinator
}

func call(ctx context.Context, peer Peer, r limiter.PermitRequest) (limiter.PermitReply, error) {
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
