package placer

import "time"

const (
	// prefillTokensPerMs is how many prompt tokens the reference engine processes
	// in a millisecond, apart from attention. The speed of a service's engines is
	// learned as a factor of the reference.
	prefillTokensPerMs = 60
	// attentionPairsPerMs is how many pairs of tokens the reference engine relates
	// by attention in a millisecond. Attention takes most of the prefill time of
	// long prompts.
	attentionPairsPerMs = 3.6e6
	// prefillChunkTokens is how many prompt tokens an engine processes between
	// two decode steps.
	prefillChunkTokens = 4096
	// decodeStepTime is how long an engine takes for a decode step, which
	// yields a token for each stream.
	decodeStepTime = 4 * time.Millisecond
	// queuedRequestDelay is the time that each request queued inside an engine
	// adds to the time to the first event.
	queuedRequestDelay = 30 * time.Millisecond
)

// observeSpeed records the time to the first event of a request that had not to wait.
func (p *Placement) observeSpeed(firstEvent time.Duration) {
	if p.startsAtOnce {
		p.speed.Observe(p.reference, firstEvent)
	}
}

// referencePrefillTime returns how long the reference engine takes for the prefill of the
// uncached tokens of a prompt that follow the cached ones.
func referencePrefillTime(cached, uncached int64) time.Duration {
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2)
	return milliseconds(float64(uncached)/prefillTokensPerMs + pairs/attentionPairsPerMs)
}

// estimateMaxEventGap estimates the longest gap between two events of the
// streams that run beside a prefill. The engine runs a decode step between two
// chunks of the prompt, and a chunk takes longer the longer the prompt is.
func (r Request) estimateMaxEventGap(cached, uncached int64) time.Duration {
	chunks := min(max(r.TokensPerEvent, 1), (uncached+prefillChunkTokens-1)/prefillChunkTokens)
	tokens := float64(min(uncached, chunks*prefillChunkTokens))
	contextTokens := float64(cached+uncached) - tokens/2
	reference := milliseconds(tokens/prefillTokensPerMs + tokens*contextTokens/attentionPairsPerMs)
	return r.actualTime(reference) + time.Duration(r.TokensPerEvent)*decodeStepTime
}
