package replicator

import "radishshed.example/radishshed/pkg/protocol/identifier"

// Message is sent from one member to another. The interface is sealed:
// VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotRequest
// and CampaignRequest are its only implementations.
type Message interface {
	// To returns the receiver of the message.
	To() identifier.Process
	// From returns the sender of the message.
	From() identifier.Process
	head() header
}

type header struct {
	from identifier.Process
	to   identifier.Process
	term uint64
}

func (h header) To() identifier.Process   { return h.to }
func (h header) From() identifier.Process { return h.from }
func (h header) head() header             { return h }

// VoteRequest asks for a vote. A pre-vote request asks whether a vote would be
// granted. A forced request is also considered by voters that have an active
// leader.
type VoteRequest struct {
	header
	preVote   bool
	forced    bool
	lastIndex uint64
	lastTerm  uint64
}

// VoteResponse is the response to a VoteRequest.
type VoteResponse struct {
	header
	preVote bool
	granted bool
}

// AppendRequest replicates entries. Without entries it is a heartbeat.
type AppendRequest struct {
	header
	previousIndex uint64
	previousTerm  uint64
	entries       []Entry
	commitIndex   uint64
	readSequence  uint64
}

// AppendResponse is the response to an AppendRequest or a SnapshotRequest. On
// success index is the last entry known to match the leader's log, otherwise
// the last entry that may match it.
type AppendResponse struct {
	header
	success      bool
	index        uint64
	readSequence uint64
}

// SnapshotRequest sends a snapshot to a member that lacks entries which the
// leader has already compacted.
type SnapshotRequest struct {
	header
	snapshot Snapshot
}

// CampaignRequest asks the receiver to start an election immediately, because
// the leader is about to stop.
type CampaignRequest struct{ header }
