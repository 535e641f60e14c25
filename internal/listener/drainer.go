package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/bytecounter"
	"radishshed.example/radishshed/internal/memorybudgeter"
)

const (
	// backlogTime is how long connections are still accepted when the listener shuts
	// down, since the kernel resets those that are queued when the socket is closed.
	backlogTime = 20 * time.Millisecond
	// firstRequestTime is how long an accepted connection may take to send the first
	// byte of its first request.
	firstRequestTime = 500 * time.Millisecond
	// idleTime is how long a connection must be idle before a shutdown closes it. The
	// next request of a busy caller would cross an earlier close.
	idleTime      = 250 * time.Millisecond
	drainInterval = 5 * time.Millisecond
)

// errStopped is returned by Accept once the listener has shut down.
var errStopped = errors.New("the listener has shut down")

// errNoMemory is returned by Read if no memory is left for the head of a request. http.Server
// closes the connection after an error of this type, and would send status 400 after another,
// which callers do not try again.
var errNoMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory is left for the head of a request")}

// drainer is a net.Listener that tracks its connections, so that a shutdown closes only
// those on which no request is under way. http.Server.Shutdown also closes connections of
// which it has read a part of a request's header.
type drainer struct {
	*net.TCPListener
	byteCounter *bytecounter.ByteCounter
	stopping    atomic.Bool
	// stopped is set once Accept has returned its last connection, and that is tracked.
	stopped atomic.Bool

	// limits, if set, bound the connections and the memory for their heads.
	limits         *Limits
	maxConnections int

	mutex       sync.Mutex
	connections map[*trackedConnection]bool
	// open counts the connections that have not been closed, with those that were hijacked.
	open atomic.Int64
}

func newDrainer(l *net.TCPListener, c *bytecounter.ByteCounter) *drainer {
	return &drainer{TCPListener: l, byteCounter: c, connections: map[*trackedConnection]bool{}}
}

// trackedConnection is a connection of a caller.
type trackedConnection struct {
	net.Conn
	socket     *net.TCPConn
	acceptedAt time.Time
	// closeMutex guards closed and is held while received changes, so that the server never gets
	// bytes of a connection that was found unused and is about to be closed.
	closeMutex sync.Mutex
	closed     bool
	received   atomic.Int64 // bytes
	// idleSince is the value of received when the last request ended, or -1 while a
	// request is handled. It is zero before the first request.
	idleSince atomic.Int64
	// idleAt is when the last request ended, Unix time in nanoseconds.
	idleAt atomic.Int64

	drainer *drainer
	// reservation is what the connection and the head of its request have reserved, or nil if
	// there are no limits.
	reservation *memorybudgeter.Reservation
	// body is what the body of the request that is handled has reserved, or nil as above.
	body *memorybudgeter.Reservation
	// headEnded is set while a request is handled: what is read then is not part of a head.
	headEnded atomic.Bool
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *trackedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.closeMutex.Lock()
	defer c.closeMutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.received.Add(int64(n))
	if c.reservation != nil && !c.headEnded.Load() && !c.drainer.limits.admitHead(c.reservation, p[:n]) {
		return 0, errNoMemory
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}

// release releases what the connection has reserved.
func (c *trackedConnection) release() {
	if c.reservation == nil {
		return
	}
	c.reservation.Release()
	c.body.Release()
	c.drainer.open.Add(-1)
}

// beginHead makes further bytes count as the head of the next request.
func (c *trackedConnection) beginHead() {
	if c.reservation == nil {
		return
	}
	c.body.Release()
	c.reservation.Shrink(c.reservation.Held() - connectionBytes)
	c.headEnded.Store(false)
}

// Accept implements net.Listener. Connections over the limits are closed.
func (d *drainer) Accept() (net.Conn, error) {
	for {
		socket, err := d.AcceptTCP()
		if err != nil {
			if d.stopping.Load() {
				d.stopped.Store(true)
				return nil, errStopped
			}
			return nil, err
		}
		if c, ok := d.admit(socket); ok {
			return c, nil
		}
		_ = socket.Close() // nothing to do about a failing close
	}
}

// admit tracks a connection that was accepted, unless it is over the limits.
func (d *drainer) admit(socket *net.TCPConn) (net.Conn, bool) {
	c := &trackedConnection{Conn: socket, socket: socket, acceptedAt: time.Now(), drainer: d}
	if d.byteCounter != nil {
		c.Conn = d.byteCounter.WrapConnection(socket)
	}
	if d.limits != nil {
		var ok bool
		if c.reservation, ok = d.limits.admitConnection(int(d.open.Load()), d.maxConnections); !ok {
			return nil, false
		}
		c.body = d.limits.config.Budgeter.Open()
		d.open.Add(1)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.connections[c] = true
	return c, true
}

// connectionKey is the key of the trackedConnection in the context of its requests.
type connectionKey struct{}

// withConnection returns a context that holds the connection of a request.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, tracked(c))
}

// tracked returns the connection below TLS, or nil.
func tracked(c net.Conn) *trackedConnection {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	t, _ := c.(*trackedConnection) // nil if it is another connection
	return t
}

// headRecorder is a handler that records that the head of a request has ended.
type headRecorder struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h headRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, _ := r.Context().Value(connectionKey{}).(*trackedConnection); c != nil {
		c.headEnded.Store(true)
	}
	h.Handler.ServeHTTP(w, r)
}

