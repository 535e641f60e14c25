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
	// vmHeader carries the name of the dialling VM, for the logs of proxies between
	// the two processes.
	vmHeader         = "Radishshed-Vm"
	proofHeader      = "Radishshed-Proof"
	nonceBytes       = 16
	handshakeTimeout = 1500 * time.Millisecond
	maxMessageBytes  = 512 << 20
	maxHelloBytes    = 64 << 10
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = 400 * time.Millisecond
)

// hello is the first message in each direction. It carries the identity of its
// sender. The proof of the dialling end covers the nonce of the accepting end, so
// that it cannot be replayed.
type hello struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	DataCentre  string
	Role        string
	Address     string
	Proof       []byte
}

// proof returns the HMAC, keyed with the fleet key, of the purpose and the nonce.
func (e *Endpoint) proof(purpose, nonce string) []byte {
	mac := hmac.New(sha256.New, e.config.FleetKey)
	_, _ = mac.Write([]byte(purpose + "\x00" + nonce)) // never fails, as documented by hash.Hash
	return mac.Sum(nil)
}

func (e *Endpoint) verifyProof(proof []byte, purpose, nonce string) bool {
	return hmac.Equal(proof, e.proof(purpose, nonce))
}

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, as documented by crypto/rand
	return hex.EncodeToString(nonce)
}

// ServeHTTP accepts a link. A request without a valid proof of the fleet key is
// answered with an empty response of status 401 and is not logged.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nonce := r.Header.Get(nonceHeader)
	proof, err := hex.DecodeString(r.Header.Get(proofHeader))
	if err != nil || nonce == "" || !e.verifyProof(proof, "dial", nonce) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	ownNonce := newNonce()
	w.Header().Set(nonceHeader, ownNonce)
	w.Header().Set(proofHeader, hex.EncodeToString(e.proof("accept", nonce)))
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has sent an error response
	}
	p, err := e.exchangeHellos(socket, ownNonce, true)
	if err != nil {
		e.config.Log.Warn("link refused", zap.Error(err))
		_ = socket.CloseNow() // the handshake has failed already
		return
	}
	p.runReader()
}

// dial opens a link and returns the peer at its other end.
func (e *Endpoint) dial(ctx context.Context, address string) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	socket, header, err := e.dialSocket(ctx, address+Path, "dial", "accept")
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	p, err := e.exchangeHellos(socket, header.Get(nonceHeader), false)
	if err != nil {
		_ = socket.CloseNow() // the handshake has failed already
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return p, nil
}

// dialSocket opens a WebSocket connection to the address, which includes the path, and returns
// the header of the response. The two ends prove that they know the fleet key for the given
// purposes. The connection has one of the subprotocols if the other end knows it, or none.
func (e *Endpoint) dialSocket(ctx context.Context, address, purpose, responsePurpose string, subprotocols ...string) (*websocket.Conn, http.Header, error) {
	scheme := "ws"
	if e.config.TLS != nil {
		scheme = "wss"
	}
	nonce := newNonce()
	header := http.Header{}
	header.Set(nonceHeader, nonce)
	header.Set(vmHeader, e.config.Identity.process.VM())
	header.Set(proofHeader, hex.EncodeToString(e.proof(purpose, nonce)))
	// The library closes the body of the response.
	socket, response, err := websocket.Dial(ctx, scheme+"://"+address, &websocket.DialOptions{ //nolint:bodyclose // see above
		HTTPClient:   e.client,
		HTTPHeader:   header,
		Subprotocols: subprotocols,
	})
	if err != nil {
		return nil, nil, err
	}
	proof, err := hex.DecodeString(response.Header.Get(proofHeader))
	if err != nil || !e.verifyProof(proof, responsePurpose, nonce) {
		_ = socket.CloseNow() // the handshake has failed already
		return nil, nil, errors.New("the peer does not know the fleet key")
	}
	return socket, response.Header, nil
}

// exchangeHellos sends and receives a hello and registers the peer. On an accepted
// link, it verifies the proof in the hello of the dialling end.
func (e *Endpoint) exchangeHellos(socket *websocket.Conn, nonce string, accepted bool) (*Peer, error) {
	socket.SetReadLimit(maxHelloBytes) // the peer has not proved yet that it knows the fleet key
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
	socket.SetReadLimit(maxMessageBytes)
	var theirs hello
	if err := encoder.Unmarshal(data, &theirs); err != nil {
		return nil, err
	}
	if accepted && !e.verifyProof(theirs.Proof, "hello", nonce) {
		return nil, errors.New("the peer does not know the fleet key")
	}
	process := identifier.NewProcess(theirs.VM, theirs.Incarnation)
	if process.IsZero() || process == own.process {
		return nil, errors.Errorf("peer claims the identifier %q, which is empty or that of this process", process)
	}
	p := newPeer(e, socket, NewIdentity(process, theirs.DataCentre, Role(theirs.Role), theirs.Address))
	if !e.add(p) {
		return nil, errors.New("the endpoint is closed")
	}
	return p, nil
}

// dialer maintains a link to one address.
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
		if d.endpoint.hasLinkTo(d.address) {
			d.sleep(maxRedialDelay)
			continue
		}
		p, err := d.endpoint.dial(d.ctx, d.address)
		if err == nil {
			stop := context.AfterFunc(d.ctx, func() { p.close("the address is no longer configured") })
			p.runReader()
			stop()
			delay = minRedialDelay
		} else {
			d.endpoint.config.Log.Debug("dial failed", zap.String("address", d.address), zap.Error(err))
		}
		d.sleep(delay)
		delay = min(2*delay, maxRedialDelay)
	}
}

// sleep waits for a random time between one and two delays, so that two processes
// that dial each other at the same moment do not keep replacing each other's links.
func (d *dialer) sleep(delay time.Duration) {
	select {
	case <-time.After(delay + mathrand.N(delay)):
	case <-d.ctx.Done():
	}
}

// hasLinkTo reports whether there is an open link to the process at the address,
// whichever end dialled it.
func (e *Endpoint) hasLinkTo(address string) bool {
	for _, p := range e.Peers() {
		if p.identity.address == address {
			return true
		}
	}
	return false
}
