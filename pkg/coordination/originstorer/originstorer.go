// Package originstorer stores which version of a service's software began a stream.
//
// What two versions write does not fit together, so a stream may go on only at the version
// that began it. The caller that takes a stream up names the stream, but not the version,
// and may come to a process that has never seen the stream, since the one that began it has
// ended. While more than one version is known, each router therefore tells the origin of
// each stream that may be taken up to a few other processes (Holders), and the router at
// which the stream is taken up asks for it (Resolve). While one version is known, nothing
// needs to be told.
//
// A Storer has no clock: its owner passes the current time with each call.
package originstorer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishshed.example/radishshed/pkg/coordination/ranker"
)

const (
	// VersionRetention is how long a version of a service's software stays known after it was
	// last seen, which is recorded at least once in half of that time. Half of it is longer
	// than a stream that the version has begun can last.
	VersionRetention = 10 * time.Minute
	// HolderCount is how many processes store an origin: all but one of them may be lost.
	HolderCount = 3

	defaultMaxOrigins = 100_000
	// maxVersions bounds the number of known versions of all services.
	maxVersions = 4096
	// sweepInterval is the shortest time between two removals of expired origins.
	sweepInterval = 5 * time.Second
)

// Stream identifies a stream by a hash of the name that its caller gives it.
type Stream uint64

// NewStream returns the identifier of the stream with the given name.
func NewStream(name string) Stream { return Stream(xxhash.Sum64String(name)) }

// Version is a version of the software of a service.
type Version struct{ service, software string }

// NewVersion returns a version. The name of the software version may be empty.
func NewVersion(service, software string) Version { return Version{service, software} }

// Service returns the name of the service.
func (v Version) Service() string { return v.service }

// Software returns the version of its software.
func (v Version) Software() string { return v.software }

// Compare orders versions by service and software. The order says nothing about their age.
func (v Version) Compare(other Version) int {
	if c := strings.Compare(v.service, other.service); c != 0 {
		return c
	}
	return strings.Compare(v.software, other.software)
}

// Origin says which version began a stream.
type Origin struct {
	stream    Stream
	version   Version
	expiresAt time.Time
}

// NewOrigin returns the origin of a stream that nobody takes up after it has expired.
func NewOrigin(stream Stream, version Version, expiresAt time.Time) Origin {
	return Origin{stream, version, expiresAt}
}

// Stream returns the stream.
func (o Origin) Stream() Stream { return o.stream }

// Version returns the version that began the stream.
func (o Origin) Version() Version { return o.version }

// ExpiresAt returns when the stream is not taken up any more.
func (o Origin) ExpiresAt() time.Time { return o.expiresAt }

// Holders returns the processes that store the origin of a stream, out of the given ones.
func Holders(stream Stream, names []string) []string {
	ranked := ranker.Rank(string(appendStream(nil, stream)), names)
	return ranked[:min(HolderCount, len(ranked))]
}

// Config configures a Storer.
type Config struct {
	// MaxOrigins bounds the number of stored origins. Default: 100,000, of about 60 bytes
	// each.
	MaxOrigins int
}

// record is a stored origin. The version is an index into Storer.versions.
type record struct {
	version   int32
	expiresAt int64 // Unix time in nanoseconds
}

// Storer stores origins of streams, and the versions that have served. It is safe for
// concurrent use.
type Storer struct {
	maxOrigins int

	mutex    sync.Mutex
	origins  map[Stream]record
	sweptAt  time.Time
	versions []Version // all that were ever stored
	indices  map[Version]int32
	seen     map[Version]time.Time // when a target of the version was last seen
	dropped  int64
}

// New returns an empty Storer.
func New(c Config) *Storer {
	if c.MaxOrigins == 0 {
		c.MaxOrigins = defaultMaxOrigins
	}
	return &Storer{
		maxOrigins: c.MaxOrigins, origins: map[Stream]record{}, indices: map[Version]int32{}, seen: map[Version]time.Time{},
	}
}

// Put stores an origin. A later one of the same stream replaces an earlier one: a request
// may be sent to another target until the first event has arrived. If the Storer is full,
// the origin is not stored, so that its stream cannot go on unless one version is known.
func (s *Storer) Put(o Origin, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, known := s.origins[o.stream]
	if !known && len(s.origins) >= s.maxOrigins {
		s.sweep(now)
	}
	index, ok := s.index(o.version)
	if !ok || !known && len(s.origins) >= s.maxOrigins {
		s.dropped++
		return
	}
	s.origins[o.stream] = record{index, o.expiresAt.UnixNano()}
}

// index returns the index of a version, and whether there is room for it.
func (s *Storer) index(v Version) (int32, bool) {
	index, ok := s.indices[v]
	if !ok && len(s.versions) < maxVersions {
		index, ok = int32(len(s.versions)), true
		s.indices[v] = index
		s.versions = append(s.versions, v)
	}
	return index, ok
}

// sweep removes the expired origins, at most once in sweepInterval.
func (s *Storer) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for stream, r := range s.origins {
		if now.UnixNano() > r.expiresAt {
			delete(s.origins, stream)
		}
	}
}

// Origin returns the origin of a stream, if it is known.
func (s *Storer) Origin(stream Stream, now time.Time) (Origin, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sweep(now)
	r, ok := s.origins[stream]
	if !ok || now.UnixNano() > r.expiresAt {
		return Origin{}, false
	}
	return Origin{stream, s.versions[r.version], time.Unix(0, r.expiresAt)}, true
}

// Origins returns all origins that have not expired.
func (s *Storer) Origins(now time.Time) []Origin {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sweep(now)
	var origins []Origin
	for stream, r := range s.origins {
		if now.UnixNano() <= r.expiresAt {
			origins = append(origins, Origin{stream, s.versions[r.version], time.Unix(0, r.expiresAt)})
		}
	}
	return origins
}

// Dropped returns how many origins were not stored for lack of room.
func (s *Storer) Dropped() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dropped
}

// See records when a target of a version was seen. It reports whether the version is new.
func (s *Storer) See(v Version, seenAt, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last, known := s.seen[v]
	if !known && len(s.seen) >= maxVersions {
		s.forgetVersions(now)
	}
	if !known && len(s.seen) >= maxVersions || now.Sub(seenAt) > VersionRetention {
		return false
	}
	if !known || seenAt.After(last) {
		s.seen[v] = seenAt
	}
	return !known || now.Sub(last) > VersionRetention
}

// forgetVersions removes the versions that are not known any more.
func (s *Storer) forgetVersions(now time.Time) {
	for v, last := range s.seen {
		if now.Sub(last) > VersionRetention {
			delete(s.seen, v)
		}
	}
}

// Versions returns the known versions of the services, in order.
func (s *Storer) Versions(services []string, now time.Time) []Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.versionsOf(services, now)
}

func (s *Storer) versionsOf(services []string, now time.Time) []Version {
	var versions []Version
	for v, last := range s.seen {
		if now.Sub(last) <= VersionRetention && (services == nil || slices.Contains(services, v.service)) {
			versions = append(versions, v)
		}
	}
	slices.SortFunc(versions, Version.Compare)
	return versions
}

// AllVersions returns the known versions of all services, in order.
func (s *Storer) AllVersions(now time.Time) []Version { return s.Versions(nil, now) }
