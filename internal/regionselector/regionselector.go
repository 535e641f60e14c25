// Package regionselector decides which data centres a request may reach, given the home
// regions of its route and of its organisation.
//
// It answers a load in which some requests must stay in their regions while their targets
// there fail, leave or are full, and other regions have room: first attempts, retries and
// resumptions alike stay at home or are refused.
//
// A Selector is immutable and safe for concurrent use.
package regionselector

import (
	"maps"
	"slices"
)

// Config configures a Selector.
type Config struct {
	// Regions maps data centres to their regions. A data centre that is absent, or whose
	// region is empty, lies outside every home region.
	Regions map[string]string
	// DataCentre is the data centre of this router, to which callers are connected.
	// Required.
	DataCentre string
}

// Selector decides which data centres requests may reach.
type Selector struct {
	regions    map[string]string
	dataCentre string
}

// New returns a Selector.
func New(c Config) *Selector { return &Selector{maps.Clone(c.Regions), c.DataCentre} }

// Select returns where a request may be sent whose route and organisation have the given
// home regions. An empty list does not restrict the request. If both lists restrict it, only
// their intersection is allowed, which may be empty.
func (s *Selector) Select(route, organisation []string) Selection {
	switch {
	case len(route) == 0 && len(organisation) == 0:
		return Selection{}
	case len(route) == 0:
		return s.newSelection(organisation)
	case len(organisation) == 0:
		return s.newSelection(route)
	}
	var both []string
	for _, region := range route {
		if slices.Contains(organisation, region) {
			both = append(both, region)
		}
	}
	return s.newSelection(both)
}

func (s *Selector) newSelection(regions []string) Selection {
	sorted := slices.Sorted(slices.Values(regions))
	return Selection{selector: s, regions: slices.Compact(sorted)}
}

// WithoutDataCentre returns those of the regions that no data centre belongs to.
func (s *Selector) WithoutDataCentre(regions []string) []string {
	var without []string
	for _, region := range regions {
		if region == "" || !slices.Contains(slices.Collect(maps.Values(s.regions)), region) {
			without = append(without, region)
		}
	}
	return without
}

// Selection says where a request may be sent. The zero value does not restrict it.
type Selection struct {
	selector *Selector
	regions  []string
}

// Restricted reports whether the request is restricted to home regions.
func (s Selection) Restricted() bool { return s.selector != nil }

// Regions returns the regions to which the request is restricted, in order.
func (s Selection) Regions() []string { return s.regions }

// AllowsTarget reports whether the request may be sent to targets of a data centre.
func (s Selection) AllowsTarget(dataCentre string) bool {
	if !s.Restricted() {
		return true
	}
	region := s.selector.regions[dataCentre]
	return region != "" && slices.Contains(s.regions, region)
}

// AllowsRelay reports whether a router of a data centre may carry the request. The region to
// which the caller is connected carries it in any case.
func (s Selection) AllowsRelay(dataCentre string) bool {
	if s.AllowsTarget(dataCentre) {
		return true
	}
	own := s.selector.dataCentre
	ownRegion := s.selector.regions[own]
	return dataCentre != "" && dataCentre == own || ownRegion != "" && s.selector.regions[dataCentre] == ownRegion
}
