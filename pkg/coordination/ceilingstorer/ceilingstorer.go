// Package ceilingstorer stores the spending ceilings of other routers.
//
// A router that is disconnected from control sends its ceilings to its witnesses before
// it spends up to them. After its death, the ledger asks a witness for the ceilings and
// charges no more than these. A witness must therefore never answer that it has no
// ceilings of a router when it has forgotten them.
//
// A Storer has no clock: its owner passes the current time with each call.
package ceilingstorer

import (
	"sync"
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

const (
	defaultRetention = 2 * time.Minute
	// maxForgotten limits how many processes are remembered as forgotten.
	maxForgotten = 16 << 10
)

// Config configures a storer.
type Config struct {
	// Retention is how long the ceilings of a router are kept after its last message.
	// Default: 2 min.
	Retention time.Duration
}

// record holds the highest ceiling of each organisation that one router has sent.
type record struct {
	ceilings  map[string]int64
	expiresAt time.Time
}

// Storer stores the ceilings of the routers for which this router is a witness. It is
// safe for concurrent use.
type Storer struct {
	retention time.Duration

	mutex   sync.Mutex
	records map[identifier.Process]record
	// forgotten holds the processes whose records have expired. If it overflows,
	// incomplete is set, and a process without a record may be a forgotten one.
	forgotten  map[identifier.Process]bool
	incomplete bool
}

// New returns a storer without ceilings.
func New(c Config) *Storer {
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	return &Storer{retention: c.Retention, records: map[identifier.Process]record{}, forgotten: map[identifier.Process]bool{}}
}

// Store records the ceilings of a router. For each organisation it keeps the highest.
func (s *Storer) Store(process identifier.Process, ceilings []escrower.Ceiling, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	r, ok := s.records[process]
	if !ok {
		r.ceilings = map[string]int64{}
	}
	for _, c := range ceilings {
		r.ceilings[c.Organisation()] = max(r.ceilings[c.Organisation()], c.Tokens())
	}
	r.expiresAt = now.Add(s.retention)
	s.records[process] = r
}

// expire forgets the records whose retention is over.
func (s *Storer) expire(now time.Time) {
	for process, r := range s.records {
		if !now.After(r.expiresAt) {
			continue
		}
		delete(s.records, process)
		if len(s.forgotten) >= maxForgotten {
			s.incomplete = true
			continue
		}
		s.forgotten[process] = true
	}
}

// Record returns the ceilings of a router that has terminated, which are none if the
// router has never sent any. It reports false if the ceilings may have been forgotten.
func (s *Storer) Record(process identifier.Process, now time.Time) (escrower.WitnessRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	r, ok := s.records[process]
	if !ok && (s.incomplete || s.forgotten[process]) {
		return escrower.WitnessRecord{}, false
	}
	var ceilings []escrower.Ceiling
	for organisation, tokens := range r.ceilings {
		ceilings = append(ceilings, escrower.NewCeiling(escrower.CeilingConfig{Organisation: organisation, Tokens: tokens}))
	}
	return escrower.NewWitnessRecord(process, ceilings), true
}
