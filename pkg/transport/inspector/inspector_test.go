package inspector_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/transport/inspector"
)

// settleTime is how long the kernel may take to pass on an acknowledgement or a reset.
const settleTime = 100 * time.Millisecond

// newPair returns the two ends of a connection.
func newPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // one connection is enough
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = c.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = near.Close() // the test is over
		_ = far.Close()  // as above
	})
	return near, far
}

// fill writes until the kernels of both ends hold as much as they take.
func fill(t *testing.T, c *net.TCPConn) {
	t.Helper()
	if err := c.SetWriteDeadline(time.Now().Add(settleTime)); err != nil {
		t.Fatal(err)
	}
	for err := error(nil); err == nil; {
		_, err = c.Write(make([]byte, 64<<10))
	}
	if err := c.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// Guards against bytes that count as delivered though only this VM's kernel holds them, and against
// the reset of a connection that passes for its end, since the writer has been told already.
func TestAcknowledged(t *testing.T) {
	cases := []struct {
		name         string
		act          func(t *testing.T, near, far *net.TCPConn)
		acknowledged bool
	}{
		{"nothing written", func(*testing.T, *net.TCPConn, *net.TCPConn) {}, true},
		{"written and read", func(_ *testing.T, near, far *net.TCPConn) {
			_, _ = near.Write([]byte("hello"))       // read by the other end
			_, _ = io.ReadFull(far, make([]byte, 5)) // as above
		}, true},
		{"written, and then ended by the peer", func(_ *testing.T, near, far *net.TCPConn) {
			_, _ = near.Write([]byte("hello"))       // read by the other end
			_, _ = io.ReadFull(far, make([]byte, 5)) // as above
			_ = far.Close()                          // an orderly end
		}, true},
		{"more written than the peer takes", func(t *testing.T, near, _ *net.TCPConn) { fill(t, near) }, false},
		{"ended by the peer, which does not read", func(t *testing.T, near, far *net.TCPConn) {
			_ = far.CloseWrite() // as the case says
			fill(t, near)
		}, false},
		{"reset", func(_ *testing.T, _, far *net.TCPConn) {
			_ = far.SetLinger(0) // the close is a reset
			_ = far.Close()      // as above
		}, false},
		{"reset, of which the writer has been told", func(t *testing.T, near, far *net.TCPConn) {
			_ = far.SetLinger(0) // the close is a reset
			_ = far.Close()      // as above
			time.Sleep(settleTime)
			if _, err := near.Write([]byte("hello")); err == nil {
				t.Fatal("a write after a reset succeeds")
			}
			if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Fatalf("%v, want an end that seems orderly", err)
			}
		}, false},
		{"closed by this end", func(_ *testing.T, near, _ *net.TCPConn) { _ = near.Close() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := newPair(t)
			c.act(t, near, far)
			time.Sleep(settleTime)
			if got := inspector.Acknowledged(near); got != c.acknowledged {
				t.Errorf("%t, want %t", got, c.acknowledged)
			}
		})
	}
}

// Guards against a wait that outlasts what it waits for, or ends before.
func TestAwaitAcknowledged(t *testing.T) {
	cases := []struct {
		name string
		act  func(near, far *net.TCPConn)
		want func(error) bool
	}{
		{"the peer reads", func(_, far *net.TCPConn) { _, _ = io.Copy(io.Discard, far) }, func(err error) bool { return err == nil }},
		{"the peer resets", func(_, far *net.TCPConn) {
			_ = far.SetLinger(0) // the close is a reset
			_ = far.Close()      // as above
		}, func(err error) bool { return errors.Is(err, inspector.ErrReset) }},
		{"this end closes", func(near, _ *net.TCPConn) { _ = near.Close() }, func(err error) bool { return errors.Is(err, net.ErrClosed) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := newPair(t)
			fill(t, near)
			result := make(chan error, 1)
			go func() { result <- inspector.AwaitAcknowledged(near) }()
			select {
			case err := <-result:
				t.Fatalf("%v, though the peer has not read", err)
			case <-time.After(settleTime):
			}
			go c.act(near, far)
			select {
			case err := <-result:
				if !c.want(err) {
					t.Error(err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the wait does not end")
			}
		})
	}
}

// Guards against connections that are no sockets and then never count as acknowledged.
func TestOfOtherConnectionsNothingMoreIsKnown(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()  // the test is over
	defer func() { _ = near.Close() }() // as above
	if err := inspector.AwaitAcknowledged(near); err != nil || !inspector.Acknowledged(near) {
		t.Error(err)
	}
}
