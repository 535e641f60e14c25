package linker

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Errors of a Tunnel.
var (
	// ErrTunnelBroken means that a tunnel has ended before its destination ended the connection.
	ErrTunnelBroken = errors.New("the tunnel is broken")
	// ErrUnconfirmed means that the process between cannot say what the destination has got.
	ErrUnconfirmed = errors.New("the process between does not say what the destination has got")
)

// maxUnconfirmedBytes is how many bytes a connection takes at once, whether its destination reads
// or not. No write of them can be interrupted by a reset.
const maxUnconfirmedBytes = 16 << 10

// Tunnel is the end of a tunnel that asked for it: a connection to its destination through
// another process.
type Tunnel struct {
	socket  *websocket.Conn
	address string
	log     *zap.Logger
	ctx     context.Context // of the endpoint

	writing sync.Mutex // held during writes

	mutex   sync.Mutex
	changed *sync.Cond
	window  sendWindow
	data    []byte // received, and not yet read
	// received counts the bytes of the destination that have arrived.
	received int64
	err      error // why the tunnel is of no more use
}

func newTunnel(e *Endpoint, socket *websocket.Conn, address string) *Tunnel {
	t := &Tunnel{
		socket: socket, address: address, log: e.config.Log, ctx: e.ctx,
		window: sendWindow{reports: socket.Subprotocol() == reportingProtocol},
	}
	t.changed = sync.NewCond(&t.mutex)
	socket.SetReadLimit(maxReportBytes)
	return t
}

// run receives messages until the tunnel ends.
func (t *Tunnel) run() {
	for {
		_, message, err := t.socket.Read(t.ctx)
		if err == nil {
			err = t.handle(message)
		}
		if err != nil {
			t.fail(err)
			return
		}
	}
}

// handle handles a message. It returns once the bytes that came before have been read.
func (t *Tunnel) handle(message []byte) error {
	r := report{data: message}
	if t.window.reports {
		var err error
		if r, err = decodeReport(message); err != nil {
			return err
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.window.apply(r); err != nil {
		return err
	}
	t.changed.Broadcast()
	for len(t.data) > 0 && t.err == nil {
		t.changed.Wait()
	}
	t.data = r.data
	t.received += int64(len(r.data))
	t.changed.Broadcast()
	return nil
}

// fail records the end of the tunnel. A process between that sends no reports closes the tunnel
// normally when the destination has ended; no other closure is an orderly end.
func (t *Tunnel) fail(err error) {
	_ = t.socket.CloseNow() // of no more use
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.window.reports && websocket.CloseStatus(err) == websocket.StatusNormalClosure {
		t.window.ended = true
	}
	if t.err == nil {
		t.err = errors.Wrap(ErrTunnelBroken, err.Error())
	}
	t.changed.Broadcast()
}

// Read reads what the destination has sent. It returns io.EOF only if the destination ended its
// connection in an orderly way, and ErrTunnelBroken if the tunnel itself has ended, as when the
// process between has.
func (t *Tunnel) Read(p []byte) (int, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for len(t.data) == 0 && !t.window.ended && t.err == nil {
		t.changed.Wait()
	}
	switch {
	case len(t.data) > 0:
		n := copy(p, t.data)
		t.data = t.data[n:]
		t.changed.Broadcast()
		return n, nil
	case t.window.ended:
		return 0, io.EOF
	default:
		return 0, t.err
	}
}

// Write sends bytes to the destination. It waits while tunnelWindowBytes are on their way. Its
// return does not mean that the destination has got them: see AwaitAcknowledged.
func (t *Tunnel) Write(p []byte) (int, error) {
	t.writing.Lock()
	defer t.writing.Unlock()
	total := 0
	for total < len(p) {
		n, err := t.reserve(len(p) - total)
		if err != nil {
			return total, err
		}
		if err := t.socket.Write(t.ctx, websocket.MessageBinary, p[total:total+n]); err != nil {
			return total, errors.Wrap(ErrTunnelBroken, err.Error()) // a response may still arrive
		}
		total += n
	}
	return total, nil
}

// reserve waits until bytes may be sent, and returns how many, at most as many as are wanted.
func (t *Tunnel) reserve(wanted int) (int, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for t.err == nil {
		if n := t.window.reserve(wanted); n > 0 {
			return n, nil
		}
		t.changed.Wait()
	}
	return 0, t.err
}

// Acknowledged reports whether the connection to the destination has taken all bytes written.
func (t *Tunnel) Acknowledged() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.window.taken()
}

// AwaitAcknowledged waits, once Read has returned io.EOF, until the destination has acknowledged
// all bytes written. It returns an error if it will not, or ErrUnconfirmed if that cannot be known.
func (t *Tunnel) AwaitAcknowledged() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.window.reports && !t.window.taken() {
		return ErrUnconfirmed
	}
	for !t.window.delivered() && t.err == nil {
		t.changed.Wait()
	}
	if t.window.delivered() {
		return nil
	}
	return t.err
}

// Close ends the tunnel at once, without waiting for the peer.
func (t *Tunnel) Close() error {
	t.mutex.Lock()
	if !errors.Is(t.err, net.ErrClosed) {
		t.logEnd()
		t.err = errors.WithStack(net.ErrClosed)
	}
	t.changed.Broadcast()
	t.mutex.Unlock()
	return t.socket.CloseNow()
}

// logEnd logs what was seen of the tunnel until this end closes it, if it was used.
func (t *Tunnel) logEnd() {
	w := t.window
	if w.sent == 0 {
		return
	}
	t.log.Info("tunnel to a relay closed", zap.String("relay", t.address), zap.Bool("reports", w.reports), zap.Int64("sent", w.sent), zap.Int64("written", w.written),
		zap.Int64("received", t.received), zap.Bool("ended", w.ended), zap.Int64("acknowledged", w.acknowledged), endField("error", t.err))
}

// LocalAddr returns the address of the process between, since the tunnel has none of its own.
func (t *Tunnel) LocalAddr() net.Addr { return tunnelAddress(t.address) }

// RemoteAddr returns the address of the process between.
func (t *Tunnel) RemoteAddr() net.Addr { return tunnelAddress(t.address) }

// SetDeadline returns an error: a tunnel has no deadlines.
func (t *Tunnel) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline returns an error: a tunnel has no deadlines.
func (t *Tunnel) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline returns an error: a tunnel has no deadlines.
func (t *Tunnel) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// tunnelAddress is the address of the process between the two ends of a connection.
type tunnelAddress string

// Network implements net.Addr.
func (tunnelAddress) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddress) String() string { return string(a) }
