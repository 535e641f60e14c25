// Package spender decides whether a request may draw on a router's grants of
// token budgets.
//
// It answers the load of a hot organisation whose requests reach a few routers in
// bursts, of partitions in which a router has to live on what it holds, and of
// the end of a budget, where a refusal has to be proved. A Spender has no clock
// and sends nothing: the time comes with each call, and its owner passes reports
// to control and answers back.
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
	// ceilingSpan is for how long the announced ceiling lasts at the present
	// demand. Reports are less than half of that apart.
	ceilingSpan = 700 * time.Millisecond
	// paceRatio is by how much a router that is cut off may exceed its demand.
	paceRatio = 1.5
	// detachedAfter is the silence of control after which it counts as cut off.
	detachedAfter = 900 * time.Millisecond
	// demandSpan is the time constant of the average of the demand.
	demandSpan = 4 * time.Second
	// ReportInterval is how often a router reports while it spends.
	ReportInterval = 250 * time.Millisecond
	// idleReportInterval is how often it reports otherwise, so that it knows
	// whether control can be reached.
	idleReportInterval = 500 * time.Millisecond
	// wantLifetime is for how long a request that could not be covered counts as
	// a want.
	wantLifetime = 600 * time.Millisecond
)

// Verdict says whether a request may draw on the grants. It is sealed: Reserved,
// Short and Exhausted are its only variants.
type Verdict interface{ isVerdict() }

// Reserved means that the tokens are set aside for the request.
type Reserved struct{}

// Short means that the router holds too little. The budget may cover the request.
type Short struct {
	detached bool
	held     int64
	ackAge   time.Duration
}

// Exhausted means that the budget cannot cover the request, as the ledger has
// shown.
type Exhausted struct {
	remaining int64
	ackAge    time.Duration
}

func (Reserved) isVerdict()  {}
func (Short) isVerdict()     {}
func (Exhausted) isVerdict() {}

// Detached reports whether control cannot be reached, so that waiting is of no
// use.
func (s Short) Detached() bool { return s.detached }

// Held returns how many tokens the router holds unreserved.
func (s Short) Held() int64 { return s.held }

// AckAge returns the age of the newest answer of control.
func (s Short) AckAge() time.Duration { return s.ackAge }

// Remaining returns the most that the organisation has left, in tokens.
func (e Exhausted) Remaining() int64 { return e.remaining }

// AckAge returns the age of the answer that shows it.
func (e Exhausted) AckAge() time.Duration { return e.ackAge }

// account is what the router holds of an organisation's budget, in tokens.
type account struct {
	granted   int64
	returned  int64
	ceiling   int64
	pace      int64
	spent     int64
	reserved  int64
	remaining int64
	known     bool // whether control has answered for the organisation

	want      int64
	wantUntil time.Time
	demand    float64 // tokens a second
	demandAt  time.Time
	reported  int64 // what the last report held as spent
}

// limit is the total that the router may spend after control has been silent for
// a time.
func (a *account) limit(silence time.Duration) int64 {
	return escrower.Allowance(a.granted-a.returned, a.ceiling, a.pace, silence)
}

// Config configures a spender.
type Config struct {
	// Process is the router process. Required.
	Process identifier.Process
	// StartedAt is when the process started. Required.
	StartedAt time.Time
}

// Spender is safe for concurrent use.
type Spender struct {
	config Config

	mutex    sync.Mutex
	accounts map[string]*account
	sequence uint64
	sentAt   time.Time // of the newest report
	ackedAt  time.Time // when the newest answered report was sent
	changed  chan struct{}
	urgent   bool
}

// New returns a spender that holds nothing.
func New(c Config) *Spender {
	return &Spender{config: c, accounts: map[string]*account{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next answer of control.
func (s *Spender) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Reserve sets tokens of an organisation aside for a request.
func (s *Spender) Reserve(organisation string, tokens int64, now time.Time) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(organisation, now)
	detached := s.detached(now)
	available := a.limit(s.silence(now)) - a.spent - a.reserved
	if tokens <= available {
		a.reserved += tokens
		return Reserved{}
	}
	if a.known && !detached && tokens > a.remaining {
		return Exhausted{a.remaining, s.silence(now)}
	}
	a.want = max(a.want, a.reserved+tokens)
	a.wantUntil = now.Add(wantLifetime)
	s.urgent = true
	return Short{detached, available, s.silence(now)}
}

// lendPercent is the part of what is free that is reserved in parts for requests
// that a router does not cover alone.
const lendPercent = 80

// ReservePart sets up to the given tokens of an organisation aside and returns how
// many it did.
func (s *Spender) ReservePart(organisation string, tokens int64, now time.Time) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(organisation, now)
	available := a.limit(s.silence(now)) - a.spent - a.reserved
	part := max(0, min(tokens, available*lendPercent/100))
	a.reserved += part
	return part
}

// Settle ends a reservation with what the request has cost. A request costs what
// it reserved at most.
func (s *Spender) Settle(organisation string, reserved, spent int64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.account(organisation, now)
	spent = min(spent, reserved)
	a.reserved -= reserved
	a.spent += spent
	a.demand += float64(spent) / demandSpan.Seconds()
}

// Raise notes that the prepaid total may have been raised, so that a budget that
// was exhausted is tried again.
func (s *Spender) Raise() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.accounts {
		a.known = false
	}
}

