package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/eventreader"
	"radishshed.example/radishshed/internal/exchanger"
	"radishshed.example/radishshed/internal/placer"
)

// errNoEvent means that a stream that ends with its connection has ended before its first
// event. The connections of a process that has ended are closed in the same way.
var errNoEvent = errors.New("the connection ended before the first event of the stream")

// relayStream relays the events of a stream, each once it has arrived completely.
func (q *request) relayStream(ctx context.Context, p *placer.Placement, response *exchanger.Response, metadata ResponseMetadata, stall *stallDetector) result {
	if !metadata.Signed() {
		return q.interruptedResult(ctx, errUnsigned)
	}
	events := eventreader.New(eventreader.Config{Source: response, MaxEventBytes: q.gateway.settings.MaxEventBytes()})
	flusher := http.NewResponseController(q.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && q.firstEventAt.IsZero() && !response.Framed() {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			q.recordAnswered()
			q.startStream(response)
			q.recordServed(response.Status())
			return result{outcome: placer.Served{}, responded: true, status: response.Status()}
		}
		if err != nil {
			return q.interruptedStreamResult(ctx, err, stall)
		}
		if !event.IsComment() {
			q.recordProgress(event, p, stall)
		}
		q.startStream(response)
		if _, err := q.writer.Write(event.Raw()); err != nil {
			return result{outcome: placer.Abandoned{}, err: err}
		}
		if events.HasNext() {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return result{outcome: placer.Abandoned{}, err: err}
		}
	}
}

// recordProgress records an event that is about to be sent to the caller.
func (q *request) recordProgress(event eventreader.Event, p *placer.Placement, stall *stallDetector) {
	now := time.Now()
	p.RecordFirstEvent(now)
	if q.firstEventAt.IsZero() {
		q.firstEventAt = now
	}
	if q.hasSurvivedAnswer(now) {
		q.recordAnswered()
	}
	stall.recordProgress()
	q.recordPath()
	if id := event.ID(); id != "" {
		q.lastEventID = id
	}
	q.countTokens()
}

// countTokens adds the output tokens of an event that is about to be sent to the caller.
func (q *request) countTokens() {
	engine, ok := q.service.Engine()
	if !ok {
		return
	}
	q.deliveredTokens = min(q.deliveredTokens+max(1, engine.TokensPerEvent), q.metadata.config.MaxOutputTokens)
}

// startStream sends the status line and the header to the caller unless they were sent
// before, by an earlier attempt whose stream this one resumes.
func (q *request) startStream(response *exchanger.Response) {
	if q.responseStarted {
		return
	}
	q.onlyVersion = &q.softwareVersion
	q.copyHeader(response)
	q.writer.WriteHeader(response.Status())
}

// interruptedStreamResult returns the result of an attempt whose stream ended prematurely.
// If the stream has begun and may be resumed, it also counts a resumed stream.
func (q *request) interruptedStreamResult(ctx context.Context, err error, stall *stallDetector) result {
	r := q.interruptedResult(ctx, err)
	if !q.responseStarted {
		return r
	}
	if stall.fired() {
		r.retry, r.err = true, errStalled
	}
	if _, failed := r.outcome.(placer.Failed); failed && q.repeatable() {
		q.gateway.meters.resumed.Inc(1)
	}
	return r
}
