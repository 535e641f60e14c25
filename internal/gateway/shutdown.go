package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/shutdownplanner"
)

// shutdownRetryAfter is the Retry-After value of a router that shuts down. Other routers take the
// request at once; the load balancer may need a moment to choose one of these.
const shutdownRetryAfter = 100 * time.Millisecond

// shutdownRefusal returns a refusal if the router shuts down and the request might not end before
// the process is killed.
func (q *request) shutdownRefusal() *refusal {
	now := time.Now()
	switch decision, longestRun := q.tracked.Decide(now, q.deadline); decision.(type) {
	case shutdownplanner.Accept:
		return nil
	case shutdownplanner.Refuse:
		q.tracked.SetRefused()
		return newRefusal(http.StatusServiceUnavailable, "routerStopping", shutdownRetryAfter,
			zap.Duration("longestRun", longestRun), zap.Duration("timeLeft", q.deadline.Sub(now)))
	default:
		panic(errors.Errorf("gateway: unknown decision %T", decision))
	}
}

// endsInTime reports whether another attempt can end before the process is killed.
func (q *request) endsInTime() bool {
	decision, _ := q.tracked.Decide(time.Now(), q.deadline)
	_, accepted := decision.(shutdownplanner.Accept)
	return accepted
}

// interrupt ends the request before its time, since the process is about to be killed.
func (q *request) interrupt(end context.CancelFunc) {
	end()
	q.readMutex.Lock()
	defer q.readMutex.Unlock()
	if q.readingBody {
		q.limitReading(time.Now())
	}
	q.readingBody = false // the limit is not extended any more
}

// beginReading makes reads from the caller fail after the request's deadline, or once the request
// is interrupted.
func (q *request) beginReading() {
	q.readMutex.Lock()
	defer q.readMutex.Unlock()
	q.readingBody = true
	q.limitReading(q.deadline)
}

// extendReading makes reads from the caller fail after a time, or after the request's deadline if
// that is earlier.
func (q *request) extendReading(until time.Time) {
	q.readMutex.Lock()
	defer q.readMutex.Unlock()
	if !q.readingBody {
		return // the request is interrupted
	}
	if until.After(q.deadline) {
		until = q.deadline
	}
	q.limitReading(until)
}

// endReading lifts the limit on reads from the caller.
func (q *request) endReading() {
	q.readMutex.Lock()
	defer q.readMutex.Unlock()
	q.readingBody = false
	q.limitReading(time.Time{})
}

func (q *request) limitReading(until time.Time) {
	if err := http.NewResponseController(q.writer).SetReadDeadline(until); err != nil {
		q.gateway.log.Warn("cannot limit the time for reading from a caller", recorder.Err(err))
	}
}

// announceClose makes the caller close the connection after the response if the router shuts
// down, so that its next request goes to another one.
func (q *request) announceClose() {
	if q.gateway.tracker.ShuttingDown() {
		q.writer.Header().Set("Connection", "close")
	}
}
