package recorder_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/recorder"
)

// stuckReader is the reader of a log who reads nothing until it is released.
type stuckReader struct {
	release chan struct{}
	mutex   sync.Mutex
	got     bytes.Buffer
}

func (s *stuckReader) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.got.Write(p)
}

// Guards: no request waits for the log; what is dropped is counted and said.
func TestWriterNeverBlocks(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	w := recorder.NewWriter(reader)
	start := time.Now()
	for range 10_000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("10,000 lines took %s beside a reader that does not read", took)
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing is dropped, so the queue is not bounded")
	}
	close(reader.release)
	w.Close()
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	text := reader.got.String()
	if !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < 1000 {
		t.Fatalf("%d bytes written: %.200q", len(text), text)
	}
}
