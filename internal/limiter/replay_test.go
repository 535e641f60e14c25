package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
)

const (
	// window is the time over which the requests at a target are counted. Of these tolerance
	// times what the limit allows and extra more may arrive.
	window    = 4 * time.Second
	tolerance = 1.5
	extra     = 5
	// contactWindow is how long after a change of a limit nothing is checked.
	contactWindow = 3 * time.Second
	// minUse is the part of the limit that has to be used while there is enough work.
	minUse = 0.8
	// minMeanRank is the least mean rank of the requests with a permit. By chance it is 0.5;
	// if only the largest of 2.5 times as many requests get one, it is 0.8.
	minMeanRank = 0.65

	// maxWait is how often at most a router asks again for a target with little to give.
	maxWait = 10 * time.Second

	linkDelay   = time.Millisecond
	noticeDelay = 300 * time.Millisecond // until all routers have heard of a limit
	lenderCount = 24
)

// fleetReplay plays routers, control and limited targets in virtual time.
type fleetReplay struct {
	now     time.Time
	random  *rand.Rand
	routers []*replayRouter
	lenders []string
	targets []*replayTarget
	// controlDown is whether limits are not passed on to all routers.
	controlDown bool
	pending     []notice

	// rankOfSent is the sum of the ranks of the requests with a permit.
	rankOfSent float64
	sent       int

	permitRequests int // to coordinators on other VMs
	elsewhere      int // requests without a permit
}

// replayRouter is a router. Routers in different groups cannot reach each other.
type replayRouter struct {
	vm      string
	limiter *limiter.Limiter
	group   int
	frozen  bool
}

type replayTarget struct {
	name        string
	incarnation uint64
	rate        adviser.RateLimit
	arrivals    []time.Time
}

// notice is a limit that is on its way to all routers of a group.
type notice struct {
	limit limiter.Limit
	at    time.Time
	group int
}

func newFleetReplay(routers, targets int, seed uint64) *fleetReplay {
	f := &fleetReplay{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range routers {
		vm := fmt.Sprintf("router-%d", i)
		f.routers = append(f.routers, &replayRouter{vm: vm, limiter: f.newLimiter(vm)})
		if i < lenderCount {
			f.lenders = append(f.lenders, vm)
		}
	}
	for i := range targets {
		f.targets = append(f.targets, &replayTarget{name: fmt.Sprintf("target-%d", i), incarnation: 1, rate: adviser.Unlimited{}})
	}
	return f
}

func (f *fleetReplay) newLimiter(vm string) *limiter.Limiter {
	return limiter.New(limiter.Config{VM: vm, Random: f.random.Float64})
}

func (f *fleetReplay) limitAll(rate float64) {
	for _, t := range f.targets {
		t.rate = adviser.NewLimited(rate)
	}
}

// run lets requests arrive for a time. The first router gets a seventh of them.
func (f *fleetReplay) run(d time.Duration, requestsPerSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		f.deliver()
		r := f.routers[0]
		if f.random.Float64() > 1.0/7 {
			r = f.routers[f.random.IntN(len(f.routers))]
		}
		if !r.frozen {
			f.request(r)
		}
	}
}

func (f *fleetReplay) deliver() {
	f.pending = slices.DeleteFunc(f.pending, func(n notice) bool {
		if f.now.Before(n.at) {
			return false
		}
		for _, r := range f.routers {
			if r.group == n.group && !r.frozen {
				_, _ = r.limiter.Apply(n.limit, f.now) // the replay has fewer targets than fit
			}
		}
		return true
	})
}

// request offers a request of the router to the targets in random order.
func (f *fleetReplay) request(r *replayRouter) {
	rank := f.random.Float64()
	for n, i := range f.random.Perm(len(f.targets)) {
		t := f.targets[i]
		switch d := r.limiter.Decide(limiter.Attempt{Target: t.name, Incarnation: t.incarnation, Rank: rank, Counted: n > 0}, f.now).(type) {
		case limiter.Free:
			f.send(r, t)
			return
		case limiter.Ask:
			if f.ask(r, d.Request()) {
				f.rankOfSent += rank
				f.sent++
				f.send(r, t)
				return
			}
		}
	}
	f.elsewhere++
}

