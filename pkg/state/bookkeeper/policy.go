package bookkeeper

import (
	"cmp"
	"fmt"
	"math/bits"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Policy sizes grants. It is sealed: PerRequest, EqualShares and DemandWeighted
// are its only variants. No policy can make the ledger grant more than is free.
type Policy interface{ isPolicy() }

// PerRequest grants just what a router wants at once. A router that is cut off
// from the ledger holds nothing to live on.
type PerRequest struct{}

// EqualShares lets each router that draws on an account hold an equal part.
type EqualShares struct{}

// DemandWeighted lets each router hold a part in proportion to its demand, so
// that a router that is cut off can go on for as long as the others.
type DemandWeighted struct{}

func (PerRequest) isPolicy()     {}
func (EqualShares) isPolicy()    {}
func (DemandWeighted) isPolicy() {}

const (
	// keptShare is the part of the spendable budget that routers may hold, in
	// percent. The rest serves routers whose demand has just risen.
	keptSharePercent = 90
	// A router is topped up once it holds less than lowPercent of its share and
	// is asked to return what it holds beyond highPercent.
	lowPercent  = 60
	highPercent = 150
	// baseDemandDivisor gives a router without demand a small part of the
	// weight, so that its first requests find something.
	baseDemandDivisor = 50
)

// share returns what the holder should have, given all that is spendable.
func (l *Ledger) share(a *account, h *holder) pricer.Amount {
	spendable := a.free()
	if a.lowering {
		spendable = max(0, a.lowerTo-a.allocated)
	}
	var demand pricer.Amount
	holders := pricer.Amount(0)
	for process, other := range a.holders {
		if !l.IsCurrent(process) {
			continue
		}
		spendable += max(0, other.held())
		demand += other.demand
		holders++
	}
	if holders == 0 {
		return 0
	}
	spendable = percent(spendable, keptSharePercent)
	switch l.config.Policy.(type) {
	case PerRequest:
		return 0
	case EqualShares:
		return spendable / holders
	case DemandWeighted:
		base := demand/baseDemandDivisor/holders + 1
		return scale(spendable, h.demand+base, demand+base*holders)
	default:
		panic(fmt.Sprintf("bookkeeper: unknown policy %T", l.config.Policy))
	}
}

// grant tops the holder up to its share, and to its want in any case if that
// much is free.
func (l *Ledger) grant(a *account, h *holder) {
	if a.lowering && a.allocated >= a.lowerTo {
		return
	}
	share := l.share(a, h)
	goal := h.want
	if h.held() < percent(share, lowPercent) || h.held() < h.want {
		goal = max(goal, share)
	}
	amount := min(goal-h.held(), a.free())
	if a.lowering {
		amount = min(amount, a.lowerTo-a.allocated)
	}
	// A part of a want helps nobody and would lie idle until it is recalled.
	if h.held()+amount < h.want || amount <= 0 {
		return
	}
	h.granted += amount
	a.allocated += amount
}

// keep returns how much the holder may keep unreserved.
func (l *Ledger) keep(a *account, h *holder) pricer.Amount {
	held := max(0, h.held())
	if a.lowering && a.allocated > a.lowerTo {
		return 0
	}
	if _, ok := l.config.Policy.(PerRequest); ok {
		return max(h.want, 0)
	}
	if short := a.shortfall(); short > 0 && h.held() >= h.want {
		var lendable pricer.Amount
		for _, other := range a.holders {
			if other.held() >= other.want {
				lendable += max(0, other.held())
			}
		}
		return max(0, held-scale(held, min(short, lendable), max(lendable, 1))-1)
	}
	return max(h.want, percent(l.share(a, h), highPercent))
}

// shortfall returns what routers want beyond what they hold and what is free.
func (a *account) shortfall() pricer.Amount {
	var short pricer.Amount
	for _, h := range a.holders {
		if h.want > max(0, h.held()) {
			short += h.want - max(0, h.held())
		}
	}
	return max(0, short-a.free())
}

// prospect says whether the holder's want is covered or can come to be.
func (a *account) prospect(h *holder) Prospect {
	if h.held() >= h.want {
		return Covered{}
	}
	if a.prepaid-a.charged >= h.want {
		return Pending{}
	}
	return Exhausted{}
}

func percent(amount pricer.Amount, part int64) pricer.Amount {
	return scale(amount, pricer.Amount(part), 100)
}

// scale returns amount*numerator/denominator without overflow, for a quotient
// of at most one or a small multiple of it.
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
