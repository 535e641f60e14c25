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
	// Request is the fingerprint of a request that the target had. Required.
	Request Fingerprint
	// StartedAt is when the request was sent to the target, and EndedAt when its
	// connection ended. Required.
	StartedAt, EndedAt time.Time
}

// Crash is the observation that a target ended while it had a request and before it had
// sent anything of the response. Several requests may be observed for one end: at most one
// of them is its cause, and possibly none.
type Crash struct{ config CrashConfig }

// NewCrash returns a crash with the given fields.
func NewCrash(c CrashConfig) Crash { return Crash{c} }

// subjects returns what the crash is evidence against.
func (c Crash) subjects() []Subject { return []Subject{WholeRequest{c.config.Request}} }

// has reports whether the crash is evidence against the subject.
func (c Crash) has(s Subject) bool { return slices.Contains(c.subjects(), s) }

// targetEnd is one end of a target, with the crashes that were observed at it.
type targetEnd struct {
	target    string
	startedAt time.Time // when the last of the requests was sent
	endedAt   time.Time // when the first of the connections ended
	crashes   []Crash
}

// groupByTarget returns the ends of targets that the crashes describe, oldest first.
func groupByTarget(crashes []Crash) []targetEnd {
	index := map[string]int{}
	var ends []targetEnd
	for _, c := range crashes {
		i, known := index[c.config.Target]
		if !known {
			index[c.config.Target] = len(ends)
			ends = append(ends, targetEnd{c.config.Target, c.config.StartedAt, c.config.EndedAt, []Crash{c}})
			continue
		}
		e := &ends[i]
		e.crashes = append(e.crashes, c)
		if c.config.StartedAt.After(e.startedAt) {
			e.startedAt = c.config.StartedAt
		}
		if c.config.EndedAt.Before(e.endedAt) {
			e.endedAt = c.config.EndedAt
		}
	}
	slices.SortFunc(ends, func(a, b targetEnd) int {
		return cmp.Or(a.endedAt.Compare(b.endedAt), cmp.Compare(a.target, b.target))
	})
	return ends
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
