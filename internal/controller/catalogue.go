package controller

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/replicator"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/escrower"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// errNoLeader means that this member knows no leader or has no link to it.
var errNoLeader = errors.New("no leader of the control VMs is known here")

// SubmitCatalogue puts the catalogue into force, unless one with the same or a
// higher number is already in force. It returns the number in force. Every
// control VM serves this call; a follower forwards it to the leader.
func (c *Controller) SubmitCatalogue(ctx context.Context, record cataloguer.Record) (uint64, error) {
	body, err := messenger.EncodeCatalogue(record)
	if err != nil {
		return 0, err
	}
	result, err := c.callLeader(ctx, messenger.CatalogueSubmission, body)
	if err != nil {
		return 0, err
	}
	return messenger.DecodeCatalogueNumber(result)
}

// ConfirmedCatalogue returns the catalogue that a quorum has confirmed to be the
// newest. Every control VM serves this call; a follower forwards it to the
// leader.
func (c *Controller) ConfirmedCatalogue(ctx context.Context) (cataloguer.Record, error) {
	result, err := c.callLeader(ctx, messenger.ConfirmedCatalogueRequest, nil)
	if err != nil {
		return cataloguer.Record{}, err
	}
	return messenger.DecodeCatalogue(result)
}

// callLeader handles the call if this member is the leader, and otherwise
// forwards it to the leader. It returns the body of the response.
func (c *Controller) callLeader(ctx context.Context, kind uint8, body []byte) ([]byte, error) {
	if c.status.Load().role == replicator.Leader {
		return c.handleAsLeader(ctx, kind, body)
	}
	leader := c.status.Load().leader
	if leader.IsZero() {
		return nil, errNoLeader
	}
	peer, ok := c.endpoint.Peer(leader)
	if !ok {
		return nil, errors.Wrapf(errNoLeader, "no link to %s", leader)
	}
	data, err := peer.Call(ctx, kind, body)
	if err != nil {
		return nil, err
	}
	response, err := messenger.DecodeResponse(data)
	if err != nil {
		return nil, err
	}
	if response.Redirected() {
		return nil, errNoLeader
	}
	return response.Body(), nil
}

// handleAsLeader handles a call that only the leader can serve.
func (c *Controller) handleAsLeader(ctx context.Context, kind uint8, body []byte) ([]byte, error) {
	switch kind {
	case messenger.CatalogueSubmission:
		return c.handleSubmission(ctx, body)
	case messenger.EvacuationOrder:
		return c.handleEvacuationOrder(ctx, body)
	case messenger.ConfirmedCatalogueRequest:
		var record cataloguer.Record
		if err := c.query(ctx, true, func(s *applier.State) { record = s.Catalogue() }); err != nil {
			return nil, err
		}
		return messenger.EncodeCatalogue(record)
	case messenger.SpendingReport:
		report, err := escrower.DecodeReport(body)
		if err != nil {
			return nil, err
		}
		result, err := c.propose(ctx, applier.NewReportSpending(report))
		if err != nil {
			return nil, err
		}
		response, err := result.(applier.SpendingResult).Response()
		if err != nil {
			return nil, err
		}
		c.logRetirement(response.Retirement())
		return escrower.EncodeResponse(response)
	default:
		return nil, errors.Errorf("no leader handler for messages of kind %d", kind)
	}
}

// logRetirement logs how the grants of a replaced router process were settled. The
// log field gap is an upper bound on the age of its last acknowledged report when
// it terminated; charged is what was written off, in tokens.
func (c *Controller) logRetirement(r *escrower.Retirement) {
	if r == nil {
		return
	}
	c.log.Info("grants of an ended router settled", zap.Stringer("process", r.Process()), zap.Duration("gap", r.MaxAckAge()),
		zap.Int64("spent", r.Spent()), zap.Int64("charged", r.WrittenOff()),
		zap.Int64("released", r.Released()))
}

func (c *Controller) handleSubmission(ctx context.Context, body []byte) ([]byte, error) {
	record, err := messenger.DecodeCatalogue(body)
	if err != nil {
		return nil, err
	}
	result, err := c.propose(ctx, applier.NewSubmitCatalogue(record))
	if err != nil {
		return nil, err
	}
	outcome := result.(applier.CatalogueResult)
	c.log.Info("catalogue submitted", zap.Uint64("number", record.Version()),
		zap.Bool("changed", outcome.Changed()), zap.Uint64("inForce", outcome.VersionInForce()))
	return messenger.EncodeCatalogueNumber(outcome.VersionInForce())
}

// handleLeaderCall handles a call that only the leader can serve. A follower
// forwards the call of a router to the leader. It redirects the call of a control
// VM, since that call has been forwarded once already.
func (c *Controller) handleLeaderCall(ctx context.Context, from *linker.Peer, kind uint8, body []byte) ([]byte, error) {
	handle := c.callLeader
	if from.Identity().Role() == linker.Control {
		if c.status.Load().role != replicator.Leader {
			return c.redirect()
		}
		handle = c.handleAsLeader
	}
	result, err := handle(ctx, kind, body)
	if errors.Is(err, errNotLeader) || errors.Is(err, errNoLeader) {
		return c.redirect()
	}
	if err != nil {
		return nil, err
	}
	return messenger.EncodeResponse(messenger.NewResponse(result))
}

// logBudgets logs the balance of each token budget, so that a refusal for lack of
// budget can be explained from the log.
func (c *Controller) logBudgets(ctx context.Context) {
	var statements []escrower.Statement
	if err := c.query(ctx, false, func(s *applier.State) { statements = s.Escrow().Statements() }); err != nil {
		return // retried when the periodic tasks run next
	}
	for _, s := range statements {
		c.log.Info("budget", zap.String("organisation", s.Organisation()), zap.Int64("prepaid", s.Prepaid()),
			zap.Int64("spent", s.Spent()), zap.Int64("writtenOff", s.WrittenOff()), zap.Int64("held", s.Held()))
	}
}

// publishCatalogue sends the number of the catalogue to routers if the number has
// changed. It is called only with the catalogue of a state that is known to be
// current, so a member that replays its journal does not publish catalogues that
// have since been replaced.
func (c *Controller) publishCatalogue(record cataloguer.Record) {
	if record.Version() == c.catalogue.Load().Version() {
		return
	}
	c.catalogue.Store(&record)
	c.log.Info("catalogue in force", zap.Uint64("number", record.Version()))
	for _, peer := range c.endpoint.Peers() {
		if peer.Identity().Role() == linker.Router {
			c.notifyCatalogue(peer)
		}
	}
}

func (c *Controller) notifyCatalogue(p *linker.Peer) {
	number := c.catalogue.Load().Version()
	if number == 0 {
		return
	}
	data, err := messenger.EncodeCatalogueNumber(number)
	if err == nil {
		err = p.Notify(messenger.CatalogueNotice, data)
	}
	if err != nil {
		c.log.Debug("cannot notify router of the catalogue", zap.Stringer("router", p.Identity().Process()), recorder.Err(err))
	}
}
