// Package archiver stores configuration tickets and computes the configuration
// that results from them.
//
// A ticket is a numbered change. It carries the complete new state of each object
// that it changes. A Configuration is immutable and is replaced as a whole. An
// Archive accepts tickets in ascending order of their numbers and can reconstruct
// the configuration that was in force after any of them.
package archiver

import (
	"crypto/subtle"
	"maps"
	"slices"
	"time"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

// Budget is a prepaid budget of an organisation.
type Budget struct {
	name                       string
	prepaid                    pricer.Amount
	disconnectedSpendingPeriod time.Duration
	maxBudgetWait              time.Duration
}

// Name returns the name of the budget within its organisation.
func (b Budget) Name() string { return b.name }

// Prepaid returns the absolute prepaid total in microcredits.
func (b Budget) Prepaid() pricer.Amount { return b.prepaid }

// DisconnectedSpendingPeriod returns for how long a router that cannot reach a
// quorum of control VMs may go on spending what it has been granted.
func (b Budget) DisconnectedSpendingPeriod() time.Duration { return b.disconnectedSpendingPeriod }

// MaxBudgetWait returns how long a request waits for open reservations to be
// settled before it is refused.
func (b Budget) MaxBudgetWait() time.Duration { return b.maxBudgetWait }

// Key is the hash of an API key, with the budget that its requests are charged to.
type Key struct {
	hash   [32]byte
	budget string
}

// Hash returns the SHA-256 hash of the API key.
func (k Key) Hash() [32]byte { return k.hash }

// Budget returns the name of the budget that requests with the key are charged to.
func (k Key) Budget() string { return k.budget }

// Organisation is a customer with its keys and budgets.
type Organisation struct {
	name    string
	weight  int64
	keys    []Key
	budgets []Budget
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Weight returns the weight for dividing busy targets between the organisations. It
// is part of tickets, but routers do not use it.
func (o Organisation) Weight() int64 { return o.weight }

// Keys returns the hashes of the organisation's API keys, with their budgets.
func (o Organisation) Keys() []Key { return slices.Clone(o.keys) }

// Budgets returns the organisation's budgets.
func (o Organisation) Budgets() []Budget { return slices.Clone(o.budgets) }

// ServiceKind is the kind of target that serves a service. It is a sealed
// interface: Model and Plain are its only implementations.
type ServiceKind interface {
	// String returns the name used in tickets.
	String() string
	isServiceKind()
}

// Model services are served by model engines.
type Model struct{}

// Plain services are served by application services over HTTP.
type Plain struct{}

func (Model) String() string { return "model" }
func (Plain) String() string { return "plain" }

func (Model) isServiceKind() {}
func (Plain) isServiceKind() {}

// Service is a named service that callers can send requests to.
type Service struct {
	name                string
	kind                ServiceKind
	idempotent          bool
	price               pricer.Price
	maxCompletionTokens int64
	timeout             time.Duration
}

// Name returns the service's name. For a model it is the model's name.
func (s Service) Name() string { return s.name }

// Kind returns the kind of target that serves the service.
func (s Service) Kind() ServiceKind { return s.kind }

// Idempotent reports whether a request may be executed more than once.
func (s Service) Idempotent() bool { return s.idempotent }

// Price returns the price of the service.
func (s Service) Price() pricer.Price { return s.price }

// MaxCompletionTokens returns the limit on the tokens that one request may
// generate.
func (s Service) MaxCompletionTokens() int64 { return s.maxCompletionTokens }

// Timeout returns how long a target may take to process one request.
func (s Service) Timeout() time.Duration { return s.timeout }

// Rule sets how long requests of an organisation to a service may wait and which
// priority they have.
type Rule struct {
	organisation string
	service      string
	workKind     string
	maxWait      time.Duration
	priority     int64
}

// Organisation returns the name of the organisation that the rule is for.
func (r Rule) Organisation() string { return r.organisation }

// Service returns the name of the service that the rule is for.
func (r Rule) Service() string { return r.service }

// WorkKind returns the kind of work, as named by the caller. Empty matches all
// kinds.
func (r Rule) WorkKind() string { return r.workKind }

// MaxWait returns how long a request may wait for a target. Zero means that it may
// not wait.
func (r Rule) MaxWait() time.Duration { return r.maxWait }

// Priority returns the priority of the requests. Higher priorities go first, unlike
// in cataloguer.Route, where 0 is the most urgent.
func (r Rule) Priority() int64 { return r.priority }

// Credentials are the hashes of the keys of operators and targets.
type Credentials struct {
	operators [][32]byte
	targets   [][32]byte
}

// AdmitsOperator reports whether a key with the given hash belongs to an operator.
// The comparison takes the same time whichever key matches.
func (c Credentials) AdmitsOperator(hash [32]byte) bool { return matchesAny(c.operators, hash) }

// AdmitsTarget reports whether a key with the given hash belongs to a target. The
// comparison takes the same time whichever key matches.
func (c Credentials) AdmitsTarget(hash [32]byte) bool { return matchesAny(c.targets, hash) }

func matchesAny(known [][32]byte, hash [32]byte) bool {
	matches := 0
	for _, k := range known {
		matches |= subtle.ConstantTimeCompare(k[:], hash[:])
	}
	return matches == 1
}

// Ticket is a numbered change of the configuration.
type Ticket struct {
	number            uint64
	comment           string
	credentials       *Credentials
	organisations     []Organisation
	services          []Service
	rules             []Rule
	releasedProcesses []identifier.Process
}

// ReleasedProcesses returns the terminated router processes whose unspent grants
// the operator releases. The operator's assurance replaces the proof that the
// grants are unspent, which is impossible if too many routers have terminated.
func (t Ticket) ReleasedProcesses() []identifier.Process { return slices.Clone(t.releasedProcesses) }

// Number returns the ticket's number. The first ticket has number one or more.
func (t Ticket) Number() uint64 { return t.number }

// Comment returns the operator's explanation.
func (t Ticket) Comment() string { return t.comment }

// Credentials returns the credentials if the ticket replaces them.
func (t Ticket) Credentials() (Credentials, bool) {
	if t.credentials == nil {
		return Credentials{}, false
	}
	return *t.credentials, true
}

// Organisations returns the organisations that the ticket replaces.
func (t Ticket) Organisations() []Organisation { return slices.Clone(t.organisations) }

// Services returns the services that the ticket replaces.
func (t Ticket) Services() []Service { return slices.Clone(t.services) }

// Rules returns the rules that the ticket replaces.
func (t Ticket) Rules() []Rule { return slices.Clone(t.rules) }

type ruleKey struct{ organisation, service, workKind string }

// Principal is the organisation and budget that an API key authenticates.
type Principal struct {
	organisation Organisation
	budget       Budget
}

// Organisation returns the organisation that the key belongs to.
func (p Principal) Organisation() Organisation { return p.organisation }

// Budget returns the budget that requests with the key are charged to.
func (p Principal) Budget() Budget { return p.budget }

// Account returns the name of the ledger account, "organisation/budget".
func (p Principal) Account() string { return AccountName(p.organisation.name, p.budget.name) }

// AccountName returns the name of the ledger account of a budget.
func AccountName(organisation, budget string) string { return organisation + "/" + budget }

// Configuration is the result of all tickets up to a number. It is immutable and
// safe for concurrent use. The zero value is empty and has number zero.
type Configuration struct {
	number        uint64
	credentials   *Credentials
	organisations map[string]Organisation
	services      map[string]Service
	rules         map[ruleKey]Rule
	principals    map[[32]byte]Principal
}

// Number returns the number of the newest ticket in force.
func (c Configuration) Number() uint64 { return c.number }

// Credentials returns the keys of operators and targets.
func (c Configuration) Credentials() Credentials {
	if c.credentials == nil {
		return Credentials{}
	}
	return *c.credentials
}

// Service returns the service with the given name.
func (c Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c Configuration) Services() []Service {
	var services []Service
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		services = append(services, c.services[name])
	}
	return services
}

// Organisations returns all organisations, sorted by name.
func (c Configuration) Organisations() []Organisation {
	var organisations []Organisation
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		organisations = append(organisations, c.organisations[name])
	}
	return organisations
}

