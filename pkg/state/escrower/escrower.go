// Package escrower implements the ledger of prepaid token budgets.
//
// Routers spend tokens from grants that the ledger has allocated to them, and report
// totals a few times a second. For each organisation
//
//	settled + writtenOff + sum over routers of (granted - returned) <= prepaid
//
// holds unless the prepaid total has been lowered, so that no router spends tokens
// that the ledger has not allocated to it (escrow; O'Neil, "The Escrow Transactional
// Method", 1986).
//
// Besides its grant a router has a ceiling and an overrun rate, which it has reported
// and the ledger has recorded. The router spends up to the ceiling and, while control
// is unresponsive, exceeds the ceiling at the overrun rate for a limited time
// (Allowance). The ledger therefore charges a failed router with the most that it can
// have spent until its successor started, not with its whole grant. A router that is
// disconnected for longer sends its ceilings to witnesses, which are other routers,
// before it spends up to them. If that router fails, a witness can report the stored
// ceilings to the ledger.
//
// A Ledger is a deterministic state machine without a clock. Reports contain totals,
// so delayed and duplicate reports are harmless.
package escrower

import (
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// ErrFenced is returned for reports of a process that a newer incarnation on the same
// VM has replaced.
var ErrFenced = errors.New("a newer incarnation of this VM has reported")

// LineConfig holds the parts of a line. Amounts are in tokens, rates in tokens per
// second.
type LineConfig struct {
	// Organisation is the organisation whose budget the line reports on. Required.
	Organisation string
	// Spent is the total that the router has spent.
	Spent int64
	// Returned is the total that the router has returned.
	Returned int64
	// Ceiling is the highest total that the router may spend, if the ledger confirms it.
	Ceiling int64
	// OverrunRate is the rate at which the router may exceed the ceiling while control is
	// unresponsive, if the ledger confirms it.
	OverrunRate int64
	// Required is the unspent balance that the router requires for its open and waiting
	// requests, or zero if none waits.
	Required int64
	// Demand is the rate at which the router spends.
	Demand int64
}

// Line is the part of a report on one organisation.
type Line struct{ config LineConfig }

// NewLine returns a line.
func NewLine(c LineConfig) Line { return Line{c} }

// Organisation returns the organisation whose budget the line reports on.
func (l Line) Organisation() string { return l.config.Organisation }

// Spent returns the total that the router has spent, in tokens.
func (l Line) Spent() int64 { return l.config.Spent }

// ReportConfig holds the parts of a report.
type ReportConfig struct {
	// Router is the reporting process. Required.
	Router identifier.Process
	// Sequence increases with each report of the process.
	Sequence uint64
	// StartedAt and SentAt are times on the clock of the router's VM.
	StartedAt, SentAt time.Time
	// AckAge is the time from sending the last acknowledged report to SentAt.
	AckAge time.Duration
	// Final marks the final report of the process, which spends nothing afterwards.
	Final bool
	// Witnesses are the routers that store the ceilings of this one while it is
	// disconnected. Without witnesses it may then spend its whole grant.
	Witnesses []identifier.Process
	// WitnessRecords are the ceilings that this router stores for terminated routers.
	WitnessRecords []WitnessRecord
	// Lender reports whether other routers may borrow from this one.
	Lender bool
	// Lines are the organisations whose budgets the router uses.
	Lines []Line
}

// Report is a router's report to the ledger.
type Report struct{ config ReportConfig }

// NewReport returns a report.
func NewReport(c ReportConfig) Report { return Report{c} }

// Router returns the reporting process.
func (r Report) Router() identifier.Process { return r.config.Router }

// Sequence returns the sequence number of the report within its process.
func (r Report) Sequence() uint64 { return r.config.Sequence }

// Lines returns the lines of the report, one for each organisation.
func (r Report) Lines() []Line { return r.config.Lines }

// Grant is the response to a line. Amounts are in tokens, rates in tokens per second.
type Grant struct {
	organisation string
	granted      int64
	ceiling      int64
	overrunRate  int64
	maxUnspent   int64
	remaining    int64
	available    int64
}

// Organisation returns the organisation whose budget the grant is part of.
func (g Grant) Organisation() string { return g.organisation }

// Granted returns the total that has been granted to the router, including what it has
// returned.
func (g Grant) Granted() int64 { return g.granted }

// Ceiling returns the ceiling that is recorded for the router.
func (g Grant) Ceiling() int64 { return g.ceiling }

// OverrunRate returns the rate at which the router may exceed the ceiling while control
// is unresponsive.
func (g Grant) OverrunRate() int64 { return g.overrunRate }

// MaxUnspent returns the most that the router should hold unspent.
func (g Grant) MaxUnspent() int64 { return g.maxUnspent }

// Available returns the most that all routers together can still spend. It is Remaining
// less what terminated routers may have spent without reporting it.
func (g Grant) Available() int64 { return g.available }

// Remaining returns the most that the organisation can have left: the prepaid total
// less what routers have reported as spent.
func (g Grant) Remaining() int64 { return g.remaining }

// Response is the response to a report.
type Response struct {
	sequence       uint64
	grants         []Grant
	retirement     *Retirement
	queriedRouters []identifier.Process
}

// Retirement describes how the grants of a process were settled when a newer
// incarnation on its VM replaced it. Amounts are in tokens.
type Retirement struct {
	process    identifier.Process
	maxAckAge  time.Duration
	spent      int64
	writtenOff int64
	released   int64
}

// Process returns the replaced process.
func (r Retirement) Process() identifier.Process { return r.process }

// MaxAckAge returns an upper bound on the age of the last report that control had
// acknowledged when the process terminated.
func (r Retirement) MaxAckAge() time.Duration { return r.maxAckAge }

// Spent returns what the process had reported as spent.
func (r Retirement) Spent() int64 { return r.spent }

// WrittenOff returns what the process was charged in excess of Spent.
func (r Retirement) WrittenOff() int64 { return r.writtenOff }

// Released returns the part of the grants that became available to other routers.
func (r Retirement) Released() int64 { return r.released }

// Retirement describes how the grants of the replaced process were settled. It is nil if
// the report replaced no process. It is not encoded, so it is known only to the control
// process that applied the report.
func (r Response) Retirement() *Retirement { return r.retirement }

// Sequence returns the sequence number of the report.
func (r Response) Sequence() uint64 { return r.sequence }

// QueriedRouters returns the terminated routers whose stored ceilings the reporting
// router should send as a witness.
func (r Response) QueriedRouters() []identifier.Process { return r.queriedRouters }

// Grants returns a grant for each line of the report whose organisation exists.
func (r Response) Grants() []Grant { return r.grants }

// Statement is the account of an organisation. All amounts are tokens.
type Statement struct {
	organisation string
	prepaid      int64
	spent        int64
	writtenOff   int64
	held         int64
}

// Organisation returns the organisation that owns the account.
func (s Statement) Organisation() string { return s.organisation }

// Prepaid returns the prepaid total.
func (s Statement) Prepaid() int64 { return s.prepaid }

// Spent returns what routers have reported as spent.
func (s Statement) Spent() int64 { return s.spent }

// WrittenOff returns what failed routers may have spent without reporting it.
func (s Statement) WrittenOff() int64 { return s.writtenOff }

// Held returns what routers hold unspent.
func (s Statement) Held() int64 { return s.held }
