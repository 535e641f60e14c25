// Package messenger defines the messages that the processes of the fleet
// exchange.
//
// A router is retired when it deregisters, when a newer process registers on its
// VM, or when control has received no batch from it for too long.
package messenger

import (
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Prefixes of the keys under which processes publish, through the disseminator,
// the address at which they accept links. The name of the VM follows the prefix.
const (
	ControlAddressPrefix = "control/"
	GatewayAddressPrefix = "gateway/"
)

// The kinds of messages. A call is a message with a response; a notice has none.
// The values are sent on the wire.
const (
	// Replicate is a notice that carries a message of the replicated log.
	Replicate uint8 = iota + 1
	// Batch is a call that carries a router's batch. It returns a Response with
	// the result of the batch.
	Batch
	// ConfigurationRequest is a call for the configuration in force. It returns a
	// Response with a ticket that contains the whole configuration.
	ConfigurationRequest
	// ConfigurationNotice is a notice that carries a ConfigurationUpdate.
	ConfigurationNotice
	// Recall is a notice that asks a router to return part of a grant. It carries
	// a GrantRecall.
	Recall
	// Updates is a notice that carries updates of the disseminator.
	Updates
	// Join is a call that asks the leader to add the calling control VM to the
	// membership of the replicated log. It returns an empty Response.
	Join
	// OrphanedIntents is a notice that carries open intents of retired routers. It
	// asks a router to determine the outcome of these requests.
	OrphanedIntents
	// Sweep is a notice that carries the processes of retired routers. It asks a
	// router to refuse further intents of them and to send the intents that it has
	// stored for them to control.
	Sweep
	// StoreIntents is a call that asks a router to store intents of the calling
	// router, which cannot reach control. It returns nothing or an error.
	StoreIntents
	// CatalogueNotice is a notice that carries the number of the routing catalogue
	// in force.
	CatalogueNotice
	// CatalogueRequest is a call for the newest routing catalogue known to the
	// peer. It returns the record of the catalogue.
	CatalogueRequest
	// CatalogueSubmission is a call that asks control to put a catalogue into
	// force. It returns a Response with the number in force.
	CatalogueSubmission
	// ConfirmedCatalogueRequest is a call for the catalogue that a quorum of
	// control VMs has confirmed to be the newest. It returns a Response with the
	// record of the catalogue.
	ConfirmedCatalogueRequest
	// SpendingReport is a call that carries a router's report on token budgets. It
	// returns a Response with the ledger's response.
	SpendingReport
	// LoanRequest is a call that asks a router to reserve tokens for a request
	// that another router handles. It returns a Loan with the reserved tokens.
	LoanRequest
	// LoanReturn is a notice that carries a Loan with the tokens that the borrower
	// has spent.
	LoanReturn
	// WitnessRequest is a call that asks a router to store the ceilings of another
	// router. It returns nothing or an error.
	WitnessRequest
	// PrefillNotice is a notice that carries a Prefill.
	PrefillNotice
	// CrashNotice is a notice that carries ends of targets that a router has observed
	// (package quarantiner).
	CrashNotice
	// PermitCall is a call that asks a router for the permission to send one request to a
	// target that has a limit. It returns the answer (package limiter).
	PermitCall
	// StreamOrigins is a notice that carries the versions that began streams (package
	// originstorer).
	StreamOrigins
	// OriginCall is a call that asks which version began a stream. It returns the answer
	// (package originstorer).
	OriginCall
	// EvacuationOrder is a call that asks control to carry out an operator's order to begin
	// or to finish an evacuation. It returns a Response with the evacuated data centres.
	EvacuationOrder
	// EvacuationNotice is a notice that carries the evacuated data centres. It is sent only
	// after the first order.
	EvacuationNotice
)

// Response is a control VM's response to a call: either a result or a redirect to
// the leader. A redirect names no VM if no leader is known.
type Response struct {
	redirected bool
	leaderVM   string
	body       []byte
}

// NewResponse returns a response with a result.
func NewResponse(body []byte) Response { return Response{body: body} }

// NewRedirect returns a response that redirects the caller to the leader.
func NewRedirect(leaderVM string) Response { return Response{redirected: true, leaderVM: leaderVM} }

// Redirected reports whether the control VM did not handle the call because it
// is not the leader.
func (r Response) Redirected() bool { return r.redirected }

// LeaderVM returns the name of the leader's VM, or "" if no leader is known.
func (r Response) LeaderVM() string { return r.leaderVM }

// Body returns the result.
func (r Response) Body() []byte { return r.body }

type wireResponse struct {
	_          struct{} `cbor:",toarray"`
	Redirected bool
	LeaderVM   string
	Body       []byte
}

// EncodeResponse returns the CBOR encoding of a response.
func EncodeResponse(r Response) ([]byte, error) {
	return encoder.Marshal(wireResponse{Redirected: r.redirected, LeaderVM: r.leaderVM, Body: r.body})
}

// DecodeResponse is the inverse of EncodeResponse.
func DecodeResponse(data []byte) (Response, error) {
	var w wireResponse
	err := encoder.Unmarshal(data, &w)
	return Response{w.Redirected, w.LeaderVM, w.Body}, err
}

// ConfigurationUpdate carries the number of the configuration in force and, if a
// ticket was just accepted, that ticket. A receiver whose configuration has the
// previous number applies the ticket to it; one with an older configuration
// requests the whole configuration.
type ConfigurationUpdate struct {
	number    uint64
	previous  uint64
	ticket    archiver.Ticket
	hasTicket bool
}

// NewTicketUpdate returns an update with a ticket that applies to the configuration
// with the previous number.
func NewTicketUpdate(previous uint64, ticket archiver.Ticket) ConfigurationUpdate {
	return ConfigurationUpdate{ticket.Number(), previous, ticket, true}
}

// NewNumberUpdate returns an update with only the number in force.
func NewNumberUpdate(number uint64) ConfigurationUpdate { return ConfigurationUpdate{number: number} }

// Number returns the number in force.
func (u ConfigurationUpdate) Number() uint64 { return u.number }

// Previous returns the number of the configuration to which the ticket applies.
func (u ConfigurationUpdate) Previous() uint64 { return u.previous }

// Ticket returns the ticket, if the update carries one.
func (u ConfigurationUpdate) Ticket() (archiver.Ticket, bool) { return u.ticket, u.hasTicket }

type wireConfigurationUpdate struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Previous uint64
	Ticket   []byte
}

