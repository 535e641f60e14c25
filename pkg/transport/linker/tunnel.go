package linker

import (
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// TunnelPath is the HTTP path at which a process accepts tunnels.
const TunnelPath = "/tunnel"

const (
	// tunnelBufferBytes is the largest message in a tunnel.
	tunnelBufferBytes = 16 << 10
	maxTunnelRequest  = 4 << 10

	// The purposes of the two proofs of the fleet key.
	tunnelPurpose       = "tunnel"
	acceptTunnelPurpose = "acceptTunnel"
)

// ErrTunnelBroken means that a tunnel has ended before its destination ended the connection.
var ErrTunnelBroken = errors.New("the tunnel is broken")

// TunnelHandler handles the request for a tunnel. It returns its reply and the connection to
// which the tunnel leads, or nil if it refuses.
type TunnelHandler func(ctx context.Context, request []byte) (reply []byte, destination net.Conn)

// Tunnels accepts tunnels from other processes. A tunnel is a WebSocket connection that
// carries the bytes of one connection which this process opens for its peer. Both ends prove
// that they know the fleet key, as for links.
type Tunnels struct {
	endpoint *Endpoint
	handle   TunnelHandler
}

// NewTunnels returns a handler of tunnels for the processes that know the endpoint's fleet key.
func NewTunnels(e *Endpoint, handle TunnelHandler) *Tunnels { return &Tunnels{e, handle} }

// ServeHTTP accepts a tunnel and carries its bytes until it ends.
func (t *Tunnels) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nonce := r.Header.Get(nonceHeader)
	proof, err := hex.DecodeString(r.Header.Get(proofHeader))
	if err != nil || nonce == "" || !t.endpoint.verifyProof(proof, tunnelPurpose, nonce) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	w.Header().Set(proofHeader, hex.EncodeToString(t.endpoint.proof(acceptTunnelPurpose, nonce)))
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has sent an error response
	}
	defer func() { _ = socket.CloseNow() }() // has no effect if the tunnel has been closed
	destination, err := t.open(socket)
	if err != nil {
		t.endpoint.config.Log.Debug("tunnel not opened", zap.Error(err))
		return
	}
	if destination == nil {
		return
	}
	c := &carrier{socket: socket, destination: destination}
	c.carry(t.endpoint.ctx)
	c.logEnd(t.endpoint.config.Log)
}

// open reads the request for a tunnel, opens the connection to its destination, and replies.
func (t *Tunnels) open(socket *websocket.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.endpoint.ctx, handshakeTimeout)
	defer cancel()
	socket.SetReadLimit(maxTunnelRequest)
	_, request, err := socket.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "receive the request for a tunnel")
	}
	reply, destination := t.handle(ctx, request)
	if err := socket.Write(ctx, websocket.MessageBinary, reply); err != nil {
		if destination != nil {
			_ = destination.Close() // nothing was sent
		}
		return nil, errors.Wrap(err, "reply to the request for a tunnel")
	}
	return destination, nil
}

// carrier carries the bytes of a tunnel.
type carrier struct {
	socket      *websocket.Conn
	destination net.Conn

	// Written by runRequests: the bytes taken from the peer and written to the destination, and
	// what ended it.
	taken, written int64
	requestErr     error
	// Written by runResponses.
	responseBytes int64
	responseErr   error
}

// logEnd logs how both directions ended. Both must have.
func (c *carrier) logEnd(log *zap.Logger) {
	log.Info("tunnel of a peer ended",
		zap.Stringer("destination", c.destination.RemoteAddr()), zap.Int64("taken", c.taken), zap.Int64("written", c.written),
		zap.Int64("responseBytes", c.responseBytes), endField("requestEnd", c.requestErr), endField("responseEnd", c.responseErr))
}

// endField returns a log field that says what ended one direction of a connection.
func endField(key string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(key, err.Error())
}

// carry returns when the tunnel has ended. If one end breaks, so does the other.
func (c *carrier) carry(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.socket.SetReadLimit(-1)
	var running sync.WaitGroup
	running.Go(func() {
		c.runRequests(ctx)
		_ = c.destination.Close() // the peer has ended the tunnel
	})
	c.runResponses(ctx)
	cancel()
	running.Wait()
}

