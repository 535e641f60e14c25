package quarantiner

import "time"

// Decide judges by the evidence and returns the verdicts that are new.
//
// Each end of a target has one cause. The most specific subjects are judged first, and the
// ends under one that is barred do not count against others. Otherwise a segment that many
// prompts begin with would be barred for what a few of them do.
func (q *Quarantiner) Decide(now time.Time) []Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.removeExpired(now)
	if !q.undecided {
		return nil
	}
	q.undecided = false
	var decided []Verdict
	for _, c := range q.evidence(now).chargesAgainstRequests() {
		decided = q.judge(decided, c, now)
	}
	for judgedAll := false; !judgedAll; {
		decided, judgedAll = q.judgeSegments(decided, now)
	}
	return decided
}

// evidence returns the evidence at the given time.
func (q *Quarantiner) evidence(now time.Time) evidence {
	e := newEvidence(q.crashes, func(s Subject) time.Time { return q.verdicts[s].soundSince })
	for s := range q.verdicts {
		if !q.isBarred(s, now) {
			continue
		}
		switch s := s.(type) {
		case WholeRequest:
			e.barredRequests[s.fingerprint] = true
		case SegmentSet:
			e.barredSets = append(e.barredSets, s)
		}
	}
	return e
}

// judgeSegments judges the sets of segments until one of them is barred, and reports whether
// it has judged all. Otherwise the others have to be charged anew.
func (q *Quarantiner) judgeSegments(decided []Verdict, now time.Time) ([]Verdict, bool) {
	for _, c := range q.evidence(now).chargesAgainstSegments() {
		known := len(decided)
		decided = q.judge(decided, c, now)
		if len(decided) > known && decided[known].state == Barred {
			return decided, false
		}
	}
	return decided, true
}

// judge appends a verdict to those that have been decided if the charge calls for a new one.
func (q *Quarantiner) judge(decided []Verdict, c charge, now time.Time) []Verdict {
	state := q.stateFor(c, now)
	if state == Suspected && len(c.ends) >= maxEnds {
		q.undecided = true // it may be barred without further evidence
	}
	current, known := q.verdicts[c.subject]
	if state == 0 || known && current.state != Lifted && current.state >= state {
		return decided
	}
	v := q.newVerdict(c, state, now)
	q.store(v)
	return append(decided, v)
}

// stateFor returns the state that a charge calls for, or zero.
func (q *Quarantiner) stateFor(c charge, now time.Time) State {
	set, ofSegments := c.subject.(SegmentSet)
	switch {
	case len(c.ends) < maxEnds-1:
		return 0
	case len(c.ends) < maxEnds || !q.observed(c.subject, now):
		return Suspected
	case ofSegments && (c.requestCount() < minRequests || q.suspectsLargerSet(set, c)):
		return Suspected
	default:
		return Barred
	}
}

// observed reports whether the subject has been suspected for so long that the routers had
// time to report an answered request.
func (q *Quarantiner) observed(s Subject, now time.Time) bool {
	v, known := q.verdicts[s]
	return known && v.state == Suspected && now.Sub(v.decidedAt()) >= observationPeriod
}

// suspectsLargerSet reports whether a larger set of segments is suspected of most of the ends
// of the charge. One more end may show that it is the cause.
func (q *Quarantiner) suspectsLargerSet(set SegmentSet, c charge) bool {
	for s, v := range q.verdicts {
		larger, ok := s.(SegmentSet)
		if ok && v.state == Suspected && larger != set && set.isPartOf(larger) && c.isBlamed(larger) {
			return true
		}
	}
	return false
}
