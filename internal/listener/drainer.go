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

// drainer is a net.Listener that tracks its connections, so that a shutdown closes only
// those on which no request is under way. http.Server.Shutdown also closes connections of
// which it has read a part of a request's header.
type drainer struct {
	*net.TCPListener
	byteCounter *bytecounter.ByteCounter
	stopping    atomic.Bool
	// stopped is set once Accept has returned its last connection, and that is tracked.
	stopped atomic.Bool

	mutex       sync.Mutex
	connections map[*trackedConnection]bool
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
	return n, err
}

// Accept implements net.Listener.
func (d *drainer) Accept() (net.Conn, error) {
	socket, err := d.AcceptTCP()
	if err != nil {
		if d.stopping.Load() {
			d.stopped.Store(true)
			return nil, errStopped
		}
		return nil, err
	}
	c := &trackedConnection{Conn: socket, socket: socket, acceptedAt: time.Now()}
	if d.byteCounter != nil {
		c.Conn = d.byteCounter.WrapConnection(socket)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.connections[c] = true
	return c, nil
}

// recordState follows the state of a connection, as reported by http.Server.
func (d *drainer) recordState(c net.Conn, state http.ConnState) {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	tracked, ok := c.(*trackedConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.idleSince.Store(-1)
	case http.StateIdle:
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
