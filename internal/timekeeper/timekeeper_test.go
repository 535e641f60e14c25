package timekeeper_test

import (
	"testing"
	"time"

	"radishshed.example/radishshed/internal/timekeeper"
)

// Guards: what a keeper tells is the time of day at its start plus the steady
// clock's count, with both readings moved alike, so that a clock that is set later
// cannot show. (A test cannot set the clock; the bench's days do.)
func TestTimeFollowsTheSteadyClock(t *testing.T) {
	start := time.Now()
	keeper := timekeeper.New(start)
	time.Sleep(20 * time.Millisecond)
	now := keeper.Now()
	steady := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0)) // Round takes the steady reading off
	if steady < 20*time.Millisecond || steady != wall {
		t.Fatalf("%v by the steady clock, %v by the time of day", steady, wall)
	}
}
