package simulator

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one run of a request by the plain service.
type Run struct {
	RequestID string `json:"request"`
	Body      string `json:"body"`
	Status    int    `json:"status"`
}

// plainService simulates a service without a model. It runs every request that it
// receives and records the run, so that tests can count the runs.
type plainService struct {
	config  Config
	running atomic.Int64

	mutex sync.Mutex
	runs  []Run
}

func newPlainService(config Config) *plainService { return &plainService{config: config} }

func (p *plainService) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.running.Add(1)
	defer p.running.Add(-1)
	p.mutex.Lock()
	p.runs = append(p.runs, Run{id, string(body), http.StatusOK})
	if len(p.runs) > maxRecords {
		p.runs = p.runs[1:]
	}
	position := len(p.runs) // position in the record
	p.mutex.Unlock()
	time.Sleep(p.config.TokenTime)
	if crashIfMarked(p.config, body) {
		return
	}
	sum := sha256.Sum256(body)
	w.Header().Set(requestIDHeader, id)
	writeJSON(w, map[string]any{
		"order": position, "target": p.config.Name, "request": id, "bodyHash": hex.EncodeToString(sum[:]),
	})
}

func (p *plainService) serveRuns(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	writeJSON(w, p.runs)
}

// Runs returns the runs of the plain service, the oldest first.
func (t *Target) Runs() []Run {
	t.plain.mutex.Lock()
	defer t.plain.mutex.Unlock()
	return append([]Run(nil), t.plain.runs...)
}

func (p *plainService) hasReceived(nonce string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.runs, func(r Run) bool { return strings.Contains(r.Body, nonce) })
}

func (p *plainService) record(id string) (jsonUsageRecord, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n := len(p.runs) - 1; n >= 0; n-- {
		if p.runs[n].RequestID == id {
			return jsonUsageRecord{Finished: true, Status: p.runs[n].Status}, true
		}
	}
	return jsonUsageRecord{}, false
}
