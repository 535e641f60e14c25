package replicator

import (
	"slices"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Tick advances the logical clock of the replica by one tick. It starts
// elections and sends heartbeats when they are due.
func (r *Replica) Tick() {
	r.electionElapsedTicks++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsedTicks < r.electionTimeoutTicks {
		return
	}
	if r.isVoter() {
		r.campaign(true, false)
		return
	}
	// A learner that was removed while it could not be reached hears of it from no one. Without a
	// leader its driver asks to join again.
	r.leader = identifier.Process{}
}

func (r *Replica) tickLeader() {
	r.quorumCheckElapsedTicks++
	if r.quorumCheckElapsedTicks >= r.config.ElectionTicks {
		r.quorumCheckElapsedTicks = 0
		if !r.checkQuorum() {
			r.becomeFollower(r.vote.term, identifier.Process{})
			return
		}
	}
	for _, p := range r.progress {
		p.snapshotBackoffTicks = max(0, p.snapshotBackoffTicks-1)
		p.resendBackoffTicks = max(0, p.resendBackoffTicks-1)
		p.ticksSinceResponse++
	}
	r.heartbeatElapsedTicks++
	if r.heartbeatElapsedTicks >= r.config.HeartbeatTicks {
		r.heartbeatElapsedTicks = 0
		r.broadcast()
	}
}

// checkQuorum reports whether a quorum has responded since the last check, and
// starts the next period. A leader without a responding quorum steps down, so
// that it serves no more requests.
func (r *Replica) checkQuorum() bool {
	responded := 0
	for _, voter := range r.Membership().voters {
		if voter == r.config.Self {
			responded++
			continue
		}
		if p := r.progress[voter]; p != nil && p.respondedSinceCheck {
			responded++
		}
	}
	for _, p := range r.progress {
		p.respondedSinceCheck = false
	}
	return responded >= r.Membership().quorum()
}

func (r *Replica) isVoter() bool {
	return slices.Contains(r.Membership().voters, r.config.Self)
}

func (r *Replica) resetElectionTimer() {
	r.electionElapsedTicks = 0
	r.electionTimeoutTicks = r.config.ElectionTicks + r.config.Random(r.config.ElectionTicks)
}

func (r *Replica) becomeFollower(term uint64, leader identifier.Process) {
	r.role = Follower
	r.leader = leader
	if term > r.vote.term {
		r.setVote(Vote{term: term})
	}
	for _, read := range r.pendingReads {
		r.output.failedReads = append(r.output.failedReads, read.id)
	}
	r.pendingReads = nil
	r.progress = nil
	r.resetElectionTimer()
}

// campaign starts an election. With preVote it only asks whether the voters
// would grant a vote; it does not increase the term and so does not disturb an
// existing leader. With forced the voters respond even if they have an active
// leader.
func (r *Replica) campaign(preVote, forced bool) {
	r.resetElectionTimer()
	r.leader = identifier.Process{}
	r.grantedVotes = map[identifier.Process]bool{r.config.Self: true}
	term := r.vote.term + 1
	r.role = PreCandidate
	if !preVote {
		r.role = Candidate
		r.setVote(Vote{term: term, votedFor: r.config.Self})
	}
	for _, voter := range r.Membership().voters {
		if voter == r.config.Self {
			continue
		}
		h := r.headerTo(voter)
		h.term = term
		r.send(VoteRequest{h, preVote, forced, r.lastIndex(), r.termAt(r.lastIndex())})
	}
	r.countVotes()
}

func (r *Replica) countVotes() {
	votes := 0
	for _, voter := range r.Membership().voters {
		if r.grantedVotes[voter] {
			votes++
		}
	}
	if votes < r.Membership().quorum() {
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(false, false)
	case Candidate:
		r.becomeLeader()
	}
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.config.Self
	r.progress = map[identifier.Process]*progress{}
	r.quorumCheckElapsedTicks = 0
	r.heartbeatElapsedTicks = 0
	r.appendAsLeader(Barrier, nil)
	r.broadcast()
}

func (r *Replica) handleVoteRequest(m VoteRequest) {
	response := VoteResponse{header: r.headerTo(m.from), preVote: m.preVote}
	upToDate := m.lastTerm > r.termAt(r.lastIndex()) ||
		m.lastTerm == r.termAt(r.lastIndex()) && m.lastIndex >= r.lastIndex()
	if m.preVote {
		response.granted = upToDate && m.term > r.vote.term
		response.term = m.term
		if !response.granted {
			response.term = r.vote.term
		}
		r.send(response)
		return
	}
	canVote := r.vote.votedFor.IsZero() || r.vote.votedFor == m.from
	if m.term == r.vote.term && upToDate && canVote {
		r.setVote(Vote{term: m.term, votedFor: m.from})
		r.resetElectionTimer()
		response.granted = true
	}
	r.send(response)
}

func (r *Replica) handleVoteResponse(m VoteResponse) {
	expected := Candidate
	if m.preVote {
		expected = PreCandidate
	}
	if r.role != expected || !m.granted {
		return
	}
	if m.preVote && m.term != r.vote.term+1 || !m.preVote && m.term != r.vote.term {
		return
	}
	r.grantedVotes[m.from] = true
	r.countVotes()
}

// hasActiveLeader reports whether the member is the leader or has received a
// message from one within the minimum election timeout. Such a member ignores
// vote requests that are not forced, so that a member that was isolated cannot
// depose the leader when it reconnects.
func (r *Replica) hasActiveLeader() bool {
	if r.role == Leader {
		return true
	}
	return !r.leader.IsZero() && r.electionElapsedTicks < r.config.ElectionTicks
}
