// Package spender decides whether a request may spend tokens from a router's grants
// of prepaid token budgets.
//
// It covers three situations: bursts of requests of one organisation that reach only
// a few routers; partitions, in which a router can spend only the grants that it
// holds; and exhausted budgets, where a request is refused only if the ledger shows
// that the budget cannot cover it. A Spender has no clock and sends no messages:
// its owner passes the current time with each call, sends the reports to control
// and passes the responses back.
package spender

import (
	"math"
	"slices"
	"sync"
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

const (
	// ceilingHorizon is how long a reported ceiling covers spending at the current
	// demand. The interval between reports is less than half of it.
	ceilingHorizon = 500 * time.Millisecond
	// witnessedHorizon is how long a ceiling that the witnesses have confirmed covers
	// spending at the current demand.
	witnessedHorizon = 600 * time.Millisecond
	// The smallest increase of a witnessed ceiling is the unspent grant divided by
	// minWitnessedIncreaseDivisor. This minimum does not depend on the demand, since a
	// lender cannot predict how much others will borrow.
	minWitnessedIncreaseDivisor = 24
	// witnessLeadTime is how long before a router needs its witnesses it starts to send
	// ceilings to them.
	witnessLeadTime = 400 * time.Millisecond
	// Once the last acknowledged report is as old as unresponsiveAfter, a request does not
	// wait for the next response of control.
	unresponsiveAfter = 800 * time.Millisecond
	// Once the last acknowledged report is as old as disconnectedAfter, the router counts
	// as disconnected from control.
	disconnectedAfter = 900 * time.Millisecond
	// requestedRateWindow is the time constant of the average requested rate.
	requestedRateWindow = time.Second
	// maxRoundTrip bounds the round-trip time for which a ceiling provides headroom.
	maxRoundTrip = time.Second
	// demandWindow is the time constant of the average demand.
	demandWindow = 4 * time.Second
	// requiredLifetime is how long the tokens of a request that could not be covered are
	// reported as required.
	requiredLifetime = 600 * time.Millisecond
)

// account is the router's share of an organisation's budget. Amounts are in tokens,
// rates in tokens per second.
type account struct {
	granted        int64
	returned       int64
	ceiling        int64
	overrunRate    int64
	spent          int64
	reserved       int64
	remaining      int64
	fleetAvailable int64 // what all routers together could spend, by the last response
	balanceKnown   bool  // whether remaining and fleetAvailable are valid

	// required is, until requiredExpiresAt, the unspent balance that covers the open
	// requests and the largest recent request that could not be covered.
	required          int64
	requiredExpiresAt time.Time
	demand            float64 // average rate of spending
	ratesUpdatedAt    time.Time
	requestedRate     float64 // average rate at which requests ask for tokens
	waiting           int64   // tokens of requests that wait for a response of control
	reportedSpent     int64   // spent in the last report

	// confirmed holds the highest ceiling that each required witness has stored.
	confirmed map[identifier.Process]int64
}

// witnessed returns the highest ceiling that all of the witnesses have stored. A witness
// that became one later has stored nothing of what the others did before.
func (a *account) witnessed(witnesses []identifier.Process) int64 {
	if len(witnesses) == 0 {
		return 0
	}
	lowest := a.confirmed[witnesses[0]]
	for _, w := range witnesses[1:] {
		lowest = min(lowest, a.confirmed[w])
	}
	return lowest
}

// Config configures a spender.
type Config struct {
	// Process identifies the router process. Required.
	Process identifier.Process
	// StartedAt is when the process started. Required.
	StartedAt time.Time
}

// Spender reserves and settles tokens of a router's grants. It is safe for concurrent
// use.
type Spender struct {
	config Config

	mutex     sync.Mutex
	accounts  map[string]*account
	sequence  uint64
	sentAt    time.Time     // when the newest report was sent
	ackedAt   time.Time     // when the newest acknowledged report was sent
	roundTrip time.Duration // from a report to its response; rises at once, falls slowly
	changed   chan struct{}
	urgent    bool // whether the next report is due at once
	// requiredWitnesses are the witnesses of the last acknowledged report and of all
	// later reports, since control may have recorded any of them.
	requiredWitnesses []identifier.Process
	latestWitnesses   []identifier.Process // witnesses of the newest report
}

// New returns a spender without grants.
func New(c Config) *Spender {
	return &Spender{config: c, accounts: map[string]*account{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when control next responds or the witnesses
// next confirm ceilings.
func (s *Spender) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Reserve reserves tokens of an organisation for a request.
func (s *Spender) Reserve(organisation string, tokens int64, now time.Time) Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(organisation, now)
	a.requestedRate += float64(tokens) / requestedRateWindow.Seconds()
	return s.reserve(a, tokens, now)
}

// Retry is Reserve for a request for which Reserve has returned Insufficient. It does not
// count the request towards the requested rate again.
func (s *Spender) Retry(organisation string, tokens int64, now time.Time) Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reserve(s.account(organisation, now), tokens, now)
}

func (s *Spender) reserve(a *account, tokens int64, now time.Time) Decision {
	disconnected := s.disconnected(now)
	unreserved := s.allowance(a, now) - a.spent - a.reserved
	if tokens <= unreserved {
		a.reserved += tokens
		return Reserved{}
	}
	if a.balanceKnown && !disconnected && tokens > a.remaining {
		return Exhausted{a.remaining, s.ackAge(now)}
	}
	ackAge := s.ackAge(now)
	if a.balanceKnown && !disconnected && tokens > a.fleetAvailable {
		return Insufficient{unsatisfiable: true, unreserved: unreserved, ackAge: ackAge}
	}
	a.required = max(a.required, a.reserved+tokens)
	a.requiredExpiresAt = now.Add(requiredLifetime)
	s.urgent = true
	maxTotal := escrower.Allowance(a.granted-a.returned, a.ceiling, a.overrunRate, ackAge)
	// The grant would cover the request once the witnesses have confirmed a ceiling.
	witnessesMayAllow := len(s.requiredWitnesses) > 0 && escrower.NeedsWitnesses(ackAge+witnessLeadTime) && tokens <= maxTotal-a.spent-a.reserved
	retryable := ackAge < unresponsiveAfter || witnessesMayAllow
	return Insufficient{disconnected: disconnected, retryable: retryable, unreserved: unreserved, ackAge: ackAge}
}

// lendPercent is the share of the unreserved tokens that ReserveUpTo may reserve.
const lendPercent = 80

// ReserveUpTo reserves at most the given tokens of an organisation, for a request that
// several routers cover together, and returns how many it has reserved.
func (s *Spender) ReserveUpTo(organisation string, tokens int64, now time.Time) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(organisation, now)
	unreserved := s.allowance(a, now) - a.spent - a.reserved
	reserved := max(0, min(tokens, unreserved*lendPercent/100))
	if reserved < tokens {
		a.required = max(a.required, a.reserved+tokens)
		a.requiredExpiresAt = now.Add(requiredLifetime)
	}
	a.reserved += reserved
	a.requestedRate += float64(reserved) / requestedRateWindow.Seconds()
	return reserved
}

// expectedUse estimates how many tokens the router will reserve or spend until the report
// after this one is acknowledged, which takes two round trips. When responses are slow,
// as on a congested link, that is much more than the recent spending, since a request
// reserves the most that it can consume.
func (s *Spender) expectedUse(a *account) int64 {
	roundTrip := min(s.roundTrip, maxRoundTrip)
	return int64(max(a.demand*ceilingHorizon.Seconds(), a.requestedRate*2*roundTrip.Seconds()))
}

// requiredByWaiters returns the balance that covers the open and the waiting requests,
// or zero if none waits.
func (a *account) requiredByWaiters() int64 {
	if a.waiting == 0 {
		return 0
	}
	return a.reserved + a.waiting
}

// AddWaiter records that a request waits for the tokens, until RemoveWaiter. The next
// report asks for the tokens of all waiting requests.
func (s *Spender) AddWaiter(organisation string, tokens int64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.account(organisation, now).waiting += tokens
}

// RemoveWaiter undoes AddWaiter.
func (s *Spender) RemoveWaiter(organisation string, tokens int64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.account(organisation, now).waiting -= tokens
}

// Settle charges the tokens that a request has spent and releases the rest of its
// reservation. It never charges more than was reserved.
func (s *Spender) Settle(organisation string, reserved, spent int64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(organisation, now)
	spent = min(spent, reserved)
	a.reserved -= reserved
	a.spent += spent
	a.demand += float64(spent) / demandWindow.Seconds()
}

// InvalidateBalances discards the balances of the last response, since prepaid totals
// may have been raised. Exhausted budgets can then be tried again.
func (s *Spender) InvalidateBalances() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.accounts {
		a.balanceKnown = false
	}
}

