package adviser

import "time"

// maxWarmup is the longest warm-up that a target can state.
const maxWarmup = time.Hour

// Warmup is what a response says about the time in which the target can handle few requests.
// The interface is sealed: its only implementations are WarmupNotStated, WarmupMalformed and
// Warming.
type Warmup interface{ isWarmup() }

// WarmupNotStated means that the response says nothing about a warm-up.
type WarmupNotStated struct{}

// WarmupMalformed means that the statement cannot be read. It changes nothing.
type WarmupMalformed struct{}

// Warming means that the target is warming, or no longer if the end has passed.
type Warming struct{ until time.Time }

func (WarmupNotStated) isWarmup() {}
func (WarmupMalformed) isWarmup() {}
func (Warming) isWarmup()         {}

// Until returns the end of the warm-up.
func (w Warming) Until() time.Time { return w.until }

// NewWarming returns the statement that the warm-up ends after a number of milliseconds, which
// is malformed if it is negative, not a number, or over one hour.
func NewWarming(millis float64, receivedAt time.Time) Warmup {
	if millis >= 0 && millis <= float64(maxWarmup.Milliseconds()) {
		return Warming{receivedAt.Add(time.Duration(millis * float64(time.Millisecond)))}
	}
	return WarmupMalformed{}
}

// ParseWarmup parses the values of the field of a response that states the milliseconds until
// the end of the warm-up, a decimal number without a sign or an exponent.
func ParseWarmup(values []string, receivedAt time.Time) Warmup {
	if len(values) == 0 {
		return WarmupNotStated{}
	}
	millis, ok := parseDecimal(values)
	if !ok {
		return WarmupMalformed{}
	}
	return NewWarming(millis, receivedAt)
}

// Warmup returns what the response says about the target's warm-up.
func (a Advice) Warmup() Warmup {
	if a.config.Warmup == nil {
		return WarmupNotStated{}
	}
	return a.config.Warmup
}
