package committer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
)

// batch is one batch that is sent to control.
type batch struct {
	committer           *Committer
	ctx                 context.Context
	leaderVM            string
	closedBelow         uint64
	openings            []*pendingOpening
	closings            []applier.Closing
	draws               []bookkeeper.Draw
	storedIntents       []bookkeeper.Intent  // stored for other routers
	swept               []identifier.Process // retired routers whose stored intents are all in storedIntents
	register            bool                 // whether control has yet to register this router
	final               bool                 // whether this is the final batch of the router
	disconnectedIntents []bookkeeper.Intent  // opened by this router while control was unreachable
	retirements         uint64
	sentAt              time.Time
}

func (b *batch) isEmpty() bool {
	return len(b.openings)+len(b.closings)+len(b.draws)+len(b.storedIntents)+len(b.swept)+len(b.disconnectedIntents) == 0 && !b.final
}

func (b *batch) run() {
	b.sentAt = time.Now()
	result, err := b.send()
	if err != nil {
		b.committer.batchesFailed.Inc(1)
		b.committer.config.Log.Debug("batch not committed", recorder.Err(err))
		b.requeue()
		return
	}
	b.committer.batchesSent.Inc(1)
	b.handleResult(result)
}

func (b *batch) send() (applier.BatchResult, error) {
	config := applier.BatchConfig{
		Router:             b.committer.config.Process,
		Register:           b.register,
		ClosedBelow:        b.closedBelow,
		Closings:           b.closings,
		Draws:              b.draws,
		ReplicatedIntents:  append(b.storedIntents[:len(b.storedIntents):len(b.storedIntents)], b.disconnectedIntents...),
		Swept:              b.swept,
		AllIntentsReported: true,
		Deregister:         b.final,
		Retirements:        b.retirements,
	}
	for _, o := range b.openings {
		config.Openings = append(config.Openings, o.opening)
	}
	encoded, err := applier.EncodeBatch(applier.NewBatch(config))
	if err != nil {
		return applier.BatchResult{}, err
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	data, err := b.committer.config.ControlClient.CallControl(ctx, b.leaderVM, messenger.Batch, encoded)
	if err != nil {
		b.committer.setLeader("")
		return applier.BatchResult{}, err
	}
	response, err := messenger.DecodeResponse(data)
	if err != nil {
		return applier.BatchResult{}, err
	}
	if response.Redirected() {
		b.committer.setLeader(response.LeaderVM())
		return applier.BatchResult{}, errors.Errorf("redirected to leader %q", response.LeaderVM())
	}
	result, err := applier.DecodeBatchResult(response.Body())
	if err == nil && result.Refusal() == "" && len(result.Openings()) != len(b.openings) {
		err = errors.New("the number of outcomes in the response differs from that of the openings in the batch")
	}
	return result, err
}

func (c *Committer) setLeader(vm string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaderVM = vm
}

// requeue returns the contents of a failed batch to the queues and wakes the loop
// after retryDelay. Draws are not requeued but computed again.
func (b *batch) requeue() {
	c := b.committer
	c.mutex.Lock()
	c.openings = append(b.openings, c.openings...)
	c.closings = append(b.closings, c.closings...)
	for _, process := range b.swept {
		c.sweeps[process] = true
	}
	// A batch may fail after control has responded to one that was sent later. That
	// does not count as a failure of control.
	if c.failingSince.IsZero() && b.sentAt.After(c.lastContact) {
		c.failingSince = b.sentAt
	}
	c.mutex.Unlock()
	select {
	case <-time.After(retryDelay):
	case <-b.ctx.Done():
	}
	c.mutex.Lock()
	c.inFlight--
	c.mutex.Unlock()
	for _, draw := range b.draws {
		c.config.Allotter.Account(draw.Account()).RequestDraw()
	}
	c.ReportDemand()
}

// removeKnown removes the intents that control has received. It requires mutex.
func (c *Committer) removeKnown(known []bookkeeper.Intent) {
	for _, intent := range known {
		at := slices.IndexFunc(c.disconnectedIntents, func(i bookkeeper.Intent) bool { return i.Request() == intent.Request() })
		if at >= 0 {
			c.disconnectedIntents = slices.Delete(slices.Clone(c.disconnectedIntents), at, at+1)
		}
	}
}

// handleResult applies control's result to the openings, grants and stored
// intents, and to the state of the committer.
func (b *batch) handleResult(result applier.BatchResult) {
	c := b.committer
	if b.final {
		c.endOnce.Do(func() { close(c.ended) })
	}
	if result.Refusal() != "" && !b.final {
		c.config.Retired(result.Refusal())
		for _, o := range b.openings {
			o.outcome <- applier.NewRefused(result.Refusal())
		}
	}
	for i, outcome := range result.Openings() {
		b.openings[i].outcome <- outcome
	}
	c.config.Allotter.Apply(result.Grants())
	for _, fence := range result.Fences() {
		c.config.IntentStore.Fence(fence)
	}
	for _, intent := range b.storedIntents {
		c.config.IntentStore.Remove([]identifier.Request{intent.Request()})
	}
	c.mutex.Lock()
	c.registered = true
	c.removeKnown(b.disconnectedIntents)
	c.retirements = max(c.retirements, result.Retirements())
	c.failingSince = time.Time{}
	if b.sentAt.After(c.lastContact) {
		c.lastContact = b.sentAt
	}
	for _, closing := range b.closings {
		c.markClosed(closing.Settlement().Intent().Request())
	}
	c.unacked -= len(b.closings)
	if c.unacked == 0 {
		close(c.closingsCommitted)
		c.closingsCommitted = make(chan struct{})
	}
	if len(b.draws) > 0 {
		close(c.grantsReceived)
		c.grantsReceived = make(chan struct{})
	}
	c.inFlight--
	c.mutex.Unlock()
	c.wakeLoop()
}
