// Package escrower is the ledger of prepaid token totals.
//
// Routers spend from grants that the ledger has set aside for them, and report
// totals a few times a second. For each organisation
//
//	settled + sum over routers of (granted - returned) <= prepaid
//
// holds whenever the prepaid total has not been lowered, so that nobody spends
// what the ledger has not set aside (escrow; O'Neil, "The Escrow Transactional
// Method", 1986).
//
// Beside its grant a router has a ceiling and a pace, which it has announced and
// the ledger has recorded. It spends up to the ceiling and, while answers of
// control are missing, goes beyond it at that pace for a while (Allowance).
// So the ledger charges a router that has died with what it can have spent until
// its successor started, and not with its whole grant. A router that is cut off
// for longer tells its ceilings to witnesses, which are other routers, before it
// spends up to them; once it has died one of them can tell the ledger.
//
// A Ledger is a deterministic state machine without a clock. Reports hold totals,
// so that one that comes late or twice does no harm.
package escrower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

const (
	// grace is the silence of control from which on a router goes beyond its
	// ceiling. Answers are less than that apart.
	grace = 600 * time.Millisecond
	// detachment is the silence of control after which a router may spend its whole
	// grant. A restart of all processes takes less.
	detachment = 3 * time.Second
	// clockMargin is by how much clocks may differ.
	clockMargin = 250 * time.Millisecond

	// grantedPercent is the part of what is unspent that routers may hold. The
	// rest serves routers whose demand has just risen.
	grantedPercent = 92
	// floorPercent of that is granted whatever the demand was, since the prepaid
	// total itself tells what an organisation expects to use.
	floorPercent = 60
	// grantHorizon bounds a grant by the router's demand: a partition that lasts
	// longer than that is rare, and what a dead router holds is lost.
	grantHorizon = 22 * time.Second
	// idleParts is into how many parts a prepaid total is cut for routers while
	// none of them has reported a demand.
	idleParts = 64
	// pooledPercent of a budget is held by lenders in equal parts, and the rest by
	// all routers in proportion to their demand, which for a small organisation is
	// mostly chance.
	pooledPercent = 40
	// keepPercent of its share is what a router may keep before it is asked to
	// return the rest.
	keepPercent = 130
	// topUpPercent of its share is what a router must be below to be topped up.
	topUpPercent = 85
)

// ErrFenced is returned for reports of a process that a newer incarnation of its
// VM has replaced.
var ErrFenced = errors.New("a newer incarnation of this VM has reported")

// LineConfig holds the parts of a line. All amounts are tokens.
type LineConfig struct {
	// Organisation is what the line is about. Required.
	Organisation string
	// Spent is what the router has spent so far.
	Spent int64
	// Returned is what the router has given back so far.
	Returned int64
	// Ceiling is the total of spending that the router asks to announce.
	Ceiling int64
	// Pace is how many tokens a second the router asks to go beyond the ceiling
	// while control is silent.
	Pace int64
	// Want is what the router lacks for a request, or zero.
	Want int64
	// Demand is what the router spends a second.
	Demand int64
}

// Line reports on one organisation.
type Line struct{ config LineConfig }

// NewLine returns a line.
func NewLine(c LineConfig) Line { return Line{c} }

// Organisation returns what the line is about.
func (l Line) Organisation() string { return l.config.Organisation }

// Spent returns what the router has spent so far, in tokens.
func (l Line) Spent() int64 { return l.config.Spent }

// ReportConfig holds the parts of a report.
type ReportConfig struct {
	// Router is the process that reports. Required.
	Router identifier.Process
	// Sequence rises with each report of the process.
	Sequence uint64
	// StartedAt and SentAt are times on the clock of the router's VM.
	StartedAt, SentAt time.Time
	// Silence is how long before SentAt the newest report was sent that control
	// has answered.
	Silence time.Duration
	// Ended says that the router spends nothing any more.
	Ended bool
	// Witnesses are the routers that know the ceilings of this one while it is cut
	// off. Without any it may then spend its whole grant.
	Witnesses []identifier.Process
	// Testimonies are on routers that have ended.
	Testimonies []Testimony
	// Lender says that other routers ask this one to spend for them.
	Lender bool
	// Lines are the organisations that the router uses.
	Lines []Line
}

// Report is what a router tells the ledger.
type Report struct{ config ReportConfig }

// NewReport returns a report.
func NewReport(c ReportConfig) Report { return Report{c} }

// Router returns the process that reports.
func (r Report) Router() identifier.Process { return r.config.Router }

