// Package bytecounter counts the bytes that are sent and received over network
// connections.
package bytecounter

import (
	"net"
	"sync/atomic"
)

// ByteCounter counts bytes over any number of connections. The zero value is
// ready for use. It is safe for concurrent use.
type ByteCounter struct {
	received atomic.Int64
	sent     atomic.Int64
}

// Received returns the number of bytes read so far.
func (b *ByteCounter) Received() int64 { return b.received.Load() }

// Sent returns the number of bytes written so far.
func (b *ByteCounter) Sent() int64 { return b.sent.Load() }

// WrapConnection returns a connection that passes all calls to c and counts its
// bytes.
func (b *ByteCounter) WrapConnection(c net.Conn) net.Conn { return &connection{c, b} }

// WrapListener returns a listener that accepts connections from l and counts
// their bytes.
func (b *ByteCounter) WrapListener(l net.Listener) net.Listener { return &listener{l, b} }

type connection struct {
	net.Conn
	counter *ByteCounter
}

// NetConn returns the connection whose bytes are counted.
func (c *connection) NetConn() net.Conn { return c.Conn }

func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	counter *ByteCounter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.WrapConnection(c), nil
}
