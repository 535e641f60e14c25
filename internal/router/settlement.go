package router

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// withdraw releases the reservation and the intent of a request that has not
// run.
func (j *job) withdraw() {
	if j.reserved {
		j.account.Settle(j.admission.MaxCost(), 0)
		j.reserved = false
	}
	if !j.submitted {
		j.router.committer.Withdraw(j.request)
		return
	}
	j.commitSettlement(bookkeeper.NotRun{}, pricer.Usage{}, 0, "", claimer.Response{})
}

// settleWithoutResponse settles a request whose response was lost, according to
// the target's record of the request if there is one, and according to an
// estimate otherwise.
func (j *job) settleWithoutResponse(ctx context.Context, target *selector.Target) {
	record, err := j.router.forwarder.FetchUsage(ctx, target.Address(), j.request.String())
	if err == nil && record.Known() {
		j.settle(bookkeeper.Measured{}, record.Usage(), target.Name(), claimer.Response{})
		return
	}
	usage, _ := pricer.NewUsage(int64(len(j.admission.Body())), 0) // a length is never negative
	j.settle(bookkeeper.Estimated{}, usage, target.Name(), claimer.Response{})
}

// settle settles the request with the cost of the usage.
func (j *job) settle(basis bookkeeper.Basis, usage pricer.Usage, target string, response claimer.Response) {
	cost, err := j.cost(usage)
	if err != nil {
		cost = j.admission.MaxCost()
	}
	if cost > j.admission.MaxCost() {
		j.router.log.Warn("cost of a request exceeds its reservation; charging the reservation",
			zap.Stringer("request", j.request), zap.Int64("cost", int64(cost)), zap.Int64("reserve", int64(j.admission.MaxCost())))
		cost = j.admission.MaxCost()
	}
	j.account.Settle(j.admission.MaxCost(), cost)
	j.reserved = false
	j.commitSettlement(basis, usage, cost, target, response)
	j.router.recordEvent("settled", j, strconv.FormatInt(int64(cost), 10)+" microcredits at "+target)
}

func (j *job) cost(usage pricer.Usage) (pricer.Amount, error) {
	if _, plain := j.admission.Service().Kind().(archiver.Plain); plain {
		return j.admission.Service().Price().PerCall(), nil
	}
	return pricer.Cost(j.admission.Service().Price(), usage)
}

// commitSettlement sends the settlement of the request to control, with the
// response to store under its idempotency key.
func (j *job) commitSettlement(basis bookkeeper.Basis, usage pricer.Usage, cost pricer.Amount, target string, response claimer.Response) {
	j.router.committer.Close(applier.NewClosing(bookkeeper.NewSettlement(bookkeeper.SettlementConfig{
		Intent:  j.intent(),
		Amount:  cost,
		Usage:   usage,
		Target:  target,
		Basis:   basis,
		EndedAt: time.Now(),
	}), response))
}
