package relayer

import (
	"net"
	"sync"
	"time"

	"radishshed.example/radishshed/pkg/transport/inspector"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// connection is a connection to a target: a direct one, or a tunnel through another router.
type connection struct {
	net.Conn
	relayer *Relayer
}

// Read reads from the target and records that something has arrived.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.relayer.monitor.RecordReceived(time.Now())
	}
	return n, err
}

// Reusable reports whether another request may use the connection. Relayed ones are not kept
// once the path is back, nor if another request may be one that their relay must not carry, nor
// while part of a request is still on its way: the next one would be behind it.
func (c *connection) Reusable() bool {
	tunnel, relayed := c.Conn.(*linker.Tunnel)
	return !relayed || c.relayer.Lost() && c.relayer.config.ReusesRelayed() && tunnel.Acknowledged()
}

// AwaitAcknowledged implements inspector.Acknowledger.
func (c *connection) AwaitAcknowledged() error { return inspector.AwaitAcknowledged(c.Conn) }

// carriedConnection is a connection that this router has opened for another one.
type carriedConnection struct {
	net.Conn
	socket  net.Conn // beneath Conn
	relayer *Relayer
	once    sync.Once
}

// Acknowledged implements linker.Destination.
func (c *carriedConnection) Acknowledged() bool { return inspector.Acknowledged(c.socket) }

// AwaitAcknowledged implements linker.Destination.
func (c *carriedConnection) AwaitAcknowledged() error { return inspector.AwaitAcknowledged(c.socket) }

// Abort implements linker.Destination.
func (c *carriedConnection) Abort() {
	if socket, ok := c.socket.(*net.TCPConn); ok {
		_ = socket.SetLinger(0) // fails only if the connection has been closed
	}
	_ = c.Close() // as above
}

// Close closes the connection and makes room for another one.
func (c *carriedConnection) Close() error {
	c.once.Do(func() { c.relayer.relayed.Add(-1) })
	return c.Conn.Close()
}
