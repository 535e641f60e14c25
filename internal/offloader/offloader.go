// Package offloader decides when a router diverts new connections to other routers.
//
// It handles hot spots that the load balancer causes. The load balancer assigns
// connections to routers by a hash of the caller, so a caller that sends a large share of
// all requests, such as a seventh, can be assigned to a single router out of a hundred.
// The network link of that router saturates and all its requests are delayed, while other
// routers are idle. The router then reports that it is not ready, so that the load
// balancer assigns new connections, including those of the same caller, to another
// router. It reports readiness again once its remaining connections use only a small
// share of the link.
package offloader

import (
	"math"
	"time"
)

const (
	// The router starts to divert connections above divertThreshold of the link's
	// capacity and stops below acceptThreshold. This hysteresis prevents short bursts
	// from toggling the decision.
	divertThreshold = 0.45
	acceptThreshold = 0.25
	// rateTimeConstant is the time constant of the exponential moving average of the rate.
	rateTimeConstant = 800 * time.Millisecond
)

// Config configures an offloader.
type Config struct {
	// LinkBytesPerSecond is the capacity of the router's link in each direction. Zero
	// means that the capacity is not known.
	LinkBytesPerSecond float64
}

// Sample is a measurement of the router's link at one point in time.
type Sample struct {
	// At is the time of the sample. Required.
	At time.Time
	// Received and Sent are the total numbers of bytes so far.
	Received, Sent int64
	// Disconnected reports that control is unreachable. The router then does not start
	// to divert connections, since the other routers could not obtain budget for the
	// diverted callers.
	Disconnected bool
}

// Decision says what to do with new connections. It is sealed: Accept and Divert
// are its only variants.
type Decision interface{ isDecision() }

// Accept means that the router accepts new connections.
type Accept struct{}

// Divert means that new connections are diverted to other routers.
type Divert struct{}

func (Accept) isDecision() {}
func (Divert) isDecision() {}

// Offloader averages the load of a link and decides about new connections. It is not
// safe for concurrent use.
type Offloader struct {
	config    Config
	last      Sample
	rate      float64 // of the busier direction, in bytes per second
	diverting bool
}

// New returns an offloader that accepts new connections.
func New(c Config) *Offloader { return &Offloader{config: c} }

// LinkUtilisation returns the average utilisation of the link as a fraction of its
// capacity, or 0 if the capacity is not known.
func (o *Offloader) LinkUtilisation() float64 {
	if o.config.LinkBytesPerSecond <= 0 {
		return 0
	}
	return o.rate / o.config.LinkBytesPerSecond
}

// Observe adds a sample and returns the decision that now applies.
func (o *Offloader) Observe(s Sample) Decision {
	if elapsed := s.At.Sub(o.last.At); !o.last.At.IsZero() && elapsed > 0 {
		bytes := max(s.Received-o.last.Received, s.Sent-o.last.Sent)
		weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
		o.rate += weight * (float64(bytes)/elapsed.Seconds() - o.rate)
	}
	o.last = s
	switch utilisation := o.LinkUtilisation(); {
	case o.diverting && utilisation < acceptThreshold:
		o.diverting = false
	case !o.diverting && utilisation > divertThreshold && !s.Disconnected:
		o.diverting = true
	}
	if o.diverting {
		return Divert{}
	}
	return Accept{}
}
