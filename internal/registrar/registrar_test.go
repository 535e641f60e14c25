package registrar_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/registrar"
	"radishshed.example/radishshed/internal/selector"
)

// propagation is how long an acknowledged departure may take to reach every router that is not cut
// off.
const propagation = time.Second

// Guards against a departure that is acknowledged and then forgotten, or outlived by a late
// heartbeat (review/10), whatever the VM that is asked knows of the target.
func TestAcknowledgedDepartureOutlivesLateHeartbeats(t *testing.T) {
	cases := []struct {
		name string
		// before happens after the target is known everywhere.
		before func(f *fleet, g *target)
		// asked is the control VM that acknowledges; late that which gets the late heartbeat.
		asked, late int
		// between happens between the acknowledgement and the late heartbeat.
		between func(f *fleet)
	}{
		{"live lease", func(*fleet, *target) {}, 0, 1, nil},
		{"expired lease", func(f *fleet, _ *target) { f.run(5 * time.Second) }, 0, 1, nil},
		{"restarted VM that knows nothing", func(f *fleet, _ *target) {
			f.run(5 * time.Second)
			for _, p := range f.all() {
				f.restart(p)
			}
			f.run(time.Second)
		}, 0, 1, nil},
		{"VM that knows an earlier run", func(f *fleet, g *target) {
			f.cutOff(f.controls[0])
			f.run(20 * time.Second)
			g.born, g.sequence = uint64(f.now.Add(-15*time.Second).UnixMilli()), 0
			g.heartbeat(f.controls[1], 0)
			f.run(5 * time.Second)
			f.heal()
		}, 0, 1, nil},
		{"VM that was cut off meanwhile gets the late heartbeat", func(f *fleet, _ *target) {
			f.run(5 * time.Second)
			f.cutOff(f.controls[1])
		}, 0, 1, func(f *fleet) {
			f.run(6 * time.Second)
			f.heal()
		}},
		{"VM that acknowledged loses power at once", func(f *fleet, _ *target) { f.run(5 * time.Second) }, 0, 1, func(f *fleet) {
			f.restart(f.controls[0])
		}},
		{"router was cut off meanwhile", func(f *fleet, _ *target) { f.cutOff(f.routers[0]) }, 0, 1, func(f *fleet) {
			f.run(6 * time.Second)
			f.heal()
		}},
	}
	ways := []struct {
		name  string
		leave func(g *target, at *process) error
	}{
		{"deregisters and states its start", func(g *target, at *process) error { return g.deregister(at, true) }},
		{"deregisters", func(g *target, at *process) error { return g.deregister(at, false) }},
		{"announces it", (*target).drain},
	}
	for _, tc := range cases {
		for _, way := range ways {
			t.Run(tc.name+", "+way.name, func(t *testing.T) {
				f := newFleet(t, 3, 2)
				g := f.start("t", "10.0.0.1:80")
				f.run(15 * time.Second)
				g.heartbeat(f.controls[2], 0)
				f.run(propagation)
				if len(g.usableAnywhere()) != len(f.routers) {
					t.Fatal("the target is not usable to begin with")
				}
				tc.before(f, g)
				if err := way.leave(g, f.controls[tc.asked]); err != nil {
					t.Fatal(err)
				}
				if tc.between != nil {
					tc.between(f)
				}
				g.heartbeat(f.controls[tc.late], 500*time.Millisecond)
				f.run(500*time.Millisecond + propagation)
				for range 200 {
					f.step()
					if routers := g.usableAnywhere(); len(routers) > 0 {
						t.Fatalf("usable again at %v", routers)
					}
				}
				next := f.start("t", g.address)
				next.heartbeat(f.controls[tc.late], 0)
				f.run(propagation)
				if len(next.usableAnywhere()) != len(f.routers) {
					t.Errorf("the next run is usable only at %v", next.usableAnywhere())
				}
			})
		}
	}
}

// Guards against an acknowledgement of a departure that only an isolated VM knows.
func TestIsolatedVMAcknowledgesNoDeparture(t *testing.T) {
	f := newFleet(t, 3, 2)
	g := f.start("t", "10.0.0.1:80")
	g.heartbeat(f.controls[0], 0)
	f.run(propagation)
	f.cutOff(f.controls[0])
	if err := g.deregister(f.controls[0], true); !errors.Is(err, errIsolated) {
		t.Errorf("%v, want %v", err, errIsolated)
	}
	if err := g.deregister(f.controls[1], true); err != nil {
		t.Error(err)
	}
	if !g.departed(f.controls[1]) {
		t.Error("acknowledged and not recorded")
	}
}

