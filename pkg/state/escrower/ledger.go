package escrower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

const (
	// Once the last acknowledged report is older than overrunAfter, a router exceeds its
	// ceiling. Responses normally arrive at shorter intervals.
	overrunAfter = 600 * time.Millisecond
	// Once the last acknowledged report is as old as witnessesRequiredAfter, a router
	// spends no more than its witnesses have stored.
	witnessesRequiredAfter = 1200 * time.Millisecond
	// From growthAfter on, what a router may spend grows steadily, and reaches its whole grant
	// once the last acknowledged report is as old as fullGrantAfter. VMs that lose power
	// together come back at slightly different times, and are charged by these.
	growthAfter    = 3 * time.Second
	fullGrantAfter = 6 * time.Second
	// clockMargin is the assumed maximum difference between clocks.
	clockMargin = 250 * time.Millisecond

	// grantedPercent is the share of the unspent tokens that routers may hold. The rest
	// serves routers whose demand has just risen.
	grantedPercent = 92
	// A grant is at least minSharePercent of the router's share, even if grantHorizon would
	// allow less: the prepaid total is itself an estimate of the expected use.
	minSharePercent = 60
	// grantHorizon bounds a grant to what the router spends in this time at its demand.
	// Partitions rarely last longer, and the grant of a router that fails while
	// disconnected may be written off.
	grantHorizon = 22 * time.Second
	// idleShareDivisor is the divisor of the prepaid total that bounds the share of a lender
	// while no router has reported a demand.
	idleShareDivisor = 64
	// lenderPercent of a budget is divided equally among the lenders. The rest is divided
	// among all routers in proportion to their demand, which for a small organisation is
	// mostly random.
	lenderPercent = 40
	// maxUnspentPercent of its share is what a router may hold before it is asked to return
	// the rest.
	maxUnspentPercent = 130
	// topUpThresholdPercent of its share is the balance below which a router is topped up.
	topUpThresholdPercent = 85
)

// holding records what one router has been granted of an account and has spent.
type holding struct {
	granted     int64
	returned    int64
	spent       int64
	ceiling     int64
	overrunRate int64
	required    int64
	demand      int64
}

// allocated returns what has been granted to the router and not returned.
func (h *holding) allocated() int64 { return h.granted - h.returned }

// unspent returns what the router can still spend.
func (h *holding) unspent() int64 { return h.allocated() - h.spent }

// shortfall returns what the router requires beyond its unspent balance.
func (h *holding) shortfall() int64 { return max(0, h.required-h.unspent()) }

type account struct {
	prepaid    int64
	settled    int64 // total spending of terminated routers
	writtenOff int64
	holdings   map[identifier.Process]*holding
	totals     totals
}

// totals are running totals over the holdings of an account.
type totals struct {
	allocated int64
	spent     int64
	demand    int64
	shortfall int64
}

func (t *totals) add(h *holding, sign int64) {
	t.allocated += sign * h.allocated()
	t.spent += sign * h.spent
	t.demand += sign * h.demand
	t.shortfall += sign * h.shortfall()
}

// update changes a holding and adjusts the totals.
func (a *account) update(h *holding, update func()) {
	a.totals.add(h, -1)
	update()
	a.totals.add(h, 1)
}

func (a *account) remove(process identifier.Process, h *holding) {
	a.totals.add(h, -1)
	delete(a.holdings, process)
}

// unallocated returns what is allocated to no router. It is negative after the prepaid
// total has been lowered.
func (a *account) unallocated() int64 {
	return a.prepaid - a.settled - a.writtenOff - a.totals.allocated
}

// unspent returns the prepaid total less all reported spending and write-offs.
func (a *account) unspent() int64 { return a.prepaid - a.settled - a.writtenOff - a.totals.spent }

// router is the state of the current process of a VM.
type router struct {
	process  identifier.Process
	sequence uint64
	// lastCommittedAt is when the last report was committed, and lastSentAt when it was
	// sent by the router's clock.
	lastCommittedAt time.Time
	lastSentAt      time.Time
	ackAge          time.Duration
	witnesses       []identifier.Process
	lender          bool
	finished        bool // whether the final report has been applied
}

// Ledger holds all accounts. It is not safe for concurrent use.
type Ledger struct {
	accounts           map[string]*account
	routers            map[string]*router
	pendingRetirements []pendingRetirement
	lenderCount        int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, routers: map[string]*router{}}
}

// SetPrepaid sets the prepaid total of an organisation, in tokens.
func (l *Ledger) SetPrepaid(organisation string, tokens int64) {
	a, ok := l.accounts[organisation]
	if !ok {
		a = &account{holdings: map[identifier.Process]*holding{}}
		l.accounts[organisation] = a
	}
	a.prepaid = tokens
}

