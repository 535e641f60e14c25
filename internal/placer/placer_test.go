package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/selector"
)

const (
	engineService = "engine"
	plainService  = "app"
)

var start = time.Unix(1_800_000_000, 0)

func announce(t *testing.T, p *placer.Placer, name, service, address string, incarnation, sequence uint64, state selector.State) placer.Change {
	t.Helper()
	a, err := selector.NewAnnouncement(selector.AnnouncementConfig{
		Name: name, Address: address, DataCentre: "a", Incarnation: incarnation, Sequence: sequence,
		Services: []string{service}, Capacity: 8, State: state,
	})
	if err != nil {
		t.Fatal(err)
	}
	return p.Apply(a, start.Add(time.Minute))
}

func newPlacer(t *testing.T, service string, targets int) *placer.Placer {
	t.Helper()
	p := placer.New()
	for i := range targets {
		announce(t, p, fmt.Sprintf("target-%d", i), service, fmt.Sprintf("10.0.0.%d:80", i), 1, 1, selector.Serving{})
	}
	return p
}

func prompt(shared uint64, own int64) placer.Request {
	return placer.Request{
		Service: engineService, FirstEventObjective: 500 * time.Millisecond, TokensPerEvent: 5, MaxEventGap: 500 * time.Millisecond, Now: start,
		Segments: []placer.Segment{placer.NewSegment(1, 500), placer.NewSegment(shared, 4800), placer.NewSegment(1<<40+shared, own)},
	}
}

func choose(t *testing.T, p *placer.Placer, r placer.Request) *placer.Placement {
	t.Helper()
	placement, err := p.Choose(r)
	if err != nil {
		t.Fatal(err)
	}
	return placement
}

// Guards: requests with the same shared segments go to one engine, whichever
// router places them, so that the segments are computed once. Different
// segments are spread over the engines.
func TestSharedSegmentsHaveOneHomeEngine(t *testing.T) {
	routers := []*placer.Placer{newPlacer(t, engineService, 9), newPlacer(t, engineService, 9)}
	used := map[string]bool{}
	now := start
	for segment := range uint64(40) {
		homes := map[string]bool{}
		for i := range 6 {
			r := prompt(100+segment, 300)
			now = now.Add(200 * time.Millisecond)
			r.Now = now
			placement := choose(t, routers[i%2], r)
			placement.RecordFirstEvent(r.Now.Add(30 * time.Millisecond))
			placement.Finish(placer.Served{}, r.Now.Add(100*time.Millisecond))
			homes[placement.Target().Name()] = true
		}
		if len(homes) != 1 {
			t.Fatalf("segment %d was sent to %d engines, want 1", segment, len(homes))
		}
		for name := range homes {
			used[name] = true
		}
	}
	if len(used) < 7 {
		t.Fatalf("40 segments have their home engines on %d of 9 engines, want 7 or more", len(used))
	}
}

// Guards: when requests with the same segment exceed what one engine can
// process, only the excess requests are placed on other engines, and on few of
// them. Otherwise many engines would compute the segment again.
func TestHotSegmentSpillsToFewEngines(t *testing.T) {
	p := newPlacer(t, engineService, 9)
	engines := map[string]int{}
	for i := range 60 {
		r := prompt(7, 3000)
		r.Now = start.Add(time.Duration(i) * 25 * time.Millisecond) // twice the rate that one engine can process
		engines[choose(t, p, r).Target().Name()]++
	}
	if len(engines) < 2 || len(engines) > 5 {
		t.Fatalf("hot segment was sent to %d engines, want 2 to 5: %v", len(engines), engines)
	}
}

// Guards: short requests avoid an engine with the prefill of a long prompt
// under way, also one placed by another router, and return to their home engine
// afterwards.
func TestShortRequestsAvoidLongPrefills(t *testing.T) {
	p := newPlacer(t, engineService, 4)
	home := choose(t, p, prompt(7, 100)).Target().Name()
	p.RecordRemotePrefill(home, 1500*time.Millisecond, true, start)
	if got := choose(t, p, prompt(7, 100)).Target().Name(); got == home {
		t.Fatal("short request was placed on an engine with a long prefill")
	}
	r := prompt(7, 100)
	r.Now = start.Add(2 * time.Second)
	if got := choose(t, p, r).Target().Name(); got != home {
		t.Fatal("request did not return to its home engine after the long prefill")
	}
}

// Guards: prompts so long that their prefill delays every stream on the same
// engine are placed together, so that the streams of one engine are delayed and
// not those of several.
func TestLongPromptsShareAnEngine(t *testing.T) {
	p := newPlacer(t, engineService, 4)
	for segment := range uint64(80) {
		choose(t, p, prompt(1000+segment, 10)) // running streams
	}
	first := choose(t, p, prompt(7, 50_000))
	if !first.DelaysStreams() {
		t.Fatal("DelaysStreams() = false for a prompt of 50,000 tokens")
	}
	second := choose(t, p, prompt(8, 50_000))
	if first.Target().Name() != second.Target().Name() {
		t.Fatalf("long prompts were placed on %s and %s, want one engine", first.Target().Name(), second.Target().Name())
	}
}

