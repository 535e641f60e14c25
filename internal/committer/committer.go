// Package committer sends a router's commands to control, which commits them to
// the replicated log: intents before requests are sent to targets, settlements
// after requests have ended, and draws on budgets.
//
// Commands that are queued at the same time share a batch. Batches are
// idempotent, so a batch without a response is sent again, to another control VM
// if necessary.
package committer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/pkg/coordination/allotter"
	"radishshed.example/radishshed/pkg/coordination/intentstorer"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
)

const (
	tickInterval = time.Second
	// heartbeatTicks is the number of ticks after which an empty batch is sent.
	heartbeatTicks = 2
	// unreachableAfter is how long batches must have failed before control is
	// considered unreachable.
	unreachableAfter   = time.Second
	maxSampledIntents  = 512
	batchTimeout       = 2 * time.Second
	retryDelay         = 50 * time.Millisecond
	maxBatchesInFlight = 4
	maxOpeningsInBatch = 512
	maxClosingsInBatch = 512
)

// ErrControlUnreachable means that no control VM has confirmed a command in time.
// The command may or may not have been committed.
var ErrControlUnreachable = errors.New("control cannot be reached")

// ControlClient calls control VMs over the links of the router.
type ControlClient interface {
	// CallControl calls the control VM with the given name, or any control VM if
	// the name is empty or there is no link to that VM.
	CallControl(ctx context.Context, vm string, kind uint8, body []byte) ([]byte, error)
}

// Config configures a committer.
type Config struct {
	// Process is the router process. Required.
	Process identifier.Process
	// ControlClient sends the batches to control. Required.
	ControlClient ControlClient
	// Allotter holds the router's grants. Required.
	Allotter *allotter.Allotter
	// IntentStore stores intents of other routers. Required.
	IntentStore *intentstorer.Store
	// OnRetired is called when control has retired this process. The process must
	// then finish its open requests and exit. Required.
	OnRetired func(reason string)
	// Log receives events. Required.
	Log *zap.Logger
	// Metrics receives batchesSent and batchesFailed. Required.
	Metrics metrics.Registry
}

// pendingOpening is an opening whose caller waits for the outcome until ctx ends.
type pendingOpening struct {
	opening applier.Opening
	outcome chan applier.OpeningOutcome
	ctx     context.Context
}

// Committer batches commands and sends them to control. It is safe for concurrent
// use.
type Committer struct {
	config        Config
	wake          chan struct{}
	batchesFailed metrics.Counter
	batchesSent   metrics.Counter

	mutex             sync.Mutex
	openings          []*pendingOpening
	closings          []applier.Closing
	draws             map[string]bookkeeper.Draw
	reportDue         bool
	inFlight          int
	deregisterOnce    sync.Once
	leaderVM          string
	drawResponse      chan struct{} // closed when control has responded to draws
	closingsCommitted chan struct{} // closed when all closings are committed
	deregistered      chan struct{} // closed when control has deregistered this router

	sequence            uint64          // of the newest request
	open                map[uint64]bool // sequences of requests that are not closed
	closedBelow         uint64          // all requests with a lower sequence are closed
	uncommittedClosings int             // closings that control has not confirmed

	disconnectedIntents []bookkeeper.Intent // stored by other routers, not yet received by control
	retirements         uint64
	deregistering       bool
	registered          bool
	sweeps              map[identifier.Process]bool
	lastContact         time.Time // when the newest batch with a response was sent
	failingSince        time.Time // zero while control responds
}

// New returns a committer. It sends nothing until Run is called.
func New(config Config) *Committer {
	return &Committer{
		config:            config,
		wake:              make(chan struct{}, 1),
		batchesFailed:     metrics.GetOrRegisterCounter("batchesFailed", config.Metrics),
		batchesSent:       metrics.GetOrRegisterCounter("batchesSent", config.Metrics),
		draws:             map[string]bookkeeper.Draw{},
		drawResponse:      make(chan struct{}),
		closingsCommitted: make(chan struct{}),
		deregistered:      make(chan struct{}),
		open:              map[uint64]bool{},
		closedBelow:       1,
		sweeps:            map[identifier.Process]bool{},
	}
}

// Registered reports whether control has registered this router. An unregistered
// router must not store intents of other routers, since it does not yet know
// which routers are retired.
func (c *Committer) Registered() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.registered
}

// LastContact returns when the newest batch to which control has responded was
// sent. The period for which a router may spend budgets without contact to
// control starts then.
func (c *Committer) LastContact() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastContact
}

// ControlUnreachable reports whether all batches have failed for at least
// unreachableAfter.
func (c *Committer) ControlUnreachable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.failingSince.IsZero() && time.Since(c.failingSince) >= unreachableAfter
}

// AddDisconnectedIntent adds an intent that was opened while control was
// unreachable and that other routers have stored. It is sent to control as soon
// as control is reachable.
func (c *Committer) AddDisconnectedIntent(intent bookkeeper.Intent) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disconnectedIntents = append(c.disconnectedIntents, intent)
}

// Sweep sends all intents that are stored for retired routers to control and
// refuses to store further ones for them.
func (c *Committer) Sweep(retired []identifier.Process) {
	c.mutex.Lock()
	for _, process := range retired {
		c.sweeps[process] = true
	}
	c.mutex.Unlock()
	c.wakeLoop()
}

// NewRequest returns the identifier of a new request. The caller must later pass
// the identifier to Close or Withdraw.
func (c *Committer) NewRequest() identifier.Request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sequence++
	c.open[c.sequence] = true
	return identifier.NewRequest(c.config.Process, c.sequence)
}

// Withdraw closes a request for which Open was never called.
func (c *Committer) Withdraw(request identifier.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.markClosed(request)
}

