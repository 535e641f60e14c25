package quarantiner

import "time"

// State is the state of a subject.
type State uint64

// The states, in the order in which a subject passes through them. A later state replaces
// an earlier one of the same epoch in every process.
const (
	// Suspected subjects may soon be barred. Meanwhile all routers report whether a request
	// that the subject covers is answered.
	Suspected State = iota + 1
	// Barred subjects are not sent to targets.
	Barred
	// Lifted subjects were suspected or barred until a request that they cover was answered.
	Lifted
)

func (s State) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Barred:
		return "barred"
	case Lifted:
		return "lifted"
	default:
		return "unknown"
	}
}

// lifetime returns how long a verdict with the state holds.
func (s State) lifetime() time.Duration {
	if s == Suspected {
		return suspicionLifetime
	}
	return barLifetime
}

// Verdict is what is known about a subject, with the evidence.
type Verdict struct {
	subject Subject
	state   State
	epoch   uint64
	// targets are the runs of targets that ended.
	targets    []string
	firstEndAt time.Time
	lastEndAt  time.Time
	soundSince time.Time // for Lifted: when the request was sent that was answered
	expiresAt  time.Time
	decidingVM string
}

// Subject returns what the verdict is about.
func (v Verdict) Subject() Subject { return v.subject }

// State returns the state of the subject.
func (v Verdict) State() State { return v.state }

// Epoch returns the number that a later judgement of the same subject exceeds.
func (v Verdict) Epoch() uint64 { return v.epoch }

// Targets returns the runs of targets that ended, as far as they are kept.
func (v Verdict) Targets() []string { return v.targets }

// FirstEndAt returns when the first of these targets ended.
func (v Verdict) FirstEndAt() time.Time { return v.firstEndAt }

// LastEndAt returns when the last of these targets ended.
func (v Verdict) LastEndAt() time.Time { return v.lastEndAt }

// ExpiresAt returns when the verdict is forgotten.
func (v Verdict) ExpiresAt() time.Time { return v.expiresAt }

// DecidingVM returns the VM whose process has decided.
func (v Verdict) DecidingVM() string { return v.decidingVM }

// decidedAt returns when the verdict was reached.
func (v Verdict) decidedAt() time.Time { return v.expiresAt.Add(-v.state.lifetime()) }

// newerThan reports whether the verdict replaces the other one.
func (v Verdict) newerThan(other Verdict) bool {
	if v.epoch != other.epoch {
		return v.epoch > other.epoch
	}
	return v.state > other.state
}
