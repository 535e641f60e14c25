// Package recorder provides the log of a process and a bounded timeline of its
// events, which can be merged with the timelines of other processes.
package recorder

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxEvents bounds the timeline of a process. The oldest events are dropped.
const maxEvents = 20_000

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(w io.Writer, level, vm, dataCentre string) (*zap.Logger, error) {
	parsed := zapcore.InfoLevel
	if level != "" {
		if err := parsed.UnmarshalText([]byte(level)); err != nil {
			return nil, errors.Wrap(err, "logLevel")
		}
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core).With(zap.String("vm", vm), zap.String("dataCentre", dataCentre)), nil
}

// Event is one entry of a timeline. The events of all processes are ordered by
// their Lamport timestamps (Lamport, "Time, Clocks, and the Ordering of Events in
// a Distributed System", 1978), which respect the order of messages even if the
// clocks of the VMs differ.
type Event struct {
	stamp        uint64
	at           time.Time
	vm           string
	name         string
	request      string
	organisation string
	detail       string
}

// Stamp returns the event's Lamport timestamp.
func (e Event) Stamp() uint64 { return e.stamp }

// At returns the time of the event by the VM's wall clock.
func (e Event) At() time.Time { return e.at }

// VM returns the VM on which the event happened.
func (e Event) VM() string { return e.vm }

// Name returns the name of the event.
func (e Event) Name() string { return e.name }

// Request returns the identifier of the request that the event belongs to, or "".
func (e Event) Request() string { return e.request }

// Organisation returns the organisation that the event belongs to, or "".
func (e Event) Organisation() string { return e.organisation }

// Detail returns further information on the event, or "".
func (e Event) Detail() string { return e.detail }

// EventFields holds the fields of an event that the caller of Record sets.
type EventFields struct {
	// Name is the name of the event. Required.
	Name string
	// Request is the identifier of the request that the event belongs to.
	Request string
	// Organisation is the organisation that the event belongs to.
	Organisation string
	// Detail is further information on the event.
	Detail string
}

// Timeline keeps the newest events of a process. It is safe for concurrent use.
type Timeline struct {
	vm    string
	clock atomic.Uint64

	mutex  sync.Mutex
	events []Event
	next   int
}

// NewTimeline returns an empty timeline of the VM.
func NewTimeline(vm string) *Timeline { return &Timeline{vm: vm} }

// Record adds an event.
func (t *Timeline) Record(fields EventFields) {
	e := Event{
		stamp:        t.clock.Add(1),
		at:           time.Now(),
		vm:           t.vm,
		name:         fields.Name,
		request:      fields.Request,
		organisation: fields.Organisation,
		detail:       fields.Detail,
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % maxEvents
}

// NextStamp advances the Lamport clock and returns the timestamp to send with a
// message.
func (t *Timeline) NextStamp() uint64 { return t.clock.Add(1) }

// Observe advances the Lamport clock to the timestamp of a received message, so
// that later events get a higher timestamp than the message.
func (t *Timeline) Observe(stamp uint64) {
	for {
		current := t.clock.Load()
		if current >= stamp || t.clock.CompareAndSwap(current, stamp) {
			return
		}
	}
}

// Select returns the events that the filter accepts, oldest first.
func (t *Timeline) Select(filter func(Event) bool) []Event {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var selected []Event
	for i := range t.events {
		e := t.events[(t.next+i)%len(t.events)]
		if filter(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Err returns a log field with the message of an error. Unlike zap.Error, it
// leaves out the stack trace that the error may carry, so that each event stays
// on one line.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
