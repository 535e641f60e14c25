package placer

import (
	"time"

	"radishshed.example/radishshed/internal/estimator"
	"radishshed.example/radishshed/internal/selector"
)

// Placement is the use of a target for one request. The caller must call
// Finish.
type Placement struct {
	placer   *Placer
	target   *target
	chosenAt time.Time
	homeRank int
	// prefillTime is the estimated duration of the prefill on the target, and
	// prefillDoneAt its estimated end without the target's corrections.
	prefillTime   time.Duration
	prefillDoneAt time.Time
	// firstEventAt is when the first event is expected.
	firstEventAt time.Time
	speed        *estimator.Estimator // of the engines of the service
	reference    time.Duration        // duration of the prefill on the reference engine
	startsAtOnce bool                 // whether no request was known to wait on the target

	// formerPrefixAt is when the shared prefix was last sent to the target before, or zero,
	// and formerDelayUntil is the target's streamsDelayedUntil before.
	formerPrefixAt   time.Time
	formerDelayUntil time.Time
	prefix           uint64 // the shared prefix, if homeRank is not -1

	awaitsFirstEvent bool // whether no event has arrived yet
	delaysStreams    bool // whether the prefill delays other streams
	finished         bool
}

// Target returns the announcement of the chosen target.
func (p *Placement) Target() selector.Announcement { return p.target.announcement }

// ExpectedFirstEvent returns the estimated time from the choice of the target to the
// first event.
func (p *Placement) ExpectedFirstEvent() time.Duration { return p.firstEventAt.Sub(p.chosenAt) }

// expectedPrefillEnd returns the estimated end of the prefill, with all corrections since
// the target was chosen.
func (p *Placement) expectedPrefillEnd() time.Time { return p.prefillDoneAt.Add(p.target.corrections) }

// PrefillTime returns the estimated duration of the prefill on the target.
func (p *Placement) PrefillTime() time.Duration { return p.prefillTime }

// DelaysStreams reports whether the prefill delays the streams that run on the
// target.
func (p *Placement) DelaysStreams() bool { return p.delaysStreams }

// HomeRank returns the rank of the target in the rendezvous order of the
// request, from zero, or -1 for requests without shared segments.
func (p *Placement) HomeRank() int { return p.homeRank }

// RecordLoad records the load that the target has reported with its response.
func (p *Placement) RecordLoad(l Load, now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	p.target.recordLoad(l, now)
}

// RecordPause records that the target wants nothing from this router until a moment.
func (p *Placement) RecordPause(until, now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	p.target.pause(until, now)
}

// RecordFirstEvent records that the response has begun.
func (p *Placement) RecordFirstEvent(now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	if !p.awaitsFirstEvent {
		return
	}
	p.awaitsFirstEvent = false
	t := p.target
	p.observeSpeed(now.Sub(p.chosenAt))
	delay := max(0, float64(now.Sub(p.expectedPrefillEnd()).Milliseconds()))
	t.correctEstimate(p.expectedPrefillEnd(), now)
	const newWeight = 0.5
	t.firstEventDelayMs = (1-newWeight)*t.firstEventDelayMs*decay(now.Sub(t.firstEventAt), loadDecayTime) + newWeight*delay
	t.firstEventAt = now
	t.backoff = 0
}

// Outcome is how the use of a target ended. The interface is sealed: its only
// implementations are Served, Failed, Rejected, Paused, Unreachable and Abandoned.
type Outcome interface{ isOutcome() }

// Served means that the target sent its whole response.
type Served struct{}

// Failed means that the response was interrupted or had a server error status.
type Failed struct{}

// Rejected means that the target refused the request without running it.
type Rejected struct{}

// Paused means that the target refused the request without running it, and has named a time
// for which it wants nothing (RecordPause). That is no failure.
type Paused struct{}

// Unreachable means that no connection to the target could be opened.
type Unreachable struct{}

// Abandoned means that the caller disconnected or the deadline passed.
type Abandoned struct{}

func (Served) isOutcome()      {}
func (Failed) isOutcome()      {}
func (Rejected) isOutcome()    {}
func (Paused) isOutcome()      {}
func (Unreachable) isOutcome() {}
func (Abandoned) isOutcome()   {}

// Cancel undoes the choice of the target, as if it had not been made. Nothing may have been
// sent. A later call of Finish has no effect.
func (p *Placement) Cancel() {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	p.awaitsFirstEvent = false
	t := p.target
	t.open--
	t.dequeuePrefill(p.prefillTime)
	if p.delaysStreams {
		t.streamsDelayedUntil = p.formerDelayUntil
	}
	switch {
	case p.homeRank < 0:
	case p.formerPrefixAt.IsZero():
		delete(t.sentPrefixes, p.prefix)
	default:
		t.sentPrefixes[p.prefix] = p.formerPrefixAt
	}
}

// Finish ends the use of the target. Further calls have no effect.
func (p *Placement) Finish(o Outcome, now time.Time) {
	p.placer.mutex.Lock()
	defer p.placer.mutex.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	t := p.target
	if p.awaitsFirstEvent && now.Before(p.expectedPrefillEnd()) {
		t.dequeuePrefill(p.prefillTime)
	}
	p.awaitsFirstEvent = false
	t.open--
	switch o.(type) {
	case Served:
		t.backoff = 0
	case Failed:
		t.recordFailure(now)
	case Rejected:
		t.recordFailure(now)
	case Unreachable:
		t.recordFailure(now)
		t.backOff(now)
	case Paused, Abandoned:
	}
}
