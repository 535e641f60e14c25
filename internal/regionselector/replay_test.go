package regionselector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/selector"
)

// Replays the load that the package addresses: requests with home regions whose targets there
// fail one after another, each with retries, while others have room. Guards against a retry that
// leaves the region, and against a refusal while a target at home is left.
func TestRequestsStayAtHomeWhileTargetsFail(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	p := placer.New()
	for i := range 12 {
		dataCentre := []string{"a1", "a2", "b1", "c1"}[i%4]
		a, err := selector.NewAnnouncement(selector.AnnouncementConfig{
			Name: fmt.Sprintf("target-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: dataCentre, Incarnation: 1, Sequence: 1,
			Services: []string{"app"}, Capacity: 8, State: selector.Serving{},
		})
		if err != nil {
			t.Fatal(err)
		}
		p.Apply(a, start.Add(time.Hour))
	}
	s := newSelector()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 500 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		home := []string{"north", "south", "west"}[random.IntN(3)]
		selection := s.Select([]string{home}, []string{"north", "south", "west"})
		var tried []string
		for {
			placement, err := p.Choose(placer.Request{Service: "app", Allows: selection.AllowsTarget, Exclude: tried, Now: now})
			if errors.Is(err, placer.ErrNoTarget) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := placement.Target().DataCentre(); !selection.AllowsTarget(got) {
				t.Fatalf("a request of %s was sent to data centre %s", home, got)
			}
			tried = append(tried, placement.Target().Name())
			placement.Finish([]placer.Outcome{placer.Failed{}, placer.Rejected{}, placer.Unreachable{}}[random.IntN(3)], now)
		}
		if want := map[string]int{"north": 6, "south": 3, "west": 3}[home]; len(tried) != want {
			t.Fatalf("refused in %s after %d of %d targets", home, len(tried), want)
		}
	}
}