// Apply applies a report that was committed at the given time.
func (l *Ledger) Apply(r Report, at time.Time) (Response, error) {
	c := r.config
	response := Response{sequence: c.Sequence}
	current, err := l.register(c, at, &response)
	if err != nil {
		return Response{}, err
	}
	if current.finished {
		return response, nil // its holdings are settled
	}
	isNew := c.Sequence > current.sequence
	if isNew {
		current.sequence, current.lastCommittedAt, current.lastSentAt, current.ackAge = c.Sequence, at, c.SentAt, c.AckAge
		current.witnesses = c.Witnesses
		l.setLender(current, c.Lender)
	}
	for _, line := range c.Lines {
		a, ok := l.accounts[line.config.Organisation]
		if !ok {
			continue
		}
		h := a.holding(c.Router)
		a.update(h, func() { h.applyLine(line.config, isNew) })
		amount := l.topUp(a, h, current)
		a.update(h, func() { h.granted += amount })
		if isNew {
			h.ceiling = min(max(h.spent, line.config.Ceiling), h.allocated())
		}
		response.grants = append(response.grants, Grant{
			organisation: line.config.Organisation,
			granted:      h.granted,
			ceiling:      h.ceiling,
			overrunRate:  h.overrunRate,
			maxUnspent:   l.maxUnspent(a, h, current),
			remaining:    a.unspent() + a.writtenOff,
			available:    a.unspent(),
		})
	}
	for _, record := range c.WitnessRecords {
		l.applyWitnessRecord(c.Router, record)
	}
	response.queriedRouters = l.queriedRouters(c.Router)
	if c.Final {
		l.settle(c.Router)
		l.setLender(current, false)
		current.finished = true
	}
	return response, nil
}

func (l *Ledger) setLender(r *router, lender bool) {
	if r.lender != lender {
		if lender {
			l.lenderCount++
		} else {
			l.lenderCount--
		}
	}
	r.lender = lender
}

// register makes the reporting process the current one of its VM, and retires the process
// that it replaces.
func (l *Ledger) register(c ReportConfig, at time.Time, response *Response) (*router, error) {
	current, ok := l.routers[c.Router.VM()]
	if ok && current.process == c.Router {
		return current, nil
	}
	if ok && current.process.Incarnation() > c.Router.Incarnation() {
		return nil, ErrFenced
	}
	if ok {
		response.retirement = l.retire(current, c, at)
	}
	if ok {
		l.setLender(current, false)
	}
	current = &router{process: c.Router}
	l.routers[c.Router.VM()] = current
	return current, nil
}

// NeedsWitnesses reports whether the last acknowledged report is so old that a router
// spends no more than its witnesses have stored.
func NeedsWitnesses(ackAge time.Duration) bool { return ackAge >= witnessesRequiredAfter }

// Allowance returns the highest total that a router may spend when the last acknowledged
// report has the given age, regardless of what its witnesses have stored. The ledger charges
// by the same function: one that allows a router less may run only where all routers do.
func Allowance(allocated, ceiling, overrunRate int64, ackAge time.Duration) int64 {
	allowance := allowanceAt(allocated, ceiling, overrunRate, ackAge)
	grown := min(max(ackAge-growthAfter, 0), fullGrantAfter-growthAfter)
	return allowance + scale(allocated-allowance, int64(grown), int64(fullGrantAfter-growthAfter))
}

// WitnessedAllowance returns the total that a router may spend without a confirmation of
// its witnesses. It no longer grows once the router requires confirmations.
func WitnessedAllowance(allocated, ceiling, overrunRate int64, ackAge time.Duration) int64 {
	return allowanceAt(allocated, ceiling, overrunRate, min(ackAge, witnessesRequiredAfter))
}

// allowanceAt returns the total that the ceiling and the overrun rate allow.
func allowanceAt(allocated, ceiling, overrunRate int64, ackAge time.Duration) int64 {
	overrun := max(0, ackAge-overrunAfter)
	return min(allocated, ceiling+int64(float64(overrunRate)*overrun.Seconds()))
}

