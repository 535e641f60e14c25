package linker

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/transport/inspector"
)

const (
	tunnelTestTimeout = 5 * time.Second
	// noticeTimeout is how long a relay may take to notice that the other end has left.
	noticeTimeout = 500 * time.Millisecond
)

func newTestEndpoint(t *testing.T) *Endpoint {
	t.Helper()
	e, err := New(Config{
		Identity: NewIdentity(identifier.NewProcess("vm", 1), "a", Router, ""), FleetKey: []byte("key of the test fleet"),
		Handle: func(context.Context, *Peer, uint8, []byte) ([]byte, error) { return nil, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// newDestination returns the address of a destination whose connections the test handles.
func newDestination(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func dialDestination(ctx context.Context, address string) (*net.TCPConn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// newRelay returns the address of a process that opens connections to the destination.
func newRelay(t *testing.T, destination string) string {
	t.Helper()
	return newRelayOf(t, newTestEndpoint(t), destination)
}

func newRelayOf(t *testing.T, e *Endpoint, destination string) string {
	t.Helper()
	return serve(t, NewTunnels(e, func(ctx context.Context, _ []byte) ([]byte, net.Conn) {
		c, err := dialDestination(ctx, destination)
		if err != nil {
			return []byte("refused"), nil
		}
		return []byte("accepted"), c
	}))
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// oldRelay is a process of the last release: it sends no reports, and the closure of a tunnel is
// normal if the destination's connection ended in an orderly way to its reader.
type oldRelay struct {
	endpoint    *Endpoint
	destination string
}

// ServeHTTP implements http.Handler.
func (o *oldRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(proofHeader, hex.EncodeToString(o.endpoint.proof(acceptTunnelPurpose, r.Header.Get(nonceHeader))))
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = socket.CloseNow() }() // as the release
	ctx, cancel := context.WithCancel(o.endpoint.ctx)
	defer cancel()
	if _, _, err := socket.Read(ctx); err != nil {
		return
	}
	destination, err := dialDestination(ctx, o.destination)
	if err != nil {
		return
	}
	if err := socket.Write(ctx, websocket.MessageBinary, []byte("accepted")); err != nil {
		return
	}
	socket.SetReadLimit(-1)
	go func() {
		defer func() { _ = destination.Close() }() // as the release
		for {
			_, data, err := socket.Read(ctx)
			if err != nil {
				return
			}
			if _, err := destination.Write(data); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := destination.Read(buffer)
		if n > 0 && socket.Write(ctx, websocket.MessageBinary, buffer[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = socket.Close(websocket.StatusNormalClosure, "") // as the release
			return
		}
		if err != nil {
			return
		}
	}
}

// openOld opens a tunnel as a process of the last release does, which knows no reports.
func openOld(ctx context.Context, e *Endpoint, address string) (net.Conn, error) {
	socket, _, err := e.dialSocket(ctx, address+TunnelPath, tunnelPurpose, acceptTunnelPurpose)
	if err != nil {
		return nil, err
	}
	if _, err := requestTunnel(ctx, socket, nil); err != nil {
		return nil, err
	}
	return websocket.NetConn(ctx, socket, websocket.MessageBinary), nil
}

// answerWhole reads a request of the given length, answers and ends the connection.
func answerWhole(length int) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, int64(length)) // checked in the answer
		_, _ = io.WriteString(c, "answer")            // as above
		_ = c.Close()                                 // as above
	}
}

// answerHalf answers a request of which it has read the beginning, and resets the connection.
func answerHalf(c *net.TCPConn) {
	_, _ = io.CopyN(io.Discard, c, 100) // checked in the answer
	_, _ = io.WriteString(c, "answer")  // as above
	time.Sleep(20 * time.Millisecond)   // so that the reset does not overtake it
	_ = c.SetLinger(0)                  // the close is a reset
	_ = c.Close()                       // as above
}

// Guards against an upgrade in which half of an answer becomes a whole one, or a whole one a
// failure, where both releases can know better.
func TestTunnelsBetweenReleases(t *testing.T) {
	const short, long = 600, 4 << 20
	cases := []struct {
		name     string
		oldRelay bool
		oldAsker bool
		length   int
		handle   func(*net.TCPConn)
		whole    bool
	}{
		{"both new, long request", false, false, long, answerWhole(long), true},
		{"both new, short request", false, false, short, answerWhole(short), true},
		{"both new, reset", false, false, long, answerHalf, false},
		{"old relay, short request", true, false, short, answerWhole(short), true},
		{"old relay, long request of which nobody says what arrived", true, false, long, answerWhole(long), false},
		{"old relay, reset", true, false, long, answerHalf, false},
		{"old relay, reset of a short request", true, false, short, answerHalf, false},
		{"old asker, long request", false, true, long, answerWhole(long), true},
		{"old asker, short request", false, true, short, answerWhole(short), true},
		{"old asker, reset", false, true, long, answerHalf, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), tunnelTestTimeout)
			defer cancel()
			destination := newDestination(t, c.handle)
			address := newRelay(t, destination)
			if c.oldRelay {
				address = serve(t, &oldRelay{newTestEndpoint(t), destination})
			}
			answer, err := exchangeOver(ctx, newTestEndpoint(t), address, c.oldAsker, c.length)
			if whole := err == nil && answer == "answer"; whole != c.whole {
				t.Errorf("%q, %v; want whole: %t", answer, err, c.whole)
			}
		})
	}
}

// exchangeOver sends a request over a tunnel and returns the answer, and an error unless the
// answer is known to be whole.
func exchangeOver(ctx context.Context, e *Endpoint, address string, old bool, length int) (string, error) {
	var c net.Conn
	var err error
	if old {
		c, err = openOld(ctx, e, address)
	} else {
		c, _, err = e.OpenTunnel(ctx, address, nil)
	}
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }() // the exchange is over
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(bytes.Repeat([]byte("x"), length))
		written <- err
	}()
	answer, err := io.ReadAll(c)
	if err != nil {
		return string(answer), err
	}
	if err := <-written; err != nil {
		return string(answer), err
	}
	if t, ok := c.(*Tunnel); ok {
		return string(answer), t.AwaitAcknowledged()
	}
	return string(answer), nil
}

