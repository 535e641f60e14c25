package replicator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// maxMessagesPerTick bounds the messages that one tick may cause.
const maxMessagesPerTick = 10_000

// member is a replica and its simulated disk, which holds the synced snapshot
// and records.
type member struct {
	id       identifier.Process
	replica  *replicator.Replica
	snapshot []byte
	records  [][]byte
	applied  uint64
	running  bool
}

// reporter reports a failure of a test.
type reporter interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// policy is that of all leaders of a cluster.
var policy = replicator.MembershipPolicy{MaxVoters: 5, VoterTimeoutTicks: 15, LearnerTimeoutTicks: 60}

// cluster drives replicas over a simulated network that drops, duplicates and
// reorders messages.
type cluster struct {
	t         reporter
	members   []*member
	network   [][]byte
	committed map[uint64]string
	leaders   map[uint64]identifier.Process
	proposals int
	// replacements counts the VMs that were replaced.
	replacements int
	random       *rand.Rand
	isolatedVMs  map[string]bool // VMs whose messages are dropped
}

func newCluster(t reporter, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, committed: map[uint64]string{}, leaders: map[uint64]identifier.Process{},
		random: rand.New(rand.NewPCG(seed, 1)), isolatedVMs: map[string]bool{},
	}
	for i := range size {
		m := &member{id: identifier.NewProcess(fmt.Sprintf("control-%d", i), 1)}
		if i == 0 {
			m.snapshot = must(replicator.EncodeSnapshot(replicator.Bootstrap(m.id)))
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	for range 400 {
		c.tickAndDeliverAll()
	}
	if got := len(c.members[0].replica.Membership().Voters()); got != min(size, policy.MaxVoters) {
		t.Fatalf("%d voters after the start of %d members", got, size)
	}
	return c
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

func (c *cluster) start(m *member) {
	recovered, err := replicator.Recover(m.snapshot, m.records)
	if err != nil {
		c.t.Fatal(err)
	}
	m.replica, err = replicator.New(replicator.Config{Self: m.id, Recovered: recovered, Random: c.random.IntN, MaxEntriesPerMessage: 4, ElectionTicks: 3, HeartbeatTicks: 1})
	if err != nil {
		c.t.Fatal(err)
	}
	m.applied = recovered.Snapshot.Index()
	m.running = true
}

// flush processes the output of the member as a driver does, and checks the
// committed entries and the leader of the term.
func (c *cluster) flush(m *member) {
	m.replica.Flush()
	for {
		o := m.replica.TakeOutput()
		if o.Snapshot() != nil {
			c.rewrite(m)
			m.applied = o.Snapshot().Index()
		} else {
			if o.Vote() != nil {
				m.records = append(m.records, must(replicator.EncodeVote(*o.Vote())))
			}
			for _, e := range o.Entries() {
				m.records = append(m.records, must(replicator.EncodeEntry(e)))
			}
			if n := len(o.Entries()); n > 0 {
				m.replica.MarkPersisted(o.Entries()[n-1].Index())
			}
		}
		for _, message := range o.Messages() {
			c.network = append(c.network, must(replicator.EncodeMessage(message)))
		}
		for _, e := range o.CommittedEntries() {
			c.checkCommitted(m, e)
		}
		if len(o.Entries()) == 0 && o.Snapshot() == nil {
			break
		}
	}
	if m.replica.Role() == replicator.Leader {
		term := m.replica.Term()
		if other, ok := c.leaders[term]; ok && other != m.id {
			c.t.Fatalf("term %d has the leaders %s and %s", term, other, m.id)
		}
		c.leaders[term] = m.id
	}
}

func (c *cluster) rewrite(m *member) {
	snapshot, vote, entries := m.replica.DurableState()
	m.snapshot = must(replicator.EncodeSnapshot(snapshot))
	m.records = [][]byte{must(replicator.EncodeVote(vote))}
	for _, e := range entries {
		m.records = append(m.records, must(replicator.EncodeEntry(e)))
	}
	if n := len(entries); n > 0 {
		m.replica.MarkPersisted(entries[n-1].Index())
	}
}

func (c *cluster) checkCommitted(m *member, e replicator.Entry) {
	if e.Index() != m.applied+1 {
		c.t.Fatalf("%s applies entry %d after %d", m.id, e.Index(), m.applied)
	}
	m.applied = e.Index()
	content := fmt.Sprintf("%d %d %s", e.Term(), e.Kind(), e.Data())
	if before, ok := c.committed[e.Index()]; ok && before != content {
		c.t.Fatalf("entry %d was committed as %q and as %q", e.Index(), before, content)
	}
	c.committed[e.Index()] = content
}

func (c *cluster) memberByID(id identifier.Process) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// deliver passes the message at the index to its receiver if that is
// reachable. With keep the message stays on the network and may be delivered
// again.
func (c *cluster) deliver(index int, keep bool) {
	message, err := replicator.DecodeMessage(c.network[index])
	if err != nil {
		c.t.Fatal(err)
	}
	if !keep {
		c.network = append(c.network[:index], c.network[index+1:]...)
	}
	m := c.memberByID(message.To())
	if m == nil || !m.running || c.isolatedVMs[message.To().VM()] || c.isolatedVMs[message.From().VM()] {
		return
	}
	m.replica.Step(message)
	c.flush(m)
}

// tickAndDeliverAll ticks every running member once and delivers all messages
// without faults.
func (c *cluster) tickAndDeliverAll() {
	for _, m := range c.members {
		if m.running {
			m.replica.Tick()
			c.flush(m)
		}
	}
	c.addMembers()
	for n := 0; len(c.network) > 0; n++ {
		if n > maxMessagesPerTick {
			c.t.Fatalf("one tick causes more messages than maxMessagesPerTick; next on the network: %s", c.describeNetwork())
		}
		c.deliver(0, false)
	}
}

// describeNetwork formats the first messages on the network.
func (c *cluster) describeNetwork() string {
	text := ""
	for _, data := range c.network[:min(len(c.network), 4)] {
		message, err := replicator.DecodeMessage(data)
		text += fmt.Sprintf("%+v %v\n", message, err)
	}
	return text
}

// addMembers performs the periodic task of all members: those that are not part of the log or
// know no leader ask the leader to be admitted, and the leader adjusts the membership.
func (c *cluster) addMembers() {
	for _, leader := range c.members {
		if !leader.running || leader.replica.Role() != replicator.Leader || c.isolatedVMs[leader.id.VM()] {
			continue
		}
		for _, m := range c.members {
			known := m.replica.Membership().Has(m.id) && !m.replica.Leader().IsZero()
			if m.running && !known && !c.isolatedVMs[m.id.VM()] {
				_ = leader.replica.Admit(m.id) // retried in a later round
			}
		}
		_, _ = leader.replica.AdjustMembership(policy) // retried in a later round
		c.flush(leader)
	}
}

// canLoseDisk reports whether, in every member's view of the membership, a
// quorum of intact disks remains if the given member loses its disk.
func (c *cluster) canLoseDisk(lost *member) bool {
	for _, m := range c.members {
		intact := 0
		voters := m.replica.Membership().Voters()
		for _, voter := range voters {
			if c.memberByID(voter) != nil && voter != lost.id {
				intact++
			}
		}
		if m != lost && len(voters) > 0 && intact < len(voters)/2+1 {
			return false
		}
	}
	return true
}

func (c *cluster) loseDisk(m *member) {
	m.id = identifier.NewProcess(m.id.VM(), m.id.Incarnation()+1)
	m.snapshot, m.records = nil, nil
	c.start(m)
}

// replace replaces the member's VM by another one with an empty disk, for good.
func (c *cluster) replace(m *member) {
	c.replacements++
	m.id = identifier.NewProcess(fmt.Sprintf("successor-%d", c.replacements), 1)
	m.snapshot, m.records = nil, nil
	c.start(m)
}

func (c *cluster) propose() {
	for _, m := range c.members {
		if m.running && m.replica.Role() == replicator.Leader {
			c.proposals++
			_, _, _ = m.replica.Propose([]byte(fmt.Sprint(c.proposals))) // the proposal of a deposed leader is lost
			c.flush(m)
		}
	}
}

func (c *cluster) compact(m *member) {
	if m.running && m.applied > 0 {
		if _, err := m.replica.Compact(m.applied, []byte("state")); err == nil {
			c.rewrite(m)
		}
	}
}

// runRound ticks some of the members, then drops, duplicates, delays or
// delivers messages in random order.
func (c *cluster) runRound(lossPercent int) {
	for _, m := range c.members {
		if m.running && c.random.IntN(3) > 0 {
			m.replica.Tick()
			c.flush(m)
		}
	}
	for n := len(c.network); n > 0 && len(c.network) > 0; n-- {
		index := c.random.IntN(min(len(c.network), 6))
		switch roll := c.random.IntN(100); {
		case roll < lossPercent:
			c.network = append(c.network[:index], c.network[index+1:]...)
		case roll < lossPercent+5:
			c.deliver(index, true)
		case roll < lossPercent+20: // the message is delayed
		default:
			c.deliver(index, false)
		}
	}
}

// injectFault injects one fault or ends faults.
func (c *cluster) injectFault(kind int) {
	m := c.members[c.random.IntN(len(c.members))]
	switch kind {
	case 0: // the member crashes
		m.running = false
	case 1: // the member restarts
		if !m.running {
			c.start(m)
		}
	case 2: // the member loses its disk
		if c.canLoseDisk(m) {
			c.loseDisk(m)
		}
	case 9: // the member's VM is replaced for good
		if c.canLoseDisk(m) {
			c.replace(m)
		}
	case 3: // the member compacts its log
		c.compact(m)
	case 4: // the member's VM is isolated or reconnected
		c.isolatedVMs[m.id.VM()] = !c.isolatedVMs[m.id.VM()]
	case 5, 7, 8: // all VMs are reconnected
		clear(c.isolatedVMs)
	case 6: // the leader is isolated with proposals that it has not replicated, as if it froze or died
		c.propose()
		for _, leader := range c.members {
			if leader.running && leader.replica.Role() == replicator.Leader {
				c.isolatedVMs[leader.id.VM()] = true
			}
		}
	}
}

// runRandomFaults runs a cluster through random faults and checks that it
// recovers.
func runRandomFaults(t *rapid.T) {
	c := newCluster(t, rapid.SampledFrom([]int{3, 3, 4, 5, 6}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
	loss := rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "lossPercent")
	for range 40 {
		c.injectFault(c.random.IntN(10))
		for range 5 + c.random.IntN(40) {
			if c.random.IntN(3) == 0 {
				c.propose()
			}
			if c.random.IntN(4) == 0 {
				c.addMembers()
			}
			c.runRound(loss)
		}
	}
	c.checkRecovery()
}

// checkRecovery ends all faults and checks that every member applies the last
// proposal.
func (c *cluster) checkRecovery() {
	clear(c.isolatedVMs)
	for _, m := range c.members {
		if !m.running {
			c.start(m)
		}
	}
	for range 300 {
		c.tickAndDeliverAll()
	}
	c.propose()
	for range 20 {
		c.tickAndDeliverAll()
	}
	want := fmt.Sprintf(" %d %d", replicator.Command, c.proposals)
	var top uint64
	for index := range c.committed {
		top = max(top, index)
	}
	if _, content, _ := strings.Cut(c.committed[top], " "); " "+content != want {
		c.t.Fatalf("the last proposal%s was not committed: entry %d is %q", want, top, c.committed[top])
	}
	for _, m := range c.members {
		if m.applied != top {
			c.t.Fatalf("%s has applied entries up to %d, want %d", m.id, m.applied, top)
		}
	}
}

// Guards against losing or changing a committed entry when members crash or
// lose their disks, VMs are isolated, and messages are dropped, duplicated and
// reordered.
func TestNothingCommittedIsLostOrChanged(t *testing.T) {
	if err := flag.Set("rapid.checks", "400"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, runRandomFaults)
}
