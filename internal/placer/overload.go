package placer

import (
	"fmt"
	"time"
)

// An OverloadError means that all targets are so busy that the first event would come too
// late.
//
// It answers a load above what the engines can do. Without it every request is let in and
// waits, until all first events come after their objective and the engines work for
// answers that have lost their worth. Each router decides by itself, by the delays of its
// own requests and the notices of others.
type OverloadError struct {
	expected time.Duration
	limit    time.Duration // the longest time with which a request is let in
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("the first event is expected after %s, the limit is %s", e.expected, e.limit)
}

// Expected returns the estimated time to the first event.
func (e *OverloadError) Expected() time.Duration { return e.expected }

// RetryAfter returns the time after which a target is expected to have room.
func (e *OverloadError) RetryAfter() time.Duration { return e.expected - e.limit }

// admissionShare is how long, as a share of MaxFirstEvent, the expected time to the
// first event of an admitted request may be. Estimates err in both directions, and a
// response that is a little late is worth more to the caller than none.
const admissionShare = 1.1

// checkOverload returns an error if the request must be refused because its first event is
// expected too late on the best target, where it would come after the given idle time if the
// target were idle. Coming back later gains nothing for a prompt that is late by its size alone:
// it is let in where it hardly waits, unless its caller would have given up.
func (r Request) checkOverload(expected, idle time.Duration) error {
	if r.MaxFirstEvent <= 0 {
		return nil
	}
	limit := time.Duration(admissionShare * float64(r.MaxFirstEvent))
	if idle > limit && (r.Patience <= 0 || idle < r.Patience) {
		limit = idle + limit - r.MaxFirstEvent
	}
	if expected <= limit {
		return nil
	}
	return &OverloadError{expected, limit}
}
