// Package exchanger is an HTTP/1.1 client for requests to targets, with one request at a
// time on each connection.
//
// It differs from net/http.Transport in three respects that callers depend on. It
// reports whether any byte of the request may have been sent. It discards responses that
// belong to other requests. It reuses a connection only if the request was written
// completely and no byte follows the complete response.
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/bytecounter"
	"radishshed.example/radishshed/pkg/transport/inspector"
)

const (
	// maxStrayResponses limits how many responses are read until one belongs to the
	// request. Informational (1xx) responses count as well.
	maxStrayResponses = 4
	// minStatus and maxStatus are the lowest and the highest status codes (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// maxStrayBytes limits the body size of a response to another request.
	maxStrayBytes = 1 << 20
)

// Errors returned by Send.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrWithdrawn means that no byte of the request was sent since it had been withdrawn.
	ErrWithdrawn = errors.New("the request was withdrawn")
	// ErrNoResponse means that the request may have run and that its response will not
	// arrive.
	ErrNoResponse = errors.New("no response to the request")
)

// Request is an HTTP request to a target.
type Request struct {
	// Address is the target's address, as host and port. Required.
	Address string
	// Method, URI and Host are sent unchanged. Required.
	Method, URI, Host string
	// Header returns the other header fields, without hop-by-hop fields. It is called once the
	// connection is open, which takes part of the time that the request has. Required.
	Header func() http.Header
	// Withdrawn, if set, is called right before the first byte is sent, once the connection is
	// open. If it returns true, nothing is sent and Send returns ErrWithdrawn.
	Withdrawn func() bool
	// Body is the complete body.
	Body []byte
	// NewConnection prevents the reuse of an idle connection, which may be broken
	// without the local side having noticed.
	NewConnection bool
	// MatchesResponse reports whether a response with the given status and header belongs
	// to this request. Required.
	MatchesResponse func(status int, header http.Header) bool
}

// connection is one connection to a target.
type connection struct {
	net.Conn
	limiter   *headLimiter
	reader    *bufio.Reader
	mayReuse  func() bool
	address   string
	idleSince time.Time
}

// Exchanger sends requests to targets and pools idle connections. It is safe for
// concurrent use.
type Exchanger struct {
	dial             Dialer
	connectionOpened func()
	waiting          func(n int64)
	byteCounter      *bytecounter.ByteCounter

	mutex sync.Mutex
	idle  map[string][]*connection
}

// Dialer opens a connection to the target at an address, as host and port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config configures an exchanger.
type Config struct {
	// Dial opens connections to targets. Required.
	Dial Dialer
	// ConnectionOpened, if set, is called for each new connection.
	ConnectionOpened func()
	// ByteCounter, if set, counts the bytes of the connections.
	ByteCounter *bytecounter.ByteCounter
	// Waiting, if set, is called with 1 when a request waits for its response, and with -1
	// when the whole response has arrived or will not arrive.
	Waiting func(n int64)
}

// reusable is implemented by connections that do not always return to the pool.
type reusable interface {
	// Reusable reports whether another request may use the connection.
	Reusable() bool
}

// New returns an exchanger with an empty connection pool.
func New(c Config) *Exchanger {
	if c.ConnectionOpened == nil {
		c.ConnectionOpened = func() {}
	}
	if c.ByteCounter == nil {
		c.ByteCounter = &bytecounter.ByteCounter{}
	}
	if c.Waiting == nil {
		c.Waiting = func(int64) {}
	}
	return &Exchanger{
		dial:             c.Dial,
		connectionOpened: c.ConnectionOpened,
		waiting:          c.Waiting,
		byteCounter:      c.ByteCounter,
		idle:             map[string][]*connection{},
	}
}

// Response is the response to a request. The caller must close it.
type Response struct {
	exchanger        *Exchanger
	connection       *connection
	response         *http.Response
	written          <-chan error
	stopCancellation func() bool // detaches the connection from the context
	bodyComplete     bool
}

// Status returns the status code.
func (r *Response) Status() int { return r.response.StatusCode }

// Header returns the header of the response.
func (r *Response) Header() http.Header { return r.response.Header }

// Length returns the length of the body, or -1 if it is not known.
func (r *Response) Length() int64 { return r.response.ContentLength }

// Framed reports whether the response has a length or chunks. The body of another response ends
// with its connection.
func (r *Response) Framed() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// Read reads the body. It returns io.EOF only if the body is complete. The end of a body that is
// not framed is also that of its connection.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if errors.Is(err, io.EOF) && !r.bodyComplete {
		if !r.Framed() && !r.awaitDelivered() {
			return n, io.ErrUnexpectedEOF
		}
		r.bodyComplete = true
	}
	return n, err
}

// awaitDelivered reports whether the target has got the whole request. If it has not, the end of
// the body may be that of a connection that was reset: the kernel reports a reset once, and if that
// was to the writer of the request, the body seems to end in an orderly way. It waits as long as
// the target may still get the rest, at most until the context of the request ends.
func (r *Response) awaitDelivered() bool {
	return <-r.written == nil && inspector.AwaitAcknowledged(r.connection.Conn) == nil
}

// Close releases the response. The connection returns to the pool if it can be reused,
// and is closed otherwise.
func (r *Response) Close() {
	r.exchanger.waiting(-1)
	notCancelled := r.stopCancellation() // otherwise the connection is being closed
	if notCancelled && r.bodyComplete && !r.response.Close && r.connection.reader.Buffered() == 0 && r.isWritten() {
		r.exchanger.release(r.connection)
		return
	}
	_ = r.connection.Close() // nothing to do about a failing close
}

func (r *Response) isWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// Send sends the request and returns the response once its header has arrived. If the
// context ends, the connection is closed, also while the body is being read.
func (e *Exchanger) Send(ctx context.Context, r Request) (*Response, error) {
	c, err := e.connect(ctx, r)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%s: %v", r.Address, err)
	}
	if r.Withdrawn != nil && r.Withdrawn() {
		e.release(c)
		return nil, errors.Wrap(ErrWithdrawn, r.Address)
	}
	e.waiting(1)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // unblocks pending reads and writes
	w := &writer{connection: c, data: r.encode(), done: make(chan error, 1)}
	go w.run()
	response, err := c.receive(r) //nolint:bodyclose // Response.Close closes the connection
	if err != nil {
		e.waiting(-1)
		stop()
		_ = c.Close() // nothing to do about a failing close
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, errors.Wrapf(ErrNoResponse, "%s: %v", r.Address, err)
	}
	return &Response{exchanger: e, connection: c, response: response, written: w.done, stopCancellation: stop}, nil
}

// receive reads responses until one belongs to the request.
func (c *connection) receive(r Request) (*http.Response, error) {
	for range maxStrayResponses {
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return nil, errors.Errorf("the response has the status %03d, which is none", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesResponse(response.StatusCode, response.Header) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
		if err != nil {
			return nil, errors.Wrap(err, "reading the response to another request")
		}
		if n == maxStrayBytes || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("cannot skip the response to another request: it is too long or ends with the connection")
		}
	}
	return nil, errors.New("too many responses that do not belong to this request")
}

// readHead reads the status line and the header of the next response.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.limiter.beginHead()
	defer c.limiter.endHead()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}
