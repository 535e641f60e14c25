package memorybudgeter_test

import (
	"testing"
	"time"

	"radishshed.example/radishshed/internal/memorybudgeter"
)

const bodyBytes = 4 << 20

func admitted(r *memorybudgeter.Reservation, bytes int64) bool {
	_, ok := r.Grow(bytes).(memorybudgeter.Admit)
	return ok
}

// Guards against a crowd of large bodies that fills the memory of a VM or leaves nothing to small
// requests, against bytes that stay reserved once they are released, and against a single legal
// body that is refused in calm.
func TestCrowdOfBodies(t *testing.T) {
	for _, megabytes := range []int64{16, 64, 136, 206, 424} {
		b := memorybudgeter.New(memorybudgeter.Config{MemoryBytes: megabytes << 20})
		var held []*memorybudgeter.Reservation
		for range 1000 {
			if r := b.Open(); admitted(r, bodyBytes) {
				held = append(held, r)
			}
		}
		if len(held) == 0 || megabytes >= 64 && b.Used() > megabytes<<20/2 {
			t.Errorf("%d MB: %d bodies of %d bytes in all are held", megabytes, len(held), b.Used())
		}
		if !admitted(b.Open(), 20<<10) {
			t.Errorf("%d MB: a small request is refused beside large ones", megabytes)
		}
		for _, r := range held {
			r.Release()
		}
		if used := b.Used(); used != 20<<10 {
			t.Errorf("%d MB: %d bytes are reserved after all bodies are released", megabytes, used)
		}
	}
}

// Guards against a process without the memory setting that refuses anything.
func TestNoBudgetWithoutMemory(t *testing.T) {
	r := memorybudgeter.New(memorybudgeter.Config{}).Open()
	if !admitted(r, 1<<40) {
		t.Error("refused without a budget")
	}
}

// Guards against slow senders that are ended though they go on, and against senders that stop
// and are not ended.
func TestProgress(t *testing.T) {
	start := time.Unix(1, 0)
	cases := []struct {
		name          string
		bytes, rounds int64
		endsAfter     time.Duration // zero if it goes on
	}{
		{"1,000 bytes each second", 1000, 60, 0},
		{"10 bytes each second", 10, 60, 5 * time.Second},
		{"stops after 20 s", 1000, 20, 25 * time.Second},
	}
	for _, c := range cases {
		p := memorybudgeter.NewProgress(memorybudgeter.ProgressConfig{StartedAt: start})
		now := start
		for i := int64(1); i <= 60 && now.Before(p.Deadline()); i++ {
			now = start.Add(time.Duration(i) * time.Second)
			if i <= c.rounds {
				p.Record(now, c.bytes)
			}
		}
		if c.endsAfter == 0 && !now.Before(p.Deadline()) || c.endsAfter > 0 && !p.Deadline().Equal(start.Add(c.endsAfter)) {
			t.Errorf("%s: ends at %s after the start", c.name, p.Deadline().Sub(start))
		}
	}
}
