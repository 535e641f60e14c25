package placer

import (
	"math"
	"time"

	"radishshed.example/radishshed/internal/selector"
)

const (
	// reportSpan is how quickly a report of a target's load loses its weight.
	reportSpan = 1500 * time.Millisecond
	// faultSpan is how quickly failures of a target are forgotten.
	faultSpan      = 3 * time.Second
	leastFaultRate = 0.02
	// keptTime is for how long an engine surely keeps a part that was used.
	keptTime = 8 * time.Second
	// maxSentParts bounds what is remembered of a target.
	maxSentParts = 2048
	// maxCorrection bounds what one answer can change in the estimate of a queue.
	maxCorrection = 500 * time.Millisecond
	// minAvoidance and maxAvoidance bound for how long a target that could not be
	// reached gets no work while others can take it.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

// Load is how busy a target says it is.
type Load struct {
	running int64
	waiting int64
	slots   int64
}

// NewLoad returns the load of a target with so many requests that run and wait,
// and so many slots.
func NewLoad(running, waiting, slots int64) Load { return Load{running, waiting, slots} }

// target is what a router knows of a target.
type target struct {
	announcement selector.Announcement
	leaving      bool
	expiresAt    time.Time

	open int64 // requests of this router that are open
	// busyUntil is until when the target reads the prompts that it is known to
	// have been sent by this router and by others.
	busyUntil time.Time
	// heldUpUntil is until when the streams that run there are held up by a long
	// prompt.
	heldUpUntil time.Time
	// sentParts is when this router last sent a request with shared parts there.
	sentParts map[uint64]time.Time

	// others is the load by other routers as of the newest report.
	others     int64
	waiting    int64
	reportedAt time.Time

	faults       float64 // decaying count of failures
	faultsAt     time.Time
	avoidUntil   time.Time
	avoidance    time.Duration
	firstEventMs float64 // average of the time to the first event
	firstAt      time.Time
}

func (t *target) usable(now time.Time, stalled bool) bool {
	return !t.leaving && (stalled || now.Before(t.expiresAt))
}

func (t *target) report(l Load, now time.Time) {
	t.others = max(0, l.running+l.waiting-t.open)
	t.waiting = l.waiting
	t.reportedAt = now
}

// load estimates how many requests the target has.
func (t *target) load(now time.Time) float64 {
	return float64(t.open) + float64(t.others)*decay(now.Sub(t.reportedAt), reportSpan)
}

// faultRate is the decaying count of failures. What is left of old ones is nothing,
// so that the target is tried again.
func (t *target) faultRate(now time.Time) float64 {
	rate := t.faults * decay(now.Sub(t.faultsAt), faultSpan)
	if rate < leastFaultRate {
		return 0
	}
	return rate
}

func (t *target) fault(now time.Time) {
	t.faults = t.faultRate(now) + 1
	t.faultsAt = now
}

// avoid keeps work away from a target that could not be reached.
func (t *target) avoid(now time.Time) {
	t.avoidance = min(max(2*t.avoidance, minAvoidance), maxAvoidance)
	t.avoidUntil = now.Add(t.avoidance)
}

// queue adds the reading of a prompt and returns when it will have been read.
func (t *target) queue(reading time.Duration, now time.Time) time.Time {
	if t.busyUntil.Before(now) {
		t.busyUntil = now
	}
	t.busyUntil = t.busyUntil.Add(reading)
	return t.busyUntil
}

// keeps reports whether this router has sent the shared parts there so recently
// that the target keeps them.
func (t *target) keeps(key uint64, now time.Time) bool {
	sentAt, ok := t.sentParts[key]
	return ok && now.Sub(sentAt) < keptTime
}

func (t *target) noteParts(key uint64, now time.Time) {
	if t.sentParts == nil {
		t.sentParts = map[uint64]time.Time{}
	}
	if len(t.sentParts) >= maxSentParts {
		for other, sentAt := range t.sentParts {
			if now.Sub(sentAt) >= keptTime {
				delete(t.sentParts, other)
			}
		}
	}
	if len(t.sentParts) < maxSentParts {
		t.sentParts[key] = now
	}
}

// unqueue takes the reading of a prompt back that will not happen.
func (t *target) unqueue(reading time.Duration) { t.busyUntil = t.busyUntil.Add(-reading) }

// correct moves the end of the queue by the error of an estimate.
func (t *target) correct(estimated, now time.Time) {
	t.busyUntil = t.busyUntil.Add(min(max(now.Sub(estimated), -maxCorrection), maxCorrection))
}

// lateness estimates the time to the first event beyond that of an idle target.
func (t *target) lateness(now time.Time) time.Duration {
	return time.Duration(t.firstEventMs*decay(now.Sub(t.firstAt), reportSpan)) * time.Millisecond
}

// readingTime estimates how long an engine reads the uncached part of a prompt
// behind the part that it keeps.
func readingTime(cached, uncached int64) time.Duration {
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2)
	return milliseconds(float64(uncached)/readRate + pairs/pairRate)
}

// pause estimates the longest pause between two events of the streams that run
// beside the reading of a prompt. An engine makes a token for each of them between
// two chunks of the prompt, and the longer the prompt is the longer a chunk takes.
func pause(cached, uncached, tokensPerEvent int64) time.Duration {
	chunks := min(max(tokensPerEvent, 1), (uncached+chunkTokens-1)/chunkTokens)
	tokens := float64(min(uncached, chunks*chunkTokens))
	before := float64(cached+uncached) - tokens/2
	return milliseconds(tokens/readRate+tokens*before/pairRate) + time.Duration(tokensPerEvent)*stepTime
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func decay(elapsed, span time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(span))
}
