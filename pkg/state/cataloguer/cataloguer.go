// Package cataloguer implements the routing catalogue: a versioned document that
// defines routes, services and organisations. Routers compile the document into a
// Catalogue and look up each request there; control stores it as a Record.
//
// A Catalogue is immutable and safe for concurrent use.
package cataloguer

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ServiceConfig holds the parameters of a service.
type ServiceConfig struct {
	// Name is the name of the service. Required.
	Name string
	// HealthPath is the path of the targets' health check. It is part of the
	// document, but routers do not use it.
	HealthPath string
	// MaxConnections is the number of connections that one target accepts. It is
	// part of the document, but routers do not enforce it.
	MaxConnections int
	// Engine describes targets that are model engines. Nil for plain services.
	Engine *Engine
	// WarmupTime is how long a target warms after it starts. It is part of the
	// document, but routers go by what targets announce.
	WarmupTime time.Duration
	// WarmupRate is how many requests a second a warming target can handle. Zero
	// means that there is no limit.
	WarmupRate float64
}

// Engine describes a model engine.
type Engine struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// KVCapacityTokens is the number of tokens that fit into the KV cache of an
	// engine.
	KVCapacityTokens int64
	// TokensPerEvent is the number of output tokens that one event of a stream
	// carries.
	TokensPerEvent int64
}

// Service is a group of targets that serve the same requests.
type Service struct{ config ServiceConfig }

// NewService returns a service.
func NewService(c ServiceConfig) Service { return Service{c} }

// Name returns the name of the service.
func (s Service) Name() string { return s.config.Name }

// MaxConnections returns the number of connections that one target accepts.
// Routers do not enforce it.
func (s Service) MaxConnections() int { return s.config.MaxConnections }

// WarmupTime returns how long a target warms after it starts. Routers go by what
// targets announce.
func (s Service) WarmupTime() time.Duration { return s.config.WarmupTime }

// WarmupRate returns how many requests a second a warming target can handle, or zero
// if there is no limit.
func (s Service) WarmupRate() float64 { return s.config.WarmupRate }

// Engine returns the description of the targets if they are model engines.
func (s Service) Engine() (Engine, bool) {
	if s.config.Engine == nil {
		return Engine{}, false
	}
	return *s.config.Engine, true
}

// OrganisationConfig holds the parameters of an organisation.
type OrganisationConfig struct {
	// Name identifies the organisation. Required.
	Name string
	// Keys are the API keys of the organisation.
	Keys []string
	// Priority, if set, takes precedence over the priority of the route.
	Priority *int
	// PrepaidTokens is the total number of tokens that the organisation may
	// consume. Nil means unlimited.
	PrepaidTokens *int64
	// HomeRegions are the only regions whose targets may get the organisation's requests.
	// Empty means any.
	HomeRegions []string
}

// Organisation is a customer.
type Organisation struct{ config OrganisationConfig }

// NewOrganisation returns an organisation.
func NewOrganisation(c OrganisationConfig) Organisation { return Organisation{c} }

// Name returns the name of the organisation.
func (o Organisation) Name() string { return o.config.Name }

// Priority returns the priority of the organisation's requests on the route.
func (o Organisation) Priority(r Route) int {
	if o.config.Priority != nil {
		return *o.config.Priority
	}
	return r.Priority()
}

// PrepaidTokens returns the total number of tokens that the organisation may
// consume. It reports false if there is no limit.
func (o Organisation) PrepaidTokens() (int64, bool) {
	if o.config.PrepaidTokens == nil {
		return 0, false
	}
	return *o.config.PrepaidTokens, true
}

// HomeRegions returns the only regions whose targets may get the organisation's requests, or
// nothing if there is no restriction.
func (o Organisation) HomeRegions() []string { return o.config.HomeRegions }

// Limits bound the requests and connections of clients.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout limits the time until all headers have been received.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may be idle.
	IdleTimeout time.Duration
}

// Config holds the contents of a catalogue.
type Config struct {
	// Version orders catalogues: the highest version is in force. Required.
	Version uint64
	// Routes, Services and Organisations are the objects that the catalogue
	// defines.
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeyRequired says whether requests need the API key of an organisation.
	KeyRequired bool
	// Limits bound the requests and connections of clients.
	Limits Limits
}

// Catalogue defines the routes, the services and the organisations.
type Catalogue struct {
	config             Config
	routesByHost       map[string][]Route
	services           map[string]Service
	organisationsByKey map[string]Organisation
}

// New validates the configuration and returns the catalogue.
func New(c Config) (*Catalogue, error) {
	if c.Version == 0 {
		return nil, errors.New("the version must be positive")
	}
	catalogue := &Catalogue{
		config: c, routesByHost: map[string][]Route{}, services: map[string]Service{}, organisationsByKey: map[string]Organisation{},
	}
	for _, s := range c.Services {
		if _, taken := catalogue.services[s.Name()]; taken || s.Name() == "" {
			return nil, errors.Errorf("service %q: the name is empty or already in use", s.Name())
		}
		if s.config.WarmupTime < 0 || s.config.WarmupRate < 0 {
			return nil, errors.Errorf("service %q: the warm-up time or rate is negative", s.Name())
		}
		catalogue.services[s.Name()] = s
	}
	for _, r := range c.Routes {
		if err := catalogue.addRoute(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name())
		}
	}
	for _, routes := range catalogue.routesByHost {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.config.PathPrefix) - len(a.config.PathPrefix) })
	}
	for _, o := range c.Organisations {
		if err := catalogue.addOrganisation(o); err != nil {
			return nil, errors.Wrapf(err, "organisation %q", o.Name())
		}
	}
	return catalogue, nil
}

