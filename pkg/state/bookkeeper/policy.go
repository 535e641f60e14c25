package bookkeeper

import (
	"cmp"
	"fmt"
	"math/bits"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Policy determines the size of grants. It is sealed: PerRequest, EqualShares
// and DemandWeighted are its only variants. With every policy, the ledger
// grants at most what is free.
type Policy interface{ isPolicy() }

// PerRequest grants exactly the balance that a router requires. A router that
// is disconnected from control holds no grants for further requests.
type PerRequest struct{}

// EqualShares lets each current router hold an equal share of an account.
type EqualShares struct{}

// DemandWeighted lets each router hold a share in proportion to its demand, so
// that the grants of every router last equally long while it is disconnected
// from control.
type DemandWeighted struct{}

func (PerRequest) isPolicy()     {}
func (EqualShares) isPolicy()    {}
func (DemandWeighted) isPolicy() {}

const (
	// maxGrantedPercent is the percentage of the spendable budget that is
	// divided among the routers. The rest serves routers whose demand has just
	// risen.
	maxGrantedPercent = 98
	// A router is topped up once it holds less than topUpPercent of its share,
	// and is asked to return what it holds beyond recallPercent of its share.
	topUpPercent  = 90
	recallPercent = 115
	// baseDemandPercent of the mean demand is added to the demand of each
	// router, because the measured demand of one router for a small budget is
	// mostly noise.
	baseDemandPercent = 50
	// Each reservation lowers the account's largest reservation by
	// 1/largestDecayDivisor of it, unless the new one is larger.
	largestDecayDivisor = 256
)

// shareInputs holds the figures from which shares are computed. The newest
// process of every VM counts as a router, even if it is retired but not yet
// removed, or has not drawn on the account yet: if the routers that hold the
// grants are disconnected from control, the grants cannot be recalled for a
// router that draws for the first time.
type shareInputs struct {
	spendable pricer.Amount
	demand    pricer.Amount
	routers   pricer.Amount
}

func (l *Ledger) shareInputs(a *account) shareInputs {
	inputs := shareInputs{spendable: a.free(), demand: a.aggregates.demand, routers: pricer.Amount(len(l.newest))}
	if a.lowering {
		inputs.spendable = max(0, a.lowerTo-a.allocated)
	}
	inputs.spendable += a.allocated - a.charged - a.reserved
	if a.aggregates.retired > 0 {
		inputs.spendable -= l.unspentOfRetired(a)
	}
	return inputs
}

func (l *Ledger) unspentOfRetired(a *account) pricer.Amount {
	var unspent pricer.Amount
	for process, h := range a.holders {
		if !l.IsCurrent(process) {
			unspent += h.unspent()
		}
	}
	return unspent
}

// share returns the holder's share of the spendable budget. A share that is
// smaller than the largest recent reservation might not cover a single request,
// so it is reduced to zero: the rest of an almost spent budget is granted per
// request.
func (l *Ledger) share(a *account, h *holder, inputs shareInputs) pricer.Amount {
	if inputs.routers == 0 {
		return 0
	}
	spendable := percent(inputs.spendable, maxGrantedPercent)
	var share pricer.Amount
	switch l.config.Policy.(type) {
	case PerRequest:
	case EqualShares:
		share = spendable / inputs.routers
	case DemandWeighted:
		base := percent(inputs.demand, baseDemandPercent)/inputs.routers + 1
		share = scale(spendable, h.demand+base, inputs.demand+base*inputs.routers)
	default:
		panic(fmt.Sprintf("bookkeeper: unknown grant policy %T", l.config.Policy))
	}
	if share < a.largestReservation {
		return 0
	}
	return share
}

// grant grants the holder the balance that it requires if that much is free. It
// also tops the holder up to its share from what remains free once the
// shortfalls of the other holders are covered.
func (l *Ledger) grant(a *account, h *holder) {
	free := a.free()
	if a.lowering {
		free = min(free, a.lowerTo-a.allocated)
	}
	var amount pricer.Amount
	// A grant of only a part of the shortfall would serve no request and stay
	// idle until it is recalled.
	if shortfall := h.required - h.unspent(); shortfall > 0 && shortfall <= free {
		amount = shortfall
	}
	share := l.share(a, h, l.shareInputs(a))
	if h.unspent() < percent(share, topUpPercent) {
		amount = max(amount, min(share-h.unspent(), free-a.othersShortfall(h)))
	}
	if amount <= 0 || h.unspent()+amount < h.required {
		return
	}
	h.granted += amount
	a.allocated += amount
}

// othersShortfall returns the sum of the shortfalls of the other holders.
func (a *account) othersShortfall(h *holder) pricer.Amount {
	if a.aggregates.requiring == 0 {
		return 0
	}
	var shortfall pricer.Amount
	for _, other := range a.holders {
		if other != h && other.hasShortfall() {
			shortfall += other.required - max(0, other.unspent())
		}
	}
	return shortfall
}

// maxUnspent returns the maximum unspent amount that the holder should have.
func (l *Ledger) maxUnspent(a *account, h *holder) pricer.Amount {
	if a.lowering && a.allocated > a.lowerTo {
		return 0
	}
	if _, ok := l.config.Policy.(PerRequest); ok {
		return max(h.required, 0)
	}
	inputs := l.shareInputs(a)
	if uncovered := l.uncoveredShortfall(a, inputs); uncovered > 0 {
		return a.limitDuringShortfall(h, uncovered)
	}
	return max(h.required, percent(l.share(a, h, inputs), recallPercent))
}

// limitDuringShortfall returns the maximum unspent amount of a holder while
// routers require more than is free; uncovered is the amount by which they do.
// Holders without a shortfall return grants in proportion to what they hold. If
// that is not enough, the shortfalls are covered one after the other: all
// holders with a shortfall, except the one with the smallest, return their
// grants, which are too small for the requests that wait there.
func (a *account) limitDuringShortfall(h *holder, uncovered pricer.Amount) pricer.Amount {
	var returnable pricer.Amount
	for _, other := range a.holders {
		if !other.hasShortfall() {
			returnable += max(0, other.unspent())
		}
	}
	switch {
	case !h.hasShortfall():
		unspent := max(0, h.unspent())
		return max(0, unspent-scale(unspent, min(uncovered, returnable), max(returnable, 1))-1)
	case returnable >= uncovered || h == a.smallestShortfall():
		return h.required
	default:
		return 0
	}
}

// hasShortfall reports whether the holder requires more than it holds.
func (h *holder) hasShortfall() bool { return h.required > max(0, h.unspent()) }

// smallestShortfall returns the holder with the smallest shortfall. If several
// have the same, it returns the one that compareProcesses sorts first.
func (a *account) smallestShortfall() *holder {
	var smallest identifier.Process
	for process, h := range a.holders {
		if !h.hasShortfall() {
			continue
		}
		current, ok := a.holders[smallest]
		shortfall := h.required - h.unspent()
		if !ok || shortfall < current.required-current.unspent() ||
			shortfall == current.required-current.unspent() && compareProcesses(process, smallest) < 0 {
			smallest = process
		}
	}
	return a.holders[smallest]
}

// uncoveredShortfall returns by how much the shortfalls of all holders exceed
// the free amount. A holder with a shortfall counts with its whole share, so
// that it does not have another shortfall at its next request.
func (l *Ledger) uncoveredShortfall(a *account, inputs shareInputs) pricer.Amount {
	if a.aggregates.requiring == 0 {
		return 0
	}
	var shortfall pricer.Amount
	for _, h := range a.holders {
		if h.hasShortfall() {
			shortfall += max(h.required, l.share(a, h, inputs)) - max(0, h.unspent())
		}
	}
	return max(0, shortfall-a.free())
}

// drawOutcome returns whether the balance that the holder requires is covered,
// and if not, whether the budget can still cover it.
func (a *account) drawOutcome(h *holder) DrawOutcome {
	if h.unspent() >= h.required {
		return Covered{}
	}
	if a.prepaid-a.charged >= h.required {
		return Pending{}
	}
	return Exhausted{}
}

func percent(amount pricer.Amount, percentage int64) pricer.Amount {
	return scale(amount, pricer.Amount(percentage), 100)
}

// scale returns amount*numerator/denominator, or 0 if an argument is not
// positive. The product may exceed 64 bits. If the quotient does too, scale
// returns the amount; callers therefore pass fractions below or near one.
func scale(amount, numerator, denominator pricer.Amount) pricer.Amount {
	if amount <= 0 || numerator <= 0 || denominator <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(numerator))
	if high >= uint64(denominator) {
		return amount
	}
	quotient, _ := bits.Div64(high, low, uint64(denominator))
	return pricer.Amount(min(quotient, 1<<62))
}

func compareProcesses(a, b identifier.Process) int {
	return cmp.Or(cmp.Compare(a.VM(), b.VM()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}

func compareRequests(a, b identifier.Request) int {
	return cmp.Or(compareProcesses(a.Router(), b.Router()), cmp.Compare(a.Sequence(), b.Sequence()))
}
