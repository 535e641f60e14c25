package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/shutdownplanner"
	"radishshed.example/radishshed/pkg/protocol/classifier"
)

// Guards against a request that a router takes during a planned stop and cannot end before the
// process is killed (LOST): it is refused, has not run, and its connection closes. A request
// that can end is served.
func TestRouterThatStopsRefusesWhatCannotEnd(t *testing.T) {
	for _, test := range []struct {
		name          string
		notice, grace time.Duration
		learned       int // requests served before
		want          int
	}{
		{"duration unknown", time.Minute, 2 * time.Second, 0, http.StatusServiceUnavailable},
		{"duration known", time.Minute, 2 * time.Second, 20, http.StatusOK},
		{"grace period unknown, in the notice", time.Minute, 0, 0, http.StatusOK},
		{"grace period unknown, after the notice", 0, 0, 20, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			runs := 0
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs++
				instantTarget(w, r)
			}))
			t.Cleanup(engine.Close)
			r, url := startTestRouter(t, []string{strings.TrimPrefix(engine.URL, "http://")}, nil)
			for range test.learned {
				if _, err := post(url); err != nil {
					t.Fatal(err)
				}
			}
			runs = 0
			r.tracker.BeginShutdown(shutdownplanner.New(shutdownplanner.Config{StartedAt: time.Now(), Notice: test.notice, Grace: test.grace}))
			request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }() // the body has been read
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != test.want || !response.Close {
				t.Errorf("status %d, closes %v, error %v, %s; want status %d", response.StatusCode, response.Close, err, body, test.want)
			}
			refused := test.want != http.StatusOK
			if refused && (runs > 0 || response.Header.Get(classifier.Header) != (classifier.NotRun{}).String()) {
				t.Errorf("refused after %d runs, verdict %q", runs, response.Header.Get(classifier.Header))
			}
		})
	}
}
