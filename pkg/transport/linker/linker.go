// Package linker maintains links between the processes of a fleet.
//
// A link is a WebSocket connection that carries CBOR frames. Both ends prove that
// they know the fleet key without sending it. Each end sends heartbeats. A link on
// which nothing arrives for the heartbeat timeout is closed and, if this end
// dialled it, dialled again, since a new connection may work where an established
// one no longer delivers data.
//
// Frames of one link arrive in the order in which they were sent. If a frame cannot
// be queued, the link is closed, so that a receiver never gets later frames without
// the missing one.
package linker

import (
	"context"
	"crypto/tls"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Path is the HTTP path at which a process accepts links.
const Path = "/link"

// Role is the role of a process in the fleet.
type Role string

// The roles of processes.
const (
	Router  Role = "router"
	Control Role = "control"
)

// Identity describes a process to its peers.
type Identity struct {
	process    identifier.Process
	dataCentre string
	role       Role
	address    string
}

// NewIdentity returns the identity of a process. The address is the host and port
// at which the process accepts links.
func NewIdentity(process identifier.Process, dataCentre string, role Role, address string) Identity {
	return Identity{process, dataCentre, role, address}
}

// Process returns the process.
func (i Identity) Process() identifier.Process { return i.process }

// DataCentre returns the data centre that the process runs in.
func (i Identity) DataCentre() string { return i.dataCentre }

// Role returns the role of the process.
func (i Identity) Role() Role { return i.role }

// Address returns the host and port at which the process accepts links.
func (i Identity) Address() string { return i.address }

// Handler handles a frame from a peer. For a call, the handler returns the response;
// for a notification, the results are ignored. Notifications of one link are handled
// one at a time and must not block; calls are handled concurrently.
type Handler func(ctx context.Context, from *Peer, kind uint8, body []byte) ([]byte, error)

// Clock is a logical clock.
type Clock interface {
	// NextStamp returns the timestamp for a message that is about to be sent.
	NextStamp() uint64
	// Observe advances the clock past the timestamp of a received message.
	Observe(stamp uint64)
}

type noClock struct{}

func (noClock) NextStamp() uint64 { return 0 }
func (noClock) Observe(uint64)    {}

// Config configures an endpoint.
type Config struct {
	// Identity describes this process to its peers. Required.
	Identity Identity
	// FleetKey is the secret that all processes of the fleet share. Required.
	FleetKey []byte
	// Handle handles frames. Required.
	Handle Handler
	// OnConnect, if set, is called when a link has been established.
	OnConnect func(*Peer)
	// OnDisconnect, if set, is called when a link has been closed.
	OnDisconnect func(*Peer)
	// TLS, if set, is the TLS configuration for dialling.
	TLS *tls.Config
	// HeartbeatInterval is the interval of heartbeats. Default: 700 ms.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long a link may receive nothing before it is closed.
	// Default: 2.5 s.
	HeartbeatTimeout time.Duration
	// Clock, if set, orders the events of all processes. Its timestamps are sent with
	// the messages.
	Clock Clock
	// Log receives log entries. Default: none.
	Log *zap.Logger
	// Metrics receives the counters linkBytesSent and linkBytesReceived.
	// Default: a new registry.
	Metrics metrics.Registry
}

func (c Config) withDefaults() (Config, error) {
	if c.Identity.process.IsZero() {
		return c, errors.New("linker: Config.Identity is missing")
	}
	if len(c.FleetKey) == 0 {
		return c, errors.New("linker: Config.FleetKey is missing")
	}
	if c.Handle == nil {
		return c, errors.New("linker: Config.Handle is missing")
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = 700 * time.Millisecond
	}
	if c.HeartbeatTimeout == 0 {
		c.HeartbeatTimeout = 2500 * time.Millisecond
	}
	if c.Clock == nil {
		c.Clock = noClock{}
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c, nil
}

// Endpoint manages all links of this process.
type Endpoint struct {
	config        Config
	client        *http.Client
	bytesSent     metrics.Counter
	bytesReceived metrics.Counter

	mutex      sync.Mutex
	closed     bool
	peers      map[identifier.Process]*Peer
	dialers    map[string]*dialer
	goroutines sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns an endpoint without links.
func New(config Config) (*Endpoint, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{
		config:        config,
		client:        &http.Client{Transport: &http.Transport{TLSClientConfig: config.TLS, Proxy: nil}},
		bytesSent:     metrics.GetOrRegisterCounter("linkBytesSent", config.Metrics),
		bytesReceived: metrics.GetOrRegisterCounter("linkBytesReceived", config.Metrics),
		peers:         map[identifier.Process]*Peer{},
		dialers:       map[string]*dialer{},
		ctx:           ctx,
		cancel:        cancel,
	}, nil
}

// Identity returns the identity of this process.
func (e *Endpoint) Identity() Identity { return e.config.Identity }

// SetDialAddresses makes the endpoint maintain a link to each of the addresses and
// close the links that it has dialled to other addresses. Links that peers have
// dialled are not affected.
func (e *Endpoint) SetDialAddresses(addresses []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return
	}
	for address, d := range e.dialers {
		if !slices.Contains(addresses, address) {
			d.stop()
			delete(e.dialers, address)
		}
	}
	for _, address := range addresses {
		if e.dialers[address] == nil && address != e.config.Identity.address {
			d := newDialer(e, address)
			e.dialers[address] = d
			e.goroutines.Go(d.run)
		}
	}
}

// Peers returns the peers with an open link.
func (e *Endpoint) Peers() []*Peer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	peers := make([]*Peer, 0, len(e.peers))
	for _, p := range e.peers {
		peers = append(peers, p)
	}
	return peers
}

// Peer returns the peer if there is an open link to the process.
func (e *Endpoint) Peer(process identifier.Process) (*Peer, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	p, ok := e.peers[process]
	return p, ok
}

// PeerOnVM returns a peer with the given role on the VM.
func (e *Endpoint) PeerOnVM(vm string, role Role) (*Peer, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for process, p := range e.peers {
		if process.VM() == vm && p.identity.role == role {
			return p, true
		}
	}
	return nil, false
}

// Close closes all links and waits until their goroutines have returned.
func (e *Endpoint) Close() {
	e.mutex.Lock()
	e.closed = true
	e.cancel()
	for _, d := range e.dialers {
		d.stop()
	}
	peers := make([]*Peer, 0, len(e.peers))
	for _, p := range e.peers {
		peers = append(peers, p)
	}
	e.mutex.Unlock()
	for _, p := range peers {
		p.close("endpoint is closing")
	}
	e.goroutines.Wait()
}

// add registers the peer and starts its writer. An older link to the same process is
// closed, because a peer that opens a new link has given up the old one.
func (e *Endpoint) add(p *Peer) bool {
	e.mutex.Lock()
	if e.closed {
		e.mutex.Unlock()
		return false
	}
	old := e.peers[p.identity.process]
	e.peers[p.identity.process] = p
	e.goroutines.Go(p.runWriter)
	e.mutex.Unlock()
	if old != nil {
		old.close("replaced by a newer link")
	}
	e.config.Log.Info("link up", zap.Stringer("peer", p.identity.process), zap.String("peerRole", string(p.identity.role)))
	if e.config.OnConnect != nil {
		e.config.OnConnect(p)
	}
	return true
}

func (e *Endpoint) remove(p *Peer) {
	e.mutex.Lock()
	if e.peers[p.identity.process] == p {
		delete(e.peers, p.identity.process)
	}
	e.mutex.Unlock()
	e.config.Log.Info("link down", zap.Stringer("peer", p.identity.process), zap.String("reason", p.closeReason()))
	if e.config.OnDisconnect != nil {
		e.config.OnDisconnect(p)
	}
}
