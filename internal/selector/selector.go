package selector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// Errors of Acquire. Neither is returned once a target has received the
// request.
var (
	// ErrNoTarget means that no target serves the service.
	ErrNoTarget = errors.New("no target serves this service at present")
	// ErrOverloaded means that the targets have no capacity left for the
	// request.
	ErrOverloaded = errors.New("all targets of this service are full")
)

const (
	// A target is probed directly from staleBefore before the end of its lease
	// until staleAfter after it.
	staleBefore = LeaseDuration / 2
	staleAfter  = time.Minute
)

// Target is a target that serves requests. It is safe for concurrent use.
type Target struct {
	name              string
	address           string
	dataCentre        string
	incarnation       uint64
	capacity          int64
	services          []string
	leaving           atomic.Bool
	expiresAt         atomic.Int64 // Unix time in nanoseconds
	reported          atomic.Int64 // running and waiting requests, as last reported
	openedSinceReport atomic.Int64 // change of this router's open requests since the last report
	open              atomic.Int64 // open requests from this router
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// Address returns the target's address, as host and port.
func (t *Target) Address() string { return t.address }

// load estimates how many requests the target has: the reported number plus the
// change since then, and at least the number that this router has open.
func (t *Target) load() int64 {
	return max(t.reported.Load()+t.openedSinceReport.Load(), t.open.Load())
}

func (t *Target) usable(now time.Time) bool {
	return !t.leaving.Load() && now.UnixNano() < t.expiresAt.Load()
}

// registry is the set of known targets. Its maps are never modified: a new
// registry replaces the old one.
type registry struct {
	byName    map[string]*Target
	byService map[string][]*Target
}

// Selector chooses targets. It is safe for concurrent use.
type Selector struct {
	now         func() time.Time
	routerCount func() int
	registry    atomic.Pointer[registry]
	counters    sync.Map // service name to *classCounters

	mutex      sync.Mutex // serialises replacement of the registry
	departures *adviser.Departures
	changed    chan struct{}
}

// Config configures a selector.
type Config struct {
	// Now returns the time. Default: time.Now.
	Now func() time.Time
	// RouterCount returns how many routers share the targets. Default: one.
	RouterCount func() int
}

// New returns a selector without targets.
func New(config Config) *Selector {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.RouterCount == nil {
		config.RouterCount = func() int { return 1 }
	}
	s := &Selector{now: config.Now, routerCount: config.RouterCount, departures: adviser.NewDepartures(), changed: make(chan struct{})}
	s.registry.Store(&registry{map[string]*Target{}, map[string][]*Target{}})
	return s
}

// Apply applies entries of the disseminator. Entries that are not announcements
// of targets are ignored.
func (s *Selector) Apply(entries []disseminator.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := s.registry.Load()
	for _, e := range entries {
		if !IsTarget(e) {
			continue
		}
		a, err := AnnouncementFrom(e)
		if err != nil {
			continue // the router that received the announcement has validated it
		}
		next = next.with(a, e.ExpiresAt())
		if t := next.byName[a.name]; s.departures.Contains(adviser.NewDeparture(t.name, t.incarnation)) {
			t.leaving.Store(true)
		}
	}
	s.registry.Store(next)
	s.notifyChanged()
}

// RecordDeparture records that a run of a target has said that it leaves, whatever its
// announcements say. It reports whether that is new.
func (s *Selector) RecordDeparture(d adviser.Departure, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if t, ok := s.registry.Load().byName[d.Target()]; ok && t.incarnation <= d.Incarnation() {
		t.leaving.Store(true)
	}
	return s.departures.Add(d, now)
}

// with returns the registry with the announcement applied.
func (r *registry) with(a Announcement, expiresAt time.Time) *registry {
	old := r.byName[a.name]
	if old != nil && a.incarnation < old.incarnation {
		return r
	}
	_, leaving := a.state.(Leaving)
	if old != nil && old.incarnation == a.incarnation && old.address == a.address && slices.Equal(old.services, a.services) {
		old.update(a, leaving, expiresAt)
		return r
	}
	t := &Target{
		name: a.name, address: a.address, dataCentre: a.dataCentre,
		incarnation: a.incarnation, capacity: a.capacity, services: a.services,
	}
	t.update(a, leaving, expiresAt)
	next := &registry{map[string]*Target{}, map[string][]*Target{}}
	for name, other := range r.byName {
		next.byName[name] = other
	}
	next.byName[a.name] = t
	for _, other := range next.byName {
		for _, service := range other.services {
			next.byService[service] = append(next.byService[service], other)
		}
	}
	return next
}

func (t *Target) update(a Announcement, leaving bool, expiresAt time.Time) {
	if leaving {
		t.leaving.Store(true)
	}
	t.reported.Store(a.load.running + a.load.waiting)
	t.openedSinceReport.Store(0)
	t.expiresAt.Store(max(t.expiresAt.Load(), expiresAt.UnixNano()))
}

// Request describes a request that needs a target.
type Request struct {
	// Service is the service that the target must serve. Required.
	Service string
	// Exclude names targets that must not be chosen.
	Exclude []string
	// WaitUntil is the deadline for waiting for a target. The zero value marks
	// the request as urgent: it waits only briefly.
	WaitUntil time.Time

	deferrable bool
}

// Placement is the use of a target for one request. The caller must call
// Release.
type Placement struct {
	selector *Selector
	target   *Target
	counter  *atomic.Int64
	once     sync.Once
}

// Target returns the chosen target.
func (p *Placement) Target() *Target { return p.target }

// Release ends the use of the target. Further calls have no effect.
func (p *Placement) Release() {
	p.once.Do(func() {
		p.target.open.Add(-1)
		p.target.openedSinceReport.Add(-1)
		p.counter.Add(-1)
		p.selector.mutex.Lock()
		p.selector.notifyChanged()
		p.selector.mutex.Unlock()
	})
}

// Acquire chooses a target, and waits for one until the deadline of the request
// if none has capacity. Urgent requests wait for a short time only, and take
// precedence over deferrable ones.
func (s *Selector) Acquire(ctx context.Context, r Request) (*Placement, error) {
	counters := s.countersOf(r.Service)
	r.deferrable = !r.WaitUntil.IsZero()
	if placement, err := s.pick(r, counters); err == nil || errors.Is(err, ErrNoTarget) && !r.deferrable {
		return placement, err
	}
	if !r.deferrable {
		r.WaitUntil = s.now().Add(urgentWaitTimeout)
		counters.waiting.Add(1)
		defer counters.waiting.Add(-1)
	}
	return s.wait(ctx, r, counters)
}

func (s *Selector) countersOf(service string) *classCounters {
	if counters, ok := s.counters.Load(service); ok {
		return counters.(*classCounters)
	}
	counters, _ := s.counters.LoadOrStore(service, &classCounters{})
	return counters.(*classCounters)
}

func (s *Selector) wait(ctx context.Context, r Request, counters *classCounters) (*Placement, error) {
	for {
		s.mutex.Lock()
		changed := s.changed
		s.mutex.Unlock()
		placement, err := s.pick(r, counters)
		if err == nil || !s.now().Before(r.WaitUntil) {
			return placement, err
		}
		timer := time.NewTimer(r.WaitUntil.Sub(s.now()))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, errors.Wrap(ctx.Err(), "wait for a target")
		}
		timer.Stop()
	}
}

