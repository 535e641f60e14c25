package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// resolveOrphanedIntents determines the outcome of requests whose router has
// terminated, and settles those that are no longer running.
func (r *Router) resolveOrphanedIntents(intents []bookkeeper.Intent) {
	if r.tracker.ShuttingDown() {
		return
	}
	r.orphanTasks.Add(1)
	task := &orphanTask{r, intents}
	go task.run()
}

// orphanTask resolves a list of orphaned intents.
type orphanTask struct {
	router  *Router
	intents []bookkeeper.Intent
}

func (t *orphanTask) run() {
	defer t.router.orphanTasks.Done()
	for _, intent := range t.intents {
		t.resolve(intent)
	}
}

// resolve asks each target of the service for its record of the request and
// settles the request by it. If all targets respond and none has a record, the
// request did not run, and will not, because its router has terminated. If no
// target is known, or if a target does not respond and no other has a record,
// the request is charged its whole reservation.
func (t *orphanTask) resolve(intent bookkeeper.Intent) {
	service, ok := t.router.configuration.Load().Service(intent.Service())
	if !ok {
		return
	}
	targets := t.router.selector.Targets(intent.Service())
	notRun := len(targets) > 0 // whether all targets have responded and none has a record
	for _, target := range targets {
		record, err := t.router.forwarder.FetchUsage(context.Background(), target.Address(), intent.Request().String())
		if err != nil {
			notRun = false
			continue
		}
		if record.Known() && !record.Finished() {
			return // still running; control sends the intent again later
		}
		if record.Known() {
			t.settle(intent, bookkeeper.Measured{}, costOf(service, record.Usage()), record.Usage(), target.Name())
			return
		}
	}
	if notRun {
		t.settle(intent, bookkeeper.NotRun{}, 0, pricer.Usage{}, "")
		return
	}
	t.settle(intent, bookkeeper.Estimated{}, intent.Reservation(), pricer.Usage{}, "")
}

func costOf(service archiver.Service, usage pricer.Usage) pricer.Amount {
	if _, plain := service.Kind().(archiver.Plain); plain {
		return service.Price().PerCall()
	}
	cost, err := pricer.Cost(service.Price(), usage)
	if err != nil {
		return 0 // not expected: the cost of measured usage is at most the reservation, which did not overflow
	}
	return cost
}

func (t *orphanTask) settle(intent bookkeeper.Intent, basis bookkeeper.Basis, cost pricer.Amount, usage pricer.Usage, target string) {
	t.router.log.Info("orphaned intent resolved", zap.Stringer("request", intent.Request()), zap.Stringer("basis", basis))
	t.router.committer.Close(applier.NewClosing(bookkeeper.NewSettlement(bookkeeper.SettlementConfig{
		Intent:  intent,
		Amount:  cost,
		Usage:   usage,
		Target:  target,
		Basis:   basis,
		EndedAt: time.Now(),
	}), claimer.Response{}))
}