// Guards against strangers that fill the memory of all processes with departures of targets that
// they invent, and against such targets at the cost of those that are known.
func TestDeparturesOfUnknownTargetsAreBounded(t *testing.T) {
	f := newFleet(t, 2, 1)
	known := f.start("known", "10.0.0.1:80")
	f.run(15 * time.Second)
	known.heartbeat(f.controls[0], 0)
	f.run(propagation)
	const strangers = 5000
	refused := 0
	for n := range strangers {
		stranger := f.start(fmt.Sprint("stranger-", n), "10.0.0.2:80")
		if err := stranger.deregister(f.controls[0], true); errors.Is(err, registrar.ErrTooManyUnknown) {
			refused++
		}
	}
	if recorded := strangers - refused; recorded > 600 || recorded == 0 {
		t.Errorf("%d departures of targets that nobody knows were recorded", recorded)
	}
	if err := known.deregister(f.controls[0], false); err != nil {
		t.Errorf("a target that is known: %v", err)
	}
	f.run(propagation)
	if len(known.usableAnywhere()) > 0 {
		t.Error("a target that is known is still usable")
	}
	f.run(6 * time.Minute)
	if err := f.start("late", "10.0.0.3:80").deregister(f.controls[0], true); err != nil {
		t.Errorf("after the others have expired: %v", err)
	}
}

// Guards against a next run that is barred with the one before: under the same name, whether or not
// the deregistration states which run ends, and at a VM that knows neither.
func TestNextRunIsAdmittedAtOnce(t *testing.T) {
	for _, statesBorn := range []bool{true, false} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprintf("states its start: %t, known: %t", statesBorn, known), func(t *testing.T) {
				f := newFleet(t, 2, 1)
				g := f.start("t", "10.0.0.1:80")
				f.run(15 * time.Second)
				if known {
					g.heartbeat(f.controls[0], 0)
					f.run(propagation)
				}
				if err := g.deregister(f.controls[0], statesBorn); err != nil {
					t.Fatal(err)
				}
				f.step()
				next := f.start("t", "10.0.0.1:80")
				next.born -= 5000 // its clock is behind
				if known && !statesBorn && next.born <= g.born {
					t.Fatal("the case is not what it says")
				}
				next.heartbeat(f.controls[1], 0)
				f.run(propagation)
				if len(next.usableAnywhere()) != 1 {
					t.Error("the next run is not usable")
				}
			})
		}
	}
}

// Guards against the same under random delays, cuts and restarts: a run that has left is usable
// nowhere, and the next one is where it is known.
func TestDeparturesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 49))) })
	}
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	f := newFleet(t, 3, 3)
	g := f.start("t", "10.0.0.1:80")
	f.run(12 * time.Second)
	heartbeats := func(g *target, d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			delay := time.Duration(0)
			if random.IntN(3) == 0 {
				delay = time.Duration(random.IntN(8000)) * time.Millisecond
			}
			g.heartbeat(f.controls[random.IntN(3)], delay)
			switch random.IntN(6) {
			case 0:
				f.cutOff(f.all()[random.IntN(6)])
			case 1:
				f.heal()
			case 2:
				f.restart(f.controls[random.IntN(3)])
			}
			f.run(1200 * time.Millisecond)
		}
	}
	heartbeats(g, time.Duration(random.IntN(15_000))*time.Millisecond)
	statesBorn := random.IntN(2) == 0
	for n := 0; g.deregister(f.controls[random.IntN(3)], statesBorn) != nil; n++ {
		if n > 10 {
			t.Fatal("no control VM acknowledges the deregistration")
		}
		f.heal()
	}
	if random.IntN(2) == 0 {
		f.restart(f.controls[random.IntN(3)])
	}
	f.run(time.Duration(random.IntN(3000)) * time.Millisecond)
	f.heal()
	f.run(propagation)
	for range 300 {
		f.step()
		if routers := g.usableAnywhere(); len(routers) > 0 {
			t.Fatalf("usable at %v after its departure was acknowledged", routers)
		}
	}
	next := f.start("t", g.address)
	next.heartbeat(f.controls[random.IntN(3)], 0)
	f.run(propagation)
	if routers := next.usableAnywhere(); len(routers) != len(f.routers) {
		t.Fatalf("the next run is usable only at %v", slices.Compact(routers))
	}
}

// Guards against a late heartbeat of a run that has left and is distributed as that of a target that
// serves: a process that remembers no more departures would use it.
func TestLateHeartbeatIsDistributedAsDeparture(t *testing.T) {
	f := newFleet(t, 2, 0)
	g := f.start("t", "10.0.0.1:80")
	if err := g.deregister(f.controls[0], true); err != nil {
		t.Fatal(err)
	}
	f.run(propagation)
	g.heartbeat(f.controls[1], 0)
	e, ok := f.controls[1].disseminator.Lookup(selector.TargetKey("t"))
	if !ok {
		return // not distributed at all
	}
	a, err := selector.AnnouncementFrom(e)
	if err != nil || a.State() != (selector.Leaving{}) {
		t.Errorf("%v, distributed as %v", err, a.State())
	}
}
