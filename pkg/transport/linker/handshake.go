package linker

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
)

const (
	nonceHeader = "Radishshed-Nonce"
	// vmHeader names the dialling VM, for logs of what stands between.
	vmHeader         = "Radishshed-Vm"
	proofHeader      = "Radishshed-Proof"
	nonceBytes       = 16
	handshakeTimeout = 1500 * time.Millisecond
	maxMessageBytes  = 512 << 20
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = 400 * time.Millisecond
)

// hello is the first frame in both directions. The proof of the dialling end
// covers the nonce of the accepting end, so that it cannot be replayed.
type hello struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	DataCentre  string
	Role        string
	Address     string
	Proof       []byte
}

func (e *Endpoint) proof(purpose, nonce string) []byte {
	mac := hmac.New(sha256.New, e.config.FleetKey)
	_, _ = mac.Write([]byte(purpose + "\x00" + nonce)) // never fails, as documented by hash.Hash
	return mac.Sum(nil)
}

func (e *Endpoint) proves(proof []byte, purpose, nonce string) bool {
	return hmac.Equal(proof, e.proof(purpose, nonce))
}

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, as documented by crypto/rand
	return hex.EncodeToString(nonce)
}

// ServeHTTP accepts a link. A request without proof of the fleet key is
// answered with 401 and nothing else.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nonce := r.Header.Get(nonceHeader)
	proof, err := hex.DecodeString(r.Header.Get(proofHeader))
	if err != nil || nonce == "" || !e.proves(proof, "dial", nonce) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	ownNonce := newNonce()
	w.Header().Set(nonceHeader, ownNonce)
	w.Header().Set(proofHeader, hex.EncodeToString(e.proof("accept", nonce)))
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	p, err := e.greet(socket, ownNonce, true)
	if err != nil {
		e.config.Log.Warn("link refused", zap.Error(err))
		_ = socket.CloseNow() // nothing to do about a failing close
		return
	}
	p.runReader()
}

// dial opens a link and returns its peer.
func (e *Endpoint) dial(ctx context.Context, address string) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws"
	if e.config.TLS != nil {
		scheme = "wss"
	}
	nonce := newNonce()
	header := http.Header{}
	header.Set(nonceHeader, nonce)
	header.Set(vmHeader, e.config.Identity.process.VM())
	header.Set(proofHeader, hex.EncodeToString(e.proof("dial", nonce)))
	// The library closes the body of the response.
	socket, response, err := websocket.Dial(ctx, scheme+"://"+address+Path, &websocket.DialOptions{ //nolint:bodyclose // see above
		HTTPClient: e.client,
		HTTPHeader: header,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	proof, err := hex.DecodeString(response.Header.Get(proofHeader))
	if err != nil || !e.proves(proof, "accept", nonce) {
		_ = socket.CloseNow() // nothing to do about a failing close
		return nil, errors.Errorf("dial %s: the peer does not know the fleet key", address)
	}
	p, err := e.greet(socket, response.Header.Get(nonceHeader), false)
	if err != nil {
		_ = socket.CloseNow() // nothing to do about a failing close
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return p, nil
}

// greet exchanges hellos and adds the peer.
func (e *Endpoint) greet(socket *websocket.Conn, nonce string, accepted bool) (*Peer, error) {
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	own := e.config.Identity
	data, err := encoder.Marshal(hello{
		VM:          own.process.VM(),
		Incarnation: own.process.Incarnation(),
		DataCentre:  own.dataCentre,
		Role:        string(own.role),
		Address:     own.address,
		Proof:       e.proof("hello", nonce),
	})
	if err != nil {
		return nil, err
	}
	if err := socket.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	_, data, err = socket.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	var theirs hello
	if err := encoder.Unmarshal(data, &theirs); err != nil {
		return nil, err
	}
	if accepted && !e.proves(theirs.Proof, "hello", nonce) {
		return nil, errors.New("the peer does not know the fleet key")
	}
	process := identifier.NewProcess(theirs.VM, theirs.Incarnation)
	if process.IsZero() || process == own.process {
		return nil, errors.Errorf("peer has the name %s", process)
	}
	p := newPeer(e, socket, NewIdentity(process, theirs.DataCentre, Role(theirs.Role), theirs.Address))
	if !e.add(p) {
		return nil, errors.New("endpoint is closed")
	}
	return p, nil
}

// dialer keeps a link to one address.
type dialer struct {
	endpoint *Endpoint
	address  string
	ctx      context.Context
	stop     context.CancelFunc
}

func newDialer(e *Endpoint, address string) *dialer {
	ctx, cancel := context.WithCancel(e.ctx)
	return &dialer{e, address, ctx, cancel}
}

func (d *dialer) run() {
	delay := minRedialDelay
	for d.ctx.Err() == nil {
		if d.endpoint.linkedTo(d.address) {
			d.pause(maxRedialDelay)
			continue
		}
		p, err := d.endpoint.dial(d.ctx, d.address)
		if err == nil {
			stop := context.AfterFunc(d.ctx, func() { p.close("no longer kept") })
			p.runReader()
			stop()
			delay = minRedialDelay
		} else {
			d.endpoint.config.Log.Debug("dial failed", zap.String("address", d.address), zap.Error(err))
		}
		d.pause(delay)
		delay = min(2*delay, maxRedialDelay)
	}
}

// pause waits for the delay and up to as much again, so that two processes that
// dial each other at the same moment do not keep replacing each other's links.
func (d *dialer) pause(delay time.Duration) {
	select {
	case <-time.After(delay + mathrand.N(delay)):
	case <-d.ctx.Done():
	}
}

// linkedTo reports whether there is a live link to the process at the address,
// whichever end dialled it.
func (e *Endpoint) linkedTo(address string) bool {
	for _, p := range e.Peers() {
		if p.identity.address == address {
			return true
		}
	}
	return false
}
