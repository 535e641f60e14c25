package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/committer"
	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/relayer"
	"radishshed.example/radishshed/internal/relayselector"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	testKey    = "secret"
	testTicket = `{"number": 1,
		"organisations": [{"name": "o", "keys": [{"hash": %q, "budget": "b"}], "budgets": [{"name": "b", "prepaidMicrocredits": 1000000000000000}]}],
		"services": [{"name": "assistant", "kind": "model", "repeatable": true, "maxCompletionTokens": 100,
			"price": {"perCallMicrocredits": 0, "perPromptTokenMicrocredits": 1, "perCompletionTokenMicrocredits": 1}}]}`
)

// inMemoryControl is control's state machine without a log or a network.
type inMemoryControl struct {
	mutex sync.Mutex
	state *applier.State
}

func (c *inMemoryControl) CallControl(_ context.Context, _ string, _ uint8, body []byte) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch, err := applier.DecodeBatch(body)
	if err != nil {
		return nil, err
	}
	result, err := applier.EncodeBatchResult(c.state.Apply(batch, time.Now()).(applier.BatchResult))
	if err != nil {
		return nil, err
	}
	return messenger.EncodeResponse(messenger.NewResponse(result))
}

// instantTarget responds with a stream of four events, without delay.
func instantTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // errors surface in the caller's response
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range []string{
		`{"choices":[{"index":0,"delta":{"content":"one"}}]}`,
		`{"choices":[{"index":0,"delta":{"content":" two"}}]}`,
		`{"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2}}`,
		`[DONE]`,
	} {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", event) // errors surface in the caller's response
	}
}

// newTestRouter starts a router with an in-memory control and returns its URL.
func newTestRouter(tb testing.TB, target http.Handler) string {
	tb.Helper()
	engine := httptest.NewServer(target)
	tb.Cleanup(engine.Close)
	_, url := startTestRouter(tb, []string{strings.TrimPrefix(engine.URL, "http://")}, nil)
	return url
}

// startTestRouter starts a router that knows the engines at the addresses and opens direct
// connections to them with dial. It returns the router and its URL.
func startTestRouter(tb testing.TB, engines []string, dial relayer.Dialer) (*Router, string) {
	tb.Helper()
	folder := tb.TempDir()
	settings := `{"vm": "router-1", "dataCentre": "a", "dataCentres": ["a"], "linkAddress": "127.0.0.1:1", "operatorAddress": "127.0.0.1:1",
		"callerAddress": "127.0.0.1:1", "controlAddresses": ["127.0.0.1:1"], "fleetKeyFile": "key"}`
	for name, text := range map[string]string{"key": "0123456789abcdef", "router.json": settings} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			tb.Fatal(err)
		}
	}
	loaded, err := configurer.Load(filepath.Join(folder, "router.json"), configurer.Router{})
	if err != nil {
		tb.Fatal(err)
	}
	r, err := New(Config{Settings: loaded, DialTarget: dial, Log: zap.NewNop()})
	if err != nil {
		tb.Fatal(err)
	}
	ticket, err := archiver.Decode(fmt.Appendf(nil, testTicket, archiver.FormatHash(archiver.HashKey(testKey))))
	if err != nil {
		tb.Fatal(err)
	}
	control := &inMemoryControl{state: applier.New(applier.Config{})}
	control.state.Apply(applier.NewSubmitTicket(ticket), time.Now())
	r.committer = committer.New(committer.Config{
		Process: r.process, ControlClient: control, Allotter: r.allotter, IntentStore: r.storedIntents, OnRetired: r.retire, Log: r.log, Metrics: r.metrics,
	})
	r.activate(archiver.Configuration{}.With(ticket))
	r.confirmOnce.Do(func() { close(r.confirmed) })
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.committer.Run(ctx) })
	callers := httptest.NewServer(r.callerRoutes())
	tb.Cleanup(func() {
		callers.Close()
		cancel()
		running.Wait()
	})
	for i, address := range engines {
		announce(tb, r, fmt.Sprintf("engine-%d", i), address)
	}
	return r, callers.URL
}

