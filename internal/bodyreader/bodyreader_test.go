package bodyreader_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"radishshed.example/radishshed/internal/bodyreader"
	"radishshed.example/radishshed/internal/memorybudgeter"
)

// Guards against bodies that are cut, that pass their limit, or that hold more memory than is
// reserved, at the sizes at which buffers are full.
func TestBodies(t *testing.T) {
	const limit = 16 << 10
	cases := []struct {
		name         string
		size, length int
		want         error
	}{
		{"empty, no length", 0, -1, nil},
		{"first buffer full", 4 << 10, -1, nil},
		{"first buffer exceeded", 4<<10 + 1, -1, nil},
		{"limit reached", limit, -1, nil},
		{"limit exceeded", limit + 1, -1, bodyreader.ErrTooLarge},
		{"length", 5000, 5000, nil},
		{"length over the limit", limit + 1, limit + 1, bodyreader.ErrTooLarge},
		{"shorter than its length", 4999, 5000, io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		for _, oneByte := range []bool{false, true} {
			text := strings.Repeat("x", c.size)
			source := io.Reader(strings.NewReader(text))
			if oneByte {
				source = iotest.OneByteReader(source)
			}
			reservation := memorybudgeter.New(memorybudgeter.Config{MemoryBytes: 64 << 20}).Open()
			body, err := bodyreader.Read(bodyreader.Config{
				Source: source, Length: int64(c.length), MaxBytes: limit, Reservation: reservation, SetDeadline: func(time.Time) {},
			})
			if !errors.Is(err, c.want) || err == nil && string(body) != text {
				t.Errorf("%s: %d bytes, %v; want %v", c.name, len(body), err, c.want)
			}
			if held := reservation.Held(); err == nil && held != int64(cap(body)) {
				t.Errorf("%s: %d bytes reserved for a buffer of %d", c.name, held, cap(body))
			}
		}
	}
}

// Guards against a body that is read though no memory is left for it.
func TestNoMemory(t *testing.T) {
	budgeter := memorybudgeter.New(memorybudgeter.Config{MemoryBytes: 64 << 20})
	budgeter.Open().Grow(budgeter.Total() / 2)
	for _, length := range []int64{8 << 20, -1} {
		_, err := bodyreader.Read(bodyreader.Config{
			Source: strings.NewReader(strings.Repeat("x", 8<<20)), Length: length, MaxBytes: 8 << 20,
			Reservation: budgeter.Open(), SetDeadline: func(time.Time) {},
		})
		if !errors.Is(err, bodyreader.ErrNoMemory) {
			t.Errorf("length %d: %v", length, err)
		}
	}
}