// Addresses returns the addresses of the targets that are there.
func (s *Selector) Addresses() []string {
	now := s.now()
	var addresses []string
	for _, t := range s.registry.Load().byName {
		if t.usable(now) {
			addresses = append(addresses, t.address)
		}
	}
	return addresses
}

// Targets returns the targets that serve the service, including those that are
// leaving and those whose lease has expired, however long ago.
func (s *Selector) Targets(service string) []*Target {
	return slices.Clone(s.registry.Load().byService[service])
}

// Stale returns the targets whose lease is about to expire, or expired within
// the last staleAfter, because no announcements arrive. Probing them directly
// can renew the lease.
func (s *Selector) Stale() []*Target {
	now := s.now()
	var stale []*Target
	for _, t := range s.registry.Load().byName {
		remaining := time.Duration(t.expiresAt.Load() - now.UnixNano())
		if !t.leaving.Load() && remaining < staleBefore && remaining > -staleAfter {
			stale = append(stale, t)
		}
	}
	return stale
}

// pick places a request on the less loaded of two targets chosen at random
// (Mitzenmacher, "The Power of Two Choices", 2001). If that one is full, pick
// takes the least loaded target.
func (s *Selector) pick(r Request, counters *classCounters) (*Placement, error) {
	now := s.now()
	var usable []*Target
	for _, t := range s.registry.Load().byService[r.Service] {
		if t.usable(now) && !slices.Contains(r.Exclude, t.name) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil, ErrNoTarget
	}
	first := usable[rand.IntN(len(usable))]
	second := usable[rand.IntN(len(usable))]
	if second.load()*first.capacity < first.load()*second.capacity {
		first = second
	}
	if first.load() >= first.capacity {
		first = slices.MinFunc(usable, func(a, b *Target) int { return int(a.load()*b.capacity - b.load()*a.capacity) })
	}
	if first.load() >= first.capacity {
		return nil, ErrOverloaded
	}
	if r.deferrable && !counters.admitsDeferrable(s.capacityShare(usable), now) {
		return nil, ErrOverloaded
	}
	counter := counters.counter(r.deferrable)
	counter.Add(1)
	if !r.deferrable {
		counters.urgentPeak(now)
	}
	first.open.Add(1)
	first.openedSinceReport.Add(1)
	return &Placement{selector: s, target: first, counter: counter}, nil
}

// capacityShare returns this router's share of the capacity of the targets.
func (s *Selector) capacityShare(targets []*Target) float64 {
	var capacity int64
	for _, t := range targets {
		capacity += t.capacity
	}
	return float64(capacity) / float64(max(1, s.routerCount()))
}

func (s *Selector) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
