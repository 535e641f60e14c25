package admitter

import (
	"fmt"
	"net/http"
	"time"

	"radishshed.example/radishshed/pkg/protocol/classifier"
)

// Kind is a kind of refusal. Its value is the error code that callers receive.
type Kind string

// The kinds of refusals.
const (
	Unauthorised       Kind = "unauthorised"
	BadRequest         Kind = "badRequest"
	RequestTooLarge    Kind = "requestTooLarge"
	UnknownService     Kind = "unknownService"
	KeyRequired        Kind = "idempotencyKeyRequired"
	KeyExpired         Kind = "idempotencyKeyExpired"
	KeyReused          Kind = "idempotencyKeyReused"
	KeyInUse           Kind = "idempotencyKeyInUse"
	ResponseNotStored  Kind = "answerNoLongerKept"
	BudgetExceeded     Kind = "budgetExceeded"
	NoTarget           Kind = "noTarget"
	Overloaded         Kind = "overloaded"
	TargetsLimited     Kind = "targetsLimited"
	ControlUnreachable Kind = "controlUnreachable"
	Starting           Kind = "starting"
	Stopping           Kind = "stopping"
	MemoryFull         Kind = "memoryFull"
	BodyNotInTime      Kind = "bodyNotInTime"
	Quarantined        Kind = "requestQuarantined"
	TargetFailed       Kind = "targetFailed"
	TargetTimeout      Kind = "targetTimeout"
)

// refusalResponse holds the parts of the HTTP response for a kind of refusal.
type refusalResponse struct {
	status     int
	errorType  string // error type of the OpenAI API, as clients expect it
	retryAfter time.Duration
}

var refusalResponses = map[Kind]refusalResponse{
	Unauthorised:       {http.StatusUnauthorized, "authentication_error", 0},
	BadRequest:         {http.StatusBadRequest, "invalid_request_error", 0},
	RequestTooLarge:    {http.StatusRequestEntityTooLarge, "invalid_request_error", 0},
	UnknownService:     {http.StatusNotFound, "invalid_request_error", 0},
	KeyRequired:        {http.StatusBadRequest, "invalid_request_error", 0},
	KeyExpired:         {http.StatusBadRequest, "invalid_request_error", 0},
	KeyReused:          {http.StatusUnprocessableEntity, "invalid_request_error", 0},
	KeyInUse:           {http.StatusConflict, "conflict_error", 2 * time.Second},
	ResponseNotStored:  {http.StatusConflict, "conflict_error", 0},
	BudgetExceeded:     {http.StatusPaymentRequired, "insufficient_quota", 0},
	NoTarget:           {http.StatusServiceUnavailable, "server_error", 2 * time.Second},
	Overloaded:         {http.StatusTooManyRequests, "rate_limit_error", 2 * time.Second},
	TargetsLimited:     {http.StatusServiceUnavailable, "server_error", time.Second},
	ControlUnreachable: {http.StatusServiceUnavailable, "server_error", 2 * time.Second},
	Starting:           {http.StatusServiceUnavailable, "server_error", time.Second},
	Stopping:           {http.StatusServiceUnavailable, "server_error", time.Second},
	MemoryFull:         {http.StatusServiceUnavailable, "server_error", time.Second},
	BodyNotInTime:      {http.StatusRequestTimeout, "invalid_request_error", 0},
	Quarantined:        {http.StatusUnprocessableEntity, "invalid_request_error", 0},
	TargetFailed:       {http.StatusBadGateway, "server_error", 0},
	TargetTimeout:      {http.StatusGatewayTimeout, "server_error", 0},
}

// Refusal is an error that is returned to the caller.
type Refusal struct {
	kind    Kind
	verdict classifier.Verdict
	message string
	retryAt time.Time // if set, when the caller may retry
}

// Refuse returns a refusal of a request that was not run.
func Refuse(kind Kind, format string, args ...any) *Refusal {
	return RefuseWith(classifier.NotRun{}, kind, format, args...)
}

// RefuseWith returns a refusal with the given verdict.
func RefuseWith(verdict classifier.Verdict, kind Kind, format string, args ...any) *Refusal {
	return &Refusal{kind: kind, verdict: verdict, message: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the message.
func (r *Refusal) Error() string { return string(r.kind) + ": " + r.message }

// Kind returns the kind of refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// Verdict returns the verdict, which says whether the request may have run.
func (r *Refusal) Verdict() classifier.Verdict { return r.verdict }

// Message returns the message for the caller.
func (r *Refusal) Message() string { return r.message }

// Status returns the HTTP status.
func (r *Refusal) Status() int { return refusalResponses[r.kind].status }

// ErrorType returns the error type of the OpenAI API, as clients expect it.
func (r *Refusal) ErrorType() string { return refusalResponses[r.kind].errorType }

// WithRetryAt returns the refusal with the moment at which the caller may retry.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	next := *r
	next.retryAt = at
	return &next
}

// RetryAfter returns the delay after which the caller may retry, or zero if the response
// suggests none.
func (r *Refusal) RetryAfter() time.Duration {
	usual := refusalResponses[r.kind].retryAfter
	if r.retryAt.IsZero() {
		return usual
	}
	return max(usual, time.Until(r.retryAt))
}
