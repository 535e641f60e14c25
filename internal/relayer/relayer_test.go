package relayer_test

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/exchanger"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	key         = "0123456789abcdef"
	testTimeout = 5 * time.Second
)

// router is one end of relayed connections: it relays, or it has lost its path.
type router struct {
	relayer  *relayer.Relayer
	endpoint *linker.Endpoint
	server   *httptest.Server
	cut      atomic.Bool

	dataCentre    string // "a" if it is empty
	reusesRelayed atomic.Bool
}

// newRouter returns a router that knows the targets and may relay through others.
func newRouter(t *testing.T, name string, targets []string, others ...*router) *router {
	t.Helper()
	r := &router{}
	r.reusesRelayed.Store(true)
	var err error
	r.endpoint, err = linker.New(linker.Config{
		Identity: linker.NewIdentity(identifier.NewProcess(name, 1), "a", linker.Router, ""), FleetKey: []byte(key),
		Handle: func(context.Context, *linker.Peer, uint8, []byte) ([]byte, error) { return nil, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	var candidates []relayselector.Candidate
	for _, o := range others {
		address := strings.TrimPrefix(o.server.URL, "http://")
		candidates = append(candidates, relayselector.NewCandidate(address, address, cmp.Or(o.dataCentre, "a")))
	}
	r.relayer = relayer.New(relayer.Config{
		DataCentre: "a", Tunneller: func() relayer.Tunneller { return r.endpoint }, MaxRelayed: 10,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if r.cut.Load() {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			return relayer.DialDirect(ctx, address)
		},
		Targets:    func() []string { return append([]string(nil), targets...) },
		Candidates: func() []relayselector.Candidate { return candidates },
		Load:       func() float64 { return 0 }, Draining: func() bool { return false },
		WrapCarried: func(c net.Conn) net.Conn { return c }, OnChange: func(bool) {}, ReusesRelayed: r.reusesRelayed.Load,
		Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
	})
	r.server = httptest.NewServer(linker.NewTunnels(r.endpoint, r.relayer.Accept))
	t.Cleanup(func() {
		r.server.CloseClientConnections()
		r.endpoint.Close()
		r.server.Close()
	})
	return r
}

// rawTarget is a target whose connections the test handles itself.
type rawTarget struct {
	listener net.Listener
	handle   func(net.Conn)
	arrived  atomic.Int64 // requests
}

func newRawTarget(t *testing.T, handle func(net.Conn)) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rawTarget{listener: listener, handle: handle}
	serveConnections(t, listener, target.runConnection)
	return target
}

// serveConnections hands each connection of the listener over until the test ends.
func serveConnections(t *testing.T, listener net.Listener, handle func(net.Conn)) {
	t.Helper()
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
}

func (r *rawTarget) address() string { return r.listener.Addr().String() }

func (r *rawTarget) runConnection(c net.Conn) {
	buffer := make([]byte, 4096)
	if n, err := c.Read(buffer); err != nil || n == 0 {
		return // a probe
	}
	r.arrived.Add(1)
	r.handle(c)
}

// send sends a request over a new connection of the router.
func (r *router) send(ctx context.Context, address string) (*exchanger.Response, error) {
	return exchanger.New(exchanger.Config{Dial: r.relayer.Dial}).Send(ctx, exchanger.Request{
		Address: address, Method: http.MethodPost, URI: "/", Host: "target", Body: []byte("hello"),
		Header:          func() http.Header { return nil },
		MatchesResponse: func(int, http.Header) bool { return true },
	})
}

// newPair returns a router that has lost its path, one that relays for it, and the addresses of
// the target and of a second one, which never answers.
func newPair(t *testing.T, handle func(net.Conn)) (lost, relay *router, target *rawTarget) {
	t.Helper()
	target = newRawTarget(t, handle)
	silent := newRawTarget(t, func(net.Conn) {})
	targets := []string{target.address(), silent.address()}
	relay = newRouter(t, "relay", targets)
	lost = newRouter(t, "lost", targets, relay)
	lost.cut.Store(true)
	return lost, relay, target
}

// Guards against a response through a relay that looks complete though it was cut short, and
// against one that is refused though it is complete: without a length it ends with its
// connection.
func TestOnlyAnOrderlyEndIsPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe whole answer"
	cases := []struct {
		name     string
		end      func(net.Conn)
		complete bool
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }, true},
		{"reset", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lost, _, target := newPair(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, head) // checked in the response
				time.Sleep(50 * time.Millisecond) // so that a reset does not overtake it
				c.end(conn)
			})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			response, err := lost.send(ctx, target.address())
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			body, err := io.ReadAll(response)
			if complete := err == nil && string(body) == "the whole answer"; complete != c.complete {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// Guards against a response that is cut short by the end of its relay and looks complete to the
// caller.
func TestResponseWhoseRelayEndsIsNotComplete(t *testing.T) {
	cases := []struct{ name, part string }{
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf \r\n"},
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf "},
		{"until its connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lost, relay, target := newPair(t, func(conn net.Conn) { _, _ = io.WriteString(conn, c.part) }) // checked in the response
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			response, err := lost.send(ctx, target.address())
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if _, err := io.ReadFull(response, make([]byte, len("half "))); err != nil {
				t.Fatal(err)
			}
			relay.endpoint.Close()
			rest, err := io.ReadAll(response)
			if err == nil || errors.Is(err, io.EOF) || ctx.Err() != nil {
				t.Errorf("the rest is %q, %v; want an error that is no end", rest, err)
			}
		})
	}
}

