package limiter

import (
	"math"
	"time"
)

const (
	// demandDecayTime is the time constant with which requests lose their weight in the
	// demand for a target.
	demandDecayTime = 4 * time.Second
	// maxWait bounds how long a router does not ask for a permit after a denied one, since
	// the demand of others may end.
	maxWait = 10 * time.Second
	// unansweredWait is how long a router does not ask for a permit after no coordinator
	// has answered.
	unansweredWait = 250 * time.Millisecond
	// waitJitter is the largest fraction that is added to or taken from a wait, so that
	// routers do not ask all at the same moment.
	waitJitter = 0.25
)

// Decision is the result of Decide. The interface is sealed: its only implementations are
// Free, Wait and Ask.
type Decision interface{ isDecision() }

// Free means that the request needs no permit.
type Free struct{}

// Wait means that no permit can be had before a moment: the request has to go elsewhere.
type Wait struct{ until time.Time }

// Until returns when a permit may be had.
func (w Wait) Until() time.Time { return w.until }

// Ask means that the request may be sent if a coordinator grants the permit.
type Ask struct{ request PermitRequest }

// Request returns what to send to the coordinator.
func (a Ask) Request() PermitRequest { return a.request }

func (Free) isDecision() {}
func (Wait) isDecision() {}
func (Ask) isDecision()  {}

// PermitRequest asks a coordinator for the permission to send one request to a target.
type PermitRequest struct {
	limit  Limit
	wanted uint64  // requests since the last PermitRequest
	demand float64 // requests a second of the asking router
	rank   float64 // by which the request gets a permit, from 0 to 1
}

// Target returns the name of the target.
func (r PermitRequest) Target() string { return r.limit.target }

// PermitReply is the answer of a coordinator.
type PermitReply struct {
	granted   bool
	notBefore time.Time // when to ask again for any request if the permit is denied
	// minRank is the rank below which not to ask before minRankUntil.
	minRank      float64
	minRankUntil time.Time
	// limit, if it has a rate, is newer than that of the request.
	limit Limit
}

// Granted reports whether the request may be sent.
func (r PermitReply) Granted() bool { return r.granted }

// demand is a number of requests a second, averaged over demandDecayTime.
type demand struct {
	weight    float64
	updatedAt time.Time
}

func (d *demand) add(requests float64, now time.Time) {
	d.weight = d.weight*d.decay(now) + requests
	d.updatedAt = now
}

func (d *demand) perSecond(now time.Time) float64 {
	return d.weight * d.decay(now) / demandDecayTime.Seconds()
}

func (d *demand) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(d.updatedAt).Seconds()) / demandDecayTime.Seconds())
}

// Attempt is an attempt to serve a request that a router would like to make at a target.
type Attempt struct {
	// Target and Incarnation identify the run of the target. Required.
	Target      string
	Incarnation uint64
	// Rank is the rank of the request among those of this router, from 0 to 1. Those of the
	// highest ranks get the permits, and those of the lowest the permits for warming targets.
	Rank float64
	// Counted is whether another target was tried for the request before. It then adds nothing
	// to the demand for this one.
	Counted bool
}

// Decide decides on an attempt.
func (l *Limiter) Decide(a Attempt, now time.Time) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit, ok := l.inForce(a.Target, now)
	if _, limited := limit.requestsPerSecond(); !ok || !limited || limit.incarnation < a.Incarnation {
		return Free{}
	}
	t := l.targets[a.Target]
	if !a.Counted {
		t.demand.add(1, now)
		t.wanted++
	}
	rank := l.permitRank(t, a.Rank, now)
	if until := t.unavailableUntil(rank); now.Before(until) {
		return Wait{until}
	}
	wanted := t.wanted
	t.wanted = 0
	return Ask{PermitRequest{limit: limit, wanted: wanted, demand: t.demand.perSecond(now), rank: rank}}
}

// unavailableUntil returns until when no permit can be had for a request of the rank.
func (t *target) unavailableUntil(rank float64) time.Time {
	if rank < t.minRank && t.minRankUntil.After(t.waitUntil) {
		return t.minRankUntil
	}
	return t.waitUntil
}

// Resolve records the answer of a coordinator.
func (l *Limiter) Resolve(r PermitRequest, reply PermitReply, now time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if reply.limit.rate != nil {
		if _, err := l.apply(reply.limit, now); err != nil {
			return err
		}
	}
	if t := l.asked(r); t != nil && !reply.granted {
		t.waitUntil = r.limit.lastWait(l.spread(reply.notBefore, now))
		t.minRank, t.minRankUntil = reply.minRank, r.limit.lastWait(l.spread(reply.minRankUntil, now))
	}
	return nil
}

// Unanswered records that no coordinator has answered.
func (l *Limiter) Unanswered(r PermitRequest, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t := l.asked(r); t != nil {
		t.waitUntil = l.spread(now.Add(unansweredWait), now)
	}
}

// asked returns the target that a request for a permit concerns, or nil. An answer to a
// request that named an earlier limit says nothing about the present one.
func (l *Limiter) asked(r PermitRequest) *target {
	t, ok := l.targets[r.limit.target]
	switch {
	case !ok:
		return nil
	case r.limit.ofWarmup():
		if t.incarnation != r.limit.incarnation {
			return nil
		}
	case t.limit.newerThan(r.limit):
		return nil
	}
	return t
}

// spread moves a time by a random part of what remains until then.
func (l *Limiter) spread(until, now time.Time) time.Time {
	factor := 1 + waitJitter*(2*l.random()-1)
	return now.Add(time.Duration(factor * float64(min(max(0, until.Sub(now)), maxWait))))
}

// Waiting returns the targets for which no permit can be had at the moment for a request of
// the rank, and when one can first be had for any of them.
func (l *Limiter) Waiting(rank float64, now time.Time) (names []string, first time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, t := range l.targets {
		until := t.unavailableUntil(l.permitRank(t, rank, now))
		if !now.Before(until) {
			continue
		}
		names = append(names, name)
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return names, first
}

// Limited returns the targets that have a limit.
func (l *Limiter) Limited(now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var names []string
	for name := range l.targets {
		limit, ok := l.inForce(name, now)
		if _, limited := limit.requestsPerSecond(); ok && limited {
			names = append(names, name)
		}
	}
	return names
}
