package exchanger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/exchanger"
	"radishshed.example/radishshed/internal/relayer"
)

const (
	idHeader = "X-Id"
	// endlessBytes is the most that a target of these tests sends without end.
	endlessBytes = 64 << 20
	// readAheadBytes is more than a limit on a response and the socket buffers on
	// both sides hold together.
	readAheadBytes = 16 << 20
	testTimeout    = 5 * time.Second
)

// rawTarget accepts connections and sends the same bytes on each, whatever it receives.
type rawTarget struct {
	listener net.Listener
	// responses are sent in turn, one for each chunk of data that arrives.
	responses []string
	// filler is sent repeatedly after the last response.
	filler string
	sent   atomic.Int64
	opened atomic.Int64
}

func newRawTarget(t *testing.T, filler string, responses ...string) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rawTarget{listener: listener, responses: responses, filler: filler}
	t.Cleanup(func() { _ = listener.Close() }) // ends run
	go target.run()
	return target
}

func (r *rawTarget) address() string { return r.listener.Addr().String() }

func (r *rawTarget) run() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.opened.Add(1)
		c := &rawConnection{r, socket}
		go c.run()
	}
}

// rawConnection is one connection to a rawTarget.
type rawConnection struct {
	target *rawTarget
	socket net.Conn
}

func (c *rawConnection) run() {
	defer func() { _ = c.socket.Close() }() // the test does not depend on a clean close
	buffer := make([]byte, 64<<10)
	for i, response := range c.target.responses {
		if _, err := c.socket.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(c.socket, response); err != nil {
			return
		}
		if i == len(c.target.responses)-1 && c.target.filler != "" {
			c.fill()
			return
		}
	}
	_, _ = io.Copy(io.Discard, c.socket) // until the client closes the connection
}

func (c *rawConnection) fill() {
	chunk := strings.Repeat(c.target.filler, 1+(32<<10)/len(c.target.filler))
	for c.target.sent.Load() < endlessBytes {
		n, err := io.WriteString(c.socket, chunk)
		c.target.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func requestTo(target *rawTarget, id string) exchanger.Request {
	return exchanger.Request{
		Address: target.address(), Method: http.MethodGet, URI: "/", Host: "target",
		Header:          func() http.Header { return http.Header{idHeader: {id}} },
		MatchesResponse: func(_ int, h http.Header) bool { return h.Get(idHeader) == id },
	}
}

// Guards: bytes without end in place of a response do not fill the memory of the
// router. The request fails as one that may have run, long before its deadline.
func TestEndlessHead(t *testing.T) {
	cases := []struct{ name, start, filler string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no HTTP at all", "", "x"},
		{"one header field", "HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		{"many header fields", "HTTP/1.1 200 OK\r\n", "X-Filler: xxxxxxxxxxxxxxxx\r\n"},
		{"interim responses", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"header of an interim response", "HTTP/1.1 103 Early Hints\r\n", "Link: xxxxxxxxxxxxxxxx\r\n"},
		{"body of another request's response", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, c.filler, c.start)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			response, err := exchanger.New(exchanger.Config{Dial: relayer.DialDirect}).Send(ctx, requestTo(target, "a"))
			if err == nil {
				response.Close()
				t.Fatal("a response without an end was accepted")
			}
			if !errors.Is(err, exchanger.ErrNoResponse) {
				t.Fatalf("%v, want ErrNoResponse", err)
			}
			if ctx.Err() != nil {
				t.Fatal("the request ended only at its deadline")
			}
			if sent := target.sent.Load(); sent > readAheadBytes {
				t.Fatalf("the target sent %d bytes before the connection was closed", sent)
			}
		})
	}
}

// Guards: a chunked body whose chunk extensions or trailer never end is an error, not a
// complete body, and does not fill the memory of the router.
func TestEndlessFraming(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, start, filler string }{
		{"chunk extension", head + "5;x=", "x"},
		{"extensions of tiny chunks", head, "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n"},
		{"trailer", head + "2\r\nok\r\n0\r\n", "X-Filler: xxxxxxxxxxxxxxxx\r\n"},
		{"one trailer field", head + "2\r\nok\r\n0\r\nX-Filler: ", "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, c.filler, c.start)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			response, err := exchanger.New(exchanger.Config{Dial: relayer.DialDirect}).Send(ctx, requestTo(target, "a"))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if _, err := io.Copy(io.Discard, response); err == nil {
				t.Fatal("the body counts as complete")
			}
			if ctx.Err() != nil {
				t.Fatal("the body ended only at the deadline")
			}
			if sent := target.sent.Load(); sent > readAheadBytes {
				t.Fatalf("the target sent %d bytes before the connection was closed", sent)
			}
		})
	}
}

