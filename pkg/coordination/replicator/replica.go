package replicator

import (
	"slices"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// progress is a leader's view of the replication state of another member.
type progress struct {
	matchIndex           uint64
	nextIndex            uint64
	respondedSinceCheck  bool
	ticksSinceResponse   int
	ackedReadSequence    uint64 // sequence of the last read that the member has acknowledged
	snapshotBackoffTicks int
	// resentFrom is the index from which entries were last sent again, after the member
	// had rejected a message. Until resendBackoffTicks is zero, further rejections that
	// ask for the same entries answer messages that were sent before that.
	resentFrom         uint64
	resendBackoffTicks int
}

// resendBackoffTicks is how long a leader does not send the same entries again. A slow
// member may reject hundreds of queued messages at once.
const resendBackoffTicks = 2

// reject handles a rejection after which the member needs the entries from next on.
func (p *progress) reject(next uint64) {
	if p.resendBackoffTicks > 0 && next >= p.resentFrom {
		return
	}
	p.nextIndex, p.resentFrom, p.resendBackoffTicks = next, next, resendBackoffTicks
}

type pendingRead struct {
	id       uint64
	sequence uint64
}

type membershipAt struct {
	index      uint64
	membership Membership
}

// Replica is one member of a replicated log. It is not safe for concurrent
// use.
type Replica struct {
	config Config
	role   Role
	vote   Vote
	leader identifier.Process

	snapshot Snapshot
	// entries are the log entries directly after the snapshot.
	entries        []Entry
	memberships    []membershipAt
	commitIndex    uint64 // last entry known to be committed
	deliveredIndex uint64 // last entry that TakeOutput has returned or that an installed snapshot covers
	persistedIndex uint64 // last entry known to be synced to this member's disk

	electionElapsedTicks    int
	electionTimeoutTicks    int
	heartbeatElapsedTicks   int
	quorumCheckElapsedTicks int
	grantedVotes            map[identifier.Process]bool
	progress                map[identifier.Process]*progress
	lastReadSequence        uint64 // sequence of the last read that was requested
	pendingReads            []pendingRead
	hasUnsentProposals      bool

	output Output
}

// New returns a replica that resumes from the recovered state.
func New(config Config) (*Replica, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:         config,
		vote:           config.Recovered.Vote,
		snapshot:       config.Recovered.Snapshot,
		commitIndex:    config.Recovered.Snapshot.index,
		deliveredIndex: config.Recovered.Snapshot.index,
	}
	r.memberships = []membershipAt{{r.snapshot.index, r.snapshot.membership}}
	for _, entry := range config.Recovered.Entries {
		if entry.index <= r.snapshot.index {
			continue
		}
		if entry.index > r.lastIndex()+1 {
			return nil, errors.Errorf("replicator: entry %d is missing from the journal", r.lastIndex()+1)
		}
		if err := r.appendEntry(entry); err != nil {
			return nil, err
		}
	}
	r.persistedIndex = r.lastIndex()
	r.resetElectionTimer()
	return r, nil
}

// Bootstrap returns the initial snapshot of a new log whose voters are the
// initial members. All of them must start with the same snapshot.
func Bootstrap(initialMembers ...identifier.Process) Snapshot {
	return Snapshot{index: 1, term: 1, membership: NewMembership(initialMembers, nil)}
}

// Role returns the member's role in the current term.
func (r *Replica) Role() Role { return r.role }

// Term returns the highest term that the member has seen.
func (r *Replica) Term() uint64 { return r.vote.term }

// Leader returns the leader of the current term, or the zero value if it is
// unknown.
func (r *Replica) Leader() identifier.Process { return r.leader }

// Membership returns the latest membership in the log, committed or not.
func (r *Replica) Membership() Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// CommitIndex returns the index of the last entry known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// TakeOutput returns the output accumulated since the last call.
func (r *Replica) TakeOutput() Output {
	output := r.output
	r.output = Output{}
	for r.deliveredIndex < r.commitIndex {
		r.deliveredIndex++
		output.committedEntries = append(output.committedEntries, r.entryAt(r.deliveredIndex))
	}
	return output
}

