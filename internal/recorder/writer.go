package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait for a slow reader of the log. At a few
// hundred bytes a line they take about a megabyte.
const maxQueuedLines = 4096

// flushTimeout bounds how long the end of a process waits for its log.
const flushTimeout = 500 * time.Millisecond

// Writer writes lines in the background, so that no request waits for whoever
// reads the log. Lines beyond the bound are dropped, counted, and said in the log.
// It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped and not yet been reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, for a bounded time. Nothing may be written after it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.ended:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		_, _ = w.out.Write(line) // a log that cannot be written cannot say so
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "time=%s level=warn event=\"log lines dropped\" count=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), dropped) // as above
		}
	}
}
