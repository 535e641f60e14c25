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
	configurationTimeout = 2 * time.Second
	configurationRetry   = 200 * time.Millisecond
)

// runConfiguration gets a configuration that a quorum has confirmed, before
// which the router serves nobody, and again whenever news did not fit.
func (r *Router) runConfiguration(ctx context.Context) {
	r.refreshConfiguration()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.refresh:
		}
		if err := r.fetchConfiguration(ctx); err != nil {
			r.log.Debug("configuration not fetched", recorder.Err(err))
			select {
			case <-time.After(configurationRetry):
			case <-ctx.Done():
				return
			}
			r.refreshConfiguration()
		}
	}
}

func (r *Router) refreshConfiguration() {
	select {
	case r.refresh <- struct{}{}:
	default:
	}
}

// fetchConfiguration asks the control VMs for a configuration that a quorum has
// confirmed. A router that is cut off keeps what it has.
func (r *Router) fetchConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	leaderVM := ""
	for range 4 {
		data, err := r.CallControl(ctx, leaderVM, messenger.ConfigurationRequest, nil)
		if err != nil {
			return err
		}
		answer, err := messenger.DecodeAnswer(data)
		if err != nil {
			return err
		}
		if answer.Redirected() {
			leaderVM = answer.LeaderVM()
			continue
		}
		ticket, err := archiver.DecodeFlattened(answer.Body())
		if err != nil {
			return err
		}
		r.adopt(archiver.Configuration{}.With(ticket))
		r.confirmOnce.Do(func() { close(r.confirmed) })
		return nil
	}
	return errors.New("no control VM knows a leader")
}

// adopt puts the configuration into force if it is newer. It never goes back.
func (r *Router) adopt(c archiver.Configuration) {
	r.configMutex.Lock()
	defer r.configMutex.Unlock()
	if c.Number() <= r.configuration.Load().Number() {
		return
	}
	r.configuration.Store(&c)
	r.log.Info("configuration in force", zap.Uint64("ticket", c.Number()))
	r.timeline.Record(recorder.EventConfig{Name: "ticketInForce"})
}

// handleNews puts the ticket on top of the configuration if it fits, and asks
// for the whole configuration otherwise.
func (r *Router) handleNews(body []byte) error {
	news, err := messenger.DecodeNews(body)
	if err != nil {
		return err
	}
	current := r.configuration.Load()
	if news.Number() <= current.Number() || !r.isConfirmed() {
		return nil
	}
	ticket, ok := news.Ticket()
	if !ok || news.Previous() != current.Number() {
		r.refreshConfiguration()
		return nil
	}
	r.adopt(current.With(ticket))
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
