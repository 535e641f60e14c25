package relayer

import (
	"net"
	"sync"
	"time"
)

// connection is a connection to a target, direct or relayed.
type connection struct {
	net.Conn
	relayer *Relayer
	relayed bool
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
// once the path is back, and not if another request may be one that their relay must not carry.
func (c *connection) Reusable() bool {
	return !c.relayed || c.relayer.Lost() && c.relayer.config.ReusesRelayed()
}

// carriedConnection is a connection that this router has opened for another one.
type carriedConnection struct {
	net.Conn
	relayer *Relayer
	once    sync.Once
}

// Close closes the connection and makes room for another one.
func (c *carriedConnection) Close() error {
	c.once.Do(func() { c.relayer.relayed.Add(-1) })
	return c.Conn.Close()
}
