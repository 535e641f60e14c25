package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/exchanger"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/state/cataloguer"
)

// result is the result of one attempt.
type result struct {
	outcome   placer.Outcome
	responded bool // whether a response was sent to the caller
	retry     bool // whether another attempt has been allowed
	// interrupted is whether the target was sent the request and did not send a whole
	// response, for a reason other than the deadline or the caller.
	interrupted bool
	// withdrawn is whether nothing was sent since targets were found to end under such requests,
	// or since the data centre of the target is evacuated.
	withdrawn bool
	err       error
	status    int
}

// refusal returns the refusal that tells the caller why the last attempt failed.
func (r result) refusal() *refusal {
	if notRun(r.outcome) {
		return newRefusal(http.StatusServiceUnavailable, "targetsFull", targetsFullRetryAfter, zap.Int("status", r.status))
	}
	return newRefusal(http.StatusBadGateway, "targetFailed", 0, recorder.Err(r.err))
}

// attempt sends the request to one target and relays the response.
func (q *request) attempt(ctx context.Context, p *placer.Placement) result {
	g := q.gateway
	target := p.Target()
	q.target, q.softwareVersion = target.Name(), target.SoftwareVersion()
	q.expectedFirstEvent = p.ExpectedFirstEvent()
	q.excluded = append(q.excluded, target.Name())
	if time.Until(q.deadline) <= responseMargin {
		return result{outcome: placer.Abandoned{}, err: context.DeadlineExceeded}
	}
	var metadata ResponseMetadata
	targetRequest := q.targetRequest(target, &metadata)
	attemptCtx, endAttempt := context.WithCancel(q.withRelayFilter(ctx))
	defer endAttempt()
	q.recordOrigin()
	if q.repeatable() {
		q.watch = g.relays.Watch(endAttempt)
		defer q.watch.Stop()
	}
	stall := &stallDetector{timeout: stallTimeout(q.route), mayResume: q.mayResumeElsewhere, end: endAttempt}
	defer stall.stop()
	response, err := g.exchanger.Send(attemptCtx, targetRequest)
	if errors.Is(err, exchanger.ErrWithdrawn) {
		return result{outcome: placer.Abandoned{}, withdrawn: true, err: err}
	}
	if errors.Is(err, exchanger.ErrNotSent) {
		if ctx.Err() != nil {
			return result{outcome: placer.Abandoned{}, err: err}
		}
		return result{outcome: placer.Unreachable{}, err: err}
	}
	if q.attempts == 0 {
		g.retrier.CountRequest(q.service.Name(), time.Now())
	}
	q.attempts++
	if err != nil {
		q.mayHaveRun = true
		return q.interruptedResult(ctx, err)
	}
	defer response.Close()
	q.recordPath()
	if metadata.config.Load != nil {
		p.RecordLoad(*metadata.config.Load, time.Now())
	}
	g.applyAdvice(p, metadata.Advice())
	if metadata.NotRun() {
		g.recordRejection(target, metadata.Advice())
		return result{outcome: rejection(metadata.Advice()), status: response.Status(), err: errors.Errorf("the target refused the request with status %d", response.Status())}
	}
	q.mayHaveRun = true
	if _, isStream := q.route.ExecutionPolicy().(cataloguer.Stream); isStream && response.Status() == http.StatusOK {
		return q.relayStream(ctx, p, response, metadata, stall)
	}
	if q.responseStarted {
		return q.interruptedResult(ctx, errors.Errorf("the target did not resume the stream: status %d", response.Status()))
	}
	return q.relayWhole(ctx, p, response, metadata)
}

// targetRequest returns the request to a target. The metadata of the response are stored when
// its head arrives.
func (q *request) targetRequest(target selector.Announcement, metadata *ResponseMetadata) exchanger.Request {
	g := q.gateway
	return exchanger.Request{
		Address: target.Address(),
		Method:  q.http.Method,
		URI:     q.http.RequestURI,
		Host:    q.http.Host,
		Header: func() http.Header {
			return g.protocol.ForwardHeader(q.http.Header, NewForwardMetadata(ForwardMetadataConfig{
				ID: q.metadata.ID(), Organisation: q.organisation, Target: target.Name(),
				TimeLeft: max(0, time.Until(q.deadline)), Priority: q.priority, LastEventID: q.resumeEventID(),
			}))
		},
		Withdrawn:     func() bool { return q.quarantineRefusal() != nil || q.evacuatedMeanwhile(target) },
		Body:          q.body,
		NewConnection: !q.repeatable(),
		MatchesResponse: func(status int, h http.Header) bool {
			*metadata = g.protocol.ParseResponse(TargetResponse{Status: status, Header: h, ReceivedAt: time.Now()})
			return q.matches(target, *metadata)
		},
	}
}

// recordPath records that part of the response has arrived.
func (q *request) recordPath() {
	if q.watch != nil {
		q.watch.RecordProgress()
	}
}

// resumeEventID returns the identifier of the last event that the caller has received,
// after which the stream is to resume, or "".
func (q *request) resumeEventID() string {
	if q.lastEventID != "" {
		return q.lastEventID
	}
	return q.metadata.config.LastEventID
}

// interruptedResult returns the result of an attempt that ended without a complete response. If
// the request's context has ended, the failure is not attributed to the target.
func (q *request) interruptedResult(ctx context.Context, err error) result {
	if ctx.Err() != nil {
		return result{outcome: placer.Abandoned{}, err: err}
	}
	return result{outcome: placer.Failed{}, interrupted: true, err: err}
}
