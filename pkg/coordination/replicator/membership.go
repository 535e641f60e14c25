package replicator

import (
	"fmt"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Admit proposes the next membership change needed to add the joiner as a
// learner. The caller repeats the call until the joiner is a member. An
// earlier incarnation of the joiner's VM is removed first: its disk is lost,
// so that it can neither vote nor confirm the entries that it acknowledged. One with a
// higher number that does not respond is an earlier one, too: the VM's clock was ahead then.
func (r *Replica) Admit(joiner identifier.Process) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	m := r.Membership()
	if m.Has(joiner) {
		return nil
	}
	for _, member := range append(m.Voters(), m.learners...) {
		if member.VM() != joiner.VM() {
			continue
		}
		if member.Incarnation() > joiner.Incarnation() && (member == r.config.Self || r.responds(member)) {
			return errors.Errorf("%s has been replaced by %s", joiner, member)
		}
		return r.ChangeMembership(NewMembership(withoutMember(m.voters, member), withoutMember(m.learners, member)))
	}
	return r.ChangeMembership(NewMembership(m.voters, append(m.Learners(), joiner)))
}

// MembershipPolicy says how many members vote and when a member counts as gone.
type MembershipPolicy struct {
	// MaxVoters is the most voters that the log has. Further members remain learners, ready to
	// replace a voter. Required; odd, since an even number tolerates no more losses than one less.
	MaxVoters int
	// VoterTimeoutTicks is the time without a response after which a voter may be removed. It
	// should outlast the restart of a member. Required.
	VoterTimeoutTicks int
	// LearnerTimeoutTicks is the time without a response after which a learner is removed. Required.
	LearnerTimeoutTicks int
}

// Adjustment is a change of the membership that the leader makes by itself. The interface is
// sealed: Unchanged, VoterRemoved, LearnerPromoted and LearnerRemoved are its only implementations.
type Adjustment interface{ isAdjustment() }

// Unchanged means that the membership fits its members.
type Unchanged struct{}

// VoterRemoved means that a voter that has been silent for too long no longer counts.
type VoterRemoved struct{ member identifier.Process }

// LearnerPromoted means that a learner that has caught up has become a voter.
type LearnerPromoted struct{ member identifier.Process }

// LearnerRemoved means that a learner that has been silent for too long is no member any more.
type LearnerRemoved struct{ member identifier.Process }

func (Unchanged) isAdjustment()       {}
func (VoterRemoved) isAdjustment()    {}
func (LearnerPromoted) isAdjustment() {}
func (LearnerRemoved) isAdjustment()  {}

// Member returns the voter that was removed.
func (v VoterRemoved) Member() identifier.Process { return v.member }

// Member returns the learner that was promoted.
func (l LearnerPromoted) Member() identifier.Process { return l.member }

// Member returns the learner that was removed.
func (l LearnerRemoved) Member() identifier.Process { return l.member }

// AdjustMembership proposes the change of a single member, if any, after which the log tolerates
// more losses or has fewer members that are gone. The caller repeats the call.
func (r *Replica) AdjustMembership(policy MembershipPolicy) (Adjustment, error) {
	if r.role != Leader {
		return Unchanged{}, ErrNotLeader
	}
	m := r.Membership()
	adjustment := r.nextAdjustment(policy)
	switch a := adjustment.(type) {
	case Unchanged:
		return a, nil
	case VoterRemoved:
		m = NewMembership(withoutMember(m.voters, a.member), m.learners)
	case LearnerPromoted:
		m = NewMembership(append(m.Voters(), a.member), withoutMember(m.learners, a.member))
	case LearnerRemoved:
		m = NewMembership(m.voters, withoutMember(m.learners, a.member))
	default:
		panic(fmt.Sprintf("replicator: unknown adjustment %T", a))
	}
	return adjustment, r.ChangeMembership(m)
}

// nextAdjustment decides on the next change. No change lets the log tolerate fewer losses than
// before:
//
//   - Removing a silent voter of an even number makes the quorum smaller by one. Of an odd number
//     the quorum stays the same; then a learner must be ready to take the place.
//   - Promoting a learner to an even number of voters leaves the quorum as it is. To an odd number
//     it makes the quorum larger by one, so it waits while a voter is silent, which may be replaced.
func (r *Replica) nextAdjustment(policy MembershipPolicy) Adjustment {
	voters := r.Membership().voters
	even := len(voters)%2 == 0
	voter, silence := r.longestSilent(voters)
	learner, ready := r.readyLearner()
	if silence >= policy.VoterTimeoutTicks && (even || ready) {
		return VoterRemoved{voter}
	}
	if ready && len(voters) < policy.MaxVoters && (even || silence < r.config.ElectionTicks) {
		return LearnerPromoted{learner}
	}
	if learner, silence := r.longestSilent(r.Membership().learners); silence >= policy.LearnerTimeoutTicks {
		return LearnerRemoved{learner}
	}
	return Unchanged{}
}

// longestSilent returns the member, other than this leader, that has not responded for the longest
// time, and that time in ticks.
func (r *Replica) longestSilent(members []identifier.Process) (longest identifier.Process, ticks int) {
	for _, member := range members {
		if silence, ok := r.TicksSinceResponse(member); ok && silence > ticks {
			longest, ticks = member, silence
		}
	}
	return longest, ticks
}

// readyLearner returns a learner that has caught up and responds.
func (r *Replica) readyLearner() (identifier.Process, bool) {
	for _, learner := range r.Membership().learners {
		if r.CaughtUp(learner) && r.responds(learner) {
			return learner, true
		}
	}
	return identifier.Process{}, false
}

func withoutMember(members []identifier.Process, member identifier.Process) []identifier.Process {
	var others []identifier.Process
	for _, m := range members {
		if m != member {
			others = append(others, m)
		}
	}
	return others
}