// runRequests carries bytes from the peer to the destination.
func (c *carrier) runRequests(ctx context.Context) {
	for {
		_, data, err := c.socket.Read(ctx)
		if err != nil {
			c.requestErr = errors.Wrap(err, "read from the peer")
			return
		}
		c.taken += int64(len(data))
		n, err := c.destination.Write(data)
		c.written += int64(n)
		if err != nil {
			c.requestErr = errors.Wrap(err, "write to the destination")
			return
		}
	}
}

// runResponses carries bytes from the destination to the peer. Only an orderly end of the
// connection becomes an orderly end of the tunnel: a response may end with its connection.
func (c *carrier) runResponses(ctx context.Context) {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := c.destination.Read(buffer)
		if n > 0 {
			if writeErr := c.socket.Write(ctx, websocket.MessageBinary, buffer[:n]); writeErr != nil {
				c.responseErr = errors.Wrap(writeErr, "write to the peer")
				return
			}
			c.responseBytes += int64(n)
		}
		c.responseErr = err
		switch {
		case errors.Is(err, io.EOF):
			_ = c.socket.Close(websocket.StatusNormalClosure, "") // fails only if the peer has left
			return
		case err != nil:
			_ = c.socket.CloseNow() // the peer sees that the end is not orderly
			return
		}
	}
}

// OpenTunnel asks the process at the address for a tunnel and returns its reply. The
// connection is of use only if the reply says so, and must be closed in any case. The
// context bounds the time until the reply has arrived.
func (e *Endpoint) OpenTunnel(ctx context.Context, address string, request []byte) (net.Conn, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	socket, _, err := e.dialSocket(ctx, address+TunnelPath, tunnelPurpose, acceptTunnelPurpose)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "open a tunnel to %s", address)
	}
	reply, err := requestTunnel(ctx, socket, request)
	if err != nil {
		_ = socket.CloseNow() // the tunnel is of no use
		return nil, nil, errors.Wrapf(err, "open a tunnel to %s", address)
	}
	return &tunnel{Conn: websocket.NetConn(e.ctx, socket, websocket.MessageBinary), socket: socket, log: e.config.Log.With(zap.String("relay", address))}, reply, nil
}

func requestTunnel(ctx context.Context, socket *websocket.Conn, request []byte) ([]byte, error) {
	if err := socket.Write(ctx, websocket.MessageBinary, request); err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	_, reply, err := socket.Read(ctx)
	return reply, errors.Wrap(err, "receive the reply")
}

// tunnel is the end of a tunnel that asked for it.
type tunnel struct {
	net.Conn
	socket *websocket.Conn
	log    *zap.Logger

	sent, received    atomic.Int64
	readErr, writeErr atomic.Pointer[error]
	closing           sync.Once
}

// Read reads what the destination has sent. It returns io.EOF only if the destination ended its
// connection in an orderly way, and ErrTunnelBroken if the tunnel itself has ended, as when the
// process between has: the WebSocket library wraps io.EOF in its errors then.
func (t *tunnel) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.received.Add(int64(n))
	if err != nil {
		t.readErr.CompareAndSwap(nil, &err)
	}
	if err == nil || err == io.EOF { //nolint:errorlint // an error that wraps io.EOF is no orderly end
		return n, err
	}
	return n, errors.Wrap(ErrTunnelBroken, err.Error())
}

// Write sends bytes to the peer.
func (t *tunnel) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	t.sent.Add(int64(n))
	if err != nil {
		t.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Close ends the tunnel at once, without waiting for the peer.
func (t *tunnel) Close() error {
	t.closing.Do(t.logEnd)
	return t.socket.CloseNow()
}

// logEnd logs what was seen of the tunnel until this end closes it, if it was used.
func (t *tunnel) logEnd() {
	if t.sent.Load() == 0 {
		return
	}
	t.log.Info("tunnel to a relay closed", zap.Int64("sent", t.sent.Load()), zap.Int64("received", t.received.Load()),
		endField("readEnd", valueOf(&t.readErr)), endField("writeEnd", valueOf(&t.writeErr)))
}

// valueOf returns the error that is stored, or nil.
func valueOf(p *atomic.Pointer[error]) error {
	if err := p.Load(); err != nil {
		return *err
	}
	return nil
}
