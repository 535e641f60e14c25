package escrower

import (
	"slices"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// maxPendingRetirements bounds how many terminated routers the ledger queries witnesses
// for. Beyond it the charges of the oldest become final.
const maxPendingRetirements = 512

// CeilingConfig holds the parts of a ceiling.
type CeilingConfig struct {
	// Organisation is the organisation whose budget the ceiling applies to. Required.
	Organisation string
	// Tokens is the highest total that the router may spend.
	Tokens int64
}

// Ceiling is the highest total that a router has declared it may spend of an
// organisation's budget.
type Ceiling struct{ config CeilingConfig }

// NewCeiling returns a ceiling.
func NewCeiling(c CeilingConfig) Ceiling { return Ceiling{c} }

// Organisation returns the organisation whose budget the ceiling applies to.
func (c Ceiling) Organisation() string { return c.config.Organisation }

// Tokens returns the highest total that the router may spend.
func (c Ceiling) Tokens() int64 { return c.config.Tokens }

// WitnessRecord is what a witness has stored for a terminated router: the highest ceilings
// that it received from that router. A disconnected router spends up to a ceiling only
// after all of its witnesses have stored the ceiling.
type WitnessRecord struct {
	process  identifier.Process
	ceilings []Ceiling
}

// NewWitnessRecord returns the record of a witness for the process.
func NewWitnessRecord(process identifier.Process, ceilings []Ceiling) WitnessRecord {
	return WitnessRecord{process, ceilings}
}

// Process returns the terminated router.
func (r WitnessRecord) Process() identifier.Process { return r.process }

// pendingRetirement holds the charges of a terminated router that a witness may still
// reduce.
type pendingRetirement struct {
	process   identifier.Process
	witnesses []identifier.Process
	charges   []charge
}

// charge is the part of a pendingRetirement for one organisation. Amounts are totals, in
// tokens.
type charge struct {
	organisation string
	spent        int64 // what the router had reported
	minimum      int64 // the most that the router can have spent without a confirmation of its witnesses
	charged      int64 // what the router was charged, including spent
}

func (l *Ledger) addPending(p pendingRetirement) {
	if len(p.charges) == 0 {
		return
	}
	if len(l.pendingRetirements) >= maxPendingRetirements {
		l.pendingRetirements = l.pendingRetirements[1:]
	}
	l.pendingRetirements = append(l.pendingRetirements, p)
}

// queriedRouters returns the terminated routers for which the process is a witness.
func (l *Ledger) queriedRouters(witness identifier.Process) []identifier.Process {
	var queriedRouters []identifier.Process
	for _, p := range l.pendingRetirements {
		if slices.Contains(p.witnesses, witness) {
			queriedRouters = append(queriedRouters, p.process)
		}
	}
	return queriedRouters
}

// applyWitnessRecord reduces the charges of a terminated router to the ceilings that its
// witness has stored, but never below their minimum.
func (l *Ledger) applyWitnessRecord(witness identifier.Process, r WitnessRecord) {
	i := slices.IndexFunc(l.pendingRetirements, func(p pendingRetirement) bool {
		return p.process == r.process && slices.Contains(p.witnesses, witness)
	})
	if i < 0 {
		return
	}
	witnessed := map[string]int64{}
	for _, c := range r.ceilings {
		witnessed[c.config.Organisation] = c.config.Tokens
	}
	for _, c := range l.pendingRetirements[i].charges {
		a, ok := l.accounts[c.organisation]
		if !ok {
			continue
		}
		charged := max(c.spent, min(c.charged, max(c.minimum, witnessed[c.organisation])))
		a.writtenOff -= c.charged - charged
	}
	l.pendingRetirements = slices.Delete(l.pendingRetirements, i, i+1)
}
