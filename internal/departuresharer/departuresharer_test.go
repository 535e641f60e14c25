package departuresharer_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/departuresharer"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// process remembers departures and collects the entries that it publishes.
type process struct {
	departures *adviser.Departures
	published  []disseminator.Entry
	sharer     *departuresharer.Sharer
}

func newProcess() *process {
	p := &process{departures: adviser.NewDepartures()}
	p.sharer = departuresharer.New(departuresharer.Config{
		Record: p.departures.Add,
		Publish: func(e disseminator.Entry) error {
			p.published = append(p.published, e)
			return nil
		},
		Log: zap.NewNop(),
	})
	return p
}

// Guards against processes that do not hear of a departure, against one that is passed on again
// by all that hear of it, and against a next run that is barred.
func TestOneResponseBindsAllProcesses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	first, second := newProcess(), newProcess()
	first.sharer.Observe("target", 7, adviser.New(adviser.Config{}), now)
	if len(first.published) != 0 {
		t.Error("a response that says nothing is passed on")
	}
	for range 3 {
		first.sharer.Observe("target", 7, adviser.New(adviser.Config{Leaving: true}), now)
	}
	if len(first.published) != 1 {
		t.Fatalf("a departure was passed on %d times, want once", len(first.published))
	}
	unrelated := disseminator.NewEntry(disseminator.EntryConfig{Key: "target/other", Version: disseminator.NewVersion(1, 1)})
	second.sharer.Apply(append(first.published, unrelated), now)
	if !second.departures.Contains(adviser.NewDeparture("target", 7)) || second.departures.Contains(adviser.NewDeparture("target", 8)) {
		t.Error("another process must know of this run, and of no later one")
	}
	if second.departures.Contains(adviser.NewDeparture("other", 1)) || len(second.published) != 0 {
		t.Error("another process takes an announcement for a departure, or passes on what it has heard")
	}
}
