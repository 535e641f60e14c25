// Package durationestimator learns how long requests run at most, by their kind and size.
//
// A process that shuts down asks it whether a request can still end in time, so an estimate that
// is too short cuts a request off, and one that is too long sends its caller to another process.
// The estimate is therefore the longest of the recent runs of requests of a similar size, with a
// margin. Runs that have not ended count with their present length: without them, a process that
// has just started would know the short ones only.
//
// An Estimator has no clock. It is safe for concurrent use.
package durationestimator

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxRuns is the number of recent runs of a kind that are remembered.
	maxRuns = 128
	// minRuns is the number of ended runs without which nothing is known.
	minRuns = 8
	// similarity is the largest ratio between the sizes of similar requests.
	similarity = 2
	// margin is the factor by which a run may be longer than the longest of the recent ones.
	margin = 1.25
	// maxKinds bounds the memory. Beyond it all kinds are forgotten.
	maxKinds = 1024
)

// Request describes a request.
type Request struct {
	kind string
	size int64
}

// NewRequest returns the description of a request of a kind. The size is the work that it asks
// for, in a unit of the kind, or zero if the requests of a kind have no size.
func NewRequest(kind string, size int64) Request { return Request{kind, max(size, 1)} }

// Estimator learns the duration of requests.
type Estimator struct {
	mutex sync.Mutex
	kinds map[string]*kindRuns
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{kinds: map[string]*kindRuns{}} }

// kindRuns holds the runs of one kind of requests.
type kindRuns struct {
	ended []endedRun // a ring once it holds maxRuns
	next  int        // index of the oldest run in the ring
	open  map[*Run]bool
}

type endedRun struct {
	size     int64
	duration time.Duration
}

// Run is a run of a request that has not ended.
type Run struct {
	estimator *Estimator
	request   Request
	startedAt time.Time
}

// Begin records that a run of a request begins. The caller must call End or Discard.
func (e *Estimator) Begin(r Request, now time.Time) *Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run := &Run{e, r, now}
	e.kind(r.kind).open[run] = true
	return run
}

// kind returns the runs of a kind. The caller holds the mutex.
func (e *Estimator) kind(name string) *kindRuns {
	k, ok := e.kinds[name]
	if ok {
		return k
	}
	if len(e.kinds) >= maxKinds {
		clear(e.kinds)
	}
	k = &kindRuns{open: map[*Run]bool{}}
	e.kinds[name] = k
	return k
}

// End records that the run has ended with a response.
func (r *Run) End(now time.Time) {
	e := r.estimator
	e.mutex.Lock()
	defer e.mutex.Unlock()
	k := e.kind(r.request.kind)
	delete(k.open, r)
	ended := endedRun{r.request.size, now.Sub(r.startedAt)}
	if len(k.ended) < maxRuns {
		k.ended = append(k.ended, ended)
		return
	}
	k.ended[k.next] = ended
	k.next = (k.next + 1) % maxRuns
}

// Discard forgets the run, for example because its caller has disconnected.
func (r *Run) Discard() {
	e := r.estimator
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.kind(r.request.kind).open, r)
}

// Longest returns how long a request runs at most, or zero if fewer than minRuns requests of its
// kind have ended. The similar ones tell it, or those that come closest in size.
func (e *Estimator) Longest(r Request, now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	k, ok := e.kinds[r.kind]
	if !ok || len(k.ended) < minRuns {
		return 0
	}
	longest := time.Duration(0)
	for i, run := range k.bySimilarity(r.size) {
		if i >= minRuns && ratio(r.size, run.size) > similarity {
			break
		}
		longest = max(longest, expected(r.size, run))
	}
	for run := range k.open {
		if ratio(r.size, run.request.size) <= similarity {
			longest = max(longest, expected(r.size, endedRun{run.request.size, now.Sub(run.startedAt)}))
		}
	}
	return time.Duration(margin * float64(longest))
}

// bySimilarity returns the ended runs, those of the most similar size first.
func (k *kindRuns) bySimilarity(size int64) []endedRun {
	return slices.SortedFunc(slices.Values(k.ended), func(a, b endedRun) int {
		return cmp.Compare(ratio(size, a.size), ratio(size, b.size))
	})
}

// ratio returns the ratio of the larger size to the smaller one.
func ratio(a, b int64) float64 { return float64(max(a, b)) / float64(min(a, b)) }

// expected returns how long a request runs, by the run of another one. A smaller request may run
// as long as a larger one, since part of the time does not depend on the size.
func expected(size int64, other endedRun) time.Duration {
	if other.size >= size {
		return other.duration
	}
	return time.Duration(ratio(size, other.size) * float64(other.duration))
}
