// Package operator serves the HTTP routes that every process offers to operators,
// to the orchestrator and to the metrics collector. It also holds the JSON forms
// of the operators' routes and the client that the command line uses.
package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/transport/linker"
)

// Config configures the routes that every process serves.
type Config struct {
	// IsOperatorKey reports whether the hash is that of an operator key. Required.
	IsOperatorKey func(hash [32]byte) bool
	// Ready reports whether the process accepts new work. Required.
	Ready func() bool
	// Metrics holds the metrics of the process. Required.
	Metrics metrics.Registry
	// Timeline holds the events of the process. Required.
	Timeline *recorder.Timeline
}

// Mount adds the routes that every process serves: /live and /ready for the
// orchestrator, /metrics for the metrics collector, and /timeline for operators.
func Mount(routes chi.Router, config Config) {
	routes.Get("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !config.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	routes.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { writeMetrics(w, config.Metrics) })
	routes.With(RequireOperatorKey(config.IsOperatorKey)).Get("/timeline", func(w http.ResponseWriter, r *http.Request) {
		serveTimeline(w, r, config.Timeline)
	})
}

// RequireOperatorKey returns middleware that rejects requests without an operator
// key.
func RequireOperatorKey(isOperatorKey func(hash [32]byte) bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !isOperatorKey(archiver.HashKey(BearerToken(r))) {
				WriteError(w, http.StatusUnauthorized, "unauthorised", "the key is not that of an operator")
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// BearerToken returns the bearer token of a request, or "" if it has none.
func BearerToken(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return secret
}

// Error is the JSON form of an error response.
type Error struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, status int, kind, message string) {
	writeResponse(w, status, map[string]Error{"error": {kind, message}})
}

// WriteJSON writes a value as a response with status 200.
func WriteJSON(w http.ResponseWriter, v any) { writeResponse(w, http.StatusOK, v) }

func writeResponse(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // fails only if the operator has disconnected
}

// Charge is the JSON form of a charge.
type Charge struct {
	Request            string    `json:"request"`
	Service            string    `json:"service"`
	Work               string    `json:"work,omitempty"`
	Target             string    `json:"target"`
	PromptTokens       int64     `json:"promptTokens"`
	CompletionTokens   int64     `json:"completionTokens"`
	AmountMicrocredits int64     `json:"amountMicrocredits"`
	Basis              string    `json:"basis"`
	At                 time.Time `json:"at"`
}

// Statement is the JSON form of the account of one budget, with its charges.
type Statement struct {
	Account        string    `json:"account"`
	Prepaid        int64     `json:"prepaidMicrocredits"`
	Charged        int64     `json:"chargedMicrocredits"`
	Reserved       int64     `json:"reservedMicrocredits"`
	Unspent        int64     `json:"heldByRoutersMicrocredits"` // in the grants of all routers
	Free           int64     `json:"freeMicrocredits"`
	BroughtForward int64     `json:"broughtForwardMicrocredits"`
	Holdings       []Holding `json:"holdings"`
	Charges        []Charge  `json:"charges"`
}

// Holding is the JSON form of the unspent microcredits that one router holds.
type Holding struct {
	Router  string `json:"router"`
	Unspent int64  `json:"unspentMicrocredits"`
	Retired bool   `json:"retired,omitempty"`
}

// Statements is the JSON form of the statements of an organisation.
type Statements struct {
	Statements []Statement `json:"statements"`
}

// StatementsToJSON converts statements to their JSON form.
func StatementsToJSON(statements []bookkeeper.Statement) Statements {
	var converted Statements
	for _, s := range statements {
		w := Statement{
			Account:        s.Account(),
			Prepaid:        int64(s.Prepaid()),
			Charged:        int64(s.Charged()),
			Reserved:       int64(s.Reserved()),
			Unspent:        int64(s.Unspent()),
			Free:           int64(s.Free()),
			BroughtForward: int64(s.BroughtForward()),
			Charges:        []Charge{},
		}
		for _, h := range s.Holdings() {
			w.Holdings = append(w.Holdings, Holding{h.Router().String(), int64(h.Unspent()), h.Retired()})
		}
		for _, c := range s.Charges() {
			w.Charges = append(w.Charges, chargeToJSON(c))
		}
		converted.Statements = append(converted.Statements, w)
	}
	return converted
}

func chargeToJSON(c bookkeeper.Charge) Charge {
	return Charge{
		Request:            c.Request().String(),
		Service:            c.Service(),
		Work:               c.WorkKind(),
		Target:             c.Target(),
		PromptTokens:       c.Usage().PromptTokens(),
		CompletionTokens:   c.Usage().CompletionTokens(),
		AmountMicrocredits: int64(c.Amount()),
		Basis:              c.Basis().String(),
		At:                 c.EndedAt(),
	}
}

// OrganisationOf returns the organisation that an account belongs to.
func OrganisationOf(account string) string {
	organisation, _, _ := strings.Cut(account, "/")
	return organisation
}

// DescribePeers returns one line per peer: its role, process and data centre.
func DescribePeers(peers []*linker.Peer) []string {
	names := []string{}
	for _, p := range peers {
		i := p.Identity()
		names = append(names, fmt.Sprintf("%s %s in %s", i.Role(), i.Process(), i.DataCentre()))
	}
	return names
}

// EntryKeys returns the keys of the entries.
func EntryKeys(entries []disseminator.Entry) []string {
	keys := []string{}
	for _, e := range entries {
		keys = append(keys, e.Key())
	}
	return keys
}

// Event is the JSON form of an event.
type Event struct {
	Stamp        uint64    `json:"stamp"`
	At           time.Time `json:"at"`
	VM           string    `json:"vm"`
	Name         string    `json:"name"`
	Request      string    `json:"request,omitempty"`
	Organisation string    `json:"organisation,omitempty"`
	Detail       string    `json:"detail,omitempty"`
}

// Timeline is the JSON form of a timeline.
type Timeline struct {
	Events []Event `json:"events"`
}

func serveTimeline(w http.ResponseWriter, r *http.Request, timeline *recorder.Timeline) {
	request, organisation := r.URL.Query().Get("request"), r.URL.Query().Get("organisation")
	since, _ := time.Parse(time.RFC3339Nano, r.URL.Query().Get("since")) // a malformed time selects all events
	events := timeline.Select(func(e recorder.Event) bool {
		return (request == "" || e.Request() == request) &&
			(organisation == "" || e.Organisation() == organisation) &&
			e.At().After(since)
	})
	response := Timeline{Events: []Event{}}
	for _, e := range events {
		response.Events = append(response.Events, Event{
			Stamp: e.Stamp(), At: e.At(), VM: e.VM(), Name: e.Name(),
			Request: e.Request(), Organisation: e.Organisation(), Detail: e.Detail(),
		})
	}
	WriteJSON(w, response)
}

func writeHistogram(w http.ResponseWriter, name string, h metrics.Histogram) {
	snapshot := h.Snapshot()
	_, _ = fmt.Fprintf(w, "radishshed_%s_count %d\n", name, snapshot.Count()) // fails only if the scraper has disconnected
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		_, _ = fmt.Fprintf(w, "radishshed_%s{quantile=\"%g\"} %g\n", name, quantile, snapshot.Percentile(quantile)) // as above
	}
}

// writeMetrics writes the metrics in the Prometheus text format, one value per
// line.
func writeMetrics(w http.ResponseWriter, registry metrics.Registry) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "radishshed_%s %d\n", name, m.Count()) // fails only if the scraper has disconnected
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "radishshed_%s %d\n", name, m.Value()) // as above
		case metrics.Histogram:
			writeHistogram(w, name, m)
		}
	})
}