// Disconnected reports whether the router is disconnected from control.
func (s *Spender) Disconnected(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.disconnected(now)
}

func (s *Spender) disconnected(now time.Time) bool {
	return s.ackAge(now) >= disconnectedAfter
}

// ackAge returns the age of the last acknowledged report. Before the first one, it is
// the time since the process started.
func (s *Spender) ackAge(now time.Time) time.Duration {
	if s.ackedAt.IsZero() {
		return now.Sub(s.config.StartedAt)
	}
	return now.Sub(s.ackedAt)
}

// account returns the organisation's account with its rates as of now.
func (s *Spender) account(organisation string, now time.Time) *account {
	a, ok := s.accounts[organisation]
	if !ok {
		a = &account{ratesUpdatedAt: now}
		s.accounts[organisation] = a
	}
	if elapsed := now.Sub(a.ratesUpdatedAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		a.requestedRate *= math.Exp(-elapsed.Seconds() / requestedRateWindow.Seconds())
		a.ratesUpdatedAt = now
	}
	if now.After(a.requiredExpiresAt) {
		a.required = 0
	}
	return a
}

// allowance returns the total that the router may spend of an account.
func (s *Spender) allowance(a *account, now time.Time) int64 {
	held, ackAge := a.granted-a.returned, s.ackAge(now)
	allowance := escrower.Allowance(held, a.ceiling, a.overrunRate, ackAge)
	if len(s.requiredWitnesses) == 0 {
		return allowance
	}
	return min(allowance, max(escrower.WitnessedAllowance(held, a.ceiling, a.overrunRate, ackAge), a.witnessed(s.requiredWitnesses)))
}

