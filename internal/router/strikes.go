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
	strikePrefix = "strike/"
	strikeLease  = 10 * time.Minute
	// maxStrikes is how many targets may break on a request.
	maxStrikes = 2
)

// strikes counts the targets that broke on a request. A strike is an entry of
// the disseminator, so that all routers count together.
type strikes struct {
	mutex sync.RWMutex
	// targets maps a fingerprint to the targets that broke on it and the time
	// until when that counts.
	targets map[string]map[string]time.Time
}

func newStrikes() *strikes { return &strikes{targets: map[string]map[string]time.Time{}} }

func strikeEntry(f claimer.Fingerprint, target string, now time.Time) disseminator.Entry {
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:       strikePrefix + hex.EncodeToString(f[:]) + "/" + target,
		Version:   disseminator.NewVersion(uint64(now.Unix()), 1),
		ExpiresAt: now.Add(strikeLease),
	})
}

func (s *strikes) learn(entries []disseminator.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range entries {
		rest, ok := strings.CutPrefix(e.Key(), strikePrefix)
		if !ok {
			continue
		}
		fingerprint, target, _ := strings.Cut(rest, "/")
		if s.targets[fingerprint] == nil {
			s.targets[fingerprint] = map[string]time.Time{}
		}
		s.targets[fingerprint][target] = e.ExpiresAt()
	}
	s.forget(time.Now())
}

func (s *strikes) forget(now time.Time) {
	for fingerprint, targets := range s.targets {
		for target, expiresAt := range targets {
			if now.After(expiresAt) {
				delete(targets, target)
			}
		}
		if len(targets) == 0 {
			delete(s.targets, fingerprint)
		}
	}
}

// out reports whether so many targets broke on the request that it is refused.
func (s *strikes) out(f claimer.Fingerprint, now time.Time) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	count := 0
	for _, expiresAt := range s.targets[hex.EncodeToString(f[:])] {
		if now.Before(expiresAt) {
			count++
		}
	}
	return count >= maxStrikes
}
