// Package listener serves HTTP on one address.
package listener

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/bytecounter"
	"radishshed.example/radishshed/internal/memorybudgeter"
)

// Config configures a listener.
type Config struct {
	// Address is the host and port to listen on. Required.
	Address string
	// TLS, if set, makes the listener accept TLS connections only.
	TLS *tls.Config
	// Handler serves the requests. Required.
	Handler http.Handler
	// OnError is called if the server stops without Shutdown or Close. Required.
	OnError func(error)
	// ByteCounter, if set, counts the bytes sent and received on the connections.
	ByteCounter *bytecounter.ByteCounter
	// IdleTimeout is how long a connection may stay idle. Default: no limit.
	IdleTimeout time.Duration
	// Limits bound what clients may take. Default: the default limits on heads, without a memory
	// budget or a limit on connections.
	Limits *Limits
	// MaxConnections limits the number of connections. Default: DescriptorShare.
	MaxConnections int
	// DescriptorShare is the part of the descriptors of the process that the connections may
	// take. Default: a sixteenth.
	DescriptorShare float64
}

// Listener is an HTTP server on one address.
type Listener struct {
	config Config
	socket net.Listener
	// drainer is the listener below TLS.
	drainer *drainer
	server  *http.Server
}

// Start listens on the address and serves requests in the background.
func Start(config Config) (*Listener, error) {
	if config.Limits == nil {
		config.MaxConnections = math.MaxInt
		config.Limits = NewLimits(LimitsConfig{
			Budgeter: memorybudgeter.New(memorybudgeter.Config{}), Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
		})
	}
	socket, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Address)
	}
	tcp, ok := socket.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listen on %s: %T is not a TCP listener", config.Address, socket)
	}
	drainer := newDrainer(tcp, config.ByteCounter)
	drainer.limits, drainer.maxConnections = config.Limits, config.MaxConnections
	if config.MaxConnections == 0 {
		drainer.maxConnections = maxConnections(config.DescriptorShare)
	}
	l := &Listener{
		config:  config,
		socket:  drainer,
		drainer: drainer,
		server: &http.Server{
			Handler: headRecorder{config.Handler}, ConnState: drainer.recordState, ConnContext: withConnection,
			ReadHeaderTimeout: config.Limits.config.HeadTimeout, IdleTimeout: config.IdleTimeout, MaxHeaderBytes: config.Limits.config.MaxHeadBytes,
		},
	}
	if config.TLS != nil {
		l.socket = tls.NewListener(drainer, config.TLS)
	}
	go l.run()
	return l, nil
}

func (l *Listener) run() {
	err := l.server.Serve(l.socket)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, errStopped) {
		l.config.OnError(errors.Wrapf(err, "serve HTTP on %s", l.config.Address))
	}
}

// Shutdown stops listening and waits, until the context ends, for the requests that are
// handled or of which a part has arrived.
func (l *Listener) Shutdown(ctx context.Context) error {
	err := l.drainer.drain(ctx)
	l.Close()
	return errors.Wrap(err, "shut down listener")
}

// Close stops listening and closes the connections at once. Links between processes
// are not affected: the server no longer manages their WebSocket connections, which
// have been hijacked (see http.Hijacker).
func (l *Listener) Close() {
	_ = l.server.Close() // no way to recover from a failed close
}