// ask asks the first coordinator that the router can reach, and reports whether it grants
// the permit.
func (f *fleetReplay) ask(r *replayRouter, request limiter.PermitRequest) bool {
	for rank, vm := range limiter.Coordinators(request.Target(), f.lenders) {
		coordinator := f.routers[slices.IndexFunc(f.routers, func(r *replayRouter) bool { return r.vm == vm })]
		if coordinator.frozen || coordinator.group != r.group {
			continue
		}
		delay := linkDelay
		if coordinator == r {
			delay = 0
		} else {
			f.permitRequests++
		}
		reply := coordinator.limiter.Grant(request, rank, f.now.Add(delay))
		_ = r.limiter.Resolve(request, reply, f.now.Add(2*delay)) // as above
		return reply.Granted()
	}
	r.limiter.Unanswered(request, f.now)
	return false
}

func (f *fleetReplay) send(r *replayRouter, t *replayTarget) {
	t.arrivals = append(t.arrivals, f.now)
	limit, changed, _ := r.limiter.Observe(limiter.Observation{Target: t.name, Incarnation: t.incarnation, RateLimit: t.rate}, f.now)
	if changed && !f.controlDown {
		f.pending = append(f.pending, notice{limit, f.now.Add(noticeDelay), r.group})
	}
}

// check checks the limit of all targets since a moment, and its use if minUse is not zero.
func (f *fleetReplay) check(t *testing.T, what string, rate float64, since time.Time, minUse float64) {
	t.Helper()
	allowed := tolerance*rate*window.Seconds() + extra
	for _, target := range f.targets {
		first := slices.IndexFunc(target.arrivals, func(at time.Time) bool { return !at.Before(since) })
		if first < 0 {
			first = len(target.arrivals)
		}
		arrivals := target.arrivals[first:]
		for i, at := range arrivals {
			last := i
			for last < len(arrivals) && arrivals[last].Before(at.Add(window)) {
				last++
			}
			if float64(last-i) > allowed {
				t.Errorf("%s: %s, limited to %g a second, got %d requests in %s, at most %g may", what, target.name, rate, last-i, window, allowed)
				break
			}
		}
		if used := float64(len(arrivals)) / f.now.Sub(since).Seconds(); used < minUse*rate {
			t.Errorf("%s: %s, limited to %g a second, got %.2f a second", what, target.name, rate, used)
		}
	}
}

// settle lets the contact window pass, and returns the moment.
func (f *fleetReplay) settle(requestsPerSecond float64) time.Time {
	f.run(contactWindow, requestsPerSecond)
	return f.now
}

var replays = []struct {
	routers int
	rate    float64 // of each target
}{
	{20, 0}, {20, 0.5}, {20, 4}, {20, 40},
	{95, 0.5}, {95, 4}, {95, 40},
	{390, 0.5}, {390, 4}, {390, 40},
}

const (
	replayTargets = 6
	// overload is the work for the limited targets, as a multiple of what they take.
	overload = 2.5
)

func (f *fleetReplay) work(rate float64) float64 { return overload * replayTargets * max(rate, 1) }

// Guards against the sum of what routers send to a target that has a limit: in calm times
// with more work than it takes, at most one router of which carries a seventh.
func TestReplayLimitIsKeptAndUsed(t *testing.T) {
	for _, c := range replays {
		t.Run(fmt.Sprintf("%d routers, %g a second", c.routers, c.rate), func(t *testing.T) {
			f := newFleetReplay(c.routers, replayTargets, 1)
			work := f.work(c.rate)
			f.run(2*time.Second, work)
			f.limitAll(c.rate)
			since := f.settle(work)
			f.permitRequests, f.rankOfSent, f.sent = 0, 0, 0
			f.run(60*time.Second, work)
			f.check(t, "calm", c.rate, since, minUse)
			mean := f.rankOfSent / float64(f.sent)
			t.Logf("mean rank of the requests with a permit %.2f", mean)
			if mean < minMeanRank {
				t.Errorf("the mean rank of the requests with a permit is %.2f, at least %.2f is wanted", mean, minMeanRank)
			}
			perTarget := float64(f.permitRequests) / (replayTargets * 60)
			allowed := 1.5 * (2*max(c.rate, 0.25) + float64(c.routers)/maxWait.Seconds())
			t.Logf("%.2f permit requests a second for each target", perTarget)
			if perTarget > allowed {
				t.Errorf("%.2f permit requests a second for each target, at most %.2f may", perTarget, allowed)
			}
		})
	}
}

