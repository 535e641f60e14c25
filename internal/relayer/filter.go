package relayer

import (
	"context"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/relayselector"
)

// errNoAllowedRelay means that routers may relay, but none that may carry the request.
var errNoAllowedRelay = errors.New("the path to all targets is lost, and no router that may carry the request relays at present")

// filterKey is the key of the context value that says in which data centres routers may
// carry a request.
type filterKey struct{}

// WithFilter returns a context for dialling in which only routers of the data centres that are
// allowed carry the connection. The filter passes through the exchanger, which knows nothing of
// relays, so it is part of the context.
func WithFilter(ctx context.Context, allows func(dataCentre string) bool) context.Context {
	return context.WithValue(ctx, filterKey{}, allows)
}

// filterFrom returns the filter of the context, or nil if all routers may carry the connection.
func filterFrom(ctx context.Context) func(dataCentre string) bool {
	allows, _ := ctx.Value(filterKey{}).(func(dataCentre string) bool)
	return allows
}

// Reaches reports whether a request can reach targets that only routers of the data centres that
// are allowed may carry: directly, or through one of these.
func (r *Relayer) Reaches(allows func(dataCentre string) bool) bool {
	return !r.Lost() || hasAllowed(r.config.Candidates(), allows)
}

func hasAllowed(candidates []relayselector.Candidate, allows func(dataCentre string) bool) bool {
	for _, c := range candidates {
		if allows(c.DataCentre()) {
			return true
		}
	}
	return false
}
