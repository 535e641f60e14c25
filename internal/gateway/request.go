package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/durationestimator"
	"radishshed.example/radishshed/internal/memorybudgeter"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/regionselector"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/requesttracker"
	"radishshed.example/radishshed/pkg/state/cataloguer"
)

const (
	// maxUnreachable is the number of unreachable targets after which a request is
	// refused. None of these targets has received the request.
	maxUnreachable = 3
	// No attempt is started within responseMargin of the deadline, so that time
	// remains for relaying a response.
	responseMargin = 30 * time.Millisecond

	// writeGrace is how long after its deadline a request may still write to its
	// caller. The refusal that reports the timeout is written at the deadline.
	writeGrace = 500 * time.Millisecond
)

// request is the state of one caller's request.
type request struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	http      *http.Request
	metadata  RequestMetadata
	arrivedAt time.Time
	deadline  time.Time

	catalogue    *cataloguer.Catalogue
	route        cataloguer.Route
	service      cataloguer.Service
	organisation string
	homes        regionselector.Selection // where the request may be sent
	priority     int
	body         []byte
	// memory is what the request has reserved of the memory budget.
	memory *memorybudgeter.Reservation
	// unreadBytes is the most that may follow of a body that was refused, or zero.
	unreadBytes int64
	// cachedIdentity is what identity returns, once it has been computed.
	cachedIdentity *quarantiner.Request

	reservation     reservation
	mayHaveRun      bool      // whether a target may have run the request
	attempts        int       // number of targets that the request was sent to
	sentAt          time.Time // when the last attempt began
	firstEventAt    time.Time // when the first event of the last attempt arrived, or zero
	answered        bool      // whether the last attempt is known to have been answered
	excluded        []string
	responseStarted bool // whether the response to the caller has begun
	deliveredTokens int64
	lastEventID     string
	timeToFirstByte time.Duration
	// expectedFirstEvent is the placer's estimate for the last attempt.
	expectedFirstEvent time.Duration
	target             string
	softwareVersion    string // of the target
	// onlyVersion, if not nil, is the software version that began the stream. It may go on
	// at no other.
	onlyVersion *string
	// tracked is the entry of the request among those that the router has taken.
	tracked *requesttracker.Request
	// readMutex guards readingBody, which is set while the body is read from the caller.
	readMutex   sync.Mutex
	readingBody bool
	// watch ends the attempt if it hangs since the path to targets was lost. It is nil if the
	// request may not be sent again.
	watch *relayer.Attempt
}

// serve handles a request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{gateway: g, writer: w, http: r, arrivedAt: time.Now(), memory: g.budgeter.Open()}
	defer q.memory.Release()
	g.meters.open.Inc(1)
	defer g.meters.open.Dec(1)
	ctx, end := context.WithCancel(r.Context())
	defer end()
	q.tracked = g.tracker.Add(func() { q.interrupt(end) })
	defer q.tracked.Remove()
	q.metadata = g.protocol.ParseRequest(r)
	if refusal := q.admit(); refusal != nil {
		q.refuse(refusal)
		q.discardBody()
		return
	}
	q.limitWriting()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if refusal := q.takeUp(ctx); refusal != nil {
		q.refuse(refusal)
		return
	}
	if refusal := q.homeRefusal(); refusal != nil {
		q.refuse(refusal)
		return
	}
	if refusal := q.reserve(ctx); refusal != nil {
		q.refuse(refusal)
		return
	}
	defer q.settle()
	q.tracked.BeginRun(time.Now())
	q.run(ctx)
}

// admit determines the route, the organisation and the service of the request, and reads
// its body. It returns a refusal if one of them is missing or not permitted.
func (q *request) admit() *refusal {
	g := q.gateway
	q.catalogue = g.catalogue.Load()
	if q.catalogue == nil {
		return newRefusal(http.StatusServiceUnavailable, "starting", startingRetryAfter)
	}
	var ok bool
	if q.route, ok = q.catalogue.Route(q.http.Host, q.http.URL.EscapedPath()); !ok {
		return newRefusal(http.StatusNotFound, "noRoute", 0)
	}
	q.deadline = q.arrivedAt.Add(q.route.Timeout())
	if left := q.metadata.config.TimeLeft; left > 0 && left < q.route.Timeout() {
		q.deadline = q.arrivedAt.Add(left)
	}
	q.priority = q.route.Priority()
	organisation, known := q.catalogue.Organisation(q.metadata.config.APIKey)
	if q.catalogue.NeedsKey(q.route) && !known {
		return newRefusal(http.StatusUnauthorized, "unknownKey", 0)
	}
	if known {
		q.organisation = organisation.Name()
		q.priority = organisation.Priority(q.route)
	}
	if field := q.metadata.config.Malformed; field != "" {
		return newRefusal(http.StatusBadRequest, "malformed "+field, 0)
	}
	q.homes = g.regions.Load().Select(q.route.HomeRegions(), organisation.HomeRegions())
	q.service, ok = q.catalogue.Service(q.route.PickService(rand.Int64N))
	if !ok {
		return newRefusal(http.StatusServiceUnavailable, "noService", startingRetryAfter)
	}
	q.tracked.Describe(durationestimator.NewRequest(q.route.Name(), q.metadata.config.MaxOutputTokens))
	if r := q.shutdownRefusal(); r != nil {
		return r
	}
	if r := q.readBody(); r != nil {
		return r
	}
	if r := q.quarantineRefusal(); r != nil {
		return r
	}
	return q.evacuationRefusal()
}

