package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// CrashConfig holds the fields of a Crash.
type CrashConfig struct {
	// Target names the run of the target that ended: its name and incarnation. Required.
	Target string
	// Request is a request that the target had. Required.
	Request Request
	// StartedAt is when the request was sent to the target, and EndedAt when its
	// connection ended. Required.
	StartedAt, EndedAt time.Time
}

// Crash is the observation that a target ended while it had a request and before it had
// sent the response, or more than the beginning of it. Several requests may be observed for one end: at most one
// of them is its cause, and possibly none.
type Crash struct{ config CrashConfig }

// NewCrash returns a crash with the given fields.
func NewCrash(c CrashConfig) Crash { return Crash{c} }

// sameAs reports whether the other crash is the same observation.
func (c Crash) sameAs(other Crash) bool {
	return c.config.Target == other.config.Target && c.config.Request.fingerprint == other.config.Request.fingerprint
}

// targetEnd is one end of a target, with the crashes that were observed at it.
type targetEnd struct {
	target    string
	startedAt time.Time // when the last of the requests was sent
	endedAt   time.Time // when the first of the connections ended
	crashes   []Crash
}

// groupByTarget returns the ends of targets that the crashes describe, oldest first.
func groupByTarget(crashes []Crash) []targetEnd {
	byTarget := map[string][]Crash{}
	for _, c := range crashes {
		byTarget[c.config.Target] = append(byTarget[c.config.Target], c)
	}
	var ends []targetEnd
	for _, observed := range byTarget {
		ends = append(ends, newTargetEnd(observed))
	}
	slices.SortFunc(ends, func(a, b targetEnd) int {
		return cmp.Or(a.endedAt.Compare(b.endedAt), cmp.Compare(a.target, b.target))
	})
	return ends
}

// newTargetEnd returns the end of a target that the crashes, at least one, describe.
func newTargetEnd(crashes []Crash) targetEnd {
	first := crashes[0].config
	e := targetEnd{first.Target, first.StartedAt, first.EndedAt, crashes}
	for _, c := range crashes[1:] {
		if c.config.StartedAt.After(e.startedAt) {
			e.startedAt = c.config.StartedAt
		}
		if c.config.EndedAt.Before(e.endedAt) {
			e.endedAt = c.config.EndedAt
		}
	}
	return e
}

// has reports whether the target had a request that the subject covers.
func (e targetEnd) has(s Subject) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return s.covers(c.config.Request) })
}

// requests returns the fingerprints of the requests that the target had.
func (e targetEnd) requests() map[Fingerprint]bool {
	requests := map[Fingerprint]bool{}
	for _, c := range e.crashes {
		requests[c.config.Request.fingerprint] = true
	}
	return requests
}

// segments returns the segments of the requests that the target had.
func (e targetEnd) segments() map[uint64]bool {
	segments := map[uint64]bool{}
	for _, c := range e.crashes {
		for _, id := range c.config.Request.segments {
			segments[id] = true
		}
	}
	return segments
}

// independentEnds returns the ends that are independent of those before them. Targets that
// end at the same moment may have one cause in common, such as a lost rack; an end counts
// by itself if the request was sent only after the previous one, or some time has passed.
func independentEnds(ends []targetEnd) []targetEnd {
	var counted []targetEnd
	for _, e := range ends {
		if len(counted) > 0 {
			last := counted[len(counted)-1]
			if e.startedAt.Before(last.endedAt) && e.endedAt.Sub(last.endedAt) < commonCauseWindow {
				continue
			}
		}
		counted = append(counted, e)
	}
	return counted
}

// commonSegments returns the segments that all requests at the ends have, in no order.
func commonSegments(ends []targetEnd) []uint64 {
	var common []uint64
	for i, e := range ends {
		for j, c := range e.crashes {
			if i == 0 && j == 0 {
				common = slices.Clone(c.config.Request.segments)
				continue
			}
			common = slices.DeleteFunc(common, func(id uint64) bool { return !slices.Contains(c.config.Request.segments, id) })
		}
	}
	return common
}
