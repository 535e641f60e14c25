package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/listener"
	"radishshed.example/radishshed/internal/operator"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
)

const (
	maxTicketBytes = 64 << 20
	// loweringTimeout is how long a ticket that lowers a budget waits until
	// routers have returned enough of their grants.
	loweringTimeout      = 4 * time.Second
	loweringPollInterval = 100 * time.Millisecond
)

// operatorRoutes returns the HTTP handler of the operator address. It serves the
// routes for operators and those that Config.Routes adds.
func (c *Controller) operatorRoutes() http.Handler {
	routes := chi.NewRouter()
	operator.Mount(routes, operator.Config{
		IsOperatorKey: c.isOperatorKey,
		Ready:         func() bool { return !c.stopping.Load() && !c.status.Load().leader.IsZero() },
		Metrics:       c.metrics,
		Timeline:      c.timeline,
	})
	routes.Group(func(guarded chi.Router) {
		guarded.Use(operator.RequireOperatorKey(c.isOperatorKey))
		guarded.Post("/tickets", c.serveSubmit)
		guarded.Get("/tickets", c.serveTickets)
		guarded.Get("/tickets/{number}", c.serveTicket)
		guarded.Get("/accounts/{organisation}", c.serveAccounts)
		guarded.Get("/status", c.serveStatus)
	})
	if c.routes != nil {
		c.routes(routes, c)
	}
	return routes
}

func (c *Controller) isOperatorKey(hash [32]byte) bool {
	return c.settings.OperatorCredentials().AdmitsOperator(hash) || c.configuration.Load().Credentials().AdmitsOperator(hash)
}

func (c *Controller) serveSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := listener.ReadBody(w, r, maxTicketBytes)
	if err != nil {
		status, reason := listener.BodyStatus(err)
		if status == http.StatusRequestEntityTooLarge {
			reason = "ticketTooLarge"
		}
		operator.WriteError(w, status, reason, err.Error())
		return
	}
	ticket, err := archiver.Decode(body)
	if err != nil {
		operator.WriteError(w, http.StatusUnprocessableEntity, "ticketInvalid", err.Error())
		return
	}
	submission, err := c.submit(r.Context(), ticket)
	if err != nil {
		c.writeError(w, err)
		return
	}
	c.log.Info("ticket submitted", zap.Uint64("number", ticket.Number()), zap.String("outcome", outcomeName(submission)))
	writeSubmission(w, ticket, submission)
}

// submit puts the ticket into force. If the ticket lowers budgets, submit first
// recalls grants. If not enough of them is returned in time, the ticket is
// refused with a message that states the amounts.
func (c *Controller) submit(ctx context.Context, ticket archiver.Ticket) (archiver.SubmitOutcome, error) {
	var checked archiver.SubmitOutcome
	var lower []applier.BeginLowering
	deadline := time.Now().Add(loweringTimeout)
	for {
		err := c.query(ctx, true, func(s *applier.State) {
			checked = s.CheckTicket(ticket)
			lower = requiredLowerings(s, ticket)
		})
		if err != nil {
			return nil, err
		}
		if len(lower) == 0 || time.Now().After(deadline) {
			break
		}
		for _, command := range lower {
			if _, err := c.propose(ctx, command); err != nil {
				return nil, err
			}
		}
		time.Sleep(loweringPollInterval)
	}
	if _, ok := checked.(archiver.Accepted); !ok {
		return checked, c.cancelLowering(ctx, lower)
	}
	result, err := c.propose(ctx, applier.NewSubmitTicket(ticket))
	if err != nil {
		return nil, err
	}
	return result.(applier.TicketResult).Outcome(), nil
}

// requiredLowerings returns a BeginLowering command for each account of which
// grants must be returned before the ticket can be accepted.
func requiredLowerings(s *applier.State, ticket archiver.Ticket) []applier.BeginLowering {
	if _, ok := s.Archive().Check(ticket).(archiver.Accepted); !ok {
		return nil
	}
	var lower []applier.BeginLowering
	for account, total := range s.PrepaidTotals(ticket) {
		statement, err := s.Ledger().Statement(account)
		if err != nil || s.Ledger().CheckPrepaid(account, total) == nil {
			continue
		}
		if total >= statement.Charged() {
			lower = append(lower, applier.NewBeginLowering(account, total))
		}
	}
	return lower
}

func (c *Controller) cancelLowering(ctx context.Context, lower []applier.BeginLowering) error {
	for _, l := range lower {
		if _, err := c.propose(ctx, applier.NewCancelLowering(l.Account())); err != nil {
			return err
		}
	}
	return nil
}

func outcomeName(submission archiver.SubmitOutcome) string {
	switch submission.(type) {
	case archiver.Accepted:
		return "accepted"
	case archiver.AlreadyAccepted:
		return "repeated"
	case archiver.NumberTaken:
		return "numberTaken"
	case archiver.NumberTooLow:
		return "numberTooLow"
	default:
		return "invalid"
	}
}

