package replicator

import (
	"fmt"
	"slices"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Step handles a message from another member. A message addressed to another
// process, such as an earlier incarnation of this VM, is ignored.
func (r *Replica) Step(message Message) {
	h := message.head()
	if h.to != r.config.Self {
		return
	}
	if request, ok := message.(VoteRequest); ok && !request.forced && r.hasActiveLeader() {
		return
	}
	if h.term > r.vote.term && carriesSenderTerm(message) {
		r.becomeFollower(h.term, identifier.Process{})
	}
	if h.term < r.vote.term {
		r.rejectStale(message)
		return
	}
	switch m := message.(type) {
	case VoteRequest:
		r.handleVoteRequest(m)
	case VoteResponse:
		r.handleVoteResponse(m)
	case AppendRequest:
		r.acceptLeader(m.from)
		r.handleAppendRequest(m)
	case AppendResponse:
		r.handleAppendResponse(m)
	case SnapshotRequest:
		r.acceptLeader(m.from)
		r.handleSnapshotRequest(m)
	case CampaignRequest:
		if r.isVoter() {
			r.campaign(false, true)
		}
	default:
		panic(fmt.Sprintf("replicator: unknown message %T", message))
	}
}

// carriesSenderTerm reports whether the message's term is the current term of
// its sender rather than the term that a pre-vote proposes.
func carriesSenderTerm(message Message) bool {
	switch m := message.(type) {
	case VoteRequest:
		return !m.preVote
	case VoteResponse:
		return !m.preVote || !m.granted
	default:
		return true
	}
}

// rejectStale responds to a leader or candidate of an earlier term with the
// current term.
func (r *Replica) rejectStale(message Message) {
	switch m := message.(type) {
	case AppendRequest, SnapshotRequest:
		r.send(AppendResponse{header: r.headerTo(m.From())})
	case VoteRequest:
		r.send(VoteResponse{header: r.headerTo(m.from), preVote: m.preVote})
	}
}

func (r *Replica) acceptLeader(leader identifier.Process) {
	if r.role != Follower {
		r.becomeFollower(r.vote.term, leader)
	}
	r.leader = leader
	r.resetElectionTimer()
}

func (r *Replica) appendAsLeader(kind EntryKind, data []byte) uint64 {
	entry := Entry{r.lastIndex() + 1, r.vote.term, kind, data}
	if err := r.appendEntry(entry); err != nil {
		panic(err) // not expected: only a malformed membership fails, and this one was just encoded
	}
	r.output.entries = append(r.output.entries, entry)
	return entry.index
}

func (r *Replica) broadcast() {
	for _, member := range r.Membership().others(r.config.Self) {
		r.sendAppend(member)
	}
}

func (r *Replica) sendAppend(to identifier.Process) {
	p := r.progress[to]
	if p == nil {
		p = &progress{nextIndex: r.lastIndex() + 1}
		r.progress[to] = p
	}
	if p.nextIndex <= r.snapshot.index {
		r.sendSnapshot(to, p)
		return
	}
	previous := p.nextIndex - 1
	available := r.entries[previous-r.snapshot.index:]
	batch := slices.Clone(available[:min(len(available), r.config.MaxEntriesPerMessage)])
	p.nextIndex += uint64(len(batch))
	r.send(AppendRequest{r.headerTo(to), previous, r.termAt(previous), batch, r.commitIndex, r.lastReadSequence})
}

// sendSnapshot sends the snapshot at most once per minimum election timeout,
// since it is large. In between it sends heartbeats, so that the member does
// not start an election.
func (r *Replica) sendSnapshot(to identifier.Process, p *progress) {
	if p.snapshotBackoffTicks == 0 {
		p.snapshotBackoffTicks = r.config.ElectionTicks
		r.send(SnapshotRequest{r.headerTo(to), r.snapshot})
		return
	}
	r.send(AppendRequest{r.headerTo(to), r.lastIndex(), r.termAt(r.lastIndex()), nil, 0, r.lastReadSequence})
}

func (r *Replica) handleAppendRequest(m AppendRequest) {
	response := AppendResponse{header: r.headerTo(m.from), readSequence: m.readSequence}
	if m.previousIndex > r.lastIndex() {
		response.index = r.lastIndex()
		r.send(response)
		return
	}
	if m.previousIndex >= r.snapshot.index && r.termAt(m.previousIndex) != m.previousTerm {
		response.index = r.conflictHint(m.previousIndex)
		r.send(response)
		return
	}
	for _, entry := range m.entries {
		if entry.index <= r.snapshot.index {
			continue
		}
		if entry.index <= r.lastIndex() && r.termAt(entry.index) == entry.term {
			continue
		}
		if err := r.appendEntry(entry); err != nil {
			return // not expected: a leader does not send a malformed membership
		}
		r.output.entries = append(r.output.entries, entry)
	}
	matchIndex := m.previousIndex + uint64(len(m.entries))
	r.commitIndex = max(r.commitIndex, min(m.commitIndex, matchIndex))
	response.success = true
	response.index = matchIndex
	r.send(response)
}

// conflictHint returns the last index before the conflicting term, but no less
// than the commit index.
func (r *Replica) conflictHint(index uint64) uint64 {
	term := r.termAt(index)
	for index > r.commitIndex && r.termAt(index) == term {
		index--
	}
	return index
}

func (r *Replica) handleAppendResponse(m AppendResponse) {
	if r.role != Leader {
		return
	}
	p := r.progress[m.from]
	if p == nil {
		return
	}
	p.respondedSinceCheck = true
	p.ticksSinceResponse = 0
	p.ackedReadSequence = max(p.ackedReadSequence, m.readSequence)
	if m.success {
		p.snapshotBackoffTicks = 0
		p.matchIndex = max(p.matchIndex, min(m.index, r.lastIndex()))
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		r.advanceCommit()
	} else {
		p.reject(max(p.matchIndex, min(m.index, r.lastIndex())) + 1)
	}
	r.confirmReads()
	if p.nextIndex <= r.lastIndex() && p.snapshotBackoffTicks == 0 {
		r.sendAppend(m.from)
	}
}

// advanceCommit commits the entries that a quorum has persisted, provided that
// the last of them is of the current term (Raft, section 5.4.2).
func (r *Replica) advanceCommit() {
	var matches []uint64
	for _, voter := range r.Membership().voters {
		switch p := r.progress[voter]; {
		case voter == r.config.Self:
			matches = append(matches, r.persistedIndex)
		case p == nil:
			matches = append(matches, 0)
		default:
			matches = append(matches, p.matchIndex)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.Membership().quorum()]
	if index <= r.commitIndex || r.termAt(index) != r.vote.term {
		return
	}
	r.commitIndex = index
	r.confirmReads()
	r.stepDownIfRemoved()
}

func (r *Replica) stepDownIfRemoved() {
	newest := r.memberships[len(r.memberships)-1]
	if newest.index <= r.commitIndex && !r.isVoter() {
		r.becomeFollower(r.vote.term, identifier.Process{})
	}
}

// confirmReads confirms the pending reads for which a quorum has acknowledged
// the read sequence. No read is confirmed before an entry of the current term
// is committed, since until then a new leader does not know which entries are
// committed.
func (r *Replica) confirmReads() {
	if r.role != Leader || len(r.pendingReads) == 0 || !r.hasCommittedInTerm() {
		return
	}
	var sequences []uint64
	for _, voter := range r.Membership().voters {
		switch p := r.progress[voter]; {
		case voter == r.config.Self:
			sequences = append(sequences, r.lastReadSequence)
		case p == nil:
			sequences = append(sequences, 0)
		default:
			sequences = append(sequences, p.ackedReadSequence)
		}
	}
	slices.Sort(sequences)
	confirmed := sequences[len(sequences)-r.Membership().quorum()]
	for len(r.pendingReads) > 0 && r.pendingReads[0].sequence <= confirmed {
		r.output.confirmedReads = append(r.output.confirmedReads, r.pendingReads[0].id)
		r.pendingReads = r.pendingReads[1:]
	}
}

func (r *Replica) handleSnapshotRequest(m SnapshotRequest) {
	response := AppendResponse{header: r.headerTo(m.from), success: true, index: m.snapshot.index}
	if m.snapshot.index <= r.commitIndex {
		response.index = r.commitIndex
		r.send(response)
		return
	}
	r.discardSnapshottedEntries(m.snapshot)
	r.snapshot = m.snapshot
	r.rebuildMemberships()
	r.commitIndex = m.snapshot.index
	r.deliveredIndex = m.snapshot.index
	r.persistedIndex = m.snapshot.index
	r.output.snapshot = &m.snapshot
	r.output.entries = nil
	r.send(response)
}

// discardSnapshottedEntries drops the entries that the snapshot replaces.
// Later entries are kept if the log agrees with the snapshot, since this
// member may have acknowledged them.
func (r *Replica) discardSnapshottedEntries(s Snapshot) {
	if s.index <= r.lastIndex() && r.termAt(s.index) == s.term {
		r.entries = slices.Clone(r.entries[s.index-r.snapshot.index:])
		return
	}
	r.entries = nil
	r.dropMembershipsFrom(s.index + 1)
}