// Principal returns the principal that an API key with the given hash
// authenticates. The lookup does not take constant time, but its timing reveals
// nothing about other keys, because a caller cannot choose the hash of a key.
func (c Configuration) Principal(hash [32]byte) (Principal, bool) {
	p, ok := c.principals[hash]
	return p, ok
}

// Rule returns the most specific rule for the kind of work. Without a matching
// rule, it returns one with no waiting time and priority zero.
func (c Configuration) Rule(organisation, service, workKind string) Rule {
	for _, key := range []ruleKey{{organisation, service, workKind}, {organisation, service, ""}} {
		if rule, ok := c.rules[key]; ok {
			return rule
		}
	}
	return Rule{organisation: organisation, service: service, workKind: workKind}
}

// With returns the configuration that results from applying the ticket to c.
func (c Configuration) With(t Ticket) Configuration {
	next := Configuration{
		number:        t.number,
		credentials:   c.credentials,
		organisations: cloneOrganisations(c.organisations),
		services:      map[string]Service{},
		rules:         map[ruleKey]Rule{},
		principals:    map[[32]byte]Principal{},
	}
	maps.Copy(next.services, c.services)
	maps.Copy(next.rules, c.rules)
	if t.credentials != nil {
		next.credentials = t.credentials
	}
	for _, o := range t.organisations {
		next.organisations[o.name] = o
	}
	for _, s := range t.services {
		next.services[s.name] = s
	}
	for _, r := range t.rules {
		next.rules[ruleKey{r.organisation, r.service, r.workKind}] = r
	}
	for _, o := range next.organisations {
		next.indexKeys(o)
	}
	return next
}

func cloneOrganisations(organisations map[string]Organisation) map[string]Organisation {
	next := make(map[string]Organisation, len(organisations))
	maps.Copy(next, organisations)
	return next
}

func (c Configuration) indexKeys(o Organisation) {
	for _, key := range o.keys {
		for _, budget := range o.budgets {
			if budget.name == key.budget {
				c.principals[key.hash] = Principal{o, budget}
			}
		}
	}
}

// Flatten returns a single ticket that holds the whole configuration.
func (c Configuration) Flatten() Ticket {
	t := Ticket{number: c.number, credentials: c.credentials, organisations: c.Organisations(), services: c.Services()}
	for _, rule := range c.rules {
		t.rules = append(t.rules, rule)
	}
	slices.SortFunc(t.rules, compareRules)
	return t
}
