package limiter_test

import (
	"testing"
	"time"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
)

// Guards against a warm-up that an older announcement or an earlier run ends, against one of a
// service without a rate, and against a wait for permits that outlasts the warm-up.
func TestWarmupFollowsTheNewestStatement(t *testing.T) {
	const incarnation = 7
	announced := func(incarnation, sequence uint64, warmTime time.Duration) limiter.AnnouncedWarmup {
		return limiter.AnnouncedWarmup{
			Target: targetName, Incarnation: incarnation, Sequence: sequence, Services: []string{service}, EndsAt: start.Add(warmTime),
		}
	}
	cases := []struct {
		name       string
		rate       float64
		statements []limiter.AnnouncedWarmup
		want       bool
	}{
		{"warming", 4, []limiter.AnnouncedWarmup{announced(incarnation, 5, time.Minute)}, true},
		{"no rate", 0, []limiter.AnnouncedWarmup{announced(incarnation, 5, time.Minute)}, false},
		{"over", 4, []limiter.AnnouncedWarmup{announced(incarnation, 5, time.Minute), announced(incarnation, 6, 0)}, false},
		{"older one arrives late", 4, []limiter.AnnouncedWarmup{announced(incarnation, 5, time.Minute), announced(incarnation, 4, 0)}, true},
		{"earlier run arrives late", 4, []limiter.AnnouncedWarmup{announced(incarnation, 5, time.Minute), announced(incarnation-1, 9, 0)}, true},
		{"next run", 4, []limiter.AnnouncedWarmup{announced(incarnation-1, 9, time.Minute), announced(incarnation, 1, time.Minute)}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := limiter.New(limiter.Config{VM: "router-1"})
			l.SetWarmupRates(map[string]float64{service: c.rate})
			for _, a := range c.statements {
				if _, err := l.Announce(a, start); err != nil {
					t.Fatal(err)
				}
			}
			attempt := limiter.Attempt{Target: targetName, Incarnation: incarnation, Rank: 1}
			ask, limited := l.Decide(attempt, start).(limiter.Ask)
			if limited != c.want {
				t.Fatalf("needs a permit: %t, want %t", limited, c.want)
			}
			if !limited {
				return
			}
			almost := start.Add(time.Minute - time.Millisecond)
			if err := l.Resolve(ask.Request(), l.Grant(ask.Request(), 0, almost), almost); err != nil {
				t.Fatal(err)
			}
			over := start.Add(time.Minute)
			if names, _ := l.Waiting(1, over); len(names) > 0 {
				t.Errorf("%v are avoided after the warm-up", names)
			}
			if d, free := l.Decide(attempt, over).(limiter.Free); !free {
				t.Errorf("%v after the warm-up, want Free", d)
			}
		})
	}
}

// Guards against the higher of two limits being in force, and against a coordinator that has
// not heard of a long warm-up and grants more, or that forgets a limit which the target names.
func TestLowerOfTwoLimitsIsInForce(t *testing.T) {
	for _, named := range []float64{1, 1000} {
		router, limit := limited(t, "router-3", named)
		router.SetWarmupRates(map[string]float64{service: 4})
		w := limiter.NewWarmup(limiter.WarmupConfig{Target: targetName, Incarnation: 1 << 40, Services: []string{service}, EndsAt: start.Add(50 * time.Minute)})
		entry, err := w.Entry()
		if err != nil {
			t.Fatal(err)
		}
		if w, err = limiter.WarmupFrom(entry); err != nil {
			t.Fatal(err)
		}
		if extended, err := router.ExtendWarmup(w, start); err != nil || !extended {
			t.Fatalf("extended %t, %v", extended, err)
		}
		coordinator := limiter.New(limiter.Config{VM: "router-2"})
		if _, err := coordinator.Apply(limit, start); err != nil {
			t.Fatal(err)
		}
		granted := 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
			data, err := limiter.EncodeRequest(askAny(t, router, now), now)
			if err != nil {
				t.Fatal(err)
			}
			request, err := limiter.DecodeRequest(data, now)
			if err != nil {
				t.Fatal(err)
			}
			if coordinator.Grant(request, 0, now).Granted() {
				granted++
			}
		}
		if want := int(10 * min(named, 4)); granted < want-2 || granted > want+3 {
			t.Errorf("%d permits in 10 s at limits of %g and 4 a second", granted, named)
		}
		if known, ok := coordinator.Known(targetName, start); !ok || known.Rate() != adviser.RateLimit(adviser.NewLimited(named)) {
			t.Errorf("the coordinator knows %v", known)
		}
	}
}

// askAny returns a permit request for a request of any size.
func askAny(t *testing.T, l *limiter.Limiter, now time.Time) limiter.PermitRequest {
	t.Helper()
	d := l.Decide(limiter.Attempt{Target: targetName, Incarnation: 1 << 40, Rank: 0.5}, now)
	a, ok := d.(limiter.Ask)
	if !ok {
		t.Fatalf("got %T, want Ask", d)
	}
	return a.Request()
}
