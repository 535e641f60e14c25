// Package relayer opens connections to targets, through another router while this one has
// lost the path to all targets, and opens connections for other routers that have.
//
// A relayed connection is a tunnel of bytes to one target. The router at its beginning keeps
// the request with its budget, permits, deadline, retries and response; the one in between
// knows nothing of it. So what holds for a request on a direct connection holds on a relayed
// one: a tunnel that is not opened has carried nothing, one that breaks off is a connection
// that was reset, and only the orderly end of a connection is passed on as such. On both, a
// request has been delivered only once its target has acknowledged it. A relay opens direct
// connections only, so that no connection is relayed twice.
package relayer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/pathmonitor"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	checkInterval = 100 * time.Millisecond
	// drainInterval is how often a draining router looks whether others still use its
	// connections.
	drainInterval = 50 * time.Millisecond
)

// Tunneller opens tunnels to other processes. linker.Endpoint implements it.
type Tunneller interface {
	OpenTunnel(ctx context.Context, address string, request []byte) (*linker.Tunnel, []byte, error)
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
	// ReusesRelayed reports whether several requests may use one relayed connection. Default:
	// they may.
	ReusesRelayed func() bool
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

	opened, refused, carried, notAllowed metrics.Counter

	probing sync.Mutex // held during probes

	mutex    sync.Mutex
	lostAt   time.Time
	lost     chan struct{} // closed while the path is lost
	attempts map[*Attempt]bool
}

// New returns a Relayer for a path that works.
func New(c Config) *Relayer {
	if c.ReusesRelayed == nil {
		c.ReusesRelayed = func() bool { return true }
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Metrics) }
	return &Relayer{
		config: c, monitor: pathmonitor.New(time.Now()), selector: relayselector.New(relayselector.Config{DataCentre: c.DataCentre}),
		opened: counter("relayedConnections"), refused: counter("relaysRefused"), carried: counter("connectionsRelayedForOthers"),
		notAllowed: counter("relaysNotAllowed"),
		lost:       make(chan struct{}), attempts: map[*Attempt]bool{},
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
