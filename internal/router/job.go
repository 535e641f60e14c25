package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/admitter"
	"radishshed.example/radishshed/internal/forwarder"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/requesttracker"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/internal/shutdownplanner"
	"radishshed.example/radishshed/pkg/coordination/allotter"
	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/protocol/classifier"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/pricer"
)

const (
	// openTimeout is how long the router waits for control to commit an intent
	// or to check an idempotency key.
	openTimeout = 1500 * time.Millisecond
	// drawTimeout is how long a draw on a budget waits for the response of
	// control, and drawInterval the pause between two draws for one request.
	drawTimeout  = 2 * time.Second
	drawInterval = 20 * time.Millisecond
	// joinInterval is the interval at which a request checks whether the
	// request with the same idempotency key has finished, and maxJoinWait how
	// long it waits for that before it is refused.
	joinInterval = 250 * time.Millisecond
	maxJoinWait  = 30 * time.Second
	// maxStoredResponseBytes bounds the responses that are stored with claims.
	maxStoredResponseBytes = 64 << 10
	// maxTargets is how many targets are tried for a request that has not run
	// yet.
	maxTargets = 4
)

// job is an admitted request. It is confined to the goroutine that serves the
// request.
type job struct {
	router       *Router
	request      identifier.Request
	admission    admitter.Admission
	account      *allotter.Account
	reserved     bool // whether the account holds a reservation for the request
	submitted    bool // whether the intent may have reached control
	opened       bool // whether control or other routers have stored the intent
	retried      bool
	triedTargets []string
	started      bool // whether the response to the caller has begun
	tracked      *requesttracker.Request
}

func newJob(r *Router, request identifier.Request, a admitter.Admission, tracked *requesttracker.Request) *job {
	return &job{
		tracked:   tracked,
		router:    r,
		request:   request,
		admission: a,
		account:   r.allotter.Account(a.Access().Account()),
	}
}

func (j *job) organisation() string { return j.admission.Access().Organisation().Name() }

func (j *job) intent() bookkeeper.Intent {
	return bookkeeper.NewIntent(bookkeeper.IntentConfig{
		Request:     j.request,
		Account:     j.account.Name(),
		Service:     j.admission.Service().Name(),
		WorkKind:    j.admission.Work(),
		Reservation: j.admission.MaxCost(),
	})
}

// run executes the request. If a step fails before the request is sent, run
// refuses the request and releases what was reserved.
func (j *job) run(ctx context.Context, w http.ResponseWriter) {
	j.router.recordEvent("admitted", j, j.admission.Service().Name())
	var placement *selector.Placement
	refusal := j.shutdownRefusal()
	if refusal == nil {
		placement, refusal = j.acquire(ctx)
	}
	if refusal == nil {
		refusal = j.reserve(ctx)
	}
	if refusal == nil {
		refusal = j.open(ctx, w, &placement)
	}
	defer func() {
		if placement != nil {
			placement.Release()
		}
	}()
	if refusal != nil && !j.submitted && !j.admission.IdempotencyKey().IsZero() {
		refusal = j.checkKey(ctx, w, refusal)
		if refusal == nil {
			return // the caller has received the response to a request with the same key
		}
	}
	if refusal != nil {
		j.withdraw()
		j.router.recordEvent("refused", j, refusal.Error())
		j.router.refuse(w, refusal)
		return
	}
	if !j.opened {
		return // the caller has received the response to a request with the same key
	}
	// A request with an idempotency key runs to completion even if its caller
	// disconnects, so that a retry gets the response.
	if !j.admission.IdempotencyKey().IsZero() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, j.admission.Service().Timeout())
	defer cancel()
	j.tracked.BeginRun(time.Now())
	j.dispatch(ctx, w, &placement)
}

// shutdownRefusal returns a refusal if the router shuts down and the request might not end before
// the process is killed.
func (j *job) shutdownRefusal() *admitter.Refusal {
	now := time.Now()
	deadline := now.Add(openTimeout + j.admission.Service().Timeout())
	switch decision, longestRun := j.tracked.Decide(now, deadline); decision.(type) {
	case shutdownplanner.Accept:
		return nil
	case shutdownplanner.Refuse:
		j.tracked.SetRefused()
		j.router.log.Info("request refused by the shutdown", zap.Stringer("request", j.request),
			zap.String("organisation", j.organisation()), zap.Duration("longestRun", longestRun), zap.Duration("timeLeft", deadline.Sub(now)))
		return admitter.Refuse(admitter.Stopping, "this router is shutting down and might not finish the request: send it to another one")
	default:
		panic(errors.Errorf("router: unknown decision %T", decision))
	}
}

