// Package gateway implements the daemon of an entry VM. It forwards requests to targets.
// The host and a path prefix select a route, which names the services, and the
// organisation's key selects a prepaid token budget.
//
// In the protocols of the fleet a gateway has the role of a router (linker.Router).
// Comments call it a router where any router is meant.
//
// Start with request.go, which contains the steps of one request from admission to
// settlement.
package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/bytecounter"
	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/departuresharer"
	"radishshed.example/radishshed/internal/exchanger"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/listener"
	"radishshed.example/radishshed/internal/memorybudgeter"
	"radishshed.example/radishshed/internal/offloader"
	"radishshed.example/radishshed/internal/operator"
	"radishshed.example/radishshed/internal/originsharer"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/regionselector"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/internal/requesttracker"
	"radishshed.example/radishshed/internal/retrier"
	"radishshed.example/radishshed/internal/shutdownplanner"
	"radishshed.example/radishshed/internal/spender"
	"radishshed.example/radishshed/internal/timekeeper"
	"radishshed.example/radishshed/internal/verdictsharer"
	"radishshed.example/radishshed/pkg/coordination/ceilingstorer"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/evacuator"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// idleTimeout is longer than clients keep an idle connection for reuse.
	idleTimeout = 75 * time.Second
	// finalReportTimeout limits the time for the final spending report of a draining
	// router.
	finalReportTimeout = time.Second
	// Shares of the descriptors of the process. A request takes a connection of a caller and one
	// to a target, so that targets need as many as callers.
	callerDescriptors  = 0.375
	linkDescriptors    = 0.25
	defaultRetryWindow = 10 * time.Second
	linkLoadInterval   = 250 * time.Millisecond
)

// Config configures a gateway.
type Config struct {
	// Settings are the settings of the process. Required.
	Settings configurer.Settings
	// Protocol translates the messages of callers and targets. Required.
	Protocol Protocol
	// DialTarget opens direct connections to targets. Default: relayer.DialDirect.
	DialTarget relayer.Dialer
	// Log receives the log lines. Required.
	Log *zap.Logger
}

// Gateway is the daemon of an entry VM.
type Gateway struct {
	settings       configurer.Settings
	protocol       Protocol
	log            *zap.Logger
	process        identifier.Process
	clock          timekeeper.Clock // timestamps of reports to control
	metrics        metrics.Registry
	meters         meters
	timeline       *recorder.Timeline
	endpoint       *linker.Endpoint
	disseminator   *disseminator.Disseminator
	exchanger      *exchanger.Exchanger
	placer         *placer.Placer
	spender        *spender.Spender
	retrier        *retrier.Retrier
	loans          *loanTable
	storedCeilings *ceilingstorer.Storer

	catalogue       atomic.Pointer[cataloguer.Catalogue]
	catalogueRecord atomic.Pointer[cataloguer.Record]
	activationMutex sync.Mutex
	fetches         chan *linker.Peer
	reportRepeater  *repeater.Repeater // spending reports to control
	ceilingRepeater *repeater.Repeater // this router's ceilings to its witnesses
	// reportMutex is held while a report is sent: by reportRepeater, and by drain for the
	// final report.
	reportMutex                     sync.Mutex
	chosenWitnesses, queriedRouters []identifier.Process // guarded by reportMutex
	routerCount                     atomic.Int64
	addresses                       atomic.Pointer[[]string]    // control VMs from the settings
	leaseGraceEndsAt                atomic.Int64                // end of the grace for target leases, Unix time in nanoseconds
	lastReportPeer                  atomic.Pointer[linker.Peer] // control VM that responded to the last report
	isLender                        atomic.Bool                 // whether other routers request loans from this one
	lenderVMs                       atomic.Pointer[map[string]bool]
	lastRouters                     []disseminator.Entry // used only by the goroutine that maintains the membership
	tracker                         *requesttracker.Tracker
	byteCounter                     bytecounter.ByteCounter // bytes of the connections of callers and targets
	offloader                       *offloader.Offloader    // used only by the goroutine that observes the load
	diverting                       atomic.Bool             // whether new connections are diverted to other routers
	investigations                  chan struct{}           // holds an element for each running investigation
	quarantiner                     *quarantiner.Quarantiner
	verdicts                        *verdictsharer.Sharer
	limits                          *limitsharer.Sharer
	departures                      *departuresharer.Sharer
	sizeRanker                      *limiter.SizeRanker
	origins                         *originsharer.Sharer
	evacuations                     atomic.Pointer[evacuator.Set] // guarded by activationMutex when it is changed
	relays                          *relayer.Relayer
	relayCandidates                 atomic.Pointer[[]relayselector.Candidate]
	regions                         atomic.Pointer[regionselector.Selector]
	hadHomeRegions                  atomic.Bool // whether a catalogue with home regions has been in force
	budgeter                        *memorybudgeter.Budgeter
	clientLog                       *zap.Logger   // limited in its rate
	linkUtilisation                 atomic.Uint64 // share of the link in use, as the bits of a float64
}

