package linker

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// TunnelPath is the HTTP path at which a process accepts tunnels.
const TunnelPath = "/tunnel"

const (
	// tunnelBufferBytes is the most data in a message of a tunnel.
	tunnelBufferBytes = 16 << 10
	// maxReportBytes is the most that the encoding of a report takes.
	maxReportBytes = tunnelBufferBytes + 64
	// tunnelWindowBytes is how many bytes may be on their way to the destination: sent to the
	// process between, and not yet taken by its connection to the destination.
	tunnelWindowBytes = 32 << 10
	maxTunnelRequest  = 4 << 10

	// reportingProtocol is the WebSocket subprotocol of tunnels whose accepting end says what it
	// has written and how the destination has ended. Without it, messages are the bytes alone,
	// and the status of the closure says how the destination has ended.
	reportingProtocol = "reportingTunnel"

	// The purposes of the two proofs of the fleet key.
	tunnelPurpose       = "tunnel"
	acceptTunnelPurpose = "acceptTunnel"
)

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
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{reportingProtocol}})
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
	c := newCarrier(socket, destination, t.endpoint.config.HeartbeatTimeout)
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

// OpenTunnel asks the process at the address for a tunnel and returns its reply. The
// connection is of use only if the reply says so, and must be closed in any case. The
// context bounds the time until the reply has arrived.
func (e *Endpoint) OpenTunnel(ctx context.Context, address string, request []byte) (*Tunnel, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	socket, _, err := e.dialSocket(ctx, address+TunnelPath, tunnelPurpose, acceptTunnelPurpose, reportingProtocol)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "open a tunnel to %s", address)
	}
	reply, err := requestTunnel(ctx, socket, request)
	if err == nil {
		err = ctx.Err() // the end of the context during the last read closes the socket
	}
	if err != nil {
		_ = socket.CloseNow() // the tunnel is of no use
		return nil, nil, errors.Wrapf(err, "open a tunnel to %s", address)
	}
	t := newTunnel(e, socket, address)
	go t.run()
	return t, reply, nil
}

func requestTunnel(ctx context.Context, socket *websocket.Conn, request []byte) ([]byte, error) {
	if err := socket.Write(ctx, websocket.MessageBinary, request); err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	_, reply, err := socket.Read(ctx)
	return reply, errors.Wrap(err, "receive the reply")
}

// endField returns a log field that says what ended one direction of a connection.
func endField(key string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(key, err.Error())
}
