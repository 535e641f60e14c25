package applier

import (
	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Command changes the state. It is sealed: SubmitTicket,
// BeginLowering, CancelLowering, Retire, Batch, SubmitCatalogue,
// ReportSpending and Evacuate are its only variants.
type Command interface{ isCommand() }

// SubmitTicket submits a ticket, which comes into force if it is accepted.
type SubmitTicket struct{ ticket archiver.Ticket }

// BeginLowering makes routers return grants until the account can be lowered to
// the total.
type BeginLowering struct {
	account string
	total   pricer.Amount
}

// CancelLowering undoes BeginLowering.
type CancelLowering struct{ account string }

// Retire retires a router that has been unresponsive for longer than it may
// spend without control.
type Retire struct{ router identifier.Process }

func (SubmitTicket) isCommand()    {}
func (BeginLowering) isCommand()   {}
func (CancelLowering) isCommand()  {}
func (Retire) isCommand()          {}
func (Batch) isCommand()           {}
func (SubmitCatalogue) isCommand() {}
func (ReportSpending) isCommand()  {}

// NewSubmitTicket returns the command that submits the ticket.
func NewSubmitTicket(t archiver.Ticket) SubmitTicket { return SubmitTicket{t} }

// NewBeginLowering returns the command that makes routers return grants until
// the account can be lowered to the total.
func NewBeginLowering(account string, total pricer.Amount) BeginLowering {
	return BeginLowering{account, total}
}

// NewCancelLowering returns the command that undoes BeginLowering.
func NewCancelLowering(account string) CancelLowering { return CancelLowering{account} }

// NewRetire returns the command that retires the router.
func NewRetire(router identifier.Process) Retire { return Retire{router} }

// Opening records an intent. For a request with an idempotency key, it also
// claims the key.
type Opening struct {
	intent      bookkeeper.Intent
	key         claimer.Key
	fingerprint claimer.Fingerprint
	keyProbe    bool
}

// NewKeyProbe returns an opening that records no intent and claims no key. Its
// outcome says whether the key is in use: Opened means that the key is free, and
// KeyInUse that it is not.
func NewKeyProbe(i bookkeeper.Intent, key claimer.Key, fingerprint claimer.Fingerprint) Opening {
	return Opening{i, key, fingerprint, true}
}

// NewOpening returns an opening. The key is zero for a request without an
// idempotency key.
func NewOpening(i bookkeeper.Intent, key claimer.Key, fingerprint claimer.Fingerprint) Opening {
	return Opening{i, key, fingerprint, false}
}

// Intent returns the intent to record.
func (o Opening) Intent() bookkeeper.Intent { return o.intent }

// Closing settles a request. For a request with an idempotency key, it also
// stores the response.
type Closing struct {
	settlement bookkeeper.Settlement
	response   claimer.Response
}

// NewClosing returns a closing. The response is zero if it is not to be stored.
func NewClosing(s bookkeeper.Settlement, response claimer.Response) Closing {
	return Closing{s, response}
}

// Settlement returns the settlement.
func (c Closing) Settlement() bookkeeper.Settlement { return c.settlement }

// Batch holds everything that a router reports to control in one message.
type Batch struct {
	router             identifier.Process
	register           bool
	closedBelow        uint64
	openings           []Opening
	closings           []Closing
	draws              []bookkeeper.Draw
	replicatedIntents  []bookkeeper.Intent
	swept              []identifier.Process
	allIntentsReported bool
	deregister         bool
	retirements        uint64
}

// BatchConfig holds the fields of a batch.
type BatchConfig struct {
	// Router is the process that reports.
	Router identifier.Process
	// Register makes the process the current router of its VM.
	Register bool
	// ClosedBelow is the sequence number below which the router has settled all
	// its requests and the ledger has acknowledged them.
	ClosedBelow uint64
	// ReplicatedIntents (below), Closings, Draws and Openings are applied in this
	// order. The first two are applied even if the router has been retired.
	Closings []Closing
	Draws    []bookkeeper.Draw
	Openings []Opening
	// ReplicatedIntents are intents that were replicated while their routers
	// could not reach control: those of other routers of which this router
	// stores a replica, and its own.
	ReplicatedIntents []bookkeeper.Intent
	// Swept are retired processes of which this router stores no other intents
	// than those in ReplicatedIntents, and from which it accepts no further
	// ones.
	Swept []identifier.Process
	// AllIntentsReported says that, with this batch, control knows all open
	// requests of the router.
	AllIntentsReported bool
	// Deregister says that the router stops after this batch. A router that sets
	// Deregister must also set AllIntentsReported, which is not checked.
	Deregister bool
	// Retirements is the number of retirements in the newest result that the
	// router has received.
	Retirements uint64
}

// NewBatch returns a batch with the given fields.
func NewBatch(c BatchConfig) Batch {
	return Batch{
		router:             c.Router,
		register:           c.Register,
		closedBelow:        c.ClosedBelow,
		openings:           c.Openings,
		closings:           c.Closings,
		draws:              c.Draws,
		replicatedIntents:  c.ReplicatedIntents,
		swept:              c.Swept,
		allIntentsReported: c.AllIntentsReported,
		deregister:         c.Deregister,
		retirements:        c.Retirements,
	}
}

// Router returns the process that reports.
func (b Batch) Router() identifier.Process { return b.router }

// Draws returns the draws of the batch.
func (b Batch) Draws() []bookkeeper.Draw { return b.draws }

// OpeningOutcome is the outcome of an opening. It is sealed: Opened, Refused
// and KeyInUse are its only variants.
type OpeningOutcome interface{ isOpeningOutcome() }

// Opened means that the request may be sent.
type Opened struct{}

// Refused means that the request must not be sent.
type Refused struct{ reason string }

// KeyInUse means that the idempotency key could not be claimed. The outcome of
// the claim says whether the request with the key is running, has finished, or
// has other contents.
type KeyInUse struct{ outcome claimer.Outcome }

func (Opened) isOpeningOutcome()   {}
func (Refused) isOpeningOutcome()  {}
func (KeyInUse) isOpeningOutcome() {}

// NewRefused returns the outcome of a refused opening.
func NewRefused(reason string) Refused { return Refused{reason} }

// Reason returns why the request must not be sent.
func (r Refused) Reason() string { return r.reason }

// Outcome returns the outcome of the claim.
func (c KeyInUse) Outcome() claimer.Outcome { return c.outcome }

// BatchResult is the outcome of a batch. Its openings and grants are in the
// order of the openings and draws of the batch.
type BatchResult struct {
	fences  []identifier.Process
	refusal string

	retirements uint64

	openings []OpeningOutcome
	grants   []bookkeeper.Grant
}

// Refusal returns why the batch was refused, or "". The closings and replicated
// intents of a refused batch have been applied.
func (r BatchResult) Refusal() string { return r.refusal }

// Retirements returns the number of processes that had been retired when the
// batch was applied.
func (r BatchResult) Retirements() uint64 { return r.retirements }

// Fences returns, for a batch that registers its router, the newest retired
// process of each VM.
func (r BatchResult) Fences() []identifier.Process { return r.fences }

// Openings returns the outcomes of the openings.
func (r BatchResult) Openings() []OpeningOutcome { return r.openings }

// Grants returns the grants for the draws. A draw on an unknown account has no
// grant.
func (r BatchResult) Grants() []bookkeeper.Grant { return r.grants }

// Result is the outcome of a command. It is sealed: TicketResult, BatchResult,
// CatalogueResult, SpendingResult, EvacuationResult and Done are its only
// variants.
type Result interface{ isResult() }

// TicketResult is the outcome of SubmitTicket.
type TicketResult struct{ outcome archiver.SubmitOutcome }

// Done is the result of commands that cannot fail.
type Done struct{}

func (TicketResult) isResult() {}
func (BatchResult) isResult()  {}
func (Done) isResult()         {}

// Outcome returns whether the ticket was accepted.
func (t TicketResult) Outcome() archiver.SubmitOutcome { return t.outcome }

// Account returns the name of the account to lower.
func (l BeginLowering) Account() string { return l.account }
