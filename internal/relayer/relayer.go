// Package relayer opens connections to targets, through another router while this one has
// lost the path to all targets, and opens connections for other routers that have.
//
// A relayed connection is a tunnel of bytes to one target. The router at its beginning keeps
// the request with its budget, permits, deadline, retries and response; the one in between
// knows nothing of it. So what holds for a request on a direct connection holds on a relayed
// one: a tunnel that is not opened has carried nothing, one that breaks off is a connection
// that was reset, and only the orderly end of a connection is passed on as such. A relay
// opens direct connections only, so that no connection is relayed twice.
package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/pathmonitor"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/pkg/coordination/repeater"
)

const (
	// dialTimeout is shorter than the time after which a lost SYN packet is
	// retransmitted.
	dialTimeout       = 900 * time.Millisecond
	keepAliveInterval = 2 * time.Second

	checkInterval = 100 * time.Millisecond
	// probeTimeout bounds one probe. A connection to a target takes a round trip.
	probeTimeout = pathmonitor.SilenceLimit
	// maxRelayAttempts is how many relays are asked for one connection.
	maxRelayAttempts = 3
	// relayTimeout bounds one attempt, and relayDialTimeout the relay's part of it.
	relayTimeout     = 700 * time.Millisecond
	relayDialTimeout = 450 * time.Millisecond
	// refusalTimeout is how long Refuses waits for a target to refuse a connection. One
	// whose process has ended does so within a round trip.
	refusalTimeout = 300 * time.Millisecond
	// drainInterval is how often a draining router looks whether others still use its
	// connections.
	drainInterval = 50 * time.Millisecond
	// abandonDelay is how long after the loss of the path an attempt must have made progress.
	// By then what was on its way has arrived on connections that live on.
	abandonDelay = time.Second
)

// errNoRelay means that no router relays at present.
var errNoRelay = errors.New("the path to all targets is lost, and no router relays at present")

// Dialer opens a connection to the target at an address, as host and port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialDirect opens a TCP connection to the target at an address.
func DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return dialer.DialContext(ctx, "tcp", address)
}

// Tunneller opens tunnels to other processes. linker.Endpoint implements it.
type Tunneller interface {
	OpenTunnel(ctx context.Context, address string, request []byte) (net.Conn, []byte, error)
}

// Config configures a Relayer.
type Config struct {
	// DataCentre is the data centre of this router. Required.
	DataCentre string
	// Dial opens direct connections to targets. Required.
	Dial Dialer
	// Tunneller returns what opens tunnels to other routers. Required.
	Tunneller func() Tunneller
	// Targets returns the addresses of the known targets. Required.
	Targets func() []string
	// Candidates returns the other routers that may reach targets. Required.
	Candidates func() []relayselector.Candidate
	// Load returns how busy this router is with other work, where 1 is full. Required.
	Load func() float64
	// Draining reports whether this router is about to stop. Required.
	Draining func() bool
	// WrapCarried wraps a connection that is opened for another router. Required.
	WrapCarried func(net.Conn) net.Conn
	// MaxRelayed is how many connections this router opens for others at a time. Required.
	MaxRelayed int
	// OnChange is called when the path has been lost or is back. Required.
	OnChange func(lost bool)
	// Metrics receives the counters. Required.
	Metrics metrics.Registry
	// Log receives a line for each loss of the path and its end. Required.
	Log *zap.Logger
}

// Relayer opens connections to targets. It is safe for concurrent use.
type Relayer struct {
	config   Config
	monitor  *pathmonitor.Monitor
	selector *relayselector.Selector
	// relayed is the number of open connections for other routers.
	relayed atomic.Int64

	opened, refused, carried metrics.Counter

	probing sync.Mutex // held during probes

	mutex    sync.Mutex
	lostAt   time.Time
	lost     chan struct{} // closed while the path is lost
	attempts map[*Attempt]bool
}

// New returns a Relayer for a path that works.
func New(c Config) *Relayer {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Metrics) }
	return &Relayer{
		config: c, monitor: pathmonitor.New(time.Now()), selector: relayselector.New(relayselector.Config{DataCentre: c.DataCentre}),
		opened: counter("relayedConnections"), refused: counter("relaysRefused"), carried: counter("connectionsRelayedForOthers"),
		lost: make(chan struct{}), attempts: map[*Attempt]bool{},
	}
}

