package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/timekeeper"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/journaler"
)

// errNotLeader means that only another control VM, the leader, can serve the
// call.
var errNotLeader = replicator.ErrNotLeader

// errInDoubt means that a command may or may not be committed.
var errInDoubt = errors.New("leadership was lost: the command may or may not take effect")

const (
	tickInterval      = 50 * time.Millisecond
	inputQueueSize    = 4096
	maxInputsPerFlush = 1024
)

// input is an input of the replication loop. It is sealed: messageInput,
// proposalInput, queryInput and membershipInput are its only implementations.
type input interface{ isInput() }

type messageInput struct{ message replicator.Message }

type proposalInput struct {
	command applier.Command
	result  chan<- proposalResult
}

type queryInput struct {
	confirmed bool
	read      func(*applier.State)
	done      chan<- error
}

type membershipInput struct {
	change func(*replicator.Replica) error
	done   chan<- error
}

func (messageInput) isInput()    {}
func (proposalInput) isInput()   {}
func (queryInput) isInput()      {}
func (membershipInput) isInput() {}

type proposalResult struct {
	result applier.Result
	err    error
}

type pendingProposal struct {
	term   uint64
	result chan<- proposalResult
}

// status is the part of the replica's state that other goroutines read.
type status struct {
	role        replicator.Role
	term        uint64
	leader      identifier.Process
	membership  replicator.Membership
	commitIndex uint64
	// respondingVoters is the number of voters that have responded to this leader lately, itself
	// included. It is zero on other members.
	respondingVoters int
}

// replication drives the replica, its journal and the state machine. Only the
// goroutine of run may use these three.
type replication struct {
	log     *zap.Logger
	replica *replicator.Replica
	journal *journaler.Journal
	state   *applier.State
	config  applier.Config
	clock   timekeeper.Clock // for the timestamps of commands

	send      func(replicator.Message)
	onApplied func(*applier.State, applier.Command, applier.Result, bool)
	onStatus  func(status)
	// onUpToDate is called with the state after each flush if the state is then
	// known to be current.
	onUpToDate func(*applier.State)

	inputs                 chan input
	proposals              map[uint64]pendingProposal
	queries                map[uint64]queryInput
	nextQuery              uint64
	appliedIndex           uint64
	entriesSinceCompaction int
	lastStatus             status
}

// run handles inputs until the context ends. It returns an error if a committed
// entry cannot be applied, the journal cannot be compacted, or the context ends
// while writes to the journal fail. The member must stop then, since it can no
// longer guarantee what it has acknowledged to others.
func (r *replication) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.replica.Tick()
		case in := <-r.inputs:
			r.handle(in)
			r.handleQueued()
		}
		if err := r.flush(ctx); err != nil {
			return err
		}
	}
}

// handleQueued handles the inputs that are queued already, so that they share
// one sync of the journal and one message to each peer.
func (r *replication) handleQueued() {
	for range maxInputsPerFlush {
		select {
		case in := <-r.inputs:
			r.handle(in)
		default:
			return
		}
	}
}

func (r *replication) handle(in input) {
	switch in := in.(type) {
	case messageInput:
		r.replica.Step(in.message)
	case proposalInput:
		r.propose(in)
	case queryInput:
		r.query(in)
	case membershipInput:
		in.done <- in.change(r.replica)
	}
}

func (r *replication) propose(in proposalInput) {
	data, err := applier.EncodeCommand(in.command, r.clock.Now())
	if err != nil {
		in.result <- proposalResult{err: err}
		return
	}
	index, term, err := r.replica.Propose(data)
	if err != nil {
		in.result <- proposalResult{err: err}
		return
	}
	if old, ok := r.proposals[index]; ok {
		old.result <- proposalResult{err: errInDoubt}
	}
	r.proposals[index] = pendingProposal{term, in.result}
}

func (r *replication) query(in queryInput) {
	if !in.confirmed {
		in.read(r.state)
		in.done <- nil
		return
	}
	r.nextQuery++
	if err := r.replica.RequestRead(r.nextQuery); err != nil {
		in.done <- err
		return
	}
	r.queries[r.nextQuery] = in
}

