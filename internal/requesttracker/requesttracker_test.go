package requesttracker

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/durationestimator"
	"radishshed.example/radishshed/internal/shutdownplanner"
)

// Guards against requests that are still running when the process is killed (LOST): they are
// ended before, and each is counted once.
func TestShutdownEndsAndCountsRequests(t *testing.T) {
	registry := metrics.NewRegistry()
	tracker := New(Config{Metrics: registry, Log: zap.NewNop()})
	tracker.Add(func() { t.Error("ended a request that has left before the shutdown") }).Remove()
	ended := tracker.Add(func() { t.Error("ended a request that has left") })
	interrupted := make(chan struct{})
	cut := tracker.Add(func() { close(interrupted) })
	if decision, _ := cut.Decide(time.Now(), time.Now().Add(time.Hour)); decision != (shutdownplanner.Accept{}) {
		t.Error("refused without a shutdown")
	}
	const grace = 500 * time.Millisecond
	tracker.BeginShutdown(shutdownplanner.New(shutdownplanner.Config{StartedAt: time.Now(), Notice: grace / 4, Grace: grace}))
	ended.Remove()
	refused := tracker.Add(func() { t.Error("ended a request that was refused") })
	refused.Describe(durationestimator.NewRequest("route", 0))
	if decision, _ := refused.Decide(time.Now(), time.Now().Add(time.Hour)); decision != (shutdownplanner.Refuse{}) {
		t.Error("taken, though nobody knows how long it runs")
	}
	refused.SetRefused()
	refused.Remove()
	select {
	case <-interrupted:
	case <-time.After(grace):
		t.Fatal("a request that is still running was not ended before the process is killed")
	}
	if !cut.Cut() || ended.Cut() {
		t.Errorf("cut %v and %v, want true and false", cut.Cut(), ended.Cut())
	}
	cut.Remove()
	tracker.LogShutdown(time.Now())
	for _, counter := range []struct {
		name string
		want int64
	}{
		{"shutdownRequestsRunning", 2}, {"shutdownRequestsRefused", 1}, {"shutdownRequestsEnded", 1}, {"shutdownRequestsCut", 1},
	} {
		if got := metrics.GetOrRegisterCounter(counter.name, registry).Count(); got != counter.want {
			t.Errorf("%s is %d, want %d", counter.name, got, counter.want)
		}
	}
}
