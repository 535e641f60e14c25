package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// updatesLink sends updates of the disseminator over the link to a peer.
type updatesLink struct{ peer *linker.Peer }

func (u updatesLink) SendUpdates(data []byte) error { return u.peer.Notify(messenger.Updates, data) }

func (c *Controller) connected(p *linker.Peer) {
	c.disseminator.AddLink(updatesLink{p})
	if p.Identity().Role() == linker.Router {
		c.notifyConfigurationNumber(p)
		c.notifyEvacuationsTo(p)
		c.notifyCatalogue(p)
	}
}

func (c *Controller) disconnected(p *linker.Peer) { c.disseminator.RemoveLink(updatesLink{p}) }

// handle handles a message of a peer.
func (c *Controller) handle(ctx context.Context, from *linker.Peer, kind uint8, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	switch kind {
	case messenger.Replicate:
		message, err := replicator.DecodeMessage(body)
		if err != nil {
			return nil, err
		}
		return nil, c.enqueue(ctx, messageInput{message})
	case messenger.Updates:
		return nil, c.disseminator.Receive(updatesLink{from}, body)
	case messenger.CrashNotice:
		return nil, c.verdicts.ReceiveCrashes(body, time.Now())
	case messenger.PermitCall:
		return c.limits.HandleCall(body, time.Now())
	case messenger.StreamOrigins, messenger.OriginCall:
		return c.handleOrigins(kind, body)
	case messenger.Batch:
		return c.handleBatch(ctx, body)
	case messenger.ConfigurationRequest:
		return c.handleConfigurationRequest(ctx)
	case messenger.CatalogueRequest:
		return c.handleCatalogueRequest(from)
	case messenger.CatalogueSubmission, messenger.ConfirmedCatalogueRequest, messenger.SpendingReport, messenger.EvacuationOrder:
		return c.handleLeaderCall(ctx, from, kind, body)
	case messenger.Join:
		return c.handleJoin(ctx, from.Identity().Process())
	default:
		return nil, errors.Errorf("control VMs have no handler for messages of kind %d", kind)
	}
}

func (c *Controller) handleBatch(ctx context.Context, body []byte) ([]byte, error) {
	if c.status.Load().role != replicator.Leader {
		return c.redirect()
	}
	batch, err := applier.DecodeBatch(body)
	if err != nil {
		return nil, err
	}
	c.routerActivity.recordBatch(batch.Router(), time.Now())
	result, err := c.propose(ctx, batch)
	if errors.Is(err, errNotLeader) {
		return c.redirect()
	}
	if err != nil {
		return nil, err
	}
	encoded, err := applier.EncodeBatchResult(result.(applier.BatchResult))
	if err != nil {
		return nil, err
	}
	return messenger.EncodeResponse(messenger.NewResponse(encoded))
}

// handleConfigurationRequest returns the configuration that a quorum has
// confirmed to be the newest. Without this check a router that can
// reach only an isolated control VM would start with an outdated configuration.
func (c *Controller) handleConfigurationRequest(ctx context.Context) ([]byte, error) {
	var encoded []byte
	err := c.query(ctx, true, func(s *applier.State) {
		encoded = archiver.Encode(s.Archive().Current().Flatten())
	})
	if errors.Is(err, errNotLeader) {
		return c.redirect()
	}
	if err != nil {
		return nil, err
	}
	return messenger.EncodeResponse(messenger.NewResponse(encoded))
}

func (c *Controller) handleJoin(ctx context.Context, joiner identifier.Process) ([]byte, error) {
	err := c.changeMembership(ctx, func(r *replicator.Replica) error { return r.Admit(joiner) })
	if errors.Is(err, errNotLeader) {
		return c.redirect()
	}
	if err != nil {
		c.log.Info("cannot admit member yet", zap.Stringer("member", joiner), recorder.Err(err))
		return nil, err
	}
	if !c.status.Load().membership.Has(joiner) {
		c.log.Info("member asked to join", zap.Stringer("member", joiner))
	}
	return messenger.EncodeResponse(messenger.NewResponse(nil))
}

// redirect returns a response that names the leader known to this member.
func (c *Controller) redirect() ([]byte, error) {
	return messenger.EncodeResponse(messenger.NewRedirect(c.status.Load().leader.VM()))
}

func (c *Controller) sendReplicate(m replicator.Message) {
	peer, ok := c.endpoint.Peer(m.To())
	if !ok {
		return // the replica retransmits
	}
	data, err := replicator.EncodeMessage(m)
	if err == nil {
		_ = peer.Notify(messenger.Replicate, data) // the replica retransmits
	}
}

func (c *Controller) notifyRouters(update messenger.ConfigurationUpdate) {
	data, err := messenger.EncodeConfigurationUpdate(update)
	if err != nil {
		return
	}
	for _, peer := range c.endpoint.Peers() {
		if peer.Identity().Role() == linker.Router {
			_ = peer.Notify(messenger.ConfigurationNotice, data) // repeated by the periodic tasks
		}
	}
}

func (c *Controller) notifyConfigurationNumber(p *linker.Peer) {
	data, err := messenger.EncodeConfigurationUpdate(messenger.NewNumberUpdate(c.configuration.Load().Number()))
	if err == nil {
		_ = p.Notify(messenger.ConfigurationNotice, data) // repeated by the periodic tasks
	}
}
