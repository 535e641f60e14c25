package memorybudgeter

import "time"

const (
	// progressWindow and defaultMinRate end senders that hold memory without sending: clients
	// on the slowest mobile networks send more than 1,000 bytes in 5 s.
	progressWindow = 5 * time.Second
	defaultMinRate = 200
)

// ProgressConfig configures a Progress.
type ProgressConfig struct {
	// StartedAt is when the first byte was awaited. Required.
	StartedAt time.Time
	// MinBytesPerSecond is the rate below which a sender is ended. Default: 200.
	MinBytesPerSecond int64
}

// Progress decides when a slow sender is ended: for lack of progress in a window, not for the
// total time that it takes.
type Progress struct {
	deadline time.Time
	minBytes int64
	received int64 // in this window
}

// NewProgress returns the progress of a sender that has sent nothing yet.
func NewProgress(c ProgressConfig) *Progress {
	if c.MinBytesPerSecond <= 0 {
		c.MinBytesPerSecond = defaultMinRate
	}
	return &Progress{
		deadline: c.StartedAt.Add(progressWindow), minBytes: c.MinBytesPerSecond * int64(progressWindow/time.Second),
	}
}

// Deadline returns when the sender is ended unless it sends more.
func (p *Progress) Deadline() time.Time { return p.deadline }

// Record records received bytes, and reports whether they extend the deadline.
func (p *Progress) Record(now time.Time, bytes int64) bool {
	p.received += bytes
	if p.received < p.minBytes {
		return false
	}
	p.received, p.deadline = 0, now.Add(progressWindow)
	return true
}
