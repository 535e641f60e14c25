// Package admitter decides whether a request is admitted, and computes the most that the
// request can cost.
package admitter

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/pricer"
)

const (
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes = 8 << 20
	maxKeyBytes  = 256
	maxWorkBytes = 64
	// maxKeyAge limits the age of the time in the idempotency key of a
	// non-repeatable request. It is shorter than the retention of claims, by more
	// than the clocks can differ, so that a key whose claim has been deleted is
	// refused.
	maxKeyAge = claimer.DefaultRetention - 10*time.Minute
	// maxKeyAhead limits how far that time may lie in the future.
	maxKeyAhead = 5 * time.Minute
	// prefixBytes is the length of the prompt prefix by which a target that may have
	// the prompt in its cache can be chosen.
	prefixBytes = 512
)

// Request is a caller's request as received.
type Request struct {
	// APIKey is the caller's API key.
	APIKey string
	// Service is the name of the service. It is empty for a model request, whose
	// body contains the name of the model.
	Service string
	// Method and Path are the HTTP method and the path for a plain service.
	Method, Path string
	// IdempotencyKey identifies the request across its retries, or is empty.
	IdempotencyKey string
	// Work is the kind of work, or empty.
	Work string
	// ContentType is the content type of the body.
	ContentType string
	// Body is the complete body.
	Body []byte
}

// Admission is an admitted request.
type Admission struct {
	access         archiver.Principal
	service        archiver.Service
	rule           archiver.Rule
	work           string
	maxCost        pricer.Amount
	idempotencyKey claimer.Key
	fingerprint    claimer.Fingerprint
	method         string
	path           string
	contentType    string
	body           []byte
	stream         bool
	includeUsage   bool
	promptPrefix   string
}

// Access returns the organisation and the budget that the caller's key belongs to.
func (a Admission) Access() archiver.Principal { return a.access }

// Service returns the service that the request is for.
func (a Admission) Service() archiver.Service { return a.service }

// Rule returns the configured rule that applies to the request.
func (a Admission) Rule() archiver.Rule { return a.rule }

// Work returns the kind of work.
func (a Admission) Work() string { return a.work }

// MaxCost returns the most that the request can cost, in microcredits.
func (a Admission) MaxCost() pricer.Amount { return a.maxCost }

// IdempotencyKey returns the idempotency key of the request, or zero if it has none.
func (a Admission) IdempotencyKey() claimer.Key { return a.idempotencyKey }

// Fingerprint returns the fingerprint of the request.
func (a Admission) Fingerprint() claimer.Fingerprint { return a.fingerprint }

// Method returns the HTTP method for the target.
func (a Admission) Method() string { return a.method }

// Path returns the path at the target.
func (a Admission) Path() string { return a.path }

// ContentType returns the content type of the body.
func (a Admission) ContentType() string { return a.contentType }

// Body returns the body for the target.
func (a Admission) Body() []byte { return a.body }

// Stream reports whether the caller requests a stream of server-sent events.
func (a Admission) Stream() bool { return a.stream }

// IncludeUsage reports whether the caller requests the usage in the stream.
func (a Admission) IncludeUsage() bool { return a.includeUsage }

// PromptPrefix returns the beginning of the prompt, by which a target with a matching
// cache can be chosen.
func (a Admission) PromptPrefix() string { return a.promptPrefix }

// Authenticate returns the organisation and the budget that the caller's key belongs to.
func Authenticate(c archiver.Configuration, secret string) (archiver.Principal, *Refusal) {
	access, ok := c.Principal(archiver.HashKey(secret))
	if !ok {
		return archiver.Principal{}, Refuse(Unauthorised, "the key is not known")
	}
	return access, nil
}

// Admit checks a request against the configuration in force.
func Admit(c archiver.Configuration, r Request, now time.Time) (Admission, *Refusal) {
	access, refusal := Authenticate(c, r.APIKey)
	if refusal != nil {
		return Admission{}, refusal
	}
	a := Admission{
		access: access, work: r.Work, method: r.Method, path: r.Path, contentType: r.ContentType, body: r.Body,
	}
	if len(r.Work) > maxWorkBytes {
		return a, Refuse(BadRequest, "the kind of work has more than %d characters", maxWorkBytes)
	}
	name := r.Service
	var chat chatRequest
	if name == "" {
		if chat, refusal = parseChat(r.Body); refusal != nil {
			return a, refusal
		}
		name = chat.model
	}
	service, ok := c.Service(name)
	if !ok {
		return a, Refuse(UnknownService, "there is no service %q", name)
	}
	a.service = service
	a.rule = c.Rule(access.Organisation().Name(), name, r.Work)
	if refusal := a.computeMaxCost(service, r.Service == "", chat); refusal != nil {
		return a, refusal
	}
	a.fingerprint = claimer.NewFingerprint(access.Organisation().Name(), name, fingerprintInput(r))
	return a, a.checkIdempotencyKey(r.IdempotencyKey, now)
}

// fingerprintInput returns the parts of a request that must be equal in all requests with
// the same idempotency key.
func fingerprintInput(r Request) []byte {
	return append([]byte(r.Method+" "+r.Path+"\x00"), r.Body...)
}

