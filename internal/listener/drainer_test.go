package listener

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// lateConnection is a connection whose bytes arrive in the moment in which it is closed.
type lateConnection struct{ net.Conn }

func (lateConnection) Read(p []byte) (int, error) { return copy(p, "GET / HTTP/1.1\r\n\r\n"), nil }
func (lateConnection) Close() error               { return nil }

// Guards against a request that is read, and passed on, from a connection that a planned stop
// has found unused and closes in the same moment (LOST).
func TestRequestThatCrossesACloseIsNotRead(t *testing.T) {
	client, server := pair(t)
	defer func() { _ = client.Close() }() // the test does not depend on a clean close
	c := &trackedConnection{Conn: lateConnection{server}, socket: server, acceptedAt: time.Now()}
	if c.closeIfUnused(time.Now()) {
		t.Fatal("a new connection was closed before it could send its first request")
	}
	later := time.Now().Add(time.Hour)
	if !c.closeIfUnused(later) {
		t.Fatal("an unused connection was not closed")
	}
	if n, err := c.Read(make([]byte, 100)); n != 0 || err == nil {
		t.Errorf("%d bytes read after the close, error %v", n, err)
	}
}

// pair returns the two ends of a connection.
func pair(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // only the connection is needed
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, accepted.(*net.TCPConn)
}

// Guards against a planned stop that ends, and closes all connections, while the last one is
// still being accepted, as on a busy machine (LOST).
func TestStopWaitsForTheLastAcceptedConnection(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test does not depend on a clean close
	d := newDrainer(l, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*backlogTime)
	defer cancel()
	if err := d.drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v, though a connection may have been accepted that is not tracked yet", err)
	}
	if _, err := d.Accept(); !errors.Is(err, errStopped) {
		t.Errorf("%v, want %v", err, errStopped)
	}
	if err := d.drain(context.Background()); err != nil {
		t.Errorf("%v after the last connection was accepted", err)
	}
}
