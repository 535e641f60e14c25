// Package replicator implements a replicated log based on Raft (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014),
// with pre-vote, leader quorum checks, confirmed reads, learners and
// single-member membership changes.
//
// A Replica is a deterministic state machine without a clock, sockets, disk
// access or goroutines: its inputs are messages, ticks and proposals, and
// TakeOutput returns its output. For each Output the driver must, in this
// order: install the snapshot, persist and sync the vote and entries, call
// MarkPersisted, send the messages, and apply the committed entries.
//
// Members are processes. A VM that has lost its disk gets a new incarnation
// and is therefore a new member. It joins as a learner and counts towards a
// quorum only after it has caught up and has been promoted.
package replicator

import (
	"slices"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// ErrNotLeader is returned by operations that only the leader can perform.
var ErrNotLeader = errors.New("this member is not the leader")

// ErrChangePending is returned while an earlier membership change is
// uncommitted, or before the leader has committed an entry of its term.
var ErrChangePending = errors.New("a membership change is not possible yet: an earlier one, or the first entry of the term, has not been committed")

// Role is the role of a member in the current term.
type Role int

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower camel case.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// EntryKind is the type of data that an entry holds.
type EntryKind int

// The kinds of entries.
const (
	// Command entries hold a command of the application.
	Command EntryKind = iota
	// Barrier entries are appended by a new leader and hold no data.
	Barrier
	// MembershipChange entries hold an encoded membership.
	MembershipChange
)

// Entry is a log entry.
type Entry struct {
	index uint64
	term  uint64
	kind  EntryKind
	data  []byte
}

// Index returns the entry's position in the log. The first entry has index
// one.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that appended the entry.
func (e Entry) Term() uint64 { return e.term }

// Kind returns the entry's kind.
func (e Entry) Kind() EntryKind { return e.kind }

// Data returns the entry's data.
func (e Entry) Data() []byte { return e.data }

// Membership lists the members of the log. Learners receive entries but do not
// vote.
type Membership struct {
	voters   []identifier.Process
	learners []identifier.Process
}

// NewMembership returns a membership with the given voters and learners.
func NewMembership(voters, learners []identifier.Process) Membership {
	return Membership{slices.Clone(voters), slices.Clone(learners)}
}

// Voters returns the members that count towards a quorum.
func (m Membership) Voters() []identifier.Process { return slices.Clone(m.voters) }

// Learners returns the members that receive entries but do not count towards a
// quorum.
func (m Membership) Learners() []identifier.Process { return slices.Clone(m.learners) }

// Has reports whether the process is a voter or a learner.
func (m Membership) Has(p identifier.Process) bool {
	return slices.Contains(m.voters, p) || slices.Contains(m.learners, p)
}

// Equal reports whether both memberships have the same voters and learners in the same order.
func (m Membership) Equal(other Membership) bool {
	return slices.Equal(m.voters, other.voters) && slices.Equal(m.learners, other.learners)
}

func (m Membership) others(self identifier.Process) []identifier.Process {
	var others []identifier.Process
	for _, member := range append(m.Voters(), m.learners...) {
		if member != self {
			others = append(others, member)
		}
	}
	return others
}

func (m Membership) quorum() int { return len(m.voters)/2 + 1 }

// Vote is the member's durable election state: its term and the candidate that
// it voted for.
type Vote struct {
	term     uint64
	votedFor identifier.Process
}

// Term returns the highest term that the member has seen.
func (v Vote) Term() uint64 { return v.term }

// Snapshot replaces all entries up to its index by the application's state.
type Snapshot struct {
	index      uint64
	term       uint64
	membership Membership
	data       []byte
}

// Index returns the index of the last entry that the snapshot covers.
func (s Snapshot) Index() uint64 { return s.index }

// Data returns the application's state.
func (s Snapshot) Data() []byte { return s.data }

// IsZero reports whether the snapshot is the zero value, which means that
// there is none.
func (s Snapshot) IsZero() bool { return s.index == 0 }

// RecoveredState is a member's durable state as read from its disk.
type RecoveredState struct {
	Snapshot Snapshot
	Vote     Vote
	Entries  []Entry
}

// Config configures a Replica.
type Config struct {
	// Self is the process that this replica runs in. Required.
	Self identifier.Process
	// Recovered is the member's durable state. The zero value describes a member
	// without a log, which waits until a leader adds it.
	Recovered RecoveredState
	// ElectionTicks is the minimum election timeout: the number of ticks without
	// contact to a leader after which a voter starts an election. The actual
	// timeout is randomised between this value and twice this value. Default: 10.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader.
	// Default: 2.
	HeartbeatTicks int
	// MaxEntriesPerMessage limits the number of entries in an AppendRequest.
	// Default: 512.
	MaxEntriesPerMessage int
	// Random returns a random integer in [0, n). Required.
	Random func(n int) int
}

func (c Config) withDefaults() (Config, error) {
	if c.Self.IsZero() {
		return c, errors.New("replicator: Config.Self is required")
	}
	if c.Random == nil {
		return c, errors.New("replicator: Config.Random is required")
	}
	if c.ElectionTicks == 0 {
		c.ElectionTicks = 10
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = 2
	}
	if c.MaxEntriesPerMessage == 0 {
		c.MaxEntriesPerMessage = 512
	}
	if c.HeartbeatTicks >= c.ElectionTicks {
		return c, errors.New("replicator: Config.HeartbeatTicks must be less than ElectionTicks")
	}
	return c, nil
}

// Output is the work that a replica leaves to its driver. The package comment
// describes the order in which the driver must do it.
type Output struct {
	snapshot         *Snapshot
	vote             *Vote
	entries          []Entry
	messages         []Message
	committedEntries []Entry
	confirmedReads   []uint64
	failedReads      []uint64
}

// Snapshot returns a snapshot to install in place of the application's state,
// or nil. The journal must then be rewritten from Replica.DurableState.
func (o Output) Snapshot() *Snapshot { return o.snapshot }

// Vote returns the vote to persist, or nil if it has not changed.
func (o Output) Vote() *Vote { return o.vote }

// Entries returns the entries to persist. An entry replaces an earlier one
// with the same index and all entries after that.
func (o Output) Entries() []Entry { return o.entries }

// Messages returns the messages to send once the vote and entries are synced.
func (o Output) Messages() []Message { return o.messages }

// CommittedEntries returns the entries to apply, in log order.
func (o Output) CommittedEntries() []Entry { return o.committedEntries }

// ConfirmedReads returns the identifiers of the reads that may be served once
// all committed entries have been applied.
func (o Output) ConfirmedReads() []uint64 { return o.confirmedReads }

// FailedReads returns the identifiers of the reads that cannot be confirmed
// because this member is no longer the leader.
func (o Output) FailedReads() []uint64 { return o.failedReads }
