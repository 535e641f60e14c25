package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/admitter"
	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/pkg/protocol/classifier"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const storeIntentTimeout = time.Second

// openDisconnected stores the intent of a request on other routers while
// control is unreachable. Requests with an idempotency key are refused, because
// only control knows whether the key is in use.
func (j *job) openDisconnected(ctx context.Context) *admitter.Refusal {
	if !j.admission.IdempotencyKey().IsZero() {
		return admitter.RefuseWith(classifier.MayHaveRun{}, admitter.ControlUnreachable,
			"control cannot be reached to learn whether a request with this Idempotency-Key has run")
	}
	limit := j.admission.Access().Budget().DisconnectedSpendingPeriod()
	if elapsed := time.Since(j.router.committer.LastContact()); elapsed >= limit {
		return admitter.Refuse(admitter.ControlUnreachable,
			"control has not been reached for %s and budget %s may be spent without it for %s",
			elapsed.Round(time.Second), j.account.Name(), limit)
	}
	if err := j.router.storeAtPeers(ctx, j.intent()); err != nil {
		return admitter.Refuse(admitter.ControlUnreachable, "neither control nor enough other routers can be reached: %v", err)
	}
	// The limit is checked again, because this process may have been suspended
	// since the first check.
	if time.Since(j.router.committer.LastContact()) >= limit {
		return admitter.Refuse(admitter.ControlUnreachable, "control has not been reached for too long")
	}
	j.router.committer.AddDisconnectedIntent(j.intent())
	j.opened = true
	j.router.recordEvent("openedCutOff", j, "")
	return nil
}

// storeAtPeers stores the intent on bookkeeper.IntentReplicas other routers.
func (r *Router) storeAtPeers(ctx context.Context, intent bookkeeper.Intent) error {
	data, err := messenger.EncodeIntents([]bookkeeper.Intent{intent})
	if err != nil {
		return err
	}
	stored := 0
	for _, peer := range r.endpoint.Peers() {
		if peer.Identity().Role() != linker.Router {
			continue
		}
		storeCtx, cancel := context.WithTimeout(ctx, storeIntentTimeout)
		_, err := peer.Call(storeCtx, messenger.StoreIntents, data)
		cancel()
		if err == nil {
			stored++
		}
		if stored == bookkeeper.IntentReplicas {
			return nil
		}
	}
	return errors.Errorf("%d of %d routers stored the intent", stored, bookkeeper.IntentReplicas)
}

// storeIntents stores intents for another router.
func (r *Router) storeIntents(body []byte) error {
	if !r.committer.Registered() || r.tracker.ShuttingDown() {
		return errors.New("this router cannot store intents: it is draining or not registered with control")
	}
	intents, err := messenger.DecodeIntents(body)
	if err != nil {
		return err
	}
	return r.storedIntents.Add(intents)
}
