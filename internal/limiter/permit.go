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

// Decision is the result of Want. The interface is sealed: its only implementations are
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
	wanted uint64  // requests since the last PermitRequest, this one included
	demand float64 // requests a second of the asking router
}

// Target returns the name of the target.
func (r PermitRequest) Target() string { return r.limit.target }

// PermitReply is the answer of a coordinator.
type PermitReply struct {
	granted   bool
	notBefore time.Time // when to ask again if the permit is denied
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

// Want decides on a request that this router would like to send to a run of a target.
func (l *Limiter) Want(name string, incarnation uint64, now time.Time) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, ok := l.known(name, now)
	if _, limited := known.requestsPerSecond(); !ok || !limited || known.incarnation < incarnation {
		return Free{}
	}
	t := l.targets[name]
	t.demand.add(1, now)
	t.wanted++
	if now.Before(t.waitUntil) {
		return Wait{t.waitUntil}
	}
	wanted := t.wanted
	t.wanted = 0
	return Ask{PermitRequest{limit: known, wanted: wanted, demand: t.demand.perSecond(now)}}
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
	if !reply.granted {
		l.wait(r, reply.notBefore.Sub(now), now)
	}
	return nil
}

// Unanswered records that no coordinator has answered.
func (l *Limiter) Unanswered(r PermitRequest, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.wait(r, unansweredWait, now)
}

// wait keeps this router from asking for a permit for about the given time. An answer to a
// request that named an earlier limit says nothing about the present one.
func (l *Limiter) wait(r PermitRequest, d time.Duration, now time.Time) {
	t, ok := l.targets[r.limit.target]
	if !ok || t.limit.newerThan(r.limit) {
		return
	}
	spread := 1 + waitJitter*(2*l.random()-1)
	t.waitUntil = now.Add(time.Duration(spread * float64(min(max(0, d), maxWait))))
}

// Waiting returns the targets for which no permit can be had at the moment, and when one
// can first be had for any of them.
func (l *Limiter) Waiting(now time.Time) (names []string, first time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, t := range l.targets {
		if !now.Before(t.waitUntil) {
			continue
		}
		names = append(names, name)
		if first.IsZero() || t.waitUntil.Before(first) {
			first = t.waitUntil
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
		known, ok := l.known(name, now)
		if _, limited := known.requestsPerSecond(); ok && limited {
			names = append(names, name)
		}
	}
	return names
}
