// Package controller implements the daemon of a control VM. Control VMs are the
// members of the replicated log, which holds tickets, the ledger and claims.
package controller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/listener"
	"radishshed.example/radishshed/internal/memorybudgeter"
	"radishshed.example/radishshed/internal/originsharer"
	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/registrar"
	"radishshed.example/radishshed/internal/timekeeper"
	"radishshed.example/radishshed/internal/verdictsharer"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/evacuator"
	"radishshed.example/radishshed/pkg/state/journaler"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// messageTimeout limits the time for handling one message of a peer.
const messageTimeout = 5 * time.Second

// Config configures a controller.
type Config struct {
	// Settings are the settings of the process. Required.
	Settings configurer.Settings
	// Log receives events. Required.
	Log *zap.Logger
	// Routes, if set, adds the HTTP routes of a platform to those for operators.
	Routes func(chi.Router, *Controller)
}

// Controller is the daemon of a control VM.
type Controller struct {
	// lock is the locked file of the data folder. The lock lasts until the file is
	// closed, also by the garbage collector.
	lock           *os.File
	settings       configurer.Settings
	log            *zap.Logger
	member         identifier.Process
	metrics        metrics.Registry
	timeline       *recorder.Timeline
	endpoint       *linker.Endpoint
	disseminator   *disseminator.Disseminator
	registrar      *registrar.Registrar
	replication    *replication
	inputs         chan<- input
	routerActivity *routerActivity
	quarantiner    *quarantiner.Quarantiner
	verdicts       *verdictsharer.Sharer
	limits         *limitsharer.Sharer // of targets of routers, not of gateways
	controlVMs     limitsharer.ControlVMs
	origins        *originsharer.Sharer
	originKeeper   *originKeeper

	routes        func(chi.Router, *Controller)
	startedAt     uint64 // Unix time in nanoseconds
	configuration atomic.Pointer[archiver.Configuration]
	catalogue     atomic.Pointer[cataloguer.Record]
	evacuations   atomic.Pointer[evacuator.Set]
	addresses     atomic.Pointer[[]string] // of control VMs, from the settings
	status        atomic.Pointer[status]
	stopping      atomic.Bool
}

// New opens the data folder and returns a controller. It serves nothing until Run
// is called.
func New(config Config) (*Controller, error) {
	lock, err := lockFolder(config.Settings.DataFolder())
	if err != nil {
		return nil, err
	}
	c, err := newLocked(config, lock)
	if err != nil {
		_ = lock.Close() // nothing was written
		return nil, err
	}
	return c, nil
}

// newLocked returns a controller for a data folder that is locked.
func newLocked(config Config, lock *os.File) (*Controller, error) {
	folder := config.Settings.DataFolder()
	if err := bootstrap(config.Settings); err != nil {
		return nil, err
	}
	member, err := loadIdentity(folder, config.Settings.VM())
	if err != nil {
		return nil, err
	}
	c := &Controller{
		lock:           lock,
		settings:       config.Settings,
		log:            config.Log,
		member:         member,
		metrics:        metrics.NewRegistry(),
		timeline:       recorder.NewTimeline(config.Settings.VM()),
		routerActivity: newRouterActivity(),

		routes:    config.Routes,
		startedAt: uint64(time.Now().UnixNano()),
	}
	c.openQuarantine()
	c.registrar = c.newRegistrar()
	c.status.Store(&status{})
	c.configuration.Store(&archiver.Configuration{})
	c.catalogue.Store(&cataloguer.Record{})
	c.evacuations.Store(&evacuator.Set{})
	c.Reload(config.Settings)
	if err := c.openEndpoint(); err != nil {
		return nil, err
	}
	if config.Settings.UnauthenticatedLinks() {
		c.log.Warn("links are not authenticated by a fleet key: the network must admit only members of the fleet")
	}
	return c, c.openReplication(folder)
}

func (c *Controller) openEndpoint() error {
	var err error
	c.endpoint, err = linker.New(linker.Config{
		Identity:     linker.NewIdentity(c.member, c.settings.DataCentre(), linker.Control, c.settings.AdvertisedAddress()),
		FleetKey:     c.settings.FleetKey(),
		Handle:       c.handle,
		OnConnect:    c.connected,
		OnDisconnect: c.disconnected,
		TLS:          c.settings.ClientTLS(),
		Clock:        c.timeline,
		Log:          c.log,
		Metrics:      c.metrics,
	})
	return err
}

func (c *Controller) openReplication(folder string) error {
	journal, contents, err := journaler.Open(folder)
	if err != nil {
		return err
	}
	if contents.TruncatedBytes() > 0 {
		c.log.Warn("truncated an incomplete write at the end of the journal", zap.Int64("bytes", contents.TruncatedBytes()))
	}
	recovered, err := replicator.Recover(contents.Snapshot(), contents.Records())
	if err != nil {
		return err
	}
	replica, err := replicator.New(replicator.Config{Self: c.member, Recovered: recovered, Random: rand.IntN})
	if err != nil {
		return err
	}
	state, err := applier.Restore(applier.Config{}, recovered.Snapshot.Data())
	if err != nil {
		return err
	}
	inputs := make(chan input, inputQueueSize)
	c.inputs = inputs
	c.replication = &replication{
		log:          c.log,
		replica:      replica,
		journal:      journal,
		state:        state,
		clock:        timekeeper.New(time.Now()),
		send:         c.sendReplicate,
		onApplied:    c.applied,
		onStatus:     func(s status) { c.status.Store(&s) },
		onUpToDate:   c.publishState,
		inputs:       inputs,
		proposals:    map[uint64]pendingProposal{},
		queries:      map[uint64]queryInput{},
		appliedIndex: recovered.Snapshot.Index(),
	}
	c.publishConfiguration(state)
	c.log.Info("data folder opened",
		zap.Stringer("member", c.member), zap.Int("records", len(contents.Records())))
	return nil
}

