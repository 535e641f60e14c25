// Package router implements the router process, which admits requests from
// callers, reserves their cost, sends them to targets and settles their
// charges. Package gateway is its counterpart for the routes and token budgets
// of a platform.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/committer"
	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/departuresharer"
	"radishshed.example/radishshed/internal/forwarder"
	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/listener"
	"radishshed.example/radishshed/internal/memorybudgeter"
	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/internal/requesttracker"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/internal/shutdownplanner"
	"radishshed.example/radishshed/pkg/coordination/allotter"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/intentstorer"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// Config configures a router.
type Config struct {
	// Settings are the settings of the process. Required.
	Settings configurer.Settings
	// DialTarget opens direct connections to targets. Default: relayer.DialDirect.
	DialTarget relayer.Dialer
	// Log is the process log. Required.
	Log *zap.Logger
}

// Router is a router process.
type Router struct {
	settings      configurer.Settings
	log           *zap.Logger
	process       identifier.Process
	metrics       metrics.Registry
	counters      counters
	timeline      *recorder.Timeline
	endpoint      *linker.Endpoint
	disseminator  *disseminator.Disseminator
	allotter      *allotter.Allotter
	committer     *committer.Committer
	selector      *selector.Selector
	forwarder     *forwarder.Forwarder
	failures      *failureRecords
	storedIntents *intentstorer.Store
	retired       chan struct{} // closed once control has retired this process
	retireOnce    sync.Once

	limits     *limitsharer.Sharer
	departures *departuresharer.Sharer
	controlVMs limitsharer.ControlVMs

	relays          *relayer.Relayer
	relayCandidates atomic.Pointer[[]relayselector.Candidate]

	configuration   atomic.Pointer[archiver.Configuration]
	confirmed       chan struct{} // closed once a quorum has confirmed a configuration
	confirmOnce     sync.Once
	configMutex     sync.Mutex    // serialises replacement of the configuration
	refreshRequests chan struct{} // holds at most one request to fetch the configuration
	tracker         *requesttracker.Tracker
	routerCount     atomic.Int64 // known routers that are not draining, including this one
	failed          context.CancelCauseFunc
	orphanTasks     sync.WaitGroup
}

type counters struct {
	admitted metrics.Counter
	refused  metrics.Counter
	served   metrics.Counter
	broken   metrics.Counter
	retried  metrics.Counter
	open     metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return counters{
		admitted: counter("requestsAdmitted"),
		refused:  counter("requestsRefused"),
		served:   counter("requestsServed"),
		broken:   counter("requestsBroken"),
		retried:  counter("requestsRetried"),
		open:     counter("requestsOpen"),
	}
}

// New returns a router that has not been started.
func New(config Config) (*Router, error) {
	incarnation := uint64(time.Now().UnixMilli())<<10 | rand.Uint64N(1<<10)
	r := &Router{
		settings:        config.Settings,
		log:             config.Log,
		process:         identifier.NewProcess(config.Settings.VM(), incarnation),
		metrics:         metrics.NewRegistry(),
		timeline:        recorder.NewTimeline(config.Settings.VM()),
		allotter:        allotter.New(),
		failures:        newFailureRecords(),
		storedIntents:   intentstorer.New(intentstorer.Config{}),
		retired:         make(chan struct{}),
		confirmed:       make(chan struct{}),
		refreshRequests: make(chan struct{}, 1),
		failed:          func(error) {},
	}
	r.tracker = requesttracker.New(requesttracker.Config{Metrics: r.metrics, Log: r.log})
	r.selector = selector.New(selector.Config{RouterCount: func() int { return int(r.routerCount.Load()) }})
	r.relayCandidates.Store(&[]relayselector.Candidate{})
	r.relays = r.newRelayer(config.DialTarget)
	r.forwarder = forwarder.New(forwarder.Config{Dial: r.relays.Dial})
	r.counters = newCounters(r.metrics)
	r.configuration.Store(&archiver.Configuration{})
	r.disseminator = disseminator.New(disseminator.Config{OnChange: r.handleEntries})
	r.limits = limitsharer.New(limitsharer.Config{
		VM: config.Settings.VM(), Candidates: r.controlVMs.List, Peer: r.controlPeer, Publish: r.disseminator.Put, Metrics: r.metrics, Log: r.log,
	})
	r.departures = departuresharer.New(departuresharer.Config{Record: r.selector.RecordDeparture, Publish: r.disseminator.Put, Log: r.log})
	r.committer = committer.New(committer.Config{
		Process:       r.process,
		ControlClient: r,
		Allotter:      r.allotter,
		IntentStore:   r.storedIntents,
		OnRetired:     r.retire,
		Log:           r.log,
		Metrics:       r.metrics,
	})
	var err error
	r.endpoint, err = linker.New(linker.Config{
		Identity:     linker.NewIdentity(r.process, config.Settings.DataCentre(), linker.Router, config.Settings.AdvertisedAddress()),
		FleetKey:     config.Settings.FleetKey(),
		Handle:       r.handle,
		OnConnect:    func(p *linker.Peer) { r.disseminator.AddLink(updatesLink{p}) },
		OnDisconnect: func(p *linker.Peer) { r.disseminator.RemoveLink(updatesLink{p}) },
		TLS:          config.Settings.ClientTLS(),
		Clock:        r.timeline,
		Log:          r.log,
		Metrics:      r.metrics,
	})
	return r, err
}

