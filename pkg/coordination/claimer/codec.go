package claimer

import (
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// WireResponse is the CBOR form of a Response.
type WireResponse struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	Body        []byte
}

// WireOutcome is the CBOR form of an Outcome.
type WireOutcome struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Request  string
	Response WireResponse
}

const (
	wireAcquired uint8 = iota + 1
	wireRunning
	wireFinished
	wireMismatch
)

type wireClaim struct {
	_               struct{} `cbor:",toarray"`
	Organisation    string
	Key             string
	Fingerprint     Fingerprint
	Request         string
	Finished        bool
	Response        WireResponse
	ExpiresAtMillis int64
}

// ResponseToWire returns the CBOR form of the response.
func ResponseToWire(r Response) WireResponse {
	return WireResponse{Status: r.status, ContentType: r.contentType, Body: r.body}
}

// ResponseFromWire is the inverse of ResponseToWire.
func ResponseFromWire(w WireResponse) Response { return Response{w.Status, w.ContentType, w.Body} }

// OutcomeToWire returns the CBOR form of the outcome.
func OutcomeToWire(outcome Outcome) WireOutcome {
	switch o := outcome.(type) {
	case Running:
		return WireOutcome{Kind: wireRunning, Request: o.request.String()}
	case Finished:
		return WireOutcome{Kind: wireFinished, Request: o.request.String(), Response: ResponseToWire(o.response)}
	case Mismatch:
		return WireOutcome{Kind: wireMismatch}
	default:
		return WireOutcome{Kind: wireAcquired}
	}
}

// OutcomeFromWire is the inverse of OutcomeToWire.
func OutcomeFromWire(w WireOutcome) (Outcome, error) {
	switch w.Kind {
	case wireAcquired:
		return Acquired{}, nil
	case wireMismatch:
		return Mismatch{}, nil
	}
	request, err := identifier.ParseRequest(w.Request)
	if err != nil {
		return nil, err
	}
	switch w.Kind {
	case wireRunning:
		return Running{request}, nil
	case wireFinished:
		return Finished{request, ResponseFromWire(w.Response)}, nil
	default:
		return nil, errors.Errorf("unknown kind %d of claim outcome", w.Kind)
	}
}

// Snapshot returns the CBOR form of the whole table.
func (t *Table) Snapshot() ([]byte, error) {
	var wire []wireClaim
	for key, c := range t.claims {
		wire = append(wire, wireClaim{
			Organisation:    key.organisation,
			Key:             key.key,
			Fingerprint:     c.fingerprint,
			Request:         c.request.String(),
			Finished:        c.finished,
			Response:        ResponseToWire(c.response),
			ExpiresAtMillis: c.expiresAt.UnixMilli(),
		})
	}
	return encoder.Marshal(wire)
}

// Restore returns the table of a snapshot.
func Restore(config Config, data []byte) (*Table, error) {
	var wire []wireClaim
	if err := encoder.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	t := New(config)
	for _, w := range wire {
		request, err := identifier.ParseRequest(w.Request)
		if err != nil {
			return nil, err
		}
		key := Key{w.Organisation, w.Key}
		t.byRequest[request] = key
		t.claims[key] = &claim{
			fingerprint: w.Fingerprint,
			request:     request,
			finished:    w.Finished,
			response:    ResponseFromWire(w.Response),
			expiresAt:   time.UnixMilli(w.ExpiresAtMillis).UTC(),
		}
	}
	return t, nil
}