// MarkPersisted records that the log has been synced to disk up to the index.
func (r *Replica) MarkPersisted(index uint64) {
	r.persistedIndex = max(r.persistedIndex, min(index, r.lastIndex()))
	if r.role == Leader {
		r.advanceCommit()
	}
}

// UpToDate reports whether TakeOutput has returned every entry that was
// committed when the current leader was elected. After a restart a member
// cannot know this until the leader commits an entry of its term, because the
// journal does not record the commit index.
func (r *Replica) UpToDate() bool {
	return !r.leader.IsZero() && r.deliveredIndex == r.commitIndex && r.hasCommittedInTerm()
}

// Propose appends a command and returns the index and term of its entry. The
// command is committed if and only if an entry with that index and term is
// committed.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = r.appendAsLeader(Command, data)
	r.hasUnsentProposals = true
	return index, r.vote.term, nil
}

// Flush sends the entries proposed since the last call to the other members.
// Entries that are flushed together share a message and a sync.
func (r *Replica) Flush() {
	if r.role == Leader && r.hasUnsentProposals {
		r.broadcast()
	}
	r.hasUnsentProposals = false
}

// RequestRead requests a confirmation that this member is still the leader,
// which makes a linearisable read possible. The identifier is returned in
// Output.ConfirmedReads or Output.FailedReads.
func (r *Replica) RequestRead(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.lastReadSequence++
	r.pendingReads = append(r.pendingReads, pendingRead{id, r.lastReadSequence})
	r.broadcast()
	r.confirmReads()
	return nil
}

// ChangeMembership proposes a membership that adds or removes at most one
// voter.
func (r *Replica) ChangeMembership(m Membership) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	newest := r.memberships[len(r.memberships)-1]
	if newest.index > r.commitIndex || !r.hasCommittedInTerm() {
		return ErrChangePending
	}
	if countChangedVoters(newest.membership, m) > 1 {
		return errors.New("a membership change may add or remove at most one voter")
	}
	if len(m.voters) == 0 {
		return errors.New("a membership requires at least one voter")
	}
	data, err := encodeMembership(m)
	if err != nil {
		return err
	}
	r.appendAsLeader(MembershipChange, data)
	r.forgetFormerMembers()
	r.broadcast()
	return nil
}

// forgetFormerMembers drops the progress of members that have been removed. One that is admitted
// again would otherwise count as silent since its removal.
func (r *Replica) forgetFormerMembers() {
	for member := range r.progress {
		if !r.Membership().Has(member) {
			delete(r.progress, member)
		}
	}
}

// CaughtUp reports whether the learner has replicated every committed entry.
func (r *Replica) CaughtUp(learner identifier.Process) bool {
	p, ok := r.progress[learner]
	return r.role == Leader && ok && p.matchIndex >= r.commitIndex
}

// TransferLeadership asks the other voter with the highest match index, of those that respond, to
// start an election. It does nothing if this member is not the leader or no other voter responds.
func (r *Replica) TransferLeadership() {
	if r.role != Leader {
		return
	}
	var successor identifier.Process
	var match uint64
	for _, voter := range r.Membership().voters {
		if p := r.progress[voter]; r.responds(voter) && p.matchIndex >= match {
			successor, match = voter, p.matchIndex
		}
	}
	if !successor.IsZero() {
		r.send(CampaignRequest{r.headerTo(successor)})
	}
}

// Compact replaces the entries up to the index by a snapshot of the
// application's state at that index, and returns the snapshot. TakeOutput must
// have returned the entry at the index.
func (r *Replica) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= r.snapshot.index || index > r.deliveredIndex {
		return Snapshot{}, errors.Errorf("cannot compact up to entry %d: the snapshot ends at %d and entries up to %d have been delivered", index, r.snapshot.index, r.deliveredIndex)
	}
	snapshot := Snapshot{index, r.termAt(index), r.membershipAsOf(index), data}
	r.entries = slices.Clone(r.entries[index-r.snapshot.index:])
	r.snapshot = snapshot
	r.rebuildMemberships()
	return snapshot, nil
}