// limitWriting makes writes to the caller fail soon after the request's deadline, so that
// a caller that stops reading holds no memory any longer.
func (q *request) limitWriting() {
	err := http.NewResponseController(q.writer).SetWriteDeadline(q.deadline.Add(writeGrace))
	if err != nil {
		q.gateway.log.Warn("cannot limit the time for writing to a caller", recorder.Err(err))
	}
}

// settle charges the tokens that the request has consumed and releases the rest of the
// reservation.
func (q *request) settle() {
	if q.reservation.total() == 0 {
		return
	}
	spent := int64(0)
	if q.mayHaveRun {
		spent = q.metadata.config.PromptTokens + q.deliveredTokens
	}
	q.gateway.settle(q.reservation, spent)
}

// run sends the request to one target after another until one has responded, or until
// no further attempt is allowed.
func (q *request) run(ctx context.Context) {
	unreachable := 0
	for {
		if r := q.shutdownRefusal(); r != nil {
			q.giveUp(r)
			return
		}
		if r := q.quarantineRefusal(); r != nil {
			q.giveUp(r)
			return
		}
		if r := q.homeRefusal(); r != nil {
			q.giveUp(r)
			return
		}
		placement, err := q.acquirePlacement(ctx)
		if err != nil {
			q.giveUp(q.placementRefusal(err))
			return
		}
		q.gateway.notifyPrefill(placement)
		result := q.runAttempt(ctx, placement)
		if result.responded {
			return
		}
		if cause := q.http.Context().Err(); cause != nil {
			q.recordAbandoned()
			return
		}
		if ctx.Err() != nil {
			q.giveUp(q.timeoutRefusal())
			return
		}
		if result.withdrawn {
			continue // the refusal is that of the next round
		}
		if _, ok := result.outcome.(placer.Unreachable); ok {
			unreachable++
			if unreachable < maxUnreachable {
				continue
			}
			q.giveUp(newRefusal(http.StatusServiceUnavailable, "targetsUnreachable", targetRetryAfter, recorder.Err(result.err)))
			return
		}
		if !result.retry && !q.takeRetry(result) {
			q.giveUp(result.refusal())
			return
		}
		q.gateway.meters.retried.Inc(1)
		q.log("retried", recorder.Err(result.err))
	}
}

// runAttempt makes one attempt and reports its outcome to the placement. The deferred
// call releases the target if the attempt panics to abort the response.
func (q *request) runAttempt(ctx context.Context, p *placer.Placement) result {
	defer func() { p.Finish(placer.Abandoned{}, time.Now()) }()
	q.sentAt, q.firstEventAt, q.answered = time.Now(), time.Time{}, false
	r := q.attempt(ctx, p)
	if r.interrupted && !q.hasSurvivedAnswer(time.Now()) {
		q.investigate(p.Target())
	}
	p.Finish(r.outcome, time.Now())
	return r
}

// takeRetry reports whether the request may be sent to another target, and if so takes the
// retry from the budget. A rejected request has not run, so it may be retried even if it
// is not repeatable.
func (q *request) takeRetry(r result) bool {
	if q.attempts >= q.route.MaxAttempts() {
		return false
	}
	if !notRun(r.outcome) && !q.repeatable() || !q.endsInTime() {
		return false
	}
	return q.gateway.retrier.Allow(q.service.Name(), time.Now())
}

// mayResumeElsewhere reports whether a stream that has begun may go on at another target,
// and if so takes the retry from the budget.
func (q *request) mayResumeElsewhere() bool {
	if !q.repeatable() || q.attempts >= q.route.MaxAttempts() || !q.endsInTime() {
		return false
	}
	now := time.Now()
	if !q.hasHomeTarget() || q.gateway.placer.CountUsable(q.placementRequest(now, q.excluded)) == 0 {
		return false
	}
	return q.gateway.retrier.Allow(q.service.Name(), now)
}

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool {
	switch r := q.route.ExecutionPolicy().(type) {
	case cataloguer.Idempotent:
		return true
	case cataloguer.AtMostOnce:
		return false
	case cataloguer.Stream:
		return r.Resumable()
	default:
		panic(errors.Errorf("gateway: unknown repetition %T", r))
	}
}
