package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"radishshed.example/radishshed/pkg/coordination/ranker"
)

const (
	// maxCoordinators is the number of VMs that may grant permits for a target.
	maxCoordinators = 3
	// rankDivisor is by how much the rate of a coordinator exceeds that of the next one.
	rankDivisor = 4
	// The first coordinator may grant at once minBurst permits and those of burstTime, so
	// that few of them are lost to routers that ask seldom.
	minBurst  = 2
	burstTime = 500 * time.Millisecond
	// warmupBurstTime replaces burstTime for warming targets. All coordinators together grant
	// 1.3125 R + (2 + 0.1 R) + 2 permits in a second at a rate of R, and 1.5 R + 5 requests may
	// arrive; the rest is left for requests that reach the target with unequal delays.
	warmupBurstTime = 100 * time.Millisecond
	// demandMargin is how much more demand than supply may ask for permits, so that few of
	// them are lost when the demand varies.
	demandMargin = 1.5
	// notCoordinatorWait is how long a router waits that has asked a VM which may not grant
	// permits. The routers of the two differ, and will soon agree.
	notCoordinatorWait = time.Second
)

// Coordinators returns the VMs that may grant permits for a target, in the order in which
// they have to be asked. They are chosen among the given ones by rendezvous hashing, so that
// all routers choose the same.
func Coordinators(target string, vms []string) []string {
	ranked := ranker.Rank(target, vms)
	return ranked[:min(len(ranked), maxCoordinators)]
}

// bucket is the token bucket from which a coordinator grants the permits of a target. It
// starts empty, so that a new coordinator adds nothing to what an earlier one has granted.
type bucket struct {
	tokens   float64
	filledAt time.Time
	demand   demand // of all routers, as far as they have asked here

	granted, denied uint64 // since the last Usage
	rate            float64
	limit           Limit // to which the last answer kept
}

// fill adds what has accrued at the given rate.
func (b *bucket) fill(rate, burst float64, now time.Time) {
	if !b.filledAt.IsZero() {
		b.tokens += rate * max(0, now.Sub(b.filledAt).Seconds())
	}
	b.tokens = min(b.tokens, burst)
	b.filledAt = now
	b.rate = rate
}

// Grant answers a request for a permit. The rank is the position of this VM among the
// coordinators of the target.
func (l *Limiter) Grant(r PermitRequest, rank int, now time.Time) PermitReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	denied := PermitReply{notBefore: now.Add(notCoordinatorWait), minRankUntil: now}
	if err := l.learn(r, now); err != nil || rank < 0 || rank >= maxCoordinators {
		return denied
	}
	limit, ok := l.granted(r, now)
	if !ok {
		return denied
	}
	reply := PermitReply{}
	if known, ok := l.known(r.limit.target, now); ok && known.newerThan(r.limit) {
		reply.limit = known
	}
	perSecond, limited := limit.requestsPerSecond()
	if !limited || limit.incarnation > r.limit.incarnation && !limit.ofWarmup() {
		reply.granted = true
		return reply
	}
	b := &l.targets[r.limit.target].bucket
	b.demand.add(float64(r.wanted), now)
	rate, burst := shareOf(perSecond, rank)
	if limit.ofWarmup() || l.isWarming(l.targets[r.limit.target], now) {
		burst = min(burst, minBurst+rate*warmupBurstTime.Seconds())
	}
	b.limit = limit
	b.fill(rate, burst, now)
	if b.tokens >= 1 && r.rank >= b.minRank(rate, burst, now) {
		b.tokens--
		b.granted++
		reply.granted = true
		return reply
	}
	b.denied++
	fairWait := b.fairWait(rate, r.demand, now)
	reply.notBefore = now.Add(max(b.nextToken(rate), fairWait/2))
	reply.minRank = 1 - demandMargin*b.supply(rate, now)
	reply.minRankUntil = now.Add(fairWait)
	return reply
}