// flush persists the output of the replica, then sends its messages and applies
// its committed entries.
func (r *replication) flush(ctx context.Context) error {
	r.replica.Flush()
	for {
		output := r.replica.TakeOutput()
		if err := r.retryWrite(ctx, func() error { return r.persist(output) }); err != nil {
			return err
		}
		for _, message := range output.Messages() {
			r.send(message)
		}
		if err := r.apply(output); err != nil {
			return err
		}
		if len(output.Entries()) == 0 && output.Snapshot() == nil {
			break
		}
	}
	r.publishStatus()
	return r.compactIfDue(ctx)
}

func (r *replication) apply(output replicator.Output) error {
	for _, entry := range output.CommittedEntries() {
		if err := r.applyEntry(entry); err != nil {
			return err
		}
	}
	for _, id := range output.ConfirmedReads() {
		in := r.queries[id]
		delete(r.queries, id)
		in.read(r.state)
		in.done <- nil
	}
	for _, id := range output.FailedReads() {
		r.queries[id].done <- errNotLeader
		delete(r.queries, id)
	}
	return nil
}

func (r *replication) applyEntry(entry replicator.Entry) error {
	r.appliedIndex = entry.Index()
	r.entriesSinceCompaction++
	pending, proposed := r.proposals[entry.Index()]
	delete(r.proposals, entry.Index())
	own := proposed && pending.term == entry.Term()
	if proposed && !own {
		pending.result <- proposalResult{err: errNotLeader} // another leader's entry was committed at this index
	}
	if entry.Kind() != replicator.Command {
		return nil
	}
	command, at, err := applier.DecodeCommand(entry.Data())
	if err != nil {
		return errors.Wrapf(err, "decode entry %d of the replicated log", entry.Index())
	}
	result := r.state.Apply(command, at)
	if own {
		pending.result <- proposalResult{result: result}
	}
	r.onApplied(r.state, command, result, own)
	return nil
}

func (r *replication) publishStatus() {
	s := status{
		role: r.replica.Role(), term: r.replica.Term(), leader: r.replica.Leader(),
		membership: r.replica.Membership(), commitIndex: r.replica.CommitIndex(),
		respondingVoters: r.replica.RespondingVoters(),
	}
	if s.role != r.lastStatus.role || s.term != r.lastStatus.term || s.leader != r.lastStatus.leader {
		r.log.Info("role",
			zap.Stringer("role", s.role), zap.Uint64("term", s.term), zap.Stringer("leader", s.leader))
	}
	if !s.membership.Equal(r.lastStatus.membership) {
		r.logMembership(s)
	}
	if r.lastStatus.role == replicator.Leader && s.role != replicator.Leader {
		r.failProposals()
	}
	r.lastStatus = s
	r.onStatus(s)
	if r.replica.UpToDate() {
		r.onUpToDate(r.state)
	}
}

// logMembership logs a new membership of the log and, on the leader, for how long each other
// member has not responded.
func (r *replication) logMembership(s status) {
	var silence []string
	for _, member := range append(s.membership.Voters(), s.membership.Learners()...) {
		if ticks, ok := r.replica.TicksSinceResponse(member); ok {
			silence = append(silence, fmt.Sprintf("%s:%s", member, time.Duration(ticks)*tickInterval))
		}
	}
	r.log.Info("membership", zap.Stringers("voters", s.membership.Voters()), zap.Stringers("learners", s.membership.Learners()),
		zap.Uint64("term", s.term), zap.Uint64("commitIndex", s.commitIndex), zap.Strings("sinceResponse", silence))
}

// failProposals fails all pending proposals with errInDoubt. Another leader may
// still commit them.
func (r *replication) failProposals() {
	for index, pending := range r.proposals {
		pending.result <- proposalResult{err: errInDoubt}
		delete(r.proposals, index)
	}
}
