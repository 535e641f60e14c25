package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/limiter"
)

const (
	// warmWindow is the time over which the requests at a warming target are counted.
	warmWindow = time.Second
	warmTime   = 80 * time.Second
	// maxLateness is by how much a tenth of the announcements reach a router late, so that they
	// arrive out of order.
	maxLateness = 3 * time.Second
	// maxMeanRank is the highest mean rank of the requests at warming targets; by chance it is 0.5.
	maxMeanRank = 1 - minMeanRank
	service     = "service"
)

// warmReplay plays a data centre whose targets all start at once.
type warmReplay struct {
	*fleetReplay
	announcedAt time.Time
	sequence    uint64
	endsAt      time.Time
	arriving    []arrival
	deliveredAt time.Time
	known       map[*replayRouter]map[string]bool // targets whose announcement a router has received
	cut         map[[2]string]bool                // links from a router to a coordinator
	ranks       map[*replayRouter]*limiter.RankHistory
	lendersOf   map[*replayRouter][]string // as far as a router knows
}

// arrival is an announcement on its way to a router.
type arrival struct {
	router       *replayRouter
	announcement limiter.AnnouncedWarmup
	at           time.Time
}

func newWarmReplay(routers int, rate float64, seed uint64) *warmReplay {
	f := &warmReplay{
		fleetReplay: newFleetReplay(routers, 2*replayTargets, seed), known: map[*replayRouter]map[string]bool{}, cut: map[[2]string]bool{},
		ranks: map[*replayRouter]*limiter.RankHistory{}, lendersOf: map[*replayRouter][]string{},
	}
	f.endsAt = f.now.Add(warmTime)
	for _, r := range f.routers {
		f.start(r, rate)
		f.ranks[r].Record(f.lenders, f.now.Add(-warmTime))
	}
	return f
}

func (f *warmReplay) start(r *replayRouter, rate float64) {
	r.limiter.SetWarmupRates(map[string]float64{service: rate})
	f.known[r], f.ranks[r], f.lendersOf[r] = map[string]bool{}, &limiter.RankHistory{}, f.lenders
}

// join starts routers that become lenders. The others hear of them within a second.
func (f *warmReplay) join(rate, work float64) {
	for range lenderCount / 2 {
		vm := fmt.Sprintf("joined-%d", len(f.routers))
		r := &replayRouter{vm: vm, limiter: f.newLimiter(vm)}
		f.lenders = append(slices.Clone(f.lenders), vm)
		f.start(r, rate)
		f.routers = append(f.routers, r)
	}
	for _, i := range f.random.Perm(len(f.routers)) {
		f.lendersOf[f.routers[i]] = f.lenders
		f.run(time.Second/time.Duration(len(f.routers)), work)
	}
}

// announce sends the announcements that are due and delivers those that arrive.
func (f *warmReplay) announce() {
	if f.now.Sub(f.announcedAt) >= time.Second {
		f.announcedAt = f.now
		f.sequence++
		for _, t := range f.targets {
			for _, r := range f.routers {
				delay := time.Duration(f.random.Float64() * float64(noticeDelay))
				if f.random.Float64() < 0.1 {
					delay += time.Duration(f.random.Float64() * float64(maxLateness))
				}
				endsAt := f.endsAt
				if endsAt.Before(f.now) {
					endsAt = f.now
				}
				a := limiter.AnnouncedWarmup{Target: t.name, Incarnation: t.incarnation, Sequence: f.sequence, Services: []string{service}, EndsAt: endsAt}
				f.arriving = append(f.arriving, arrival{r, a, f.now.Add(delay)})
			}
		}
	}
	if f.now.Sub(f.deliveredAt) < 10*time.Millisecond {
		return
	}
	f.deliveredAt = f.now
	f.arriving = slices.DeleteFunc(f.arriving, func(a arrival) bool {
		if f.now.Before(a.at) {
			return false
		}
		_, _ = a.router.limiter.Announce(a.announcement, f.now) // the replay has fewer targets than fit
		f.known[a.router][a.announcement.Target] = true
		return true
	})
}

func (f *warmReplay) run(d time.Duration, requestsPerSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		f.announce()
		r := f.routers[0]
		if f.random.Float64() > 1.0/7 {
			r = f.routers[f.random.IntN(len(f.routers))]
		}
		f.request(r)
	}
}

// request offers a request of the router to the targets that it knows in random order.
func (f *warmReplay) request(r *replayRouter) {
	rank := f.random.Float64()
	counted := false
	for _, i := range f.random.Perm(len(f.targets)) {
		t := f.targets[i]
		if !f.known[r][t.name] {
			continue
		}
		decision := r.limiter.Decide(limiter.Attempt{Target: t.name, Incarnation: t.incarnation, Rank: rank, Counted: counted}, f.now)
		counted = true
		ask, asked := decision.(limiter.Ask)
		if _, waits := decision.(limiter.Wait); waits || asked && !f.ask(r, ask.Request()) {
			continue
		}
		f.rankOfSent += rank
		f.sent++
		t.arrivals = append(t.arrivals, f.now)
		return
	}
	f.elsewhere++
}

