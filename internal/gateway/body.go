package gateway

import (
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/bodyreader"
	"radishshed.example/radishshed/internal/listener"
)

const (
	defaultMaxBodyBytes = 4 << 20
	// memoryRetryAfter is the Retry-After value of a request for whose body no memory is left.
	memoryRetryAfter = 250 * time.Millisecond
	// discardTime limits how long the rest of a refused body is read.
	discardTime = 2 * time.Second
)

// readBody reads the body of the request into memory that is reserved before it is filled. A
// request for whose body no memory is left is refused, and so is one whose sender makes no
// progress. Their connections are closed, since the rest of the body is not read.
func (q *request) readBody() *refusal {
	if q.http.ContentLength == 0 {
		return nil
	}
	limit := q.catalogue.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	q.beginReading()
	body, err := bodyreader.Read(bodyreader.Config{
		Source: q.http.Body, Length: q.http.ContentLength, MaxBytes: limit, Reservation: q.memory,
		MinBytesPerSecond: q.gateway.settings.MinBodyRate(), SetDeadline: q.extendReading,
	})
	if err != nil {
		q.memory.Release()
		q.unreadBytes = limit
		q.writer.Header().Set("Connection", "close")
		return q.bodyRefusal(err)
	}
	q.endReading()
	q.body = body
	return nil
}

// discardBody reads the rest of a body that was refused, without holding it. A caller that reads
// the response only after it has sent its body would otherwise find its connection reset, and not
// learn that the request has not run.
func (q *request) discardBody() {
	if q.unreadBytes == 0 || q.http.Header.Get("Expect") != "" {
		return // it was read, or it is not sent before the response
	}
	_ = http.NewResponseController(q.writer).Flush() // fails only if the caller has disconnected
	q.extendReading(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(q.http.Body, q.unreadBytes)) // the connection is closed in any case
}

// bodyRefusal returns the refusal of a request whose body was not read.
func (q *request) bodyRefusal(err error) *refusal {
	g := q.gateway
	status, reason := listener.BodyStatus(err)
	retryAfter := time.Duration(0)
	switch status {
	case http.StatusServiceUnavailable:
		retryAfter = memoryRetryAfter
		g.meters.bodiesOverBudget.Inc(1)
		g.clientLog.Warn("requests refused since no memory is left for their bodies", zap.Int64("length", q.http.ContentLength),
			zap.Int64("bytesReserved", g.budgeter.Used()), zap.Int64("budget", g.budgeter.Total()), zap.Int64("counter", g.meters.bodiesOverBudget.Count()))
	case http.StatusRequestTimeout:
		g.meters.sendersEnded.Inc(1)
		g.clientLog.Warn("requests refused since their bodies have not arrived in time", zap.Int64("length", q.http.ContentLength),
			zap.Duration("took", time.Since(q.arrivedAt)), zap.Int64("counter", g.meters.sendersEnded.Count()))
	}
	return newRefusal(status, reason, retryAfter)
}
