package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/ranker"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// maxWitnesses is how many routers store the ceilings of a router that is
	// disconnected from control. The ceilings remain known unless all of these routers
	// fail before control has queried them.
	maxWitnesses    = 2
	witnessInterval = 200 * time.Millisecond
	witnessTimeout  = 150 * time.Millisecond
)

// errNoWitnessLink means that there is no link to a witness.
var errNoWitnessLink = errors.New("no link to a witness")

// chooseWitnesses returns the routers that are to store the ceilings of this one. It keeps
// the previously chosen routers to which there is still a link, and adds others by
// rendezvous hashing.
func (g *Gateway) chooseWitnesses() []identifier.Process {
	var linked []identifier.Process
	for _, p := range g.lenderPeers() {
		linked = append(linked, p.Identity().Process())
	}
	var chosen []identifier.Process
	for _, process := range g.chosenWitnesses {
		if slices.Contains(linked, process) {
			chosen = append(chosen, process)
		}
	}
	slices.SortFunc(linked, func(a, b identifier.Process) int {
		return int(ranker.Weight(g.process.VM(), a.VM())>>33) - int(ranker.Weight(g.process.VM(), b.VM())>>33)
	})
	for _, process := range linked {
		if len(chosen) < maxWitnesses && !slices.Contains(chosen, process) {
			chosen = append(chosen, process)
		}
	}
	g.chosenWitnesses = chosen
	return chosen
}

// sendPendingCeilings sends the ceilings that the witnesses have yet to confirm while
// control is unresponsive.
func (g *Gateway) sendPendingCeilings(ctx context.Context) {
	ceilings, witnesses := g.spender.PendingCeilings(time.Now())
	if len(ceilings) == 0 {
		return
	}
	if err := g.sendCeilings(ctx, ceilings, witnesses); err != nil {
		g.log.Debug("cannot send the ceilings to the witnesses", recorder.Err(err))
		return
	}
	g.spender.ConfirmCeilings(ceilings, witnesses)
}

// sendCeilings sends the ceilings to the given witnesses. It returns nil if all of
// them have stored the ceilings.
func (g *Gateway) sendCeilings(ctx context.Context, ceilings []escrower.Ceiling, witnesses []identifier.Process) error {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	data, err := escrower.EncodeCeilings(ceilings)
	if err != nil {
		return err
	}
	results := make(chan error, len(witnesses))
	for _, process := range witnesses {
		peer, ok := g.endpoint.Peer(process)
		if !ok {
			return errors.Wrap(errNoWitnessLink, process.String())
		}
		call := witnessCall{peer, data, results}
		go call.run(ctx)
	}
	for range witnesses {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// witnessCall sends the ceilings to one witness.
type witnessCall struct {
	peer   *linker.Peer
	data   []byte
	result chan<- error
}

func (c witnessCall) run(ctx context.Context) {
	_, err := c.peer.Call(ctx, messenger.WitnessRequest, c.data)
	c.result <- err
}

// handleCeilings stores the ceilings that another router has sent to this witness.
func (g *Gateway) handleCeilings(from *linker.Peer, body []byte) error {
	ceilings, err := escrower.DecodeCeilings(body)
	if err != nil {
		return err
	}
	if g.tracker.ShuttingDown() {
		return errors.New("a draining router stores no ceilings")
	}
	g.storedCeilings.Store(from.Identity().Process(), ceilings, time.Now())
	return nil
}

// witnessRecords returns the stored ceilings of the terminated routers that control asks
// about.
func (g *Gateway) witnessRecords() []escrower.WitnessRecord {
	var records []escrower.WitnessRecord
	for _, process := range g.queriedRouters {
		record, known := g.storedCeilings.Record(process, time.Now())
		if !known {
			g.log.Warn("the ceilings of a terminated router have expired: it is charged in full", zap.Stringer("process", process))
			continue
		}
		g.log.Info("sending control the stored ceilings of a terminated router", zap.Stringer("process", process))
		records = append(records, record)
	}
	return records
}
