// Package shutdownplanner decides which requests a process that shuts down may still take.
//
// The platform sends SIGTERM and kills the process once its grace period is over. Until the load
// balancer knows of the shutdown, callers still open connections, and on those that are open they
// send requests for as long as they stay open. A request that is still running when the process
// is killed is cut off, so one that cannot end before that must be refused at once, while its
// caller can still send it elsewhere.
//
// A Plan has no clock. It is immutable and safe for concurrent use.
package shutdownplanner

import "time"

const (
	// reserveShare is the part of the grace period that is kept for the end of the process,
	// and maxReserve the most that it may be.
	reserveShare = 1.0 / 16
	maxReserve   = time.Second
	// flushShare and reportShare are the parts of the reserve after which the last responses
	// must have been sent, and after which the process must exit.
	flushShare  = 1.0 / 3
	reportShare = 1.0 / 2
)

// Config configures a plan.
type Config struct {
	// StartedAt is when the shutdown begins. Required.
	StartedAt time.Time
	// Notice is how long the load balancer may still send new connections.
	Notice time.Duration
	// Grace is how long after StartedAt the platform kills the process, or zero if that is not
	// known.
	Grace time.Duration
}

// Plan holds the deadlines of a shutdown.
type Plan struct {
	startedAt    time.Time
	noticeEndsAt time.Time
	killedAt     time.Time
	cutAt        time.Time
	flushedAt    time.Time
	exitAt       time.Time
}

// New returns the plan of a shutdown.
func New(c Config) Plan {
	p := Plan{startedAt: c.StartedAt, noticeEndsAt: c.StartedAt.Add(c.Notice)}
	if c.Grace == 0 {
		return p
	}
	reserve := min(time.Duration(reserveShare*float64(c.Grace)), maxReserve)
	p.killedAt = c.StartedAt.Add(c.Grace)
	p.cutAt = p.killedAt.Add(-reserve)
	p.flushedAt = p.cutAt.Add(time.Duration(flushShare * float64(reserve)))
	p.exitAt = p.cutAt.Add(time.Duration(reportShare * float64(reserve)))
	if p.noticeEndsAt.After(p.cutAt) {
		p.noticeEndsAt = p.cutAt
	}
	return p
}

// StartedAt returns when the shutdown began.
func (p Plan) StartedAt() time.Time { return p.startedAt }

// Bounded reports whether it is known when the process is killed. If not, the following
// deadlines are zero, except NoticeEndsAt.
func (p Plan) Bounded() bool { return !p.killedAt.IsZero() }

// NoticeEndsAt returns until when connections are accepted.
func (p Plan) NoticeEndsAt() time.Time { return p.noticeEndsAt }

// KilledAt returns when the platform kills the process.
func (p Plan) KilledAt() time.Time { return p.killedAt }

// CutAt returns when the requests that are still running are ended. A response that has not
// begun is replaced by an error response.
func (p Plan) CutAt() time.Time { return p.cutAt }

// FlushedAt returns until when the last responses may be sent.
func (p Plan) FlushedAt() time.Time { return p.flushedAt }

// ReportUntil returns until when the process may report to control before it exits, which is
// at most the given time.
func (p Plan) ReportUntil(limit time.Time) time.Time {
	if p.Bounded() && p.exitAt.Before(limit) {
		return p.exitAt
	}
	return limit
}

// Request is what decides whether a request is taken.
type Request struct {
	// Now is the current time. Required.
	Now time.Time
	// Deadline is when the request ends with a response in any case. Required.
	Deadline time.Time
	// LongestRun is how long requests of its kind run at most, or zero if that is not known.
	LongestRun time.Duration
}

// Decision is the decision on a request. It is a sealed interface: Accept and Refuse are its
// only implementations.
type Decision interface{ isDecision() }

// Accept means that the request can end before the process is killed.
type Accept struct{}

// Refuse means that the request could be cut off.
type Refuse struct{}

func (Accept) isDecision() {}
func (Refuse) isDecision() {}

// Decide returns the decision on a request that arrives, or that is about to be sent to a target
// again. If nobody knows when the process is killed, requests are taken until the end of the
// notice only.
func (p Plan) Decide(r Request) Decision {
	if !p.Bounded() {
		return acceptIf(r.Now.Before(p.noticeEndsAt))
	}
	if !r.Deadline.After(p.cutAt) {
		return acceptIf(r.Now.Before(r.Deadline))
	}
	return acceptIf(r.LongestRun > 0 && !r.Now.Add(r.LongestRun).After(p.cutAt))
}

func acceptIf(accepted bool) Decision {
	if accepted {
		return Accept{}
	}
	return Refuse{}
}
