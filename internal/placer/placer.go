// Package placer chooses the target of a request.
//
// It answers two loads. Model requests share parts of their prompts, which an
// engine keeps in memory: requests with the same shared parts go to the same
// engine, their home, so that the parts are read once, unless the home is so busy
// that the first event would be late; then they go to the next home in the same
// order at all routers, so that a busy part is read by few engines. Requests to
// plain services go where the least work is.
//
// Homes are found by rendezvous hashing (Thaler and Ravishankar, 1998). A Placer
// has no clock and sends nothing. Many routers place at the same time from old
// reports, so ties are broken at random and own requests count at once.
package placer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/selector"
)

// ErrNoTarget means that no target can take the request.
var ErrNoTarget = errors.New("no target serves this service at present")

const (
	// readRate is how many prompt tokens an engine reads in a millisecond, taken
	// on the low side.
	readRate = 50
	// homes is how many engines a busy part of a prompt may be kept by.
	homes = 3
	// busyPart is the part of a request's aim that the work before it at its home
	// may take.
	busyPart = 0.55
	// waitingCost is what a request that waits inside an engine adds to the time
	// to the first event.
	waitingCost = 30 * time.Millisecond
	// faultCost is what a recent failure of a target weighs in time.
	faultCost = 400 * time.Millisecond
)

// Part is a part of a prompt that requests may share.
type Part struct {
	id     uint64
	tokens int64
}

// NewPart returns a part. Equal identifiers mean equal parts.
func NewPart(id uint64, tokens int64) Part { return Part{id, tokens} }

// Tokens returns the length of the part.
func (p Part) Tokens() int64 { return p.tokens }

// Choice is a request for a target.
type Choice struct {
	// Service is what the target must serve. Required.
	Service string
	// Parts are the parts of the prompt, in order. The last belongs to the
	// request alone.
	Parts []Part
	// Aim is the time to the first event within which the answer is on time.
	Aim time.Duration
	// Exclude names targets that must not be chosen.
	Exclude []string
	// Stalled says that news of targets does not arrive, so that their leases do
	// not count.
	Stalled bool
	// Now is the time. Required.
	Now time.Time
}

// Placement is the use of a target for one request. Ended must be called.
type Placement struct {
	placer   *Placer
	target   *target
	uncached int64
	sentAt   time.Time
	reading  bool
	ended    bool
	home     int
}

// Target returns the announcement of the chosen target.
func (p *Placement) Target() selector.Announcement { return p.target.announcement }

// Home returns the place of the target in the order of homes, from zero, or -1
// for requests without shared parts.
func (p *Placement) Home() int { return p.home }

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	mutex     sync.Mutex
	targets   map[string]*target
	byService map[string][]*target
}

// New returns a placer that knows no targets.
func New() *Placer {
	return &Placer{targets: map[string]*target{}, byService: map[string][]*target{}}
}

// Change is what an announcement changed.
type Change int

// The changes of Learn.
const (
	Unchanged Change = iota
	Appeared
	Left
)

// Learn takes an announcement and says what it changed. Within one incarnation a
// target never comes back from leaving.
func (p *Placer) Learn(a selector.Announcement, expiresAt time.Time) Change {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, leaving := a.State().(selector.Leaving)
	old, known := p.targets[a.Name()]
	if known && old.announcement.Incarnation() > a.Incarnation() {
		return Unchanged
	}
	if known && old.announcement.Incarnation() == a.Incarnation() && old.announcement.Address() == a.Address() {
		if expiresAt.After(old.expiresAt) {
			old.expiresAt = expiresAt
		}
		if leaving && !old.leaving {
			old.leaving = true
			return Left
		}
		return Unchanged
	}
	p.targets[a.Name()] = &target{announcement: a, leaving: leaving, expiresAt: expiresAt}
	p.supersede(a)
	p.index()
	if leaving {
		return Left
	}
	return Appeared
}

// supersede drops targets whose address a later start has taken.
func (p *Placer) supersede(a selector.Announcement) {
	for name, t := range p.targets {
		if name == a.Name() || t.announcement.Address() != a.Address() {
			continue
		}
		if t.announcement.Incarnation() < a.Incarnation() {
			delete(p.targets, name)
			continue
		}
		delete(p.targets, a.Name())
	}
}

func (p *Placer) index() {
	p.byService = map[string][]*target{}
	for _, t := range p.targets {
		for _, service := range t.announcement.Services() {
			p.byService[service] = append(p.byService[service], t)
		}
	}
	for _, targets := range p.byService {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.announcement.Name(), b.announcement.Name()) })
	}
}

// Forget drops targets whose lease ended before the given time.
func (p *Placer) Forget(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, t := range p.targets {
		if t.expiresAt.Before(before) && t.open == 0 {
			delete(p.targets, name)
		}
	}
	p.index()
}

// Len returns how many targets serve the service.
func (p *Placer) Len(service string, now time.Time, stalled bool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.usable(Choice{Service: service, Now: now, Stalled: stalled}))
}

