package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the queue of lines that wait for a slow reader of the log.
// At a few hundred bytes per line, a full queue takes about a megabyte.
const maxQueuedLines = 4096

// flushTimeout bounds how long Close waits for the queue to be written.
const flushTimeout = 500 * time.Millisecond

// Writer writes lines in the background, so that no request waits for a slow
// reader of the log. Lines that do not fit into the queue are dropped, and their
// number is written to the log. A Writer is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails. A line that is written after Close is
// lost: goroutines that outlast a stop may still log.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many dropped lines have not been reported in the log yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until the queue has been written, at most for flushTimeout.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		case <-w.closing:
			w.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that are in the queue.
func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		default:
			return
		}
	}
}

func (w *Writer) writeOut(line []byte) {
	_, _ = w.out.Write(line) // a failure to write the log cannot be logged
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn event=\"log lines dropped\" count=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped) // as above
	}
}
