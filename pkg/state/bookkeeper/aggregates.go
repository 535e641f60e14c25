package bookkeeper

import "radishshed.example/radishshed/pkg/state/pricer"

// aggregates holds sums over the holders of an account. They are updated with
// each change of a holder, so that a draw on an account with many holders does
// not have to iterate over all of them.
type aggregates struct {
	demand    pricer.Amount // of all current holders
	requiring int           // number of holders whose required balance is not zero
	retired   int           // number of holders whose process is retired
}

// setDemand sets the rate of spending and the required balance of a holder.
func (a *account) setDemand(h *holder, demand, required pricer.Amount) {
	a.aggregates.demand += demand - h.demand
	if h.required > 0 {
		a.aggregates.requiring--
	}
	if required > 0 {
		a.aggregates.requiring++
	}
	h.demand, h.required = demand, required
}

// computeAggregates computes the aggregates from the holders of the account.
func (l *Ledger) computeAggregates(a *account) aggregates {
	var s aggregates
	for process, h := range a.holders {
		if !l.IsCurrent(process) {
			s.retired++
		}
		s.demand += h.demand
		if h.required > 0 {
			s.requiring++
		}
	}
	return s
}
