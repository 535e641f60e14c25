// Package placer chooses the target of each request of a gateway.
//
// Model requests with a common prompt prefix are sent to the same engine, their
// home engine, so that the prefix is computed once and then found in the
// engine's prefix cache. The prefill of a long prompt delays the streams that
// run on the same engine, so long prompts are placed on engines with few
// streams or with another long prefill under way, and short requests avoid
// those engines. Requests to plain services are sent to the least loaded
// target.
//
// Home engines are found by rendezvous hashing (Thaler and Ravishankar, 1998).
// A Placer reads no clock and sends no messages. Many routers place requests at
// the same time with outdated load reports, so a Placer breaks ties at random
// and counts its own requests at once.
//
// The speed of engines is learned (package estimator), and a request whose first event
// would come too late on every engine is refused (OverloadError).
package placer

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/estimator"
)

// ErrNoTarget means that no target can take the request.
var ErrNoTarget = errors.New("no available target serves this service")

// A PausedError means that all targets that could take the request want nothing from this
// router for a while.
type PausedError struct{ until time.Time }

// Error implements error.
func (e *PausedError) Error() string { return "all targets of the service have asked for a pause" }

// Until returns when the first of them can be used again.
func (e *PausedError) Until() time.Time { return e.until }

// Segment is a run of prompt tokens that several requests may share.
type Segment struct {
	id     uint64
	tokens int64
}

// NewSegment returns a segment. Segments with equal identifiers have equal
// contents.
func NewSegment(id uint64, tokens int64) Segment { return Segment{id, tokens} }

// ID returns the identifier of the segment.
func (s Segment) ID() uint64 { return s.id }

// Tokens returns the length of the segment in tokens.
func (s Segment) Tokens() int64 { return s.tokens }

// Request describes a request that needs a target.
type Request struct {
	// Service is the service that the target must serve. Required.
	Service string
	// Segments are the segments of the prompt, in order. No other request
	// shares the last one.
	Segments []Segment
	// FirstEventObjective is the longest time to the first event that meets the
	// latency objective.
	FirstEventObjective time.Duration
	// TokensPerEvent is the number of tokens in an event of the service's
	// streams, and MaxEventGap the longest time between two events that meets
	// the latency objective.
	TokensPerEvent int64
	MaxEventGap    time.Duration
	// MaxFirstEvent, if positive, makes Choose return an OverloadError if even the best target
	// would send the first event later than admissionShare of it. A prompt that takes longer
	// than that on an idle target is refused only if it would have to wait in addition.
	MaxFirstEvent time.Duration
	// Patience, if positive, is how long the caller waits for the first event.
	Patience time.Duration
	// SoftwareVersion, if not nil, is the only version of a target's software that may be
	// chosen.
	SoftwareVersion *string
	// Allows, if set, reports whether targets of a data centre may be chosen.
	Allows func(dataCentre string) bool
	// Exclude names targets that must not be chosen.
	Exclude []string
	// IgnoreLeases makes targets usable even if their leases have expired. It
	// is set while announcements cannot arrive.
	IgnoreLeases bool
	// Now is the current time. Required.
	Now time.Time

	// speedFactor is the learned duration of a prefill divided by the duration on
	// the reference engine.
	speedFactor float64
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	mutex      sync.Mutex
	targets    map[string]*target
	byService  map[string][]*target
	speeds     map[string]*estimator.Estimator // by service
	departures *adviser.Departures
}

// New returns a placer without targets.
func New() *Placer {
	return &Placer{targets: map[string]*target{}, byService: map[string][]*target{}, speeds: map[string]*estimator.Estimator{}, departures: adviser.NewDepartures()}
}

// NoneAllowed reports whether the request's service has targets, but all of them are in data
// centres that Allows excludes.
func (p *Placer) NoneAllowed(r Request) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := false
	for _, t := range p.byService[r.Service] {
		if !t.present(r.Now, r.IgnoreLeases) {
			continue
		}
		if r.Allows == nil || r.Allows(t.announcement.DataCentre()) {
			return false
		}
		known = true
	}
	return known
}

// CountUsable returns how many targets can be chosen for a request.
func (p *Placer) CountUsable(r Request) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.usable(r))
}

// Unavailable returns why no target can be chosen for a request: ErrNoTarget or a PausedError.
// It returns nil if there is one.
func (p *Placer) Unavailable(r Request) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.usable(r)) > 0 {
		return nil
	}
	return p.reasonForNone(r)
}

