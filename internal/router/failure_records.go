package router

import (
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	failurePrefix = "strike/"
	failureLease  = 10 * time.Minute
	// quarantineThreshold is the number of failed targets at which a request is
	// quarantined.
	quarantineThreshold = 2
)

// failureRecords records which targets failed on which requests. A failure
// record is an entry of the disseminator, so that the failures seen by all
// routers are counted together.
type failureRecords struct {
	mutex sync.RWMutex
	// targets maps a request fingerprint to the targets that failed on it, each
	// with the expiry time of the record.
	targets map[string]map[string]time.Time
}

func newFailureRecords() *failureRecords {
	return &failureRecords{targets: map[string]map[string]time.Time{}}
}

func failureEntry(f claimer.Fingerprint, target string, now time.Time) disseminator.Entry {
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       failurePrefix + hex.EncodeToString(f[:]) + "/" + target,
		Version:   disseminator.NewVersion(uint64(now.Unix()), 1),
		ExpiresAt: now.Add(failureLease),
	})
}

func (f *failureRecords) apply(entries []disseminator.Entry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, e := range entries {
		suffix, ok := strings.CutPrefix(e.Key(), failurePrefix)
		if !ok {
			continue
		}
		fingerprint, target, _ := strings.Cut(suffix, "/")
		if f.targets[fingerprint] == nil {
			f.targets[fingerprint] = map[string]time.Time{}
		}
		f.targets[fingerprint][target] = e.ExpiresAt()
	}
	f.removeExpired(time.Now())
}

func (f *failureRecords) removeExpired(now time.Time) {
	for fingerprint, targets := range f.targets {
		for target, expiresAt := range targets {
			if now.After(expiresAt) {
				delete(targets, target)
			}
		}
		if len(targets) == 0 {
			delete(f.targets, fingerprint)
		}
	}
}

// quarantined reports whether so many targets failed on the request that it is
// refused.
func (f *failureRecords) quarantined(fingerprint claimer.Fingerprint, now time.Time) bool {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	count := 0
	for _, expiresAt := range f.targets[hex.EncodeToString(fingerprint[:])] {
		if now.Before(expiresAt) {
			count++
		}
	}
	return count >= quarantineThreshold
}
