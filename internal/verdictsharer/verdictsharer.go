// Package verdictsharer shares the verdicts of a Quarantiner among all processes of the
// fleet.
//
// Routers send the crashes that they observe to all control VMs, which decide, and while
// they cannot, to the routers that they have links to, which then decide. Verdicts are
// entries of the disseminator: a process that starts, or whose links are restored, receives
// those that it lacks over its first link.
package verdictsharer

import (
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// Config configures a Sharer.
type Config struct {
	// Quarantiner holds the evidence and the verdicts of the process. Required.
	Quarantiner *quarantiner.Quarantiner
	// Publish distributes an entry to the other processes. Required.
	Publish func(disseminator.Entry) error
	// Log receives a line for each verdict. Required.
	Log *zap.Logger
}

// Sharer connects the Quarantiner of a process with those of other processes. It is safe
// for concurrent use.
type Sharer struct{ config Config }

// New returns a Sharer.
func New(c Config) *Sharer { return &Sharer{c} }

// ReceiveCrashes records the crashes that another process has observed.
func (s *Sharer) ReceiveCrashes(body []byte, now time.Time) error {
	crashes, err := quarantiner.DecodeCrashes(body, now)
	if err != nil {
		return err
	}
	for _, c := range crashes {
		s.config.Quarantiner.RecordCrash(c, now)
	}
	return nil
}

// Decide judges by the evidence of this process and publishes the new verdicts.
func (s *Sharer) Decide(now time.Time) {
	for _, v := range s.config.Quarantiner.Decide(now) {
		s.Publish(v, now)
	}
}

// RecordAnswered records an answered request that was sent at the given time, and publishes
// the verdicts that it lifts.
func (s *Sharer) RecordAnswered(r quarantiner.Request, sentAt, now time.Time) {
	for _, v := range s.config.Quarantiner.RecordAnswered(r, sentAt, now) {
		s.Publish(v, now)
	}
}

// Publish distributes a verdict that the Quarantiner of this process holds.
func (s *Sharer) Publish(v quarantiner.Verdict, now time.Time) {
	s.log(v, now)
	e, err := v.Entry()
	if err == nil {
		err = s.config.Publish(e)
	}
	if err != nil {
		s.config.Log.Warn("cannot publish a verdict", zap.Stringer("subject", v.Subject()), recorder.Err(err))
	}
}

// Apply takes over the verdicts among the entries.
func (s *Sharer) Apply(entries []disseminator.Entry, now time.Time) {
	for _, e := range entries {
		if !quarantiner.IsVerdict(e) {
			continue
		}
		v, err := quarantiner.VerdictFrom(e)
		if err != nil {
			s.config.Log.Warn("cannot decode a verdict", zap.String("key", e.Key()), recorder.Err(err))
			continue
		}
		if s.config.Quarantiner.Apply(v) {
			s.log(v, now)
		}
	}
}

func (s *Sharer) log(v quarantiner.Verdict, now time.Time) {
	s.config.Log.Info("verdict on requests under which targets end",
		append([]zap.Field{zap.Stringer("state", v.State())}, Fields(v, now)...)...)
}

// Fields returns the log fields of a verdict and of its evidence.
func Fields(v quarantiner.Verdict, now time.Time) []zap.Field {
	return []zap.Field{
		zap.Stringer("subject", v.Subject()), zap.Strings("endedTargets", v.Targets()),
		zap.Duration("firstEndAge", now.Sub(v.FirstEndAt())), zap.Duration("lastEndAge", now.Sub(v.LastEndAt())),
		zap.String("decidedBy", v.DecidingVM()), zap.Duration("remaining", v.ExpiresAt().Sub(now)),
	}
}
