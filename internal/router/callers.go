package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/admitter"
	"radishshed.example/radishshed/internal/durationestimator"
	"radishshed.example/radishshed/internal/forwarder"
	"radishshed.example/radishshed/internal/listener"
	"radishshed.example/radishshed/internal/operator"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/protocol/classifier"
	"radishshed.example/radishshed/pkg/state/archiver"
)

const (
	// WorkHeader is the header with the kind of work of a request.
	WorkHeader = "Radishshed-Work"
	// keyHeader is the header that identifies a request across its retries.
	keyHeader            = "Idempotency-Key"
	maxAnnouncementBytes = 64 << 10
)

// callerRoutes returns the handler for callers, targets and the platform's load
// balancer.
func (r *Router) callerRoutes() http.Handler {
	routes := chi.NewRouter()
	routes.Use(r.closeWhenDraining)
	routes.Get("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.Get("/ready", r.serveReady)
	routes.Post("/v1/chat/completions", r.serveChat)
	routes.Get("/v1/models", r.serveModels)
	routes.HandleFunc("/services/{service}/*", r.serveService)
	routes.Post("/targets/announce", r.serveAnnounce)
	return routes
}

// operatorRoutes returns the handler for operators and the platform.
func (r *Router) operatorRoutes() http.Handler {
	routes := chi.NewRouter()
	operator.Mount(routes, operator.Config{
		IsOperatorKey: r.admitsOperator,
		Ready:         r.ready,
		Metrics:       r.metrics,
		Timeline:      r.timeline,
	})
	routes.With(operator.RequireOperatorKey(r.admitsOperator)).Get("/status", r.serveStatus)
	return routes
}

func (r *Router) admitsOperator(hash [32]byte) bool {
	return r.settings.OperatorCredentials().AdmitsOperator(hash) || r.configuration.Load().Credentials().AdmitsOperator(hash)
}

func (r *Router) ready() bool { return r.isConfirmed() && !r.tracker.ShuttingDown() }

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	operator.WriteJSON(w, map[string]any{
		"vm":         r.settings.VM(),
		"dataCentre": r.settings.DataCentre(),
		"process":    r.process.String(),
		"role":       "router",
		"draining":   r.tracker.ShuttingDown(),
		"ticket":     r.configuration.Load().Number(),
		"peers":      operator.DescribePeers(r.endpoint.Peers()),
		"entries":    operator.EntryKeys(r.disseminator.Live()),
	})
}

// closeWhenDraining makes clients close their keep-alive connections while the
// router drains. The load balancer routes their new connections elsewhere.
func (r *Router) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.announceClose(w)
		next.ServeHTTP(w, request)
	})
}

// announceClose makes the client close the connection after the response if the router drains.
func (r *Router) announceClose(w http.ResponseWriter) {
	if r.tracker.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
}

func (r *Router) serveChat(w http.ResponseWriter, request *http.Request) {
	r.serve(w, request, admitter.Request{Method: http.MethodPost, Path: "/v1/chat/completions"})
}

func (r *Router) serveService(w http.ResponseWriter, request *http.Request) {
	path := "/" + chi.URLParam(request, "*")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	r.serve(w, request, admitter.Request{
		Service: chi.URLParam(request, "service"),
		Method:  request.Method,
		Path:    path,
	})
}

// serve admits a request and runs it.
func (r *Router) serve(w http.ResponseWriter, request *http.Request, a admitter.Request) {
	id := r.committer.NewRequest()
	w.Header().Set(forwarder.RequestIDHeader, id.String())
	if !r.isConfirmed() {
		r.committer.Withdraw(id)
		r.refuse(w, admitter.Refuse(admitter.Starting, "this router has no confirmed configuration yet"))
		return
	}
	a.APIKey = operator.BearerToken(request)
	a.IdempotencyKey = request.Header.Get(keyHeader)
	a.Work = request.Header.Get(WorkHeader)
	a.ContentType = request.Header.Get("Content-Type")
	admission, refusal := r.admit(w, request, a)
	if refusal != nil {
		r.committer.Withdraw(id)
		r.refuse(w, refusal)
		return
	}
	r.counters.admitted.Inc(1)
	r.counters.open.Inc(1)
	defer r.counters.open.Dec(1)
	ctx, end := context.WithCancel(request.Context())
	defer end()
	tracked := r.tracker.Add(end)
	defer tracked.Remove()
	tracked.Describe(durationestimator.NewRequest(admission.Service().Name(), int64(admission.MaxCost())))
	j := newJob(r, id, admission, tracked)
	j.run(ctx, w)
}

