package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/exchanger"
	"radishshed.example/radishshed/internal/placer"
)

const (
	// maxBufferedBytes is the most of a response body that is buffered before the
	// first byte goes to the caller, so that a request whose response is truncated
	// can be retried. The rest of a longer body is relayed as it arrives.
	maxBufferedBytes = 128 << 10
	// maxBodyBytes limits the size of a response body that has no length. Such a body
	// may go on for ever.
	maxBodyBytes = 64 << 20
)

// errUnsigned means that a successful response does not carry the target's signature.
var errUnsigned = errors.New("the response is not signed by the target")

// errBodyTooLarge means that a response body without a length exceeds maxBodyBytes.
var errBodyTooLarge = errors.Errorf("the response body exceeds %d bytes", maxBodyBytes)

// relayWhole relays a response once its whole body has arrived. Of a body longer
// than maxBufferedBytes, only the beginning is buffered.
func (q *request) relayWhole(ctx context.Context, p *placer.Placement, response *exchanger.Response, metadata ResponseMetadata) result {
	success := response.Status() < http.StatusMultipleChoices
	if success && !metadata.Signed() {
		return q.interruptedResult(ctx, errUnsigned)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	if err != nil {
		return q.interruptedResult(ctx, err)
	}
	p.RecordFirstEvent(time.Now())
	if success {
		q.recordAnswered()
	}
	failed := response.Status() >= http.StatusInternalServerError
	r := result{outcome: placer.Served{}, status: response.Status()}
	if failed {
		r.outcome, r.err = placer.Failed{}, errors.Errorf("the target responded with status %d", response.Status())
		if r.retry = q.takeRetry(r); r.retry {
			return r
		}
	}
	r.responded = true
	if len(body) == maxBufferedBytes {
		q.relayLong(response, body)
		return r
	}
	q.copyHeader(response)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(response.Status())
	if _, err := q.writer.Write(body); err != nil {
		q.recordAbandoned()
		return r
	}
	q.recordServed(response.Status())
	return r
}

// relayLong relays the buffered beginning of a long body, and then the rest as it
// arrives.
func (q *request) relayLong(response *exchanger.Response, head []byte) {
	q.copyHeader(response)
	if length := response.Length(); length >= 0 {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.writer.WriteHeader(response.Status())
	_, err := q.writer.Write(head)
	if err == nil {
		err = q.copyBody(response)
	}
	if err != nil {
		q.abort(err)
	}
	q.recordServed(response.Status())
}

// copyBody relays the rest of a body. A body with a length ends by itself.
func (q *request) copyBody(response *exchanger.Response) error {
	if response.Length() >= 0 {
		_, err := io.Copy(q.writer, response)
		return err
	}
	n, err := io.Copy(q.writer, io.LimitReader(response, maxBodyBytes))
	if err == nil && n == maxBodyBytes {
		return errBodyTooLarge
	}
	return err
}

// copyHeader copies the header of a target's response to the caller's response.
func (q *request) copyHeader(response *exchanger.Response) {
	q.responseStarted = true
	q.timeToFirstByte = time.Since(q.arrivedAt)
	header := q.writer.Header()
	for name, values := range q.gateway.protocol.ResponseHeader(response.Header()) {
		header[name] = values
	}
	q.announceClose()
}

// recordServed records a response that was relayed completely.
func (q *request) recordServed(status int) {
	q.tracked.EndRun(time.Now())
	q.gateway.meters.served.Inc(1)
	q.gateway.meters.firstByte.Update(q.timeToFirstByte.Milliseconds())
	q.gateway.meters.duration.Update(time.Since(q.arrivedAt).Milliseconds())
	q.log("served", zap.Int("status", status), zap.Duration("firstByte", q.timeToFirstByte))
}

// recordAbandoned records a request whose caller has disconnected.
func (q *request) recordAbandoned() {
	q.gateway.meters.abandoned.Inc(1)
	q.log("abandoned")
	if q.responseStarted {
		panic(http.ErrAbortHandler)
	}
}

// log writes the log line of a request, with the request's outcome as the message.
func (q *request) log(event string, fields ...zap.Field) {
	number := uint64(0)
	if q.catalogue != nil {
		number = q.catalogue.Version()
	}
	q.gateway.log.Info(event, append([]zap.Field{
		zap.String("request", q.metadata.ID()), zap.String("route", q.route.Name()), zap.String("organisation", q.organisation),
		zap.String("target", q.target), zap.String("softwareVersion", q.softwareVersion), zap.String("resumes", q.metadata.config.ResumedStream), zap.String("afterEvent", q.resumeEventID()), zap.Int("attempts", q.attempts), zap.Uint64("catalogue", number),
		zap.Int64("reserved", q.reservation.total()), zap.Int("loans", len(q.reservation.loans)), zap.Int64("delivered", q.deliveredTokens), zap.Duration("expectedFirstEvent", q.expectedFirstEvent), zap.Duration("took", time.Since(q.arrivedAt)),
	}, fields...)...)
}
