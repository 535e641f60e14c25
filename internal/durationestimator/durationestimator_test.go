package durationestimator

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(e *Estimator, kind string, size int64, duration time.Duration) {
	e.Begin(NewRequest(kind, size), start).End(start.Add(duration))
}

func TestLongest(t *testing.T) {
	type ended struct {
		size     int64
		count    int
		duration time.Duration
	}
	for _, test := range []struct {
		name string
		runs []ended
		size int64
		want time.Duration
	}{
		{"nothing has ended", nil, 0, 0},
		{"too few have ended", []ended{{0, minRuns - 1, time.Second}}, 0, 0},
		{"without a size", []ended{{0, 20, time.Second}, {0, 1, 2 * time.Second}}, 0, 2500 * time.Millisecond},
		{"smaller ones are scaled", []ended{{100, 20, time.Second}}, 150, 1875 * time.Millisecond},
		{"larger ones are not", []ended{{100, 20, time.Second}}, 60, 1250 * time.Millisecond},
		{"similar ones tell more than others", []ended{{10, 20, time.Second}, {1000, 20, 10 * time.Second}}, 1000, 12500 * time.Millisecond},
		{"others tell if there are too few similar ones", []ended{{1000, 2, time.Second}, {100, 20, time.Second}}, 1000, 12500 * time.Millisecond},
		{"the oldest are forgotten", []ended{{0, 1, time.Hour}, {0, maxRuns, time.Second}}, 0, 1250 * time.Millisecond},
	} {
		e := New()
		for _, r := range test.runs {
			for range r.count {
				record(e, "route", r.size, r.duration)
			}
		}
		if got := e.Longest(NewRequest("route", test.size), start); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
		if got := e.Longest(NewRequest("other", test.size), start); got != 0 {
			t.Errorf("%s: another kind is expected to run %s", test.name, got)
		}
	}
}

// Guards against a process that has just started, of whose requests only the short ones have
// ended.
func TestRunsThatHaveNotEndedCount(t *testing.T) {
	e := New()
	long := e.Begin(NewRequest("route", 0), start)
	for range minRuns {
		record(e, "route", 0, 100*time.Millisecond)
	}
	now := start.Add(8 * time.Second)
	if got := e.Longest(NewRequest("route", 0), now); got != 10*time.Second {
		t.Errorf("%s, want 10s", got)
	}
	long.Discard()
	if got := e.Longest(NewRequest("route", 0), now); got != 125*time.Millisecond {
		t.Errorf("%s after the caller has left, want 125ms", got)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	e := New()
	run := e.Begin(NewRequest("first", 0), start)
	for i := range 3 * maxKinds {
		record(e, string(rune('a'+i%26))+time.Duration(i).String(), 0, time.Second)
	}
	run.End(start.Add(time.Second)) // its kind has been forgotten
	if len(e.kinds) > maxKinds {
		t.Errorf("%d kinds", len(e.kinds))
	}
}
