package selector

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// peakHalfLife is how fast the peak of urgent work is forgotten.
	peakHalfLife = 10 * time.Second
	// urgentMargin is how much room is kept beyond the peak of urgent work.
	urgentMargin = 1.05
	// urgentPatience is how long work that may not wait still waits for a slot
	// before it is refused: long enough for a slot to become free, short enough
	// for the caller.
	urgentPatience = 500 * time.Millisecond
)

// classes counts the open requests of a service at this router: urgent work,
// which may not wait, and deferrable work, which may.
//
// Deferrable work may hold this router's part of the capacity less what urgent
// work needed at its recent peak. Each router decides alone: with the same load
// on all routers, which the balancer sees to, the parts add up.
type classes struct {
	urgent     atomic.Int64
	deferrable atomic.Int64
	waiting    atomic.Int64 // urgent requests that wait for a slot

	mutex  sync.Mutex
	peak   float64
	peakAt time.Time
}

// urgentPeak notes and returns the decaying peak of urgent work, waiting work
// included.
func (c *classes) urgentPeak(now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	decayed := c.peak * math.Exp2(-now.Sub(c.peakAt).Seconds()/peakHalfLife.Seconds())
	c.peak = max(decayed, float64(c.urgent.Load()+c.waiting.Load()))
	c.peakAt = now
	return c.peak
}

// admitsDeferrable reports whether one more deferrable request leaves room for
// urgent work, given this router's part of the capacity.
func (c *classes) admitsDeferrable(part float64, now time.Time) bool {
	if c.waiting.Load() > 0 {
		return false
	}
	return float64(c.deferrable.Load()+1) <= part-urgentMargin*c.urgentPeak(now)
}

func (c *classes) counter(deferrable bool) *atomic.Int64 {
	if deferrable {
		return &c.deferrable
	}
	return &c.urgent
}
