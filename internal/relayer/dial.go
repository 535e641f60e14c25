package relayer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// dialTimeout is shorter than the time after which a lost SYN packet is
	// retransmitted.
	dialTimeout       = 900 * time.Millisecond
	keepAliveInterval = 2 * time.Second

	// maxRelayAttempts is how many relays are asked for one connection.
	maxRelayAttempts = 3
	// relayTimeout bounds one attempt, and relayDialTimeout the relay's part of it.
	relayTimeout     = 700 * time.Millisecond
	relayDialTimeout = 450 * time.Millisecond
	// refusalTimeout is how long Refuses waits for a target to refuse a connection. One
	// whose process has ended does so within a round trip.
	refusalTimeout = 300 * time.Millisecond
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

// dialRelayed opens a connection through another router.
func (r *Relayer) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	err := errNoRelay
	allows := filterFrom(ctx)
	if allows != nil && !hasAllowed(r.config.Candidates(), allows) {
		r.notAllowed.Inc(1)
		return nil, errNoAllowedRelay
	}
	for range maxRelayAttempts {
		relay, ok := r.selector.ChooseAllowed(r.config.Candidates(), allows, time.Now())
		if !ok {
			return nil, err
		}
		var tunnel *linker.Tunnel
		tunnel, err = r.openThrough(ctx, relay, address)
		if err == nil {
			r.opened.Inc(1)
			return &connection{Conn: tunnel, relayer: r}, nil
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

func (r *Relayer) openThrough(ctx context.Context, relay relayselector.Candidate, address string) (*linker.Tunnel, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	data, err := encodeRequest(address)
	if err != nil {
		return nil, err
	}
	tunnel, data, err := r.config.Tunneller().OpenTunnel(ctx, relay.Address(), data)
	if err != nil {
		return nil, err
	}
	reply, err := decodeReply(data)
	if err == nil && reply.outcome != accepted {
		err = reply.err(relay.VM())
	}
	if err != nil {
		_ = tunnel.Close() // the relay has refused
		return nil, err
	}
	r.selector.RecordAccepted(relay, reply.load, time.Now())
	return tunnel, nil
}