// New returns a gateway that is not running yet.
func New(c Config) (*Gateway, error) {
	now := time.Now()
	process := identifier.NewProcess(c.Settings.VM(), uint64(now.UnixMilli())<<10|rand.Uint64N(1<<10))
	g := &Gateway{
		settings:       c.Settings,
		protocol:       c.Protocol,
		log:            c.Log,
		process:        process,
		clock:          timekeeper.New(now),
		metrics:        metrics.NewRegistry(),
		timeline:       recorder.NewTimeline(c.Settings.VM()),
		placer:         placer.New(),
		loans:          newLoanTable(),
		storedCeilings: ceilingstorer.New(ceilingstorer.Config{}),
		spender:        spender.New(spender.Config{Process: process, StartedAt: now}),
		fetches:        make(chan *linker.Peer, maxQueuedFetches),
		investigations: make(chan struct{}, maxInvestigations),
		sizeRanker:     limiter.NewSizeRanker(limiter.SizeRankerConfig{}),
	}
	g.budgeter = memorybudgeter.New(memorybudgeter.Config{MemoryBytes: c.Settings.MemoryLimitBytes()})
	g.clientLog = listener.RateLimited(c.Log)
	g.offloader = offloader.New(offloader.Config{LinkBytesPerSecond: c.Settings.LinkBytesPerSecond()})
	g.reportRepeater = repeater.New(repeater.Config{Interval: reportCheckInterval, Step: g.reportIfDue})
	g.ceilingRepeater = repeater.New(repeater.Config{Interval: witnessInterval, Step: g.sendPendingCeilings})
	g.meters = newMeters(g.metrics)
	g.tracker = requesttracker.New(requesttracker.Config{Metrics: g.metrics, Log: c.Log})
	g.catalogueRecord.Store(&cataloguer.Record{})
	g.evacuations.Store(&evacuator.Set{})
	g.Reload(c.Settings)
	g.relayCandidates.Store(&[]relayselector.Candidate{})
	g.relays = g.newRelayer(c.DialTarget)
	g.exchanger = exchanger.New(exchanger.Config{
		Dial: g.relays.Dial, Waiting: g.relays.AddWaiting, ConnectionOpened: func() { g.meters.connections.Inc(1) }, ByteCounter: &g.byteCounter,
	})
	g.disseminator = disseminator.New(disseminator.Config{OnChange: g.handleEntries})
	g.quarantiner = quarantiner.New(quarantiner.Config{VM: c.Settings.VM()})
	g.verdicts = verdictsharer.New(verdictsharer.Config{Quarantiner: g.quarantiner, Publish: g.disseminator.Put, Log: c.Log})
	g.limits = g.newLimitSharer()
	g.departures = departuresharer.New(departuresharer.Config{Record: g.placer.RecordDeparture, Publish: g.publish, Log: c.Log})
	g.origins = g.newOriginSharer()
	retries := c.Settings.RetryBudget()
	window := retries.Window()
	if window == 0 {
		window = defaultRetryWindow
	}
	g.routerCount.Store(1)
	g.lenderVMs.Store(&map[string]bool{})
	g.retrier = retrier.New(retrier.Config{
		Ratio: retries.Ratio(), ExtraRetries: retries.ExtraRetries(), Window: window,
		RouterCount: func() int { return int(g.routerCount.Load()) },
	})
	var err error
	g.endpoint, err = linker.New(linker.Config{
		Identity:     linker.NewIdentity(process, c.Settings.DataCentre(), linker.Router, c.Settings.AdvertisedAddress()),
		FleetKey:     c.Settings.FleetKey(),
		Handle:       g.handle,
		OnConnect:    g.connected,
		OnDisconnect: g.disconnected,
		TLS:          c.Settings.ClientTLS(),
		Clock:        g.timeline,
		Log:          c.Log,
		Metrics:      g.metrics,
	})
	if c.Settings.UnauthenticatedLinks() {
		c.Log.Warn("links are not authenticated by a fleet key: the network must admit only members of the fleet")
	}
	return g, err
}

