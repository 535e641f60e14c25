package shutdownplanner

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name                                         string
		grace, notice, arrives, deadline, longestRun float64 // seconds after SIGTERM, zero if unknown
		accepted                                     bool
	}{
		{"short run in the notice", 8, 2.5, 0.1, 15, 0.5, true},
		{"short run after the notice", 8, 2.5, 5, 15, 0.5, true},
		{"long run at the beginning", 8, 2.5, 0.1, 15, 7, true},
		{"long run a little later", 8, 2.5, 0.6, 15, 7, false},
		{"unknown run, deadline after the kill", 8, 2.5, 0.1, 15, 0, false},
		{"unknown run, deadline before the kill", 8, 2.5, 5, 7, 0, true},
		{"run longer than its deadline, which comes first", 8, 2.5, 5, 7, 60, true},
		{"no time at all", 8, 2.5, 7.6, 15, 0.01, false},
		{"deadline has passed", 8, 2.5, 7, 6, 0.01, false},
		{"notice longer than the grace period", 2, 5, 1.9, 15, 0.2, false},
		{"stream longer than the grace period", 60, 5, 0, 120, 61, false},
		{"grace period unknown, in the notice", 0, 2.5, 2.4, 15, 60, true},
		{"grace period unknown, after the notice", 0, 2.5, 2.5, 15, 0.01, false},
	} {
		plan := New(Config{StartedAt: start, Notice: seconds(test.notice), Grace: seconds(test.grace)})
		decision := plan.Decide(Request{
			Now: start.Add(seconds(test.arrives)), Deadline: start.Add(seconds(test.deadline)), LongestRun: seconds(test.longestRun),
		})
		if _, accepted := decision.(Accept); accepted != test.accepted {
			t.Errorf("%s: accepted %v, want %v", test.name, accepted, test.accepted)
		}
	}
}

// Replays callers that send stream after stream on kept connections during planned stops, with
// streams and grace periods of all lengths: what is taken ends in time, and what can surely end
// is taken.
func TestNothingThatIsTakenIsCut(t *testing.T) {
	for _, grace := range []float64{2, 4, 8, 15, 30, 60} {
		for _, run := range []float64{0.1, 0.5, 1, 3, 6, 10, 30, 60} {
			t.Run(fmt.Sprintf("grace %v run %v", grace, run), func(t *testing.T) {
				plan := New(Config{StartedAt: start, Notice: seconds(grace * 0.3), Grace: seconds(grace)})
				taken := 0
				for arrives := 0.0; arrives < grace; arrives += 0.05 {
					now := start.Add(seconds(arrives))
					decision := plan.Decide(Request{Now: now, Deadline: now.Add(2 * time.Minute), LongestRun: seconds(run)})
					end := now.Add(seconds(run))
					if _, accepted := decision.(Accept); accepted {
						taken++
						if end.After(plan.CutAt()) {
							t.Errorf("taken at %v s, cut", arrives)
						}
					} else if end.Before(plan.CutAt()) {
						t.Errorf("refused at %v s, though it ends %s before the cut", arrives, plan.CutAt().Sub(end))
					}
				}
				if possible := run < grace*(1-reserveShare); possible != (taken > 0) {
					t.Errorf("%d taken, possible %v", taken, possible)
				}
			})
		}
	}
}

func TestDeadlinesAreInOrder(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 8 * time.Second, 10 * time.Minute} {
		plan := New(Config{StartedAt: start, Notice: grace / 3, Grace: grace})
		report := plan.ReportUntil(start.Add(time.Hour))
		order := []time.Time{start, plan.NoticeEndsAt(), plan.CutAt(), plan.FlushedAt(), report, plan.KilledAt()}
		for i, at := range order[1:] {
			if !order[i].Before(at) {
				t.Errorf("grace %s: deadline %d is not before the next one", grace, i)
			}
		}
		if reserve := plan.KilledAt().Sub(plan.CutAt()); reserve > maxReserve {
			t.Errorf("grace %s: reserve %s", grace, reserve)
		}
	}
	if early := start.Add(time.Millisecond); !New(Config{StartedAt: start, Notice: time.Second, Grace: 8 * time.Second}).ReportUntil(early).Equal(early) {
		t.Error("the report may last longer than its own limit")
	}
}