// Choose chooses a target for a request.
func (p *Placer) Choose(c Choice) (*Placement, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usable := p.usable(c)
	if len(usable) == 0 {
		return nil, ErrNoTarget
	}
	var t *target
	home := -1
	var uncached int64
	if len(c.Parts) > 1 {
		t, home = chooseHome(c, usable)
		uncached = c.Parts[len(c.Parts)-1].tokens
	} else {
		t = chooseIdle(c, usable)
		for _, part := range c.Parts {
			uncached += part.tokens
		}
	}
	t.open++
	t.prefilling += uncached
	return &Placement{placer: p, target: t, uncached: uncached, sentAt: c.Now, reading: true, home: home}, nil
}

// usable returns the targets that may be chosen. Targets that could not be
// reached count only if there is no other.
func (p *Placer) usable(c Choice) []*target {
	var usable, avoided []*target
	for _, t := range p.byService[c.Service] {
		switch {
		case !t.usable(c.Now, c.Stalled) || slices.Contains(c.Exclude, t.announcement.Name()):
		case c.Now.Before(t.avoidUntil):
			avoided = append(avoided, t)
		default:
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return avoided
	}
	return usable
}

// chooseHome returns the home of the request's shared parts, or the least busy of
// its next homes if the first event would be late there.
func chooseHome(c Choice, usable []*target) (*target, int) {
	key := c.Parts[len(c.Parts)-2].id
	ordered := slices.Clone(usable)
	slices.SortFunc(ordered, func(a, b *target) int {
		return cmp.Compare(weight(key, b.announcement.Name()), weight(key, a.announcement.Name()))
	})
	limit := time.Duration(float64(c.Aim) * busyPart)
	var best *target
	var bestWait time.Duration
	place := 0
	for i, t := range ordered[:min(len(ordered), homes)] {
		wait := t.engineWait(c.Now)
		if wait <= limit {
			return t, i
		}
		if best == nil || wait < bestWait {
			best, bestWait, place = t, wait, i
		}
	}
	return best, place
}

// engineWait estimates how long a request waits at an engine before it is read.
func (t *target) engineWait(now time.Time) time.Duration {
	wait := time.Duration(t.prefilling/readRate) * time.Millisecond
	wait += time.Duration(float64(t.waiting)*decay(now.Sub(t.reportedAt), reportSpan)) * waitingCost
	wait = max(wait, t.lateness(now))
	return wait + time.Duration(t.faultRate(now)*float64(faultCost))
}

// chooseIdle returns a target with the least work for its slots.
func chooseIdle(c Choice, usable []*target) *target {
	var best *target
	bestCost := 0.0
	for _, i := range rand.Perm(len(usable)) {
		t := usable[i]
		cost := (t.load(c.Now)+1)/float64(t.announcement.Capacity()) + t.faultRate(c.Now)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

func weight(key uint64, name string) uint64 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, key)) // never fails, as documented by hash.Hash
	_, _ = digest.WriteString(name)                                 // as above
	return digest.Sum64()
}

// Report takes the load that the target has reported with an answer.
func (p *Placement) Report(l Load, now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	p.target.report(l, now)
}

// FirstEvent notes that the answer has begun.
func (p *Placement) FirstEvent(now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	p.endReading()
	t := p.target
	own := float64(p.uncached) / readRate
	late := max(0, float64(now.Sub(p.sentAt).Milliseconds())-own)
	const newWeight = 0.5
	t.firstEventMs = (1-newWeight)*t.firstEventMs*decay(now.Sub(t.firstAt), reportSpan) + newWeight*late
	t.firstAt = now
	t.avoidance = 0
}

func (p *Placement) endReading() {
	if p.reading {
		p.reading = false
		p.target.prefilling -= p.uncached
	}
}

// Outcome is how the use of a target ended. It is sealed: Served, Failed,
// Rejected, Unreachable and Abandoned are its only variants.
type Outcome interface{ isOutcome() }

// Served means that the target answered.
type Served struct{}

// Failed means that the target broke off or answered with a failure of its own.
type Failed struct{}

// Rejected means that the target did not run the request.
type Rejected struct{}

// Unreachable means that no connection to the target could be opened.
type Unreachable struct{}

// Abandoned means that the caller left or the time was over.
type Abandoned struct{}

func (Served) isOutcome()      {}
func (Failed) isOutcome()      {}
func (Rejected) isOutcome()    {}
func (Unreachable) isOutcome() {}
func (Abandoned) isOutcome()   {}

// Ended ends the use of the target.
func (p *Placement) Ended(o Outcome, now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.endReading()
	t := p.target
	t.open--
	switch o.(type) {
	case Served:
		t.avoidance = 0
	case Failed:
		t.fault(now)
	case Rejected:
		t.fault(now)
	case Unreachable:
		t.fault(now)
		t.avoid(now)
	case Abandoned:
	}
}