func (c *Catalogue) addRoute(r Route) error {
	if r.config.Timeout <= 0 {
		return errors.New("the timeout must be positive")
	}
	if r.totalWeight <= 0 {
		return errors.New("the sum of the weights must be positive")
	}
	for _, s := range r.config.Services {
		if _, ok := c.services[s.service]; !ok {
			return errors.Errorf("unknown service %q", s.service)
		}
		if s.weight < 0 {
			return errors.Errorf("the weight of service %q is negative", s.service)
		}
	}
	for _, other := range c.routesByHost[r.config.Host] {
		if other.config.PathPrefix == r.config.PathPrefix {
			return errors.Errorf("route %q has the same host and path prefix", other.Name())
		}
	}
	c.routesByHost[r.config.Host] = append(c.routesByHost[r.config.Host], r)
	return nil
}

func (c *Catalogue) addOrganisation(o Organisation) error {
	for _, key := range o.config.Keys {
		if other, taken := c.organisationsByKey[key]; taken && other.Name() != o.Name() {
			return errors.Errorf("an API key is also a key of organisation %q", other.Name())
		}
		c.organisationsByKey[key] = o
	}
	if tokens, ok := o.PrepaidTokens(); ok && tokens < 0 {
		return errors.New("the prepaid total of tokens is negative")
	}
	return nil
}

// Version returns the version of the catalogue.
func (c *Catalogue) Version() uint64 { return c.config.Version }

// Limits returns the bounds on the requests and connections of clients.
func (c *Catalogue) Limits() Limits { return c.config.Limits }

// Organisations returns all organisations.
func (c *Catalogue) Organisations() []Organisation { return slices.Clone(c.config.Organisations) }

// HomeRegions returns the home regions of all routes and organisations, in order.
func (c *Catalogue) HomeRegions() []string {
	var regions []string
	for _, r := range c.config.Routes {
		regions = append(regions, r.HomeRegions()...)
	}
	for _, o := range c.config.Organisations {
		regions = append(regions, o.HomeRegions()...)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// Route returns the route of the host with the longest prefix of the path.
func (c *Catalogue) Route(host, path string) (Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.config.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name.
func (c *Catalogue) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WarmupRates returns how many requests a second a warming target can handle, by the
// name of its service. Services without such a limit are left out.
func (c *Catalogue) WarmupRates() map[string]float64 {
	rates := map[string]float64{}
	for name, s := range c.services {
		if rate := s.WarmupRate(); rate > 0 {
			rates[name] = rate
		}
	}
	return rates
}

// Organisation returns the organisation that the API key belongs to.
func (c *Catalogue) Organisation(key string) (Organisation, bool) {
	o, ok := c.organisationsByKey[key]
	return o, ok
}

// NeedsKey reports whether requests on the route need an API key.
func (c *Catalogue) NeedsKey(r Route) bool { return c.config.KeyRequired && !r.Anonymous() }

// Budget is the prepaid total of an organisation in tokens, unlike
// archiver.Budget, which is in microcredits.
type Budget struct {
	organisation string
	tokens       int64
}

// NewBudget returns a budget.
func NewBudget(organisation string, tokens int64) Budget { return Budget{organisation, tokens} }

// Organisation returns the name of the organisation.
func (b Budget) Organisation() string { return b.organisation }

// Tokens returns the prepaid total in tokens.
func (b Budget) Tokens() int64 { return b.tokens }

// Record is a catalogue as control stores it: the compressed document, and the
// version and budgets, which control uses itself.
type Record struct {
	version  uint64
	document []byte
	budgets  []Budget
}

// NewRecord returns the record of a catalogue that was decoded from the document. It
// returns ErrDocumentTooLarge if Document could not return it.
func NewRecord(c *Catalogue, document []byte) (Record, error) {
	if len(document) > maxDocumentBytes {
		return Record{}, ErrDocumentTooLarge
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return Record{}, errors.Wrap(err, "compress document")
	}
	if _, err := w.Write(document); err != nil {
		return Record{}, errors.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return Record{}, errors.Wrap(err, "compress document")
	}
	r := Record{version: c.Version(), document: compressed.Bytes()}
	for _, o := range c.Organisations() {
		if tokens, ok := o.PrepaidTokens(); ok {
			r.budgets = append(r.budgets, NewBudget(o.Name(), tokens))
		}
	}
	return r, nil
}

// IsZero reports whether the record holds no catalogue.
func (r Record) IsZero() bool { return r.version == 0 }

// Version returns the version of the catalogue.
func (r Record) Version() uint64 { return r.version }

// Budgets returns the prepaid totals of the organisations.
func (r Record) Budgets() []Budget { return r.budgets }

// maxDocumentBytes limits the size of documents, and to what a damaged record can
// decompress.
const maxDocumentBytes = 64 << 20

// ErrDocumentTooLarge means that a document exceeds the size limit of 64 MiB.
var ErrDocumentTooLarge = errors.Errorf("the document of a catalogue exceeds %d bytes", maxDocumentBytes)

// Document returns the document as it was submitted.
func (r Record) Document() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(r.document))
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	if len(document) > maxDocumentBytes {
		return nil, ErrDocumentTooLarge
	}
	return document, nil
}
