// Package inspector tells what the peer of a TCP connection has got.
//
// A write returns once the kernel has the bytes, and the kernel reports a reset once, to the reader
// or to the writer. So neither a write without an error nor an end of file shows that the peer has
// got what was written.
package inspector

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// minPollInterval and maxPollInterval bound the pauses between two looks at a connection.
const (
	minPollInterval = time.Millisecond
	maxPollInterval = 32 * time.Millisecond
)

// ErrReset means that the peer has reset the connection.
var ErrReset = errors.New("the peer has reset the connection")

// state is what the kernel knows of a connection.
type state struct {
	reset        bool
	acknowledged bool // whether the peer has acknowledged all bytes that were written
}

// wrapper is implemented by connections that wrap another one, as in crypto/tls.
type wrapper interface{ NetConn() net.Conn }

// Beneath returns the connection that others wrap, or c if it wraps none.
func Beneath(c net.Conn) net.Conn {
	for {
		w, ok := c.(wrapper)
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}

// Acknowledged reports whether the peer has acknowledged all bytes that were written, and has not
// reset the connection. It returns true for a connection of which the kernel does not tell.
func Acknowledged(c net.Conn) bool {
	s, err := inspect(Beneath(c))
	return err == nil && s.acknowledged && !s.reset
}

// Acknowledger is implemented by connections that know themselves what their peer has got.
type Acknowledger interface {
	// AwaitAcknowledged waits, once Read has returned io.EOF, until the peer has acknowledged
	// all bytes that were written. It returns an error if the peer will not, if that cannot be
	// known, or if the connection is closed meanwhile.
	AwaitAcknowledged() error
}

// AwaitAcknowledged waits until the peer has acknowledged all bytes that were written. It returns
// ErrReset if the peer has reset the connection, and another error if the connection is closed
// meanwhile. It asks an Acknowledger, and otherwise the kernel. It returns nil at once for a
// connection of which the kernel does not tell.
func AwaitAcknowledged(c net.Conn) error {
	c = Beneath(c)
	if a, ok := c.(Acknowledger); ok {
		return a.AwaitAcknowledged()
	}
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		s, err := inspect(c)
		switch {
		case err != nil:
			return errors.Wrap(err, "inspect the connection")
		case s.reset:
			return ErrReset
		case s.acknowledged:
			return nil
		}
		time.Sleep(interval)
	}
}