// Sequence returns the place of the report among those of its process.
func (r Report) Sequence() uint64 { return r.config.Sequence }

// Lines returns the organisations that the report is about.
func (r Report) Lines() []Line { return r.config.Lines }

// Grant answers a line. All amounts are tokens.
type Grant struct {
	organisation string
	granted      int64
	ceiling      int64
	pace         int64
	keep         int64
	remaining    int64
	available    int64
}

// Organisation returns what the grant is about.
func (g Grant) Organisation() string { return g.organisation }

// Granted returns all that the router was ever granted.
func (g Grant) Granted() int64 { return g.granted }

// Ceiling returns the total of spending that is recorded for the router.
func (g Grant) Ceiling() int64 { return g.ceiling }

// Pace returns how many tokens a second the router may go beyond the ceiling.
func (g Grant) Pace() int64 { return g.pace }

// Keep returns the most that the router should hold unspent.
func (g Grant) Keep() int64 { return g.keep }

// Available returns the most that all routers together can still spend. It is less
// than Remaining by what routers that have ended may have spent.
func (g Grant) Available() int64 { return g.available }

// Remaining returns the most that the organisation has left: the prepaid total
// less what is known to be spent.
func (g Grant) Remaining() int64 { return g.remaining }

// Answer answers a report.
type Answer struct {
	sequence uint64
	grants   []Grant
	retired  *Retirement
	asked    []identifier.Process
}

// Retirement is what became of the grants of a process that a newer incarnation
// of its VM has replaced. All amounts are tokens.
type Retirement struct {
	process  identifier.Process
	gap      time.Duration
	spent    int64
	charged  int64
	released int64
}

// Process returns the process that was replaced.
func (r Retirement) Process() identifier.Process { return r.process }

// Gap returns the longest time that the process can have been without an answer
// of control when it died.
func (r Retirement) Gap() time.Duration { return r.gap }

// Spent returns what the process had reported.
func (r Retirement) Spent() int64 { return r.spent }

// Charged returns what it was charged with beyond that.
func (r Retirement) Charged() int64 { return r.charged }

// Released returns what became free.
func (r Retirement) Released() int64 { return r.released }

// Retired returns what became of the process that the reporting one has replaced,
// or nil. It is known only where the report was applied.
func (a Answer) Retired() *Retirement { return a.retired }

// Sequence returns the sequence of the report that is answered.
func (a Answer) Sequence() uint64 { return a.sequence }

// Asked returns the ended routers on which the router can testify.
func (a Answer) Asked() []identifier.Process { return a.asked }

// Grants returns a grant for each line of the report whose organisation exists.
func (a Answer) Grants() []Grant { return a.grants }

// Statement is the account of an organisation. All amounts are tokens.
type Statement struct {
	organisation string
	prepaid      int64
	spent        int64
	writtenOff   int64
	held         int64
}

// Organisation returns whose account it is.
func (s Statement) Organisation() string { return s.organisation }

// Prepaid returns the prepaid total.
func (s Statement) Prepaid() int64 { return s.prepaid }

// Spent returns what routers have reported as spent.
func (s Statement) Spent() int64 { return s.spent }

// WrittenOff returns what dead routers may have spent without a report.
func (s Statement) WrittenOff() int64 { return s.writtenOff }

// Held returns what routers hold unspent.
func (s Statement) Held() int64 { return s.held }

// holder is what one router holds of an account.
type holder struct {
	granted  int64
	returned int64
	spent    int64
	ceiling  int64
	pace     int64
	want     int64
	demand   int64
}

// limit is the most that the router can spend.
func (h *holder) limit() int64 { return h.granted - h.returned }

// held is what the router can still spend.
func (h *holder) held() int64 { return h.limit() - h.spent }

// lack is what the router wants beyond what it holds.
func (h *holder) lack() int64 { return max(0, h.want-h.held()) }

type account struct {
	prepaid    int64
	ended      int64 // spent by routers that have ended
	writtenOff int64
	holders    map[identifier.Process]*holder
	sums       sums
}

// sums are running sums over the holders of an account.
type sums struct {
	limit  int64
	spent  int64
	demand int64
	lack   int64
}

func (s *sums) add(h *holder, sign int64) {
	s.limit += sign * h.limit()
	s.spent += sign * h.spent
	s.demand += sign * h.demand
	s.lack += sign * h.lack()
}

// change changes a holder and keeps the sums.
func (a *account) change(h *holder, change func()) {
	a.sums.add(h, -1)
	change()
	a.sums.add(h, 1)
}

