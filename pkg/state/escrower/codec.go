package escrower

import (
	"maps"
	"slices"
	"time"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
)

type wireLine struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Spent        int64
	Returned     int64
	Ceiling      int64
	OverrunRate  int64
	Required     int64
	Demand       int64
}

type wireReport struct {
	_         struct{} `cbor:",toarray"`
	Router    encoder.WireProcess
	Sequence  uint64
	StartedAt int64 // Unix time in milliseconds
	SentAt    int64 // Unix time in milliseconds
	AckAge    int64 // milliseconds
	Final     bool
	Lines     []wireLine

	Witnesses      []encoder.WireProcess
	WitnessRecords []wireWitnessRecord
	Lender         bool
}

type wireCeiling struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Tokens       int64
}

type wireWitnessRecord struct {
	_        struct{} `cbor:",toarray"`
	Process  encoder.WireProcess
	Ceilings []wireCeiling
}

func ceilingsToWire(ceilings []Ceiling) []wireCeiling {
	var wire []wireCeiling
	for _, c := range ceilings {
		wire = append(wire, wireCeiling{Organisation: c.config.Organisation, Tokens: c.config.Tokens})
	}
	return wire
}

func ceilingsFromWire(wire []wireCeiling) []Ceiling {
	var ceilings []Ceiling
	for _, w := range wire {
		ceilings = append(ceilings, NewCeiling(CeilingConfig{w.Organisation, w.Tokens}))
	}
	return ceilings
}

// EncodeCeilings returns the CBOR form of the ceilings that a router sends to its
// witnesses.
func EncodeCeilings(ceilings []Ceiling) ([]byte, error) {
	return encoder.Marshal(ceilingsToWire(ceilings))
}

// DecodeCeilings is the inverse of EncodeCeilings.
func DecodeCeilings(data []byte) ([]Ceiling, error) {
	var wire []wireCeiling
	err := encoder.Unmarshal(data, &wire)
	return ceilingsFromWire(wire), err
}

type wireGrant struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Granted      int64
	Ceiling      int64
	OverrunRate  int64
	MaxUnspent   int64
	Remaining    int64
	Available    int64
}

type wireResponse struct {
	_              struct{} `cbor:",toarray"`
	Sequence       uint64
	Grants         []wireGrant
	QueriedRouters []encoder.WireProcess
}

// EncodeReport returns the CBOR form of a report.
func EncodeReport(r Report) ([]byte, error) {
	c := r.config
	w := wireReport{
		Router: encoder.ProcessToWire(c.Router), Sequence: c.Sequence,
		StartedAt: c.StartedAt.UnixMilli(), SentAt: c.SentAt.UnixMilli(),
		AckAge: c.AckAge.Milliseconds(), Final: c.Final,
	}
	w.Witnesses, w.Lender = encoder.ProcessesToWire(c.Witnesses), c.Lender
	for _, record := range c.WitnessRecords {
		w.WitnessRecords = append(w.WitnessRecords, wireWitnessRecord{
			Process: encoder.ProcessToWire(record.process), Ceilings: ceilingsToWire(record.ceilings),
		})
	}
	for _, line := range c.Lines {
		l := line.config
		w.Lines = append(w.Lines, wireLine{
			Organisation: l.Organisation, Spent: l.Spent, Returned: l.Returned, Ceiling: l.Ceiling, OverrunRate: l.OverrunRate, Required: l.Required, Demand: l.Demand,
		})
	}
	return encoder.Marshal(w)
}

// DecodeReport is the inverse of EncodeReport.
func DecodeReport(data []byte) (Report, error) {
	var w wireReport
	if err := encoder.Unmarshal(data, &w); err != nil {
		return Report{}, err
	}
	c := ReportConfig{
		Router: encoder.ProcessFromWire(w.Router), Sequence: w.Sequence,
		StartedAt: time.UnixMilli(w.StartedAt), SentAt: time.UnixMilli(w.SentAt),
		AckAge: time.Duration(w.AckAge) * time.Millisecond, Final: w.Final,
	}
	c.Witnesses, c.Lender = encoder.ProcessesFromWire(w.Witnesses), w.Lender
	for _, record := range w.WitnessRecords {
		c.WitnessRecords = append(c.WitnessRecords, NewWitnessRecord(encoder.ProcessFromWire(record.Process), ceilingsFromWire(record.Ceilings)))
	}
	for _, l := range w.Lines {
		c.Lines = append(c.Lines, NewLine(LineConfig{
			Organisation: l.Organisation, Spent: l.Spent, Returned: l.Returned, Ceiling: l.Ceiling, OverrunRate: l.OverrunRate, Required: l.Required, Demand: l.Demand,
		}))
	}
	return NewReport(c), nil
}

// EncodeResponse returns the CBOR form of a response.
func EncodeResponse(r Response) ([]byte, error) {
	w := wireResponse{Sequence: r.sequence, QueriedRouters: encoder.ProcessesToWire(r.queriedRouters)}
	for _, g := range r.grants {
		w.Grants = append(w.Grants, wireGrant{
			Organisation: g.organisation, Granted: g.granted, Ceiling: g.ceiling, OverrunRate: g.overrunRate, MaxUnspent: g.maxUnspent, Remaining: g.remaining, Available: g.available,
		})
	}
	return encoder.Marshal(w)
}