// Reload applies the settings that may change while the process runs: the
// addresses of control VMs.
func (c *Controller) Reload(settings configurer.Settings) {
	addresses := settings.ControlAddresses()
	c.addresses.Store(&addresses)
}

// Run serves until the context ends and then shuts down. A leader first transfers
// its leadership, so that the fleet need not wait for an election timeout.
func (c *Controller) Run(ctx context.Context) error {
	serving, stop := context.WithCancelCause(context.Background())
	defer stop(nil)
	listeners, err := c.listen(stop)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	running.Go(func() { stop(c.replication.run(serving)) })
	running.Go(func() { c.disseminator.Run(serving) })
	tasks := repeater.New(repeater.Config{Interval: taskInterval, Step: c.runPeriodicTasks})
	running.Go(func() { tasks.Run(serving) })
	running.Go(func() { c.runDiscovery(serving) })
	running.Go(func() { c.runQuarantine(serving) })
	running.Go(func() { c.limits.Run(serving) })
	running.Go(func() { c.runQuarantineFile(serving) })
	running.Go(func() { c.originKeeper.run(serving) })
	members := repeater.New(repeater.Config{Interval: membershipInterval, Step: c.maintainMembership})
	running.Go(func() { members.Run(serving) })
	select {
	case <-ctx.Done():
		c.shutDown()
	case <-serving.Done():
	}
	err = context.Cause(serving)
	stop(nil)
	for _, l := range listeners {
		l.Close()
	}
	c.endpoint.Close()
	running.Wait()
	_ = c.lock.Close() // nothing was written
	return err
}

// shutDown tries for up to two seconds to transfer leadership to another voter,
// if there is one.
func (c *Controller) shutDown() {
	c.stopping.Store(true)
	c.log.Info("shutting down")
	transferDeadline := time.Now().Add(2 * time.Second)
	for c.status.Load().role == replicator.Leader && time.Now().Before(transferDeadline) {
		if len(c.status.Load().membership.Voters()) == 1 {
			return
		}
		_ = c.changeMembership(context.Background(), func(r *replicator.Replica) error {
			r.TransferLeadership()
			return nil
		}) // retried until this member no longer leads or the deadline has passed
		time.Sleep(tickInterval)
	}
}

// propose commits a command to the replicated log and returns its result.
func (c *Controller) propose(ctx context.Context, command applier.Command) (applier.Result, error) {
	result := make(chan proposalResult, 1)
	if err := c.enqueue(ctx, proposalInput{command, result}); err != nil {
		return nil, err
	}
	select {
	case r := <-result:
		return r.result, r.err
	case <-ctx.Done():
		return nil, errInDoubt
	}
}

// query reads the state. A confirmed query is linearisable: it sees every command
// that was committed before it began. Only the leader can serve it.
func (c *Controller) query(ctx context.Context, confirmed bool, read func(*applier.State)) error {
	done := make(chan error, 1)
	if err := c.enqueue(ctx, queryInput{confirmed, read, done}); err != nil {
		return err
	}
	return wait(ctx, done)
}

func (c *Controller) changeMembership(ctx context.Context, change func(*replicator.Replica) error) error {
	done := make(chan error, 1)
	if err := c.enqueue(ctx, membershipInput{change, done}); err != nil {
		return err
	}
	return wait(ctx, done)
}

func (c *Controller) enqueue(ctx context.Context, in input) error {
	select {
	case c.inputs <- in:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "control is busy")
	}
}

func wait(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "control is busy")
	}
}

// Shares of the descriptors of a control VM, to which all routers keep links. The rest remains for
// its files and its own links.
const (
	linkDescriptors     = 0.5
	operatorDescriptors = 0.25
)

func (c *Controller) listen(failed func(error)) ([]*listener.Listener, error) {
	links := chi.NewRouter()
	links.Handle(linker.Path, c.endpoint)
	limits := listener.NewLimits(listener.LimitsConfig{
		MaxHeadBytes: c.settings.MaxHeadBytes(), HeadTimeout: c.settings.HeadTimeout(), MinBodyRate: c.settings.MinBodyRate(),
		Budgeter: memorybudgeter.New(memorybudgeter.Config{MemoryBytes: c.settings.MemoryLimitBytes()}), Metrics: c.metrics, Log: c.log,
	})
	shares := map[string]float64{c.settings.LinkAddress(): linkDescriptors, c.settings.OperatorAddress(): operatorDescriptors}
	var listeners []*listener.Listener
	for address, handler := range map[string]http.Handler{
		c.settings.LinkAddress():     links,
		c.settings.OperatorAddress(): c.operatorRoutes(),
	} {
		l, err := listener.Start(listener.Config{
			Address: address,
			TLS:     c.settings.ServerTLS(),
			Handler: handler,
			OnError: failed,
			Limits:  limits, DescriptorShare: shares[address],
		})
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}
