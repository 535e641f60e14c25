package router

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/coordination/repeater"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	presencePrefix     = "router/"
	presenceInterval   = 5 * time.Second
	presenceLease      = 20 * time.Second
	linksPerDataCentre = 2 // routers to which links are kept in each data centre
	membershipInterval = time.Second
)

// jsonPresence is the value of the entry with which a router announces itself
// to the fleet.
type jsonPresence struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Draining   bool   `json:"draining"`
}

// runMembership announces this router periodically and keeps links to all
// control VMs and to a few routers in each data centre.
func (r *Router) runMembership(ctx context.Context) {
	var announcedAt time.Time
	repeater.New(repeater.Config{Interval: membershipInterval, AtStart: true, Step: func(context.Context) {
		if time.Since(announcedAt) >= presenceInterval {
			r.announceSelf()
			announcedAt = time.Now()
		}
		if r.relays.Lost() {
			r.announceLostPath()
		}
		r.endpoint.SetDialAddresses(append(slices.Clone(r.settings.ControlAddresses()), r.peerAddresses()...))
	}}).Run(ctx)
}

func (r *Router) announceSelf() {
	value, err := json.Marshal(jsonPresence{r.settings.AdvertisedAddress(), r.settings.DataCentre(), r.tracker.ShuttingDown()})
	if err != nil {
		return // encoding strings and a boolean cannot fail
	}
	_ = r.disseminator.Put(disseminator.NewEntry(disseminator.EntryConfig{
		Key:       presencePrefix + r.process.VM(),
		Version:   disseminator.NewVersion(r.process.Incarnation(), uint64(time.Now().UnixNano())),
		Value:     value,
		ExpiresAt: time.Now().Add(presenceLease),
	})) // the next interval announces again
}

// peerAddresses chooses the routers to keep links to by rendezvous hashing
// (Thaler and Ravishankar, 1998), which spreads the links evenly and changes
// few of them when routers join or leave. It also stores the number of routers and those that
// may relay.
func (r *Router) peerAddresses() []string {
	type candidate struct {
		address string
		weight  uint64
	}
	byDataCentre := map[string][]candidate{}
	var relays []relayselector.Candidate
	serving := int64(1)
	entries := r.disseminator.Live()
	r.controlVMs.Update(entries)
	for _, e := range entries {
		vm, ok := strings.CutPrefix(e.Key(), presencePrefix)
		if !ok || vm == r.process.VM() {
			continue
		}
		var presence jsonPresence
		if err := json.Unmarshal(e.Value(), &presence); err != nil {
			continue
		}
		if !presence.Draining {
			serving++
		}
		if !presence.Draining && !relayer.HasLost(vm, r.disseminator.Get) {
			relays = append(relays, relayselector.NewCandidate(vm, presence.Address, presence.DataCentre))
		}
		byDataCentre[presence.DataCentre] = append(byDataCentre[presence.DataCentre],
			candidate{presence.Address, rendezvousWeight(r.process.VM(), vm)})
	}
	r.routerCount.Store(serving)
	r.relayCandidates.Store(&relays)
	var addresses []string
	for _, candidates := range byDataCentre {
		slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
		for _, c := range candidates[:min(len(candidates), linksPerDataCentre)] {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// rendezvousWeight returns the weight of the pair for rendezvous hashing. It is
// the same at both routers.
func rendezvousWeight(a, b string) uint64 {
	digest := xxhash.New()
	for _, name := range []string{min(a, b), max(a, b)} {
		_, _ = digest.WriteString(name)                                               // never fails, as documented by hash.Hash
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(name)))) // as above
	}
	return digest.Sum64()
}

// handleEntries applies entries that the disseminator has received.
func (r *Router) handleEntries(entries []disseminator.Entry) {
	r.selector.Apply(entries)
	r.failures.apply(entries)
	now := time.Now()
	r.limits.Apply(entries, now)
	r.departures.Apply(entries, now)
}

// handle handles a message from a peer.
func (r *Router) handle(_ context.Context, from *linker.Peer, kind uint8, body []byte) ([]byte, error) {
	switch kind {
	case messenger.Updates:
		return nil, r.disseminator.Receive(updatesLink{from}, body)
	case messenger.ConfigurationNotice:
		return nil, r.handleConfigurationUpdate(body)
	case messenger.Recall:
		recall, err := messenger.DecodeGrantRecall(body)
		if err != nil {
			return nil, err
		}
		r.allotter.Account(recall.Account()).Recall(recall.Keep())
		r.committer.ReportDemand()
		return nil, nil
	case messenger.StoreIntents:
		return nil, r.storeIntents(body)
	case messenger.Sweep:
		retired, err := messenger.DecodeProcesses(body)
		if err != nil {
			return nil, err
		}
		r.committer.Sweep(retired)
		return nil, nil
	case messenger.OrphanedIntents:
		intents, err := messenger.DecodeIntents(body)
		if err != nil {
			return nil, err
		}
		r.resolveOrphanedIntents(intents)
		return nil, nil
	default:
		return nil, errors.Errorf("a router does not handle messages of kind %d", kind)
	}
}
