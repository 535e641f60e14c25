// Package repeater calls a function periodically until a context is cancelled.
package repeater

import (
	"context"
	"time"
)

// Config configures a Repeater.
type Config struct {
	// Interval is the time between two steps. It must be positive. Required.
	Interval time.Duration
	// Step is the function to call. It receives the context passed to Run.
	// Required.
	Step func(ctx context.Context)
	// AtStart runs the first step immediately rather than after one interval.
	AtStart bool
}

// Repeater calls a step function periodically. Two steps never run
// concurrently.
type Repeater struct {
	config Config
	wake   chan struct{}
}

// New returns a repeater. Run starts it.
func New(c Config) *Repeater {
	return &Repeater{config: c, wake: make(chan struct{}, 1)}
}

// Trigger makes the next step run immediately, or directly after the current
// step if one is running. It does not block. Calls made before that step starts
// are coalesced into one step.
func (r *Repeater) Trigger() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run calls the step function until the context is cancelled.
func (r *Repeater) Run(ctx context.Context) {
	ticker := time.NewTicker(r.config.Interval)
	defer ticker.Stop()
	if r.config.AtStart {
		r.config.Step(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
		r.config.Step(ctx)
	}
}