// computeMaxCost sets the most that the request can cost. For a model request it also
// sets the body for the engine, the content type, the options of the stream and the
// prompt prefix.
func (a *Admission) computeMaxCost(service archiver.Service, isChat bool, chat chatRequest) *Refusal {
	var bound pricer.Usage
	switch kind := service.Kind().(type) {
	case archiver.Model:
		if !isChat {
			return Refuse(BadRequest, "%q is a model: use /v1/chat/completions", service.Name())
		}
		maxTokens := service.MaxCompletionTokens()
		if chat.maxTokens > 0 {
			maxTokens = min(maxTokens, chat.maxTokens)
		}
		body, err := chat.bodyFor(maxTokens)
		if err != nil {
			return Refuse(BadRequest, "%v", err)
		}
		a.body, a.stream, a.includeUsage, a.promptPrefix = body, chat.stream, chat.includeUsage, chat.promptPrefix
		a.contentType = "application/json"
		// A prompt never has more tokens than bytes.
		bound, err = pricer.NewUsage(int64(len(body)), maxTokens)
		if err != nil {
			return Refuse(BadRequest, "%v", err)
		}
	case archiver.Plain:
		if isChat {
			return Refuse(BadRequest, "%q is a plain service: use /services/%s/", service.Name(), service.Name())
		}
	default:
		panic(kind)
	}
	maxCost, err := pricer.Cost(service.Price(), bound)
	if err != nil {
		return Refuse(BadRequest, "the request could cost too much: %v", err)
	}
	a.maxCost = maxCost
	return nil
}

// checkIdempotencyKey sets the idempotency key. A request that is not repeatable must have
// one that contains a recent time.
func (a *Admission) checkIdempotencyKey(key string, now time.Time) *Refusal {
	if key == "" {
		if !a.service.Idempotent() {
			return Refuse(KeyRequired, "calls of %q are not repeatable: send an Idempotency-Key that is a version 7 UUID or begins with the Unix time in seconds and a hyphen", a.service.Name())
		}
		return nil
	}
	if len(key) > maxKeyBytes {
		return Refuse(BadRequest, "the Idempotency-Key has more than %d characters", maxKeyBytes)
	}
	if !a.service.Idempotent() {
		at, ok := keyTime(key)
		if !ok {
			return Refuse(KeyRequired, "the Idempotency-Key carries no time: use a version 7 UUID or begin it with the Unix time in seconds and a hyphen")
		}
		if age := now.Sub(at); age > maxKeyAge || age < -maxKeyAhead {
			return Refuse(KeyExpired, "the Idempotency-Key is from %s: keys are good for %s", at.UTC().Format(time.RFC3339), maxKeyAge)
		}
	}
	a.idempotencyKey = claimer.NewKey(a.access.Organisation().Name(), key)
	return nil
}

// keyTime returns the time that an idempotency key contains.
func keyTime(key string) (time.Time, bool) {
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != 7 {
			return time.Time{}, false
		}
		seconds, nanoseconds := id.Time().UnixTime()
		return time.Unix(seconds, nanoseconds), true
	}
	digits, _, ok := strings.Cut(key, "-")
	seconds, err := strconv.ParseInt(digits, 10, 64)
	return time.Unix(seconds, 0), ok && err == nil
}

// chatRequest holds the fields of a chat completion request that the router needs.
type chatRequest struct {
	fields       map[string]json.RawMessage
	model        string
	maxTokens    int64
	stream       bool
	includeUsage bool
	promptPrefix string
}

type jsonChat struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func parseChat(body []byte) (chatRequest, *Refusal) {
	var w jsonChat
	if err := json.Unmarshal(body, &w); err != nil {
		return chatRequest{}, Refuse(BadRequest, "the body is not a valid chat request: %v", err)
	}
	chat := chatRequest{model: w.Model, stream: w.Stream}
	if err := json.Unmarshal(body, &chat.fields); err != nil {
		return chat, Refuse(BadRequest, "the body is not a JSON object")
	}
	if w.Model == "" || len(w.Messages) == 0 || string(w.Messages) == "null" {
		return chat, Refuse(BadRequest, "model and messages are required")
	}
	if w.N != nil && *w.N != 1 {
		return chat, Refuse(BadRequest, "n must be 1: send several requests instead")
	}
	for _, limit := range []*int64{w.MaxTokens, w.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit <= 0 {
			return chat, Refuse(BadRequest, "max_tokens must be positive")
		}
		chat.maxTokens = *limit
	}
	chat.includeUsage = w.StreamOptions != nil && w.StreamOptions.IncludeUsage
	chat.promptPrefix = string(w.Messages[:min(len(w.Messages), prefixBytes)])
	return chat, nil
}

// bodyFor returns the body for an engine. Its token limit is the one for which the budget
// is reserved, and a stream is asked to report its usage.
func (c chatRequest) bodyFor(maxTokens int64) ([]byte, error) {
	delete(c.fields, "max_completion_tokens")
	c.fields["max_tokens"] = json.RawMessage(strconv.FormatInt(maxTokens, 10))
	if c.stream {
		c.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(c.fields)
}

// HashPromptPrefix returns the first 8 bytes of the SHA-256 hash of a prompt prefix.
func HashPromptPrefix(prefix string) [8]byte {
	sum := sha256.Sum256([]byte(prefix))
	return [8]byte(sum[:8])
}