// recordState follows the state of a connection, as reported by http.Server.
func (d *drainer) recordState(c net.Conn, state http.ConnState) {
	tracked := tracked(c)
	if tracked == nil {
		return
	}
	switch state {
	case http.StateActive:
		tracked.idleSince.Store(-1)
	case http.StateIdle:
		tracked.beginHead()
		tracked.idleAt.Store(time.Now().UnixNano())
		tracked.idleSince.Store(tracked.received.Load())
	case http.StateHijacked, http.StateClosed:
		d.mutex.Lock()
		delete(d.connections, tracked)
		d.mutex.Unlock()
	case http.StateNew:
	}
}

// drain stops accepting connections and returns once all are closed or the context ends.
// A connection is closed as soon as no request is under way on it.
func (d *drainer) drain(ctx context.Context) error {
	d.stopping.Store(true)
	if err := d.SetDeadline(time.Now().Add(backlogTime)); err != nil {
		return errors.Wrap(err, "stop accepting connections")
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain connections")
		case <-ticker.C:
		}
		stopped := d.stopped.Load()
		if d.closeUnused(time.Now()) == 0 && stopped {
			return nil
		}
	}
}

// closeUnused closes the connections on which no request is under way, and returns how
// many others there are.
func (d *drainer) closeUnused(now time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for c := range d.connections {
		if !c.closeIfUnused(now) {
			continue
		}
		delete(d.connections, c)
	}
	return len(d.connections)
}

// closeIfUnused closes the connection unless it is in use, and reports whether it has done so.
// A request whose bytes arrive in this moment is not read.
func (c *trackedConnection) closeIfUnused(now time.Time) bool {
	c.closeMutex.Lock()
	c.closed = !c.inUse(now)
	closed := c.closed
	c.closeMutex.Unlock()
	if closed {
		_ = c.Close() // nothing to do about a failing close
	}
	return closed
}

// inUse reports whether a request is handled, is being received, or may be about to
// arrive on a connection that was just accepted.
func (c *trackedConnection) inUse(now time.Time) bool {
	idleSince, received := c.idleSince.Load(), c.received.Load()
	if idleSince != received || c.hasUnread() {
		return true
	}
	if received == 0 {
		return now.Sub(c.acceptedAt) < firstRequestTime
	}
	return now.UnixNano()-c.idleAt.Load() < int64(idleTime)
}

// hasUnread reports whether bytes have arrived that the server has not read.
func (c *trackedConnection) hasUnread() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		unread, _, _ = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means that there are none
	})
	return err == nil && unread > 0
}
