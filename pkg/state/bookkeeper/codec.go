package bookkeeper

import (
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// WireIntent is the CBOR form of an Intent.
type WireIntent struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	Sequence    uint64
	Account     string
	Service     string
	WorkKind    string
	Reservation int64
}

// WireSettlement is the CBOR form of a Settlement.
type WireSettlement struct {
	_                struct{} `cbor:",toarray"`
	Intent           WireIntent
	Amount           int64
	PromptTokens     int64
	CompletionTokens int64
	Target           string
	Basis            string
	EndedAtMillis    int64
}

// WireDraw is the CBOR form of a Draw.
type WireDraw struct {
	_        struct{} `cbor:",toarray"`
	Account  string
	Sequence uint64
	Required int64
	Demand   int64
	Returned int64
}

// WireGrant is the CBOR form of a Grant.
type WireGrant struct {
	_          struct{} `cbor:",toarray"`
	Account    string
	Granted    int64
	Returned   int64
	MaxUnspent int64
	Outcome    uint8
}

const (
	wireCovered uint8 = iota + 1
	wirePending
	wireExhausted
)

type wireHolder struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	Amounts     [6]int64 // granted, returned, charged, reserved, demand, required
	Sequence    uint64
}

type wireAccount struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Prepaid            int64
	Allocated          int64
	Charged            int64
	Reserved           int64
	BroughtForward     int64
	Lowering           bool
	LowerTo            int64
	LargestReservation int64
	Holders            []wireHolder
	Charges            []WireSettlement
}

type wireRouter struct {
	_                       struct{} `cbor:",toarray"`
	VM                      string
	Incarnation             uint64
	Retired                 bool
	ClosedBelow             uint64
	Closed                  []uint64
	Unswept                 []encoder.WireProcess
	UnsweepableCount        int
	RetirementsAtLastReport uint64
}

type wireLedger struct {
	_        struct{} `cbor:",toarray"`
	Accounts []wireAccount
	Routers  []wireRouter
	Intents  []WireIntent
	Newest   []encoder.WireProcess
	Removed  []encoder.WireProcess

	Retirements uint64
}

// IntentToWire returns the CBOR form of the intent.
func IntentToWire(i Intent) WireIntent {
	return WireIntent{
		VM:          i.request.Router().VM(),
		Incarnation: i.request.Router().Incarnation(),
		Sequence:    i.request.Sequence(),
		Account:     i.account,
		Service:     i.service,
		WorkKind:    i.workKind,
		Reservation: int64(i.reservation),
	}
}

// IntentFromWire is the inverse of IntentToWire.
func IntentFromWire(w WireIntent) (Intent, error) {
	if w.VM == "" || w.Sequence == 0 || w.Reservation < 0 {
		return Intent{}, errors.New("malformed intent: missing VM or sequence number, or negative reservation")
	}
	request := identifier.NewRequest(identifier.NewProcess(w.VM, w.Incarnation), w.Sequence)
	return Intent{request, w.Account, w.Service, w.WorkKind, pricer.Amount(w.Reservation)}, nil
}

// SettlementToWire returns the CBOR form of the settlement.
func SettlementToWire(s Settlement) WireSettlement {
	return WireSettlement{
		Intent:           IntentToWire(s.intent),
		Amount:           int64(s.amount),
		PromptTokens:     s.usage.PromptTokens(),
		CompletionTokens: s.usage.CompletionTokens(),
		Target:           s.target,
		Basis:            s.basis.String(),
		EndedAtMillis:    s.endedAt.UnixMilli(),
	}
}

// SettlementFromWire is the inverse of SettlementToWire.
func SettlementFromWire(w WireSettlement) (Settlement, error) {
	intent, err := IntentFromWire(w.Intent)
	if err != nil {
		return Settlement{}, err
	}
	usage, err := pricer.NewUsage(w.PromptTokens, w.CompletionTokens)
	if err != nil {
		return Settlement{}, err
	}
	if w.Amount < 0 {
		return Settlement{}, errors.New("malformed settlement: the amount is negative")
	}
	basis, err := ParseBasis(w.Basis)
	if err != nil {
		return Settlement{}, err
	}
	return Settlement{intent, pricer.Amount(w.Amount), usage, w.Target, basis, time.UnixMilli(w.EndedAtMillis).UTC()}, nil
}

