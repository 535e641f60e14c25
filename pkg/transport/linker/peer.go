package linker

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/pkg/protocol/encoder"
)

// ErrLinkDown is returned when a link is closed before a response has arrived. The
// peer may or may not have handled the call.
var ErrLinkDown = errors.New("link is down")

const (
	maxQueuedFrames = 8192
	// maxQueuedBytes limits the bodies of the frames that wait for a slow peer. A single
	// frame may be larger, such as a snapshot.
	maxQueuedBytes = 16 << 20
	writeTimeout   = 10 * time.Second
)

type frameType uint8

const (
	heartbeatFrame frameType = iota + 1
	notificationFrame
	callFrame
	responseFrame
	errorFrame
)

// wireMessage is the CBOR form of a WebSocket message: a timestamp and the frames
// that were queued when it was sent.
type wireMessage struct {
	_      struct{} `cbor:",toarray"`
	Stamp  uint64
	Frames []wireFrame
}

// wireFrame is the CBOR form of a frame. CallID numbers the calls of the sending
// end; a response carries the number of its call.
type wireFrame struct {
	_      struct{} `cbor:",toarray"`
	Type   frameType
	Kind   uint8
	CallID uint64
	Body   []byte
}

type callResult struct {
	body []byte
	err  error
}

// Peer is this end of one link to another process. A new link to the same process
// has a new Peer.
type Peer struct {
	endpoint *Endpoint
	socket   *websocket.Conn
	identity Identity
	ctx      context.Context
	cancel   context.CancelCauseFunc

	mutex      sync.Mutex
	queue      []wireFrame
	queueBytes int
	wake       chan struct{}
	lastCallID uint64
	calls      map[uint64]chan callResult
}

func newPeer(e *Endpoint, socket *websocket.Conn, identity Identity) *Peer {
	ctx, cancel := context.WithCancelCause(e.ctx)
	return &Peer{
		endpoint: e,
		socket:   socket,
		identity: identity,
		ctx:      ctx,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		calls:    map[uint64]chan callResult{},
	}
}

// Identity returns the identity that the other process has sent.
func (p *Peer) Identity() Identity { return p.identity }

// Notify sends a notification, which has no response.
func (p *Peer) Notify(kind uint8, body []byte) error {
	return p.enqueue(wireFrame{Type: notificationFrame, Kind: kind, Body: body})
}

// Call sends a call and waits for the response. An error of the peer's handler is
// returned as an error with the same text.
func (p *Peer) Call(ctx context.Context, kind uint8, body []byte) ([]byte, error) {
	result := make(chan callResult, 1)
	p.mutex.Lock()
	p.lastCallID++
	id := p.lastCallID
	p.calls[id] = result
	p.mutex.Unlock()
	defer p.removeCall(id)
	if err := p.enqueue(wireFrame{Type: callFrame, Kind: kind, CallID: id, Body: body}); err != nil {
		return nil, err
	}
	select {
	case r := <-result:
		return r.body, r.err
	case <-p.ctx.Done():
		return nil, ErrLinkDown
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "call")
	}
}

func (p *Peer) removeCall(id uint64) {
	p.mutex.Lock()
	delete(p.calls, id)
	p.mutex.Unlock()
}

func (p *Peer) close(reason string) { p.cancel(errors.New(reason)) }

func (p *Peer) closeReason() string {
	if cause := context.Cause(p.ctx); cause != nil {
		return cause.Error()
	}
	return ""
}

