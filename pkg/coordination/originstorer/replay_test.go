package originstorer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/pkg/coordination/originstorer"
)

const (
	replayEnd      = 40 * time.Second
	secondVersion  = 5 * time.Second  // when the second version appears
	thirdDies      = 9 * time.Second  // a third of the routers lose their memory
	controlDies    = 12 * time.Second // one control VM loses its memory
	allDie         = 16 * time.Second // all routers lose their memory
	routersBackIn  = 2 * time.Second
	streamDeadline = 12 * time.Second
	// linkOverhead is what a link adds to a message, without TCP and IP.
	linkOverhead = 24
	// minTakenUp is the share of the streams with two live versions that must go on.
	minTakenUp = 0.9
	// maxRouterBytes is what a node may spend on control, in bytes a second.
	maxRouterBytes = 4096
)

// replayCase is a fleet of a size that is in use, or for which the design is made.
type replayCase struct {
	routers, control int
	streams          int // a second
}

// replay runs a release under which routers and control die, in virtual time. Nothing here
// depends on what the storers answer, so all events are known beforehand.
type replay struct {
	replayCase
	random  *rand.Rand
	storers []*originstorer.Storer // of control
	own     []*originstorer.Storer // of routers
	events  []replayEvent

	joined, taken, lost int
	bytes               []int // received, by control VM
	sent                []int // by router
}

type replayEvent struct {
	at time.Duration
	do func(now time.Time)
}

func newReplay(c replayCase) *replay {
	r := &replay{replayCase: c, random: rand.New(rand.NewPCG(7, uint64(c.routers))), bytes: make([]int, c.control), sent: make([]int, c.routers)}
	for range c.control {
		r.storers = append(r.storers, originstorer.New(originstorer.Config{}))
	}
	for range c.routers {
		r.own = append(r.own, originstorer.New(originstorer.Config{}))
	}
	return r
}

func (r *replay) add(at time.Duration, do func(time.Time)) {
	r.events = append(r.events, replayEvent{at, do})
}

// delay is how long a message takes: mostly a few milliseconds, now and then much longer.
func (r *replay) delay() time.Duration {
	if r.random.IntN(50) == 0 {
		return time.Duration(r.random.IntN(300)) * time.Millisecond
	}
	return time.Duration(500+r.random.IntN(3000)) * time.Microsecond
}

// see lets all processes hear of a version, each after a delay.
func (r *replay) see(at time.Duration, v originstorer.Version) {
	for _, s := range slices.Concat(r.storers, r.own) {
		r.add(at+r.delay(), func(now time.Time) { s.See(v, now, now) })
	}
}

// diesAt returns when the router next loses its memory, and whether it runs.
func (r *replay) diesAt(router int, at time.Duration) (time.Duration, bool) {
	for _, death := range []time.Duration{thirdDies, allDie} {
		if death == thirdDies && router%3 != 0 {
			continue
		}
		if at < death {
			return death, true
		}
		if at < death+routersBackIn {
			return 0, false
		}
	}
	return replayEnd, true
}

