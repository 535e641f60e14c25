package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/spender"
	"radishshed.example/radishshed/pkg/state/escrower"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	reportCheckInterval = 50 * time.Millisecond
	reportTimeout       = 700 * time.Millisecond
)

// reportIfDue sends a spending report to control if one is due.
func (g *Gateway) reportIfDue(ctx context.Context) {
	if !g.spender.ReportDue(time.Now()) {
		return
	}
	if err := g.report(ctx, false); err != nil {
		g.log.Debug("cannot report spending to control", recorder.Err(err))
	}
}

// triggerReport triggers the next report to control, and the next message to the
// witnesses, immediately.
func (g *Gateway) triggerReport() {
	g.reportRepeater.Trigger()
	g.ceilingRepeater.Trigger()
}

// report sends a spending report to control and applies the grants in the response.
func (g *Gateway) report(ctx context.Context, final bool) error {
	g.reportMutex.Lock()
	defer g.reportMutex.Unlock()
	peers := g.controlPeers()
	if len(peers) == 0 {
		return errNoControl
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := g.clock.Now()
	data, err := escrower.EncodeReport(g.spender.Report(spender.ReportConfig{
		Now: sentAt, Final: final, Witnesses: g.chooseWitnesses(), WitnessRecords: g.witnessRecords(), Lender: g.isLender.Load(),
	}))
	if err != nil {
		return err
	}
	peer := g.reportPeer(peers)
	data, err = peer.Call(ctx, messenger.SpendingReport, data)
	if err != nil {
		g.lastReportPeer.Store(nil)
		return err
	}
	response, err := messenger.DecodeResponse(data)
	if err != nil {
		return err
	}
	if response.Redirected() {
		g.lastReportPeer.Store(nil)
		return errors.Errorf("%s does not know the leader", peer.Identity().Process())
	}
	g.lastReportPeer.Store(peer)
	grants, err := escrower.DecodeResponse(response.Body())
	if err != nil {
		return err
	}
	g.spender.HandleResponse(grants, sentAt, g.clock.Now())
	g.queriedRouters = grants.QueriedRouters()
	return nil
}

// reportPeer returns the control VM that responded to the last report, or a random
// one. Control VMs other than the leader forward reports to it.
func (g *Gateway) reportPeer(peers []*linker.Peer) *linker.Peer {
	if last := g.lastReportPeer.Load(); last != nil && slices.Contains(peers, last) {
		return last
	}
	return peers[rand.IntN(len(peers))]
}