// EncodeConfigurationUpdate returns the CBOR encoding of an update.
func EncodeConfigurationUpdate(u ConfigurationUpdate) ([]byte, error) {
	w := wireConfigurationUpdate{Number: u.number, Previous: u.previous}
	if u.hasTicket {
		w.Ticket = archiver.Encode(u.ticket)
	}
	return encoder.Marshal(w)
}

// DecodeConfigurationUpdate is the inverse of EncodeConfigurationUpdate.
func DecodeConfigurationUpdate(data []byte) (ConfigurationUpdate, error) {
	var w wireConfigurationUpdate
	if err := encoder.Unmarshal(data, &w); err != nil {
		return ConfigurationUpdate{}, err
	}
	u := ConfigurationUpdate{number: w.Number, previous: w.Previous}
	if w.Ticket == nil {
		return u, nil
	}
	ticket, err := archiver.Decode(w.Ticket)
	if err == nil && ticket.Number() != w.Number {
		err = errors.New("malformed configuration update: its number differs from that of its ticket")
	}
	u.ticket, u.hasTicket = ticket, true
	return u, err
}

// GrantRecall asks a router to return the part of its grant of an account that
// exceeds an amount in microcredits.
type GrantRecall struct {
	account string
	keep    pricer.Amount
}

// NewGrantRecall returns a recall that lets the router keep at most the amount.
func NewGrantRecall(account string, keep pricer.Amount) GrantRecall {
	return GrantRecall{account, keep}
}

// Account returns the name of the account.
func (r GrantRecall) Account() string { return r.account }

// Keep returns the most that the router may keep, in microcredits.
func (r GrantRecall) Keep() pricer.Amount { return r.keep }

type wireGrantRecall struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Keep    int64
}

// EncodeGrantRecall returns the CBOR encoding of a recall.
func EncodeGrantRecall(r GrantRecall) ([]byte, error) {
	return encoder.Marshal(wireGrantRecall{Account: r.account, Keep: int64(r.keep)})
}

// DecodeGrantRecall is the inverse of EncodeGrantRecall.
func DecodeGrantRecall(data []byte) (GrantRecall, error) {
	var w wireGrantRecall
	if err := encoder.Unmarshal(data, &w); err != nil {
		return GrantRecall{}, err
	}
	if w.Keep < 0 {
		return GrantRecall{}, errors.New("malformed grant recall: negative amount")
	}
	return GrantRecall{w.Account, pricer.Amount(w.Keep)}, nil
}

// EncodeIntents returns the CBOR encoding of a list of intents.
func EncodeIntents(intents []bookkeeper.Intent) ([]byte, error) {
	wire := make([]bookkeeper.WireIntent, 0, len(intents))
	for _, i := range intents {
		wire = append(wire, bookkeeper.IntentToWire(i))
	}
	return encoder.Marshal(wire)
}