// Choose chooses a target for a request.
func (p *Placer) Choose(r Request) (*Placement, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usable := p.usable(r)
	if len(usable) == 0 {
		return nil, p.reasonForNone(r)
	}
	var t *target
	rank := -1
	cached := int64(0)
	speed := p.speed(r.Service)
	r.speedFactor = speed.Factor()
	if len(r.Segments) > 1 {
		t, rank, cached = chooseEngine(r, usable)
	} else {
		t = chooseLeastLoaded(r, usable)
	}
	uncached := r.promptTokens() - cached
	reference := referencePrefillTime(cached, uncached)
	prefill := r.actualTime(reference)
	idle := speed.Overhead() + prefill
	expected := t.certainWait(r.Now) + idle
	if err := r.checkOverload(expected, idle); err != nil {
		return nil, err
	}
	placement := &Placement{
		placer: p, target: t, prefillTime: prefill, awaitsFirstEvent: true, homeRank: rank,
		chosenAt: r.Now, firstEventAt: r.Now.Add(expected),
		speed: speed, reference: reference, startsAtOnce: t.startsAtOnce(r.Now),
		formerDelayUntil: t.streamsDelayedUntil,
	}
	if rank >= 0 {
		placement.prefix = r.sharedPrefix()
		placement.formerPrefixAt = t.sentPrefixes[placement.prefix]
		t.recordPrefix(placement.prefix, r.Now)
	}
	t.open++
	placement.prefillDoneAt = t.enqueuePrefill(prefill, r.Now).Add(-t.corrections)
	if r.streamDelayRisk(cached, uncached) > 0 {
		placement.delaysStreams = true
		t.streamsDelayedUntil = placement.expectedPrefillEnd()
	}
	return placement, nil
}

// speed returns the estimator of the speed of a service's engines.
func (p *Placer) speed(service string) *estimator.Estimator {
	speed, ok := p.speeds[service]
	if !ok {
		speed = estimator.New()
		p.speeds[service] = speed
	}
	return speed
}

// actualTime converts a time on the reference engine into the time on an engine of the
// service.
func (r Request) actualTime(reference time.Duration) time.Duration {
	return time.Duration(r.speedFactor * float64(reference))
}

// sharedPrefix returns the identifier of the last segment that other requests may share.
func (r Request) sharedPrefix() uint64 { return r.Segments[len(r.Segments)-2].id }

func (r Request) promptTokens() int64 {
	tokens := int64(0)
	for _, segment := range r.Segments {
		tokens += segment.tokens
	}
	return tokens
}

// RecordRemotePrefill records that another router has sent a prompt with the
// given prefill time to the named target.
func (p *Placer) RecordRemotePrefill(name string, prefill time.Duration, delaysStreams bool, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if t, ok := p.targets[name]; ok {
		prefillDoneAt := t.enqueuePrefill(prefill, now)
		if delaysStreams {
			t.streamsDelayedUntil = prefillDoneAt
		}
	}
}

// reasonForNone returns the error of a request for which no target can be chosen.
func (p *Placer) reasonForNone(r Request) error {
	var first time.Time
	for _, t := range p.byService[r.Service] {
		if !t.present(r.Now, r.IgnoreLeases) || !r.Now.Before(t.pausedUntil) || !r.admits(t) {
			continue
		}
		if first.IsZero() || t.pausedUntil.Before(first) {
			first = t.pausedUntil
		}
	}
	if first.IsZero() {
		return ErrNoTarget
	}
	return &PausedError{first}
}

// admits reports whether the request may be sent to the target, whatever its state.
func (r Request) admits(t *target) bool {
	if r.SoftwareVersion != nil && *r.SoftwareVersion != t.announcement.SoftwareVersion() {
		return false
	}
	if r.Allows != nil && !r.Allows(t.announcement.DataCentre()) {
		return false
	}
	return !slices.Contains(r.Exclude, t.announcement.Name())
}

// usable returns the targets that may be chosen. Targets in backoff after a
// failed connection are returned only if there are no others.
func (p *Placer) usable(r Request) []*target {
	var usable, inBackoff []*target
	for _, t := range p.byService[r.Service] {
		switch {
		case !t.usable(r.Now, r.IgnoreLeases) || !r.admits(t):
		case r.Now.Before(t.backoffUntil):
			inBackoff = append(inBackoff, t)
		default:
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return inBackoff
	}
	return usable
}

// chooseLeastLoaded returns a target with the least load relative to its
// capacity, and breaks ties at random.
func chooseLeastLoaded(r Request, usable []*target) *target {
	var best *target
	bestCost := 0.0
	for _, i := range rand.Perm(len(usable)) {
		t := usable[i]
		cost := (t.load(r.Now)+1)/float64(t.announcement.Capacity()) + t.failureScore(r.Now)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

func rendezvousWeight(key uint64, name string) uint64 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, key)) // never fails, as documented by hash.Hash
	_, _ = digest.WriteString(name)                                 // as above
	return digest.Sum64()
}
