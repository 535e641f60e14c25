package adviser_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/adviser"
)

// Guards against statements that are misread.
func TestParseBrittleness(t *testing.T) {
	cases := []struct {
		values []string
		want   int
	}{
		{nil, 0}, {[]string{"5"}, 5}, {[]string{" 12 "}, 12}, {[]string{"0"}, 1},
		{[]string{"-1"}, 0}, {[]string{"five"}, 0}, {[]string{"1.5"}, 0}, {[]string{"3", "4"}, 0},
	}
	for _, c := range cases {
		if got := adviser.ParseBrittleness(c.values); got != c.want {
			t.Errorf("%q: %d, want %d", c.values, got, c.want)
		}
	}
}

// Guards against an entry that loses what it says.
func TestFullEntry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	full := adviser.NewFull("engine", 7, now.Add(time.Second))
	got, ok := adviser.FullFrom(full.Entry(now))
	if !ok || got != full {
		t.Errorf("%v %t, want %v", got, ok, full)
	}
	if _, ok := adviser.FullFrom(adviser.NewDeparture("engine", 7).Entry(now)); ok {
		t.Error("a departure is taken for a target without room")
	}
}

const (
	fullLasts = 12 * time.Second
	// maxFalls is how often a target may fall over in that time.
	maxFalls = 2
)

// brittleTarget counts what it turns away, and falls over above its limit in a second.
type brittleTarget struct {
	limit  int
	recent []time.Duration
	falls  int
	most   int
}

func (b *brittleTarget) turnAway(at time.Duration) {
	for len(b.recent) > 0 && at-b.recent[0] >= time.Second {
		b.recent = b.recent[1:]
	}
	b.recent = append(b.recent, at)
	b.most = max(b.most, len(b.recent))
	if len(b.recent) > b.limit {
		b.falls++
		b.recent = nil
	}
}

// Guards against routers that each turn to a full brittle target until their sum makes it fall
// over, at the sizes of fleets, in a burst of several times the usual load.
func TestRoutersTogetherDoNotMakeABrittleTargetFall(t *testing.T) {
	cases := []struct {
		routers, limit int
		arrivals       float64 // a second, at all routers together, that would go to the target
	}{
		{20, 5, 30}, {20, 3, 60}, {20, 10, 100}, {95, 5, 60}, {95, 10, 120}, {390, 5, 60}, {390, 10, 150},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(11, uint64(c.routers*100+c.limit)))
		target := &brittleTarget{limit: c.limit}
		pausedUntil := make([]time.Duration, c.routers)
		type notice struct{ at, until time.Duration }
		pending := make([][]notice, c.routers)
		for at := time.Duration(0); at < fullLasts; at += time.Duration(random.ExpFloat64() / c.arrivals * float64(time.Second)) {
			router := random.IntN(c.routers)
			pending[router] = slices.DeleteFunc(pending[router], func(n notice) bool {
				if n.at > at {
					return false
				}
				pausedUntil[router] = max(pausedUntil[router], n.until)
				return true
			})
			if at < pausedUntil[router] {
				continue
			}
			target.turnAway(at)
			until := at + adviser.FullPause(c.limit)
			for other := range c.routers {
				delay := time.Duration(3+random.IntN(9)) * time.Millisecond
				if random.IntN(50) == 0 {
					delay = 250 * time.Millisecond
				}
				// Routers prolong a pause by up to a fifth, each by another part.
				spread := time.Duration(0.2 * random.Float64() * float64(until-at))
				pending[other] = append(pending[other], notice{at + delay, until + spread})
			}
		}
		t.Logf("%d routers, limit %d, %.0f requests/s: at most %d turned away in a second, %d falls", c.routers, c.limit, c.arrivals, target.most, target.falls)
		if target.falls > maxFalls {
			t.Errorf("%d routers, limit %d: the target falls over %d times", c.routers, c.limit, target.falls)
		}
	}
}
