package originstorer

import (
	"slices"
	"time"
)

// Query asks a process for the origin of a stream.
type Query struct {
	stream   Stream
	services []string
}

// NewQuery returns a query for a stream of one of the services.
func NewQuery(stream Stream, services []string) Query { return Query{stream, services} }

// Stream returns the stream.
func (q Query) Stream() Stream { return q.stream }

// Services returns the services that can have begun the stream.
func (q Query) Services() []string { return q.services }

// Answer is what a process knows about a stream.
type Answer struct {
	origin   *Version
	versions []Version
}

// NewAnswer returns the answer of a process that knows the given versions of the services,
// and the version that began the stream unless it is nil.
func NewAnswer(origin *Version, versions []Version) Answer { return Answer{origin, versions} }

// Answer answers a query from what is stored.
func (s *Storer) Answer(q Query, now time.Time) Answer {
	versions := s.Versions(q.services, now)
	if o, ok := s.Origin(q.stream, now); ok {
		return Answer{&o.version, versions}
	}
	return Answer{nil, versions}
}

// Resolution is the conclusion about the origin of a stream. The interface is sealed: its
// only implementations are Begun, Pending and Unknown.
type Resolution interface{ isResolution() }

// Begun means that the version began the stream.
type Begun struct {
	version  Version
	recorded bool
}

// Version returns the version that began the stream.
func (b Begun) Version() Version { return b.version }

// Recorded reports whether the origin was stored. Otherwise no other version has served.
func (b Begun) Recorded() bool { return b.recorded }

// Pending means that more answers are needed.
type Pending struct{}

// Unknown means that the version cannot be told, and the stream cannot go on: it might be
// joined from two versions.
type Unknown struct{}

func (Begun) isResolution()   {}
func (Pending) isResolution() {}
func (Unknown) isResolution() {}

// Resolver collects answers about one stream. It answers a burst of take-ups at processes
// that have not seen the streams, as after routers have ended with all their streams: each
// is decided by the first answer that holds the origin, or, where one version is known, by
// the answers of most of those asked.
//
// It is not safe for concurrent use.
type Resolver struct {
	asked    int
	answered int
	failed   int
	origin   *Version
	versions []Version
}

// NewResolver returns a resolver for a stream of which this process gives the first answer.
func NewResolver(own Answer) *Resolver { return &Resolver{origin: own.origin, versions: own.versions} }

// Ask records that a number of other processes have been asked.
func (r *Resolver) Ask(processes int) { r.asked += processes }

// Add adds the answer of one of them.
func (r *Resolver) Add(a Answer) {
	r.answered++
	if r.origin == nil {
		r.origin = a.origin
	}
	for _, v := range a.versions {
		if !slices.Contains(r.versions, v) {
			r.versions = append(r.versions, v)
		}
	}
}

// Fail records that one of them will not answer.
func (r *Resolver) Fail() { r.failed++ }

// Resolution returns what follows from the answers so far. A process that nobody answers
// knows only of its own streams: a version that it has not heard of may have begun others.
func (r *Resolver) Resolution() Resolution {
	if r.origin != nil {
		return Begun{*r.origin, true}
	}
	most := r.asked/2 + 1
	if len(r.versions) == 1 && r.answered >= most {
		return Begun{r.versions[0], false}
	}
	if r.answered+r.failed < r.asked {
		return Pending{}
	}
	return Unknown{}
}

// Final returns what follows from the answers if no more will come. What a minority says
// about versions counts then too.
func (r *Resolver) Final() Resolution {
	if begun, ok := r.Resolution().(Begun); ok {
		return begun
	}
	if r.answered > 0 && len(r.versions) == 1 {
		return Begun{r.versions[0], false}
	}
	return Unknown{}
}
