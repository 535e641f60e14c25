package relayer

import (
	"time"

	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
)

const (
	// lossPrefix is the key prefix of disseminator entries that name a router which has lost
	// the path to all targets. The name of the VM follows the prefix.
	lossPrefix = "pathLost/"
	// lossLease outlasts two announcements that are lost or delayed.
	lossLease = 3 * time.Second
)

// Announcement returns the entry with which a router that has lost the path to all targets
// tells others not to choose it as a relay. It is repeated while the path is lost.
func Announcement(router identifier.Process, now time.Time) disseminator.Entry {
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       lossPrefix + router.VM(),
		Version:   disseminator.NewVersion(router.Incarnation(), uint64(now.UnixNano())),
		ExpiresAt: now.Add(lossLease),
	})
}

// HasLost reports whether the router on a VM has announced that it has lost the path, given
// the live entries.
func HasLost(vm string, live func(key string) (disseminator.Entry, bool)) bool {
	_, lost := live(lossPrefix + vm)
	return lost
}