// markClosed removes a request from the open requests and advances closedBelow.
// It requires mutex.
func (c *Committer) markClosed(request identifier.Request) {
	if request.Router() != c.config.Process {
		return // settled for a retired router
	}
	delete(c.open, request.Sequence())
	for c.closedBelow <= c.sequence && !c.open[c.closedBelow] {
		c.closedBelow++
	}
}

// Open commits an opening. After ErrControlUnreachable the opening may still be
// committed, so the request must be closed as unrun.
func (c *Committer) Open(ctx context.Context, o applier.Opening) (applier.OpeningOutcome, error) {
	pending := &pendingOpening{o, make(chan applier.OpeningOutcome, 1), ctx}
	c.mutex.Lock()
	c.openings = append(c.openings, pending)
	c.mutex.Unlock()
	c.wakeLoop()
	select {
	case outcome := <-pending.outcome:
		return outcome, nil
	case <-ctx.Done():
		return nil, ErrControlUnreachable
	}
}

// Close commits a closing in the background and retries it until it is committed.
func (c *Committer) Close(closing applier.Closing) {
	c.mutex.Lock()
	c.closings = append(c.closings, closing)
	c.uncommittedClosings++
	c.mutex.Unlock()
	c.wakeLoop()
}

// RequestGrants reports the demand of waiting requests and waits for control's
// response with grants.
func (c *Committer) RequestGrants(ctx context.Context) error {
	c.mutex.Lock()
	c.reportDue = true
	received := c.drawResponse
	c.mutex.Unlock()
	c.wakeLoop()
	select {
	case <-received:
		return nil
	case <-ctx.Done():
		return ErrControlUnreachable
	}
}

// ReportDemand reports unmet demand and surplus grants to control without waiting
// for the next tick.
func (c *Committer) ReportDemand() {
	c.mutex.Lock()
	c.reportDue = true
	c.mutex.Unlock()
	c.wakeLoop()
}

// Flush waits until all closings have been committed.
func (c *Committer) Flush(ctx context.Context) error {
	for {
		c.mutex.Lock()
		unacked, committed := c.uncommittedClosings, c.closingsCommitted
		c.mutex.Unlock()
		if unacked == 0 {
			return nil
		}
		select {
		case <-committed:
		case <-ctx.Done():
			return errors.Wrapf(ErrControlUnreachable, "%d settlements are not yet committed", unacked)
		}
	}
}

// Deregister returns all unreserved grants and deregisters this router. Open must
// not be called afterwards.
func (c *Committer) Deregister(ctx context.Context) error {
	c.mutex.Lock()
	for _, draw := range c.config.Allotter.ReturnAll() {
		c.draws[draw.Account()] = draw
	}
	c.deregistering = true
	c.mutex.Unlock()
	c.wakeLoop()
	select {
	case <-c.deregistered:
		return nil
	case <-ctx.Done():
		return ErrControlUnreachable
	}
}

// Run sends batches until the context ends.
func (c *Committer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for ticks := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ticks++
			c.queueDraws(c.config.Allotter.Tick(time.Now()))
		case <-c.wake:
		}
		if b := c.nextBatch(ticks >= heartbeatTicks); b != nil {
			ticks = 0
			b.ctx = ctx
			running.Go(b.run)
		}
	}
}

// wakeLoop makes Run collect a batch.
func (c *Committer) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// queueDraws adds draws to the next batch.
func (c *Committer) queueDraws(draws []bookkeeper.Draw) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, draw := range draws {
		c.draws[draw.Account()] = draw
	}
}

// nextBatch moves queued commands into a batch. It returns nil if there is
// nothing to send or if too many batches are in flight.
func (c *Committer) nextBatch(heartbeatDue bool) *batch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inFlight >= maxBatchesInFlight {
		return nil // the loop is woken when a batch ends
	}
	if c.reportDue {
		c.reportDue = false
		for _, draw := range c.config.Allotter.UrgentDraws() {
			c.draws[draw.Account()] = draw
		}
	}
	b := &batch{committer: c, leaderVM: c.leaderVM, closedBelow: c.closedBelow}
	b.openings, c.openings = takeOpenings(c.openings, maxOpeningsInBatch)
	closings := min(len(c.closings), maxClosingsInBatch)
	b.closings, c.closings = c.closings[:closings:closings], c.closings[closings:]
	for _, draw := range c.draws {
		b.draws = append(b.draws, draw)
	}
	clear(c.draws)
	for process := range c.sweeps {
		b.storedIntents = append(b.storedIntents, c.config.IntentStore.Fence(process)...)
		b.swept = append(b.swept, process)
	}
	clear(c.sweeps)
	if c.failingSince.IsZero() {
		b.storedIntents = append(b.storedIntents, c.config.IntentStore.Sample(maxSampledIntents)...)
	}
	b.register = !c.registered
	b.disconnectedIntents, b.retirements = c.disconnectedIntents, c.retirements
	b.deregister = c.deregistering && len(c.closings)+len(c.openings)+c.inFlight == 0
	// After a failure an empty batch is sent too, to detect when control is
	// reachable again.
	mustSend := heartbeatDue || !c.registered || !c.failingSince.IsZero()
	if b.isEmpty() && !mustSend {
		return nil
	}
	c.inFlight++
	return b
}

// takeOpenings takes up to n openings whose callers are still waiting, drops
// those whose callers have given up, and returns the others as rest.
func takeOpenings(openings []*pendingOpening, n int) (taken, rest []*pendingOpening) {
	for i, o := range openings {
		if len(taken) == n {
			return taken, openings[i:]
		}
		if o.ctx.Err() == nil {
			taken = append(taken, o)
		}
	}
	return taken, nil
}
