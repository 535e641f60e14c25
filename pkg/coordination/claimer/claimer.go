// Package claimer ensures that a request with an idempotency key runs at most once.
//
// The key is claimed in the replicated log before the request is sent to a target.
// A second request with the same key cannot claim it. Its caller receives the response
// of the first request, or is told that the first request is still running.
//
// A Table is a deterministic state machine without a clock: the current time comes with
// each operation.
package claimer

import (
	"crypto/sha256"
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
)

// Key is an idempotency key of an organisation.
type Key struct {
	organisation string
	key          string
}

// NewKey returns the idempotency key that a caller of the organisation has chosen.
func NewKey(organisation, key string) Key { return Key{organisation, key} }

// Organisation returns the organisation that chose the key.
func (k Key) Organisation() string { return k.organisation }

// Key returns the key as the caller has sent it.
func (k Key) Key() string { return k.key }

// IsZero reports whether k stands for a request without a key.
func (k Key) IsZero() bool { return k.key == "" }

// Fingerprint is a hash of the contents of a request.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of an organisation's request to a service with the
// given body.
func NewFingerprint(organisation, service string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{organisation, service} {
		_, _ = hash.Write([]byte(part)) // never fails, as documented by hash.Hash
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil))
}

// Response is the stored response to a request.
type Response struct {
	status      int
	contentType string
	body        []byte
}

// NewResponse returns a response with the given HTTP status, content type and body.
func NewResponse(status int, contentType string, body []byte) Response {
	return Response{status, contentType, body}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// ContentType returns the content type of the body.
func (r Response) ContentType() string { return r.contentType }

// Body returns the body.
func (r Response) Body() []byte { return r.body }

// IsZero reports whether there is no stored response.
func (r Response) IsZero() bool { return r.status == 0 }

// Outcome is the outcome of a claim. It is sealed: Acquired, Running, Finished
// and Mismatch are its only variants.
type Outcome interface{ isOutcome() }

// Acquired means that the request holds the claim and may be sent to a target.
type Acquired struct{}

// Running means that another request with the key is still running.
type Running struct{ request identifier.Request }

// Finished means that a request with the key has run. The response is zero if none was
// stored.
type Finished struct {
	request  identifier.Request
	response Response
}

// Mismatch means that the key was used for a request with different contents.
type Mismatch struct{}

func (Acquired) isOutcome() {}
func (Running) isOutcome()  {}
func (Finished) isOutcome() {}
func (Mismatch) isOutcome() {}

// Request returns the running request, which holds the claim.
func (r Running) Request() identifier.Request { return r.request }

// Request returns the request that has run.
func (f Finished) Request() identifier.Request { return f.request }

// Response returns the stored response.
func (f Finished) Response() Response { return f.response }

// NewRunning returns the outcome for a key whose request is running.
func NewRunning(request identifier.Request) Running { return Running{request} }

// NewFinished returns the outcome for a key whose request has run.
func NewFinished(request identifier.Request, response Response) Finished {
	return Finished{request, response}
}

// claim records which request holds a key and how that request ended.
type claim struct {
	fingerprint Fingerprint
	request     identifier.Request
	finished    bool
	response    Response
	expiresAt   time.Time // has no effect until the claim is finished: running claims do not expire
}

// Table holds the claims. It is not safe for concurrent use.
type Table struct {
	retention time.Duration
	claims    map[Key]*claim
	byRequest map[identifier.Request]Key
}

// DefaultRetention is the retention of finished claims if none is configured.
const DefaultRetention = 24 * time.Hour

// Config configures a table.
type Config struct {
	// Retention is how long finished claims are kept. Default: DefaultRetention.
	Retention time.Duration
}

// New returns an empty table.
func New(config Config) *Table {
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	return &Table{config.Retention, map[Key]*claim{}, map[identifier.Request]Key{}}
}

// Claim claims the key for the request. A repeated claim of the same request has the same
// outcome while the request is running.
func (t *Table) Claim(key Key, fingerprint Fingerprint, request identifier.Request, now time.Time) Outcome {
	c, ok := t.claims[key]
	if !ok {
		t.claims[key] = &claim{fingerprint: fingerprint, request: request, expiresAt: now.Add(t.retention)}
		t.byRequest[request] = key
		return Acquired{}
	}
	if c.request == request && c.fingerprint == fingerprint && !c.finished {
		return Acquired{}
	}
	return t.Peek(key, fingerprint)
}

// Peek returns the outcome that Claim would have for another request, without claiming the
// key.
func (t *Table) Peek(key Key, fingerprint Fingerprint) Outcome {
	c, ok := t.claims[key]
	switch {
	case !ok:
		return Acquired{}
	case c.fingerprint != fingerprint:
		return Mismatch{}
	case c.finished:
		return Finished{c.request, c.response}
	default:
		return Running{c.request}
	}
}

// Finish marks the claim of a request that has run as finished, stores the response unless
// one is stored already, and starts the retention.
func (t *Table) Finish(request identifier.Request, response Response, now time.Time) {
	key, ok := t.byRequest[request]
	if !ok {
		return
	}
	c := t.claims[key]
	if c.finished && c.response.IsZero() && response.IsZero() {
		return
	}
	if !c.finished || c.response.IsZero() {
		c.finished, c.response, c.expiresAt = true, response, now.Add(t.retention)
	}
}

// Release removes the claim of a request that has not run, so that the key can be used
// again. Only the router that sent the intent may request this, or a process with proof
// that this router's process has terminated.
func (t *Table) Release(request identifier.Request) {
	key, ok := t.byRequest[request]
	if !ok || t.claims[key].finished {
		return
	}
	delete(t.byRequest, request)
	delete(t.claims, key)
}

// Expire removes finished claims whose retention has expired.
func (t *Table) Expire(now time.Time) {
	for key, c := range t.claims {
		if c.finished && now.After(c.expiresAt) {
			delete(t.byRequest, c.request)
			delete(t.claims, key)
		}
	}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }
