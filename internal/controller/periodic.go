package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	taskInterval = time.Second
	// recallInterval is the shortest time between two recalls of an account.
	recallInterval = 20 * time.Millisecond
	// membershipInterval is how often the membership of the log is checked.
	membershipInterval = 300 * time.Millisecond
	// maxVoters is five, so that the log tolerates the loss of two voters at once.
	maxVoters = 5
	// voterTimeout is the time without a response after which a voter may be
	// removed. It is longer than the restart of a VM takes.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is the time without a response after which a learner is removed. Learners that
	// are gone cost little.
	learnerTimeout = 30 * time.Second
	// orphanedIntentDelay is how long an intent must have been orphaned before a
	// router is asked to resolve it. Until then the last bytes of the retired router
	// may still be in transit to a target.
	orphanedIntentDelay = 5 * time.Second
	// maxOrphanedIntents limits the number of intents in one notice.
	maxOrphanedIntents = 64
	// minRetirementTimeout is the minimum of retirementTimeout.
	minRetirementTimeout = 30 * time.Second
	// clockDrift is the most by which a router's clock may fall behind that of
	// control during retirementTimeout.
	clockDrift = 5 * time.Second
)

var membershipPolicy = replicator.MembershipPolicy{
	MaxVoters:           maxVoters,
	VoterTimeoutTicks:   int(voterTimeout / tickInterval),
	LearnerTimeoutTicks: int(learnerTimeout / tickInterval),
}

// runPeriodicTasks runs the periodic tasks of a control VM. All but the
// notifications of routers are tasks of the leader.
func (c *Controller) runPeriodicTasks(ctx context.Context) {
	c.notifyRouters(messenger.NewNumberUpdate(c.configuration.Load().Number()))
	c.notifyEvacuations()
	s := c.status.Load()
	if s.role != replicator.Leader {
		c.routerActivity.reset()
		return
	}
	c.retireUnresponsive(ctx)
	c.logBudgets(ctx)
	c.sendSweeps(ctx)
	c.sendOrphanedIntents(ctx)
}

// maintainMembership joins the replicated log if this VM is not a member or
// knows no leader. On the leader, it also adjusts the membership to the members
// that respond, so that a quorum of voters stays available.
func (c *Controller) maintainMembership(ctx context.Context) {
	s := c.status.Load()
	if !s.membership.Has(c.member) || s.leader.IsZero() {
		c.join(ctx)
	}
	if s.role == replicator.Leader {
		c.adjustMembership(ctx)
	}
	c.recordMembership(*s)
}

// recordMembership updates the metrics of the membership. Only the leader knows which voters
// respond; other members report none.
func (c *Controller) recordMembership(s status) {
	metrics.GetOrRegisterGauge("logVoters", c.metrics).Update(int64(len(s.membership.Voters())))
	metrics.GetOrRegisterGauge("logLearners", c.metrics).Update(int64(len(s.membership.Learners())))
	metrics.GetOrRegisterGauge("logRespondingVoters", c.metrics).Update(int64(s.respondingVoters))
}

// join asks all connected control VMs to add this member to the log. Only the
// leader adds it.
func (c *Controller) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, taskInterval)
	defer cancel()
	for _, peer := range c.endpoint.Peers() {
		if peer.Identity().Role() != linker.Control {
			continue
		}
		if _, err := peer.Call(ctx, messenger.Join, nil); err != nil {
			c.log.Debug("cannot join the replicated log yet", recorder.Err(err))
		}
	}
}

// adjustMembership promotes learners that have caught up and removes members that are gone, one
// change at a time.
func (c *Controller) adjustMembership(ctx context.Context) {
	var adjustment replicator.Adjustment
	err := c.changeMembership(ctx, func(r *replicator.Replica) error {
		var err error
		adjustment, err = r.AdjustMembership(membershipPolicy)
		return err
	})
	if err != nil {
		c.log.Info("cannot adjust the membership yet", recorder.Err(err))
		return
	}
	switch a := adjustment.(type) {
	case replicator.Unchanged:
	case replicator.VoterRemoved:
		c.log.Warn("removing unresponsive voter", zap.Stringer("member", a.Member()))
	case replicator.LearnerPromoted:
		c.log.Info("promoting learner", zap.Stringer("member", a.Member()))
	case replicator.LearnerRemoved:
		c.log.Warn("removing unresponsive learner", zap.Stringer("member", a.Member()))
	default:
		c.log.Error("unknown adjustment of the membership", zap.String("type", fmt.Sprintf("%T", a)))
	}
}

// retireUnresponsive retires routers from which no batch has arrived for longer
// than any budget lets a router spend without control.
func (c *Controller) retireUnresponsive(ctx context.Context) {
	now := time.Now()
	timeout := retirementTimeout(*c.configuration.Load())
	var unresponsive []identifier.Process
	err := c.query(ctx, false, func(s *applier.State) {
		for _, process := range s.Ledger().Routers() {
			if c.routerActivity.sinceLastBatch(process, now) > timeout+clockDrift {
				unresponsive = append(unresponsive, process)
			}
		}
	})
	if err != nil {
		return // retried when the periodic tasks run next
	}
	for _, process := range unresponsive {
		if _, err := c.propose(ctx, applier.NewRetire(process)); err != nil {
			return // retried when the periodic tasks run next
		}
		c.log.Warn("retired unresponsive router", zap.Stringer("process", process))
	}
}

// retirementTimeout returns the time without a batch after which a router can no
// longer spend: the longest time for which any budget lets a router spend without
// control, but at least minRetirementTimeout.
func retirementTimeout(configuration archiver.Configuration) time.Duration {
	timeout := minRetirementTimeout
	for _, o := range configuration.Organisations() {
		for _, b := range o.Budgets() {
			timeout = max(timeout, b.DisconnectedSpendingPeriod())
		}
	}
	return timeout
}

// sendSweeps asks routers to send the intents that they store for retired
// routers.
func (c *Controller) sendSweeps(ctx context.Context) {
	peers := map[*linker.Peer][]identifier.Process{}
	err := c.query(ctx, false, func(s *applier.State) {
		for _, peer := range c.endpoint.Peers() {
			if retired := s.Ledger().Unswept(peer.Identity().Process()); len(retired) > 0 {
				peers[peer] = retired
			}
		}
	})
	if err != nil {
		return // retried when the periodic tasks run next
	}
	for peer, retired := range peers {
		data, err := messenger.EncodeProcesses(retired)
		if err == nil {
			_ = peer.Notify(messenger.Sweep, data) // sent again until the router has swept
		}
	}
}

// sendOrphanedIntents asks one router to determine the outcome of the requests
// that retired routers had open.
func (c *Controller) sendOrphanedIntents(ctx context.Context) {
	var orphans []bookkeeper.Intent
	err := c.query(ctx, false, func(s *applier.State) { orphans = s.Ledger().OrphanedIntents() })
	if err != nil || len(orphans) == 0 {
		return
	}
	due := c.routerActivity.dueOrphanedIntents(orphans, time.Now())
	if len(due) == 0 {
		return
	}
	data, err := messenger.EncodeIntents(due)
	if err != nil {
		return
	}
	for _, peer := range c.endpoint.Peers() {
		if peer.Identity().Role() == linker.Router {
			_ = peer.Notify(messenger.OrphanedIntents, data) // sent again while they are open
			return
		}
	}
}

// routerActivity is the state that a leader keeps about routers outside the
// replicated log. It is safe for concurrent use.
type routerActivity struct {
	mutex         sync.Mutex
	leaderSince   time.Time
	lastBatch     map[identifier.Process]time.Time
	lastRecall    map[string]time.Time
	orphanedSince map[identifier.Request]time.Time
}

func newRouterActivity() *routerActivity {
	a := &routerActivity{}
	a.reset()
	return a
}

// reset clears the state. A new leader does not know when routers last sent a
// batch, so it counts from the time at which it became the leader.
func (a *routerActivity) reset() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.leaderSince = time.Now()
	a.lastBatch = map[identifier.Process]time.Time{}
	a.lastRecall = map[string]time.Time{}
	a.orphanedSince = map[identifier.Request]time.Time{}
}

// recordBatch records that a batch of the router has arrived.
func (a *routerActivity) recordBatch(process identifier.Process, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastBatch[process] = now
}

// sinceLastBatch returns the time since the last batch of the router.
func (a *routerActivity) sinceLastBatch(process identifier.Process, now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	since := a.leaderSince
	if last, ok := a.lastBatch[process]; ok && last.After(since) {
		since = last
	}
	return now.Sub(since)
}

// allowRecall reports whether recallInterval has passed since the last recall
// of the account, and if so records a new recall.
func (a *routerActivity) allowRecall(account string, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now.Sub(a.lastRecall[account]) < recallInterval {
		return false
	}
	a.lastRecall[account] = now
	return true
}

// dueOrphanedIntents returns up to maxOrphanedIntents of the intents that have
// been orphaned for at least orphanedIntentDelay.
func (a *routerActivity) dueOrphanedIntents(orphans []bookkeeper.Intent, now time.Time) []bookkeeper.Intent {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	since := map[identifier.Request]time.Time{}
	var due []bookkeeper.Intent
	for _, orphan := range orphans {
		first, ok := a.orphanedSince[orphan.Request()]
		if !ok {
			first = now
		}
		since[orphan.Request()] = first
		if now.Sub(first) >= orphanedIntentDelay && len(due) < maxOrphanedIntents {
			due = append(due, orphan)
		}
	}
	a.orphanedSince = since
	return due
}
