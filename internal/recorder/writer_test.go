package recorder_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/recorder"
)

// blockedOutput is a log output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(p)
}

// Guards: Write does not block while the log output does, since requests would wait
// for the log. Dropped lines are counted and reported in the log.
func TestWriterNeverBlocks(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	w := recorder.NewWriter(output)
	start := time.Now()
	for range 10_000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("writing 10,000 lines took %s while the log output was blocked", took)
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped, so the queue is not bounded")
	}
	close(output.release)
	w.Close()
	output.mutex.Lock()
	defer output.mutex.Unlock()
	text := output.written.String()
	if !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < 1000 {
		t.Fatalf("%d bytes written: %.200q", len(text), text)
	}
}

// Guards against a process that panics at the end of a planned stop, since a goroutine that
// outlasts the stop logs, for example a signal.
func TestWriteAfterCloseIsHarmless(t *testing.T) {
	var out bytes.Buffer
	w := recorder.NewWriter(&out)
	for _, line := range []string{"first\n", "second\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if got := out.String(); got != "first\nsecond\n" {
		t.Errorf("written: %q", got)
	}
}
