package limiter_test

import (
	"testing"

	"radishshed.example/radishshed/internal/limiter"
)

// Guards against ranks that do not follow the sizes, and against requests of the same size of
// which one kind always gets the permits.
func TestSizeRanker(t *testing.T) {
	next := 0.0
	r := limiter.NewSizeRanker(limiter.SizeRankerConfig{Random: func() float64 { return next }})
	next = 0.25
	if got := r.Rank("engine", 10); got != 0.25 {
		t.Errorf("without other requests the rank is %g, want a random one", got)
	}
	for size := range int64(100) {
		r.Record("engine", size)
		r.Record("app", 0)
	}
	cases := []struct {
		service   string
		size      int64
		random    float64
		low, high float64
	}{
		{"engine", 0, 0, 0, 0},
		{"engine", 50, 0, 0.5, 0.5},
		{"engine", 50, 0.9, 0.5, 0.51},
		{"engine", 1000, 0, 1, 1},
		{"app", 0, 0.3, 0.3, 0.3},
		{"app", 0, 0.8, 0.8, 0.8},
	}
	for _, c := range cases {
		next = c.random
		if got := r.Rank(c.service, c.size); got < c.low || got > c.high {
			t.Errorf("rank of size %d of %s is %g, want %g to %g", c.size, c.service, got, c.low, c.high)
		}
	}
	for range 1000 {
		r.Record("engine", 5)
	}
	next = 0
	if got := r.Rank("engine", 6); got != 1 {
		t.Errorf("rank %g by requests of long ago, want 1", got)
	}
}
