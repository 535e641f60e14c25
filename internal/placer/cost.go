package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Between missRiskStart and missRiskFull, as fractions of
	// FirstEventObjective, the risk that the first event misses its objective
	// rises from zero to one. Beyond that it rises slowly (see ramp).
	missRiskStart, missRiskFull = 0.5, 1.0
	// Between gapRiskStart and gapRiskFull, as fractions of MaxEventGap, the
	// risk that the gaps between events of other streams become too long rises
	// from zero to one.
	gapRiskStart, gapRiskFull = 0.85, 1.0
	// delayedStreamWeight scales the cost of delaying streams that another
	// prefill delays already.
	delayedStreamWeight = 0.25
	// recomputeCost is the cost of computing a thousand tokens of shared
	// segments again. The unit of cost is one short response that misses its
	// latency objective.
	recomputeCost = 0.35
	// A response that misses its latency objective costs baseValue, plus one
	// for each tokensPerValueUnit tokens of its prompt.
	baseValue, tokensPerValueUnit = 0.6, 5000
	// secondHomeFactor scales recomputeCost at the engine that is second in the
	// rendezvous order, to which other routers may already have sent the
	// segments.
	secondHomeFactor = 0.8
)

// chooseEngine returns the engine with the lowest cost, its rank in the
// rendezvous order, and the number of prompt tokens that are presumably in its
// cache. The cost covers the risk that the request misses its objective, the
// delay to streams on the engine, and the shared segments that the engine has
// to compute again.
func chooseEngine(r Request, usable []*target) (t *target, rank int, cached int64) {
	shared := int64(0)
	for _, segment := range r.Segments[:len(r.Segments)-1] {
		shared += segment.tokens
	}
	own := r.Segments[len(r.Segments)-1].tokens
	prefix := r.sharedPrefix()
	ordered := slices.Clone(usable)
	slices.SortFunc(ordered, func(a, b *target) int {
		return cmp.Compare(rendezvousWeight(prefix, b.announcement.Name()), rendezvousWeight(prefix, a.announcement.Name()))
	})
	bestCost := 0.0
	for i, candidate := range ordered {
		cachedTokens, recompute := shared, 0.0
		if i > 0 && !candidate.hasCached(prefix, r.Now) {
			cachedTokens, recompute = 0, float64(shared)/1000*recomputeCost
			if i == 1 {
				recompute *= secondHomeFactor
			}
		}
		prefill := r.actualTime(referencePrefillTime(cachedTokens, own+shared-cachedTokens))
		cost := recompute + candidate.latencyCost(prefill, r) + candidate.streamDelayCost(r.streamDelayRisk(cachedTokens, own+shared-cachedTokens), r.Now)
		if t == nil || cost < bestCost {
			t, rank, cached, bestCost = candidate, i, cachedTokens, cost
		}
	}
	return t, rank, cached
}

// latencyCost is the expected cost of the request failing or missing its
// first-event objective.
func (t *target) latencyCost(prefill time.Duration, r Request) float64 {
	firstEvent := t.queueTime(r.Now) + prefill
	objective := float64(r.FirstEventObjective)
	value := baseValue + float64(r.promptTokens())/tokensPerValueUnit
	return value * (ramp(float64(firstEvent), missRiskStart*objective, missRiskFull*objective) + t.failureScore(r.Now))
}

// streamDelayRisk returns the probability, from zero to one, that the prefill
// makes streams on the same engine exceed MaxEventGap.
func (r Request) streamDelayRisk(cached, uncached int64) float64 {
	if r.MaxEventGap <= 0 {
		return 0
	}
	maxGap := float64(r.MaxEventGap)
	return min(1, ramp(float64(r.estimateMaxEventGap(cached, uncached)), gapRiskStart*maxGap, gapRiskFull*maxGap))
}

// streamDelayCost is the expected number of streams that the prefill delays,
// given the risk. Streams that are delayed already count less.
func (t *target) streamDelayCost(risk float64, now time.Time) float64 {
	cost := risk * t.load(now)
	if now.Before(t.streamsDelayedUntil) {
		cost *= delayedStreamWeight
	}
	return cost
}

// ramp rises linearly from zero at from to one at to. Beyond that it rises
// slowly, so that the better of two bad targets is chosen.
func ramp(x, from, to float64) float64 {
	const beyond = 0.05
	switch {
	case x <= from:
		return 0
	case x < to:
		return (x - from) / (to - from)
	default:
		return 1 + beyond*(x-to)/to
	}
}

// queueTime estimates how long a request waits on the engine before its prefill
// starts.
func (t *target) queueTime(now time.Time) time.Duration {
	wait := max(0, t.busyUntil.Sub(now))
	wait += time.Duration(float64(t.waiting)*decay(now.Sub(t.reportedAt), loadDecayTime)) * queuedRequestDelay
	return max(wait, t.firstEventDelay(now))
}
