// Package requesttracker keeps the requests that a router has taken and, while the router shuts
// down, decides on further ones, ends those that run for too long, and counts what becomes of all.
package requesttracker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/durationestimator"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/shutdownplanner"
)

// Config configures a tracker.
type Config struct {
	// Metrics receives the counters of the shutdown. Required.
	Metrics metrics.Registry
	// Log receives log entries. Required.
	Log *zap.Logger
}

// Tracker keeps the requests of a router. It is safe for concurrent use.
type Tracker struct {
	log       *zap.Logger
	durations *durationestimator.Estimator
	plan      atomic.Pointer[shutdownplanner.Plan] // nil until the shutdown begins

	// The counters of the shutdown.
	running metrics.Counter // requests that were running when it began
	refused metrics.Counter
	ended   metrics.Counter // requests that ended by themselves
	cut     metrics.Counter

	mutex sync.Mutex
	open  map[*Request]bool
}

// New returns a tracker without requests.
func New(c Config) *Tracker {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Metrics) }
	return &Tracker{
		log:       c.Log,
		durations: durationestimator.New(),
		running:   counter("shutdownRequestsRunning"),
		refused:   counter("shutdownRequestsRefused"),
		ended:     counter("shutdownRequestsEnded"),
		cut:       counter("shutdownRequestsCut"),
		open:      map[*Request]bool{},
	}
}

// Request is a request that a router has taken.
type Request struct {
	tracker *Tracker
	end     func()
	cut     atomic.Bool // set by the tracker; the other fields belong to the request's goroutine
	refused bool

	run         *durationestimator.Run // nil until BeginRun
	description durationestimator.Request
}

// Add adds a request. The function end ends it before its time; it is called at most once, and
// not after Remove has returned.
func (t *Tracker) Add(end func()) *Request {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := &Request{tracker: t, end: end}
	t.open[r] = true
	return r
}

// Describe sets the kind and the size of the request. It must be called before Decide and
// BeginRun.
func (r *Request) Describe(description durationestimator.Request) { r.description = description }

// Decide decides whether a request with the given deadline may be taken, or sent to a target
// again, and returns how long it runs at most, or zero if that is not known.
func (r *Request) Decide(now, deadline time.Time) (decision shutdownplanner.Decision, longestRun time.Duration) {
	plan := r.tracker.plan.Load()
	if plan == nil {
		return shutdownplanner.Accept{}, 0
	}
	longestRun = r.tracker.durations.Longest(r.description, now)
	return plan.Decide(shutdownplanner.Request{Now: now, Deadline: deadline, LongestRun: longestRun}), longestRun
}

// BeginRun records that the request is about to be sent to targets.
func (r *Request) BeginRun(now time.Time) { r.run = r.tracker.durations.Begin(r.description, now) }

// EndRun records that the caller has received the response, or that the deadline has passed.
func (r *Request) EndRun(now time.Time) {
	if r.run != nil {
		r.run.End(now)
		r.run = nil
	}
}

// SetRefused records that the request is refused since the router shuts down.
func (r *Request) SetRefused() { r.refused = true }

// Cut reports whether the request was ended since the router shuts down.
func (r *Request) Cut() bool { return r.cut.Load() }

// Remove removes the request.
func (r *Request) Remove() {
	if r.run != nil {
		r.run.Discard()
	}
	t := r.tracker
	t.mutex.Lock()
	delete(t.open, r)
	t.mutex.Unlock()
	switch {
	case !t.ShuttingDown():
	case r.refused:
		t.refused.Inc(1)
	case r.cut.Load():
		t.cut.Inc(1)
	default:
		t.ended.Inc(1)
	}
}

// ShuttingDown reports whether the shutdown has begun.
func (t *Tracker) ShuttingDown() bool { return t.plan.Load() != nil }

// BeginShutdown begins the shutdown. Requests that are still running at the plan's CutAt are
// ended then.
func (t *Tracker) BeginShutdown(plan shutdownplanner.Plan) {
	now := plan.StartedAt()
	t.plan.Store(&plan)
	t.mutex.Lock()
	running := len(t.open)
	t.mutex.Unlock()
	t.running.Inc(int64(running))
	fields := []zap.Field{zap.Int("open", running), zap.Duration("notice", plan.NoticeEndsAt().Sub(now))}
	if plan.Bounded() {
		fields = append(fields, zap.Duration("cutIn", plan.CutAt().Sub(now)), zap.Duration("killedIn", plan.KilledAt().Sub(now)))
		time.AfterFunc(plan.CutAt().Sub(now), t.run)
	}
	t.log.Info("draining", fields...)
}

// run ends the requests that are still running.
func (t *Tracker) run() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.open) > 0 {
		t.log.Warn("requests are cut off: they do not end before the process is killed", zap.Int("open", len(t.open)))
	}
	for r := range t.open {
		r.cut.Store(true)
		r.end()
	}
}

// Listener accepts the connections of callers.
type Listener interface {
	// Shutdown accepts no more connections, and waits until all are closed or the context ends.
	Shutdown(context.Context) error
}

// Relay carries connections for other routers.
type Relay interface {
	// AwaitUnused waits until it carries none, or the context ends.
	AwaitUnused(context.Context)
}

// AwaitUnused waits until the requests of callers, and those that are carried for other routers,
// have ended, or until the plan allows no more responses. The shutdown must have begun.
func (t *Tracker) AwaitUnused(ctx context.Context, l Listener, relay Relay) {
	if plan := t.plan.Load(); plan.Bounded() {
		bounded, cancel := context.WithDeadline(ctx, plan.FlushedAt())
		defer cancel()
		ctx = bounded
	}
	if err := l.Shutdown(ctx); err != nil {
		t.log.Warn("open requests interrupted by the shutdown", recorder.Err(err))
	}
	relay.AwaitUnused(ctx)
}

// LogShutdown logs what has become of the requests. The shutdown must have begun.
func (t *Tracker) LogShutdown(now time.Time) {
	plan := t.plan.Load()
	fields := []zap.Field{
		zap.Int64("running", t.running.Count()), zap.Int64("refused", t.refused.Count()), zap.Int64("ended", t.ended.Count()),
		zap.Int64("cut", t.cut.Count()), zap.Duration("took", now.Sub(plan.StartedAt())),
	}
	if plan.Bounded() {
		fields = append(fields, zap.Duration("left", plan.KilledAt().Sub(now)))
	}
	t.log.Info("drained", fields...)
}
