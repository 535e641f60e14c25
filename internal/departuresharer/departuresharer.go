// Package departuresharer shares among all processes which runs of targets have said that
// they leave.
//
// Departures are entries of the disseminator: a process that starts, or whose links are
// restored, receives those that it lacks over its first link.
package departuresharer

import (
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// Config configures a Sharer.
type Config struct {
	// Record records a departure where targets are chosen, and reports whether it is new.
	// Required.
	Record func(adviser.Departure, time.Time) bool
	// Publish distributes an entry to the other processes. Required.
	Publish func(disseminator.Entry) error
	// Log receives a line for each departure. Required.
	Log *zap.Logger
}

// Sharer shares departures with other processes. It is safe for concurrent use.
type Sharer struct{ config Config }

// New returns a Sharer.
func New(c Config) *Sharer { return &Sharer{c} }

// Observe records that a run of a target leaves if it says so in a response, and tells the
// other processes.
func (s *Sharer) Observe(target string, incarnation uint64, advice adviser.Advice, now time.Time) {
	if advice.Leaving() {
		s.record(adviser.NewDeparture(target, incarnation), "response", now)
	}
}

// ObserveAnnouncement records that a run of a target leaves if its announcement says so, and tells
// the other processes. The announcement itself reaches none that is cut off while its lease lasts.
func (s *Sharer) ObserveAnnouncement(a selector.Announcement, now time.Time) {
	if _, leaving := a.State().(selector.Leaving); leaving {
		s.record(adviser.NewDeparture(a.Name(), a.Incarnation()), "announcement", now)
	}
}

// record records a departure and tells the other processes, if it is new.
func (s *Sharer) record(d adviser.Departure, source string, now time.Time) {
	if !s.config.Record(d, now) {
		return
	}
	s.log(d, source)
	if err := s.config.Publish(d.Entry(now)); err != nil {
		s.config.Log.Warn("cannot publish that a target leaves", zap.String("target", d.Target()), recorder.Err(err))
	}
}

// Apply records the departures among the entries.
func (s *Sharer) Apply(entries []disseminator.Entry, now time.Time) {
	for _, e := range entries {
		if d, ok := adviser.DepartureFrom(e); ok && s.config.Record(d, now) {
			s.log(d, "process")
		}
	}
}

// log logs a departure and where this process has it from.
func (s *Sharer) log(d adviser.Departure, source string) {
	s.config.Log.Info("target says that it leaves",
		zap.String("target", d.Target()), zap.Uint64("incarnation", d.Incarnation()), zap.String("source", source))
}