func (a *account) drop(process identifier.Process, h *holder) {
	a.sums.add(h, -1)
	delete(a.holders, process)
}

// free is what is set aside for nobody. It is negative after the prepaid total
// was lowered.
func (a *account) free() int64 { return a.prepaid - a.ended - a.writtenOff - a.sums.limit }

// unspent is what nobody has spent as far as is known.
func (a *account) unspent() int64 { return a.prepaid - a.ended - a.writtenOff - a.sums.spent }

// router is what the ledger knows of the current process of a VM.
type router struct {
	process  identifier.Process
	sequence uint64
	// lastAt is when the last report was committed, and lastSentAt when it was
	// sent on the router's clock.
	lastAt     time.Time
	lastSentAt time.Time
	silence    time.Duration
	witnesses  []identifier.Process
	lender     bool
}

// Ledger holds all accounts. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	routers  map[string]*router
	claims   []claim
	lenders  int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, routers: map[string]*router{}}
}

// SetPrepaid sets the prepaid total of an organisation, in tokens.
func (l *Ledger) SetPrepaid(organisation string, tokens int64) {
	a, ok := l.accounts[organisation]
	if !ok {
		a = &account{holders: map[identifier.Process]*holder{}}
		l.accounts[organisation] = a
	}
	a.prepaid = tokens
}

// Apply takes a report that was committed at the given time.
func (l *Ledger) Apply(r Report, at time.Time) (Answer, error) {
	c := r.config
	answer := Answer{sequence: c.Sequence}
	current, err := l.admit(c, at, &answer)
	if err != nil {
		return Answer{}, err
	}
	isNew := c.Sequence > current.sequence
	if isNew {
		current.sequence, current.lastAt, current.lastSentAt, current.silence = c.Sequence, at, c.SentAt, c.Silence
		current.witnesses = c.Witnesses
		l.setLender(current, c.Lender)
	}
	for _, line := range c.Lines {
		a, ok := l.accounts[line.config.Organisation]
		if !ok {
			continue
		}
		h := a.holder(c.Router)
		a.change(h, func() { h.take(line.config, isNew) })
		amount := l.topUp(a, h, current)
		a.change(h, func() { h.granted += amount })
		if isNew {
			h.ceiling = min(max(h.spent, line.config.Ceiling), h.limit())
		}
		answer.grants = append(answer.grants, Grant{
			organisation: line.config.Organisation,
			granted:      h.granted,
			ceiling:      h.ceiling,
			pace:         h.pace,
			keep:         l.keep(a, h, current),
			remaining:    a.unspent() + a.writtenOff,
			available:    a.unspent(),
		})
	}
	for _, testimony := range c.Testimonies {
		l.testify(c.Router, testimony)
	}
	answer.asked = l.asked(c.Router)
	if c.Ended {
		l.end(c.Router)
	}
	return answer, nil
}

func (l *Ledger) setLender(r *router, lender bool) {
	if r.lender != lender {
		if lender {
			l.lenders++
		} else {
			l.lenders--
		}
	}
	r.lender = lender
}

// admit makes the reporting process the current one of its VM.
func (l *Ledger) admit(c ReportConfig, at time.Time, answer *Answer) (*router, error) {
	current, ok := l.routers[c.Router.VM()]
	if ok && current.process == c.Router {
		return current, nil
	}
	if ok && current.process.Incarnation() > c.Router.Incarnation() {
		return nil, ErrFenced
	}
	if ok {
		answer.retired = l.retire(current, c, at)
	}
	if ok {
		l.setLender(current, false)
	}
	current = &router{process: c.Router}
	l.routers[c.Router.VM()] = current
	return current, nil
}

// Detached reports whether control has been silent for so long that a router
// spends beyond its allowance.
func Detached(silence time.Duration) bool { return silence >= detachment }

// Allowance returns the total that a router with a grant may spend after control
// has been silent for a time.
func Allowance(limit, ceiling, pace int64, silence time.Duration) int64 {
	if silence >= detachment {
		return limit
	}
	return WitnessedAllowance(limit, ceiling, pace, silence)
}

// WitnessedAllowance returns the total that a router may spend without asking its
// witnesses. However long control is silent, it grows no further than it does
// before a router counts as detached.
func WitnessedAllowance(limit, ceiling, pace int64, silence time.Duration) int64 {
	silence = min(silence, detachment)
	beyond := max(0, silence-grace)
	return min(limit, ceiling+int64(float64(pace)*beyond.Seconds()))
}

