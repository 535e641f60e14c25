package pathmonitor_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/pathmonitor"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a router that takes one target that has ended, or a few, for the loss of its
// path, and against one that does not see the loss.
func TestProbesDecide(t *testing.T) {
	cases := []struct {
		name              string
		succeeded, failed int
		lost              bool
	}{
		{"the only target has ended", 0, 1, false},
		{"one of four has ended", 3, 1, false},
		{"three of four have ended", 1, 3, false},
		{"both targets fail", 0, 2, true},
		{"all four fail", 0, 4, true},
		{"no target is known", 0, 0, false},
	}
	for _, c := range cases {
		m := pathmonitor.New(start)
		m.RecordProbes(c.succeeded, c.failed, start)
		if m.Lost() != c.lost {
			t.Errorf("%s: lost is %t", c.name, m.Lost())
		}
	}
}

// Guards against a path that is taken for regained by one connection that came through, and
// one that is never regained.
func TestPathIsRegainedWhenMostProbesSucceed(t *testing.T) {
	m := pathmonitor.New(start)
	m.RecordProbes(0, 4, start)
	now := start.Add(time.Second)
	if !m.Suspicious(now) {
		t.Fatal("no probes are due while the path is lost")
	}
	if _, unchanged := m.RecordProbes(1, 3, now).(pathmonitor.Unchanged); !unchanged || !m.Lost() {
		t.Error("one of four probes is not enough")
	}
	if m.Suspicious(now) {
		t.Error("probes follow each other without a pause")
	}
	if _, regained := m.RecordProbes(3, 1, now.Add(time.Second)).(pathmonitor.Regained); !regained || m.Lost() {
		t.Error("three of four probes are enough")
	}
}

// Guards against probes without a reason, which targets pay for.
func TestSuspicions(t *testing.T) {
	late := pathmonitor.SilenceLimit + 50*time.Millisecond
	cases := []struct {
		name  string
		setUp func(m *pathmonitor.Monitor)
		want  bool
	}{
		{"nothing waits", func(*pathmonitor.Monitor) {}, false},
		{"silence while a request waits", func(m *pathmonitor.Monitor) { m.AddWaiting(1, start) }, true},
		{"the request has ended", func(m *pathmonitor.Monitor) {
			m.AddWaiting(1, start)
			m.AddWaiting(-1, start)
		}, false},
		{"something has arrived", func(m *pathmonitor.Monitor) {
			m.AddWaiting(1, start)
			m.RecordReceived(start.Add(late / 2))
		}, false},
		{"a connection takes long to open", func(m *pathmonitor.Monitor) { m.BeginDial(start) }, true},
		{"the connection was opened", func(m *pathmonitor.Monitor) { m.EndDial(m.BeginDial(start)) }, false},
		{"probes have just succeeded", func(m *pathmonitor.Monitor) {
			m.AddWaiting(1, start)
			m.RecordProbes(1, 0, start.Add(late/2))
		}, false},
	}
	for _, c := range cases {
		m := pathmonitor.New(start)
		c.setUp(m)
		if got := m.Suspicious(start.Add(late)); got != c.want {
			t.Errorf("%s: suspicious is %t", c.name, got)
		}
	}
}

const (
	// replayTick is the interval of the checks.
	replayTick = 100 * time.Millisecond
	cutBegins  = 5 * time.Second
	cutEnds    = 17 * time.Second
	replayEnds = 25 * time.Second
	// maxDetection is how long the loss of the path, or its end, may go unnoticed. Callers count
	// from three seconds on.
	maxDetection = 1500 * time.Millisecond
	// maxProbes is how many probes a second all routers together may send to a target.
	maxProbes = 25.0
)

// Guards against a loss that is seen too late, never or without there being one, and against
// probes that overwhelm targets, at the sizes of fleets. A third of the routers are cut off;
// at the others one target in ten has ended, and now and then a target is silent for a second.
func TestThirdOfAFleetIsCutOff(t *testing.T) {
	cases := []struct{ routers, targets int }{{20, 12}, {95, 84}, {390, 700}}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(3, uint64(c.routers)))
		probes := 0
		var latest, latestBack time.Duration
		for router := range c.routers {
			cut := router%3 == 0
			m := pathmonitor.New(start)
			m.AddWaiting(1, start)
			lostAt, backAt := time.Duration(0), time.Duration(0)
			for at := time.Duration(0); at < replayEnds; at += replayTick {
				now := start.Add(at)
				partitioned := cut && at >= cutBegins && at < cutEnds
				silent := random.IntN(50) == 0 // only this router's one busy target is
				if !partitioned && !silent {
					m.RecordReceived(now)
				}
				failedDial := !partitioned && random.IntN(20) == 0 // the target has ended
				if !m.Suspicious(now) && (!failedDial || !m.MayProbe(now)) {
					continue
				}
				probes += pathmonitor.ProbeCount
				succeeded := 0
				for range pathmonitor.ProbeCount {
					if !partitioned && random.IntN(10) > 0 {
						succeeded++
					}
				}
				switch m.RecordProbes(succeeded, pathmonitor.ProbeCount-succeeded, now).(type) {
				case pathmonitor.Lost:
					lostAt = at
				case pathmonitor.Regained:
					backAt = at
				}
			}
			if !cut && lostAt > 0 {
				t.Errorf("%d routers: a router that is not cut off takes its path for lost", c.routers)
			}
			if cut && (lostAt == 0 || backAt == 0) {
				t.Errorf("%d routers: lost at %s, back at %s", c.routers, lostAt, backAt)
			}
			if cut {
				latest, latestBack = max(latest, lostAt-cutBegins), max(latestBack, backAt-cutEnds)
			}
		}
		perTarget := float64(probes) / replayEnds.Seconds() / float64(c.targets)
		t.Logf("%d routers: loss seen after %s at the latest, its end after %s, %.1f probes/s at a target", c.routers, latest, latestBack, perTarget)
		if latest > maxDetection || latestBack > maxDetection || perTarget > maxProbes {
			t.Errorf("%d routers: too late, or too many probes", c.routers)
		}
	}
}
