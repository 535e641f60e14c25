package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/ranker"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	membershipInterval = 500 * time.Millisecond
	// A router announces its address every presenceInterval. The announcement expires
	// after presenceLease.
	presenceInterval = 5 * time.Second
	presenceLease    = 20 * time.Second
	// lenderCount is the number of lenders: routers to which every other router keeps
	// a link.
	lenderCount = 24
	// leaseGrace is for how long the leases of targets are not enforced after the links
	// to control have been restored, so that new announcements have time to arrive.
	leaseGrace = 3 * time.Second

	maxQueuedFetches = 16
	fetchTimeout     = 800 * time.Millisecond
)

// updatesLink adapts a peer to the link interface of the disseminator.
type updatesLink struct{ peer *linker.Peer }

func (u updatesLink) SendUpdates(data []byte) error { return u.peer.Notify(messenger.Updates, data) }

// connected adds a link to control to those over which updates are disseminated.
// Links between routers carry no updates, since each update would arrive many times.
func (g *Gateway) connected(p *linker.Peer) {
	if p.Identity().Role() == linker.Control {
		g.disseminator.AddLink(updatesLink{p})
		g.sendCrashes(g.quarantiner.Crashes(maxRepeatedCrashes), []*linker.Peer{p})
		g.origins.Connected(time.Now())
	}
}

func (g *Gateway) disconnected(p *linker.Peer) {
	if p.Identity().Role() != linker.Control {
		g.chargeUnsettledLoans(p.Identity().Process(), time.Now())
		return
	}
	g.disseminator.RemoveLink(updatesLink{p})
	if len(g.controlPeers()) == 0 {
		g.log.Warn("no control VM can be reached")
	}
}

// runMembership announces this router to the fleet and maintains the links to control
// VMs and lenders.
func (g *Gateway) runMembership(ctx context.Context) {
	var announcedAt time.Time
	repeater.New(repeater.Config{Interval: membershipInterval, AtStart: true, Step: func(context.Context) {
		if time.Since(announcedAt) >= presenceInterval {
			g.announceSelf()
			announcedAt = time.Now()
		}
		if g.relays.Lost() {
			g.announceLostPath()
		}
		g.endpoint.SetDialAddresses(g.linkAddresses())
		if len(g.controlPeers()) == 0 {
			g.leaseGraceEndsAt.Store(time.Now().Add(leaseGrace).UnixNano())
		}
	}}).Run(ctx)
}

// announceSelf announces the address of this router and, as the load of the entry, its data
// centre.
func (g *Gateway) announceSelf() {
	now := time.Now()
	err := g.disseminator.Put(disseminator.NewEntry(disseminator.EntryConfig{
		Key:       messenger.GatewayAddressPrefix + g.process.VM(),
		Version:   disseminator.NewVersion(g.process.Incarnation(), uint64(now.UnixNano())),
		Value:     []byte(g.settings.AdvertisedAddress()),
		Load:      []byte(g.settings.DataCentre()),
		ExpiresAt: now.Add(presenceLease),
	}))
	if err != nil {
		g.log.Warn("cannot announce this router's address", recorder.Err(err))
	}
}

