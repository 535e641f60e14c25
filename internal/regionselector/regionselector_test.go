package regionselector_test

import (
	"slices"
	"testing"

	"radishshed.example/radishshed/internal/regionselector"
)

// newSelector returns the selector of a router in data centre a1. Data centre x has an empty
// region, and y is absent.
func newSelector() *regionselector.Selector {
	return regionselector.New(regionselector.Config{
		Regions: map[string]string{"a1": "north", "a2": "north", "b1": "south", "c1": "west", "x": ""}, DataCentre: "a1",
	})
}

// Guards against requests that reach a data centre outside the home regions of their route or
// of their organisation, and against restrictions of those that have none.
func TestSelections(t *testing.T) {
	cases := []struct {
		name                string
		route, organisation []string
		targets, relays     []string
	}{
		{"no home regions", nil, []string{}, []string{"a1", "a2", "b1", "c1", "x", "y", ""}, []string{"a1", "a2", "b1", "c1", "x", "y", ""}},
		{"route", []string{"south"}, nil, []string{"b1"}, []string{"a1", "a2", "b1"}},
		{"organisation", nil, []string{"south", "west"}, []string{"b1", "c1"}, []string{"a1", "a2", "b1", "c1"}},
		{"intersection", []string{"north", "south", "south"}, []string{"south", "west"}, []string{"b1"}, []string{"a1", "a2", "b1"}},
		{"nothing in common", []string{"north"}, []string{"south"}, nil, []string{"a1", "a2"}},
		{"region without a data centre", []string{"east"}, nil, nil, []string{"a1", "a2"}},
		{"empty name", []string{""}, nil, nil, []string{"a1", "a2"}},
	}
	for _, c := range cases {
		selection := newSelector().Select(c.route, c.organisation)
		var targets, relays []string
		for _, dataCentre := range []string{"a1", "a2", "b1", "c1", "x", "y", ""} {
			if selection.AllowsTarget(dataCentre) {
				targets = append(targets, dataCentre)
			}
			if selection.AllowsRelay(dataCentre) {
				relays = append(relays, dataCentre)
			}
		}
		if !slices.Equal(targets, c.targets) || !slices.Equal(relays, c.relays) {
			t.Errorf("%s: targets %q and relays %q, want %q and %q", c.name, targets, relays, c.targets, c.relays)
		}
	}
}

// Guards against a router whose region is not known and that takes all such routers for its
// region.
func TestRouterWithoutRegionRelaysInItsDataCentreOnly(t *testing.T) {
	s := regionselector.New(regionselector.Config{Regions: map[string]string{"b1": "south"}, DataCentre: "x"})
	selection := s.Select([]string{"south"}, nil)
	for dataCentre, want := range map[string]bool{"x": true, "y": false, "": false, "b1": true} {
		if selection.AllowsRelay(dataCentre) != want {
			t.Errorf("%q: %t, want %t", dataCentre, !want, want)
		}
	}
	if got := s.WithoutDataCentre([]string{"", "east", "south"}); !slices.Equal(got, []string{"", "east"}) {
		t.Errorf("%q are said to have no data centre", got)
	}
}