// Lost reports whether this router has lost the path to all targets.
func (r *Relayer) Lost() bool { return r.monitor.Lost() }

// AddWaiting adds to the number of requests that wait for a target's bytes.
func (r *Relayer) AddWaiting(n int64) { r.monitor.AddWaiting(n, time.Now()) }

// Relayed returns the number of open connections for other routers.
func (r *Relayer) Relayed() int64 { return r.relayed.Load() }

// AwaitUnused waits until other routers do not use connections of this one any more, or the
// context ends.
func (r *Relayer) AwaitUnused(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for r.Relayed() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.config.Log.Warn("connections of other routers interrupted by the shutdown", zap.Int64("connections", r.Relayed()))
			return
		}
	}
}

// Run examines suspicions until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	repeater.New(repeater.Config{Interval: checkInterval, Step: func(ctx context.Context) {
		if r.monitor.Suspicious(time.Now()) {
			r.probe(ctx)
		}
	}}).Run(ctx)
}

// Dial opens a connection to a target. An error means that nothing was sent.
func (r *Relayer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if r.monitor.Lost() {
		return r.dialRelayed(ctx, address)
	}
	socket, err := r.dialDirect(ctx, address)
	if err == nil {
		return &connection{Conn: socket, relayer: r}, nil
	}
	if ctx.Err() == nil && r.pathLost(ctx) {
		return r.dialRelayed(ctx, address)
	}
	return nil, err
}

// Refuses reports whether the address of a target refuses connections, which means that no
// process listens there. A target that does not answer at all may be overloaded or
// partitioned; Refuses returns false for it. While the path to all targets is lost, what
// another router meets counts. If no other router can tell, the direct connection counts: all
// targets may have ended at once, which looks the same.
func (r *Relayer) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	socket, err := r.Dial(ctx, address)
	var unreachable *unreachableError
	if err != nil && r.monitor.Lost() && !errors.As(err, &unreachable) {
		socket, err = r.config.Dial(ctx, address)
	}
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = socket.Close() // nothing was sent
	return false
}

// dialDirect opens a direct connection. It gives up when the path is lost.
func (r *Relayer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	dial := r.monitor.BeginDial(time.Now())
	defer r.monitor.EndDial(dial)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &lossWatcher{lost: r.lostSignal(), cancel: cancel}
	go w.run(ctx)
	return r.config.Dial(ctx, address)
}

// lossWatcher cancels what depends on the path once that is lost.
type lossWatcher struct {
	lost   <-chan struct{}
	cancel context.CancelFunc
}

func (w *lossWatcher) run(ctx context.Context) {
	select {
	case <-w.lost:
		w.cancel()
	case <-ctx.Done():
	}
}

func (r *Relayer) lostSignal() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lost
}

// pathLost reports whether the path is lost, after a direct connection has failed.
func (r *Relayer) pathLost(ctx context.Context) bool {
	if r.monitor.MayProbe(time.Now()) {
		r.probe(ctx)
	}
	return r.monitor.Lost()
}

// probe opens connections to a few targets at once and acts on the results. Concurrent calls
// share one round of probes.
func (r *Relayer) probe(ctx context.Context) {
	begun := time.Now()
	r.probing.Lock()
	defer r.probing.Unlock()
	if !r.monitor.Lost() && !r.monitor.MayProbe(time.Now()) || ctx.Err() != nil {
		return // another round has ended since the call
	}
	targets := r.config.Targets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(pathmonitor.ProbeCount, len(targets))]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	results := make(chan bool, len(targets))
	for _, address := range targets {
		p := probe{dial: r.config.Dial, address: address, results: results}
		go p.run(ctx)
	}
	succeeded, failed := 0, 0
	for range targets {
		if <-results {
			succeeded++
		} else {
			failed++
		}
		if succeeded > 0 && !r.monitor.Lost() {
			break // the path works, whatever became of one target
		}
	}
	r.act(r.monitor.RecordProbes(succeeded, failed, time.Now()), succeeded, failed, time.Since(begun))
}

// probe is a connection that is opened only to see whether that is possible.
type probe struct {
	dial    Dialer
	address string
	results chan<- bool
}

