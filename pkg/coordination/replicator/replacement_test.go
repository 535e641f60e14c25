package replicator_test

import (
	"fmt"
	"testing"

	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
)

const (
	// replacements in a row, each long after the one before
	replacements = 10
	// catchUpTicks is the time that a successor has to catch up and to replace a voter that is
	// gone, an election included.
	catchUpTicks = 60
)

// stop ends the member for good. A planned stop transfers the leadership first, if there is one to
// transfer.
func (c *cluster) stop(m *member, planned bool) {
	if planned && m.replica.Role() == replicator.Leader {
		m.replica.TransferLeadership()
		c.flush(m)
		for range 5 {
			c.tickAndDeliverAll()
		}
	}
	m.running = false
	for i, other := range c.members {
		if other == m {
			c.members = append(c.members[:i:i], c.members[i+1:]...)
		}
	}
}

// addSuccessor starts a member on a new VM with an empty disk.
func (c *cluster) addSuccessor() {
	c.replacements++
	m := &member{id: identifier.NewProcess(fmt.Sprintf("successor-%d", c.replacements), 1)}
	c.members = append(c.members, m)
	c.start(m)
}

func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.running && m.replica.Role() == replicator.Leader && !c.isolatedVMs[m.id.VM()] {
			return m
		}
	}
	return nil
}

// any returns a running member of the role, or any that runs if there is none.
func (c *cluster) any(leader, learner bool) *member {
	current := c.leader()
	for _, m := range c.members {
		voter := false
		for _, v := range current.replica.Membership().Voters() {
			voter = voter || v == m.id
		}
		if (m == current) == leader && voter != learner {
			return m
		}
	}
	return c.members[len(c.members)-1]
}

// tolerated returns how many further voters the log can lose at once, or -1 without a leader.
func (c *cluster) tolerated() int {
	leader := c.leader()
	if leader == nil {
		return -1
	}
	voters := leader.replica.Membership().Voters()
	live := 0
	for _, v := range voters {
		if m := c.memberByID(v); m != nil && m.running && !c.isolatedVMs[v.VM()] {
			live++
		}
	}
	return live - (len(voters)/2 + 1)
}

// checkServes checks that the log commits a proposal.
func (c *cluster) checkServes(when string) {
	before := len(c.committed)
	c.propose()
	for range 5 {
		c.tickAndDeliverAll()
	}
	if len(c.committed) == before {
		c.t.Fatalf("%s: nothing is committed", when)
	}
}

// Guards against a log that is lost for good, since members that are gone for good still count
// (review/6: a core of three after two replacements).
func TestReplacementsKeepWhatALogTolerates(t *testing.T) {
	cases := []struct {
		name            string
		smallest        int
		planned         bool
		leader, learner bool
		successorFirst  bool
	}{
		{"follower killed", 3, false, false, false, false},
		{"leader killed", 3, false, true, false, false},
		{"follower stopped", 3, true, false, false, false},
		{"leader stopped", 3, true, true, false, false},
		{"follower killed after its successor started", 2, false, false, false, true},
		{"leader killed after its successor started", 2, false, true, false, true},
		{"leader stopped after its successor started", 2, true, true, false, true},
		{"learner killed", 6, false, false, true, false},
	}
	for _, tc := range cases {
		for size := tc.smallest; size <= 7; size++ {
			t.Run(fmt.Sprintf("%s, %d members", tc.name, size), func(t *testing.T) {
				c := newCluster(t, size, uint64(size))
				want := c.tolerated()
				for n := range replacements {
					if tc.successorFirst {
						c.addSuccessor()
						c.run(catchUpTicks)
					}
					c.stop(c.any(tc.leader, tc.learner), tc.planned)
					c.run(5)
					if !tc.successorFirst {
						c.addSuccessor()
					}
					c.run(catchUpTicks)
					if got := c.tolerated(); got < want {
						t.Fatalf("after %d replacements the log tolerates %d losses, want %d: %v", n+1, got, want, c.describeMembership())
					}
					c.checkServes(fmt.Sprintf("after %d replacements", n+1))
					c.run(policy.LearnerTimeoutTicks)
				}
				if m := c.leader().replica.Membership(); len(m.Voters())+len(m.Learners()) > size+1 {
					t.Errorf("%d members that are gone are still listed: %v", len(m.Voters())+len(m.Learners())-size, c.describeMembership())
				}
			})
		}
	}
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.tickAndDeliverAll()
	}
}

func (c *cluster) describeMembership() string {
	if c.leader() == nil {
		return "no leader"
	}
	m := c.leader().replica.Membership()
	return fmt.Sprintf("voters %v, learners %v", m.Voters(), m.Learners())
}

// Guards against members that were cut off or paused for a while and never vote again, or cost a
// quorum, with and without a successor that has taken their place meanwhile.
func TestMembersThatReturnVoteAgain(t *testing.T) {
	cases := []struct {
		name            string
		size            int
		leader, learner bool
		successor       bool
		away            int // ticks
	}{
		{"follower of three", 3, false, false, false, 100},
		{"leader of three", 3, true, false, false, 100},
		{"follower of three, replaced", 3, false, false, true, 100},
		{"leader of three, replaced", 3, true, false, true, 100},
		{"follower of four", 4, false, false, false, 100},
		{"leader of four", 4, true, false, false, 100},
		{"follower of four for a moment", 4, false, false, false, policy.VoterTimeoutTicks + 2},
		{"leader of five, replaced", 5, true, false, true, 100},
		{"learner of six", 6, false, true, false, policy.LearnerTimeoutTicks + 20},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, tc.size, 1)
			away := c.any(tc.leader, tc.learner)
			c.isolatedVMs[away.id.VM()] = true
			if tc.successor {
				c.addSuccessor()
			}
			c.run(tc.away)
			c.checkServes("while a member is away")
			clear(c.isolatedVMs)
			c.run(catchUpTicks)
			c.checkServes("after its return")
			if got, want := c.tolerated(), (min(len(c.members), policy.MaxVoters)-1)/2; got < want {
				t.Errorf("the log tolerates %d losses, want %d: %s", got, want, c.describeMembership())
			}
			if m := c.leader().replica.Membership(); !m.Has(away.id) {
				t.Errorf("%s is no member any more: %s", away.id, c.describeMembership())
			}
		})
	}
}
