// Package intentstorer stores the intents of other routers while control cannot be
// reached, so that every request that a failed router may have sent remains known.
//
// When control retires a router, the router's stored intents are passed to control, and
// the router is fenced here: its later intents are refused, even if it resumes after a
// long pause. A router sends a request only after its intent is stored, so a fenced router
// cannot spend budget that control has granted to others.
package intentstorer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
)

// Errors of Store.Add.
var (
	// ErrFenced means that control has retired the router.
	ErrFenced = errors.New("router has been retired")
	// ErrFull means that the store would exceed its capacity, Config.MaxIntents, so
	// that none of the intents was stored.
	ErrFull = errors.New("too many intents are stored")
)

// Config configures a store.
type Config struct {
	// MaxIntents is the capacity of the store. Further intents are refused.
	// Default: 200,000.
	MaxIntents int
}

// Store holds intents of other routers. It is safe for concurrent use.
type Store struct {
	config Config

	mutex   sync.Mutex
	intents map[identifier.Request]bookkeeper.Intent
	fenced  map[string]uint64 // VM name to the newest fenced incarnation
}

// New returns an empty store.
func New(config Config) *Store {
	if config.MaxIntents == 0 {
		config.MaxIntents = 200_000
	}
	return &Store{config: config, intents: map[identifier.Request]bookkeeper.Intent{}, fenced: map[string]uint64{}}
}

// Add stores all of the intents, or none on an error.
func (s *Store) Add(intents []bookkeeper.Intent) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.intents)+len(intents) > s.config.MaxIntents {
		return ErrFull
	}
	for _, i := range intents {
		router := i.Request().Router()
		if fenced, ok := s.fenced[router.VM()]; ok && router.Incarnation() <= fenced {
			return ErrFenced
		}
	}
	for _, i := range intents {
		s.intents[i.Request()] = i
	}
	return nil
}

// Fence makes Add refuse intents of the process and of earlier processes on its VM. It
// returns the stored intents of the given process only.
func (s *Store) Fence(process identifier.Process) []bookkeeper.Intent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fenced[process.VM()] = max(s.fenced[process.VM()], process.Incarnation())
	var stored []bookkeeper.Intent
	for request, i := range s.intents {
		if request.Router() == process {
			stored = append(stored, i)
		}
	}
	slices.SortFunc(stored, func(a, b bookkeeper.Intent) int {
		return cmp.Compare(a.Request().Sequence(), b.Request().Sequence())
	})
	return stored
}

// Sample returns up to n stored intents, in no particular order. It is used to report the
// stored intents to control in parts.
func (s *Store) Sample(n int) []bookkeeper.Intent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sample []bookkeeper.Intent
	for _, i := range s.intents {
		if len(sample) == n {
			break
		}
		sample = append(sample, i)
	}
	return sample
}

// Remove removes intents that control has recorded.
func (s *Store) Remove(requests []identifier.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, request := range requests {
		delete(s.intents, request)
	}
}

// Len returns the number of stored intents.
func (s *Store) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.intents)
}
