package gateway

import (
	"net/http"
	"time"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/pkg/state/cataloguer"
)

// Protocol translates between the messages of a platform's callers and targets and the
// types of this package. It makes no decisions.
type Protocol interface {
	// DecodeCatalogue decodes the document of a catalogue.
	DecodeCatalogue(document []byte) (*cataloguer.Catalogue, error)
	// ParseRequest returns the metadata of a caller's request.
	ParseRequest(r *http.Request) RequestMetadata
	// ForwardHeader returns the header of a request to a target. It must not modify
	// the caller's header.
	ForwardHeader(caller http.Header, m ForwardMetadata) http.Header
	// ParseResponse returns the metadata of a target's response.
	ParseResponse(r TargetResponse) ResponseMetadata
	// ResponseHeader returns the header of the response to the caller, given the
	// header of the target's response.
	ResponseHeader(target http.Header) http.Header
}

// MaxTokenCount is the largest number of tokens that a request may state. Sums of such numbers
// do not overflow.
const MaxTokenCount = 1 << 40

// RequestMetadataConfig holds the fields of a RequestMetadata.
type RequestMetadataConfig struct {
	// ID identifies the caller's attempt. It stays the same when the gateway sends the
	// request to another target.
	ID string
	// APIKey is the organisation's API key that the caller presents.
	APIKey string
	// TimeLeft is how long the caller will wait, or zero if it is not given.
	TimeLeft time.Duration
	// Segments are the segments of the prompt, in order.
	Segments []placer.Segment
	// PromptTokens and MaxOutputTokens are the size of the prompt and the limit on
	// the output of a model request, each at most MaxTokenCount.
	PromptTokens, MaxOutputTokens int64
	// Malformed, if set, names a part of the request that cannot be accepted.
	Malformed string
	// LastEventID identifies the last event that the caller has received of an
	// interrupted stream.
	LastEventID string
	// ResumedStream identifies the caller's attempt that brought the first event of that
	// stream, or is empty.
	ResumedStream string
}

// RequestMetadata is the metadata that a caller sends with its request.
type RequestMetadata struct{ config RequestMetadataConfig }

// NewRequestMetadata returns a RequestMetadata with the given fields.
func NewRequestMetadata(c RequestMetadataConfig) RequestMetadata { return RequestMetadata{c} }

// ID returns the identifier of the caller's attempt.
func (m RequestMetadata) ID() string { return m.config.ID }

// MaxTokens returns the most tokens that the request can consume.
func (m RequestMetadata) MaxTokens() int64 { return m.config.PromptTokens + m.config.MaxOutputTokens }

// ForwardMetadataConfig holds the fields of a ForwardMetadata.
type ForwardMetadataConfig struct {
	// ID identifies the caller's attempt, as in RequestMetadataConfig. Required.
	ID string
	// Organisation is the name of the organisation, or empty.
	Organisation string
	// Target is the name of the target. Required.
	Target string
	// TimeLeft is the time that the target has for the request. Required.
	TimeLeft time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// LastEventID, if set, asks the target to resume the stream after this event.
	LastEventID string
}

// ForwardMetadata is the metadata that a router sends to a target with a request.
type ForwardMetadata struct{ config ForwardMetadataConfig }

// NewForwardMetadata returns a ForwardMetadata with the given fields.
func NewForwardMetadata(c ForwardMetadataConfig) ForwardMetadata { return ForwardMetadata{c} }

// ID returns the identifier of the caller's attempt.
func (m ForwardMetadata) ID() string { return m.config.ID }

// Organisation returns the name of the organisation, or "".
func (m ForwardMetadata) Organisation() string { return m.config.Organisation }

// Target returns the name of the target.
func (m ForwardMetadata) Target() string { return m.config.Target }

// TimeLeft returns the time that the target has for the request.
func (m ForwardMetadata) TimeLeft() time.Duration { return m.config.TimeLeft }

// Priority returns the priority of the request; 0 is the highest.
func (m ForwardMetadata) Priority() int { return m.config.Priority }

// LastEventID returns the identifier of the event after which the stream resumes, or "".
func (m ForwardMetadata) LastEventID() string { return m.config.LastEventID }

// TargetResponse is the head of a response of a target.
type TargetResponse struct {
	Status     int
	Header     http.Header
	ReceivedAt time.Time
}

// ResponseMetadataConfig holds the fields of a ResponseMetadata.
type ResponseMetadataConfig struct {
	// ID identifies the caller's attempt that the response belongs to.
	ID string
	// Signed reports whether the response carries the target's signature.
	Signed bool
	// NotRun reports whether the target guarantees that the request has not run.
	NotRun bool
	// Load is the load of the target, or nil if the response does not report it.
	Load *placer.Load
	// Advice is what the target says about itself.
	Advice adviser.Advice
}

// ResponseMetadata is the metadata that a target sends with its response.
type ResponseMetadata struct{ config ResponseMetadataConfig }

// NewResponseMetadata returns a ResponseMetadata with the given fields.
func NewResponseMetadata(c ResponseMetadataConfig) ResponseMetadata { return ResponseMetadata{c} }

// ID returns the identifier of the caller's attempt that the response belongs to.
func (m ResponseMetadata) ID() string { return m.config.ID }

// Signed reports whether the response carries the target's signature.
func (m ResponseMetadata) Signed() bool { return m.config.Signed }

// Advice returns what the target says about itself.
func (m ResponseMetadata) Advice() adviser.Advice { return m.config.Advice }

// NotRun reports whether the target guarantees that the request has not run.
func (m ResponseMetadata) NotRun() bool { return m.config.NotRun }