// retire charges the process that the reporting one has replaced with the most
// that it can have spent.
func (l *Ledger) retire(old *router, successor ReportConfig, at time.Time) *Retirement {
	age := successor.SentAt.Sub(successor.StartedAt)
	byControl := at.Sub(old.lastAt) - age
	byRouter := successor.StartedAt.Sub(old.lastSentAt)
	pending := claim{process: old.process, witnesses: old.witnesses}
	r := &Retirement{process: old.process, gap: max(byControl, byRouter, 0) + old.silence}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		h, ok := a.holders[old.process]
		if !ok {
			continue
		}
		charged := max(h.spent, Allowance(h.limit(), h.ceiling, h.pace, r.gap+clockMargin))
		floor := max(h.spent, WitnessedAllowance(h.limit(), h.ceiling, h.pace, r.gap+clockMargin))
		if floor < charged && len(old.witnesses) > 0 {
			pending.charges = append(pending.charges, charge{name, h.spent, floor, charged})
		}
		a.ended += h.spent
		a.writtenOff += charged - h.spent
		r.spent += h.spent
		r.charged += charged - h.spent
		r.released += h.limit() - charged
		a.drop(old.process, h)
	}
	l.addClaim(pending)
	return r
}

// end settles a process that has reported all that it spent.
func (l *Ledger) end(process identifier.Process) {
	for _, a := range l.accounts {
		if h, ok := a.holders[process]; ok {
			a.ended += h.spent
			a.drop(process, h)
		}
	}
}

func (a *account) holder(process identifier.Process) *holder {
	h, ok := a.holders[process]
	if !ok {
		h = &holder{}
		a.holders[process] = h
	}
	return h
}

func (h *holder) take(c LineConfig, isNew bool) {
	h.spent = max(h.spent, min(c.Spent, h.limit()))
	h.returned = max(h.returned, min(c.Returned, h.granted-h.spent))
	if isNew {
		h.want, h.demand, h.pace = c.Want, c.Demand, c.Pace
	}
}

// share is what the router should hold unspent.
func (l *Ledger) share(a *account, h *holder, r *router) int64 {
	if a.sums.demand == 0 {
		if !r.lender {
			return h.want
		}
		return max(min(a.unspent()/max(l.lenders, 1), a.prepaid/idleParts), h.want)
	}
	weight := h.demand
	if l.lenders > 0 {
		weight = h.demand * (100 - pooledPercent) / 100
		if r.lender {
			weight += a.sums.demand*pooledPercent/100/l.lenders + 1
		}
	}
	share := scale(a.unspent()*grantedPercent/100, weight, a.sums.demand)
	horizon := int64(grantHorizon / time.Second)
	return min(share, max(weight*horizon, share*floorPercent/100)+h.want)
}

// topUp returns what the router is granted: what it lacks to its share, or what it
// wants at once.
func (l *Ledger) topUp(a *account, h *holder, r *router) int64 {
	free := a.free()
	if free <= 0 {
		return 0
	}
	var amount int64
	if lack := h.want - h.held(); h.want > 0 && lack > 0 && lack <= free {
		amount = lack
	}
	share := l.share(a, h, r)
	if h.held() < share*topUpPercent/100 {
		amount = max(amount, min(share-h.held(), free))
	}
	return amount
}

// keep is the most that the router should hold unspent. While others want more
// than is free, a router keeps only its share.
func (l *Ledger) keep(a *account, h *holder, r *router) int64 {
	share := l.share(a, h, r)
	if a.free() < 0 {
		return max(0, a.unspent()/max(int64(len(a.holders)), 1))
	}
	if a.sums.lack-h.lack() > a.free() {
		return max(h.want, share/2)
	}
	return max(h.want, share*keepPercent/100)
}

// Statements returns all accounts, ordered by organisation.
func (l *Ledger) Statements() []Statement {
	var statements []Statement
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		statements = append(statements, Statement{
			organisation: name, prepaid: a.prepaid, spent: a.ended + a.sums.spent,
			writtenOff: a.writtenOff, held: a.sums.limit - a.sums.spent,
		})
	}
	return statements
}

// scale returns amount*numerator/denominator for a quotient of at most one.
func scale(amount, numerator, denominator int64) int64 {
	if amount <= 0 || numerator <= 0 || denominator <= 0 {
		return 0
	}
	return int64(float64(amount) * (float64(numerator) / float64(denominator)))
}

func compareProcesses(a, b identifier.Process) int {
	return cmp.Or(cmp.Compare(a.VM(), b.VM()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}
