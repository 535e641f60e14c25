// Package eventreader reads server-sent events from a response, each once it has
// arrived completely.
//
// Events have a size limit, so that a target that never ends an event cannot fill the
// memory of a router.
package eventreader

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is the size of the read buffer. Most events fit into it; longer ones
	// are assembled from several reads.
	bufferBytes          = 2 << 10
	defaultMaxEventBytes = 128 << 10
)

// ErrEventTooLarge means that an event exceeds the size limit.
var ErrEventTooLarge = errors.New("a stream event exceeds the size limit")

// Event is one server-sent event, including the empty line that terminates it.
type Event struct{ raw []byte }

// Raw returns the event as it was received.
func (e Event) Raw() []byte { return e.raw }

// ID returns the value of the id field, or "" if the event has none.
func (e Event) ID() string {
	id, _ := e.field("id")
	return string(bytes.TrimSpace(id))
}

// IsComment reports whether the event has no fields, only comments that keep the
// connection alive. Such an event is no progress of the stream.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.raw) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// Data returns the value of the first data field and whether there is one.
func (e Event) Data() ([]byte, bool) {
	data, ok := e.field("data")
	return bytes.TrimRight(bytes.TrimPrefix(data, []byte(" ")), "\r\n"), ok
}

// field returns what follows the colon of the first field with the name.
func (e Event) field(name string) ([]byte, bool) {
	for line := range bytes.Lines(e.raw) {
		if value, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			return value, true
		}
	}
	return nil, false
}

// Config configures a reader.
type Config struct {
	// Source is the body of the response. Required.
	Source io.Reader
	// MaxEventBytes limits the size of one event. Default: 128 KiB.
	MaxEventBytes int
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	reader   *bufio.Reader
	maxBytes int
}

// New returns a reader.
func New(c Config) *Reader {
	if c.MaxEventBytes == 0 {
		c.MaxEventBytes = defaultMaxEventBytes
	}
	return &Reader{bufio.NewReaderSize(c.Source, bufferBytes), c.MaxEventBytes}
}

// Next returns the next event. It returns io.EOF if the response ends between two
// events, io.ErrUnexpectedEOF if it ends within an event, and ErrEventTooLarge if the
// event exceeds the limit.
func (r *Reader) Next() (Event, error) {
	var raw []byte
	for {
		line, err := r.reader.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case len(raw) > r.maxBytes:
			return Event{}, ErrEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(raw) == 0:
			return Event{}, io.EOF
		case errors.Is(err, io.EOF):
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		if endsWithEmptyLine(raw) {
			return Event{raw}, nil
		}
	}
}

// HasNext reports whether a complete event has been received already, so that Next
// returns it without waiting.
func (r *Reader) HasNext() bool {
	buffered, _ := r.reader.Peek(r.reader.Buffered()) // never fails for buffered bytes
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// endsWithEmptyLine reports whether the bytes, which end with a line break, end with an
// empty line.
func endsWithEmptyLine(raw []byte) bool {
	line := bytes.TrimSuffix(raw[:len(raw)-1], []byte("\r"))
	return len(line) == 0 || line[len(line)-1] == '\n'
}
