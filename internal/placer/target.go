package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"radishshed.example/radishshed/internal/selector"
)

const (
	// loadDecayTime is the time constant with which a reported load and an
	// observed first-event delay lose their weight.
	loadDecayTime = 1500 * time.Millisecond
	// failureDecayTime is the time constant with which failures of a target
	// lose their weight.
	failureDecayTime = 3 * time.Second
	// minFailureScore is the score below which failures no longer count.
	minFailureScore = 0.02
	// cacheRetention is how long an engine is assumed to keep a segment in its
	// cache after use.
	cacheRetention = 8 * time.Second
	// maxSentPrefixes bounds the number of shared prompt prefixes recorded for
	// a target.
	maxSentPrefixes = 2048
	// maxCorrection bounds how far one response can shift the estimated end of
	// a target's prefill queue.
	maxCorrection = 500 * time.Millisecond
	// minBackoff and maxBackoff bound how long a target that could not be
	// reached gets no requests while others can take them.
	minBackoff = 300 * time.Millisecond
	// pauseSpread is the largest part by which a pause is prolonged, and maxPauseSpread the
	// longest time.
	pauseSpread    = 0.2
	maxPauseSpread = time.Second
	maxBackoff     = 4 * time.Second
)

// Load is the load that a target reports.
type Load struct {
	running int64
	waiting int64
	slots   int64
}

// NewLoad returns the load of a target with the given numbers of running
// requests, waiting requests and slots.
func NewLoad(running, waiting, slots int64) Load { return Load{running, waiting, slots} }

// target is the state that a router keeps about a target.
type target struct {
	announcement selector.Announcement
	leaving      bool
	expiresAt    time.Time

	open int64 // open requests from this router
	// busyUntil is the estimated end of the prefills that this router and
	// others are known to have sent to the target.
	busyUntil time.Time
	// corrections is the sum of the corrections of busyUntil.
	corrections time.Duration
	// streamsDelayedUntil is when the prefill of a long prompt stops delaying
	// the streams on the target.
	streamsDelayedUntil time.Time
	// sentPrefixes maps the last shared segment of a prompt to the time when
	// this router last sent a request with that prefix to the target.
	sentPrefixes map[uint64]time.Time

	// remoteRequests is the number of requests from other routers, as of the
	// last report.
	remoteRequests int64
	waiting        int64
	reportedAt     time.Time

	failures          float64 // decaying count of failures as of failuresAt
	failuresAt        time.Time
	backoffUntil      time.Time
	pausedUntil       time.Time // the target wants nothing from this router
	backoff           time.Duration
	firstEventDelayMs float64 // decaying average of the time by which first events missed their estimate
	firstEventAt      time.Time
}

func (t *target) usable(now time.Time, ignoreLeases bool) bool {
	return t.present(now, ignoreLeases) && !now.Before(t.pausedUntil)
}

// present reports whether the target is there, though it may want nothing at the moment.
func (t *target) present(now time.Time, ignoreLeases bool) bool {
	return !t.leaving && (ignoreLeases || now.Before(t.expiresAt))
}

func (t *target) recordLoad(l Load, now time.Time) {
	t.remoteRequests = max(0, l.running+l.waiting-t.open)
	t.waiting = l.waiting
	t.reportedAt = now
}

// load estimates how many requests the target has.
func (t *target) load(now time.Time) float64 {
	return float64(t.open) + float64(t.remoteRequests)*decay(now.Sub(t.reportedAt), loadDecayTime)
}

// failureScore is the decaying count of failures. Small values count as zero,
// so that the target is tried again.
func (t *target) failureScore(now time.Time) float64 {
	score := t.failures * decay(now.Sub(t.failuresAt), failureDecayTime)
	if score < minFailureScore {
		return 0
	}
	return score
}

func (t *target) recordFailure(now time.Time) {
	t.failures = t.failureScore(now) + 1
	t.failuresAt = now
}

// backOff keeps requests away from a target that could not be reached. The
// backoff doubles with each consecutive failed connection.
func (t *target) backOff(now time.Time) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now.Add(t.backoff)
}

// pause keeps requests away from a target that wants none. The longest of several times
// holds. A random part more keeps routers from coming back in the same moment.
func (t *target) pause(until, now time.Time) {
	if until.After(t.pausedUntil) && until.After(now) {
		spread := min(time.Duration(rand.Float64()*pauseSpread*float64(until.Sub(now))), maxPauseSpread)
		t.pausedUntil = until.Add(spread)
	}
}

// enqueuePrefill adds a prefill to the target's queue and returns its estimated
// end.
func (t *target) enqueuePrefill(prefill time.Duration, now time.Time) time.Time {
	if t.busyUntil.Before(now) {
		t.busyUntil = now
	}
	t.busyUntil = t.busyUntil.Add(prefill)
	return t.busyUntil
}

// hasCached reports whether this router has sent a prompt with the prefix to
// the target so recently that the prefix is presumably still in its cache.
func (t *target) hasCached(prefix uint64, now time.Time) bool {
	sentAt, ok := t.sentPrefixes[prefix]
	return ok && now.Sub(sentAt) < cacheRetention
}

func (t *target) recordPrefix(prefix uint64, now time.Time) {
	if t.sentPrefixes == nil {
		t.sentPrefixes = map[uint64]time.Time{}
	}
	if len(t.sentPrefixes) >= maxSentPrefixes {
		for other, sentAt := range t.sentPrefixes {
			if now.Sub(sentAt) >= cacheRetention {
				delete(t.sentPrefixes, other)
			}
		}
	}
	if len(t.sentPrefixes) < maxSentPrefixes {
		t.sentPrefixes[prefix] = now
	}
}

// certainWait estimates how long a request waits on the target at least. It takes an
// observed delay to shrink as time passes, as that of a queue that nothing joins, so that
// a target that was once overloaded is used again as soon as it can have recovered.
func (t *target) certainWait(now time.Time) time.Duration {
	observed := time.Duration(t.firstEventDelayMs)*time.Millisecond - now.Sub(t.firstEventAt)
	return max(0, t.busyUntil.Sub(now), observed)
}

// startsAtOnce reports whether no request is known to wait on the target.
func (t *target) startsAtOnce(now time.Time) bool {
	waiting := float64(t.waiting) * decay(now.Sub(t.reportedAt), loadDecayTime)
	return !t.busyUntil.After(now) && waiting < 0.5
}

// dequeuePrefill removes a prefill that will not take place from the target's
// queue.
func (t *target) dequeuePrefill(prefill time.Duration) { t.busyUntil = t.busyUntil.Add(-prefill) }

// correctEstimate moves the estimated ends of all prefills in the queue by the error of the
// estimate of one of them. Their own first events then show only what is still wrong.
func (t *target) correctEstimate(estimated, now time.Time) {
	correction := min(max(now.Sub(estimated), -maxCorrection), maxCorrection)
	t.busyUntil = t.busyUntil.Add(correction)
	t.corrections += correction
}

// firstEventDelay estimates how much later than the estimated end of its
// prefill a request gets its first event.
func (t *target) firstEventDelay(now time.Time) time.Duration {
	return time.Duration(t.firstEventDelayMs*decay(now.Sub(t.firstEventAt), loadDecayTime)) * time.Millisecond
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func decay(elapsed, timeConstant time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
