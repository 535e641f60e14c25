package controller

import (
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
)

// applied runs in the replication goroutine after each applied command and after
// the installation of a snapshot. After a snapshot, command and result are nil.
// The argument own reports whether this member proposed the command.
func (c *Controller) applied(state *applier.State, command applier.Command, result applier.Result, own bool) {
	switch r := result.(type) {
	case nil:
		c.publishConfiguration(state)
	case applier.TicketResult:
		if _, ok := r.Outcome().(archiver.Accepted); ok {
			c.publishTicket(state)
		}
	case applier.BatchResult:
		if batch, ok := command.(applier.Batch); ok && own {
			for _, draw := range batch.Draws() {
				c.recallGrants(state, draw.Account())
			}
		}
	}
	if lower, ok := command.(applier.BeginLowering); ok && own {
		c.recallGrants(state, lower.Account())
	}
}

// publishState publishes what routers need to know of a state that is known to be current.
// The evacuations precede the catalogue (see handleCatalogueRequest).
func (c *Controller) publishState(state *applier.State) {
	c.publishEvacuations(state.Evacuations())
	c.publishCatalogue(state.Catalogue())
}

// publishConfiguration makes the current configuration of the state visible to
// other goroutines.
func (c *Controller) publishConfiguration(state *applier.State) {
	current := state.Archive().Current()
	c.configuration.Store(&current)
}

// publishTicket publishes the configuration after a ticket was accepted and sends
// the ticket to the connected routers.
func (c *Controller) publishTicket(state *applier.State) {
	previous := c.configuration.Load().Number()
	c.publishConfiguration(state)
	current := c.configuration.Load()
	ticket, ok := state.Archive().Ticket(current.Number())
	if !ok {
		return
	}
	c.log.Info("ticket in force", zap.Uint64("number", ticket.Number()))
	c.timeline.Record(recorder.EventFields{Name: "ticketInForce", Detail: ticket.Comment()})
	c.notifyRouters(messenger.NewTicketUpdate(previous, ticket))
}

// recallGrants asks routers with grants of the account to return part of them if
// another router needs more than the account has left.
func (c *Controller) recallGrants(state *applier.State, account string) {
	if !state.Ledger().NeedsRecall(account) || !c.routerActivity.allowRecall(account, time.Now()) {
		return
	}
	for _, process := range state.Ledger().RoutersWithUnspent(account) {
		peer, connected := c.endpoint.Peer(process)
		keep, ok := state.Ledger().MaxUnspent(process, account)
		if !connected || !ok {
			continue
		}
		data, err := messenger.EncodeGrantRecall(messenger.NewGrantRecall(account, keep))
		if err == nil {
			_ = peer.Notify(messenger.Recall, data) // sent again while demand is unmet
		}
	}
}