// readNothing keeps its connection open for the time of a test.
func readNothing(c *net.TCPConn) {
	time.Sleep(tunnelTestTimeout)
	_ = c.Close() // the test is over
}

// Guards against a process between that takes a whole request into its memory, and against one
// that counts as delivered then.
func TestProcessBetweenTakesNoMoreThanItPassesOn(t *testing.T) {
	const length = 32 << 20 // more than the kernels hold
	destination := newDestination(t, readNothing)
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTestTimeout)
	defer cancel()
	tunnel, _, err := newTestEndpoint(t).OpenTunnel(ctx, newRelay(t, destination), nil)
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan struct{})
	go func() {
		_, _ = tunnel.Write(make([]byte, length)) // is interrupted
		close(written)
	}()
	select {
	case <-written:
		t.Error("the whole request was taken though its destination reads nothing")
	case <-time.After(noticeTimeout):
	}
	tunnel.mutex.Lock()
	onTheWay := tunnel.window.sent - tunnel.window.written
	tunnel.mutex.Unlock()
	if onTheWay > tunnelWindowBytes || tunnel.Acknowledged() {
		t.Errorf("%d bytes are on their way, at most %d may be; acknowledged: %t", onTheWay, tunnelWindowBytes, tunnel.Acknowledged())
	}
	_ = tunnel.Close() // ends the write
	<-written
}

// Guards against connections that outlive the process between while their destination does not read,
// since one of its goroutines waits for another, with each release at the other end.
func TestDestinationIsLetGoWhenTheProcessBetweenEnds(t *testing.T) {
	for _, old := range []bool{false, true} {
		left, open := make(chan struct{}), make(chan bool, 1)
		destination := newDestination(t, func(c *net.TCPConn) {
			<-left
			time.Sleep(noticeTimeout)
			open <- inspector.Acknowledged(c) // it is not once it has been reset
		})
		relay := newTestEndpoint(t)
		address := newRelayOf(t, relay, destination)
		ctx, cancel := context.WithTimeout(context.Background(), tunnelTestTimeout)
		defer cancel()
		asker := newTestEndpoint(t)
		go func() { _, _ = exchangeOver(ctx, asker, address, old, 8<<20) }() // is interrupted
		time.Sleep(noticeTimeout)
		relay.Close()
		close(left)
		if <-open {
			t.Errorf("last release: %t: the connection to the destination is still open", old)
		}
	}
}