func writeSubmission(w http.ResponseWriter, ticket archiver.Ticket, submission archiver.SubmitOutcome) {
	switch s := submission.(type) {
	case archiver.Accepted, archiver.AlreadyAccepted:
		operator.WriteJSON(w, map[string]any{
			"outcome": outcomeName(s), "number": ticket.Number(), "hash": archiver.HashTicket(ticket),
		})
	case archiver.NumberTaken:
		operator.WriteError(w, http.StatusConflict, "numberTaken",
			"another ticket with this number is in force; its hash is "+s.Hash())
	case archiver.NumberTooLow:
		operator.WriteError(w, http.StatusConflict, "numberTooLow",
			"ticket "+strconv.FormatUint(s.Newest(), 10)+" is in force: use a higher number")
	case archiver.Invalid:
		operator.WriteError(w, http.StatusUnprocessableEntity, "ticketInvalid", s.Reason())
	}
}

func (c *Controller) serveTickets(w http.ResponseWriter, r *http.Request) {
	type summary struct {
		Number  uint64 `json:"number"`
		Hash    string `json:"hash"`
		Comment string `json:"comment"`
	}
	summaries := []summary{}
	err := c.query(r.Context(), true, func(s *applier.State) {
		for _, t := range s.Archive().Tickets() {
			summaries = append(summaries, summary{t.Number(), archiver.HashTicket(t), t.Comment()})
		}
	})
	if err != nil {
		c.writeError(w, err)
		return
	}
	operator.WriteJSON(w, map[string]any{"tickets": summaries})
}

func (c *Controller) serveTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(chi.URLParam(r, "number"), 10, 64)
	if err != nil {
		operator.WriteError(w, http.StatusBadRequest, "badNumber", "the ticket's number must be a whole number")
		return
	}
	var ticket archiver.Ticket
	var inForce archiver.Configuration
	found := false
	err = c.query(r.Context(), true, func(s *applier.State) {
		ticket, found = s.Archive().Ticket(number)
		inForce, _ = s.Archive().ConfigurationAt(number)
	})
	if err != nil {
		c.writeError(w, err)
		return
	}
	if !found {
		operator.WriteError(w, http.StatusNotFound, "noSuchTicket", "no ticket with this number was accepted")
		return
	}
	operator.WriteJSON(w, map[string]any{
		"ticket":  json.RawMessage(archiver.Encode(ticket)),
		"hash":    archiver.HashTicket(ticket),
		"inForce": json.RawMessage(archiver.Encode(inForce.Flatten())),
	})
}

func (c *Controller) serveAccounts(w http.ResponseWriter, r *http.Request) {
	organisation := chi.URLParam(r, "organisation")
	var statements []bookkeeper.Statement
	err := c.query(r.Context(), true, func(s *applier.State) {
		for _, name := range s.Ledger().Accounts() {
			if operator.OrganisationOf(name) != organisation {
				continue
			}
			if statement, err := s.Ledger().Statement(name); err == nil {
				statements = append(statements, statement)
			}
		}
	})
	if err != nil {
		c.writeError(w, err)
		return
	}
	if len(statements) == 0 {
		operator.WriteError(w, http.StatusNotFound, "noSuchOrganisation", "no ticket has created a budget of this organisation")
		return
	}
	operator.WriteJSON(w, operator.StatementsToJSON(statements))
}

func (c *Controller) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := c.status.Load()
	evacuated := c.evacuations.Load()
	var voters, learners []string
	for _, p := range s.membership.Voters() {
		voters = append(voters, p.String())
	}
	for _, p := range s.membership.Learners() {
		learners = append(learners, p.String())
	}
	operator.WriteJSON(w, map[string]any{
		"vm":          c.settings.VM(),
		"dataCentre":  c.settings.DataCentre(),
		"process":     c.member.String(),
		"role":        s.role.String(),
		"term":        s.term,
		"leader":      s.leader.VM(),
		"commitIndex": s.commitIndex,
		"voters":      voters,
		"learners":    learners,
		"ticket":      c.configuration.Load().Number(),
		"peers":       operator.DescribePeers(c.endpoint.Peers()),
		"entries":     operator.EntryKeys(c.disseminator.Live()),

		"evacuated":          evacuated.DataCentres(),
		"evacuationRevision": evacuated.Revision(),
	})
}

// writeError writes the error of a query or command as an HTTP response.
func (c *Controller) writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errNotLeader):
		operator.WriteError(w, http.StatusMisdirectedRequest, "notLeader", "the leader is "+c.status.Load().leader.VM())
	case errors.Is(err, errInDoubt):
		operator.WriteError(w, http.StatusServiceUnavailable, "inDoubt", err.Error()+"; submit the same ticket again")
	default:
		operator.WriteError(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}
