package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// charge is a subject with the independent ends of targets that count against it, oldest
// first.
type charge struct {
	subject Subject
	ends    []targetEnd
}

// requestCount returns the number of different requests at the ends.
func (c charge) requestCount() int {
	requests := map[Fingerprint]bool{}
	for _, e := range c.ends {
		maps.Copy(requests, e.requests())
	}
	return len(requests)
}

// isBlamed reports whether most of the ends are also ends under the given set of segments.
func (c charge) isBlamed(set SegmentSet) bool {
	n := 0
	for _, e := range c.ends {
		if e.has(set) {
			n++
		}
	}
	return 2*n > len(c.ends)
}

// evidence is the evidence and what is barred at the time of a judgement.
type evidence struct {
	// requests and segments are those at several ends, in no order, with these ends, the
	// oldest first.
	requests map[Fingerprint][]targetEnd
	segments map[uint64][]targetEnd

	barredRequests map[Fingerprint]bool
	barredSets     []SegmentSet
	// soundSince returns when a request was sent that was answered and that the subject
	// covers, or zero.
	soundSince func(Subject) time.Time
}

// newEvidence returns the evidence of the crashes, with nothing barred.
func newEvidence(crashes []Crash, soundSince func(Subject) time.Time) evidence {
	e := evidence{
		requests: map[Fingerprint][]targetEnd{}, segments: map[uint64][]targetEnd{},
		barredRequests: map[Fingerprint]bool{}, soundSince: soundSince,
	}
	for _, end := range groupByTarget(crashes) {
		for f := range end.requests() {
			e.requests[f] = append(e.requests[f], end)
		}
		for id := range end.segments() {
			e.segments[id] = append(e.segments[id], end)
		}
	}
	maps.DeleteFunc(e.requests, func(_ Fingerprint, ends []targetEnd) bool { return len(ends) < 2 })
	maps.DeleteFunc(e.segments, func(_ uint64, ends []targetEnd) bool { return len(ends) < 2 })
	return e
}

// chargesAgainstRequests returns the charges against whole requests.
func (e evidence) chargesAgainstRequests() []charge {
	var charges []charge
	for f, ends := range e.requests {
		s := WholeRequest{f}
		charges = append(charges, charge{s, independentEnds(e.endsAgainst(s, ends, e.soundSince(s)))})
	}
	return charges
}

// chargesAgainstSegments returns the charges against sets of segments: for each segment
// the set of all segments that are at every end with it. A request with only some of them
// may be sound. Of several charges against one set, that with the most ends holds: one of
// its segments may have been cleared of the earlier ones. The largest sets are first, and
// among equals those with the most evidence.
func (e evidence) chargesAgainstSegments() []charge {
	charges := map[Subject]charge{}
	for id, ends := range e.segments {
		c := e.chargeAgainstSegment(id, ends)
		if len(c.ends) >= len(charges[c.subject].ends) {
			charges[c.subject] = c
		}
	}
	return slices.SortedFunc(maps.Values(charges), func(a, b charge) int {
		first, second := a.subject.(SegmentSet), b.subject.(SegmentSet)
		return cmp.Or(cmp.Compare(second.size(), first.size()), cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(first.packed, second.packed))
	})
}

// chargeAgainstSegment returns the charge against the set of segments that are at every end
// with the given one. An answered request that had the whole set takes the ends before it
// out of the evidence, which may enlarge the set.
func (e evidence) chargeAgainstSegment(id uint64, ends []targetEnd) charge {
	single := newSegmentSet([]uint64{id})
	after := time.Time{}
	for {
		against := e.endsAgainst(single, ends, after)
		if len(against) == 0 {
			return charge{subject: single}
		}
		set := newSegmentSet(commonSegments(against))
		if sound := e.soundSince(set); sound.After(after) {
			after = sound
			continue
		}
		return charge{set, independentEnds(against)}
	}
}

// endsAgainst returns those of the ends that are after the given time and at which the target had a request that
// the subject covers, unless another subject is known to be the cause. They contain the
// crashes of these requests only.
func (e evidence) endsAgainst(s Subject, ends []targetEnd, after time.Time) []targetEnd {
	var against []targetEnd
	for _, end := range ends {
		if !end.endedAt.After(after) {
			continue
		}
		if crashes := e.crashesAgainst(s, end); len(crashes) > 0 {
			against = append(against, newTargetEnd(crashes))
		}
	}
	return against
}

// crashesAgainst returns the crashes at an end that count against the subject: those of the
// requests that it covers, or only of those among them that are barred, if there were any
// at the target. Barred segments are the cause of the end and clear all other subjects,
// unless several barred sets have the subject in common: it may be the cause of all their
// ends.
func (e evidence) crashesAgainst(s Subject, end targetEnd) []Crash {
	var covered, barred []Crash
	causeKnown := false
	for _, c := range end.crashes {
		request := c.config.Request
		inBarredSet := slices.ContainsFunc(e.barredSets, func(set SegmentSet) bool { return set.covers(request) })
		if inBarredSet && !e.isCommonCause(s, request) {
			return nil
		}
		isCause := inBarredSet || e.barredRequests[request.fingerprint]
		causeKnown = causeKnown || isCause
		if !s.covers(request) {
			continue
		}
		covered = append(covered, c)
		if isCause {
			barred = append(barred, c)
		}
	}
	if causeKnown {
		return barred
	}
	return covered
}

// isCommonCause reports whether the subject is part of all barred sets that the request has,
// and of another one.
func (e evidence) isCommonCause(s Subject, r Request) bool {
	part, ok := s.(SegmentSet)
	if !ok {
		return false
	}
	with := 0
	for _, set := range e.barredSets {
		if part.isPartOf(set) {
			with++
		} else if set.covers(r) {
			return false
		}
	}
	return with > 1
}