// linkAddresses returns the addresses of all known control VMs and of the lenders. It
// also stores the number of routers, those that may relay and, through lenderAddresses, the
// lenders.
func (g *Gateway) linkAddresses() []string {
	addresses := slices.Clone(*g.addresses.Load())
	var routers []disseminator.Entry
	for _, e := range g.disseminator.Live() {
		switch {
		case strings.HasPrefix(e.Key(), messenger.ControlAddressPrefix):
			addresses = append(addresses, string(e.Value()))
		case strings.HasPrefix(e.Key(), messenger.GatewayAddressPrefix):
			routers = append(routers, e)
		}
	}
	if g.inLeaseGrace(time.Now()) && len(routers) < len(g.lastRouters) {
		routers = g.lastRouters // announcements cannot arrive, so those that expire say nothing
	}
	g.lastRouters = routers
	g.updateRelayCandidates(routers)
	g.routerCount.Store(max(1, int64(len(routers))))
	addresses = append(addresses, g.lenderAddresses(routers)...)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// lenderAddresses returns the addresses of the lenders: the routers that all others
// keep links to and ask for loans. It also stores the set of lenders and whether this
// router is one of them. Lenders are chosen by rendezvous hashing: all routers choose the
// same ones, and few lenders change when routers join or leave.
func (g *Gateway) lenderAddresses(routers []disseminator.Entry) []string {
	slices.SortFunc(routers, func(a, b disseminator.Entry) int {
		return cmp.Compare(ranker.Weight("", b.Key()), ranker.Weight("", a.Key()))
	})
	var addresses []string
	lender := false
	vms := map[string]bool{}
	for _, e := range routers[:min(len(routers), lenderCount)] {
		vms[strings.TrimPrefix(e.Key(), messenger.GatewayAddressPrefix)] = true
		if e.Key() == messenger.GatewayAddressPrefix+g.process.VM() {
			lender = true
			continue
		}
		addresses = append(addresses, string(e.Value()))
	}
	g.isLender.Store(lender)
	g.lenderVMs.Store(&vms)
	return addresses
}

func (g *Gateway) controlPeers() []*linker.Peer { return g.peersOf(linker.Control) }

// lenderPeers returns the lenders to which there is a link. A lender also has links from
// the routers that are not lenders; it sends no requests of its own over these.
func (g *Gateway) lenderPeers() []*linker.Peer {
	vms := *g.lenderVMs.Load()
	var lenders []*linker.Peer
	for _, p := range g.peersOf(linker.Router) {
		if vms[p.Identity().Process().VM()] {
			lenders = append(lenders, p)
		}
	}
	return lenders
}

func (g *Gateway) peersOf(role linker.Role) []*linker.Peer {
	var peers []*linker.Peer
	for _, p := range g.endpoint.Peers() {
		if p.Identity().Role() == role {
			peers = append(peers, p)
		}
	}
	return peers
}

// inLeaseGrace reports whether announcements of targets may be missing, and leases are
// therefore not enforced, because the links to control are down or were restored only
// recently.
func (g *Gateway) inLeaseGrace(now time.Time) bool { return now.UnixNano() < g.leaseGraceEndsAt.Load() }

// handleEntries passes the target announcements among the received entries to the placer,
// and the verdicts, limits, departures and software versions to those who share them.
func (g *Gateway) handleEntries(entries []disseminator.Entry) {
	now := time.Now()
	g.verdicts.Apply(entries, now)
	g.limits.Apply(entries, now)
	g.departures.Apply(entries, now)
	g.origins.Apply(entries, now)
	g.applyFull(entries, now)
	for _, e := range entries {
		if !selector.IsTarget(e) {
			continue
		}
		a, err := selector.AnnouncementFrom(e)
		if err != nil {
			g.log.Warn("cannot decode the announcement of a target", zap.String("key", e.Key()), recorder.Err(err))
			continue
		}
		fields := []zap.Field{zap.String("target", a.Name()), zap.String("address", a.Address()), zap.String("softwareVersion", a.SoftwareVersion()),
			zap.Uint64("incarnation", a.Incarnation()), zap.Uint64("sequence", a.Sequence())}
		switch g.placer.Apply(a, e.ExpiresAt()) {
		case placer.Joined:
			g.log.Info("target joined", fields...)
		case placer.Left:
			g.log.Info("target leaves", fields...)
		}
	}
}

// handle handles a message from a peer and returns the response to a request.
func (g *Gateway) handle(_ context.Context, from *linker.Peer, kind uint8, body []byte) ([]byte, error) {
	switch kind {
	case messenger.Updates:
		return nil, g.disseminator.Receive(updatesLink{from}, body)
	case messenger.CatalogueNotice:
		number, err := messenger.DecodeCatalogueNumber(body)
		if err == nil && number > g.catalogueRecord.Load().Version() {
			g.queueFetch(from)
		}
		return nil, err
	case messenger.EvacuationNotice:
		return nil, g.handleEvacuations(body)
	case messenger.CatalogueRequest:
		return messenger.EncodeCatalogue(*g.catalogueRecord.Load())
	case messenger.LoanRequest:
		return g.handleLoanRequest(from, body)
	case messenger.WitnessRequest:
		return nil, g.handleCeilings(from, body)
	case messenger.LoanReturn:
		return nil, g.handleLoanReturn(from, body)
	case messenger.PrefillNotice:
		reading, err := messenger.DecodePrefill(body)
		if err == nil {
			g.placer.RecordRemotePrefill(reading.Target(), reading.Duration(), reading.DelaysStreams(), time.Now())
		}
		return nil, err
	case messenger.CrashNotice:
		return nil, g.verdicts.ReceiveCrashes(body, time.Now())
	case messenger.PermitCall:
		return g.limits.HandleCall(body, time.Now())
	case messenger.StreamOrigins:
		_, err := g.origins.Receive(body, time.Now())
		return nil, err
	case messenger.OriginCall:
		return g.origins.HandleCall(body, time.Now())
	case messenger.ConfigurationNotice:
		return nil, nil // a gateway does not use tickets
	default:
		return nil, errors.Errorf("a gateway does not handle messages of kind %d", kind)
	}
}

// queueFetch queues the fetch of a catalogue from a peer, or drops it if the queue is full.
func (g *Gateway) queueFetch(p *linker.Peer) {
	select {
	case g.fetches <- p:
	default:
		g.log.Warn("catalogue update dropped: the fetch queue is full", zap.Stringer("peer", p.Identity().Process()))
	}
}

// runFetches fetches the catalogues that peers have announced.
func (g *Gateway) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-g.fetches:
			if err := g.fetch(ctx, p); err != nil {
				g.log.Warn("cannot fetch the catalogue", zap.Stringer("peer", p.Identity().Process()), recorder.Err(err))
			}
		}
	}
}

