package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/state/applier"
)

const (
	diskRetryInterval = 100 * time.Millisecond
	// compactAfterEntries is how many entries are applied between snapshots. After
	// a restart all of them are applied again before this VM serves the fleet.
	compactAfterEntries = 1000
	// compactAfterBytes limits the size of the journal between snapshots.
	compactAfterBytes = 64 << 20
)

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