// ask asks the first coordinator to which the router has a link.
func (f *warmReplay) ask(r *replayRouter, request limiter.PermitRequest) bool {
	for _, vm := range limiter.Coordinators(request.Target(), f.lendersOf[r]) {
		if f.cut[[2]string{r.vm, vm}] {
			continue
		}
		coordinator := f.routers[slices.IndexFunc(f.routers, func(r *replayRouter) bool { return r.vm == vm })]
		ranks := f.ranks[coordinator]
		ranks.Record(f.lendersOf[coordinator], f.now)
		reply := coordinator.limiter.Grant(request, ranks.Settled(request.Target(), vm, f.now), f.now.Add(linkDelay))
		_ = r.limiter.Resolve(request, reply, f.now.Add(2*linkDelay)) // as above
		return reply.Granted()
	}
	r.limiter.Unanswered(request, f.now)
	return false
}

// cutLinks cuts each link of a third of the routers to a coordinator with the probability a half.
func (f *warmReplay) cutLinks() {
	for _, r := range f.routers {
		if f.random.Float64() > 1.0/3 {
			continue
		}
		for _, vm := range f.lenders {
			if vm != r.vm && f.random.Float64() < 0.5 {
				f.cut[[2]string{r.vm, vm}] = true
			}
		}
	}
}

func (f *warmReplay) checkWarm(t *testing.T, what string, rate float64, since time.Time, minUse float64) {
	t.Helper()
	most, least := 0, 1e9
	for _, target := range f.targets {
		arrivals := target.arrivals
		last := 0
		for i, at := range arrivals {
			for last < len(arrivals) && arrivals[last].Before(at.Add(warmWindow)) {
				last++
			}
			most = max(most, last-i)
		}
		recent := len(arrivals) - lowerBound(arrivals, since)
		least = min(least, float64(recent)/f.now.Sub(since).Seconds()/rate)
	}
	allowed := tolerance*rate + extra
	t.Logf("%s: at most %d requests in a second, %.1f may; at least %.2f of the rate is used", what, most, allowed, least)
	if float64(most) > allowed {
		t.Errorf("%s: a target that warms at %g a second got %d requests in a second, at most %g may", what, rate, most, allowed)
	}
	if least < minUse {
		t.Errorf("%s: %.2f of the rate of a target is used, want %.2f", what, least, minUse)
	}
}

func lowerBound(times []time.Time, since time.Time) int {
	i, _ := slices.BinarySearchFunc(times, since, func(a, b time.Time) int { return a.Compare(b) })
	return i
}

// Guards against routers that together send a warming target more than it bears while all
// targets of a data centre start, announcements arrive late or out of order and routers lack
// links to coordinators or join; against a target that gets too little, and against large requests there.
func TestReplayWarmingTargets(t *testing.T) {
	for _, routers := range []int{20, 140} {
		for seed, rate := range []float64{0.5, 4, 20} {
			t.Run(fmt.Sprintf("%d routers, %g a second", routers, rate), func(t *testing.T) {
				f := newWarmReplay(routers, rate, uint64(seed))
				work := overload * float64(len(f.targets)) * max(rate, 1)
				f.run(2*time.Second, work)
				since := f.now
				f.run(28*time.Second, work)
				f.checkWarm(t, "calm", rate, since, minUse)
				if mean := f.rankOfSent / float64(f.sent); mean > maxMeanRank {
					t.Errorf("the mean rank of the requests at warming targets is %.2f, at most %.2f is wanted", mean, maxMeanRank)
				}
				f.cutLinks()
				f.join(rate, work)
				since = f.now
				f.run(34*time.Second, work)
				f.checkWarm(t, "with links cut and new routers", rate, since, minUse)
				for range 2 {
					f.run(2*time.Second, 1) // permits accrue
					f.run(time.Second, 4*work)
				}
				f.checkWarm(t, "in bursts", rate, since, 0)
				f.run(f.endsAt.Sub(f.now)+maxLateness, work)
				f.elsewhere = 0
				f.run(5*time.Second, work)
				if f.elsewhere > 0 {
					t.Errorf("%d requests got no permit after the end of the warm-up", f.elsewhere)
				}
			})
		}
	}
}

// Guards against a target that reports a further warm-up without a new incarnation, in an
// announcement or in a response, and against an older announcement that ends it.
func TestReplayTargetWarmsAgain(t *testing.T) {
	const rate = 4
	for _, byResponse := range []bool{false, true} {
		t.Run(fmt.Sprintf("by response: %t", byResponse), func(t *testing.T) {
			f := newWarmReplay(140, rate, 7)
			f.random = rand.New(rand.NewPCG(7, 2))
			f.endsAt = f.now
			work := overload * float64(len(f.targets)) * rate
			f.run(5*time.Second, work)
			if f.elsewhere > int(work) {
				t.Fatalf("%d requests got no permit without a warm-up", f.elsewhere)
			}
			endsAt := f.now.Add(warmTime)
			if byResponse {
				f.shareResponses(endsAt)
			} else {
				f.endsAt = endsAt
			}
			f.run(maxLateness+noticeDelay+time.Second, work)
			since := f.now
			for _, target := range f.targets {
				target.arrivals = nil
			}
			f.run(30*time.Second, work)
			f.checkWarm(t, "warming again", rate, since, minUse)
		})
	}
}

// shareResponses lets a router see a response of each target that states its warm-up, and
// tells the others.
func (f *warmReplay) shareResponses(endsAt time.Time) {
	for _, target := range f.targets {
		w := limiter.NewWarmup(limiter.WarmupConfig{Target: target.name, Incarnation: target.incarnation, Services: []string{service}, EndsAt: endsAt})
		if report, _ := f.routers[3].limiter.ExtendWarmup(w, f.now); !report {
			continue
		}
		for _, r := range f.routers {
			_, _ = r.limiter.ExtendWarmup(w, f.now) // as above
		}
	}
}