// Guards: a target that is leaving gets no new requests and does not return to
// service within the same incarnation. Once a later incarnation has taken an
// address, the address is not used under the earlier name.
func TestTargetsJoinAndLeave(t *testing.T) {
	p := newPlacer(t, plainService, 1)
	serving, leaving := selector.Serving{}, selector.Leaving{}
	cases := []struct {
		name        string
		target      string
		address     string
		incarnation uint64
		sequence    uint64
		state       selector.State
		change      placer.Change
		want        int // targets that can be chosen afterwards
	}{
		{"leaves", "target-0", "10.0.0.0:80", 1, 2, leaving, placer.Left, 0},
		{"delayed announcement", "target-0", "10.0.0.0:80", 1, 3, serving, placer.Unchanged, 0},
		{"restarts under its name", "target-0", "10.0.0.0:80", 2, 1, serving, placer.Joined, 1},
		{"old announcement", "target-0", "10.0.0.0:80", 1, 9, leaving, placer.Unchanged, 1},
		{"another target takes the address", "target-1", "10.0.0.0:80", 3, 1, serving, placer.Joined, 1},
		{"delayed announcement of the former target", "target-0", "10.0.0.0:80", 2, 2, serving, placer.Unchanged, 1},
	}
	for _, c := range cases {
		if got := announce(t, p, c.target, plainService, c.address, c.incarnation, c.sequence, c.state); got != c.change {
			t.Fatalf("%s: change %d, want %d", c.name, got, c.change)
		}
		if got := p.CountUsable(placer.Request{Service: plainService, Now: start}); got != c.want {
			t.Fatalf("%s: %d targets, want %d", c.name, got, c.want)
		}
	}
	if got := choose(t, p, placer.Request{Service: plainService, Now: start}).Target().Name(); got != "target-1" {
		t.Fatalf("chose %s, want target-1, which has taken the address", got)
	}
	if got := p.CountUsable(placer.Request{Service: plainService, Now: start.Add(time.Hour)}); got != 0 {
		t.Fatalf("%d usable targets after all leases have expired, want 0", got)
	}
	if got := p.CountUsable(placer.Request{Service: plainService, Now: start.Add(time.Hour), IgnoreLeases: true}); got != 1 {
		t.Fatalf("%d usable targets while leases are ignored, want 1", got)
	}
}

// Guards: a target that cannot be reached gets no requests while others can
// take them, and is tried again after its backoff.
func TestUnreachableTargetBacksOff(t *testing.T) {
	p := newPlacer(t, plainService, 2)
	now := start
	unreachable := choose(t, p, placer.Request{Service: plainService, Now: now})
	name := unreachable.Target().Name()
	unreachable.Finish(placer.Unreachable{}, now)
	for range 20 {
		placement := choose(t, p, placer.Request{Service: plainService, Now: now})
		if placement.Target().Name() == name {
			t.Fatal("request was placed on a target in backoff")
		}
		placement.Finish(placer.Served{}, now)
	}
	now = now.Add(20 * time.Second)
	seen := false
	for range 40 {
		placement := choose(t, p, placer.Request{Service: plainService, Now: now})
		seen = seen || placement.Target().Name() == name
		placement.Finish(placer.Served{}, now)
	}
	if !seen {
		t.Fatal("target was not tried again after its backoff")
	}
}

// Guards against a choice that is undone and leaves the target with a request, a prefill or
// a cached prompt that it never got.
func TestCancelUndoesTheChoice(t *testing.T) {
	p := newPlacer(t, engineService, 3)
	first := choose(t, p, prompt(7, 30_000))
	home, expected := first.Target().Name(), first.ExpectedFirstEvent()
	first.Cancel()
	first.Finish(placer.Failed{}, start)
	for range 5 {
		again := choose(t, p, prompt(7, 30_000))
		if again.Target().Name() != home || again.ExpectedFirstEvent() != expected {
			t.Errorf("%s, first event expected in %s; before the cancelled choice %s, %s",
				again.Target().Name(), again.ExpectedFirstEvent(), home, expected)
		}
		again.Cancel()
	}
}

// Guards against a run of a target that has said that it leaves and comes back by an
// announcement, also after it was removed, and against a next run that is barred.
func TestDepartedRunStaysAway(t *testing.T) {
	const name, address = "target-0", "10.0.0.0:80"
	p := newPlacer(t, plainService, 1)
	if !p.RecordDeparture(adviser.NewDeparture(name, 1), start) || p.RecordDeparture(adviser.NewDeparture(name, 1), start) {
		t.Error("only the first statement is new")
	}
	usable := func() int { return p.CountUsable(placer.Request{Service: plainService, Now: start}) }
	announce(t, p, name, plainService, address, 1, 2, selector.Serving{})
	p.RemoveExpired(start.Add(time.Hour))
	announce(t, p, name, plainService, address, 1, 3, selector.Serving{})
	if n := usable(); n != 0 {
		t.Errorf("%d targets are usable, want none", n)
	}
	announce(t, p, name, plainService, address, 2, 1, selector.Serving{})
	if n := usable(); n != 1 {
		t.Errorf("%d targets are usable after the next run has been announced, want one", n)
	}
}

// Guards against the shorter of two pauses that ends the longer one, and against a pause
// without an end for the caller.
func TestLongestPauseHolds(t *testing.T) {
	p := newPlacer(t, plainService, 1)
	placement := choose(t, p, placer.Request{Service: plainService, Now: start})
	placement.RecordPause(start.Add(10*time.Second), start)
	placement.RecordPause(start.Add(time.Second), start)
	placement.Finish(placer.Paused{}, start)
	_, err := p.Choose(placer.Request{Service: plainService, Now: start.Add(5 * time.Second)})
	var paused *placer.PausedError
	if !errors.As(err, &paused) || paused.Until().Before(start.Add(10*time.Second)) || paused.Until().After(start.Add(11*time.Second)) {
		t.Fatalf("got %v", err)
	}
	choose(t, p, placer.Request{Service: plainService, Now: start.Add(12 * time.Second)})
}