// Guards against a planned stop that waits for ever for a tunnel whose other end has left unnoticed,
// before it sent anything or after the destination has ended.
func TestDestinationIsLetGoThoughThePeerIsSilent(t *testing.T) {
	cases := []struct {
		name string
		act  func(*net.TCPConn)
	}{
		{"the destination has ended", func(c *net.TCPConn) { _ = c.CloseWrite() }},
		{"nothing was sent", func(*net.TCPConn) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			left := make(chan bool, 1)
			destination := newDestination(t, func(socket *net.TCPConn) {
				c.act(socket)
				_ = socket.SetReadDeadline(time.Now().Add(tunnelTestTimeout))
				_, err := socket.Read(make([]byte, 1))
				left <- errors.Is(err, io.EOF)
			})
			ctx, cancel := context.WithTimeout(context.Background(), tunnelTestTimeout)
			defer cancel()
			tunnel, _, err := newTestEndpoint(t).OpenTunnel(ctx, newRelay(t, destination), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = tunnel.Close() }() // not before the destination has been let go
			if !<-left {
				t.Error("the connection to the destination is still open")
			}
		})
	}
}

// Guards against the end of a process between that passes for that of the destination: only a
// report, or of a process of the last release a normal closure, says that it has ended.
func TestOnlyTheRightClosureIsAnOrderlyEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports bool
		status  websocket.StatusCode
		orderly bool
	}{
		{"last release, normal closure", false, websocket.StatusNormalClosure, true},
		{"last release, going away", false, websocket.StatusGoingAway, false},
		{"last release, internal error", false, websocket.StatusInternalError, false},
		{"normal closure without a report", true, websocket.StatusNormalClosure, false},
		{"going away without a report", true, websocket.StatusGoingAway, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEndpoint(t)
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(proofHeader, hex.EncodeToString(e.proof(acceptTunnelPurpose, r.Header.Get(nonceHeader))))
				var options websocket.AcceptOptions
				if c.reports {
					options.Subprotocols = []string{reportingProtocol}
				}
				socket, err := websocket.Accept(w, r, &options)
				if err != nil {
					return
				}
				_, _, _ = socket.Read(r.Context())                                         // checked in the tunnel
				_ = socket.Write(r.Context(), websocket.MessageBinary, []byte("accepted")) // as above
				_ = socket.Close(c.status, "")                                             // as above
			}))
			ctx, cancel := context.WithTimeout(context.Background(), tunnelTestTimeout)
			defer cancel()
			tunnel, _, err := e.OpenTunnel(ctx, address, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = tunnel.Close() }() // the test is over
			_, err = tunnel.Read(make([]byte, 1))
			if orderly := err == io.EOF; orderly != c.orderly { //nolint:errorlint // an error that wraps io.EOF is no orderly end
				t.Errorf("%v, want an orderly end: %t", err, c.orderly)
			}
			if !c.orderly && !errors.Is(err, ErrTunnelBroken) {
				t.Errorf("%v, want %v", err, ErrTunnelBroken)
			}
		})
	}
}

// Guards against a process between that holds what a peer sends beyond its window.
func TestPeerThatExceedsTheWindowIsCutOff(t *testing.T) {
	destination := newDestination(t, readNothing)
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTestTimeout)
	defer cancel()
	e := newTestEndpoint(t)
	socket, _, err := e.dialSocket(ctx, newRelay(t, destination)+TunnelPath, tunnelPurpose, acceptTunnelPurpose, reportingProtocol)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.CloseNow() }() // the test is over
	if _, err := requestTunnel(ctx, socket, nil); err != nil {
		t.Fatal(err)
	}
	go func() {
		for socket.Write(ctx, websocket.MessageBinary, []byte(strings.Repeat("x", tunnelBufferBytes))) == nil {
			continue
		}
	}()
	for err == nil {
		_, _, err = socket.Read(ctx)
	}
	if ctx.Err() != nil {
		t.Error("a peer that never waits for reports is still served")
	}
}
