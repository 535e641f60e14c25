package limiter

import (
	"fmt"
	"math"
	"time"

	"radishshed.example/radishshed/internal/adviser"
)

// Limit is what is known about the limit of one run of a target.
type Limit struct {
	target      string
	incarnation uint64
	sequence    uint64
	rate        adviser.RateLimit
	changedAt   time.Time // when this process learned of the rate
	expiresAt   time.Time
}

// Target returns the name of the target.
func (l Limit) Target() string { return l.target }

// Incarnation returns the incarnation of the target.
func (l Limit) Incarnation() uint64 { return l.incarnation }

// Rate returns the limit, either adviser.Limited or adviser.Unlimited.
func (l Limit) Rate() adviser.RateLimit { return l.rate }

// ChangedAt returns when this process learned of the rate.
func (l Limit) ChangedAt() time.Time { return l.changedAt }

// ExpiresAt returns when the limit is forgotten unless a response renews it.
func (l Limit) ExpiresAt() time.Time { return l.expiresAt }

// String returns the limit in requests a second, or "none".
func (l Limit) String() string {
	if limited, ok := l.rate.(adviser.Limited); ok {
		return fmt.Sprintf("%g", limited.Rate())
	}
	return "none"
}

// newerThan reports whether l replaces other. Of a later run of the target all is newer.
func (l Limit) newerThan(other Limit) bool {
	if l.incarnation != other.incarnation {
		return l.incarnation > other.incarnation
	}
	return l.sequence > other.sequence
}

// requestsPerSecond returns the limit, and whether there is one.
func (l Limit) requestsPerSecond() (float64, bool) {
	limited, ok := l.rate.(adviser.Limited)
	return max(limited.Rate(), minRate), ok
}

// sameRate reports whether two statements differ by so little that other routers need not
// hear of it.
func sameRate(a, b adviser.RateLimit) bool {
	limitedA, okA := a.(adviser.Limited)
	limitedB, okB := b.(adviser.Limited)
	if okA != okB {
		return false
	}
	return math.Abs(limitedA.Rate()-limitedB.Rate()) <= ignoredChange*limitedA.Rate()
}