// reserve reserves the highest possible cost of the request from the router's
// grants, and draws on the budget if the grants do not cover it.
func (j *job) reserve(ctx context.Context) *admitter.Refusal {
	need := j.admission.MaxCost()
	if j.tryReserve(need) {
		return nil
	}
	j.account.AddWaiter(need)
	defer func() {
		j.account.RemoveWaiter(need)
		j.router.committer.ReportDemand()
	}()
	deadline := time.Now().Add(j.admission.Access().Budget().MaxBudgetWait())
	for drawn := 0; ; drawn++ {
		if j.tryReserve(need) {
			return nil
		}
		if drawn > 0 && time.Now().After(deadline) {
			return j.budgetRefusal()
		}
		if j.router.committer.ControlUnreachable() {
			return admitter.Refuse(admitter.ControlUnreachable, "this router holds %d microcredits of budget %s, the request can cost %d, and control cannot be reached",
				j.account.Unspent(), j.account.Name(), need)
		}
		drawCtx, cancel := context.WithTimeout(ctx, drawTimeout)
		err := j.router.committer.RequestGrants(drawCtx)
		cancel()
		if err != nil {
			return admitter.Refuse(admitter.ControlUnreachable, "the budget cannot be drawn on: %v", err)
		}
		if drawn > 0 && j.account.Unspent() < need {
			if j.account.Exhausted() {
				return j.budgetRefusal()
			}
			time.Sleep(drawInterval)
		}
	}
}

func (j *job) tryReserve(need pricer.Amount) bool {
	if !j.account.Reserve(need) {
		return false
	}
	j.reserved = true
	j.router.recordEvent("reserved", j, strconv.FormatInt(int64(need), 10)+" microcredits")
	return true
}

func (j *job) budgetRefusal() *admitter.Refusal {
	return admitter.Refuse(admitter.BudgetExceeded,
		"the request can cost up to %d microcredits and budget %s has %d left for it at this router; %d are prepaid",
		j.admission.MaxCost(), j.account.Name(), j.account.Unspent(), j.admission.Access().Budget().Prepaid())
}

// open records the intent and claims the idempotency key before the request is
// sent. If another request holds the key, the caller gets the response to that
// request.
func (j *job) open(ctx context.Context, w http.ResponseWriter, placement **selector.Placement) *admitter.Refusal {
	deadline := time.Now().Add(maxJoinWait)
	j.submitted = true
	for {
		if j.router.committer.ControlUnreachable() {
			return j.openDisconnected(ctx)
		}
		openCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), openTimeout)
		outcome, err := j.router.committer.Open(openCtx, applier.NewOpening(j.intent(), j.admission.IdempotencyKey(), j.admission.Fingerprint()))
		cancel()
		if err != nil {
			return j.openDisconnected(ctx)
		}
		switch o := outcome.(type) {
		case applier.Opened:
			j.opened = true
			j.router.recordEvent("opened", j, "")
			return j.reacquire(ctx, placement)
		case applier.Refused:
			return admitter.Refuse(admitter.BudgetExceeded, "the ledger refuses the reservation: %s", o.Reason())
		case applier.KeyInUse:
			if *placement != nil {
				(*placement).Release()
				*placement = nil
			}
			done, refusal := j.join(ctx, w, o.Outcome(), deadline)
			if done || refusal != nil {
				return refusal
			}
		}
	}
}

// checkKey checks whether the idempotency key of a refused request is in use.
// If it is, the caller gets the response to the request that holds the key. If
// the check fails, the refusal says that the request may have run.
func (j *job) checkKey(ctx context.Context, w http.ResponseWriter, refusal *admitter.Refusal) *admitter.Refusal {
	inDoubt := admitter.RefuseWith(classifier.MayHaveRun{}, refusal.Kind(), "%s", refusal.Message())
	deadline := time.Now().Add(maxJoinWait)
	for {
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), openTimeout)
		outcome, err := j.router.committer.Open(checkCtx, applier.NewKeyProbe(j.intent(), j.admission.IdempotencyKey(), j.admission.Fingerprint()))
		cancel()
		if err != nil {
			return inDoubt
		}
		claimed, ok := outcome.(applier.KeyInUse)
		if !ok {
			return refusal
		}
		done, refusal := j.join(ctx, w, claimed.Outcome(), deadline)
		if done || refusal != nil {
			return refusal
		}
	}
}

// reacquire chooses a target again if the first one was released while the
// request waited for another one with the same key.
func (j *job) reacquire(ctx context.Context, placement **selector.Placement) *admitter.Refusal {
	if *placement != nil {
		return nil
	}
	next, refusal := j.acquire(ctx)
	*placement = next
	return refusal
}