// Reload applies the settings that may change while the process runs: the addresses of
// control VMs and the regions of data centres.
func (g *Gateway) Reload(settings configurer.Settings) {
	addresses := settings.ControlAddresses()
	g.addresses.Store(&addresses)
	g.setRegions(settings)
}

// Run serves requests until the context ends, and then drains: it continues to serve
// for the drain notice, so that the load balancer can stop sending requests, and returns
// once all open requests have ended.
func (g *Gateway) Run(ctx context.Context) error {
	serving, stop := context.WithCancelCause(context.Background())
	defer stop(nil)
	listeners, public, err := g.listen(stop)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	running.Go(func() { g.disseminator.Run(serving) })
	running.Go(func() { g.runMembership(serving) })
	running.Go(func() { g.runFetches(serving) })
	running.Go(func() { g.reportRepeater.Run(serving) })
	running.Go(func() { g.ceilingRepeater.Run(serving) })
	running.Go(func() { g.runCleanup(serving) })
	running.Go(func() { g.runQuarantine(serving) })
	running.Go(func() { g.limits.Run(serving) })
	running.Go(func() { g.relays.Run(serving) })
	load := repeater.New(repeater.Config{Interval: linkLoadInterval, Step: g.observeLoad})
	running.Go(func() { load.Run(serving) })
	g.log.Info("gateway started", zap.Stringer("process", g.process))
	select {
	case <-ctx.Done():
		g.drain(serving, public)
	case <-serving.Done():
	}
	err = context.Cause(serving)
	stop(nil)
	for _, l := range append(listeners, public) {
		l.Close()
	}
	g.endpoint.Close()
	running.Wait()
	return err
}

// drain serves until the drain notice is over, waits for the open requests, and sends the
// final report. If it is known when the process is killed, drain returns before that.
func (g *Gateway) drain(ctx context.Context, public *listener.Listener) {
	plan := shutdownplanner.New(shutdownplanner.Config{
		StartedAt: time.Now(), Notice: g.settings.DrainDelay(), Grace: g.settings.GracePeriod(),
	})
	g.tracker.BeginShutdown(plan)
	select {
	case <-time.After(time.Until(plan.NoticeEndsAt())):
	case <-ctx.Done():
		return
	}
	g.tracker.AwaitUnused(ctx, public, g.relays)
	// Borrowers can no longer settle loans once this process has terminated. The zero
	// process and a time after every expiry charge all loans.
	g.chargeUnsettledLoans(identifier.Process{}, time.Now().Add(loanLifetime))
	ctx, cancel := context.WithDeadline(ctx, plan.ReportUntil(time.Now().Add(finalReportTimeout)))
	defer cancel()
	if err := g.report(ctx, true); err != nil {
		g.log.Warn("cannot send the final report: the grants are not returned to control", recorder.Err(err))
	}
	g.tracker.LogShutdown(time.Now())
}

