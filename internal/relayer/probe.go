package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/pathmonitor"
)

// probeTimeout bounds one probe. A connection to a target takes a round trip.
const probeTimeout = pathmonitor.SilenceLimit

// pathLost reports whether the path is lost, after a direct connection has failed.
func (r *Relayer) pathLost(ctx context.Context) bool {
	if r.monitor.MayProbe(time.Now()) {
		r.probe(ctx)
	}
	return r.monitor.Lost()
}

// probe opens connections to a few targets at once and acts on the results. Concurrent calls
// share one round of probes.
func (r *Relayer) probe(ctx context.Context) {
	begun := time.Now()
	r.probing.Lock()
	defer r.probing.Unlock()
	if !r.monitor.Lost() && !r.monitor.MayProbe(time.Now()) || ctx.Err() != nil {
		return // another round has ended since the call
	}
	targets := r.config.Targets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(pathmonitor.ProbeCount, len(targets))]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	results := make(chan bool, len(targets))
	for _, address := range targets {
		p := probe{dial: r.config.Dial, address: address, results: results}
		go p.run(ctx)
	}
	succeeded, failed := 0, 0
	for range targets {
		if <-results {
			succeeded++
		} else {
			failed++
		}
		if succeeded > 0 && !r.monitor.Lost() {
			break // the path works, whatever became of one target
		}
	}
	r.act(r.monitor.RecordProbes(succeeded, failed, time.Now()), succeeded, failed, time.Since(begun))
}

// probe is a connection that is opened only to see whether that is possible.
type probe struct {
	dial    Dialer
	address string
	results chan<- bool
}

func (p probe) run(ctx context.Context) {
	socket, err := p.dial(ctx, p.address)
	if err == nil {
		_ = socket.Close() // nothing was sent
	}
	p.results <- err == nil
}

// act acts on a change of the path.
func (r *Relayer) act(change pathmonitor.Change, succeeded, failed int, took time.Duration) {
	fields := []zap.Field{zap.Int("probesSucceeded", succeeded), zap.Int("probesFailed", failed), zap.Duration("took", took)}
	switch change.(type) {
	case pathmonitor.Unchanged:
	case pathmonitor.Lost:
		r.config.Log.Warn("path to all targets lost", fields...)
		r.beginLoss(time.Now())
		r.config.OnChange(true)
	case pathmonitor.Regained:
		r.config.Log.Info("path to targets regained", fields...)
		r.mutex.Lock()
		r.lost = make(chan struct{})
		r.mutex.Unlock()
		r.config.OnChange(false)
	default:
		panic(errors.Errorf("relayer: unknown change %T", change))
	}
}
