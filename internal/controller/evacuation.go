package controller

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/evacuator"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// Evacuate carries out an operator's order and returns the evacuated data centres
// afterwards. Every control VM serves this call; a follower forwards it to the leader.
func (c *Controller) Evacuate(ctx context.Context, order evacuator.Order) (evacuator.Set, error) {
	if !slices.Contains(c.settings.DataCentres(), order.DataCentre()) {
		return evacuator.Set{}, errors.Wrapf(evacuator.ErrUnknownDataCentre, "%q", order.DataCentre())
	}
	body, err := messenger.EncodeEvacuationOrder(order)
	if err != nil {
		return evacuator.Set{}, err
	}
	result, err := c.callLeader(ctx, messenger.EvacuationOrder, body)
	if err != nil {
		return evacuator.Set{}, err
	}
	return messenger.DecodeEvacuations(result)
}

// handleEvacuationOrder handles an order on the leader.
func (c *Controller) handleEvacuationOrder(ctx context.Context, body []byte) ([]byte, error) {
	order, err := messenger.DecodeEvacuationOrder(body)
	if err != nil {
		return nil, err
	}
	result, err := c.propose(ctx, applier.NewEvacuate(order))
	if err != nil {
		return nil, err
	}
	outcome := result.(applier.EvacuationResult)
	_, finish := order.(evacuator.Finish)
	c.log.Info("evacuation ordered", zap.String("evacuatedDataCentre", order.DataCentre()), zap.Bool("finish", finish),
		zap.Bool("changed", outcome.Changed()), zap.Uint64("revision", outcome.InForce().Revision()))
	return messenger.EncodeEvacuations(outcome.InForce())
}

// publishEvacuations sends the evacuated data centres to routers if they have changed. Like
// publishCatalogue it is called only with those of a state that is known to be current.
func (c *Controller) publishEvacuations(set evacuator.Set) {
	if set.Revision() == c.evacuations.Load().Revision() {
		return
	}
	c.evacuations.Store(&set)
	metrics.GetOrRegisterGauge("evacuatedDataCentres", c.metrics).Update(int64(len(set.DataCentres())))
	c.log.Info("evacuated data centres changed", zap.Strings("evacuated", set.DataCentres()), zap.Uint64("revision", set.Revision()))
	c.notifyEvacuations()
}

// notifyEvacuations sends the evacuated data centres to all connected routers.
func (c *Controller) notifyEvacuations() {
	for _, peer := range c.endpoint.Peers() {
		c.notifyEvacuationsTo(peer)
	}
}

// notifyEvacuationsTo sends the evacuated data centres to a router, unless no order was ever
// given.
func (c *Controller) notifyEvacuationsTo(p *linker.Peer) {
	set := *c.evacuations.Load()
	if set.Revision() == 0 || p.Identity().Role() != linker.Router {
		return
	}
	data, err := messenger.EncodeEvacuations(set)
	if err == nil {
		err = p.Notify(messenger.EvacuationNotice, data)
	}
	if err != nil { // repeated by the periodic tasks
		c.log.Debug("cannot notify router of the evacuated data centres", zap.Stringer("router", p.Identity().Process()), recorder.Err(err))
	}
}

// handleCatalogueRequest returns the newest catalogue known here. A router that has just
// started takes requests once it has a catalogue, so the evacuated data centres of the same
// state, or a later one, are sent before it over the same link.
func (c *Controller) handleCatalogueRequest(from *linker.Peer) ([]byte, error) {
	record := *c.catalogue.Load()
	c.notifyEvacuationsTo(from)
	return messenger.EncodeCatalogue(record)
}