// retire charges the old process, which the successor has replaced, with the most that it
// can have spent.
func (l *Ledger) retire(old *router, successor ReportConfig, at time.Time) *Retirement {
	uptime := successor.SentAt.Sub(successor.StartedAt)
	// The time from the old process's last report to the successor's start, by the clocks
	// of control and of the VM.
	downtimeByControl := at.Sub(old.lastCommittedAt) - uptime
	downtimeByRouter := successor.StartedAt.Sub(old.lastSentAt)
	pending := pendingRetirement{process: old.process, witnesses: old.witnesses}
	r := &Retirement{process: old.process, maxAckAge: max(downtimeByControl, downtimeByRouter, 0) + old.ackAge}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		h, ok := a.holdings[old.process]
		if !ok {
			continue
		}
		charged := max(h.spent, Allowance(h.allocated(), h.ceiling, h.overrunRate, r.maxAckAge+clockMargin))
		minimum := max(h.spent, WitnessedAllowance(h.allocated(), h.ceiling, h.overrunRate, r.maxAckAge+clockMargin))
		if minimum < charged && len(old.witnesses) > 0 {
			pending.charges = append(pending.charges, charge{name, h.spent, minimum, charged})
		}
		a.settled += h.spent
		a.writtenOff += charged - h.spent
		r.spent += h.spent
		r.writtenOff += charged - h.spent
		r.released += h.allocated() - charged
		a.remove(old.process, h)
	}
	l.addPending(pending)
	return r
}

// settle settles a process that has reported all its spending.
func (l *Ledger) settle(process identifier.Process) {
	for _, a := range l.accounts {
		if h, ok := a.holdings[process]; ok {
			a.settled += h.spent
			a.remove(process, h)
		}
	}
}

func (a *account) holding(process identifier.Process) *holding {
	h, ok := a.holdings[process]
	if !ok {
		h = &holding{}
		a.holdings[process] = h
	}
	return h
}

func (h *holding) applyLine(c LineConfig, isNew bool) {
	h.spent = max(h.spent, min(c.Spent, h.allocated()))
	h.returned = max(h.returned, min(c.Returned, h.granted-h.spent))
	if isNew {
		h.required, h.demand, h.overrunRate = c.Required, c.Demand, c.OverrunRate
	}
}

// share returns what the router should hold unspent.
func (l *Ledger) share(a *account, h *holding, r *router) int64 {
	if a.totals.demand == 0 {
		if !r.lender {
			return h.required
		}
		return max(min(a.unspent()/max(l.lenderCount, 1), a.prepaid/idleShareDivisor), h.required)
	}
	weight := h.demand
	if l.lenderCount > 0 {
		weight = h.demand * (100 - lenderPercent) / 100
		if r.lender {
			weight += a.totals.demand*lenderPercent/100/l.lenderCount + 1
		}
	}
	share := scale(a.unspent()*grantedPercent/100, weight, a.totals.demand)
	horizon := int64(grantHorizon / time.Second)
	return min(share, max(weight*horizon, share*minSharePercent/100)+h.required)
}

// topUp returns the amount to grant to the router: the difference between its share and
// its unspent balance, or its shortfall if that is more and can be covered in full.
func (l *Ledger) topUp(a *account, h *holding, r *router) int64 {
	unallocated := a.unallocated()
	if unallocated <= 0 {
		return 0
	}
	var amount int64
	if shortfall := h.required - h.unspent(); h.required > 0 && shortfall > 0 && shortfall <= unallocated {
		amount = shortfall
	}
	share := l.share(a, h, r)
	if h.unspent() < share*topUpThresholdPercent/100 {
		amount = max(amount, min(share-h.unspent(), unallocated))
	}
	return amount
}

// maxUnspent returns the most that the router should hold unspent. This is normally
// maxUnspentPercent of its share, or half of its share while the shortfall of other routers
// exceeds the unallocated tokens, so that it returns tokens that others require. In both
// cases it is at least what the router itself requires. After the prepaid total has been
// lowered below what is allocated, it is an equal share of the unspent tokens.
func (l *Ledger) maxUnspent(a *account, h *holding, r *router) int64 {
	share := l.share(a, h, r)
	if a.unallocated() < 0 {
		return max(0, a.unspent()/max(int64(len(a.holdings)), 1))
	}
	if a.totals.shortfall-h.shortfall() > a.unallocated() {
		return max(h.required, share/2)
	}
	return max(h.required, share*maxUnspentPercent/100)
}

// Statements returns the statements of all accounts, ordered by organisation.
func (l *Ledger) Statements() []Statement {
	var statements []Statement
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		statements = append(statements, Statement{
			organisation: name, prepaid: a.prepaid, spent: a.settled + a.totals.spent,
			writtenOff: a.writtenOff, held: a.totals.allocated - a.totals.spent,
		})
	}
	return statements
}

// scale returns amount*numerator/denominator. The quotient must be at most one.
func scale(amount, numerator, denominator int64) int64 {
	if amount <= 0 || numerator <= 0 || denominator <= 0 {
		return 0
	}
	return int64(float64(amount) * (float64(numerator) / float64(denominator)))
}

func compareProcesses(a, b identifier.Process) int {
	return cmp.Or(cmp.Compare(a.VM(), b.VM()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}