// Guards against routers that exceed a limit because they start, freeze, or cannot reach each
// other or control.
func TestReplayLimitIsKeptUnderFaults(t *testing.T) {
	for _, c := range replays {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routers, %g a second, seed %d", c.routers, c.rate, seed), func(t *testing.T) {
				f := newFleetReplay(c.routers, replayTargets, seed)
				work := f.work(c.rate)
				f.limitAll(c.rate)
				since := f.settle(work)
				for range 30 {
					f.fault(work)
				}
				f.check(t, "under faults", c.rate, since, 0)
				for _, r := range f.routers {
					r.frozen, r.group = false, 0
				}
				f.controlDown = false
				since = f.settle(work)
				f.run(60*time.Second, work)
				f.check(t, "after the faults", c.rate, since, minUse)
			})
		}
	}
}

// fault makes one change at random and lets some time pass.
func (f *fleetReplay) fault(work float64) {
	r := f.routers[f.random.IntN(len(f.routers))]
	switch f.random.IntN(6) {
	case 0: // a router starts again
		r.limiter, r.frozen = f.newLimiter(r.vm), false
		f.introduce(r)
	case 1:
		r.frozen = !r.frozen
	case 2: // many routers start again at once
		for _, r := range f.routers {
			if f.random.Float64() < 0.6 {
				r.limiter = f.newLimiter(r.vm)
				f.introduce(r)
			}
		}
	case 3: // the routers are cut into groups
		for _, r := range f.routers {
			r.group = f.random.IntN(4)
		}
	case 4: // all partitions heal
		for _, r := range f.routers {
			r.group = 0
		}
	case 5:
		f.controlDown = !f.controlDown
	}
	f.run(time.Duration(f.random.IntN(3000))*time.Millisecond, work)
}

// introduce tells a router that has started the limits that others know.
func (f *fleetReplay) introduce(r *replayRouter) {
	for _, other := range f.routers {
		if other == r {
			continue
		}
		for _, t := range f.targets {
			if limit, ok := other.limiter.Known(t.name, f.now); ok {
				_, _ = r.limiter.Apply(limit, f.now) // the replay has fewer targets than fit
			}
		}
	}
}

// Guards against a limit that changes, ends or belongs to an earlier run of the target, and
// binds on.
func TestReplayLimitChangesAndEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		to   adviser.RateLimit
		run  uint64 // incarnation afterwards
		want float64
	}{
		{"rises", adviser.NewLimited(20), 1, 20},
		{"falls", adviser.NewLimited(1), 1, 1},
		{"ends", adviser.Unlimited{}, 1, 0},
		{"next run", adviser.Unlimited{}, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetReplay(95, replayTargets, 3)
			work := 2 * replayTargets * 20.0
			f.limitAll(4)
			f.settle(work)
			f.run(5*time.Second, work)
			for _, target := range f.targets {
				target.rate, target.incarnation = c.to, c.run
			}
			since := f.settle(work)
			f.elsewhere = 0
			f.run(30*time.Second, work)
			if c.want > 0 {
				f.check(t, c.name, c.want, since, minUse)
				return
			}
			if f.elsewhere > 0 {
				t.Errorf("%d requests got no permit though no limit is named any more", f.elsewhere)
			}
		})
	}
}

// Guards against a table of limits that grows without bound, and against the loss of one that
// is in use.
func TestLimitsAreBounded(t *testing.T) {
	l := limiter.New(limiter.Config{VM: "a"})
	now := time.Unix(1_000_000, 0)
	var full int
	for i := range 5000 {
		_, _, err := l.Observe(limiter.Observation{Target: fmt.Sprintf("target-%d", i), Incarnation: 1, RateLimit: adviser.NewLimited(1)}, now)
		if err != nil {
			full++
		}
	}
	if names := l.Limited(now); len(names) != 4096 || full != 5000-4096 {
		t.Errorf("%d limits are known and %d were refused, want 4096 and 904", len(names), full)
	}
	if _, ok := l.Known("target-0", now); !ok {
		t.Error("an earlier limit was dropped")
	}
	later := now.Add(6 * time.Minute)
	if _, changed, err := l.Observe(limiter.Observation{Target: "new", Incarnation: 1, RateLimit: adviser.NewLimited(1)}, later); err != nil || !changed {
		t.Errorf("limits that have expired still take up room: %v", err)
	}
}