// Detached reports whether control cannot be reached.
func (s *Spender) Detached(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.detached(now)
}

func (s *Spender) detached(now time.Time) bool {
	return s.silence(now) >= detachedAfter
}

// silence is the age of the newest report that control has answered. Before the
// first it is counted from the start.
func (s *Spender) silence(now time.Time) time.Duration {
	if s.ackedAt.IsZero() {
		return now.Sub(s.config.StartedAt)
	}
	return now.Sub(s.ackedAt)
}

// account returns the organisation's account with its demand as of now.
func (s *Spender) account(organisation string, now time.Time) *account {
	a, ok := s.accounts[organisation]
	if !ok {
		a = &account{demandAt: now}
		s.accounts[organisation] = a
	}
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandSpan.Seconds())
		a.demandAt = now
	}
	if now.After(a.wantUntil) {
		a.want = 0
	}
	return a
}

// Due reports whether a report should be sent.
func (s *Spender) Due(now time.Time) bool {
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
		if a.spent != a.reported || a.reserved > 0 {
			return true
		}
	}
	return false
}

// Report returns the next report to control. The last one of a process says that
// it has ended.
func (s *Spender) Report(now time.Time, ended bool) escrower.Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
		if ended {
			a.returned = a.granted - a.spent
		}
		a.reported = a.spent
		ahead := int64(a.demand * ceilingSpan.Seconds())
		pace := int64(a.demand * paceRatio)
		ceiling := a.spent + max(a.reserved+ahead, a.want)
		// What is lower holds at once, since the answer that confirms it may be lost.
		a.pace = min(a.pace, pace)
		a.ceiling = min(a.ceiling, ceiling)
		lines = append(lines, escrower.NewLine(escrower.LineConfig{
			Organisation: name,
			Spent:        a.spent,
			Returned:     a.returned,
			Ceiling:      ceiling,
			Pace:         pace,
			Want:         a.want,
			Demand:       int64(a.demand),
		}))
	}
	return escrower.NewReport(escrower.ReportConfig{
		Router: s.config.Process, Sequence: s.sequence, StartedAt: s.config.StartedAt, SentAt: now,
		Silence: s.silence(now), Ended: ended, Lines: lines,
	})
}

// Take takes the answer to the report that was sent at the given time.
func (s *Spender) Take(answer escrower.Answer, sentAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isNewest := answer.Sequence() == s.sequence
	if sentAt.After(s.ackedAt) {
		s.ackedAt = sentAt
	}
	for _, g := range answer.Grants() {
		a, ok := s.accounts[g.Organisation()]
		if !ok {
			continue
		}
		a.granted = max(a.granted, g.Granted())
		if isNewest {
			a.ceiling, a.pace = g.Ceiling(), g.Pace()
		}
		a.remaining, a.known = g.Remaining(), true
		// Only what no request can have reserved or spent goes back.
		idle := a.granted - a.returned - a.spent - a.reserved
		if excess := idle - max(0, g.Keep()-a.reserved); excess > 0 {
			a.returned += min(excess, idle)
			s.urgent = true
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Holding is what a router holds of an organisation's budget, in tokens.
type Holding struct {
	organisation string
	granted      int64
	spent        int64
	reserved     int64
}

// Organisation returns whose budget it is.
func (h Holding) Organisation() string { return h.organisation }

// Granted returns what control has granted and not got back.
func (h Holding) Granted() int64 { return h.granted }

// Spent returns what the router has spent.
func (h Holding) Spent() int64 { return h.spent }

// Reserved returns what is set aside for open requests.
func (h Holding) Reserved() int64 { return h.reserved }

// Holdings returns what the router holds.
func (s *Spender) Holdings() []Holding {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var holdings []Holding
	for name, a := range s.accounts {
		holdings = append(holdings, Holding{name, a.granted - a.returned, a.spent, a.reserved})
	}
	return holdings
}