// Guards against a request that is said not to have been sent though it has, when the relay ends
// under it, and against one that is sent twice.
func TestRequestWhoseRelayEndsMayHaveRun(t *testing.T) {
	received := make(chan struct{})
	lost, relay, target := newPair(t, func(net.Conn) { close(received) })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() {
		<-received
		relay.endpoint.Close()
	}()
	_, err := lost.send(ctx, target.address())
	if !errors.Is(err, exchanger.ErrNoResponse) || ctx.Err() != nil {
		t.Errorf("%v, want %v", err, exchanger.ErrNoResponse)
	}
	if n := target.arrived.Load(); n != 1 {
		t.Errorf("the request arrived %d times", n)
	}
}

// Guards against a request that a router carries in whose region it must not pass, and against a
// relayed connection that such a request finds in the pool.
func TestOnlyRoutersOfAllowedDataCentresCarry(t *testing.T) {
	_, near, target := newPair(t, func(net.Conn) {})
	far := newRouter(t, "far", []string{target.address()})
	far.dataCentre = "b"
	lost := newRouter(t, "lost-too", []string{target.address(), near.server.Listener.Addr().String()}, near, far)
	lost.cut.Store(true)
	for _, c := range []struct {
		allowed   string
		near, far int64
	}{{"a", 4, 0}, {"b", 4, 4}, {"c", 4, 4}} {
		allows := func(dataCentre string) bool { return dataCentre == c.allowed }
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		for range 4 {
			socket, err := lost.relayer.Dial(relayer.WithFilter(ctx, allows), target.address())
			if reaches := lost.relayer.Reaches(allows); (err == nil) != (c.allowed != "c") || reaches != (err == nil) {
				t.Fatalf("%s: %v, targets are reachable: %t", c.allowed, err, reaches)
			}
			if err != nil {
				continue
			}
			defer func() { _ = socket.Close() }() // nothing was sent
			for _, want := range []bool{true, false} {
				lost.reusesRelayed.Store(want)
				if got := socket.(interface{ Reusable() bool }).Reusable(); got != want {
					t.Errorf("the connection may be reused: %t, want %t", got, want)
				}
			}
		}
		if near.relayer.Relayed() != c.near || far.relayer.Relayed() != c.far {
			t.Errorf("%s: %d and %d connections carried, want %d and %d", c.allowed, near.relayer.Relayed(), far.relayer.Relayed(), c.near, c.far)
		}
	}
}

// Guards against a target that goes on working after the caller has left.
func TestCancellationReachesTheTarget(t *testing.T) {
	closed := make(chan struct{})
	received := make(chan struct{})
	lost, _, target := newPair(t, func(c net.Conn) {
		close(received)
		_, _ = io.Copy(io.Discard, c) // ends with the connection
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	if _, err := lost.send(ctx, target.address()); err == nil {
		t.Error("a cancelled request succeeded")
	}
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target is still connected half a second after the cancellation")
	}
}

// Guards against connections that are relayed twice, go round, or lead to addresses that are
// no targets: nothing is sent then.
func TestRelaysRefuse(t *testing.T) {
	target := newRawTarget(t, func(net.Conn) {})
	silent := newRawTarget(t, func(net.Conn) {})
	targets := []string{target.address(), silent.address()}
	cases := []struct {
		name    string
		setUp   func(relay *router)
		address string
	}{
		{"has lost its path too", func(r *router) { r.loseThePath(t, targets[0]) }, targets[0]},
		{"knows no such target", func(*router) {}, silentAddress(t)},
		{"cannot be reached", func(r *router) { r.server.Close() }, targets[0]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			relay := newRouter(t, "relay", targets)
			lost := newRouter(t, "lost", targets, relay)
			lost.cut.Store(true)
			c.setUp(relay)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if _, err := lost.send(ctx, c.address); !errors.Is(err, exchanger.ErrNotSent) {
				t.Errorf("%v, want %v", err, exchanger.ErrNotSent)
			}
		})
	}
	if n := target.arrived.Load() + silent.arrived.Load(); n > 0 {
		t.Errorf("%d requests arrived", n)
	}
}

