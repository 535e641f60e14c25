// Package originsharer connects the Storer of a process, which holds the versions that began
// streams, with those of other processes.
//
// Versions are entries of the disseminator: a process that starts, or whose links are
// restored, receives those that it lacks over its first link. Origins are sent to control,
// which outlasts a loss of all routers, and while control cannot be reached to other routers.
package originsharer

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/originstorer"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// versionPrefix is the key prefix of disseminator entries that name a version which
	// serves or has served.
	versionPrefix = "softwareVersion/"
	// controlTimeout and routerTimeout bound the wait for the answers of control and of other
	// routers about the origin of a stream.
	controlTimeout = 400 * time.Millisecond
	routerTimeout  = 300 * time.Millisecond
)

// Peer is the link to another process.
type Peer interface {
	Identity() linker.Identity
	Notify(kind uint8, body []byte) error
	Call(ctx context.Context, kind uint8, body []byte) ([]byte, error)
}

// Config configures a Sharer.
type Config struct {
	// Control returns the links to control VMs. Required.
	Control func() []Peer
	// Disconnected reports whether control may not respond. Required.
	Disconnected func() bool
	// Routers returns the links to those routers to which all others keep a link. Required.
	Routers func() []Peer
	// Publish distributes an entry to the other processes. Required.
	Publish func(disseminator.Entry) error
	// Log receives a line for each new version. Required.
	Log *zap.Logger
}

// Sharer shares the origins of streams with other processes. It is safe for concurrent use.
type Sharer struct {
	config Config
	storer *originstorer.Storer
}

// New returns a Sharer that knows no stream.
func New(c Config) *Sharer { return &Sharer{c, originstorer.New(originstorer.Config{})} }

// Storer returns the origins and versions that this process knows.
func (s *Sharer) Storer() *originstorer.Storer { return s.storer }

// Begin records that a target of a version is about to begin a stream, which one of the
// services may go on with, and tells other processes if that cannot be concluded there.
func (s *Sharer) Begin(o originstorer.Origin, services []string, now time.Time) {
	s.storer.Put(o, now)
	if len(s.storer.Versions(services, now)) > 1 {
		s.send([]originstorer.Origin{o}, now)
	}
}

// send sends origins to the processes that store them.
func (s *Sharer) send(origins []originstorer.Origin, now time.Time) {
	s.sendToHolders(origins, s.config.Control(), now)
	if s.disconnected() {
		s.sendToHolders(origins, s.config.Routers(), now)
	}
}

func (s *Sharer) disconnected() bool { return s.config.Disconnected() || len(s.config.Control()) == 0 }

// sendToHolders sends each origin to those among the peers that store it.
func (s *Sharer) sendToHolders(origins []originstorer.Origin, peers []Peer, now time.Time) {
	byVM := map[string]Peer{}
	var vms []string
	for _, p := range peers {
		vm := p.Identity().Process().VM()
		byVM[vm] = p
		vms = append(vms, vm)
	}
	batches := map[string][]originstorer.Origin{}
	for _, o := range origins {
		for _, vm := range originstorer.Holders(o.Stream(), vms) {
			batches[vm] = append(batches[vm], o)
		}
	}
	for vm, batch := range batches {
		s.notify(byVM[vm], batch, now)
	}
}

func (s *Sharer) notify(peer Peer, origins []originstorer.Origin, now time.Time) {
	data, err := originstorer.EncodeOrigins(origins, now)
	if err == nil {
		err = peer.Notify(messenger.StreamOrigins, data)
	}
	if err != nil {
		s.config.Log.Debug("cannot send the origins of streams", zap.Stringer("peer", peer.Identity().Process()), recorder.Err(err))
	}
}

// Connected sends the origins that may be needed over a new link to control, which lacks
// those that were sent while there was none.
func (s *Sharer) Connected(now time.Time) { s.sendAll(now) }

// sendAll sends all origins to the processes that store them, if more than one version of a
// service is known.
func (s *Sharer) sendAll(now time.Time) {
	versions := s.storer.AllVersions(now)
	several := false
	for i := 1; i < len(versions); i++ {
		several = several || versions[i].Service() == versions[i-1].Service()
	}
	if !several {
		return
	}
	if origins := s.storer.Origins(now); len(origins) > 0 {
		s.send(origins, now)
	}
}

// Receive stores the origins that another process has sent, and returns them.
func (s *Sharer) Receive(body []byte, now time.Time) ([]originstorer.Origin, error) {
	origins, err := originstorer.DecodeOrigins(body, now)
	for _, o := range origins {
		s.storer.Put(o, now)
	}
	return origins, err
}

// HandleCall answers the query of another process.
func (s *Sharer) HandleCall(body []byte, now time.Time) ([]byte, error) {
	query, err := originstorer.DecodeQuery(body)
	if err != nil {
		return nil, err
	}
	return originstorer.EncodeAnswer(s.storer.Answer(query, now))
}

