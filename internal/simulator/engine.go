package simulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	defaultTokens       = 20
	bytesPerToken       = 4
	prefixBytes         = 512
	batchSlowdownTenths = 4 // a full batch adds about this many tenths to the time per token
	tenths              = 10
	eventSeparator      = "\n\n"
)

var (
	noncePattern  = regexp.MustCompile(`nonce:([A-Za-z0-9]+)`)
	tokensPattern = regexp.MustCompile(`tokens:([0-9]+)`)
)

// stream is the completion of one chat request as a sequence of events, also if the
// request asks for a single response. The events are kept after the completion has
// finished, so that a router can read them again on another connection.
type stream struct {
	id               string
	mutex            sync.Mutex
	events           [][]byte
	finished         bool
	changed          chan struct{}
	promptTokens     int64
	completionTokens int64
	cancel           context.CancelFunc
}

func (s *stream) append(event []byte, isLast bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, event)
	s.finished = s.finished || isLast
	close(s.changed)
	s.changed = make(chan struct{})
}

// engine simulates a model engine.
type engine struct {
	config Config
	slots  chan struct{}

	mutex     sync.Mutex
	streams   map[string]*stream
	streamIDs []string // the oldest first
	cache     []string // prompt prefixes, the most recently used last
	running   int64
	waiting   int64
	hits      int64
	misses    int64
	nonces    map[string]bool
}

func newEngine(config Config) *engine {
	return &engine{config: config, slots: make(chan struct{}, config.Capacity), streams: map[string]*stream{}, nonces: map[string]bool{}}
}

func (e *engine) load() (running, waiting int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running, e.waiting
}

// CacheStats returns how many prompts had their prefix in the cache, and how many
// did not.
func (t *Target) CacheStats() (hits, misses int64) {
	t.engine.mutex.Lock()
	defer t.engine.mutex.Unlock()
	return t.engine.hits, t.engine.misses
}

type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (e *engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, "request body is not a chat request", http.StatusBadRequest)
		return
	}
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	s := e.start(id, c, body)
	if c.Stream {
		e.serveEvents(w, r, s, 0)
		return
	}
	e.serveCompletion(w, r, s, c)
}

// start starts the run of a request, or returns the stream of the run that already
// has the identifier.
func (e *engine) start(id string, c chatRequest, body []byte) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s, ok := e.streams[id]; ok {
		cancel()
		return s
	}
	s := &stream{
		id: id, changed: make(chan struct{}), cancel: cancel,
		promptTokens: int64(len(c.Messages)/bytesPerToken) + 1,
	}
	e.streams[id] = s
	e.streamIDs = append(e.streamIDs, id)
	if len(e.streamIDs) > maxRecords {
		delete(e.streams, e.streamIDs[0])
		e.streamIDs = e.streamIDs[1:]
	}
	if m := noncePattern.FindSubmatch(body); m != nil {
		e.nonces[string(m[1])] = true
	}
	e.waiting++
	g := &generation{engine: e, stream: s, chat: c, body: body, ctx: ctx}
	go g.run()
	return s
}

// generation produces the events of one stream.
type generation struct {
	engine *engine
	stream *stream
	chat   chatRequest
	body   []byte
	ctx    context.Context
}

func (g *generation) run() {
	e := g.engine
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.mutex.Lock()
	e.waiting--
	e.running++
	cached := e.touchPrefix(string(g.chat.Messages[:min(len(g.chat.Messages), prefixBytes)]))
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.running--
		e.mutex.Unlock()
	}()
	if !cached {
		time.Sleep(time.Duration(g.stream.promptTokens) * e.config.PromptTokenTime)
	}
	if crashIfMarked(e.config, g.body) {
		return
	}
	g.generate()
}

// crashIfMarked calls the crash function of the configuration if the body contains
// CrashMarker, and reports whether it has.
func crashIfMarked(config Config, body []byte) bool {
	if config.Crash == nil || !bytes.Contains(body, []byte(CrashMarker)) {
		return false
	}
	config.Crash()
	return true
}

