package limitsharer

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/limiter"
)

// maxPermitRequests is how many coordinators are asked for one attempt of a request.
const maxPermitRequests = 4

// Choice is the choice of a target for one attempt of a request. Its caller chooses a target
// that is not to be avoided and asks whether it may use it, until it may or none is left.
type Choice struct {
	sharer         *Sharer
	rank           float64
	counted        bool
	permitRequests int
	avoid          []string
}

// Begin begins the choice of a target for a request of the given rank among those of this
// process, from 0 to 1. The largest requests get permits.
func (s *Sharer) Begin(rank float64) *Choice { return &Choice{sharer: s, rank: rank} }

// Avoid returns the targets that the request may not use.
func (c *Choice) Avoid() []string { return c.avoid }

// Permits reports whether the request may be sent to the run of a target. If not, the target
// is to be avoided, and so are others for which no permit can be had at the moment.
func (c *Choice) Permits(ctx context.Context, target string, incarnation uint64) bool {
	l := c.sharer.limiter
	decision := l.Decide(limiter.Attempt{Target: target, Incarnation: incarnation, Rank: c.rank, Counted: c.counted}, time.Now())
	c.counted = true
	switch d := decision.(type) {
	case limiter.Free:
		return true
	case limiter.Ask:
		c.permitRequests++
		if c.sharer.ask(ctx, d.Request()) {
			return true
		}
	case limiter.Wait:
	default:
		panic(errors.Errorf("limitsharer: unknown decision of the limiter %T", d))
	}
	if c.permitRequests >= maxPermitRequests {
		c.avoid = l.Limited(time.Now())
	} else {
		c.avoid, _ = l.Waiting(c.rank, time.Now())
	}
	c.avoid = append(c.avoid, target)
	return false
}

// Explain returns the reason why no target is left: a UsedUpError if some had to be avoided,
// and otherwise the given error.
func (c *Choice) Explain(err error) error {
	if len(c.avoid) == 0 {
		return err
	}
	_, freeAt := c.sharer.limiter.Waiting(c.rank, time.Now())
	return &UsedUpError{targets: c.avoid, permitRequests: c.permitRequests, freeAt: freeAt}
}

// UsedUpError means that the limits of all targets that could take a request are used up.
type UsedUpError struct {
	targets        []string
	permitRequests int
	freeAt         time.Time
}

// Error implements error.
func (e *UsedUpError) Error() string {
	return fmt.Sprintf("the request limits of %d targets are used up", len(e.targets))
}

// Targets returns the names of the targets.
func (e *UsedUpError) Targets() []string { return e.targets }

// PermitRequests returns how many coordinators have been asked for a permit.
func (e *UsedUpError) PermitRequests() int { return e.permitRequests }

// FreeAt returns when a permit may be had. It is zero if that is not known.
func (e *UsedUpError) FreeAt() time.Time { return e.freeAt }