// ParseBasis returns the basis with the given name.
func ParseBasis(name string) (Basis, error) {
	for _, basis := range []Basis{Measured{}, Estimated{}, NotRun{}} {
		if basis.String() == name {
			return basis, nil
		}
	}
	return nil, errors.Errorf("charge has an unknown basis %q", name)
}

// DrawToWire returns the CBOR form of the draw.
func DrawToWire(d Draw) WireDraw {
	return WireDraw{
		Account:  d.account,
		Sequence: d.sequence,
		Required: int64(d.required),
		Demand:   int64(d.demand),
		Returned: int64(d.returned),
	}
}

// DrawFromWire is the inverse of DrawToWire.
func DrawFromWire(w WireDraw) (Draw, error) {
	for _, amount := range []int64{w.Required, w.Demand, w.Returned} {
		if amount < 0 {
			return Draw{}, errors.New("malformed draw: the required, demand or returned amount is negative")
		}
	}
	return Draw{
		account:  w.Account,
		sequence: w.Sequence,
		required: pricer.Amount(w.Required),
		demand:   pricer.Amount(w.Demand),
		returned: pricer.Amount(w.Returned),
	}, nil
}

// GrantToWire returns the CBOR form of the grant.
func GrantToWire(g Grant) WireGrant {
	w := WireGrant{Account: g.account, Granted: int64(g.granted), Returned: int64(g.returned), MaxUnspent: int64(g.maxUnspent)}
	switch g.outcome.(type) {
	case Covered:
		w.Outcome = wireCovered
	case Pending:
		w.Outcome = wirePending
	case Exhausted:
		w.Outcome = wireExhausted
	}
	return w
}

// GrantFromWire is the inverse of GrantToWire.
func GrantFromWire(w WireGrant) (Grant, error) {
	if w.Granted < 0 || w.Returned < 0 || w.MaxUnspent < 0 {
		return Grant{}, errors.New("malformed grant: the granted, returned or maximum unspent amount is negative")
	}
	g := Grant{
		account:    w.Account,
		granted:    pricer.Amount(w.Granted),
		returned:   pricer.Amount(w.Returned),
		maxUnspent: pricer.Amount(w.MaxUnspent),
	}
	switch w.Outcome {
	case wireCovered:
		g.outcome = Covered{}
	case wirePending:
		g.outcome = Pending{}
	case wireExhausted:
		g.outcome = Exhausted{}
	default:
		return Grant{}, errors.Errorf("malformed grant: unknown draw outcome %d", w.Outcome)
	}
	return g, nil
}

// Snapshot returns the CBOR form of the ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	w := wireLedger{Retirements: l.retirements}
	for _, name := range l.Accounts() {
		w.Accounts = append(w.Accounts, accountToWire(name, l.accounts[name]))
	}
	for process, r := range l.routers {
		wire := wireRouter{
			VM:                      process.VM(),
			Incarnation:             process.Incarnation(),
			Retired:                 r.retired,
			ClosedBelow:             r.closedBelow,
			UnsweepableCount:        r.unsweepableCount,
			RetirementsAtLastReport: r.retirementsAtLastReport,
		}
		for other := range r.unswept {
			wire.Unswept = append(wire.Unswept, encoder.ProcessToWire(other))
		}
		for sequence := range r.closed {
			wire.Closed = append(wire.Closed, sequence)
		}
		w.Routers = append(w.Routers, wire)
	}
	for _, i := range l.intents {
		w.Intents = append(w.Intents, IntentToWire(i))
	}
	for _, process := range l.newest {
		w.Newest = append(w.Newest, encoder.ProcessToWire(process))
	}
	for vm, incarnation := range l.removed {
		w.Removed = append(w.Removed, encoder.ProcessToWire(identifier.NewProcess(vm, incarnation)))
	}
	return encoder.Marshal(w)
}