// learn records the limit that a permit request names. The end of a warm-up is known from
// announcements and responses, so a request that names one changes nothing but the run.
func (l *Limiter) learn(r PermitRequest, now time.Time) error {
	if !r.limit.ofWarmup() {
		_, err := l.apply(r.limit, now)
		return err
	}
	if t, ok := l.targets[r.limit.target]; ok && t.incarnation >= r.limit.incarnation {
		return nil
	}
	_, err := l.run(r.limit.target, r.limit.incarnation, now)
	return err
}

// granted returns the limit to which the answer to a permit request keeps, and whether there
// is one. It is the lower one if the asking router knows of a warm-up that this process has not
// heard of.
func (l *Limiter) granted(r PermitRequest, now time.Time) (Limit, bool) {
	limit, ok := l.inForce(r.limit.target, now)
	if !r.limit.ofWarmup() || ok && limit.incarnation > r.limit.incarnation {
		return limit, ok
	}
	return lower(limit, r.limit), true
}

// shareOf returns the rate at which the coordinator of a rank grants permits, and the most
// that it grants at once. Routers that disagree about who can be reached may use all
// coordinators of a target, so the rates of all ranks add up to less than 4/3 of the limit.
func shareOf(limit float64, rank int) (rate, burst float64) {
	rate = limit / math.Pow(rankDivisor, float64(rank))
	if rank > 0 {
		return rate, 1
	}
	return rate, minBurst + rate*burstTime.Seconds()
}

// supply returns the part of the demand that gets a permit.
func (b *bucket) supply(rate float64, now time.Time) float64 {
	return rate / max(rate, b.demand.perSecond(now))
}

// minRank returns the rank from which requests get a permit. Half a bucket corresponds to the
// ranks whose demand equals the supply. An almost full one is there for all, since what
// accrues further is lost.
func (b *bucket) minRank(rate, burst float64, now time.Time) float64 {
	const (
		almostFull = 0.9
		balanced   = 0.5
	)
	level := b.tokens / burst
	if level >= almostFull {
		return 0
	}
	return 1 - level/balanced*b.supply(rate, now)
}

// nextToken returns the time until there is a token.
func (b *bucket) nextToken(rate float64) time.Duration { return seconds((1 - b.tokens) / rate) }

// fairWait returns half of the time in which the part of the demand of a router with the
// given demand gets one permit. So the permits go to routers by their demand, and a target
// causes about two permit requests for each permit however many routers there are.
func (b *bucket) fairWait(rate, demandOfRouter float64, now time.Time) time.Duration {
	const requestsPerPermit = 2
	return seconds(b.demand.perSecond(now) / (rate * max(demandOfRouter, 1/maxWait.Seconds()) * requestsPerPermit))
}

// seconds returns a number of seconds as a duration of at most maxWait.
func seconds(n float64) time.Duration {
	return time.Duration(min(max(0, n), maxWait.Seconds()) * float64(time.Second))
}

// Usage is how the limit of a target was used since the last report.
type Usage struct {
	limit           Limit
	rate            float64
	demand          float64
	granted, denied uint64
}

// Limit returns the limit.
func (u Usage) Limit() Limit { return u.limit }

// Rate returns the rate at which this coordinator grants permits, in requests a second.
func (u Usage) Rate() float64 { return u.rate }

// Demand returns the requests a second that routers would have sent to the target.
func (u Usage) Demand() float64 { return u.demand }

// Granted returns the number of granted permits.
func (u Usage) Granted() uint64 { return u.granted }

// Denied returns the number of denied permits.
func (u Usage) Denied() uint64 { return u.denied }

// Usage returns the use of the limits for which this process was asked for permits since
// the last call.
func (l *Limiter) Usage(now time.Time) []Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var usages []Usage
	for _, t := range l.targets {
		b := &t.bucket
		if b.granted+b.denied == 0 {
			continue
		}
		limit := t.limit
		if b.limit.ofWarmup() {
			limit = b.limit
		}
		usages = append(usages, Usage{limit, b.rate, b.demand.perSecond(now), b.granted, b.denied})
		b.granted, b.denied = 0, 0
	}
	slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.limit.target, b.limit.target) })
	return usages
}