func (g *Gateway) listen(failed func(error)) (private []*listener.Listener, public *listener.Listener, err error) {
	links := chi.NewRouter()
	links.Handle(linker.Path, g.endpoint)
	links.Handle(linker.TunnelPath, linker.NewTunnels(g.endpoint, g.relays.Accept))
	operators := chi.NewRouter()
	operator.Mount(operators, operator.Config{
		IsOperatorKey: g.settings.OperatorCredentials().AdmitsOperator,
		Ready:         g.ready,
		Metrics:       g.metrics,
		Timeline:      g.timeline,
	})
	operators.With(operator.RequireOperatorKey(g.settings.OperatorCredentials().AdmitsOperator)).Get("/status", g.serveStatus)
	handlers := map[string]http.Handler{
		g.settings.LinkAddress():     links,
		g.settings.OperatorAddress(): operators,
	}
	if address := g.settings.ReadyAddress(); address != "" {
		handlers[address] = http.HandlerFunc(g.serveReady)
	}
	limits := listener.NewLimits(listener.LimitsConfig{
		MaxHeadBytes: g.settings.MaxHeadBytes(), HeadTimeout: g.settings.HeadTimeout(), Budgeter: g.budgeter, Metrics: g.metrics, Log: g.log,
	})
	shares := map[string]float64{g.settings.LinkAddress(): linkDescriptors} // zero for the default
	for address, handler := range handlers {
		l, err := listener.Start(listener.Config{
			Address: address, TLS: g.settings.ServerTLS(), Handler: handler, OnError: failed, Limits: limits, DescriptorShare: shares[address],
		})
		if err != nil {
			return nil, nil, err
		}
		private = append(private, l)
	}
	public, err = listener.Start(listener.Config{
		Address: g.settings.CallerAddress(), TLS: g.settings.ServerTLS(),
		Handler: http.HandlerFunc(g.serve), OnError: failed, IdleTimeout: idleTimeout, ByteCounter: &g.byteCounter,
		Limits: limits, MaxConnections: g.settings.MaxConnections(), DescriptorShare: callerDescriptors,
	})
	return private, public, err
}

func (g *Gateway) ready() bool { return g.catalogue.Load() != nil && !g.tracker.ShuttingDown() }

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() || g.diverting.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// observeLoad samples the load of the network link and updates the readiness for new
// connections.
func (g *Gateway) observeLoad(context.Context) {
	now := time.Now()
	decision := g.offloader.Observe(offloader.Sample{
		At: now, Received: g.byteCounter.Received(), Sent: g.byteCounter.Sent(), Disconnected: g.spender.Disconnected(now),
	})
	g.linkUtilisation.Store(math.Float64bits(g.offloader.LinkUtilisation()))
	_, diverting := decision.(offloader.Divert)
	if diverting != g.diverting.Swap(diverting) {
		g.log.Info("readiness for new connections changed",
			zap.Bool("ready", !diverting), zap.Float64("linkShare", g.offloader.LinkUtilisation()))
	}
}

// runCleanup periodically closes idle connections, charges expired loans and removes
// targets that have not been announced for a while.
func (g *Gateway) runCleanup(ctx context.Context) {
	const cleanupInterval = time.Second
	const targetRetention = 30 * time.Second
	repeater.New(repeater.Config{Interval: cleanupInterval, Step: func(context.Context) {
		now := time.Now()
		g.exchanger.CloseIdle(now)
		g.chargeUnsettledLoans(identifier.Process{}, now) // the expired loans only
		if !g.inLeaseGrace(now) {
			g.placer.RemoveExpired(now.Add(-targetRetention))
		}
	}}).Run(ctx)
}

// errNoControl means that there is no link to any control VM.
var errNoControl = errors.New("no link to a control VM")
