// Package bookkeeper implements the ledger of prepaid budgets.
//
// The ledger grants shares of a budget to routers. Before a router sends a
// request, it reserves the maximum cost of the request from its grants. When
// the request has ended, the ledger charges the actual cost. For each account
//
//	charged + open reservations + unspent grants <= prepaid
//
// holds at all times. A router can only spend what the ledger has set aside for
// it, so a budget is not overspent even if routers report their spending late
// (escrow; O'Neil, "The Escrow Transactional Method", 1986). Budgets in tokens,
// which the gateway uses, are in package escrower.
//
// A Ledger is a deterministic state machine that does not read a clock. Each
// operation is idempotent: it may be delivered several times, late, and in any
// order relative to the operations of other routers, and takes effect once.
package bookkeeper

import (
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Intent announces a request. It is recorded before the request is sent to a
// target.
type Intent struct {
	request     identifier.Request
	account     string
	service     string
	workKind    string
	reservation pricer.Amount
}

// IntentConfig holds the fields of an intent.
type IntentConfig struct {
	// Request identifies the request.
	Request identifier.Request
	// Account is the ledger account, "organisation/budget".
	Account string
	// Service is the name of the service.
	Service string
	// WorkKind is the kind of work as named by the caller, or empty.
	WorkKind string
	// Reservation is the maximum cost of the request, in microcredits.
	Reservation pricer.Amount
}

// NewIntent returns an intent with the given fields.
func NewIntent(c IntentConfig) Intent {
	return Intent{c.Request, c.Account, c.Service, c.WorkKind, c.Reservation}
}

// Request returns the identifier of the request.
func (i Intent) Request() identifier.Request { return i.request }

// Account returns the account that the request draws on.
func (i Intent) Account() string { return i.account }

// Service returns the service that the request is for.
func (i Intent) Service() string { return i.service }

// WorkKind returns the kind of work.
func (i Intent) WorkKind() string { return i.workKind }

// Reservation returns the maximum cost of the request, in microcredits.
func (i Intent) Reservation() pricer.Amount { return i.reservation }

// Basis says how the amount of a charge was determined. It is sealed: Measured,
// Estimated and NotRun are its only variants.
type Basis interface {
	// String returns the name that is used in statements and messages.
	String() string
	isBasis()
}

// Measured means that the amount was computed from the usage that the target
// reported.
type Measured struct{}

// Estimated means that the usage is unknown and the charge is an upper bound.
type Estimated struct{}

// NotRun means that the request did not run, so its cost is zero.
type NotRun struct{}

func (Measured) String() string  { return "measured" }
func (Estimated) String() string { return "estimated" }
func (NotRun) String() string    { return "unrun" }

func (Measured) isBasis()  {}
func (Estimated) isBasis() {}
func (NotRun) isBasis()    {}

// Settlement closes an intent with the actual cost of the request. It contains
// the intent, so it can be applied even if the intent never arrived.
type Settlement struct {
	intent  Intent
	amount  pricer.Amount
	usage   pricer.Usage
	target  string
	basis   Basis
	endedAt time.Time
}

// SettlementConfig holds the fields of a settlement.
type SettlementConfig struct {
	// Intent is the intent that the settlement closes.
	Intent Intent
	// Amount is the cost in microcredits. The ledger charges at most the
	// reservation of the intent.
	Amount pricer.Amount
	// Usage is the number of tokens that the request consumed.
	Usage pricer.Usage
	// Target is the name of the target that ran the request.
	Target string
	// Basis says how the amount was determined.
	Basis Basis
	// EndedAt is when the request ended. The ledger only stores it for
	// statements.
	EndedAt time.Time
}

// NewSettlement returns a settlement with the given fields.
func NewSettlement(c SettlementConfig) Settlement {
	return Settlement{c.Intent, c.Amount, c.Usage, c.Target, c.Basis, c.EndedAt}
}

// Intent returns the intent that the settlement closes.
func (s Settlement) Intent() Intent { return s.intent }

// Amount returns the cost in microcredits.
func (s Settlement) Amount() pricer.Amount { return s.amount }

// Usage returns the number of tokens that the request consumed.
func (s Settlement) Usage() pricer.Usage { return s.usage }

// Target returns the name of the target that ran the request.
func (s Settlement) Target() string { return s.target }

// Basis returns how the amount was determined.
func (s Settlement) Basis() Basis { return s.basis }

// EndedAt returns when the request ended.
func (s Settlement) EndedAt() time.Time { return s.endedAt }

// Draw reports the state of a router's grants from one account and requests
// further grants.
type Draw struct {
	account  string
	sequence uint64
	required pricer.Amount
	demand   pricer.Amount
	returned pricer.Amount
}

// DrawConfig holds the fields of a draw.
type DrawConfig struct {
	// Account is the account to draw on.
	Account string
	// Sequence increases with each draw of the router on the account.
	Sequence uint64
	// Required is the unspent balance that the router needs to serve a waiting
	// request, in microcredits. It is zero if no request waits.
	Required pricer.Amount
	// Demand is the router's rate of spending, in microcredits per second.
	Demand pricer.Amount
	// Returned is the total that the router has returned so far, in
	// microcredits.
	Returned pricer.Amount
}

// NewDraw returns a draw with the given fields.
func NewDraw(c DrawConfig) Draw {
	return Draw{c.Account, c.Sequence, c.Required, c.Demand, c.Returned}
}

// Account returns the account to draw on.
func (d Draw) Account() string { return d.account }

// Sequence returns the sequence number of the draw among those of its router on
// the account.
func (d Draw) Sequence() uint64 { return d.sequence }

// Required returns the unspent balance that the router needs to serve a waiting
// request, in microcredits.
func (d Draw) Required() pricer.Amount { return d.required }

// Demand returns the router's rate of spending, in microcredits per second.
func (d Draw) Demand() pricer.Amount { return d.demand }

// Returned returns the total that the router has returned so far, in
// microcredits.
func (d Draw) Returned() pricer.Amount { return d.returned }

// Grant is the ledger's response to a draw.
type Grant struct {
	account    string
	granted    pricer.Amount
	returned   pricer.Amount
	maxUnspent pricer.Amount
	outcome    DrawOutcome
}

// Account returns the account that was drawn on.
func (g Grant) Account() string { return g.account }

// Granted returns the total that the router was ever granted, in microcredits.
func (g Grant) Granted() pricer.Amount { return g.granted }

// Returned returns the total that the ledger has taken back, in microcredits.
func (g Grant) Returned() pricer.Amount { return g.returned }

// MaxUnspent returns the maximum unspent amount, in microcredits, that the
// router should hold. The router should return what exceeds the limit.
func (g Grant) MaxUnspent() pricer.Amount { return g.maxUnspent }

// Outcome returns whether the grants cover the required balance.
func (g Grant) Outcome() DrawOutcome { return g.outcome }

// DrawOutcome says whether the router's grants cover the balance that a draw
// requires. It is sealed: Covered, Pending and Exhausted are its only variants.
type DrawOutcome interface{ isDrawOutcome() }

// Covered means that the router holds the required balance.
type Covered struct{}

// Pending means that the budget may cover the required balance once other
// routers have returned grants or settled requests.
type Pending struct{}

// Exhausted means that the budget cannot cover the required balance.
type Exhausted struct{}

func (Covered) isDrawOutcome()   {}
func (Pending) isDrawOutcome()   {}
func (Exhausted) isDrawOutcome() {}

// Charge is the entry of one request in an account.
type Charge struct {
	request  identifier.Request
	service  string
	workKind string
	target   string
	usage    pricer.Usage
	amount   pricer.Amount
	basis    Basis
	endedAt  time.Time
}

// Request returns the request that was charged.
func (c Charge) Request() identifier.Request { return c.request }

// Service returns the service that was used.
func (c Charge) Service() string { return c.service }

// WorkKind returns the kind of work.
func (c Charge) WorkKind() string { return c.workKind }

// Target returns the target that ran the request.
func (c Charge) Target() string { return c.target }

// Usage returns the number of tokens that the request consumed.
func (c Charge) Usage() pricer.Usage { return c.usage }

// Amount returns the cost of the request in microcredits.
func (c Charge) Amount() pricer.Amount { return c.amount }

// Basis returns how the amount was determined.
func (c Charge) Basis() Basis { return c.basis }

// EndedAt returns when the request ended.
func (c Charge) EndedAt() time.Time { return c.endedAt }

// Holding is the unspent part of the grants of one router from an account.
type Holding struct {
	router  identifier.Process
	unspent pricer.Amount
	retired bool
}

// Router returns the router process.
func (h Holding) Router() identifier.Process { return h.router }

// Unspent returns the amount that the router can still reserve, in
// microcredits.
func (h Holding) Unspent() pricer.Amount { return h.unspent }

// Retired reports whether the router has been retired. Its grants stay set
// aside until they are proved unspent.
func (h Holding) Retired() bool { return h.retired }

// Statement is a summary of one account: its balances, the holdings of routers
// and the latest charges. All amounts are in microcredits.
type Statement struct {
	holdings       []Holding
	account        string
	prepaid        pricer.Amount
	charged        pricer.Amount
	reserved       pricer.Amount
	unspent        pricer.Amount
	broughtForward pricer.Amount
	charges        []Charge
}

// Account returns the name of the account.
func (s Statement) Account() string { return s.account }

// Prepaid returns the absolute prepaid total.
func (s Statement) Prepaid() pricer.Amount { return s.prepaid }

// Charged returns the sum of all charges, including those no longer listed.
func (s Statement) Charged() pricer.Amount { return s.charged }

// Reserved returns the sum of the open reservations known to the ledger.
func (s Statement) Reserved() pricer.Amount { return s.reserved }

// Unspent returns the amount that routers can still reserve from their grants.
func (s Statement) Unspent() pricer.Amount { return s.unspent }

// Free returns the part of the prepaid total that is neither charged nor
// granted.
func (s Statement) Free() pricer.Amount { return s.prepaid - s.charged - s.reserved - s.unspent }

// BroughtForward returns the sum of the charges that are no longer listed.
func (s Statement) BroughtForward() pricer.Amount { return s.broughtForward }

// Holdings returns the holding of each router.
func (s Statement) Holdings() []Holding { return s.holdings }

// Charges returns the listed charges, oldest first.
func (s Statement) Charges() []Charge { return s.charges }
