package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// storeTimeout is how long another process may take to confirm an entry. Targets wait a second
	// for a response before they ask another control VM.
	storeTimeout = 600 * time.Millisecond
	// storePeers is how many control VMs, and how many routers, are asked to store an entry.
	storePeers = 3
)

// errNotStored means that no other process has confirmed an entry.
var errNotStored = errors.New("no other process has confirmed this: ask another control VM")

// confirmation is one process that is asked to store entries.
type confirmation struct {
	peer    *linker.Peer
	updates []byte
	result  chan<- error
}

func (f confirmation) run(ctx context.Context) {
	_, err := f.peer.Call(ctx, messenger.Updates, f.updates)
	f.result <- err
}

// storeElsewhere stores the entry at another control VM or a router, so that it outlives this
// process and the links that it has now. It succeeds with the first that confirms. A control VM
// that is alone in the fleet stores it nowhere.
func (c *Controller) storeElsewhere(ctx context.Context, e disseminator.Entry) error {
	peers := c.confirmingPeers()
	if len(peers) == 0 && len(c.status.Load().membership.Voters()) <= 1 {
		return nil
	}
	updates, err := disseminator.EncodeUpdates([]disseminator.Update{disseminator.NewUpdate(e)}, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go confirmation{peer, updates, results}.run(ctx)
	}
	for range peers {
		if err := <-results; err == nil {
			return nil
		}
	}
	return errNotStored
}

// confirmingPeers returns up to storePeers control VMs and as many routers.
func (c *Controller) confirmingPeers() []*linker.Peer {
	var peers []*linker.Peer
	asked := map[linker.Role]int{}
	for _, peer := range c.endpoint.Peers() {
		role := peer.Identity().Role()
		if asked[role] < storePeers {
			peers = append(peers, peer)
			asked[role]++
		}
	}
	return peers
}
