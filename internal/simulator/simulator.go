// Package simulator simulates targets for tests, demonstrations and measurements.
// A simulated target combines a model engine, with continuous batching and a prefix
// cache, with a plain service that records the requests that it runs.
package simulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/forwarder"
	"radishshed.example/radishshed/internal/listener"
)

const (
	announceInterval = time.Second
	requestIDHeader  = "X-Request-Id"
	maxBodyBytes     = 16 << 20
	// maxRecords bounds the number of recorded requests. The oldest are dropped.
	maxRecords = 200_000
)

// Config configures a simulated target.
type Config struct {
	// Name is the target's name. Required.
	Name string
	// Address is the host and port that the target serves on. Required.
	Address string
	// DataCentre is the data centre that the target is in. Required.
	DataCentre string
	// Routers are the caller addresses of the routers to which the target
	// announces itself. Required.
	Routers []string
	// Key is the target's API key. Required.
	Key string
	// Services are the services that the target serves. Required.
	Services []string
	// Capacity is how many requests the engine runs at the same time. Default: 8.
	Capacity int64
	// TokenTime is the time to generate one token while one request runs. Each
	// concurrent request adds a fraction of it. Default: 2 ms.
	TokenTime time.Duration
	// PromptTokenTime is the prefill time per prompt token if the prefix of the
	// prompt is not cached. Default: 20 µs.
	PromptTokenTime time.Duration
	// CachedPrefixes is how many prompt prefixes the cache holds.
	// Default: 64.
	CachedPrefixes int
	// LoadReportDelay simulates delayed reports: announcements contain the load as it
	// was this long ago. Default: none, so that the load is current.
	LoadReportDelay time.Duration
	// RequestLimit, if positive, is the limit of requests a second from all routers together
	// that the target names in its responses. It does not enforce the limit.
	RequestLimit float64
	// SaysLeaving, if set, reports whether the target says in its responses that it leaves.
	// Its announcements still call it serving.
	SaysLeaving func() bool
	// OnRequest, if set, is called for each request of a caller that arrives.
	OnRequest func()
	// Crash is called when a request whose body contains CrashMarker is run.
	// Default: the request is served like any other.
	Crash func()
	// Log receives events. Required.
	Log *zap.Logger
}

// CrashMarker in the body of a request makes a simulated target crash.
const CrashMarker = "crash-this-engine"

func (c Config) withDefaults() Config {
	if c.Capacity == 0 {
		c.Capacity = 8
	}
	if c.TokenTime == 0 {
		c.TokenTime = 2 * time.Millisecond
	}
	if c.PromptTokenTime == 0 {
		c.PromptTokenTime = 20 * time.Microsecond
	}
	if c.CachedPrefixes == 0 {
		c.CachedPrefixes = 64
	}
	return c
}

// Target is a simulated target.
type Target struct {
	config      Config
	incarnation uint64
	sequence    atomic.Uint64
	leaving     atomic.Bool
	engine      *engine
	plain       *plainService
	handler     http.Handler

	mutex       sync.Mutex
	loadSamples []loadSample
}

type loadSample struct {
	at      time.Time
	running int64
	waiting int64
}

// New returns a simulated target that is not running yet.
func New(config Config) *Target {
	t := &Target{config: config.withDefaults(), incarnation: uint64(time.Now().UnixMilli())}
	t.engine = newEngine(t.config)
	t.plain = newPlainService(t.config)
	routes := chi.NewRouter()
	routes.Post("/v1/chat/completions", t.engine.serveChat)
	routes.Get("/v1/streams/*", t.engine.serveStream)
	routes.Get("/usage/*", t.serveUsage)
	routes.Get("/runs", t.plain.serveRuns)
	routes.Get("/nonces/{nonce}", t.serveNonce)
	routes.Get("/announcement", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.announcement()) })
	routes.HandleFunc("/*", t.plain.serve)
	t.handler = routes
	return t
}

