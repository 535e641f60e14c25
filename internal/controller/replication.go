package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/recorder"
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
	diskRetryInterval = 100 * time.Millisecond
	maxInputsPerFlush = 1024
	// compactAfterEntries is how many entries are applied between snapshots. After
	// a restart all of them are applied again before this VM serves the fleet.
	compactAfterEntries = 1000
	// compactAfterBytes limits the size of the journal between snapshots.
	compactAfterBytes = 64 << 20
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

// retryWrite retries a write to the disk until it succeeds, since a disk may be
// full for a while. Meanwhile this member responds to no one and does not
// report itself as leader, so the other members elect a new one.
func (r *replication) retryWrite(ctx context.Context, write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	r.log.Error("cannot persist the state of the replica; retrying", recorder.Err(err))
	r.lastStatus = status{membership: r.lastStatus.membership}
	r.onStatus(r.lastStatus)
	r.failProposals()
	for err != nil {
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "stopped while the state of the replica could not be persisted")
		case <-time.After(diskRetryInterval):
		}
		err = write()
	}
	r.log.Info("the state of the replica is persisted again")
	return nil
}

func (r *replication) persist(output replicator.Output) error {
	if output.Snapshot() != nil {
		return r.install(*output.Snapshot())
	}
	var records [][]byte
	if vote := output.Vote(); vote != nil {
		record, err := replicator.EncodeVote(*vote)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	for _, entry := range output.Entries() {
		record, err := replicator.EncodeEntry(entry)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	if len(records) == 0 {
		return nil
	}
	if err := r.journal.Append(records); err != nil {
		return err
	}
	if entries := output.Entries(); len(entries) > 0 {
		r.replica.MarkPersisted(entries[len(entries)-1].Index())
	}
	return nil
}

// install replaces the state with a snapshot from the leader.
func (r *replication) install(snapshot replicator.Snapshot) error {
	state, err := applier.Restore(r.config, snapshot.Data())
	if err != nil {
		return err
	}
	if err := r.rewriteJournal(); err != nil {
		return err
	}
	r.state = state
	r.appliedIndex = snapshot.Index()
	r.log.Info("snapshot installed", zap.Uint64("index", snapshot.Index()))
	r.onApplied(r.state, nil, nil, false)
	return nil
}

// rewriteJournal replaces the journal with the newest snapshot, the vote and the
// entries after the snapshot.
func (r *replication) rewriteJournal() error {
	snapshot, vote, entries := r.replica.DurableState()
	data, err := replicator.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	record, err := replicator.EncodeVote(vote)
	if err != nil {
		return err
	}
	records := [][]byte{record}
	for _, entry := range entries {
		record, err := replicator.EncodeEntry(entry)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	if err := r.journal.Compact(data, records); err != nil {
		return err
	}
	r.entriesSinceCompaction = 0
	if len(entries) > 0 {
		r.replica.MarkPersisted(entries[len(entries)-1].Index())
	}
	return nil
}

func (r *replication) compactIfDue(ctx context.Context) error {
	if r.entriesSinceCompaction < compactAfterEntries && r.journal.Size() < compactAfterBytes {
		return nil
	}
	if r.entriesSinceCompaction == 0 {
		return nil
	}
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	if _, err := r.replica.Compact(r.appliedIndex, data); err != nil {
		return err
	}
	if err := r.retryWrite(ctx, r.rewriteJournal); err != nil {
		return err
	}
	r.log.Info("journal compacted", zap.Uint64("index", r.appliedIndex), zap.Int("snapshotBytes", len(data)))
	return nil
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