func announce(tb testing.TB, r *Router, name, address string) {
	tb.Helper()
	body, err := json.Marshal(map[string]any{
		"name": name, "address": address, "dataCentre": "a", "incarnation": 1, "sequence": 1,
		"services": []string{"assistant"}, "capacity": 1 << 20, "state": "serving",
	})
	if err != nil {
		tb.Fatal(err)
	}
	announcement, err := selector.DecodeAnnouncement(body)
	if err != nil {
		tb.Fatal(err)
	}
	entry, err := announcement.Entry(time.Now().Add(time.Hour))
	if err != nil {
		tb.Fatal(err)
	}
	if err := r.disseminator.Put(entry); err != nil {
		tb.Fatal(err)
	}
}

const chatBody = `{"model":"assistant","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`

func post(url string) (string, error) {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read completely
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return body.String(), err
}

// measure sends b.N requests from the given number of concurrent callers and
// reports quantiles of the response time.
func measure(b *testing.B, url string, callers int) {
	b.Helper()
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mutex sync.Mutex
	var running sync.WaitGroup
	work := make(chan struct{})
	for range callers {
		running.Go(func() {
			for range work {
				start := time.Now()
				body, err := post(url)
				if err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
					b.Errorf("error %v, response %q; want a complete stream", err, body)
				}
				mutex.Lock()
				_ = histogram.RecordValue(time.Since(start).Microseconds()) // the recorded value is in range
				mutex.Unlock()
			}
		})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	running.Wait()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkStream compares streams relayed by the router, with an in-memory
// control, with streams read directly from the target.
func BenchmarkStream(b *testing.B) {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 512
	for _, callers := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("direct/%d", callers), func(b *testing.B) {
			engine := httptest.NewServer(http.HandlerFunc(instantTarget))
			defer engine.Close()
			measure(b, engine.URL, callers)
		})
		b.Run(fmt.Sprintf("router/%d", callers), func(b *testing.B) {
			url := newTestRouter(b, http.HandlerFunc(instantTarget))
			measure(b, url, callers)
		})
	}
}

// Guards against a router that refuses its callers because it has lost the path to all targets,
// though another router still reaches them (RECOVER).
func TestRouterThatLostThePathToTargetsServesThroughAnother(t *testing.T) {
	var engines []string
	for range 2 {
		engine := httptest.NewServer(http.HandlerFunc(instantTarget))
		t.Cleanup(engine.Close)
		engines = append(engines, strings.TrimPrefix(engine.URL, "http://"))
	}
	relay, _ := startTestRouter(t, engines, nil)
	tunnels := httptest.NewServer(linker.NewTunnels(relay.endpoint, relay.relays.Accept))
	t.Cleanup(tunnels.Close)
	lost, url := startTestRouter(t, engines, func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
	lost.relayCandidates.Store(&[]relayselector.Candidate{
		relayselector.NewCandidate("relay", strings.TrimPrefix(tunnels.URL, "http://"), "a"),
	})
	for range 10 {
		if body, err := post(url); err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("error %v, response %q; want a complete stream", err, body)
		}
	}
	if !lost.relays.Lost() {
		t.Error("the router does not know that it has lost the path")
	}
}

// Guards: a caller gets the complete response to its own request and never that
// to another. An incomplete response is never relayed so that it looks
// complete.
func TestIncompleteResponsesAreNotRelayedAsComplete(t *testing.T) {
	const event = `data: {"choices":[{"index":0,"delta":{"content":"one"}}]}` + "\n\n"
	cases := []struct {
		name   string
		target http.HandlerFunc
		want   string
	}{
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "router-9@1/1")
			_, _ = io.WriteString(w, event+"data: [DONE]\n\n") // errors surface in the caller's response
		}, "targetFailed"},
		{"stream without [DONE]", func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				http.Error(w, "unknown stream", http.StatusNotFound)
				return
			}
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			_, _ = io.WriteString(w, event) // errors surface in the caller's response
		}, "targetFailed"},
		{"response shorter than its Content-Length", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("Content-Length", "1000")
			w.WriteHeader(http.StatusBadRequest)  // not OK, so the router reads the body whole instead of as a stream
			_, _ = io.WriteString(w, `{"error":`) // errors surface in the caller's response
		}, "targetFailed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := newTestRouter(t, c.target)
			body, err := post(url)
			if strings.Contains(body, "[DONE]") {
				t.Fatalf("incomplete response looks complete: %q", body)
			}
			if !strings.Contains(body, c.want) || !strings.Contains(body, "mayHaveRun") {
				t.Fatalf("%q, %v; want %s and mayHaveRun", body, err, c.want)
			}
		})
	}
}