func (g *Gateway) fetch(ctx context.Context, p *linker.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := p.Call(ctx, messenger.CatalogueRequest, nil)
	if err != nil {
		return err
	}
	record, err := messenger.DecodeCatalogue(data)
	if err != nil {
		return err
	}
	return g.activateCatalogue(record)
}

// activateCatalogue puts a catalogue into force if its number is higher than that of the
// catalogue in force.
func (g *Gateway) activateCatalogue(record cataloguer.Record) error {
	g.activationMutex.Lock()
	defer g.activationMutex.Unlock()
	if record.Version() <= g.catalogueRecord.Load().Version() {
		return nil
	}
	document, err := record.Document()
	if err != nil {
		return err
	}
	catalogue, err := g.protocol.DecodeCatalogue(document)
	if err != nil {
		return err
	}
	g.prepareHomeRegions(catalogue)
	previous := g.catalogueRecord.Load().Version()
	g.limits.SetWarmupRates(catalogue.WarmupRates(), g.disseminator.Live, time.Now())
	g.catalogue.Store(catalogue)
	g.catalogueRecord.Store(&record)
	g.spender.InvalidateBalances()
	g.log.Info("catalogue in force", zap.Uint64("number", record.Version()), zap.Uint64("previous", previous))
	return nil
}

// minNotifiedPrefill is the shortest prefill (the time in which an engine reads a prompt)
// that the lenders are notified of. A shorter one does not delay other requests.
const minNotifiedPrefill = 60 * time.Millisecond

// notifyPrefill notifies the lenders that a target is busy with the prefill of a long
// prompt. The load reports of the target come too late for routers that place requests
// at the same moment.
func (g *Gateway) notifyPrefill(p *placer.Placement) {
	if p.PrefillTime() < minNotifiedPrefill {
		return
	}
	data, err := messenger.EncodePrefill(messenger.NewPrefill(p.Target().Name(), p.PrefillTime(), p.DelaysStreams()))
	if err != nil {
		g.log.Warn("cannot encode the notification of a long prefill", recorder.Err(err))
		return
	}
	for _, peer := range g.lenderPeers() {
		if err := peer.Notify(messenger.PrefillNotice, data); err != nil {
			g.log.Debug("cannot notify a router of a long prefill", zap.Stringer("peer", peer.Identity().Process()), recorder.Err(err))
		}
	}
}
