package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/admitter"
	"radishshed.example/radishshed/internal/forwarder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/protocol/classifier"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// attempt sends the request to one target and relays the response. It returns
// nil once the caller has the response and the request is settled.
func (j *job) attempt(ctx context.Context, w http.ResponseWriter, target *selector.Target) *forwarder.Failure {
	a := j.admission
	response, failure := j.router.forwarder.Send(ctx, forwarder.Request{
		ID:          j.request.String(),
		Address:     target.Address(),
		Method:      a.Method(),
		Path:        a.Path(),
		ContentType: a.ContentType(),
		Body:        a.Body(),
		Repeatable:  a.Service().Idempotent(),
		Priority:    strconv.FormatInt(a.Rule().Priority(), 10),
	})
	if failure != nil {
		return failure
	}
	now := time.Now()
	j.router.limits.Observe(target.Name(), target.Incarnation(), response.Advice(), now)
	j.router.departures.Observe(target.Name(), target.Incarnation(), response.Advice(), now)
	_, isModel := a.Service().Kind().(archiver.Model)
	if isModel && engineRefused(response.Status()) {
		_ = response.Body().Close() // the refusal is not relayed to the caller
		return forwarder.NewFailure(classifier.NotRun{}, errors.Errorf("engine refused the request with status %d", response.Status()))
	}
	if isModel && a.Stream() && response.Status() == http.StatusOK {
		stream := j.router.forwarder.NewStream(ctx, target.Address(), j.request.String(), response)
		return j.relayStream(w, stream, target)
	}
	return j.relayResponse(w, response, target, isModel)
}

// engineRefused reports whether the status is one with which engines refuse a
// request before they run it.
func engineRefused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// relayResponse relays a response that is not a stream once all of it has
// arrived, and settles the request.
func (j *job) relayResponse(w http.ResponseWriter, response *forwarder.Response, target *selector.Target, isModel bool) *forwarder.Failure {
	body, err := response.ReadAll()
	if err != nil {
		return forwarder.NewFailure(classifier.MayHaveRun{}, err)
	}
	usage, _ := forwarder.ParseUsage(body) // plain services report no usage
	if isModel && response.Status() >= http.StatusBadRequest {
		usage = pricer.Usage{}
	}
	j.settle(bookkeeper.Measured{}, usage, target.Name(), j.responseToStore(response, body))
	j.writeResponse(w, response.Status(), response.ContentType(), body)
	return nil
}

// responseToStore returns the response to store with the claim, for retries
// with the same idempotency key. It is zero for requests without a key and for
// long responses.
func (j *job) responseToStore(response *forwarder.Response, body []byte) claimer.Response {
	if j.admission.IdempotencyKey().IsZero() || len(body) > maxStoredResponseBytes {
		return claimer.Response{}
	}
	return claimer.NewResponse(response.Status(), response.ContentType(), body)
}

func (j *job) writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	j.started = true
	j.router.announceClose(w)
	j.router.counters.served.Inc(1)
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(classifier.Header, classifier.Ran{}.String())
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

// relayStream relays the events of a stream as they arrive, and settles the
// request at the end of the stream.
func (j *job) relayStream(w http.ResponseWriter, stream *forwarder.Stream, target *selector.Target) *forwarder.Failure {
	defer stream.Close()
	if err := j.relayEvents(w, stream); err != nil {
		return forwarder.NewFailure(classifier.MayHaveRun{}, err)
	}
	usage, ok := stream.Usage()
	basis := bookkeeper.Basis(bookkeeper.Measured{})
	if !ok {
		usage, _ = pricer.NewUsage(int64(len(j.admission.Body())), int64(stream.EventCount())) // lengths are never negative
		basis = bookkeeper.Estimated{}
	}
	j.settle(basis, usage, target.Name(), claimer.Response{})
	endStream(w)
	j.router.counters.served.Inc(1)
	return nil
}

// relayEvents writes the events of a stream to the caller, without the final
// [DONE].
func (j *job) relayEvents(w http.ResponseWriter, stream *forwarder.Stream) error {
	flusher := http.NewResponseController(w)
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !j.started {
			j.startStream(w)
		}
		if !j.admission.IncludeUsage() && isUsageOnly(event) {
			continue
		}
		_, _ = w.Write(append(append([]byte("data: "), event...), '\n', '\n')) // an error means that the caller has disconnected
		if !stream.HasNext() {
			_ = flusher.Flush() // as above
		}
	}
}

func (j *job) startStream(w http.ResponseWriter) {
	j.started = true
	j.router.announceClose(w)
	j.router.recordEvent("firstToken", j, "")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(classifier.Header, classifier.Ran{}.String())
	w.WriteHeader(http.StatusOK)
}

func endStream(w http.ResponseWriter) {
	_, _ = w.Write([]byte("data: [DONE]\n\n")) // an error means that the caller has disconnected
}

// abortStream ends a stream so that the caller cannot mistake it for complete:
// it writes an error event and no [DONE], and aborts the connection.
func abortStream(w http.ResponseWriter, refusal *admitter.Refusal) {
	_, _ = w.Write(append(append([]byte("data: "), errorBody(refusal)...), '\n', '\n')) // an error means that the caller has disconnected
	_ = http.NewResponseController(w).Flush()                                           // as above
	panic(http.ErrAbortHandler)
}

// isUsageOnly reports whether the event carries nothing but the usage, which
// the router has requested for settlement. It is relayed only to callers that
// have requested it too.
func isUsageOnly(event []byte) bool {
	usage, ok := forwarder.ParseUsage(event)
	return ok && usage != (pricer.Usage{}) && forwarder.HasNoChoices(event)
}

// joinStream sends the caller the stream of the request that holds the same
// idempotency key, even if the router that sent that request has terminated. It
// reports whether the caller has received a response.
func (j *job) joinStream(ctx context.Context, w http.ResponseWriter, keyHolder identifier.Request) bool {
	if !j.admission.Stream() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, j.admission.Service().Timeout())
	defer cancel()
	for _, target := range j.router.selector.Targets(j.admission.Service().Name()) {
		stream, err := j.router.forwarder.ResumeStream(ctx, target.Address(), keyHolder.String())
		if err != nil {
			continue
		}
		j.withdraw()
		j.request = keyHolder
		j.router.recordEvent("resumed", j, target.Name())
		if err := j.relayEvents(w, stream); err != nil {
			stream.Close()
			j.failResumed(w, err)
			return true
		}
		stream.Close()
		if usage, ok := stream.Usage(); ok {
			j.settleKeyHolder(usage, target.Name())
		}
		endStream(w)
		j.router.counters.served.Inc(1)
		return true
	}
	return false
}

// failResumed sends the caller the refusal for a resumed stream that failed.
func (j *job) failResumed(w http.ResponseWriter, err error) {
	refusal := admitter.RefuseWith(classifier.MayHaveRun{}, admitter.TargetFailed, "the target failed: %v", err)
	if !j.started {
		j.router.refuse(w, refusal)
		return
	}
	abortStream(w, refusal)
}

// settleKeyHolder settles the request that holds the idempotency key. If that
// request's own router settles it too, the ledger applies the first settlement
// and ignores the second.
func (j *job) settleKeyHolder(usage pricer.Usage, target string) {
	cost, err := j.cost(usage)
	if err != nil {
		return // the settlement is left to the router of the key holder
	}
	j.commitSettlement(bookkeeper.Measured{}, usage, min(cost, j.admission.MaxCost()), target, claimer.Response{})
}
