package placer

import (
	"cmp"
	"slices"
	"time"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/selector"
)

// Change is the effect of an announcement on the set of targets.
type Change int

// The values of Change.
const (
	Unchanged Change = iota
	Joined
	Left
)

// Apply applies an announcement with the given lease and returns its effect. A
// target that is leaving stays so until its incarnation changes.
func (p *Placer) Apply(a selector.Announcement, expiresAt time.Time) Change {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, leaving := a.State().(selector.Leaving)
	leaving = leaving || p.departures.Contains(adviser.NewDeparture(a.Name(), a.Incarnation()))
	old, known := p.targets[a.Name()]
	if known && old.announcement.Incarnation() > a.Incarnation() {
		return Unchanged
	}
	if known && old.announcement.Incarnation() == a.Incarnation() && old.announcement.Address() == a.Address() {
		if expiresAt.After(old.expiresAt) {
			old.expiresAt = expiresAt
		}
		if leaving && !old.leaving {
			old.leaving = true
			return Left
		}
		return Unchanged
	}
	p.targets[a.Name()] = &target{announcement: a, leaving: leaving, expiresAt: expiresAt}
	p.removeSuperseded(a)
	p.rebuildIndex()
	if _, kept := p.targets[a.Name()]; !kept {
		return Unchanged
	}
	if leaving {
		return Left
	}
	return Joined
}

// RecordDeparture records that a run of a target has said that it leaves, whatever its
// announcements say. It reports whether that is new.
func (p *Placer) RecordDeparture(d adviser.Departure, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if t, ok := p.targets[d.Target()]; ok && t.announcement.Incarnation() <= d.Incarnation() {
		t.leaving = true
	}
	return p.departures.Add(d, now)
}

// RecordFull records that a brittle target has no room, and is to be left alone for a while.
func (p *Placer) RecordFull(f adviser.Full, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if t, ok := p.targets[f.Target()]; ok && t.announcement.Incarnation() == f.Incarnation() && f.Until().After(t.pausedUntil) {
		t.pause(f.Until(), now)
	}
}

// removeSuperseded removes targets that have the address of the announced
// target and an earlier incarnation. If a target with the same address and an
// equal or later incarnation is known, removeSuperseded removes the announced
// target instead.
func (p *Placer) removeSuperseded(a selector.Announcement) {
	for name, t := range p.targets {
		if name == a.Name() || t.announcement.Address() != a.Address() {
			continue
		}
		if t.announcement.Incarnation() < a.Incarnation() {
			delete(p.targets, name)
			continue
		}
		delete(p.targets, a.Name())
	}
}

func (p *Placer) rebuildIndex() {
	p.byService = map[string][]*target{}
	for _, t := range p.targets {
		for _, service := range t.announcement.Services() {
			p.byService[service] = append(p.byService[service], t)
		}
	}
	for _, targets := range p.byService {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.announcement.Name(), b.announcement.Name()) })
	}
}

// RemoveExpired removes targets whose lease expired before the given time,
// except those with open requests.
func (p *Placer) RemoveExpired(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, t := range p.targets {
		if t.expiresAt.Before(before) && t.open == 0 {
			delete(p.targets, name)
		}
	}
	p.rebuildIndex()
}

// Addresses returns the addresses of the targets that are there, though they may want nothing.
// The function allows, if set, reports whether targets of a data centre are included.
func (p *Placer) Addresses(now time.Time, ignoreLeases bool, allows func(dataCentre string) bool) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var addresses []string
	for _, t := range p.targets {
		if t.present(now, ignoreLeases) && (allows == nil || allows(t.announcement.DataCentre())) {
			addresses = append(addresses, t.announcement.Address())
		}
	}
	return addresses
}