// join sends the caller the response to the request that holds the idempotency
// key. It reports whether the response has been sent; if not, the key may have
// become free.
func (j *job) join(ctx context.Context, w http.ResponseWriter, outcome claimer.Outcome, deadline time.Time) (bool, *admitter.Refusal) {
	switch o := outcome.(type) {
	case claimer.Mismatch:
		return false, admitter.Refuse(admitter.KeyReused, "the Idempotency-Key was used for another request")
	case claimer.Finished:
		if j.joinStream(ctx, w, o.Request()) {
			return true, nil
		}
		if o.Response().IsZero() {
			return false, admitter.RefuseWith(classifier.MayHaveRun{}, admitter.ResponseNotStored,
				"request %s with this Idempotency-Key has ended and its answer is not kept", o.Request())
		}
		j.withdraw()
		j.writeResponse(w, o.Response().Status(), o.Response().ContentType(), o.Response().Body())
		return true, nil
	case claimer.Running:
		if j.joinStream(ctx, w, o.Request()) {
			return true, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false, admitter.RefuseWith(classifier.MayHaveRun{}, admitter.KeyInUse,
				"request %s with this Idempotency-Key is still running", o.Request())
		}
		time.Sleep(joinInterval)
		return false, nil
	default:
		return false, admitter.Refuse(admitter.ControlUnreachable, "unknown outcome of a claim: %T", outcome)
	}
}

// dispatch sends the request to a target, and to further targets as long as a
// retry is safe.
func (j *job) dispatch(ctx context.Context, w http.ResponseWriter, placement **selector.Placement) {
	for {
		target := (*placement).Target()
		j.triedTargets = append(j.triedTargets, target.Name())
		j.router.recordEvent("sent", j, target.Name())
		failure := j.attempt(ctx, w, target)
		if failure == nil {
			j.tracked.EndRun(time.Now())
			return
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			j.tracked.EndRun(time.Now())
		}
		j.router.log.Info("attempt failed",
			zap.Stringer("request", j.request), zap.String("organisation", j.organisation()),
			zap.String("target", target.Name()), zap.Stringer("verdict", failure.Verdict()), recorder.Err(failure))
		(*placement).Release()
		next, refusal := j.nextTarget(ctx, target, failure)
		if refusal != nil {
			j.fail(ctx, w, target, failure, refusal)
			return
		}
		*placement = next
	}
}

// nextTarget acquires another target if the request may be sent again.
func (j *job) nextTarget(ctx context.Context, target *selector.Target, failure *forwarder.Failure) (*selector.Placement, *admitter.Refusal) {
	if _, notRun := failure.Verdict().(classifier.NotRun); notRun {
		if len(j.triedTargets) >= maxTargets {
			return nil, admitter.Refuse(admitter.NoTarget, "no target could be reached: %v", failure)
		}
		return j.acquire(ctx)
	}
	kind := admitter.TargetFailed
	if ctx.Err() != nil {
		kind = admitter.TargetTimeout
	} else {
		j.recordTargetFailure(target)
	}
	refusal := admitter.RefuseWith(classifier.MayHaveRun{}, kind, "the target failed: %v", failure)
	mayRetry := j.admission.Service().Idempotent() && !j.started && !j.retried && ctx.Err() == nil
	if !mayRetry || j.router.failures.quarantined(j.admission.Fingerprint(), time.Now()) {
		return nil, refusal
	}
	j.retried = true
	j.router.counters.retried.Inc(1)
	placement, unavailable := j.acquire(ctx)
	if unavailable != nil {
		return nil, refusal
	}
	return placement, nil
}

// recordTargetFailure publishes to all routers that the target failed on the
// request.
func (j *job) recordTargetFailure(target *selector.Target) {
	// Other routers must receive the record before the caller can retry.
	defer j.router.disseminator.Flush()
	entry := failureEntry(j.admission.Fingerprint(), target.Name(), time.Now())
	if err := j.router.disseminator.Put(entry); err != nil {
		j.router.log.Warn("cannot publish the failure record of a request", recorder.Err(err))
	}
}

// fail ends a request without a complete response.
func (j *job) fail(ctx context.Context, w http.ResponseWriter, target *selector.Target, failure *forwarder.Failure, refusal *admitter.Refusal) {
	if _, notRun := failure.Verdict().(classifier.NotRun); notRun && !j.retried {
		j.withdraw()
	} else {
		j.settleWithoutResponse(context.WithoutCancel(ctx), target)
	}
	j.router.counters.broken.Inc(1)
	j.router.recordEvent("failed", j, refusal.Error())
	if !j.started {
		if j.retried {
			refusal = admitter.RefuseWith(classifier.MayHaveRun{}, refusal.Kind(), "%s", refusal.Message())
		}
		j.router.refuse(w, refusal)
		return
	}
	abortStream(w, refusal)
}