// Run serves requests until the context ends and then drains: it continues to
// serve until the load balancer has stopped sending requests, waits for open
// requests, commits all settlements and returns its grants.
func (r *Router) Run(ctx context.Context) error {
	serving, stop := context.WithCancelCause(context.Background())
	defer stop(nil)
	r.failed = stop
	public, private, err := r.listen(stop)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	running.Go(func() { r.committer.Run(serving) })
	running.Go(func() { r.disseminator.Run(serving) })
	running.Go(func() { r.runMembership(serving) })
	running.Go(func() { r.runConfiguration(serving) })
	running.Go(func() { r.limits.Run(serving) })
	running.Go(func() { r.relays.Run(serving) })
	probes := repeater.New(repeater.Config{Interval: probeInterval, Step: r.probeStale})
	running.Go(func() { probes.Run(serving) })
	r.log.Info("router started", zap.Stringer("process", r.process))
	select {
	case <-ctx.Done():
		r.drain(serving, public, r.settings.GracePeriod())
	case <-r.retired:
		r.drain(serving, public, 0) // nobody is about to kill the process
		stop(errors.New("control has retired this router, because it was unresponsive for too long or a newer incarnation exists: restart the process"))
	case <-serving.Done():
	}
	err = context.Cause(serving)
	stop(nil)
	for _, l := range append(private, public) {
		l.Close()
	}
	r.endpoint.Close()
	running.Wait()
	return err
}

// retire makes the router drain and stop. Control accepts draws on budgets only
// from a new incarnation, hence from a restarted process.
func (r *Router) retire(reason string) {
	r.retireOnce.Do(func() {
		r.log.Warn("retired by control", zap.String("reason", reason))
		close(r.retired)
	})
}

// drain ends the service of the router without interrupting requests, unless the
// context ends first. It serves for the drain delay, so that the load balancer
// can notice, waits for open requests, commits their settlements and returns the
// grants. The process is killed after the grace period, unless that is zero.
func (r *Router) drain(ctx context.Context, public *listener.Listener, grace time.Duration) {
	plan := shutdownplanner.New(shutdownplanner.Config{StartedAt: time.Now(), Notice: r.settings.DrainDelay(), Grace: grace})
	r.tracker.BeginShutdown(plan)
	r.announceSelf()
	select {
	case <-time.After(time.Until(plan.NoticeEndsAt())):
	case <-ctx.Done():
		return
	}
	r.tracker.AwaitUnused(ctx, public, r.relays)
	r.orphanTasks.Wait()
	if err := r.committer.Flush(ctx); err != nil {
		r.log.Warn("cannot commit all settlements before the shutdown", recorder.Err(err))
	}
	ctx, cancel := context.WithDeadline(ctx, plan.ReportUntil(time.Now().Add(returnGrantsTimeout)))
	defer cancel()
	if err := r.committer.Deregister(ctx); err != nil {
		r.log.Warn("cannot return the grants to control", recorder.Err(err))
	}
	r.tracker.LogShutdown(time.Now())
}

const (
	returnGrantsTimeout = 5 * time.Second
	// Shares of the descriptors of the process, as those of package gateway.
	callerDescriptors = 0.375
	linkDescriptors   = 0.25
)

func (r *Router) listen(fail func(error)) (public *listener.Listener, private []*listener.Listener, err error) {
	links := chi.NewRouter()
	links.Handle(linker.Path, r.endpoint)
	links.Handle(linker.TunnelPath, linker.NewTunnels(r.endpoint, r.relays.Accept))
	limits := listener.NewLimits(listener.LimitsConfig{
		MaxHeadBytes: r.settings.MaxHeadBytes(), HeadTimeout: r.settings.HeadTimeout(), MinBodyRate: r.settings.MinBodyRate(),
		Budgeter: memorybudgeter.New(memorybudgeter.Config{MemoryBytes: r.settings.MemoryLimitBytes()}), Metrics: r.metrics, Log: r.log,
	})
	maxConnections := map[string]int{r.settings.CallerAddress(): r.settings.MaxConnections()} // zero for the default
	shares := map[string]float64{r.settings.LinkAddress(): linkDescriptors, r.settings.CallerAddress(): callerDescriptors}
	for address, handler := range map[string]http.Handler{
		r.settings.LinkAddress():     links,
		r.settings.OperatorAddress(): r.operatorRoutes(),
		r.settings.CallerAddress():   r.callerRoutes(),
	} {
		l, err := listener.Start(listener.Config{
			Address: address, TLS: r.settings.ServerTLS(), Handler: handler, OnError: fail,
			Limits: limits, MaxConnections: maxConnections[address], DescriptorShare: shares[address],
		})
		if err != nil {
			return nil, nil, err
		}
		if address == r.settings.CallerAddress() {
			public = l
			continue
		}
		private = append(private, l)
	}
	return public, private, nil
}

// CallControl implements committer.ControlClient.
func (r *Router) CallControl(ctx context.Context, vm string, kind uint8, body []byte) ([]byte, error) {
	if vm != "" {
		if peer, ok := r.endpoint.PeerOnVM(vm, linker.Control); ok {
			return peer.Call(ctx, kind, body)
		}
	}
	peers := r.controlPeers()
	if len(peers) == 0 {
		return nil, errors.New("no control VM is connected")
	}
	return peers[rand.IntN(len(peers))].Call(ctx, kind, body)
}

// controlPeer returns the link to the control VM of the name, and whether there is one.
func (r *Router) controlPeer(vm string) (limitsharer.Peer, bool) {
	return r.endpoint.PeerOnVM(vm, linker.Control)
}

func (r *Router) controlPeers() []*linker.Peer {
	var control []*linker.Peer
	for _, p := range r.endpoint.Peers() {
		if p.Identity().Role() == linker.Control {
			control = append(control, p)
		}
	}
	return control
}

// updatesLink is a disseminator link that sends updates to a peer.
type updatesLink struct{ peer *linker.Peer }

func (u updatesLink) SendUpdates(data []byte) error { return u.peer.Notify(messenger.Updates, data) }
