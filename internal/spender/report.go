package spender

import (
	"slices"
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

const (
	// overrunRatio is a router's overrun rate divided by its demand, without the part that
	// a lender adds for loans.
	overrunRatio = 1.5
	// lendingPeriod is the time in which a lender may lend its whole grant while control
	// is unresponsive.
	lendingPeriod = 60 * time.Second
	// roundTripWeight is the weight of a new round-trip time in the moving average if it is
	// shorter than the average. A longer one replaces the average.
	roundTripWeight = 0.3
	// ReportInterval is the interval between reports while the router spends tokens.
	ReportInterval = 250 * time.Millisecond
	// idleReportInterval is the interval between reports of an idle router, which show
	// whether control is reachable.
	idleReportInterval = 500 * time.Millisecond
)

// ReportDue reports whether a report should be sent.
func (s *Spender) ReportDue(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since := now.Sub(s.sentAt)
	if s.urgent || since >= idleReportInterval {
		return true
	}
	if since < ReportInterval {
		return false
	}
	for _, a := range s.accounts {
		if a.spent != a.reportedSpent || a.reserved > 0 {
			return true
		}
	}
	return false
}

// ReportConfig holds the parts of a report that the spender does not know.
type ReportConfig struct {
	// Now is the current time. Required.
	Now time.Time
	// Final marks the final report of the process.
	Final bool
	// Witnesses are the routers that store the ceilings of this one.
	Witnesses []identifier.Process
	// WitnessRecords are the ceilings that this router stores for terminated routers.
	WitnessRecords []escrower.WitnessRecord
	// Lender reports whether other routers may borrow from this one.
	Lender bool
}

// Report returns the next report to control.
func (s *Spender) Report(c ReportConfig) escrower.Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := c.Now
	s.latestWitnesses = c.Witnesses
	for _, process := range c.Witnesses {
		if !slices.Contains(s.requiredWitnesses, process) {
			s.requiredWitnesses = append(s.requiredWitnesses, process)
		}
	}
	s.sequence++
	s.sentAt = now
	s.urgent = false
	names := make([]string, 0, len(s.accounts))
	for name := range s.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	var lines []escrower.Line
	for _, name := range names {
		a := s.account(name, now)
		if c.Final {
			a.returned = a.granted - a.spent
		}
		a.reportedSpent = a.spent
		overrunRate := int64(a.demand * overrunRatio)
		if c.Lender {
			overrunRate += int64(float64(a.granted-a.returned-a.spent) / lendingPeriod.Seconds())
		}
		ceiling := a.spent + max(a.reserved+s.expectedUse(a)+a.waiting, a.required)
		// Lower values apply at once, since the response that confirms them may be lost.
		a.overrunRate = min(a.overrunRate, overrunRate)
		a.ceiling = min(a.ceiling, ceiling)
		lines = append(lines, escrower.NewLine(escrower.LineConfig{
			Organisation: name,
			Spent:        a.spent,
			Returned:     a.returned,
			Ceiling:      ceiling,
			OverrunRate:  overrunRate,
			Required:     max(a.required, a.requiredByWaiters()),
			Demand:       int64(a.demand),
		}))
	}
	return escrower.NewReport(escrower.ReportConfig{
		Router: s.config.Process, Sequence: s.sequence, StartedAt: s.config.StartedAt, SentAt: now,
		AckAge: s.ackAge(now), Final: c.Final, Lines: lines,
		Witnesses: c.Witnesses, WitnessRecords: c.WitnessRecords, Lender: c.Lender,
	})
}

// HandleResponse applies the response to the report that was sent at sentAt.
func (s *Spender) HandleResponse(response escrower.Response, sentAt, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isNewest := response.Sequence() == s.sequence
	roundTrip := now.Sub(sentAt)
	s.roundTrip = max(roundTrip, s.roundTrip+time.Duration(roundTripWeight*float64(roundTrip-s.roundTrip)))
	if sentAt.After(s.ackedAt) {
		s.ackedAt = sentAt
	}
	if isNewest {
		s.requiredWitnesses = slices.Clone(s.latestWitnesses)
		for _, a := range s.accounts {
			a.forgetOthers(s.requiredWitnesses)
		}
	}
	for _, g := range response.Grants() {
		a, ok := s.accounts[g.Organisation()]
		if !ok {
			continue
		}
		a.granted = max(a.granted, g.Granted())
		if isNewest {
			a.ceiling, a.overrunRate = g.Ceiling(), g.OverrunRate()
		}
		a.remaining, a.fleetAvailable, a.balanceKnown = g.Remaining(), g.Available(), true
		// Only tokens that no request has reserved or spent are returned.
		idle := a.granted - a.returned - a.spent - a.reserved
		if excess := idle - max(0, g.MaxUnspent()-a.reserved); excess > 0 {
			a.returned += min(excess, idle)
			s.urgent = true
		}
	}
	s.notifyChanged()
}

// Holding is the router's share of an organisation's budget, in tokens.
type Holding struct {
	organisation string
	held         int64
	spent        int64
	reserved     int64
}

// Organisation returns the organisation that owns the budget.
func (h Holding) Organisation() string { return h.organisation }

// Held returns the tokens that control has granted and the router has not returned.
func (h Holding) Held() int64 { return h.held }

// Spent returns the tokens that the router has spent.
func (h Holding) Spent() int64 { return h.spent }

// Reserved returns the tokens that are reserved for open requests.
func (h Holding) Reserved() int64 { return h.reserved }

// Holdings returns the router's share of each budget.
func (s *Spender) Holdings() []Holding {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var holdings []Holding
	for name, a := range s.accounts {
		holdings = append(holdings, Holding{name, a.granted - a.returned, a.spent, a.reserved})
	}
	return holdings
}
