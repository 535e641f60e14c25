// Package adviser holds what a target says about itself in a response, whatever the
// response is: an answer to a request, the head of a stream, a refusal or the answer to a
// probe.
//
// The protocols of targets differ in the names and places of these statements. Their
// codecs return the types of this package. What a target tells one router applies to
// requests of all routers.
package adviser

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxRate is the highest rate that is told apart from no limit, in requests a second.
	maxRate = 1e9
	// maxValueLength bounds the text of a number.
	maxValueLength = 32
)

// RateLimit is what a response says about the number of requests a second that the target
// takes from all routers together. The interface is sealed: its only implementations are
// NotStated, Malformed, Unlimited and Limited.
type RateLimit interface{ isRateLimit() }

// NotStated means that the response does not come from the target, and says nothing about
// its limit.
type NotStated struct{}

// Malformed means that the statement cannot be read. It changes nothing.
type Malformed struct{}

// Unlimited means that the target names no limit. An earlier limit has ended.
type Unlimited struct{}

// Limited means that the target names a limit.
type Limited struct{ rate float64 }

func (NotStated) isRateLimit() {}
func (Malformed) isRateLimit() {}
func (Unlimited) isRateLimit() {}
func (Limited) isRateLimit()   {}

// NewLimited returns a limit in requests a second. A negative rate counts as zero.
func NewLimited(rate float64) Limited { return Limited{min(max(0, rate), maxRate)} }

// Rate returns the limit in requests a second, from 0 to 1e9.
func (l Limited) Rate() float64 { return l.rate }

// ParseRateLimit parses the values of the field of a response that names the limit, a
// decimal number without a sign or an exponent. No value means that there is no limit.
// Several values contradict each other and are malformed.
func ParseRateLimit(values []string) RateLimit {
	if len(values) == 0 {
		return Unlimited{}
	}
	rate, ok := parseDecimal(values)
	if !ok {
		return Malformed{}
	}
	return NewLimited(rate)
}

// parseDecimal parses a single decimal number without a sign or an exponent.
func parseDecimal(values []string) (number float64, ok bool) {
	if len(values) != 1 {
		return 0, false
	}
	text := strings.TrimSpace(values[0])
	if len(text) > maxValueLength || text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}

// Config holds the fields of an Advice.
type Config struct {
	// RateLimit is the limit of requests a second. Default: NotStated.
	RateLimit RateLimit
	// Leaving is whether the target leaves, and wants no new work.
	Leaving bool
	// PausedUntil is until when the target wants nothing from the router that it answered,
	// or zero.
	PausedUntil time.Time
	// Brittleness is how many requests the target can turn away in a second without falling
	// over, or zero if it does not say so.
	Brittleness int
	// Warmup is what the target says about its warm-up. Default: WarmupNotStated.
	Warmup Warmup
}

// Advice is what one response says about the target that sent it. The zero value says
// nothing.
type Advice struct{ config Config }

// New returns an Advice with the given fields.
func New(c Config) Advice { return Advice{c} }

// RateLimit returns what the response says about the target's limit.
func (a Advice) RateLimit() RateLimit {
	if a.config.RateLimit == nil {
		return NotStated{}
	}
	return a.config.RateLimit
}

// Leaving reports whether the target leaves, and wants no new work. It holds for this run of
// the target.
func (a Advice) Leaving() bool { return a.config.Leaving }

// PausedUntil returns until when the target wants nothing from the router that it answered,
// or zero.
func (a Advice) PausedUntil() time.Time { return a.config.PausedUntil }

// Brittleness returns how many requests the target can turn away in a second without falling
// over, or zero if it does not say so.
func (a Advice) Brittleness() int { return a.config.Brittleness }

// maxPause bounds the time for which a target wants nothing. Then one request tells whether
// it still does.
const maxPause = 5 * time.Minute

// ParsePause parses the values of the field of a refusal that names the seconds for which the
// target wants nothing, a decimal number, and returns the end of that time. It returns zero
// if there is none or it cannot be read. Dates are not read: clocks of VMs may differ.
func ParsePause(values []string, receivedAt time.Time) time.Time {
	pause, ok := parseDecimal(values)
	if !ok || pause == 0 {
		return time.Time{}
	}
	return receivedAt.Add(time.Duration(min(pause, maxPause.Seconds()) * float64(time.Second)))
}