// PendingCeilings returns the ceilings that the witnesses have yet to confirm, and the
// witnesses. It returns none while control is responsive.
func (s *Spender) PendingCeilings(now time.Time) ([]escrower.Ceiling, []identifier.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.requiredWitnesses) == 0 || !escrower.NeedsWitnesses(s.ackAge(now)+witnessLeadTime) {
		return nil, nil
	}
	var ceilings []escrower.Ceiling
	for name := range s.accounts {
		a := s.account(name, now)
		unspent := a.granted - a.returned - a.spent
		expectedUse := max(int64(a.demand*witnessedHorizon.Seconds()), unspent/minWitnessedIncreaseDivisor)
		ceiling := min(a.granted-a.returned, a.spent+max(a.reserved+expectedUse, a.required))
		if ceiling > a.witnessed(s.requiredWitnesses) {
			ceilings = append(ceilings, escrower.NewCeiling(escrower.CeilingConfig{Organisation: name, Tokens: ceiling}))
		}
	}
	return ceilings, slices.Clone(s.requiredWitnesses)
}

// ConfirmCeilings records that the witnesses have stored the ceilings.
func (s *Spender) ConfirmCeilings(ceilings []escrower.Ceiling, witnesses []identifier.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range ceilings {
		if a, ok := s.accounts[c.Organisation()]; ok {
			a.confirm(c.Tokens(), witnesses)
		}
	}
	s.notifyChanged()
}

func (a *account) confirm(ceiling int64, witnesses []identifier.Process) {
	if a.confirmed == nil {
		a.confirmed = map[identifier.Process]int64{}
	}
	for _, w := range witnesses {
		a.confirmed[w] = max(a.confirmed[w], ceiling)
	}
}

// forgetOthers drops what processes that are no longer witnesses have stored. One that
// becomes a witness again may have lost its ceilings in between.
func (a *account) forgetOthers(witnesses []identifier.Process) {
	for w := range a.confirmed {
		if !slices.Contains(witnesses, w) {
			delete(a.confirmed, w)
		}
	}
}

func (s *Spender) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
