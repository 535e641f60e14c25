package linker

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/pkg/transport/inspector"
)

// errPeerLeft means that the other end of a tunnel has ended it.
var errPeerLeft = errors.New("the other end of the tunnel has left")

// errUnused means that the other end of a tunnel has sent nothing, though it opened the tunnel to
// send at once: it may have left unnoticed.
var errUnused = errors.New("the tunnel is not used")

// carrier carries the bytes of a tunnel at the end that opened the connection to the destination.
// It holds at most tunnelWindowBytes that the destination has not taken. It tells its peer how many
// it has taken, and that the destination has ended in an orderly way only once that has
// acknowledged all of them: a response may end with its connection.
type carrier struct {
	socket      *websocket.Conn
	destination net.Conn
	// silenceTimeout is how long the peer may send nothing once it knows that the destination has
	// ended: it may have left unnoticed.
	silenceTimeout time.Duration

	mutex      sync.Mutex
	changed    *sync.Cond
	queue      forwardQueue
	requestErr error // why no more bytes go to the destination

	responseBytes int64 // written by runResponses, as responseErr
	responseErr   error
}

func newCarrier(socket *websocket.Conn, destination net.Conn, silenceTimeout time.Duration) *carrier {
	c := &carrier{socket: socket, destination: destination, silenceTimeout: silenceTimeout, queue: forwardQueue{reports: socket.Subprotocol() == reportingProtocol}}
	c.changed = sync.NewCond(&c.mutex)
	return c
}

// carry returns when the tunnel has ended. If one end breaks, so does the other.
func (c *carrier) carry(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(ctx, func() { c.end(ctx.Err()) })
	unused := time.AfterFunc(c.silenceTimeout, c.endIfUnused)
	defer unused.Stop()
	c.socket.SetReadLimit(-1)
	if c.queue.reports {
		c.socket.SetReadLimit(tunnelBufferBytes)
	}
	var running sync.WaitGroup
	running.Go(func() { c.runReceiver(ctx) })
	running.Go(func() { c.runRequests(ctx) })
	c.runResponses(ctx)
	cancel()
	running.Wait()
}

// end ends the way to the destination. What that has not got by then must not reach it later.
func (c *carrier) end(cause error) {
	c.mutex.Lock()
	isWritten := c.queue.isWritten()
	if c.requestErr == nil {
		c.requestErr = cause
	}
	c.changed.Broadcast()
	c.mutex.Unlock()
	delivered := isWritten && inspector.Acknowledged(c.destination)
	if socket, ok := inspector.Beneath(c.destination).(*net.TCPConn); ok && !delivered {
		_ = socket.SetLinger(0) // so that the kernel discards it; fails only on a closed connection
	}
	_ = c.destination.Close() // as above
}

// endIfUnused ends the way to the destination if the peer has sent nothing.
func (c *carrier) endIfUnused() {
	c.mutex.Lock()
	unused := c.queue.taken == 0
	c.mutex.Unlock()
	if unused {
		c.end(errUnused)
	}
}

// logEnd logs how both directions ended. Both must have.
func (c *carrier) logEnd(log *zap.Logger) {
	log.Info("tunnel of a peer ended",
		zap.Stringer("destination", c.destination.RemoteAddr()), zap.Bool("reports", c.queue.reports), zap.Int64("taken", c.queue.taken), zap.Int64("written", c.queue.written),
		zap.Int64("responseBytes", c.responseBytes), endField("requestEnd", c.requestErr), endField("responseEnd", c.responseErr))
}

// runReceiver takes bytes from the peer until that leaves, also while the destination does not
// read.
func (c *carrier) runReceiver(ctx context.Context) {
	c.end(errors.Wrap(errPeerLeft, c.receive(ctx).Error()))
}

func (c *carrier) receive(ctx context.Context) error {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		_, message, err := c.socket.Reader(ctx)
		for err == nil {
			var n int
			n, err = message.Read(buffer)
			if takeErr := c.take(buffer[:n]); takeErr != nil {
				return takeErr
			}
		}
		if err != io.EOF { //nolint:errorlint // an error that wraps io.EOF is not the end of a message
			return err
		}
	}
}

// take queues bytes for the destination, unless they cannot reach it any more.
func (c *carrier) take(data []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.queue.reports && c.queue.isFull() && c.requestErr == nil {
		c.changed.Wait()
	}
	if c.requestErr != nil {
		return nil
	}
	c.changed.Broadcast()
	return c.queue.add(data)
}

