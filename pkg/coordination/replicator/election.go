package replicator

import (
	"slices"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Tick advances the replica's notion of time by one tick.
func (r *Replica) Tick() {
	r.silentTicks++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.silentTicks >= r.electionTimeout && r.isVoter() {
		r.campaign(true, false)
	}
}

func (r *Replica) tickLeader() {
	r.quorumTicks++
	if r.quorumTicks >= r.config.ElectionTicks {
		r.quorumTicks = 0
		if !r.heardFromQuorum() {
			r.becomeFollower(r.vote.term, identifier.Process{})
			return
		}
	}
	for _, p := range r.progress {
		p.snapshotWaitTicks = max(0, p.snapshotWaitTicks-1)
		p.silentTicks++
	}
	r.heartbeatTicks++
	if r.heartbeatTicks >= r.config.HeartbeatTicks {
		r.heartbeatTicks = 0
		r.broadcast()
	}
}

// heardFromQuorum reports whether a quorum has answered since the last check.
// A leader that is cut off steps down by it and answers nobody.
func (r *Replica) heardFromQuorum() bool {
	heard := 0
	for _, voter := range r.Membership().voters {
		if voter == r.config.Self {
			heard++
			continue
		}
		if p := r.progress[voter]; p != nil && p.heardSinceCheck {
			heard++
		}
	}
	for _, p := range r.progress {
		p.heardSinceCheck = false
	}
	return heard >= r.Membership().quorum()
}

func (r *Replica) isVoter() bool {
	return slices.Contains(r.Membership().voters, r.config.Self)
}

func (r *Replica) resetElectionTimer() {
	r.silentTicks = 0
	r.electionTimeout = r.config.ElectionTicks + r.config.Random(r.config.ElectionTicks)
}

func (r *Replica) becomeFollower(term uint64, leader identifier.Process) {
	r.role = Follower
	r.leader = leader
	if term > r.vote.term {
		r.setVote(Vote{term: term})
	}
	for _, read := range r.reads {
		r.output.lostReads = append(r.output.lostReads, read.id)
	}
	r.reads = nil
	r.progress = nil
	r.resetElectionTimer()
}

// campaign asks for votes. With pre it only asks whether votes would be given,
// which leaves the term alone and so disturbs no leader.
func (r *Replica) campaign(pre, forced bool) {
	r.resetElectionTimer()
	r.leader = identifier.Process{}
	r.granted = map[identifier.Process]bool{r.config.Self: true}
	term := r.vote.term + 1
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.setVote(Vote{term: term, votedFor: r.config.Self})
	}
	for _, voter := range r.Membership().voters {
		if voter == r.config.Self {
			continue
		}
		h := r.headerTo(voter)
		h.term = term
		r.send(VoteRequest{h, pre, forced, r.lastIndex(), r.termAt(r.lastIndex())})
	}
	r.countVotes()
}

func (r *Replica) countVotes() {
	votes := 0
	for _, voter := range r.Membership().voters {
		if r.granted[voter] {
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
	r.quorumTicks = 0
	r.heartbeatTicks = 0
	r.appendOwn(Barrier, nil)
	r.broadcast()
}

func (r *Replica) handleVoteRequest(m VoteRequest) {
	response := VoteResponse{header: r.headerTo(m.from), pre: m.pre}
	upToDate := m.lastTerm > r.termAt(r.lastIndex()) ||
		m.lastTerm == r.termAt(r.lastIndex()) && m.lastIndex >= r.lastIndex()
	if m.pre {
		response.granted = upToDate && m.term > r.vote.term
		response.term = m.term
		if !response.granted {
			response.term = r.vote.term
		}
		r.send(response)
		return
	}
	free := r.vote.votedFor.IsZero() || r.vote.votedFor == m.from
	if m.term == r.vote.term && upToDate && free {
		r.setVote(Vote{term: m.term, votedFor: m.from})
		r.resetElectionTimer()
		response.granted = true
	}
	r.send(response)
}

func (r *Replica) handleVoteResponse(m VoteResponse) {
	expected := Candidate
	if m.pre {
		expected = PreCandidate
	}
	if r.role != expected || !m.granted {
		return
	}
	if m.pre && m.term != r.vote.term+1 || !m.pre && m.term != r.vote.term {
		return
	}
	r.granted[m.from] = true
	r.countVotes()
}

// followsLeader reports whether a leader was heard within the shortest
// election timeout. Such a member gives no votes, so that a member that was
// isolated cannot depose a leader when it returns.
func (r *Replica) followsLeader() bool {
	if r.role == Leader {
		return true
	}
	return !r.leader.IsZero() && r.silentTicks < r.config.ElectionTicks
}
