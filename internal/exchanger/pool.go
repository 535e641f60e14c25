package exchanger

import (
	"bufio"
	"context"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// maxIdleTime is well below the idle timeouts of targets. An idle connection must
	// not be reused when the target is about to close it, since a request that is sent
	// then may or may not have run.
	maxIdleTime = 2 * time.Second
	// maxIdleConnections limits the number of idle connections to a target.
	maxIdleConnections = 4
)

// connect returns an idle connection if there is one and the request allows its reuse,
// and otherwise dials a new one.
func (e *Exchanger) connect(ctx context.Context, r Request) (*connection, error) {
	if !r.NewConnection {
		if c := e.takeIdle(r.Address); c != nil {
			return c, nil
		}
	}
	socket, err := e.dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	e.connectionOpened()
	mayReuse := func() bool { return true }
	if r, ok := socket.(reusable); ok {
		mayReuse = r.Reusable
	}
	socket = e.byteCounter.WrapConnection(socket)
	limiter := &headLimiter{source: socket}
	return &connection{Conn: socket, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), mayReuse: mayReuse, address: r.Address}, nil
}

// takeIdle removes an idle connection from the pool and returns it, or nil.
func (e *Exchanger) takeIdle(address string) *connection {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	idle := e.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		e.idle[address] = idle
		if time.Since(c.idleSince) < maxIdleTime {
			return c
		}
		_ = c.Close() // nothing to do about a failing close
	}
	return nil
}

// release returns a connection to the pool, or closes it if the pool is full.
func (e *Exchanger) release(c *connection) {
	c.idleSince = time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.idle[c.address]) >= maxIdleConnections || !c.mayReuse() {
		_ = c.Close() // nothing to do about a failing close
		return
	}
	e.idle[c.address] = append(e.idle[c.address], c)
}

// CloseAllIdle closes all connections that are idle.
func (e *Exchanger) CloseAllIdle() { e.closeIdle(func(*connection) bool { return true }) }

// CloseIdle closes the connections that have been idle for at least maxIdleTime.
func (e *Exchanger) CloseIdle(now time.Time) {
	e.closeIdle(func(c *connection) bool { return now.Sub(c.idleSince) >= maxIdleTime })
}

func (e *Exchanger) closeIdle(mustClose func(*connection) bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for address, idle := range e.idle {
		var kept []*connection
		for _, c := range idle {
			if !mustClose(c) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // nothing to do about a failing close
		}
		if len(kept) == 0 {
			delete(e.idle, address)
			continue
		}
		e.idle[address] = kept
	}
}
