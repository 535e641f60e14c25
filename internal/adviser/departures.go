package adviser

import (
	"strings"
	"time"

	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	// departurePrefix is the key prefix of disseminator entries that name a target which
	// has said that it leaves. The incarnation of the version is that of the target.
	departurePrefix = "leaving/"
	// DepartureLease is how long such an entry is distributed to new processes.
	DepartureLease = 5 * time.Minute
	// departureRetention is how long it is remembered that a run of a target leaves. By then
	// it has ended.
	departureRetention = 10 * time.Minute
	// maxDepartures bounds the number of remembered departures.
	maxDepartures = 4096
)

// Departure is a run of a target that has said that it leaves.
type Departure struct {
	target      string
	incarnation uint64
}

// NewDeparture returns the departure of a run of a target.
func NewDeparture(target string, incarnation uint64) Departure { return Departure{target, incarnation} }

// Target returns the name of the target.
func (d Departure) Target() string { return d.target }

// Incarnation returns the incarnation of the target.
func (d Departure) Incarnation() uint64 { return d.incarnation }

// Key returns the key of the disseminator entry that tells other processes.
func (d Departure) Key() string { return departurePrefix + d.target }

// Entry returns the disseminator entry that tells other processes.
func (d Departure) Entry(now time.Time) disseminator.Entry {
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       d.Key(),
		Version:   disseminator.NewVersion(d.incarnation, 1),
		ExpiresAt: now.Add(DepartureLease),
	})
}

// DepartureFrom returns the departure that an entry tells of, and whether it is one.
func DepartureFrom(e disseminator.Entry) (Departure, bool) {
	target, ok := strings.CutPrefix(e.Key(), departurePrefix)
	return Departure{target, e.Version().Incarnation()}, ok
}

// Departures remembers the runs of targets that have said that they leave, whatever is
// announced of them. It is not safe for concurrent use.
type Departures struct{ byTarget map[string]remembered }

type remembered struct {
	incarnation uint64
	forgottenAt time.Time
}

// NewDepartures returns an empty memory.
func NewDepartures() *Departures { return &Departures{map[string]remembered{}} }

// Contains reports whether the run, or a later one of the same target, has said that it
// leaves.
func (d *Departures) Contains(run Departure) bool {
	known, ok := d.byTarget[run.target]
	return ok && run.incarnation <= known.incarnation
}

// Add remembers a departure. It reports whether it is new and could be remembered.
func (d *Departures) Add(run Departure, now time.Time) bool {
	if d.Contains(run) {
		return false
	}
	if len(d.byTarget) >= maxDepartures {
		for target, known := range d.byTarget {
			if now.After(known.forgottenAt) {
				delete(d.byTarget, target)
			}
		}
	}
	if len(d.byTarget) >= maxDepartures {
		return false
	}
	d.byTarget[run.target] = remembered{run.incarnation, now.Add(departureRetention)}
	return true
}
