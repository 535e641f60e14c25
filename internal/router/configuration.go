package router

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/state/archiver"
)

const (
	configurationFetchTimeout  = 2 * time.Second
	configurationRetryInterval = 200 * time.Millisecond
)

// runConfiguration fetches a configuration that a quorum has confirmed, without
// which the router admits no request. It fetches the configuration again
// whenever an update cannot be applied to the current one.
func (r *Router) runConfiguration(ctx context.Context) {
	r.requestFetch()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.refreshRequests:
		}
		if err := r.fetchConfiguration(ctx); err != nil {
			r.log.Debug("cannot fetch the configuration", recorder.Err(err))
			select {
			case <-time.After(configurationRetryInterval):
			case <-ctx.Done():
				return
			}
			r.requestFetch()
		}
	}
}

// requestFetch makes runConfiguration fetch the configuration. It does not
// block.
func (r *Router) requestFetch() {
	select {
	case r.refreshRequests <- struct{}{}:
	default:
	}
}

// fetchConfiguration requests a configuration that a quorum has confirmed from
// the control VMs. A router that is disconnected from control keeps its current
// configuration.
func (r *Router) fetchConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configurationFetchTimeout)
	defer cancel()
	leaderVM := ""
	for range 4 {
		data, err := r.CallControl(ctx, leaderVM, messenger.ConfigurationRequest, nil)
		if err != nil {
			return err
		}
		response, err := messenger.DecodeResponse(data)
		if err != nil {
			return err
		}
		if response.Redirected() {
			leaderVM = response.LeaderVM()
			continue
		}
		ticket, err := archiver.DecodeFlattened(response.Body())
		if err != nil {
			return err
		}
		r.activate(archiver.Configuration{}.With(ticket))
		r.confirmOnce.Do(func() { close(r.confirmed) })
		return nil
	}
	return errors.New("found no control leader after 4 redirects")
}

// activate makes the configuration current if it is newer than the current one.
func (r *Router) activate(c archiver.Configuration) {
	r.configMutex.Lock()
	defer r.configMutex.Unlock()
	if c.Number() <= r.configuration.Load().Number() {
		return
	}
	r.configuration.Store(&c)
	r.log.Info("configuration in force", zap.Uint64("ticket", c.Number()))
	r.timeline.Record(recorder.EventFields{Name: "ticketInForce"})
}

// handleConfigurationUpdate applies the ticket to the configuration if it
// follows the current one directly, and requests the whole configuration
// otherwise.
func (r *Router) handleConfigurationUpdate(body []byte) error {
	update, err := messenger.DecodeConfigurationUpdate(body)
	if err != nil {
		return err
	}
	current := r.configuration.Load()
	if update.Number() <= current.Number() || !r.isConfirmed() {
		return nil
	}
	ticket, ok := update.Ticket()
	if !ok || update.Previous() != current.Number() {
		r.requestFetch()
		return nil
	}
	r.activate(current.With(ticket))
	return nil
}

func (r *Router) isConfirmed() bool {
	select {
	case <-r.confirmed:
		return true
	default:
		return false
	}
}
