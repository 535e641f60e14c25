package spender

import (
	"time"
)

// Decision says whether a request may spend from the grants. It is sealed: Reserved,
// Insufficient and Exhausted are its only variants.
type Decision interface{ isDecision() }

// Reserved means that the tokens are reserved for the request.
type Reserved struct{}

// Insufficient means that this router's grant cannot cover the request. The budget
// may still cover it.
type Insufficient struct {
	disconnected  bool
	retryable     bool
	unsatisfiable bool
	unreserved    int64
	ackAge        time.Duration
}

// Exhausted means that the ledger has shown that the budget cannot cover the request.
type Exhausted struct {
	remaining int64
	ackAge    time.Duration
}

func (Reserved) isDecision()     {}
func (Insufficient) isDecision() {}
func (Exhausted) isDecision()    {}

// Disconnected reports whether the router is disconnected from control, so that waiting
// for a response of control is useless.
func (i Insufficient) Disconnected() bool { return i.disconnected }

// Retryable reports whether control or the witnesses may soon allow the router to
// spend more, so that a short wait is worthwhile.
func (i Insufficient) Retryable() bool { return i.retryable }

// Unsatisfiable reports whether all routers together cannot cover the request until
// the budget is raised.
func (i Insufficient) Unsatisfiable() bool { return i.unsatisfiable }

// Unreserved returns how many tokens the router can still reserve.
func (i Insufficient) Unreserved() int64 { return i.unreserved }

// AckAge returns the age of the last report that control has acknowledged.
func (i Insufficient) AckAge() time.Duration { return i.ackAge }

// Remaining returns the most that the organisation can have left, in tokens.
func (e Exhausted) Remaining() int64 { return e.remaining }

// AckAge returns the age of the last report that control has acknowledged.
func (e Exhausted) AckAge() time.Duration { return e.ackAge }