// DecodeResponse is the inverse of EncodeResponse.
func DecodeResponse(data []byte) (Response, error) {
	var w wireResponse
	if err := encoder.Unmarshal(data, &w); err != nil {
		return Response{}, err
	}
	r := Response{sequence: w.Sequence, queriedRouters: encoder.ProcessesFromWire(w.QueriedRouters)}
	for _, g := range w.Grants {
		r.grants = append(r.grants, Grant{g.Organisation, g.Granted, g.Ceiling, g.OverrunRate, g.MaxUnspent, g.Remaining, g.Available})
	}
	return r, nil
}

type wireHolding struct {
	_           struct{} `cbor:",toarray"`
	Process     encoder.WireProcess
	Granted     int64
	Returned    int64
	Spent       int64
	Ceiling     int64
	OverrunRate int64
	Required    int64
	Demand      int64
}

type wireAccount struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Prepaid      int64
	Settled      int64
	WrittenOff   int64
	Holdings     []wireHolding
}

type wireRouter struct {
	_               struct{} `cbor:",toarray"`
	Process         encoder.WireProcess
	Sequence        uint64
	LastCommittedAt int64 // Unix time in milliseconds
	LastSentAt      int64 // Unix time in milliseconds
	AckAge          int64 // milliseconds
	Witnesses       []encoder.WireProcess
	Lender          bool
	Finished        bool
}

type wireCharge struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Spent        int64
	Minimum      int64
	Charged      int64
}

type wirePendingRetirement struct {
	_         struct{} `cbor:",toarray"`
	Process   encoder.WireProcess
	Witnesses []encoder.WireProcess
	Charges   []wireCharge
}

type wireLedger struct {
	_                  struct{} `cbor:",toarray"`
	Accounts           []wireAccount
	Routers            []wireRouter
	PendingRetirements []wirePendingRetirement
}

// Snapshot returns the CBOR form of the ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	var w wireLedger
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		wa := wireAccount{Organisation: name, Prepaid: a.prepaid, Settled: a.settled, WrittenOff: a.writtenOff}
		for _, process := range slices.SortedFunc(maps.Keys(a.holdings), compareProcesses) {
			h := a.holdings[process]
			wa.Holdings = append(wa.Holdings, wireHolding{
				Process: encoder.ProcessToWire(process), Granted: h.granted, Returned: h.returned,
				Spent: h.spent, Ceiling: h.ceiling, OverrunRate: h.overrunRate, Required: h.required, Demand: h.demand,
			})
		}
		w.Accounts = append(w.Accounts, wa)
	}
	for _, vm := range slices.Sorted(maps.Keys(l.routers)) {
		r := l.routers[vm]
		w.Routers = append(w.Routers, wireRouter{
			Process: encoder.ProcessToWire(r.process), Sequence: r.sequence,
			LastCommittedAt: r.lastCommittedAt.UnixMilli(), LastSentAt: r.lastSentAt.UnixMilli(), AckAge: r.ackAge.Milliseconds(),
			Witnesses: encoder.ProcessesToWire(r.witnesses), Lender: r.lender, Finished: r.finished,
		})
	}
	for _, p := range l.pendingRetirements {
		wp := wirePendingRetirement{Process: encoder.ProcessToWire(p.process), Witnesses: encoder.ProcessesToWire(p.witnesses)}
		for _, c := range p.charges {
			wp.Charges = append(wp.Charges, wireCharge{
				Organisation: c.organisation, Spent: c.spent, Minimum: c.minimum, Charged: c.charged,
			})
		}
		w.PendingRetirements = append(w.PendingRetirements, wp)
	}
	return encoder.Marshal(w)
}

// Restore returns the ledger of a snapshot. Empty data gives an empty ledger.
func Restore(data []byte) (*Ledger, error) {
	l := New()
	if len(data) == 0 {
		return l, nil
	}
	var w wireLedger
	if err := encoder.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	for _, wa := range w.Accounts {
		a := &account{
			prepaid: wa.Prepaid, settled: wa.Settled, writtenOff: wa.WrittenOff, holdings: map[identifier.Process]*holding{},
		}
		for _, h := range wa.Holdings {
			restored := &holding{h.Granted, h.Returned, h.Spent, h.Ceiling, h.OverrunRate, h.Required, h.Demand}
			a.holdings[encoder.ProcessFromWire(h.Process)] = restored
			a.totals.add(restored, 1)
		}
		l.accounts[wa.Organisation] = a
	}
	for _, r := range w.Routers {
		process := encoder.ProcessFromWire(r.Process)
		restored := &router{
			process: process, sequence: r.Sequence,
			lastCommittedAt: time.UnixMilli(r.LastCommittedAt), lastSentAt: time.UnixMilli(r.LastSentAt),
			ackAge:    time.Duration(r.AckAge) * time.Millisecond,
			witnesses: encoder.ProcessesFromWire(r.Witnesses),
			finished:  r.Finished,
		}
		l.setLender(restored, r.Lender)
		l.routers[process.VM()] = restored
	}
	for _, wp := range w.PendingRetirements {
		p := pendingRetirement{process: encoder.ProcessFromWire(wp.Process), witnesses: encoder.ProcessesFromWire(wp.Witnesses)}
		for _, c := range wp.Charges {
			p.charges = append(p.charges, charge{c.Organisation, c.Spent, c.Minimum, c.Charged})
		}
		l.pendingRetirements = append(l.pendingRetirements, p)
	}
	return l, nil
}
