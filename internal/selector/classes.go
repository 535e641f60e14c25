package selector

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// peakHalfLife is the half-life of the recorded peak of urgent requests.
	peakHalfLife = 10 * time.Second
	// Capacity is kept free for urgentHeadroom times the peak of urgent
	// requests.
	urgentHeadroom = 1.05
	// urgentWaitTimeout is how long an urgent request waits for a slot before
	// it is refused: long enough for a slot to become free, short enough for
	// the caller.
	urgentWaitTimeout = 500 * time.Millisecond
)

// classCounters counts a service's open requests on this router by class:
// urgent requests, which wait for capacity only briefly, and deferrable
// requests, which may wait for longer.
//
// Deferrable requests may use this router's share of the capacity less what
// urgent requests needed at their recent peak. Each router decides without
// asking the others. The load balancer spreads the load evenly over the
// routers, so the shares add up to the whole capacity.
type classCounters struct {
	urgent     atomic.Int64
	deferrable atomic.Int64
	waiting    atomic.Int64 // urgent requests waiting for a slot

	mutex  sync.Mutex
	peak   float64
	peakAt time.Time
}

// urgentPeak updates and returns the decaying peak of urgent requests, waiting
// ones included.
func (c *classCounters) urgentPeak(now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	decayed := c.peak * math.Exp2(-now.Sub(c.peakAt).Seconds()/peakHalfLife.Seconds())
	c.peak = max(decayed, float64(c.urgent.Load()+c.waiting.Load()))
	c.peakAt = now
	return c.peak
}

// admitsDeferrable reports whether one more deferrable request leaves enough of
// this router's capacity share for urgent requests.
func (c *classCounters) admitsDeferrable(share float64, now time.Time) bool {
	if c.waiting.Load() > 0 {
		return false
	}
	return float64(c.deferrable.Load()+1) <= share-urgentHeadroom*c.urgentPeak(now)
}

func (c *classCounters) counter(deferrable bool) *atomic.Int64 {
	if deferrable {
		return &c.deferrable
	}
	return &c.urgent
}
