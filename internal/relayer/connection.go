package relayer

import (
	"net"
	"sync"
	"time"

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

// NetConn returns the socket or the tunnel.
func (c *connection) NetConn() net.Conn { return c.Conn }

// carriedConnection is a connection that this router has opened for another one.
type carriedConnection struct {
	net.Conn
	relayer *Relayer
	once    sync.Once
}

// NetConn returns the connection beneath.
func (c *carriedConnection) NetConn() net.Conn { return c.Conn }

// Close closes the connection and makes room for another one.
func (c *carriedConnection) Close() error {
	c.once.Do(func() { c.relayer.relayed.Add(-1) })
	return c.Conn.Close()
}
