package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/transport/inspector"
)

// connection is a connection to a target. Its end is that of a response only if the target has got
// the whole request: the kernel reports a reset once, and if that was to the writer of the request,
// the connection seems to end in an orderly way to the reader. The transport takes such an end for
// that of a body without a length.
type connection struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mutex    sync.Mutex
	exchange *exchange // the newest on this connection; nil if requests are not seen, as with TLS
}

func newConnection(c net.Conn) *connection {
	return &connection{Conn: c, closed: make(chan struct{})}
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// exchange is a request that is being written, with a body of a known length.
type exchange struct {
	bodyBytes int
	head      []byte // what was written of the head
	headEnded bool
	complete  sync.Once
	written   chan struct{} // closed once the whole request has been written
}

func newExchange(bodyBytes int) *exchange {
	return &exchange{bodyBytes: bodyBytes, written: make(chan struct{})}
}

// advance records bytes that were written.
func (e *exchange) advance(data []byte) {
	if !e.headEnded {
		e.head = append(e.head, data...)
		end := bytes.Index(e.head, headEnd)
		if end < 0 {
			return
		}
		e.headEnded = true
		data = e.head[end+len(headEnd):]
		e.head = nil
	}
	e.bodyBytes -= len(data)
	if e.bodyBytes <= 0 {
		e.complete.Do(func() { close(e.written) })
	}
}

// begin records that the connection carries a request with a body of the given length.
func (c *connection) begin(bodyBytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.exchange = newExchange(bodyBytes)
}

// Write writes a part of the request.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n > 0 && c.exchange != nil {
		c.exchange.advance(p[:n])
	}
	return n, err
}

// Read returns io.EOF only once the target has got the whole request, and io.ErrUnexpectedEOF if it
// will not. It waits until then, or until the connection is closed.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !c.awaitDelivered() { //nolint:errorlint // an error that wraps io.EOF is no orderly end
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *connection) awaitDelivered() bool {
	c.mutex.Lock()
	e := c.exchange
	c.mutex.Unlock()
	if e != nil {
		select {
		case <-e.written:
		case <-c.closed:
			return false
		}
	}
	return inspector.AwaitAcknowledged(c.Conn) == nil
}

// Close closes the connection.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dialFunc opens connections, as http.Transport wants it.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withDeliveries returns a dialFunc whose connections end only when a request has been delivered.
func (dial dialFunc) withDeliveries() dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return newConnection(c), nil
	}
}
