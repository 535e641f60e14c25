package gateway

import (
	"math"
	"strings"
	"time"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	// relayedConnectionBytes is the most memory that a connection for another router takes (the
	// window of its tunnel, and a message each way with its encoding), and relayMemoryShare the
	// share of the memory of the VM that is set aside for these.
	relayedConnectionBytes = 96 << 10
	relayMemoryShare       = 0.25
	// defaultMaxRelayed applies where the memory of the VM is not known.
	defaultMaxRelayed = 512
)

// newRelayer returns what opens connections to targets.
func (g *Gateway) newRelayer(dial relayer.Dialer) *relayer.Relayer {
	if dial == nil {
		dial = relayer.DialDirect
	}
	maxRelayed := int(relayMemoryShare * float64(g.settings.MemoryLimitBytes()) / relayedConnectionBytes)
	if maxRelayed == 0 {
		maxRelayed = defaultMaxRelayed
	}
	return relayer.New(relayer.Config{
		DataCentre:  g.settings.DataCentre(),
		Dial:        dial,
		Tunneller:   func() relayer.Tunneller { return g.endpoint },
		Targets:     g.reachableAddresses,
		Candidates:  func() []relayselector.Candidate { return *g.relayCandidates.Load() },
		Load:        g.relayLoad,
		Draining:    g.tracker.ShuttingDown,
		MaxRelayed:  maxRelayed,
		WrapCarried: g.byteCounter.WrapConnection,
		OnChange:    g.pathChanged,
		// A pooled connection may pass through a region that must not carry another request.
		ReusesRelayed: func() bool { return !g.hadHomeRegions.Load() },
		Metrics:       g.metrics,
		Log:           g.log,
	})
}

// reachableAddresses returns the addresses of the targets to which this router opens
// connections, also for other routers and to see whether its path to targets is lost.
func (g *Gateway) reachableAddresses() []string {
	now := time.Now()
	return g.placer.Addresses(now, g.inLeaseGrace(now), g.allows())
}

// relayLoad returns how busy this router is, where 1 is full. One that diverts new connections
// of its own callers takes none of other routers.
func (g *Gateway) relayLoad() float64 {
	if g.diverting.Load() {
		return 1
	}
	return math.Float64frombits(g.linkUtilisation.Load())
}

// pathChanged is called when this router has lost the path to targets, or has it back. Idle
// connections belong to the former path.
func (g *Gateway) pathChanged(lost bool) {
	g.exchanger.CloseAllIdle()
	if lost {
		g.announceLostPath()
	}
}

// announceLostPath tells other routers not to choose this one as a relay.
func (g *Gateway) announceLostPath() {
	if err := g.publish(relayer.Announcement(g.process, time.Now())); err != nil {
		g.log.Warn("cannot announce that the path to targets is lost", recorder.Err(err))
	}
}

// updateRelayCandidates determines which of the routers may relay for this one.
func (g *Gateway) updateRelayCandidates(routers []disseminator.Entry) {
	var candidates []relayselector.Candidate
	for _, e := range routers {
		vm := strings.TrimPrefix(e.Key(), messenger.GatewayAddressPrefix)
		if vm == g.process.VM() || relayer.HasLost(vm, g.disseminator.Get) {
			continue
		}
		candidates = append(candidates, relayselector.NewCandidate(vm, string(e.Value()), string(e.Load())))
	}
	g.relayCandidates.Store(&candidates)
}