// DecodeIntents is the inverse of EncodeIntents.
func DecodeIntents(data []byte) ([]bookkeeper.Intent, error) {
	var wire []bookkeeper.WireIntent
	if err := encoder.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	intents := make([]bookkeeper.Intent, 0, len(wire))
	for _, w := range wire {
		i, err := bookkeeper.IntentFromWire(w)
		if err != nil {
			return nil, err
		}
		intents = append(intents, i)
	}
	return intents, nil
}

// EncodeProcesses returns the CBOR encoding of a list of processes.
func EncodeProcesses(processes []identifier.Process) ([]byte, error) {
	return encoder.Marshal(encoder.ProcessesToWire(processes))
}

// DecodeProcesses is the inverse of EncodeProcesses.
func DecodeProcesses(data []byte) ([]identifier.Process, error) {
	var wire []encoder.WireProcess
	err := encoder.Unmarshal(data, &wire)
	return encoder.ProcessesFromWire(wire), err
}

type wireCatalogueNumber struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// EncodeCatalogueNumber returns the CBOR encoding of a catalogue's number.
func EncodeCatalogueNumber(number uint64) ([]byte, error) {
	return encoder.Marshal(wireCatalogueNumber{Number: number})
}

// DecodeCatalogueNumber is the inverse of EncodeCatalogueNumber.
func DecodeCatalogueNumber(data []byte) (uint64, error) {
	var w wireCatalogueNumber
	err := encoder.Unmarshal(data, &w)
	return w.Number, err
}

// EncodeCatalogue returns the CBOR encoding of a catalogue's record.
func EncodeCatalogue(r cataloguer.Record) ([]byte, error) {
	return encoder.Marshal(cataloguer.RecordToWire(r))
}

// DecodeCatalogue is the inverse of EncodeCatalogue.
func DecodeCatalogue(data []byte) (cataloguer.Record, error) {
	var w cataloguer.WireRecord
	err := encoder.Unmarshal(data, &w)
	return cataloguer.RecordFromWire(w), err
}

// Loan describes a reservation that one router, the lender, makes for a request
// that another router, the borrower, handles. Depending on the message, its
// tokens are those requested, reserved or spent.
type Loan struct {
	id           uint64
	organisation string
	tokens       int64
}

// NewLoan returns a loan. The borrower chooses the identifier.
func NewLoan(id uint64, organisation string, tokens int64) Loan {
	return Loan{id, organisation, tokens}
}

// ID returns the identifier that the borrower has chosen.
func (l Loan) ID() uint64 { return l.id }

// Organisation returns the organisation that owns the budget.
func (l Loan) Organisation() string { return l.organisation }

// Tokens returns the number of tokens.
func (l Loan) Tokens() int64 { return l.tokens }

type wireLoan struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Organisation string
	Tokens       int64
}

// EncodeLoan returns the CBOR encoding of a loan.
func EncodeLoan(l Loan) ([]byte, error) {
	return encoder.Marshal(wireLoan{ID: l.id, Organisation: l.organisation, Tokens: l.tokens})
}

// DecodeLoan is the inverse of EncodeLoan.
func DecodeLoan(data []byte) (Loan, error) {
	var w wireLoan
	err := encoder.Unmarshal(data, &w)
	return Loan{w.ID, w.Organisation, w.Tokens}, err
}

// Prefill describes the prefill of a long prompt that a router has sent to a
// target.
type Prefill struct {
	target        string
	duration      time.Duration
	delaysStreams bool
}

// NewPrefill returns a prefill of the estimated duration on the target.
func NewPrefill(target string, duration time.Duration, delaysStreams bool) Prefill {
	return Prefill{target, duration, delaysStreams}
}

// Target returns the name of the target.
func (p Prefill) Target() string { return p.target }

// Duration returns the estimated duration of the prefill.
func (p Prefill) Duration() time.Duration { return p.duration }

// DelaysStreams reports whether the prefill delays the streams that run on the
// target.
func (p Prefill) DelaysStreams() bool { return p.delaysStreams }

type wirePrefill struct {
	_             struct{} `cbor:",toarray"`
	Target        string
	Milliseconds  int64
	DelaysStreams bool
}

// EncodePrefill returns the CBOR encoding of a prefill.
func EncodePrefill(p Prefill) ([]byte, error) {
	return encoder.Marshal(wirePrefill{Target: p.target, Milliseconds: p.duration.Milliseconds(), DelaysStreams: p.delaysStreams})
}

// DecodePrefill is the inverse of EncodePrefill.
func DecodePrefill(data []byte) (Prefill, error) {
	var w wirePrefill
	err := encoder.Unmarshal(data, &w)
	return Prefill{w.Target, time.Duration(w.Milliseconds) * time.Millisecond, w.DelaysStreams}, err
}
