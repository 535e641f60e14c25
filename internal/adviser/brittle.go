package adviser

import (
	"strconv"
	"strings"
	"time"

	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	// fullPrefix is the key prefix of disseminator entries that name a brittle target which
	// has no room. The incarnation of the version is that of the target.
	fullPrefix = "full/"
	// minFullPause is the shortest time for which a brittle target without room is left
	// alone: the span in which it counts what it turns away.
	minFullPause = time.Second
	// burstRejections is how many requests of all routers are turned away before all of them
	// know that there is no room, and again each time when they try.
	burstRejections = 4
	maxBrittleness  = 1 << 20
)

// ParseBrittleness parses the values of the field of a response in which a target says how many
// requests it can turn away in a second without falling over, a positive whole number. It
// returns zero if the target is not brittle or the statement cannot be read.
func ParseBrittleness(values []string) int {
	if len(values) != 1 {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(values[0]))
	if err != nil || n < 0 {
		return 0
	}
	return min(max(1, n), maxBrittleness)
}

// FullPause returns for how long no router sends anything to a brittle target that has turned
// a request away for want of room, given the number that it can turn away in a second.
//
// It answers a burst that fills all targets of a service while they are brittle: each router
// would try each of them with every request, and their sum would make one after the other
// fall over. After the pause a few requests find out whether there is room.
func FullPause(rejectionsPerSecond int) time.Duration {
	return minFullPause * time.Duration(max(1, (burstRejections+rejectionsPerSecond-1)/max(1, rejectionsPerSecond)))
}

// Full is a run of a brittle target that has no room.
type Full struct {
	target      string
	incarnation uint64
	until       time.Time
}

// NewFull returns that a run of a target is to be left alone until a moment.
func NewFull(target string, incarnation uint64, until time.Time) Full {
	return Full{target, incarnation, until}
}

// Target returns the name of the target.
func (f Full) Target() string { return f.target }

// Incarnation returns the incarnation of the target.
func (f Full) Incarnation() uint64 { return f.incarnation }

// Until returns until when the target is to be left alone.
func (f Full) Until() time.Time { return f.until }

// Entry returns the disseminator entry that tells other processes.
func (f Full) Entry(now time.Time) disseminator.Entry {
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       fullPrefix + f.target,
		Version:   disseminator.NewVersion(f.incarnation, uint64(now.UnixNano())),
		Value:     []byte(strconv.FormatInt(now.UnixNano(), 36)), // a changed value is sent at once
		ExpiresAt: f.until,
	})
}

// FullFrom returns what an entry tells of a target without room, and whether it does.
func FullFrom(e disseminator.Entry) (Full, bool) {
	target, ok := strings.CutPrefix(e.Key(), fullPrefix)
	return Full{target, e.Version().Incarnation(), e.ExpiresAt()}, ok
}
