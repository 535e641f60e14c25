// Package applier implements the state machine behind the replicated log. It
// applies commands to the archive of tickets, the ledgers, the table of claims,
// the routing catalogue and the set of evacuated data centres.
//
// The state machine is deterministic: the same commands in the same order lead
// to the same state on every control VM. Each command carries its time. The
// time of the state machine never runs backwards.
package applier

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/escrower"
	"radishshed.example/radishshed/pkg/state/evacuator"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Config configures the state machine.
type Config struct {
	// Ledger configures the ledger.
	Ledger bookkeeper.Config
	// Claims configures the table of claims.
	Claims claimer.Config
}

// State is the replicated state of control. It is not safe for concurrent use.
type State struct {
	config  Config
	now     time.Time
	archive *archiver.Archive
	ledger  *bookkeeper.Ledger
	claims  *claimer.Table

	catalogue cataloguer.Record
	escrow    *escrower.Ledger

	evacuations evacuator.Set
}

// New returns the initial state, before any command.
func New(config Config) *State {
	return &State{
		config:  config,
		archive: &archiver.Archive{},
		ledger:  bookkeeper.New(config.Ledger),
		claims:  claimer.New(config.Claims),
		escrow:  escrower.New(),
	}
}

// Archive returns the archive of tickets.
func (s *State) Archive() *archiver.Archive { return s.archive }

// Ledger returns the ledger of prepaid budgets.
func (s *State) Ledger() *bookkeeper.Ledger { return s.ledger }

// Claims returns the table of idempotency key claims.
func (s *State) Claims() *claimer.Table { return s.claims }

// Apply applies a command that was proposed at the given time.
func (s *State) Apply(command Command, at time.Time) Result {
	if at.After(s.now) {
		s.now = at
	}
	switch c := command.(type) {
	case SubmitTicket:
		return TicketResult{s.submit(c.ticket)}
	case BeginLowering:
		s.ledger.BeginLowering(c.account, c.total)
		return Done{}
	case CancelLowering:
		s.ledger.CancelLowering(c.account)
		return Done{}
	case Retire:
		s.ledger.Retire(c.router)
		return Done{}
	case Batch:
		return s.applyBatch(c)
	case SubmitCatalogue:
		return s.submitCatalogue(c.record)
	case ReportSpending:
		response, err := s.escrow.Apply(c.report, at)
		return SpendingResult{response, err}
	case Evacuate:
		return s.evacuate(c.order)
	default:
		panic(fmt.Sprintf("applier: unknown command %T", command))
	}
}

// CheckTicket returns the outcome that submitting the ticket would have.
func (s *State) CheckTicket(t archiver.Ticket) archiver.SubmitOutcome {
	outcome := s.archive.Check(t)
	if _, ok := outcome.(archiver.Accepted); !ok {
		return outcome
	}
	for account, total := range s.PrepaidTotals(t) {
		if err := s.ledger.CheckPrepaid(account, total); err != nil {
			return archiver.NewInvalid(err.Error())
		}
	}
	return outcome
}

// PrepaidTotals returns the prepaid totals of all accounts of the organisations
// that the ticket lists. A budget that the ticket removes has a total of zero.
func (s *State) PrepaidTotals(t archiver.Ticket) map[string]pricer.Amount {
	totals := map[string]pricer.Amount{}
	listed := map[string]bool{}
	for _, o := range t.Organisations() {
		listed[o.Name()] = true
	}
	for _, o := range s.archive.Current().Organisations() {
		if listed[o.Name()] {
			for _, b := range o.Budgets() {
				totals[archiver.AccountName(o.Name(), b.Name())] = 0
			}
		}
	}
	for _, o := range t.Organisations() {
		for _, b := range o.Budgets() {
			totals[archiver.AccountName(o.Name(), b.Name())] = b.Prepaid()
		}
	}
	return totals
}

func (s *State) submit(t archiver.Ticket) archiver.SubmitOutcome {
	outcome := s.CheckTicket(t)
	if _, ok := outcome.(archiver.Accepted); !ok {
		return outcome
	}
	for account, total := range s.PrepaidTotals(t) {
		if err := s.ledger.SetPrepaid(account, total); err != nil {
			panic(err) // CheckTicket has accepted the same total above
		}
	}
	for _, process := range t.ReleasedProcesses() {
		s.ledger.Release(process)
	}
	return s.archive.Submit(t)
}

func (s *State) applyBatch(b Batch) BatchResult {
	s.claims.Expire(s.now)
	if b.register {
		_ = s.ledger.Register(b.router) // a retired router is refused below
	}
	for _, intent := range b.replicatedIntents {
		_ = s.ledger.OpenReplicated(intent) // fails if the request is closed or its router removed
	}
	for _, closing := range b.closings {
		s.close(closing)
	}
	if !s.ledger.IsCurrent(b.router) {
		return BatchResult{refusal: bookkeeper.ErrRetired.Error()}
	}
	for _, retired := range b.swept {
		s.ledger.MarkSwept(retired, b.router)
	}
	if b.allIntentsReported {
		s.ledger.MarkAllIntentsReported(b.router, b.retirements)
	}
	result := BatchResult{retirements: s.ledger.Retirements()}
	if b.register {
		result.fences = s.ledger.Fences()
	}
	for _, draw := range b.draws {
		if grant, err := s.ledger.Draw(b.router, draw); err == nil {
			result.grants = append(result.grants, grant)
		}
	}
	for _, opening := range b.openings {
		result.openings = append(result.openings, s.open(opening))
	}
	s.ledger.MarkClosedBelow(b.router, b.closedBelow)
	if b.deregister {
		s.ledger.Deregister(b.router)
	}
	return result
}

func (s *State) open(o Opening) OpeningOutcome {
	if o.keyProbe {
		outcome := s.claims.Peek(o.key, o.fingerprint)
		if _, free := outcome.(claimer.Acquired); free {
			return Opened{}
		}
		return KeyInUse{outcome}
	}
	if !o.key.IsZero() {
		outcome := s.claims.Claim(o.key, o.fingerprint, o.intent.Request(), s.now)
		if _, ok := outcome.(claimer.Acquired); !ok {
			return KeyInUse{outcome}
		}
	}
	if err := s.ledger.Open(o.intent); err != nil {
		s.claims.Release(o.intent.Request())
		return Refused{err.Error()}
	}
	return Opened{}
}

// close settles a request and finishes or releases the claim of its key. Settling
// the request again has no effect on the ledger.
func (s *State) close(c Closing) {
	request := c.settlement.Intent().Request()
	err := s.ledger.Settle(c.settlement)
	if err != nil && !errors.Is(err, bookkeeper.ErrClosed) {
		// The ledger has removed the router, which it only does once all recorded
		// requests of the router are settled, or it does not accept the intent.
		return
	}
	if _, notRun := c.settlement.Basis().(bookkeeper.NotRun); notRun {
		s.claims.Release(request)
		return
	}
	s.claims.Finish(request, c.response, s.now)
}
