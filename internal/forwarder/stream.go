package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/eventreader"
	"radishshed.example/radishshed/pkg/state/pricer"
)

const (
	maxEventBytes = 1 << 20
	// eventTimeout bounds the wait for the next event. After this time the
	// stream is resumed on a new connection, since the old one may have failed
	// without an error.
	eventTimeout      = 3 * time.Second
	maxResumeAttempts = 5
	resumeInterval    = 200 * time.Millisecond
)

var doneMarker = []byte("[DONE]")

// ErrIncompleteStream means that a stream ended before its end marker and could
// not be resumed.
var ErrIncompleteStream = errors.New("stream ended before its end marker")

// Stream reads the events of a streamed response. Events are numbered from zero,
// so that an interrupted stream can be resumed after the last event that was read.
type Stream struct {
	forwarder *Forwarder
	ctx       context.Context
	address   string
	requestID string
	response  *Response
	events    *eventreader.Reader
	next      int
	usage     pricer.Usage
	hasUsage  bool
	finished  bool
}

// NewStream returns the stream of a response to the request, which was sent to
// the address. The stream fails when the context ends.
func (f *Forwarder) NewStream(ctx context.Context, address, requestID string, response *Response) *Stream {
	return &Stream{
		forwarder: f, ctx: ctx, address: address, requestID: requestID,
		response: response, events: newEventReader(response),
	}
}

func newEventReader(r *Response) *eventreader.Reader {
	return eventreader.New(eventreader.Config{Source: r.body, MaxEventBytes: maxEventBytes})
}

// ResumeStream returns the stream of a request that another router has sent,
// from its first event on.
func (f *Forwarder) ResumeStream(ctx context.Context, address, requestID string) (*Stream, error) {
	response, err := f.openStream(ctx, address, requestID, 0)
	if err != nil {
		return nil, err
	}
	return f.NewStream(ctx, address, requestID, response), nil
}

// EventCount returns how many events have been read.
func (s *Stream) EventCount() int { return s.next }

// Finished reports whether the end marker has been read.
func (s *Stream) Finished() bool { return s.finished }

// Usage returns the usage that the engine has reported, and whether it has
// reported any.
func (s *Stream) Usage() (pricer.Usage, bool) { return s.usage, s.hasUsage }

// Close closes the connection of the stream.
func (s *Stream) Close() { _ = s.response.body.Close() } // nothing more is read

// Next returns the next event, or io.EOF after the end marker. If the connection
// fails or no event arrives in time, Next resumes the stream on a new connection.
// It returns ErrIncompleteStream if no attempt to resume succeeds.
func (s *Stream) Next() ([]byte, error) {
	for {
		event, err := s.readEvent()
		if err == nil {
			return s.handleEvent(event)
		}
		if s.ctx.Err() != nil {
			return nil, errors.Wrap(s.ctx.Err(), "read stream")
		}
		if err := s.resume(); err != nil {
			return nil, err
		}
	}
}

// HasNext reports whether a complete event has been received that Next has not returned.
func (s *Stream) HasNext() bool { return s.events.HasNext() }

func (s *Stream) handleEvent(event []byte) ([]byte, error) {
	if bytes.Equal(event, doneMarker) {
		s.finished = true
		return nil, io.EOF
	}
	s.next++
	if bytes.Contains(event, []byte(`"usage"`)) {
		s.recordUsage(event)
	}
	return event, nil
}

func (s *Stream) recordUsage(event []byte) {
	usage, ok := ParseUsage(event)
	if ok {
		s.usage, s.hasUsage = usage, true
	}
}

// readEvent returns the data of the next event. It fails if none arrives within
// eventTimeout.
func (s *Stream) readEvent() ([]byte, error) {
	timer := time.AfterFunc(eventTimeout, func() { _ = s.response.body.Close() }) // makes the pending read fail
	defer timer.Stop()
	for {
		event, err := s.events.Next()
		if err != nil {
			return nil, err
		}
		if data, ok := event.Data(); ok {
			return data, nil
		}
	}
}

// resume replaces the connection. Only consecutive failed attempts are limited: an
// engine that accepts an attempt still has the request, so the stream may then take
// as long as the context allows.
func (s *Stream) resume() error {
	s.Close()
	for range maxResumeAttempts {
		response, err := s.forwarder.openStream(s.ctx, s.address, s.requestID, s.next)
		if err == nil {
			s.response, s.events = response, newEventReader(response)
			return nil
		}
		select {
		case <-time.After(resumeInterval):
		case <-s.ctx.Done():
			return errors.Wrap(s.ctx.Err(), "resume stream")
		}
	}
	return ErrIncompleteStream
}

type jsonUsage struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// ParseUsage returns the usage that a response or an event of an engine reports,
// and whether it reports any.
func ParseUsage(data []byte) (pricer.Usage, bool) {
	var w jsonUsage
	if err := json.Unmarshal(data, &w); err != nil || w.Usage == nil {
		return pricer.Usage{}, false
	}
	usage, err := pricer.NewUsage(w.Usage.PromptTokens, w.Usage.CompletionTokens)
	return usage, err == nil
}

type jsonChoices struct {
	Choices []json.RawMessage `json:"choices"`
}

// HasNoChoices reports whether an event has no choices, and so no text of the
// completion.
func HasNoChoices(event []byte) bool {
	var w jsonChoices
	return json.Unmarshal(event, &w) == nil && len(w.Choices) == 0
}
