// Package quarantiner decides which requests are no longer sent to targets because targets
// end under them.
//
// The load that it answers: a request makes every target end that begins to run it, and
// its caller sends it again, to any router; or a segment of a prompt does so, in requests
// of which no two are alike. Without a common memory they end one target after another, as
// fast as they return, and all other requests of the service fail.
//
// Evidence are ends of targets, each with the requests that a target had and had not answered,
// or had only just begun to answer (Crash). Most of these requests are sound and were at the target by chance. A
// subject (a whole request, or a set of segments) is barred when maxEnds targets have ended
// under it, independently of each other, and no request that it covers was answered in
// between. An answered request lifts the suspicion, so that a request that many callers send
// is not barred when targets end for another reason.
//
// Who decides sees the crashes of all routers (package verdictsharer). A Quarantiner reads
// no clock and sends no messages.
package quarantiner

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEnds is how many targets may end under a subject before it is barred.
	maxEnds = 3
	// minRequests is how many different requests there must be among them before segments
	// are barred.
	minRequests = 2
	// MaxSegments is the number of segments of a prompt that are judged: the first ones,
	// which most requests share.
	MaxSegments = 16
	// commonCauseWindow is the time within which ends of targets may have a common cause.
	commonCauseWindow = 250 * time.Millisecond
	// observationPeriod is how long a subject is suspected before it is barred, so that
	// routers can report a request that was answered since the first end.
	observationPeriod = time.Second
	// crashRetention and maxCrashes limit the evidence that is kept.
	crashRetention = 10 * time.Minute
	maxCrashes     = 512
	// barLifetime is how long a bar holds. After it, the subject is judged anew.
	barLifetime       = 10 * time.Minute
	suspicionLifetime = time.Minute
	// maxVerdicts limits the verdicts that are kept. Beyond it, those that expire first
	// are forgotten.
	maxVerdicts = 256
)

// Config configures a Quarantiner.
type Config struct {
	// VM is the name of the VM, which verdicts carry for the log. Required.
	VM string
}

// Quarantiner holds the evidence and the verdicts that a process knows. It is safe for
// concurrent use.
type Quarantiner struct {
	vm       string
	watching atomic.Bool // whether there is any verdict

	mutex    sync.Mutex
	crashes  []Crash // oldest first by arrival
	verdicts map[Subject]Verdict
	// undecided is whether Decide may reach a new verdict.
	undecided bool
}

// New returns a Quarantiner without evidence.
func New(c Config) *Quarantiner { return &Quarantiner{vm: c.VM, verdicts: map[Subject]Verdict{}} }

// Watching reports whether any subject is suspected or barred. It is cheap, and spares
// most requests the computation of their fingerprints.
func (q *Quarantiner) Watching() bool { return q.watching.Load() }

// RecordCrash adds evidence. The same observation counts once.
func (q *Quarantiner) RecordCrash(c Crash, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.crashes = slices.DeleteFunc(q.crashes, func(old Crash) bool { return now.Sub(old.config.EndedAt) > crashRetention })
	if slices.ContainsFunc(q.crashes, c.sameAs) {
		return
	}
	if len(q.crashes) >= maxCrashes {
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
	q.crashes = append(q.crashes, c)
	q.undecided = true
}

// Crashes returns the newest of the evidence, at most the given number.
func (q *Quarantiner) Crashes(limit int) []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return slices.Clone(q.crashes[max(0, len(q.crashes)-limit):])
}

func (q *Quarantiner) newVerdict(c charge, state State, now time.Time) Verdict {
	v := Verdict{
		subject: c.subject, state: state, epoch: q.nextEpoch(c.subject, now), soundSince: q.verdicts[c.subject].soundSince,
		firstEndAt: c.ends[0].endedAt, lastEndAt: c.ends[len(c.ends)-1].endedAt,
		expiresAt: now.Add(state.lifetime()), decidingVM: q.vm,
	}
	for _, e := range c.ends[:min(len(c.ends), maxEnds)] {
		v.targets = append(v.targets, e.target)
	}
	return v
}

// nextEpoch returns the epoch of a new verdict: that of the current one, unless it has been
// lifted or has expired. The time in seconds keeps epochs increasing even if an
// earlier verdict has been forgotten here, but not yet elsewhere.
func (q *Quarantiner) nextEpoch(s Subject, now time.Time) uint64 {
	current, known := q.verdicts[s]
	if known && current.state != Lifted && now.Before(current.expiresAt) {
		return current.epoch
	}
	return max(current.epoch+1, uint64(now.Unix()))
}

// RecordAnswered records that a request was answered that was sent at the given time. It
// returns the verdicts that this lifts.
func (q *Quarantiner) RecordAnswered(r Request, sentAt, now time.Time) []Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var lifted []Verdict
	for s, v := range q.verdicts {
		if v.state == Lifted || !v.firstEndAt.Before(sentAt) || !s.covers(r) {
			continue
		}
		v.state, v.soundSince, v.decidingVM = Lifted, sentAt, q.vm
		v.expiresAt = now.Add(Lifted.lifetime())
		lifted = append(lifted, v)
	}
	for _, v := range lifted {
		q.store(v)
	}
	return lifted
}

// Apply takes over a verdict of another process. It reports whether the verdict is new
// here.
func (q *Quarantiner) Apply(v Verdict) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	current, known := q.verdicts[v.subject]
	if known && !v.newerThan(current) {
		return false
	}
	if current.soundSince.After(v.soundSince) {
		v.soundSince = current.soundSince
	}
	q.store(v)
	return true
}

// Find returns the verdict that bars the request, if there is one.
func (q *Quarantiner) Find(r Request, now time.Time) (Verdict, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for s, v := range q.verdicts {
		if q.isBarred(s, now) && s.covers(r) {
			return v, true
		}
	}
	return Verdict{}, false
}

func (q *Quarantiner) isBarred(s Subject, now time.Time) bool {
	v, ok := q.verdicts[s]
	return ok && v.state == Barred && now.Before(v.expiresAt)
}

// Barred returns the verdicts that bar a subject, ordered by its name.
func (q *Quarantiner) Barred(now time.Time) []Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var barred []Verdict
	for s, v := range q.verdicts {
		if q.isBarred(s, now) {
			barred = append(barred, v)
		}
	}
	slices.SortFunc(barred, func(a, b Verdict) int { return strings.Compare(a.subject.String(), b.subject.String()) })
	return barred
}

// store keeps a verdict, and forgets the one that expires first if there are too many.
func (q *Quarantiner) store(v Verdict) {
	q.undecided = true
	q.verdicts[v.subject] = v
	if len(q.verdicts) > maxVerdicts {
		first := v
		for _, other := range q.verdicts {
			if other.expiresAt.Before(first.expiresAt) {
				first = other
			}
		}
		delete(q.verdicts, first.subject)
	}
	q.updateWatching()
}

func (q *Quarantiner) removeExpired(now time.Time) {
	for s, v := range q.verdicts {
		if now.After(v.expiresAt) {
			delete(q.verdicts, s)
		}
	}
	q.updateWatching()
}

func (q *Quarantiner) updateWatching() {
	for _, v := range q.verdicts {
		if v.state != Lifted {
			q.watching.Store(true)
			return
		}
	}
	q.watching.Store(false)
}
