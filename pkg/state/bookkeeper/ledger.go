package bookkeeper

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Errors of operations. An operation that fails does not change the ledger.
var (
	// ErrUnknownAccount means that no ticket has created the account.
	ErrUnknownAccount = errors.New("unknown account")
	// ErrUnknownRouter means that the router has not registered, or has been
	// retired and removed.
	ErrUnknownRouter = errors.New("router is not registered")
	// ErrRetired means that the router process has been retired: because a newer
	// incarnation has registered, or because the process was unresponsive for
	// too long or has deregistered. The text names only the first of these
	// causes; it is sent to routers as the reason of a refusal.
	ErrRetired = errors.New("router has been replaced by a newer incarnation")
	// ErrOverdrawn means that the unspent grants do not cover the reservation of
	// the intent, or that the reservation is negative.
	ErrOverdrawn = errors.New("reservation exceeds the grants of the account")
	// ErrClosed means that the request has already been settled.
	ErrClosed = errors.New("request has already been settled")
)

// DefaultMaxListedCharges is the default of Config.MaxListedCharges.
const DefaultMaxListedCharges = 100_000

// Config configures a ledger.
type Config struct {
	// Policy determines the size of grants. Default: DemandWeighted.
	Policy Policy
	// MaxListedCharges is how many charges an account lists. Older charges are
	// only kept as a sum, the amount brought forward. Default:
	// DefaultMaxListedCharges.
	MaxListedCharges int
}

// holder records the grants of one router from one account. The amounts granted,
// returned and charged are totals since the router registered; reserved is the
// sum of its open reservations; demand, required and sequence are those of its
// latest draw.
type holder struct {
	granted  pricer.Amount
	returned pricer.Amount
	charged  pricer.Amount
	reserved pricer.Amount
	demand   pricer.Amount
	required pricer.Amount
	sequence uint64
}

// unspent returns the amount that the router can still reserve.
func (h *holder) unspent() pricer.Amount {
	return h.granted - h.returned - h.charged - h.reserved
}

// account is the state of one budget.
type account struct {
	prepaid            pricer.Amount
	allocated          pricer.Amount // granted and not returned, summed over all holders
	charged            pricer.Amount
	reserved           pricer.Amount
	lowering           bool
	lowerTo            pricer.Amount
	largestReservation pricer.Amount // largest recent reservation; decays with each reservation
	aggregates         aggregates
	holders            map[identifier.Process]*holder
	charges            []Charge
	broughtForward     pricer.Amount
}

func (a *account) free() pricer.Amount { return a.prepaid - a.allocated }

// router records the state of one router process.
type router struct {
	retired bool
	// unswept holds, for a retired router, the processes that have not yet
	// reported which of its intents they store.
	unswept map[identifier.Process]bool
	// retirementsAtLastReport is the number of retirements that the router had
	// seen when it last reported all its open requests to the ledger, or that
	// the ledger had recorded when the router registered.
	retirementsAtLastReport uint64
	// unsweepableCount is, for a retired router, the number of processes that may
	// store its intents but have been retired and can no longer report them.
	// Release resets the count.
	unsweepableCount int
	// closedBelow is the sequence number below which all requests are closed;
	// closed holds the closed requests from this number on.
	closedBelow uint64
	closed      map[uint64]bool
	open        int // number of open requests
}

func (r *router) isClosed(sequence uint64) bool {
	return sequence < r.closedBelow || r.closed[sequence]
}

// Ledger holds the accounts and the registered routers. It is not safe for
// concurrent use.
type Ledger struct {
	config   Config
	accounts map[string]*account
	newest   map[string]identifier.Process // newest registered process of each VM; may be retired
	routers  map[identifier.Process]*router
	intents  map[identifier.Request]Intent
	// removed holds, for each VM, the newest incarnation that has been retired
	// and removed from routers. It prevents a removed process from registering
	// again.
	removed     map[string]uint64
	retirements uint64 // number of processes that have been retired so far
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	if config.Policy == nil {
		config.Policy = DemandWeighted{}
	}
	if config.MaxListedCharges == 0 {
		config.MaxListedCharges = DefaultMaxListedCharges
	}
	return &Ledger{
		config:   config,
		accounts: map[string]*account{},
		newest:   map[string]identifier.Process{},
		routers:  map[identifier.Process]*router{},
		intents:  map[identifier.Request]Intent{},

		removed: map[string]uint64{},
	}
}

// CheckPrepaid returns an error with the amounts if the account cannot be
// lowered to the total because more than that is charged, reserved or granted.
func (l *Ledger) CheckPrepaid(name string, total pricer.Amount) error {
	a, ok := l.accounts[name]
	if !ok || total >= a.allocated {
		return nil
	}
	return errors.Errorf(
		"account %s cannot be lowered to %d microcredits: %d are charged, %d reserved and %d held by routers",
		name, total, a.charged, a.reserved, a.allocated-a.charged-a.reserved)
}