func (p *Peer) enqueue(f wireFrame) error {
	if p.ctx.Err() != nil {
		return ErrLinkDown
	}
	p.mutex.Lock()
	full := len(p.queue) >= maxQueuedFrames || p.queueBytes > 0 && p.queueBytes+len(f.Body) > maxQueuedBytes
	if !full {
		p.queue = append(p.queue, f)
		p.queueBytes += len(f.Body)
	}
	p.mutex.Unlock()
	if full {
		p.close("send queue is full")
		return ErrLinkDown
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return nil
}

// runWriter sends queued frames and heartbeats until the link is closed. All frames
// that are queued at the same time are sent in one message.
func (p *Peer) runWriter() {
	heartbeat := time.NewTicker(p.endpoint.config.HeartbeatInterval)
	defer heartbeat.Stop()
	defer func() { _ = p.socket.CloseNow() }() // the link has ended already
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		case <-heartbeat.C:
			p.mutex.Lock()
			p.queue = append(p.queue, wireFrame{Type: heartbeatFrame})
			p.mutex.Unlock()
		}
		p.mutex.Lock()
		frames := p.queue
		p.queue, p.queueBytes = nil, 0
		p.mutex.Unlock()
		if len(frames) == 0 {
			continue
		}
		if err := p.write(frames); err != nil {
			p.cancel(err)
			return
		}
	}
}

func (p *Peer) write(frames []wireFrame) error {
	data, err := encoder.Marshal(wireMessage{Stamp: p.endpoint.config.Clock.NextStamp(), Frames: frames})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, writeTimeout)
	defer cancel()
	p.endpoint.bytesSent.Inc(int64(len(data)))
	return errors.Wrap(p.socket.Write(ctx, websocket.MessageBinary, data), "write")
}

// runReader handles received frames until the link is closed.
func (p *Peer) runReader() {
	defer p.endpoint.remove(p)
	heartbeatTimer := time.AfterFunc(p.endpoint.config.HeartbeatTimeout, func() { p.close("heartbeat timeout") })
	defer heartbeatTimer.Stop()
	for {
		_, data, err := p.socket.Read(p.ctx)
		if err != nil {
			p.cancel(errors.Wrap(err, "read"))
			return
		}
		heartbeatTimer.Reset(p.endpoint.config.HeartbeatTimeout)
		p.endpoint.bytesReceived.Inc(int64(len(data)))
		var message wireMessage
		if err := encoder.Unmarshal(data, &message); err != nil {
			p.cancel(err)
			return
		}
		p.endpoint.config.Clock.Observe(message.Stamp)
		for _, f := range message.Frames {
			p.handle(f)
		}
	}
}

func (p *Peer) handle(f wireFrame) {
	switch f.Type {
	case notificationFrame:
		_, _ = p.endpoint.handle(p, f) // a notification has no response
	case callFrame:
		c := &incomingCall{p, f}
		p.endpoint.startCall(c)
	case responseFrame:
		p.completeCall(f.CallID, callResult{body: f.Body})
	case errorFrame:
		p.completeCall(f.CallID, callResult{err: errors.New(string(f.Body))})
	}
}

func (p *Peer) completeCall(id uint64, r callResult) {
	p.mutex.Lock()
	result := p.calls[id]
	delete(p.calls, id)
	p.mutex.Unlock()
	if result != nil {
		result <- r
	}
}

// handle passes a frame to the handler. A panic of the handler ends only the handling of
// this frame: one malformed message must not end the process.
func (e *Endpoint) handle(from *Peer, f wireFrame) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			e.config.Log.Error("the handler of a message panicked", zap.Stringer("peer", from.identity.process),
				zap.Uint8("kind", f.Kind), zap.Any("cause", cause), zap.Stack("stack"))
			body, err = nil, errors.Errorf("the handler of message kind %d failed", f.Kind)
		}
	}()
	return e.config.Handle(from.ctx, from, f.Kind, f.Body)
}

// incomingCall is a call that a peer has sent and this process handles.
type incomingCall struct {
	peer  *Peer
	frame wireFrame
}

func (e *Endpoint) startCall(c *incomingCall) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.closed {
		e.goroutines.Go(c.run)
	}
}

func (c *incomingCall) run() {
	body, err := c.peer.endpoint.handle(c.peer, c.frame)
	f := wireFrame{Type: responseFrame, CallID: c.frame.CallID, Body: body}
	if err != nil {
		f.Type, f.Body = errorFrame, []byte(err.Error())
	}
	_ = c.peer.enqueue(f) // fails if the link is down, which the caller notices itself
}
