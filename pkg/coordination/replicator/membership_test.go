package replicator

import (
	"testing"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Guards against serving an outdated configuration: a restarted member that
// replays its journal must not count as up to date before the current leader
// has committed an entry of its term, since the journal does not record the
// commit index.
func TestReplayingMemberIsNotUpToDate(t *testing.T) {
	r := newMember(t, 1, Entry{2, 1, Command, []byte("old")}, Entry{3, 1, Command, []byte("new")})
	r.TakeOutput()
	if r.UpToDate() {
		t.Fatal("up to date without a leader")
	}
	elect(t, r)
	persist(r)
	if r.UpToDate() {
		t.Fatal("up to date before an entry of the current term is committed")
	}
	r.Step(AppendResponse{header: header{memberB, memberA, r.Term()}, success: true, index: r.lastIndex()})
	r.TakeOutput()
	if !r.UpToDate() {
		t.Fatal("not up to date after all entries have been committed and taken")
	}
}

// Guards against removing a voter without a replacement: an unresponsive voter
// of an odd number is removed only when a learner has caught up. Replacing a permanently failed
// voter lets a log of three voters tolerate the later loss of a second one.
func TestUnresponsiveVoterIsRemovedForLearner(t *testing.T) {
	const ticks = 20
	policy := MembershipPolicy{MaxVoters: 3, VoterTimeoutTicks: ticks, LearnerTimeoutTicks: 2 * ticks}
	learner := identifier.NewProcess("d", 1)
	cases := []struct {
		name         string
		hasLearner   bool
		unresponsive bool
		caughtUp     bool
		want         Adjustment
	}{
		{"no learner", false, true, false, Unchanged{}},
		{"learner behind", true, true, false, Unchanged{}},
		{"no unresponsive voter", true, false, true, Unchanged{}},
		{"learner replaces voter", true, true, true, VoterRemoved{memberC}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newMember(t, 1)
			elect(t, r)
			persist(r)
			acknowledge := func(from identifier.Process) {
				r.Step(AppendResponse{header: header{from, memberA, r.Term()}, success: true, index: r.lastIndex()})
			}
			acknowledge(memberB)
			r.TakeOutput()
			if c.hasLearner {
				if err := r.Admit(learner); err != nil {
					t.Fatal(err)
				}
				persist(r)
				acknowledge(memberB)
				r.TakeOutput()
			}
			for range ticks {
				r.Tick()
				acknowledge(memberB)
				if !c.unresponsive {
					acknowledge(memberC)
				}
				if c.caughtUp {
					acknowledge(learner)
				}
			}
			got, err := r.AdjustMembership(policy)
			if err != nil || got != c.want {
				t.Fatalf("%T%v, %v; want %T%v", got, got, err, c.want, c.want)
			}
		})
	}
}

// Guards against a planned stop that hands the leadership to a voter that is gone: the log then waits
// for an election timeout, or for the end of the stop.
func TestLeadershipIsNotTransferredToSilentVoter(t *testing.T) {
	r := newMember(t, 1)
	elect(t, r)
	persist(r)
	acknowledge := func(from identifier.Process) {
		r.Step(AppendResponse{header: header{from, memberA, r.Term()}, success: true, index: r.lastIndex()})
	}
	acknowledge(memberC)
	acknowledge(memberB)
	for range r.config.ElectionTicks {
		r.Tick()
		acknowledge(memberB)
	}
	r.TakeOutput()
	r.TransferLeadership()
	messages := r.TakeOutput().messages
	if len(messages) != 1 || messages[0].To() != memberB {
		t.Fatalf("%v, want a request to %s to campaign", messages, memberB)
	}
}

// Guards against a VM that is refused for good, since a former process of it that is gone has a higher
// incarnation: it had started while the VM's clock was ahead.
func TestSuccessorOfSilentProcessIsAdmitted(t *testing.T) {
	ahead, successor := identifier.NewProcess("d", 9), identifier.NewProcess("d", 5)
	cases := []struct {
		name     string
		responds bool
		admitted bool
	}{
		{"the former process is gone", false, true},
		{"the former process responds", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newMember(t, 1)
			elect(t, r)
			acknowledge := func(from identifier.Process) {
				persist(r)
				r.Step(AppendResponse{header: header{from, memberA, r.Term()}, success: true, index: r.lastIndex()})
			}
			acknowledge(memberB)
			if err := r.Admit(ahead); err != nil {
				t.Fatal(err)
			}
			acknowledge(memberB)
			for range r.config.ElectionTicks {
				r.Tick()
				acknowledge(memberB)
				if c.responds {
					acknowledge(ahead)
				}
			}
			for range 2 { // the removal of the former process, and the admission
				if err := r.Admit(successor); (err == nil) != c.admitted {
					t.Fatalf("error %v, admitted: want %t", err, c.admitted)
				}
				acknowledge(memberB)
			}
			if got := r.Membership().Has(successor); got != c.admitted || r.Membership().Has(ahead) == c.admitted {
				t.Errorf("members %v, want the successor among them: %t", r.Membership(), c.admitted)
			}
		})
	}
}

// Guards against a learner that has caught up, has died since, and takes the place of a voter: in a log
// without proposals it stays caught up.
func TestSilentLearnerIsNotPromoted(t *testing.T) {
	policy := MembershipPolicy{MaxVoters: 5, VoterTimeoutTicks: 50, LearnerTimeoutTicks: 100}
	learner := identifier.NewProcess("d", 1)
	for _, responds := range []bool{true, false} {
		r := newMember(t, 1)
		elect(t, r)
		acknowledge := func(members ...identifier.Process) {
			persist(r)
			for _, from := range members {
				r.Step(AppendResponse{header: header{from, memberA, r.Term()}, success: true, index: r.lastIndex()})
			}
		}
		acknowledge(memberB, memberC)
		if err := r.Admit(learner); err != nil {
			t.Fatal(err)
		}
		acknowledge(memberB, memberC, learner)
		for range r.config.ElectionTicks {
			r.Tick()
			acknowledge(memberB, memberC)
			if responds {
				acknowledge(learner)
			}
		}
		want := Adjustment(Unchanged{})
		if responds {
			want = LearnerPromoted{learner}
		}
		if got, err := r.AdjustMembership(policy); err != nil || got != want {
			t.Errorf("the learner responds: %t: %T, %v; want %T", responds, got, err, want)
		}
	}
}
