package placer_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/placer"
)

const (
	largeEngines   = 4
	largeObjective = 300 * time.Millisecond
	largePatience  = 2 * time.Second
	// One request in largeShare has a large prompt.
	largeShare  = 10
	smallTokens = 3_000
	largeTokens = 30_000 // longer than the objective on an idle engine
	hugeTokens  = 2_000_000
)

// largeRun replays prompts of which some are late by their size alone. The engines take as long
// as the placer expects.
type largeRun struct {
	placer *placer.Placer
	open   []*placer.Placement

	small, smallRefused, large, largeRefused int
}

// send chooses an engine for a prompt and returns how long its prefill takes, or zero if the
// request was refused.
func (l *largeRun) send(t *testing.T, number uint64, tokens int64, now time.Time) time.Duration {
	t.Helper()
	for len(l.open) > 0 && !now.Before(start.Add(l.open[0].ExpectedFirstEvent())) {
		l.open[0].Finish(placer.Abandoned{}, now)
		l.open = l.open[1:]
	}
	placement, err := l.placer.Choose(placer.Request{
		Service: engineService, FirstEventObjective: largeObjective, MaxFirstEvent: largeObjective, Patience: largePatience, Now: now, IgnoreLeases: true,
		Segments: []placer.Segment{placer.NewSegment(number, 1), placer.NewSegment(1<<40+number, tokens-1)},
	})
	var overload *placer.OverloadError
	if errors.As(err, &overload) {
		return 0
	}
	if err != nil {
		t.Fatal(err)
	}
	l.open = append(l.open, placement)
	return placement.PrefillTime()
}

// replay sends requests at the given share of what the engines can do.
func (l *largeRun) replay(t *testing.T, load float64) {
	t.Helper()
	mean := (l.send(t, 1, smallTokens, start)*(largeShare-1) + l.send(t, 2, largeTokens, start)) / largeShare
	interval := time.Duration(float64(mean) / largeEngines / load)
	for i := range uint64(2_000) {
		now := start.Add(time.Minute + time.Duration(i)*interval)
		if i%largeShare != 0 {
			l.small++
			if l.send(t, 10+i, smallTokens, now) == 0 {
				l.smallRefused++
			}
			continue
		}
		l.large++
		if l.send(t, 10+i, largeTokens, now) == 0 {
			l.largeRefused++
		}
	}
}

// Guards against refusing the largest prompts while engines idle: they are late by their size
// alone, and no later attempt would be sooner. Under overload they are refused before others.
func TestLargePromptsAreServedByIdleEngines(t *testing.T) {
	cases := []struct {
		load                            float64
		minLargeServed, maxSmallRefused float64
	}{
		{0.3, 0.95, 0},
		{0.6, 0.7, 0.01},
		{2, 0, 0.5},
	}
	for _, c := range cases {
		l := largeRun{placer: newPlacer(t, engineService, largeEngines)}
		l.replay(t, c.load)
		served := 1 - float64(l.largeRefused)/float64(l.large)
		refused := float64(l.smallRefused) / float64(l.small)
		if served < c.minLargeServed || refused > c.maxSmallRefused {
			t.Errorf("load %g: %.2f of the large prompts served, %.2f of the small ones refused", c.load, served, refused)
		}
		if c.load > 1 && served > 1-refused {
			t.Errorf("load %g: %.2f of the large prompts served, but %.2f of the small ones refused", c.load, served, refused)
		}
	}
}

// Guards against a prompt that is read for a caller who has given up.
func TestPromptBeyondThePatienceOfItsCallerIsRefused(t *testing.T) {
	l := largeRun{placer: newPlacer(t, engineService, 1)}
	if l.send(t, 1, hugeTokens, start) != 0 {
		t.Error("the request was let in")
	}
}
