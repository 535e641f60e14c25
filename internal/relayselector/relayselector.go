// Package relayselector chooses the router through which a router that has lost the path to
// the targets reaches them.
//
// It answers a partition of a third of the fleet or more, all of which have to share the
// other routers at once: relays are chosen by their load, which they report whenever they
// accept, and by what was opened there since, among a few drawn by lot, so that many routers
// with the same reports do not all choose the same relay. Those in the own data centre come
// first, since responses cross the network twice, until they are busier than others.
//
// A Selector has no clock: its owner passes the time.
package relayselector

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// farCost is how much busier than a relay in another data centre one in the own may be.
	farCost = 0.03
	// drawn is how many relays in the own data centre, and in others, are compared.
	drawn = 2
	// loadDecayTime is the time constant with which a reported load loses its weight.
	loadDecayTime = 5 * time.Second
	// minAvoid and maxAvoid bound how long a relay that refused or failed is avoided. The
	// time doubles with each failure in a row.
	minAvoid = 200 * time.Millisecond
	maxAvoid = 3 * time.Second
)

// Candidate is a router that may relay.
type Candidate struct{ vm, address, dataCentre string }

// NewCandidate returns a candidate with the address at which it accepts links. The data
// centre may be unknown, and is then empty.
func NewCandidate(vm, address, dataCentre string) Candidate {
	return Candidate{vm, address, dataCentre}
}

// VM returns the name of the candidate's VM.
func (c Candidate) VM() string { return c.vm }

// Address returns the address at which the candidate accepts links.
func (c Candidate) Address() string { return c.address }

// DataCentre returns the candidate's data centre, or "" if that is not known.
func (c Candidate) DataCentre() string { return c.dataCentre }

// relay is what is known about a candidate.
type relay struct {
	load       float64 // as reported: 1 is full
	reportedAt time.Time
	opened     int // since the report
	failures   int // in a row
	avoidUntil time.Time
}

// Selector chooses relays. It is safe for concurrent use.
type Selector struct {
	dataCentre string

	mutex  sync.Mutex
	random *rand.Rand
	relays map[string]*relay
}

// Config configures a Selector.
type Config struct {
	// DataCentre is the data centre of this router. Required.
	DataCentre string
	// Random draws the relays that are compared. Default: a random seed.
	Random *rand.Rand
}

// New returns a Selector that knows no loads.
func New(c Config) *Selector {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Selector{dataCentre: c.DataCentre, random: c.Random, relays: map[string]*relay{}}
}

// Choose chooses one of the candidates. It reports false if none may be used now.
func (s *Selector) Choose(candidates []Candidate, now time.Time) (Candidate, bool) {
	return s.ChooseAllowed(candidates, nil, now)
}

// ChooseAllowed is Choose among the candidates of the data centres that are allowed. Nil
// allows all.
func (s *Selector) ChooseAllowed(candidates []Candidate, allows func(dataCentre string) bool, now time.Time) (Candidate, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(candidates)
	var near, far []Candidate
	dataCentres := map[string]bool{s.dataCentre: true}
	for _, c := range candidates {
		if allows != nil && !allows(c.dataCentre) {
			continue
		}
		dataCentres[c.dataCentre] = true
		switch {
		case now.Before(s.relay(c).avoidUntil):
		case c.dataCentre == s.dataCentre:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	var best Candidate
	bestCost := math.Inf(1)
	compare := func(among []Candidate, extraCost float64) {
		for range min(drawn, len(among)) {
			c := among[s.random.IntN(len(among))]
			if cost := s.relay(c).cost(now) + extraCost; cost < bestCost {
				best, bestCost = c, cost
			}
		}
	}
	if len(far) == 0 || s.random.Float64() < nearShare(len(near), len(far), len(dataCentres)) {
		compare(near, 0)
	}
	compare(far, farCost)
	if math.IsInf(bestCost, 1) {
		return Candidate{}, false
	}
	s.relay(best).opened++
	return best, true
}

// nearShare returns the share of the choices that consider relays in the own data centre. It
// falls with the square of their part of all relays: if most routers of a data centre are cut
// off, the few that are left would otherwise be the first choice of all of them.
func nearShare(near, far, dataCentres int) float64 {
	part := float64(near*dataCentres) / float64(near+far)
	return part * part
}

// forget removes what is known of routers that are no candidates any more.
func (s *Selector) forget(candidates []Candidate) {
	if len(s.relays) <= len(candidates) {
		return
	}
	kept := map[string]*relay{}
	for _, c := range candidates {
		kept[c.vm] = s.relay(c)
	}
	s.relays = kept
}

func (s *Selector) relay(c Candidate) *relay {
	r, ok := s.relays[c.vm]
	if !ok {
		r = &relay{}
		s.relays[c.vm] = r
	}
	return r
}

func (r *relay) loadAt(now time.Time) float64 {
	return r.load * math.Exp(-now.Sub(r.reportedAt).Seconds()/loadDecayTime.Seconds())
}

// cost orders relays: first by load, then by what was opened since the load was reported.
func (r *relay) cost(now time.Time) float64 {
	const openedCost = 0.02
	return r.loadAt(now) + openedCost*float64(r.opened)
}

// RecordAccepted records that a relay has opened a connection, and its load.
func (s *Selector) RecordAccepted(c Candidate, load float64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.relay(c)
	r.load, r.reportedAt, r.opened, r.failures = load, now, 0, 0
}

// RecordRefused records that a relay has refused, or does not answer. It is avoided for a
// while, which differs between routers.
func (s *Selector) RecordRefused(c Candidate, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.relay(c)
	avoid := min(maxAvoid, minAvoid<<min(r.failures, 4))
	r.failures++
	r.avoidUntil = now.Add(avoid + time.Duration(s.random.Int64N(int64(avoid))))
}
