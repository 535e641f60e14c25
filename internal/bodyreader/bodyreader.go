// Package bodyreader reads request bodies into memory that is reserved before it is filled.
package bodyreader

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/memorybudgeter"
)

// firstBytes is the first reservation for a body without a length, which doubles as it grows.
const firstBytes = 4 << 10

// Errors returned by Read. Errors of the source are returned as well.
var (
	// ErrNoMemory means that the budget of the process is used up.
	ErrNoMemory = errors.New("no memory is left for the body")
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("the body exceeds its limit")
)

// Config configures the reading of one body.
type Config struct {
	// Source is the body. Required.
	Source io.Reader
	// Length is the declared length of the body, or negative if there is none. Required.
	Length int64
	// MaxBytes limits the size of the body. Required.
	MaxBytes int64
	// Reservation reserves the memory, and is released by the owner of the body. Required.
	Reservation *memorybudgeter.Reservation
	// MinBytesPerSecond is the rate below which a sender is ended. Default: that of
	// memorybudgeter.Progress.
	MinBytesPerSecond int64
	// SetDeadline makes reads fail after a time. It is called again when the sender has made
	// progress. Required.
	SetDeadline func(until time.Time)
}

// reader reads one body.
type reader struct {
	config   Config
	progress *memorybudgeter.Progress
	body     []byte
}

// Read reads the whole body. A body with a length reserves all of it first. A body without one
// reserves its buffers as it grows.
func Read(c Config) ([]byte, error) {
	if c.Length > c.MaxBytes {
		return nil, ErrTooLarge
	}
	now := time.Now()
	r := &reader{config: c, progress: memorybudgeter.NewProgress(memorybudgeter.ProgressConfig{
		StartedAt: now, MinBytesPerSecond: c.MinBytesPerSecond,
	})}
	size := c.Length
	if size < 0 {
		size = min(firstBytes, c.MaxBytes)
	}
	if err := r.resize(size); err != nil {
		return nil, err
	}
	c.SetDeadline(r.progress.Deadline())
	if c.Length >= 0 {
		return r.body, r.fill()
	}
	return r.body, r.readToEnd()
}

// fill reads until the body has its length.
func (r *reader) fill() error {
	for len(r.body) < cap(r.body) {
		if err := r.readOnce(); err != nil {
			if errors.Is(err, io.EOF) && len(r.body) == cap(r.body) {
				return nil
			}
			return noEOF(err)
		}
	}
	return nil
}

// readToEnd reads until the source ends.
func (r *reader) readToEnd() error {
	for {
		if len(r.body) == cap(r.body) {
			ended, err := r.atEnd()
			if ended || err != nil {
				return err
			}
		}
		if err := r.readOnce(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// atEnd reports whether the source ends where the buffer is full, and enlarges the buffer
// otherwise.
func (r *reader) atEnd() (bool, error) {
	var next [1]byte
	n, err := r.config.Source.Read(next[:])
	if n == 0 {
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		return false, err
	}
	if int64(cap(r.body)) >= r.config.MaxBytes {
		return false, ErrTooLarge
	}
	if err := r.resize(min(2*int64(cap(r.body)), r.config.MaxBytes)); err != nil {
		return false, err
	}
	r.body = append(r.body, next[0])
	return errors.Is(err, io.EOF), nil
}

func (r *reader) readOnce() error {
	n, err := r.config.Source.Read(r.body[len(r.body):cap(r.body)])
	r.body = r.body[:len(r.body)+n]
	if r.progress.Record(time.Now(), int64(n)) {
		r.config.SetDeadline(r.progress.Deadline())
	}
	return err
}

// resize replaces the buffer by a larger one. Both are reserved while both are held.
func (r *reader) resize(size int64) error {
	former := int64(cap(r.body))
	if _, refused := r.config.Reservation.Grow(size).(memorybudgeter.Refuse); refused {
		return ErrNoMemory
	}
	body := make([]byte, len(r.body), size)
	copy(body, r.body)
	r.body = body
	r.config.Reservation.Shrink(former)
	return nil
}

// noEOF makes the end of a source that ends too early an error of its own.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