// Apply records the versions that the entries name. The origins of streams that a version
// began which was alone so far must be known elsewhere from then on.
func (s *Sharer) Apply(entries []disseminator.Entry, now time.Time) {
	isNew := false
	for _, e := range entries {
		for _, v := range s.versionsOf(e) {
			if s.storer.See(v, e.ExpiresAt().Add(-originstorer.VersionRetention), now) {
				isNew = true
				s.config.Log.Info("new software version of a service", zap.String("service", v.Service()), zap.String("softwareVersion", v.Software()))
			}
		}
	}
	if isNew {
		s.sendAll(now)
	}
}

// versionsOf returns the versions that an entry names.
func (s *Sharer) versionsOf(e disseminator.Entry) []originstorer.Version {
	if !strings.HasPrefix(e.Key(), versionPrefix) {
		return nil
	}
	versions, err := originstorer.DecodeVersions(e.Value())
	if err != nil {
		s.config.Log.Warn("cannot decode a software version", zap.String("key", e.Key()), recorder.Err(err))
	}
	return versions
}

// announcedVersions returns the versions that a target serves.
func announcedVersions(a selector.Announcement) []originstorer.Version {
	var versions []originstorer.Version
	for _, service := range a.Services() {
		versions = append(versions, originstorer.NewVersion(service, a.SoftwareVersion()))
	}
	return versions
}

// Publish distributes the versions that a target serves, so that processes know of them
// which start after its end. The entry of a version is renewed at half of its lease.
func (s *Sharer) Publish(a selector.Announcement, live func(key string) (disseminator.Entry, bool), now time.Time) {
	for _, v := range announcedVersions(a) {
		key := versionPrefix + v.Service() + "/" + v.Software()
		if e, ok := live(key); ok && e.ExpiresAt().Sub(now) > originstorer.VersionRetention/2 {
			continue
		}
		value, err := originstorer.EncodeVersions([]originstorer.Version{v})
		if err == nil {
			err = s.config.Publish(disseminator.NewEntry(disseminator.EntryConfig{
				Key: key, Version: disseminator.NewVersion(1, uint64(now.UnixNano())), Value: value, ExpiresAt: now.Add(originstorer.VersionRetention),
			}))
		}
		if err != nil {
			s.config.Log.Warn("cannot publish a software version", zap.String("softwareVersion", v.Software()), recorder.Err(err))
		}
	}
}

// round is a set of processes that are asked at the same time.
type round struct {
	peers   []Peer
	timeout time.Duration
}

// rounds returns whom to ask, in order: control, and other routers if control does not know
// or may not respond.
func (s *Sharer) rounds() []round {
	control, routers := s.config.Control(), s.config.Routers()
	if s.disconnected() {
		return []round{{append(routers, control...), routerTimeout}}
	}
	return []round{{control, controlTimeout}, {routers, routerTimeout}}
}

// Find returns which version began a stream of one of the services.
func (s *Sharer) Find(ctx context.Context, query originstorer.Query) originstorer.Resolution {
	resolver := originstorer.NewResolver(s.storer.Answer(query, time.Now()))
	for _, r := range s.rounds() {
		if begun, ok := resolver.Final().(originstorer.Begun); ok {
			return begun
		}
		s.ask(ctx, resolver, query, r.peers, time.Now().Add(r.timeout))
	}
	return resolver.Final()
}

// ask asks other processes until the answer is known, all have answered or the deadline has
// passed.
func (s *Sharer) ask(ctx context.Context, resolver *originstorer.Resolver, query originstorer.Query, peers []Peer, deadline time.Time) {
	body, err := originstorer.EncodeQuery(query)
	if err != nil {
		s.config.Log.Warn("cannot encode a query for the origin of a stream", recorder.Err(err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	replies := make(chan reply, len(peers))
	resolver.Ask(len(peers))
	for _, peer := range peers {
		c := originCall{peer, body, replies}
		go c.run(ctx)
	}
	for range peers {
		if _, pending := resolver.Resolution().(originstorer.Pending); !pending {
			return
		}
		r := <-replies
		if r.err != nil {
			s.config.Log.Debug("no answer about the origin of a stream", recorder.Err(r.err))
			resolver.Fail()
			continue
		}
		resolver.Add(r.answer)
	}
}

// reply is the answer of one process.
type reply struct {
	answer originstorer.Answer
	err    error
}

// originCall asks one process for the origin of a stream.
type originCall struct {
	peer    Peer
	body    []byte
	replies chan<- reply
}

func (c originCall) run(ctx context.Context) {
	data, err := c.peer.Call(ctx, messenger.OriginCall, c.body)
	if err != nil {
		c.replies <- reply{err: err}
		return
	}
	answer, err := originstorer.DecodeAnswer(data)
	c.replies <- reply{answer, err}
}