func (g *generation) generate() {
	e, s := g.engine, g.stream
	words := g.words()
	for n, word := range words {
		running, _ := e.load()
		time.Sleep(e.config.TokenTime + e.config.TokenTime*time.Duration(running-1)*batchSlowdownTenths/tenths/time.Duration(e.config.Capacity))
		s.mutex.Lock()
		s.completionTokens++
		s.mutex.Unlock()
		if n > 0 {
			word = " " + word
		}
		s.append(chunk(g.chat.Model, s.id, map[string]string{"role": "assistant", "content": word}, nil), false)
		if g.ctx.Err() != nil {
			break
		}
	}
	finishReason := "stop"
	s.append(chunk(g.chat.Model, s.id, map[string]string{}, &finishReason), false)
	s.append(usageChunk(g.chat.Model, s), false)
	s.append([]byte("[DONE]"), true)
}

// words returns the completion: the nonce of the prompt, by which a caller
// recognises the response to its own request, then filler words up to the
// requested length, then an end marker.
func (g *generation) words() []string {
	count := int64(defaultTokens)
	if m := tokensPattern.FindSubmatch(g.body); m != nil {
		count, _ = strconv.ParseInt(string(m[1]), 10, 64) // the pattern matches digits only
	}
	if g.chat.MaxTokens > 0 {
		count = min(count, g.chat.MaxTokens)
	}
	words := make([]string, 0, count)
	if m := noncePattern.FindSubmatch(g.body); m != nil {
		words = append(words, string(m[1]))
	}
	for int64(len(words)) < count-1 {
		words = append(words, "w"+strconv.Itoa(len(words)))
	}
	return append(words, "end")
}

// touchPrefix reports whether a prefix is in the cache, and makes it the most
// recently used.
func (e *engine) touchPrefix(prefix string) bool {
	for n, cached := range e.cache {
		if cached == prefix {
			e.cache = append(append(e.cache[:n:n], e.cache[n+1:]...), prefix)
			e.hits++
			return true
		}
	}
	e.misses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.config.CachedPrefixes {
		e.cache = e.cache[1:]
	}
	return false
}

func chunk(model, id string, delta map[string]string, finish *string) []byte {
	data, err := json.Marshal(map[string]any{
		"id": id, "object": "chat.completion.chunk", "created": 0, "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
	})
	if err != nil {
		panic(err) // cannot happen: basic types always encode
	}
	return data
}

func usageChunk(model string, s *stream) []byte {
	data, err := json.Marshal(map[string]any{
		"id": s.id, "object": "chat.completion.chunk", "created": 0, "model": model,
		"choices": []any{}, "usage": s.usage(),
	})
	if err != nil {
		panic(err) // cannot happen: basic types always encode
	}
	return data
}

func (s *stream) usage() map[string]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return map[string]int64{
		"prompt_tokens": s.promptTokens, "completion_tokens": s.completionTokens,
		"total_tokens": s.promptTokens + s.completionTokens,
	}
}

// serveEvents writes the events of a stream from the given index on, as they are
// generated, until the stream ends or the client disconnects. A disconnect does not
// stop the run.
func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // fails only if the client has disconnected
	for next := from; ; {
		s.mutex.Lock()
		events, finished, changed := s.events, s.finished, s.changed
		s.mutex.Unlock()
		for ; next < len(events); next++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s%s", next, events[next], eventSeparator); err != nil {
				return
			}
		}
		_ = flusher.Flush() // as above
		if finished {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "*")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mutex.Lock()
	s, ok := e.streams[id]
	e.mutex.Unlock()
	if !ok || err != nil || from < 0 {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	w.Header().Set(requestIDHeader, id)
	e.serveEvents(w, r, s, from)
}

// serveCompletion responds with the whole completion once the stream has finished.
func (e *engine) serveCompletion(w http.ResponseWriter, r *http.Request, s *stream, c chatRequest) {
	for {
		s.mutex.Lock()
		finished, changed := s.finished, s.changed
		s.mutex.Unlock()
		if finished {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, map[string]any{
		"id": s.id, "object": "chat.completion", "created": 0, "model": c.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": s.content()},
		}},
		"usage": s.usage(),
	})
}

func (s *stream) content() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var content strings.Builder
	for _, event := range s.events {
		var w struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal(event, &w) == nil && len(w.Choices) == 1 {
			content.WriteString(w.Choices[0].Delta.Content)
		}
	}
	return content.String()
}

func (e *engine) hasReceived(nonce string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.nonces[nonce]
}

func (e *engine) record(id string) (jsonUsageRecord, bool) {
	e.mutex.Lock()
	s, ok := e.streams[id]
	e.mutex.Unlock()
	if !ok {
		return jsonUsageRecord{}, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return jsonUsageRecord{s.finished, http.StatusOK, s.promptTokens, s.completionTokens}, true
}