// runRequests carries bytes to the destination. After a failure, the destination may still have
// responded: its response is passed on, but its end is not an orderly one.
func (c *carrier) runRequests(ctx context.Context) {
	for {
		data, ok := c.nextPending()
		if !ok {
			return
		}
		n, err := c.destination.Write(data)
		if !c.recordWritten(n, err) {
			continue
		}
		if err := c.send(ctx, nil); err != nil {
			return
		}
	}
}

// nextPending waits for bytes for the destination. It returns false if there will be none.
func (c *carrier) nextPending() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.queue.pending) == 0 && c.requestErr == nil {
		c.changed.Wait()
	}
	return c.queue.next(), c.requestErr == nil
}

// recordWritten records the result of a write. It returns whether the peer has to be told.
func (c *carrier) recordWritten(n int, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue.written += int64(n)
	if err != nil && c.requestErr == nil {
		c.requestErr = errors.Wrap(err, "write to the destination")
	}
	c.changed.Broadcast()
	return c.requestErr == nil && c.queue.isReportDue()
}

// send sends bytes of the destination to the peer, and with them how many of the peer's were
// written.
func (c *carrier) send(ctx context.Context, data []byte) error {
	if !c.queue.reports {
		return c.socket.Write(ctx, websocket.MessageBinary, data)
	}
	c.mutex.Lock()
	r := c.queue.report(data)
	c.mutex.Unlock()
	return c.sendReport(ctx, r)
}

func (c *carrier) sendReport(ctx context.Context, r report) error {
	data, err := encodeReport(r)
	if err != nil {
		return err
	}
	return c.socket.Write(ctx, websocket.MessageBinary, data)
}

// runResponses carries bytes from the destination to the peer, and tells it how the destination
// ended its connection. The closure of the tunnel comes behind the bytes, and waits for the peer.
func (c *carrier) runResponses(ctx context.Context) {
	c.responseErr = c.carryResponses(ctx)
	if errors.Is(c.responseErr, io.EOF) {
		c.responseErr = c.passOnEnd(ctx)
	}
	c.end(c.responseErr)
	status := websocket.StatusInternalError
	if errors.Is(c.responseErr, io.EOF) {
		status = websocket.StatusNormalClosure
	}
	_ = c.socket.Close(status, "") // fails only if the peer has left
}

func (c *carrier) carryResponses(ctx context.Context) error {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := c.destination.Read(buffer)
		if n > 0 {
			if err := c.send(ctx, buffer[:n]); err != nil {
				return errors.Wrap(err, "write to the peer")
			}
			c.responseBytes += int64(n)
		}
		if err != nil {
			return err
		}
	}
}

// passOnEnd tells the peer that the destination has ended in an orderly way, as soon as it has
// acknowledged all bytes taken from the peer, and again whenever it has acknowledged more. It
// returns io.EOF once the peer needs to know no more, and another error if the end was no orderly
// one. A peer that understands no reports learns it from the closure of the tunnel.
func (c *carrier) passOnEnd(ctx context.Context) error {
	for {
		written, err := c.awaitWritten()
		if err != nil {
			return err
		}
		if err := inspector.AwaitAcknowledged(c.destination); err != nil {
			return err
		}
		if !c.queue.reports {
			return io.EOF
		}
		if err := c.sendReport(ctx, report{written: written, ended: true}); err != nil {
			return errors.Wrap(err, "write to the peer")
		}
		if !c.awaitMore(written) {
			return io.EOF
		}
	}
}

// awaitWritten waits until all bytes taken from the peer have been written, and returns how many
// that are.
func (c *carrier) awaitWritten() (int64, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.queue.isWritten() && c.requestErr == nil {
		c.changed.Wait()
	}
	return c.queue.written, c.requestErr
}

// awaitMore waits until more bytes than these have been taken from the peer. It returns false if
// the peer has left or stays silent, or bytes cannot be written any more.
func (c *carrier) awaitMore(taken int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	silentAt := time.Now().Add(c.silenceTimeout)
	timer := time.AfterFunc(c.silenceTimeout, c.changed.Broadcast)
	defer timer.Stop()
	for c.queue.taken == taken && c.requestErr == nil && time.Now().Before(silentAt) {
		c.changed.Wait()
	}
	return c.queue.taken > taken && c.requestErr == nil
}