// Guards against targets that end under a request, one after another, unnoticed: while all
// of them are away at once, their routers seem to have lost the path. Also guards against
// the end of a target that is concluded from a router's own loss of the path.
func TestEndOfATargetIsToldFromALostPath(t *testing.T) {
	live, second := newRawTarget(t, func(net.Conn) {}).address(), newRawTarget(t, func(net.Conn) {}).address()
	ended, endedToo := endedAddress(t), endedAddress(t)
	allEnded := []string{ended, endedToo}
	cases := []struct {
		name    string
		targets []string
		others  []*router
		cut     bool
		address string
		refuses bool
	}{
		{"all targets have ended, and there is no other router", allEnded, nil, false, ended, true},
		{"all targets have ended, another router sees the same", allEnded, []*router{newRouter(t, "other", allEnded)}, false, ended, true},
		{"all targets have ended, other routers believe that they have lost the path", allEnded, []*router{newLostRouter(t, allEnded)}, false, ended, true},
		{"the path is lost, the target is well", []string{live, second}, []*router{newRouter(t, "other", []string{live, second})}, true, live, false},
		{"the path is lost, the target has ended", []string{live, ended}, []*router{newRouter(t, "other", []string{live, ended})}, true, ended, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, "router", c.targets, c.others...)
			r.cut.Store(c.cut)
			for _, state := range []string{"when it is noticed", "while the path counts as lost"} {
				if got := r.relayer.Refuses(context.Background(), c.address); got != c.refuses {
					t.Errorf("%s: %t, want %t", state, got, c.refuses)
				}
			}
		})
	}
}

// Guards against a target that counts as ended although it listens, or although the attempt
// to find out was given up.
func TestRefuses(t *testing.T) {
	listening, ended := newRawTarget(t, func(net.Conn) {}).address(), endedAddress(t)
	cases := []struct {
		name      string
		cancelled bool
		address   string
		refuses   bool
	}{
		{"a target that listens", false, listening, false},
		{"a target that has ended", false, ended, true},
		{"no time to find out", true, ended, false},
	}
	r := newRouter(t, "router", []string{listening, ended})
	for _, c := range cases {
		ctx, cancel := context.WithCancel(context.Background())
		if c.cancelled {
			cancel()
		}
		if got := r.relayer.Refuses(ctx, c.address); got != c.refuses {
			t.Errorf("%s: %t, want %t", c.name, got, c.refuses)
		}
		cancel()
	}
}

// newLostRouter returns a router that has lost the path to the targets.
func newLostRouter(t *testing.T, targets []string) *router {
	t.Helper()
	r := newRouter(t, "lost", targets)
	r.loseThePath(t, targets[0])
	return r
}

// endedAddress returns the address of a target that has ended.
func endedAddress(t *testing.T) string {
	t.Helper()
	target := newRawTarget(t, func(net.Conn) {})
	if err := target.listener.Close(); err != nil {
		t.Fatal(err)
	}
	return target.address()
}

// loseThePath cuts the router off and lets it notice.
func (r *router) loseThePath(t *testing.T, address string) {
	t.Helper()
	r.cut.Store(true)
	if _, err := r.relayer.Dial(context.Background(), address); err == nil || !r.relayer.Lost() {
		t.Fatalf("the router has not lost its path: %v", err)
	}
}

// silentAddress returns an address at which nothing is a target.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	return listener.Addr().String()
}

// Guards against sockets on which a user timeout decides when keep-alive probes give up,
// whatever their count: none may be set.
func TestNoUserTimeoutIsSet(t *testing.T) {
	const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT of Linux
	c, err := relayer.DialDirect(context.Background(), newRawTarget(t, func(net.Conn) {}).address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // nothing was sent
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value, keepAlive := -1, 0
	controlErr := raw.Control(func(fd uintptr) {
		value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		if err == nil {
			keepAlive, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		}
	})
	if controlErr != nil || err != nil || value != 0 || keepAlive == 0 {
		t.Errorf("user timeout %d, keep-alive %d, %v, %v", value, keepAlive, controlErr, err)
	}
}