// begin begins a stream at a router and lets its caller take it up if the router dies.
func (r *replay) begin(at time.Duration) {
	router := r.random.IntN(r.routers)
	death, runs := r.diesAt(router, at)
	if !runs {
		return
	}
	version := first
	if at > secondVersion+time.Second && r.random.IntN(2) == 0 {
		version = second
	}
	stream := originstorer.Stream(r.random.Uint64())
	o := originstorer.NewOrigin(stream, version, start.Add(at+streamDeadline))
	var names []string
	for i := range r.control {
		names = append(names, fmt.Sprintf("core-%d", i))
	}
	r.add(at, func(now time.Time) {
		r.own[router].Put(o, now)
		if len(r.own[router].Versions(services, now)) < 2 {
			return
		}
		data, err := originstorer.EncodeOrigins([]originstorer.Origin{o}, now)
		if err != nil {
			panic(err)
		}
		for _, name := range originstorer.Holders(stream, names) {
			holder := slices.Index(names, name)
			r.bytes[holder] += len(data) + linkOverhead
			r.sent[router] += len(data) + linkOverhead
		}
	})
	// The record arrives on links that are up; the first event takes longer than that.
	for _, name := range originstorer.Holders(stream, names) {
		holder, arrival := slices.Index(names, name), at+r.delay()
		if at > secondVersion+time.Second && arrival < death+r.delay() {
			r.add(arrival, func(now time.Time) { r.storers[holder].Put(o, now) })
		}
	}
	lasts := time.Duration(r.random.IntN(3000)) * time.Millisecond
	if at+lasts < death || at < secondVersion+time.Second {
		return
	}
	takeUp := death + 100*time.Millisecond + time.Duration(r.random.IntN(4000))*time.Millisecond
	r.add(takeUp, func(now time.Time) { r.takeUp(stream, version, now) })
}

// takeUp takes a stream up at a router that has not seen it.
func (r *replay) takeUp(stream originstorer.Stream, version originstorer.Version, now time.Time) {
	query := originstorer.NewQuery(stream, services)
	resolver := originstorer.NewResolver(r.own[r.random.IntN(r.routers)].Answer(query, now))
	resolver.Ask(len(r.storers))
	for _, s := range r.storers {
		resolver.Add(s.Answer(query, now))
	}
	begun, ok := resolver.Final().(originstorer.Begun)
	switch {
	case !ok:
		r.lost++
	case begun.Version() != version:
		r.joined++
	default:
		r.taken++
	}
}

func (r *replay) run() {
	r.see(0, first)
	r.see(secondVersion, second)
	for i := range int(replayEnd.Seconds()) * r.streams {
		r.begin(time.Duration(i) * time.Second / time.Duration(r.streams))
	}
	lose := func(at time.Duration, storers []*originstorer.Storer, index int) {
		r.add(at, func(now time.Time) {
			storers[index] = originstorer.New(originstorer.Config{})
			storers[index].See(first, now, now) // from the entries of others
			storers[index].See(second, now, now)
		})
	}
	lose(controlDies, r.storers, 0)
	for i := range r.routers {
		if i%3 == 0 {
			lose(thirdDies, r.own, i)
		}
		lose(allDie, r.own, i)
	}
	slices.SortStableFunc(r.events, func(a, b replayEvent) int { return int(a.at - b.at) })
	for _, e := range r.events {
		e.do(start.Add(e.at))
	}
}

// Guards against joined and lost streams, and against bytes that grow with the fleet, when a
// third of the routers, a control VM and then all routers lose their memory in a release.
func TestReleaseUnderWhichRoutersDie(t *testing.T) {
	cases := []replayCase{
		{routers: 20, control: 5, streams: 32},
		{routers: 95, control: 5, streams: 150},
		{routers: 390, control: 7, streams: 1500},
	}
	for _, c := range cases {
		r := newReplay(c)
		r.run()
		seconds := (replayEnd - secondVersion).Seconds()
		router, control := float64(slices.Max(r.sent))/seconds, float64(slices.Max(r.bytes))/seconds
		t.Logf("%d routers: %d taken up, %d lost, %d joined; at most %.0f bytes/s sent by a router, %.0f received by a control VM",
			c.routers, r.taken, r.lost, r.joined, router, control)
		if r.joined > 0 {
			t.Errorf("%d routers: %d streams joined from two versions", c.routers, r.joined)
		}
		if share := float64(r.taken) / float64(r.taken+r.lost); r.taken+r.lost < 12 || share < minTakenUp {
			t.Errorf("%d routers: %d of %d streams go on", c.routers, r.taken, r.taken+r.lost)
		}
		if router > maxRouterBytes {
			t.Errorf("%d routers: a router spends %.0f bytes a second", c.routers, router)
		}
	}
}