// Guards: a second copy of a response, sent late on a connection that is reused, is not
// taken for the response to the next request.
func TestLateSecondCopy(t *testing.T) {
	response := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 3\r\n\r\n" + body
	}
	target := newRawTarget(t, "", response("a", "one"), response("a", "one")+response("b", "two"))
	e := exchanger.New(exchanger.Config{Dial: relayer.DialDirect})
	cases := []struct{ id, body string }{{"a", "one"}, {"b", "two"}}
	for _, c := range cases {
		r, err := e.Send(t.Context(), requestTo(target, c.id))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r)
		if err != nil || string(body) != c.body {
			t.Fatalf("request %s: body %q, %v, want %q", c.id, body, err, c.body)
		}
		time.Sleep(20 * time.Millisecond) // until the request counts as written
		r.Close()
	}
	if n := target.opened.Load(); n != 1 {
		t.Fatalf("%d connections, want 1: the test needs a reused connection", n)
	}
}

// Guards: a body that ends early is not complete, whatever its framing.
func TestBodyThatEndsEarly(t *testing.T) {
	cases := []struct{ name, response string }{
		{"with a length", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nshort"},
		{"within a chunk", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\na\r\nshort"},
		{"between two chunks", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		{"before the end of the trailer", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newClosingTarget(t, c.response)
			r, err := exchanger.New(exchanger.Config{Dial: relayer.DialDirect}).Send(t.Context(), requestTo(target, "a"))
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			if body, err := io.ReadAll(r); err == nil {
				t.Fatalf("body %q counts as complete", body)
			}
		})
	}
}

// newClosingTarget returns a target that closes each connection after its response.
func newClosingTarget(t *testing.T, response string) *rawTarget {
	t.Helper()
	target := newRawTarget(t, " ", response)
	target.sent.Store(endlessBytes) // nothing follows the response
	return target
}

// Guards: a connection whose request was cancelled is closed. If it returned to the pool,
// the close that the cancellation has started would hit the next request.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	for range 50 {
		target := newRawTarget(t, "", response, response)
		e := exchanger.New(exchanger.Config{Dial: relayer.DialDirect})
		ctx, cancel := context.WithCancel(t.Context())
		r, err := e.Send(ctx, requestTo(target, "a"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(r); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // until the request counts as written
		cancel()
		r.Close()
		r, err = e.Send(t.Context(), requestTo(target, "a"))
		if err != nil {
			t.Fatalf("the next request was sent on a cancelled connection: %v", err)
		}
		r.Close()
		if n := target.opened.Load(); n != 2 {
			t.Fatalf("%d connections, want 2", n)
		}
	}
}

// Guards against a second copy of the body, which would double the memory of a burst of large
// requests.
func TestBodyIsNotCopied(t *testing.T) {
	target := newRawTarget(t, "", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
	body := make([]byte, 16<<20)
	e := exchanger.New(exchanger.Config{Dial: relayer.DialDirect})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := e.Send(ctx, exchanger.Request{
		Address: target.address(), Method: http.MethodPost, URI: "/", Host: "x", Body: body,
		Header:          func() http.Header { return http.Header{} },
		MatchesResponse: func(int, http.Header) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(len(body))/2 {
		t.Errorf("%d bytes allocated for a body of %d", allocated, len(body))
	}
}