// SetPrepaid sets the absolute prepaid total of an account. It creates the
// account if there is none.
func (l *Ledger) SetPrepaid(name string, total pricer.Amount) error {
	if err := l.CheckPrepaid(name, total); err != nil {
		return err
	}
	a, ok := l.accounts[name]
	if !ok {
		a = &account{holders: map[identifier.Process]*holder{}}
		l.accounts[name] = a
	}
	a.prepaid = total
	a.lowering = false
	return nil
}

// BeginLowering makes routers return grants until the account can be lowered to
// the total. SetPrepaid and CancelLowering end this state.
func (l *Ledger) BeginLowering(name string, total pricer.Amount) {
	if a, ok := l.accounts[name]; ok {
		a.lowering, a.lowerTo = true, total
	}
}

// CancelLowering undoes BeginLowering: routers can draw on the whole account
// again.
func (l *Ledger) CancelLowering(name string) {
	if a, ok := l.accounts[name]; ok {
		a.lowering = false
	}
}

// IsCurrent reports whether the process is registered and not retired, so that
// it may draw and open requests.
func (l *Ledger) IsCurrent(process identifier.Process) bool {
	r, ok := l.routers[process]
	return ok && !r.retired
}

// Routers returns the current router processes, sorted by VM.
func (l *Ledger) Routers() []identifier.Process {
	var routers []identifier.Process
	for _, vm := range slices.Sorted(maps.Keys(l.newest)) {
		if l.IsCurrent(l.newest[vm]) {
			routers = append(routers, l.newest[vm])
		}
	}
	return routers
}

// MarkClosedBelow records that the router has settled all requests with a
// sequence number below the given one and that the ledger has acknowledged them.
// The ledger then no longer needs to remember each of them.
func (l *Ledger) MarkClosedBelow(process identifier.Process, sequence uint64) {
	r, ok := l.routers[process]
	if !ok || sequence <= r.closedBelow {
		return
	}
	r.closedBelow = sequence
	for closed := range r.closed {
		if closed < sequence {
			delete(r.closed, closed)
		}
	}
}

// Open records an intent. The unspent grants of its router must cover the
// reservation. Recording the intent again has no effect.
func (l *Ledger) Open(i Intent) error {
	if r, ok := l.routers[i.request.Router()]; ok && r.retired {
		return ErrRetired
	}
	if a, ok := l.accounts[i.account]; ok {
		_, known := l.intents[i.request]
		if !known && i.reservation > a.unspentOf(i.request.Router()) {
			return l.refusalError(i)
		}
	}
	return l.open(i)
}

// refusalError returns why Open refuses an intent that the grants of its router
// do not cover.
func (l *Ledger) refusalError(i Intent) error {
	r, ok := l.routers[i.request.Router()]
	switch {
	case !ok:
		return ErrUnknownRouter
	case r.isClosed(i.request.Sequence()):
		return ErrClosed
	default:
		return ErrOverdrawn
	}
}

// OpenReplicated records an intent that was replicated to other routers while
// control could not be reached. The router of the request had reserved the
// maximum cost from its grants. Unlike Open, OpenReplicated also accepts intents
// of retired routers, and only requires that the unspent grants of all routers
// together cover the reservation.
func (l *Ledger) OpenReplicated(i Intent) error { return l.open(i) }

// open records an intent if the unspent grants of all routers together cover
// its reservation.
func (l *Ledger) open(i Intent) error {
	r, ok := l.routers[i.request.Router()]
	if !ok {
		return ErrUnknownRouter
	}
	a, ok := l.accounts[i.account]
	if !ok {
		return ErrUnknownAccount
	}
	if r.isClosed(i.request.Sequence()) {
		return ErrClosed
	}
	if _, ok := l.intents[i.request]; ok {
		return nil
	}
	if i.reservation < 0 || i.reservation > a.allocated-a.charged-a.reserved {
		return ErrOverdrawn
	}
	l.intents[i.request] = i
	r.open++
	a.reserved += i.reservation
	a.largestReservation = max(i.reservation, a.largestReservation-a.largestReservation/largestDecayDivisor)
	l.getOrAddHolder(a, i.request.Router()).reserved += i.reservation
	return nil
}

// Settle closes a request and charges its cost. Settling the request again has
// no effect and returns ErrClosed.
func (l *Ledger) Settle(s Settlement) error {
	if err := l.open(s.intent); err != nil {
		return err
	}
	intent := l.intents[s.intent.request]
	process := intent.request.Router()
	a, r := l.accounts[intent.account], l.routers[process]
	amount := min(max(s.amount, 0), intent.reservation)
	h := l.getOrAddHolder(a, process)
	h.reserved -= intent.reservation
	a.reserved -= intent.reservation
	h.charged += amount
	a.charged += amount
	delete(l.intents, intent.request)
	r.open--
	r.closed[intent.request.Sequence()] = true
	if r.retired {
		l.reclaimRetired(process)
	}
	if _, notRun := s.basis.(NotRun); !notRun {
		a.addCharge(Charge{intent.request, intent.service, intent.workKind, s.target, s.usage, amount, s.basis, s.endedAt}, l.config.MaxListedCharges)
	}
	return nil
}

