package relayselector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/relayselector"
)

var start = time.Unix(1_800_000_000, 0)

// candidates returns routers that are spread over the data centres.
func candidates(count, dataCentres int) []relayselector.Candidate {
	var all []relayselector.Candidate
	for i := range count {
		all = append(all, relayselector.NewCandidate(fmt.Sprintf("router-%d", i), fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprintf("dc-%d", i%dataCentres)))
	}
	return all
}

// Guards against a relay that refuses and is asked again at once, and one that is never asked
// again.
func TestRelayThatRefusesIsAvoidedForAWhile(t *testing.T) {
	s := relayselector.New(relayselector.Config{DataCentre: "dc-0"})
	only := candidates(1, 1)
	c, ok := s.Choose(only, start)
	if !ok {
		t.Fatal("the only candidate is not chosen")
	}
	s.RecordRefused(c, start)
	if _, ok := s.Choose(only, start.Add(time.Millisecond)); ok {
		t.Error("asked again at once")
	}
	if _, ok := s.Choose(only, start.Add(time.Second)); !ok {
		t.Error("never asked again")
	}
}

// Guards against responses that cross data centres while a near relay has room, and against a
// near relay that is filled up.
func TestNearRelaysComeFirstUntilTheyAreBusier(t *testing.T) {
	cases := []struct {
		load float64
		near bool
	}{{0, true}, {0.5, false}, {1, false}}
	for _, c := range cases {
		s := relayselector.New(relayselector.Config{DataCentre: "dc-0"})
		all := candidates(6, 3)
		for _, candidate := range all {
			if candidate.VM() == "router-0" || candidate.VM() == "router-3" {
				s.RecordAccepted(candidate, c.load, start)
			}
		}
		chosen, _ := s.Choose(all, start)
		if near := chosen.VM() == "router-0" || chosen.VM() == "router-3"; near != c.near {
			t.Errorf("load %g: %s chosen", c.load, chosen.VM())
		}
	}
}

const (
	relayCapacity    = 300
	connectionsASec  = 30 // of each router that is cut off
	connectionLasts  = time.Second
	replayLasts      = 10 * time.Second
	maxUnevenness    = 2.0  // of the fullest relay against the mean
	nearExtra        = 20.0 // connections more that a relay in the own data centre may have
	maxRefusedShare  = 0.01 // of the connections that are asked for
	messageBytes     = 700  // of the handshake of a tunnel, both directions, without TCP and IP
	maxRelayOverhead = 25_000
)

// Guards against relays that are chosen by all at once and refuse while others have room. A
// third of the routers, or all but one of a data centre and some others, are cut off.
func TestCutOffRoutersSpreadOverTheOthers(t *testing.T) {
	cases := []struct {
		routers, dataCentres int
		cut                  func(i int) bool
	}{
		{20, 3, func(i int) bool { return i%3 == 1 && i > 1 }},
		{95, 5, func(i int) bool { return i%3 == 0 }},
		{390, 5, func(i int) bool { return i%3 == 0 }},
		{390, 5, func(i int) bool { return i%5 == 0 && i > 0 }},
	}
	for _, c := range cases {
		all := candidates(c.routers, c.dataCentres)
		var relays []relayselector.Candidate
		selectors := map[int]*relayselector.Selector{}
		for i, candidate := range all {
			if c.cut(i) {
				selectors[i] = relayselector.New(relayselector.Config{
					DataCentre: fmt.Sprintf("dc-%d", i%c.dataCentres), Random: rand.New(rand.NewPCG(5, uint64(i))),
				})
				continue
			}
			relays = append(relays, candidate)
		}
		open := map[string]int{}
		type closing struct {
			at time.Time
			vm string
		}
		var closings []closing
		asked, refused, fullest := 0, 0, 0
		step := time.Second / connectionsASec
		for now := start; now.Sub(start) < replayLasts; now = now.Add(step) {
			for len(closings) > 0 && !closings[0].at.After(now) {
				open[closings[0].vm]--
				closings = closings[1:]
			}
			for i := range all {
				s, cut := selectors[i]
				if !cut {
					continue
				}
				asked++
				chosen, ok := s.Choose(relays, now)
				if !ok || open[chosen.VM()] >= relayCapacity {
					refused++
					s.RecordRefused(chosen, now)
					continue
				}
				open[chosen.VM()]++
				fullest = max(fullest, open[chosen.VM()])
				closings = append(closings, closing{now.Add(connectionLasts), chosen.VM()})
				s.RecordAccepted(chosen, float64(open[chosen.VM()])/relayCapacity, now)
			}
		}
		mean := float64(len(selectors)*connectionsASec) * connectionLasts.Seconds() / float64(len(relays))
		bytes := float64(asked*messageBytes) / replayLasts.Seconds() / float64(len(relays))
		t.Logf("%d routers, %d cut off: %d asked, %d refused, fullest relay %d, mean %.0f, %.0f bytes/s of handshakes at a relay",
			c.routers, len(selectors), asked, refused, fullest, mean, bytes)
		if float64(refused) > maxRefusedShare*float64(asked) {
			t.Errorf("%d routers: %d of %d refused", c.routers, refused, asked)
		}
		if float64(fullest) > maxUnevenness*mean+nearExtra {
			t.Errorf("%d routers: the fullest relay has %d connections, the mean is %.0f", c.routers, fullest, mean)
		}
		if bytes > maxRelayOverhead {
			t.Errorf("%d routers: %.0f bytes a second", c.routers, bytes)
		}
	}
}

// Guards against a relay in a data centre that must not carry the request, and against a choice
// that forgets what is known of relays which this request may not use.
func TestOnlyAllowedDataCentresAreChosen(t *testing.T) {
	s := relayselector.New(relayselector.Config{DataCentre: "dc-0"})
	all := candidates(6, 3)
	s.RecordRefused(all[2], start) // in dc-2
	for range 50 {
		c, ok := s.ChooseAllowed(all, func(dataCentre string) bool { return dataCentre == "dc-1" }, start)
		if !ok || c.DataCentre() != "dc-1" {
			t.Fatalf("%s in %s, %t", c.VM(), c.DataCentre(), ok)
		}
	}
	for range 50 {
		if c, _ := s.ChooseAllowed(all, func(dataCentre string) bool { return dataCentre == "dc-2" }, start); c.VM() != "router-5" {
			t.Fatalf("%s chosen, though router-2 has just refused", c.VM())
		}
	}
}