// DurableState returns everything that the journal must hold after Compact or
// after a snapshot has been installed.
func (r *Replica) DurableState() (Snapshot, Vote, []Entry) {
	return r.snapshot, r.vote, slices.Clone(r.entries)
}

// TicksSinceResponse returns the number of ticks since the member last responded to this
// leader, and false if this member is not the leader or the other is none of its members.
func (r *Replica) TicksSinceResponse(member identifier.Process) (int, bool) {
	p := r.progress[member]
	if r.role != Leader || p == nil {
		return 0, false
	}
	return p.ticksSinceResponse, true
}

// RespondingVoters returns the number of voters that have responded to this leader within the
// minimum election timeout, itself included, or zero if this member is not the leader.
func (r *Replica) RespondingVoters() int {
	if r.role != Leader {
		return 0
	}
	responding := 0
	for _, voter := range r.Membership().voters {
		if voter == r.config.Self || r.responds(voter) {
			responding++
		}
	}
	return responding
}

// responds reports whether the member has responded to this leader within the minimum election
// timeout.
func (r *Replica) responds(member identifier.Process) bool {
	p := r.progress[member]
	return p != nil && p.ticksSinceResponse < r.config.ElectionTicks
}

func countChangedVoters(a, b Membership) int {
	changed := 0
	for _, voter := range a.voters {
		if !slices.Contains(b.voters, voter) {
			changed++
		}
	}
	for _, voter := range b.voters {
		if !slices.Contains(a.voters, voter) {
			changed++
		}
	}
	return changed
}

func (r *Replica) lastIndex() uint64 { return r.snapshot.index + uint64(len(r.entries)) }

func (r *Replica) entryAt(index uint64) Entry { return r.entries[index-r.snapshot.index-1] }

func (r *Replica) termAt(index uint64) uint64 {
	if index == r.snapshot.index {
		return r.snapshot.term
	}
	return r.entryAt(index).term
}

func (r *Replica) hasCommittedInTerm() bool {
	return r.termAt(r.commitIndex) == r.vote.term
}

// appendEntry appends the entry after removing any conflicting entries from
// its index on.
func (r *Replica) appendEntry(entry Entry) error {
	if entry.index <= r.lastIndex() {
		r.entries = r.entries[:entry.index-r.snapshot.index-1]
		r.persistedIndex = min(r.persistedIndex, entry.index-1)
		r.dropMembershipsFrom(entry.index)
	}
	r.entries = append(r.entries, entry)
	if entry.kind != MembershipChange {
		return nil
	}
	m, err := decodeMembership(entry.data)
	if err != nil {
		return err
	}
	r.memberships = append(r.memberships, membershipAt{entry.index, m})
	return nil
}

func (r *Replica) dropMembershipsFrom(index uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

func (r *Replica) membershipAsOf(index uint64) Membership {
	m := r.memberships[0].membership
	for _, at := range r.memberships {
		if at.index <= index {
			m = at.membership
		}
	}
	return m
}

func (r *Replica) rebuildMemberships() {
	kept := []membershipAt{{r.snapshot.index, r.snapshot.membership}}
	for _, at := range r.memberships {
		if at.index > r.snapshot.index {
			kept = append(kept, at)
		}
	}
	r.memberships = kept
}

func (r *Replica) headerTo(to identifier.Process) header {
	return header{from: r.config.Self, to: to, term: r.vote.term}
}

func (r *Replica) send(m Message) { r.output.messages = append(r.output.messages, m) }

func (r *Replica) setVote(v Vote) {
	if r.vote == v {
		return
	}
	r.vote = v
	r.output.vote = &v
}
