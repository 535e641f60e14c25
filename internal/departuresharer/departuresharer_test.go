package departuresharer_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/departuresharer"
	"radishshed.example/radishshed/internal/selector"
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

// router takes announcements of targets.
type router struct {
	selector     *selector.Selector
	sharer       *departuresharer.Sharer
	disseminator *disseminator.Disseminator
}

func newRouter(now *time.Time) *router {
	r := &router{selector: selector.New(selector.Config{Now: func() time.Time { return *now }})}
	r.disseminator = disseminator.New(disseminator.Config{Now: func() time.Time { return *now }, OnChange: func(entries []disseminator.Entry) {
		r.selector.Apply(entries)
		r.sharer.Apply(entries, *now)
	}})
	r.sharer = departuresharer.New(departuresharer.Config{Record: r.selector.RecordDeparture, Publish: r.disseminator.Put, Log: zap.NewNop()})
	return r
}

// SendUpdates implements disseminator.Link: it delivers to this router at once.
func (r *router) SendUpdates(data []byte) error { return r.disseminator.Receive(r, data) }

// announce takes an announcement as a router does.
func (r *router) announce(t *testing.T, now time.Time, sequence int, state string) {
	t.Helper()
	a, err := selector.DecodeAnnouncement(fmt.Appendf(nil,
		`{"name":"engine","address":"127.0.0.1:1","incarnation":1,"sequence":%d,"services":["s"],"capacity":4,"state":%q}`, sequence, state))
	if err != nil {
		t.Fatal(err)
	}
	entry, err := a.Entry(now)
	if err != nil {
		t.Fatal(err)
	}
	r.sharer.ObserveAnnouncement(a, now)
	if err := r.disseminator.Put(entry); err != nil {
		t.Fatal(err)
	}
}

// Guards against a departure that a router never hears of, since it was cut off until the lease of the
// announcement had expired: a late announcement then brings new work (the class of review/10, at the
// project's own interface).
func TestAnnouncedDepartureOutlivesItsLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	first, second := newRouter(&now), newRouter(&now)
	first.announce(t, now, 5, "serving")
	second.announce(t, now, 5, "serving")
	now = now.Add(time.Second)
	first.announce(t, now, 7, "leaving")
	now = now.Add(2 * selector.LeaseDuration)
	first.disseminator.AddLink(second)
	first.disseminator.Flush()
	second.announce(t, now, 6, "serving") // later than the one that second knows
	if got := second.selector.Addresses(); len(got) != 0 {
		t.Errorf("%v is used though it has said that it leaves", got)
	}
}