// Draw applies a draw of the router and returns its grant. A draw that is not
// newer than the router's last draw on the account changes nothing and returns
// the current grant.
func (l *Ledger) Draw(process identifier.Process, d Draw) (Grant, error) {
	r, ok := l.routers[process]
	if !ok {
		return Grant{}, ErrUnknownRouter
	}
	if r.retired {
		return Grant{}, ErrRetired
	}
	a, ok := l.accounts[d.account]
	if !ok {
		return Grant{}, ErrUnknownAccount
	}
	h := l.getOrAddHolder(a, process)
	if d.sequence > h.sequence {
		h.sequence = d.sequence
		a.setDemand(h, max(d.demand, 0), max(d.required, 0))
		l.reclaim(a, h, d.returned-h.returned)
		l.grant(a, h)
	}
	return Grant{d.account, h.granted, h.returned, l.maxUnspent(a, h), a.drawOutcome(h)}, nil
}

// MaxUnspent returns the maximum unspent amount that a router should hold of
// an account. Control uses the limit to recall grants between draws.
func (l *Ledger) MaxUnspent(process identifier.Process, name string) (pricer.Amount, bool) {
	a, ok := l.accounts[name]
	if !ok || a.holders[process] == nil {
		return 0, false
	}
	return l.maxUnspent(a, a.holders[process]), true
}

// RoutersWithUnspent returns the current routers that hold unspent grants from
// the account.
func (l *Ledger) RoutersWithUnspent(name string) []identifier.Process {
	a, ok := l.accounts[name]
	if !ok {
		return nil
	}
	var holders []identifier.Process
	for process, h := range a.holders {
		if h.unspent() > 0 && l.IsCurrent(process) {
			holders = append(holders, process)
		}
	}
	slices.SortFunc(holders, compareProcesses)
	return holders
}

// NeedsRecall reports whether routers must return grants of the account, because
// routers require more than is free or because the account is being lowered
// below what is allocated.
func (l *Ledger) NeedsRecall(name string) bool {
	a, ok := l.accounts[name]
	return ok && (l.uncoveredShortfall(a, l.shareInputs(a)) > 0 || a.lowering && a.allocated > a.lowerTo)
}

// Intents returns the open intents of a process, sorted by sequence number.
func (l *Ledger) Intents(process identifier.Process) []Intent {
	var intents []Intent
	for _, i := range l.intents {
		if i.request.Router() == process {
			intents = append(intents, i)
		}
	}
	sortIntents(intents)
	return intents
}

// OrphanedIntents returns the open intents of retired processes, sorted by
// process and sequence number. Control must find out whether these requests
// ran, and settle them.
func (l *Ledger) OrphanedIntents() []Intent {
	var orphaned []Intent
	for _, i := range l.intents {
		if l.routers[i.request.Router()].retired {
			orphaned = append(orphaned, i)
		}
	}
	sortIntents(orphaned)
	return orphaned
}

// Accounts returns the names of all accounts, sorted.
func (l *Ledger) Accounts() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Statement returns the current state of an account.
func (l *Ledger) Statement(name string) (Statement, error) {
	a, ok := l.accounts[name]
	if !ok {
		return Statement{}, ErrUnknownAccount
	}
	var holdings []Holding
	for _, process := range slices.SortedFunc(maps.Keys(a.holders), compareProcesses) {
		holdings = append(holdings, Holding{process, a.holders[process].unspent(), !l.IsCurrent(process)})
	}
	return Statement{
		holdings:       holdings,
		account:        name,
		prepaid:        a.prepaid,
		charged:        a.charged,
		reserved:       a.reserved,
		unspent:        a.allocated - a.charged - a.reserved,
		broughtForward: a.broughtForward,
		charges:        slices.Clone(a.charges),
	}, nil
}

func (l *Ledger) getOrAddHolder(a *account, process identifier.Process) *holder {
	h, ok := a.holders[process]
	if !ok {
		h = &holder{}
		a.holders[process] = h
		if !l.IsCurrent(process) {
			a.aggregates.retired++
		}
	}
	return h
}

func (a *account) unspentOf(process identifier.Process) pricer.Amount {
	if h, ok := a.holders[process]; ok {
		return h.unspent()
	}
	return 0
}

func (a *account) addCharge(c Charge, maxListed int) {
	a.charges = append(a.charges, c)
	for len(a.charges) > maxListed {
		a.broughtForward += a.charges[0].amount
		a.charges = a.charges[1:]
	}
}

// reclaim takes back an unspent part of a grant. It takes back at most the
// unspent grants of all routers together.
func (l *Ledger) reclaim(a *account, h *holder, amount pricer.Amount) {
	amount = min(amount, a.allocated-a.charged-a.reserved)
	if amount <= 0 {
		return
	}
	h.returned += amount
	a.allocated -= amount
}

func sortIntents(intents []Intent) {
	slices.SortFunc(intents, func(a, b Intent) int { return compareRequests(a.request, b.request) })
}