func (p probe) run(ctx context.Context) {
	socket, err := p.dial(ctx, p.address)
	if err == nil {
		_ = socket.Close() // nothing was sent
	}
	p.results <- err == nil
}

// act acts on a change of the path.
func (r *Relayer) act(change pathmonitor.Change, succeeded, failed int, took time.Duration) {
	fields := []zap.Field{zap.Int("probesSucceeded", succeeded), zap.Int("probesFailed", failed), zap.Duration("took", took)}
	switch change.(type) {
	case pathmonitor.Unchanged:
	case pathmonitor.Lost:
		r.config.Log.Warn("path to all targets lost", fields...)
		r.beginLoss(time.Now())
		r.config.OnChange(true)
	case pathmonitor.Regained:
		r.config.Log.Info("path to targets regained", fields...)
		r.mutex.Lock()
		r.lost = make(chan struct{})
		r.mutex.Unlock()
		r.config.OnChange(false)
	default:
		panic(errors.Errorf("relayer: unknown change %T", change))
	}
}

// dialRelayed opens a connection through another router.
func (r *Relayer) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	err := errNoRelay
	for range maxRelayAttempts {
		relay, ok := r.selector.Choose(r.config.Candidates(), time.Now())
		if !ok {
			return nil, err
		}
		var socket net.Conn
		socket, err = r.openThrough(ctx, relay, address)
		if err == nil {
			r.opened.Inc(1)
			return &connection{Conn: socket, relayer: r, relayed: true}, nil
		}
		var unreachable *unreachableError
		if errors.As(err, &unreachable) || ctx.Err() != nil {
			return nil, err
		}
		r.refused.Inc(1)
		r.config.Log.Debug("router does not relay", zap.String("relay", relay.VM()), zap.String("target", address), recorder.Err(err))
		r.selector.RecordRefused(relay, time.Now())
	}
	return nil, err
}

// unreachableError means that a relay could not open a connection to the target either.
type unreachableError struct {
	relay   string
	refused bool // whether the target's VM refused it, since no process listens
}

// Error implements error.
func (e *unreachableError) Error() string { return "router " + e.relay + " cannot reach the target" }

// Unwrap returns syscall.ECONNREFUSED if the target's VM refused the connection.
func (e *unreachableError) Unwrap() error {
	if e.refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (r *Relayer) openThrough(ctx context.Context, relay relayselector.Candidate, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	data, err := encodeRequest(address)
	if err != nil {
		return nil, err
	}
	socket, data, err := r.config.Tunneller().OpenTunnel(ctx, relay.Address(), data)
	if err != nil {
		return nil, err
	}
	reply, err := decodeReply(data)
	if err == nil && reply.outcome != accepted {
		err = reply.err(relay.VM())
	}
	if err != nil {
		_ = socket.Close() // the relay has refused
		return nil, err
	}
	r.selector.RecordAccepted(relay, reply.load, time.Now())
	return socket, nil
}

// Accept implements linker.TunnelHandler: it opens a direct connection for another router.
func (r *Relayer) Accept(ctx context.Context, request []byte) ([]byte, net.Conn) {
	socket, outcome := r.open(ctx, request)
	data, err := encodeReply(reply{outcome, r.load()})
	if err != nil {
		r.config.Log.Warn("cannot encode the reply to a router that has lost its path", recorder.Err(err))
	}
	return data, socket
}

// load returns how busy this router is, where 1 is full.
func (r *Relayer) load() float64 {
	return max(r.config.Load(), float64(r.relayed.Load())/float64(r.config.MaxRelayed))
}

func (r *Relayer) open(ctx context.Context, request []byte) (net.Conn, outcome) {
	address, err := decodeRequest(request)
	switch {
	case err != nil || !slices.Contains(r.config.Targets(), address):
		return nil, unknownTarget
	case r.monitor.Lost() || r.config.Draining() || r.load() >= 1:
		return nil, busy // requests of own callers come first
	}
	r.relayed.Add(1)
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	socket, err := r.config.Dial(ctx, address)
	if err != nil {
		r.relayed.Add(-1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, targetRefused
		}
		return nil, targetUnreachable
	}
	r.carried.Inc(1)
	return &carriedConnection{Conn: r.config.WrapCarried(socket), relayer: r}, accepted
}