// ServeHTTP serves the target's HTTP routes, for tests with a listener of their
// own.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.config.RequestLimit > 0 {
		w.Header().Set(forwarder.RequestLimitHeader, strconv.FormatFloat(t.config.RequestLimit, 'f', -1, 64))
	}
	if t.config.SaysLeaving != nil && t.config.SaysLeaving() {
		w.Header().Set(forwarder.LeavingHeader, forwarder.LeavingValue)
	}
	if t.config.OnRequest != nil && r.Header.Get(requestIDHeader) != "" {
		t.config.OnRequest()
	}
	t.handler.ServeHTTP(w, r)
}

// Run serves requests and announces the target to the routers until the context
// ends. It then announces that the target is leaving and serves requests until
// none has been in flight for five announcement intervals.
func (t *Target) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	l, err := listener.Start(listener.Config{
		Address: t.config.Address, Handler: t, OnError: func(err error) { failed <- err },
	})
	if err != nil {
		return err
	}
	defer l.Close()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ticker.C:
		case err := <-failed:
			return err
		case <-ctx.Done():
			return t.leave(ticker.C)
		}
	}
}

func (t *Target) leave(tick <-chan time.Time) error {
	t.leaving.Store(true)
	t.config.Log.Info("target is leaving")
	idleTicks := 0
	// A disconnected router does not learn that the target is leaving. It sends
	// requests until the lease of the last announcement that it has received expires.
	for idleTicks < 5 {
		t.announce(context.Background())
		<-tick
		idleTicks++
		if running, waiting := t.engine.load(); running+waiting+t.plain.running.Load() > 0 {
			idleTicks = 0
		}
	}
	return nil
}

// announcement returns the target's announcement under a new sequence number.
func (t *Target) announcement() map[string]any {
	state := "serving"
	if t.leaving.Load() {
		state = "leaving"
	}
	running, waiting := t.reportedLoad()
	return map[string]any{
		"name": t.config.Name, "address": t.config.Address, "dataCentre": t.config.DataCentre,
		"incarnation": t.incarnation, "sequence": t.sequence.Add(1),
		"services": t.config.Services, "capacity": t.config.Capacity, "state": state,
		"load": map[string]int64{"running": running, "waiting": waiting},
	}
}

// announce sends the announcement to the routers in turn until one accepts it.
func (t *Target) announce(ctx context.Context) {
	body, err := json.Marshal(t.announcement())
	if err != nil {
		return // cannot happen: basic types always encode
	}
	first := int(t.sequence.Load()) % len(t.config.Routers)
	for n := range t.config.Routers {
		router := t.config.Routers[(first+n)%len(t.config.Routers)]
		if t.postAnnouncement(ctx, router, body) {
			return
		}
	}
	t.config.Log.Debug("no router accepted the announcement")
}

func (t *Target) postAnnouncement(ctx context.Context, router string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/targets/announce", strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+t.config.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status is used
	return response.StatusCode == http.StatusOK
}

// reportedLoad returns the load as it was LoadReportDelay ago.
func (t *Target) reportedLoad() (running, waiting int64) {
	now := time.Now()
	running, waiting = t.engine.load()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.loadSamples = append(t.loadSamples, loadSample{now, running + t.plain.running.Load(), waiting})
	for len(t.loadSamples) > 1 && now.Sub(t.loadSamples[1].at) >= t.config.LoadReportDelay {
		t.loadSamples = t.loadSamples[1:]
	}
	return t.loadSamples[0].running, t.loadSamples[0].waiting
}

// serveNonce responds with status 200 if the target has received a request whose
// body contains the nonce, and with 404 otherwise.
func (t *Target) serveNonce(w http.ResponseWriter, r *http.Request) {
	nonce := chi.URLParam(r, "nonce")
	if t.engine.hasReceived(nonce) || t.plain.hasReceived(nonce) {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "unknown nonce", http.StatusNotFound)
}

type jsonUsageRecord struct {
	Finished         bool  `json:"finished"`
	Status           int   `json:"status"`
	PromptTokens     int64 `json:"promptTokens"`
	CompletionTokens int64 `json:"completionTokens"`
}

func (t *Target) serveUsage(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "*")
	record, ok := t.engine.record(id)
	if !ok {
		record, ok = t.plain.record(id)
	}
	if !ok {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	writeJSON(w, record)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // fails only if the client has disconnected
}
