package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/admitter"
	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/selector"
)

// acquire chooses a target for the request, and gets the permit to send a request to it if
// the target has a limit. If a rule permits the request to wait, it waits for a target for
// at most the time that the rule sets.
func (j *job) acquire(ctx context.Context) (*selector.Placement, *admitter.Refusal) {
	var waitUntil time.Time
	if wait := j.admission.Rule().MaxWait(); wait > 0 {
		waitUntil = time.Now().Add(wait)
	}
	for {
		placement, err := j.acquireOnce(ctx, waitUntil)
		var usedUp *limitsharer.UsedUpError
		switch {
		case err == nil:
			return placement, nil
		case errors.As(err, &usedUp):
			if !sleepUntil(ctx, usedUp.FreeAt(), waitUntil) {
				return nil, admitter.Refuse(admitter.TargetsLimited, "%v", err).WithRetryAt(usedUp.FreeAt())
			}
		case errors.Is(err, selector.ErrOverloaded):
			return nil, admitter.Refuse(admitter.Overloaded, "%v", err)
		default:
			return nil, admitter.Refuse(admitter.NoTarget, "%v", err)
		}
	}
}

// acquireOnce chooses a target for which the request has a permit or needs none. Requests of
// all sizes have the same chance.
func (j *job) acquireOnce(ctx context.Context, waitUntil time.Time) (*selector.Placement, error) {
	choice := j.router.limits.Begin(rand.Float64())
	for {
		placement, err := j.router.selector.Acquire(ctx, selector.Request{
			Service: j.admission.Service().Name(), Exclude: slices.Concat(j.triedTargets, choice.Avoid()), WaitUntil: waitUntil,
		})
		if errors.Is(err, selector.ErrNoTarget) {
			return nil, choice.Explain(err)
		}
		if err != nil {
			return nil, err
		}
		if choice.Permits(ctx, placement.Target().Name(), placement.Target().Incarnation()) {
			return placement, nil
		}
		placement.Release()
	}
}

// sleepUntil waits until a moment. It reports whether it has done so: it does not wait beyond
// the limit or the end of the context.
func sleepUntil(ctx context.Context, moment, limit time.Time) bool {
	if moment.After(limit) {
		return false
	}
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