// Restore returns the ledger that a snapshot contains. The configuration is not
// part of the snapshot.
func Restore(config Config, data []byte) (*Ledger, error) {
	var w wireLedger
	if err := encoder.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	l := New(config)
	for _, wire := range w.Accounts {
		a, err := accountFromWire(wire)
		if err != nil {
			return nil, errors.Wrapf(err, "account %s", wire.Name)
		}
		l.accounts[wire.Name] = a
	}
	for _, wire := range w.Routers {
		process := identifier.NewProcess(wire.VM, wire.Incarnation)
		r := &router{
			retired:          wire.Retired,
			closedBelow:      wire.ClosedBelow,
			closed:           map[uint64]bool{},
			unswept:          map[identifier.Process]bool{},
			unsweepableCount: wire.UnsweepableCount,

			retirementsAtLastReport: wire.RetirementsAtLastReport,
		}
		for _, other := range wire.Unswept {
			r.unswept[encoder.ProcessFromWire(other)] = true
		}
		for _, sequence := range wire.Closed {
			r.closed[sequence] = true
		}
		l.routers[process] = r
	}
	l.retirements = w.Retirements
	for _, wire := range w.Newest {
		l.newest[wire.VM] = encoder.ProcessFromWire(wire)
	}
	for _, wire := range w.Removed {
		l.removed[wire.VM] = wire.Incarnation
	}
	for _, wire := range w.Intents {
		i, err := IntentFromWire(wire)
		if err != nil {
			return nil, err
		}
		r, ok := l.routers[i.request.Router()]
		if !ok {
			return nil, errors.Errorf("snapshot: the router of intent %s is not registered", i.request)
		}
		r.open++
		l.intents[i.request] = i
	}
	for _, a := range l.accounts {
		a.aggregates = l.computeAggregates(a)
	}
	return l, nil
}

func accountToWire(name string, a *account) wireAccount {
	w := wireAccount{
		Name:               name,
		Prepaid:            int64(a.prepaid),
		Allocated:          int64(a.allocated),
		Charged:            int64(a.charged),
		Reserved:           int64(a.reserved),
		BroughtForward:     int64(a.broughtForward),
		Lowering:           a.lowering,
		LowerTo:            int64(a.lowerTo),
		LargestReservation: int64(a.largestReservation),
	}
	for process, h := range a.holders {
		w.Holders = append(w.Holders, wireHolder{
			VM:          process.VM(),
			Incarnation: process.Incarnation(),
			Amounts: [6]int64{
				int64(h.granted), int64(h.returned), int64(h.charged), int64(h.reserved),
				int64(h.demand), int64(h.required),
			},
			Sequence: h.sequence,
		})
	}
	// Charges are stored as settlements. The reservation of the intent is no longer
	// known and is set to the amount of the charge.
	for _, c := range a.charges {
		intent := Intent{c.request, name, c.service, c.workKind, c.amount}
		w.Charges = append(w.Charges, SettlementToWire(Settlement{intent, c.amount, c.usage, c.target, c.basis, c.endedAt}))
	}
	return w
}

func accountFromWire(w wireAccount) (*account, error) {
	a := &account{
		prepaid:            pricer.Amount(w.Prepaid),
		allocated:          pricer.Amount(w.Allocated),
		charged:            pricer.Amount(w.Charged),
		reserved:           pricer.Amount(w.Reserved),
		broughtForward:     pricer.Amount(w.BroughtForward),
		lowering:           w.Lowering,
		lowerTo:            pricer.Amount(w.LowerTo),
		largestReservation: pricer.Amount(w.LargestReservation),
		holders:            map[identifier.Process]*holder{},
	}
	for _, wire := range w.Holders {
		h := &holder{sequence: wire.Sequence}
		for i, field := range []*pricer.Amount{
			&h.granted, &h.returned, &h.charged, &h.reserved, &h.demand, &h.required,
		} {
			*field = pricer.Amount(wire.Amounts[i])
		}
		a.holders[identifier.NewProcess(wire.VM, wire.Incarnation)] = h
	}
	for _, wire := range w.Charges {
		s, err := SettlementFromWire(wire)
		if err != nil {
			return nil, err
		}
		i := s.intent
		a.charges = append(a.charges, Charge{i.request, i.service, i.workKind, s.target, s.usage, s.amount, s.basis, s.endedAt})
	}
	return a, nil
}
