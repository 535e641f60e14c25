package cataloguer

import "time"

// ExecutionPolicy says whether a request of a route may be executed more than
// once. It is a sealed interface: Idempotent, AtMostOnce and Stream are its only
// implementations.
type ExecutionPolicy interface{ isExecutionPolicy() }

// Idempotent requests may be executed more than once.
type Idempotent struct{}

// AtMostOnce requests are executed once or not at all.
type AtMostOnce struct{}

// Stream requests are answered with an event stream. They are executed at most
// once, unless another target can resume the stream.
type Stream struct{ resumable bool }

func (Idempotent) isExecutionPolicy() {}
func (AtMostOnce) isExecutionPolicy() {}
func (Stream) isExecutionPolicy()     {}

// NewStream returns the execution policy of streams.
func NewStream(resumable bool) Stream { return Stream{resumable} }

// Resumable reports whether another target may continue an interrupted stream.
func (s Stream) Resumable() bool { return s.resumable }

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	service string
	weight  int64
}

// NewWeightedService returns a service with the given weight.
func NewWeightedService(service string, weight int64) WeightedService {
	return WeightedService{service, weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight, which is proportional to the number of requests that
// the service receives.
func (s WeightedService) Weight() int64 { return s.weight }

// RouteConfig holds the parameters of a route.
type RouteConfig struct {
	// Name identifies the route in logs.
	Name string
	// Host and PathPrefix select the requests of the route.
	Host, PathPrefix string
	// ExecutionPolicy says whether a request may be executed more than once.
	// Required.
	ExecutionPolicy ExecutionPolicy
	// Timeout sets the deadline of a request, counted from its arrival. Required.
	Timeout time.Duration
	// FirstEventObjective is the objective for the time to the first event of a
	// stream, or to the first byte of another response.
	FirstEventObjective time.Duration
	// MaxEventGap is the objective for the longest gap between two events of a
	// stream.
	MaxEventGap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent, unlike in
	// archiver.Rule, where higher priorities go first.
	Priority int
	// Services are the services among which the requests are divided. Required.
	Services []WeightedService
	// MaxAttempts limits the number of targets that one request may be sent to.
	// Values below one count as one.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// PrefixAffinity says that requests carry prompts whose segments targets
	// cache.
	PrefixAffinity bool
	// HomeRegions are the only regions whose targets may get the requests. Empty means any.
	HomeRegions []string
}

// Route defines where the requests for a host and path prefix are sent.
type Route struct {
	config      RouteConfig
	totalWeight int64
}

// NewRoute returns a route.
func NewRoute(c RouteConfig) Route {
	r := Route{config: c}
	for _, s := range c.Services {
		r.totalWeight += s.weight
	}
	r.config.MaxAttempts = max(1, c.MaxAttempts)
	return r
}

// Name returns the name of the route.
func (r Route) Name() string { return r.config.Name }

// ExecutionPolicy returns whether a request may be executed more than once.
func (r Route) ExecutionPolicy() ExecutionPolicy { return r.config.ExecutionPolicy }

// Timeout returns the time from the arrival of a request to its deadline.
func (r Route) Timeout() time.Duration { return r.config.Timeout }

// FirstEventObjective returns the objective for the time to the first event of a
// stream, or to the first byte of another response.
func (r Route) FirstEventObjective() time.Duration { return r.config.FirstEventObjective }

// MaxEventGap returns the objective for the longest gap between two events of a
// stream.
func (r Route) MaxEventGap() time.Duration { return r.config.MaxEventGap }

// Priority returns the priority of the requests; 0 is the most urgent.
func (r Route) Priority() int { return r.config.Priority }

// MaxAttempts returns the number of targets that one request may be sent to.
func (r Route) MaxAttempts() int { return r.config.MaxAttempts }

// Anonymous reports whether requests need no API key.
func (r Route) Anonymous() bool { return r.config.Anonymous }

// PrefixAffinity reports whether requests carry prompts whose segments targets
// cache.
func (r Route) PrefixAffinity() bool { return r.config.PrefixAffinity }

// HomeRegions returns the only regions whose targets may get the requests, or nothing if
// there is no restriction.
func (r Route) HomeRegions() []string { return r.config.HomeRegions }

// Services returns the names of the services that can get requests of the route.
func (r Route) Services() []string {
	var names []string
	for _, s := range r.config.Services {
		if s.weight > 0 {
			names = append(names, s.service)
		}
	}
	return names
}

// PickService chooses the service for a request at random, in proportion to the
// weights. int64N returns a number that is uniformly distributed over [0, n).
func (r Route) PickService(int64N func(n int64) int64) string {
	if len(r.config.Services) == 1 {
		return r.config.Services[0].service
	}
	n := int64N(r.totalWeight)
	for _, s := range r.config.Services {
		if n < s.weight {
			return s.service
		}
		n -= s.weight
	}
	return r.config.Services[len(r.config.Services)-1].service
}