func (r *Router) admit(w http.ResponseWriter, request *http.Request, a admitter.Request) (admitter.Admission, *admitter.Refusal) {
	configuration := *r.configuration.Load()
	// The key is checked before the body is read, so that unauthenticated
	// requests cost little.
	if _, refusal := admitter.Authenticate(configuration, a.APIKey); refusal != nil {
		return admitter.Admission{}, refusal
	}
	body, err := listener.ReadBody(w, request, admitter.MaxBodyBytes)
	switch status, _ := listener.BodyStatus(err); {
	case err == nil:
	case status == http.StatusServiceUnavailable:
		return admitter.Admission{}, admitter.Refuse(admitter.MemoryFull, "no memory is left for the body: retry")
	case status == http.StatusRequestTimeout:
		return admitter.Admission{}, admitter.Refuse(admitter.BodyNotInTime, "the body has not arrived in time")
	default:
		return admitter.Admission{}, admitter.Refuse(admitter.RequestTooLarge, "the body cannot be read: %v", err)
	}
	a.Body = body
	admission, refusal := admitter.Admit(configuration, a, time.Now())
	if refusal == nil && r.failures.quarantined(admission.Fingerprint(), time.Now()) {
		refusal = admitter.Refuse(admitter.Quarantined, "%d targets broke on this request: it is refused for a while", quarantineThreshold)
	}
	return admission, refusal
}

type jsonErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func errorBody(refusal *admitter.Refusal) []byte {
	data, err := json.Marshal(map[string]jsonErrorBody{"error": {
		Message: refusal.Message(),
		Type:    refusal.ErrorType(),
		Code:    string(refusal.Kind()),
		Verdict: refusal.Verdict().String(),
	}})
	if err != nil {
		panic(err) // encoding strings cannot fail
	}
	return data
}

// refuse sends the refusal to the caller.
func (r *Router) refuse(w http.ResponseWriter, refusal *admitter.Refusal) {
	r.counters.refused.Inc(1)
	r.announceClose(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(classifier.Header, refusal.Verdict().String())
	if after := refusal.RetryAfter(); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(after.Seconds())))
	}
	w.WriteHeader(refusal.Status())
	_, _ = w.Write(errorBody(refusal)) // an error means that the caller has disconnected
}

func (r *Router) serveModels(w http.ResponseWriter, request *http.Request) {
	configuration := *r.configuration.Load()
	if _, refusal := admitter.Authenticate(configuration, operator.BearerToken(request)); refusal != nil {
		r.refuse(w, refusal)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, s := range configuration.Services() {
		if _, ok := s.Kind().(archiver.Model); ok {
			models = append(models, model{ID: s.Name(), Object: "model", OwnedBy: "radishshed"})
		}
	}
	operator.WriteJSON(w, map[string]any{"object": "list", "data": models})
}

func (r *Router) serveAnnounce(w http.ResponseWriter, request *http.Request) {
	if !r.configuration.Load().Credentials().AdmitsTarget(archiver.HashKey(operator.BearerToken(request))) {
		operator.WriteError(w, http.StatusUnauthorized, "unauthorised", "the key is not that of a target")
		return
	}
	body, err := listener.ReadBody(w, request, maxAnnouncementBytes)
	if err != nil {
		status, reason := listener.BodyStatus(err)
		operator.WriteError(w, status, reason, err.Error())
		return
	}
	announcement, err := selector.DecodeAnnouncement(body)
	if err != nil {
		operator.WriteError(w, http.StatusBadRequest, "badAnnouncement", err.Error())
		return
	}
	if err := r.publishAnnouncement(announcement); err != nil {
		operator.WriteError(w, http.StatusServiceUnavailable, "notTaken", err.Error())
		return
	}
	w.WriteHeader(http.StatusOK)
}

// recordEvent records an event of a request in the timeline and, at debug
// level, in the log.
func (r *Router) recordEvent(name string, j *job, detail string) {
	r.timeline.Record(recorder.EventFields{
		Name:         name,
		Request:      j.request.String(),
		Organisation: j.organisation(),
		Detail:       detail,
	})
	if ce := r.log.Check(zap.DebugLevel, name); ce != nil {
		ce.Write(zap.Stringer("request", j.request), zap.String("organisation", j.organisation()),
			zap.String("detail", strings.TrimSpace(detail)))
	}
}
