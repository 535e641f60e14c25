package archiver

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/pricer"
)

const (
	hashPrefix          = "sha256:"
	maxTicketBytes      = 64 << 20
	defaultBudgetWait   = 500 * time.Millisecond
	defaultTimeout      = 2 * time.Minute
	defaultWeight       = 1
	maxDuration         = 366 * 24 * time.Hour
	maxTokensPerRequest = 1 << 32
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,127}$`)

type jsonBudget struct {
	Name                string        `json:"name"`
	PrepaidMicrocredits pricer.Amount `json:"prepaidMicrocredits"`
	CutOffSpending      string        `json:"cutOffSpending,omitempty"`
	BudgetWait          string        `json:"budgetWait,omitempty"`
}

type jsonKey struct {
	Hash   string `json:"hash"`
	Budget string `json:"budget"`
}

type jsonOrganisation struct {
	Name    string       `json:"name"`
	Share   int64        `json:"share,omitempty"`
	Keys    []jsonKey    `json:"keys"`
	Budgets []jsonBudget `json:"budgets"`
}

type jsonPrice struct {
	PerCall            pricer.Amount `json:"perCallMicrocredits"`
	PerPromptToken     pricer.Amount `json:"perPromptTokenMicrocredits"`
	PerCompletionToken pricer.Amount `json:"perCompletionTokenMicrocredits"`
}

type jsonService struct {
	Name                string    `json:"name"`
	Kind                string    `json:"kind"`
	Idempotent          bool      `json:"repeatable"`
	Price               jsonPrice `json:"price"`
	MaxCompletionTokens int64     `json:"maxCompletionTokens,omitempty"`
	Timeout             string    `json:"timeout,omitempty"`
}

type jsonRule struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Work         string `json:"work,omitempty"`
	MayWait      string `json:"mayWait,omitempty"`
	Priority     int64  `json:"priority,omitempty"`
}

type jsonCredentials struct {
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	TargetKeyHashes   []string `json:"targetKeyHashes"`
}

type jsonTicket struct {
	Number        uint64             `json:"number"`
	Comment       string             `json:"comment,omitempty"`
	Credentials   *jsonCredentials   `json:"credentials,omitempty"`
	Organisations []jsonOrganisation `json:"organisations,omitempty"`
	Services      []jsonService      `json:"services,omitempty"`
	Rules         []jsonRule         `json:"rules,omitempty"`
	Released      []string           `json:"released,omitempty"`
}

// HashKey returns the hash of the key of a caller, an operator or a target.
func HashKey(secret string) [32]byte { return sha256.Sum256([]byte(secret)) }

// FormatHash formats the hash of a key as it is written in tickets.
func FormatHash(hash [32]byte) string { return hashPrefix + hex.EncodeToString(hash[:]) }

// HashTicket returns the formatted hash of the ticket's encoding.
func HashTicket(t Ticket) string { return FormatHash(sha256.Sum256(Encode(t))) }

// Encode returns the ticket as JSON. Equal tickets have equal encodings.
func Encode(t Ticket) []byte {
	w := jsonTicket{Number: t.number, Comment: t.comment}
	if t.credentials != nil {
		w.Credentials = &jsonCredentials{formatHashes(t.credentials.operators), formatHashes(t.credentials.targets)}
	}
	for _, o := range t.organisations {
		w.Organisations = append(w.Organisations, organisationToJSON(o))
	}
	for _, s := range t.services {
		w.Services = append(w.Services, serviceToJSON(s))
	}
	for _, r := range t.rules {
		w.Rules = append(w.Rules, jsonRule{r.organisation, r.service, r.workKind, formatDuration(r.maxWait), r.priority})
	}
	for _, p := range t.releasedProcesses {
		w.Released = append(w.Released, p.String())
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic(err) // unreachable: the JSON structs hold only strings, numbers and booleans
	}
	return data
}

// Decode parses and validates a ticket. Errors name the field and say how to
// correct it.
func Decode(data []byte) (Ticket, error) {
	if len(data) > maxTicketBytes {
		return Ticket{}, errors.Errorf("the ticket has %d bytes, the limit is %d", len(data), maxTicketBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var w jsonTicket
	if err := decoder.Decode(&w); err != nil {
		return Ticket{}, errors.Wrap(err, "ticket")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Ticket{}, errors.New("ticket: remove what follows the closing brace")
	}
	return ticketFromJSON(w)
}

func ticketFromJSON(w jsonTicket) (Ticket, error) {
	t := Ticket{number: w.Number, comment: w.Comment}
	if w.Number == 0 {
		return Ticket{}, errors.New("number: give the ticket a number of one or more")
	}
	if w.Credentials != nil {
		credentials, err := credentialsFromJSON(*w.Credentials)
		if err != nil {
			return Ticket{}, errors.Wrap(err, "credentials")
		}
		t.credentials = &credentials
	}
	seen := map[string]bool{}
	for _, o := range w.Organisations {
		organisation, err := organisationFromJSON(o)
		if err != nil {
			return Ticket{}, errors.Wrapf(err, "organisations[%q]", o.Name)
		}
		t.organisations = append(t.organisations, organisation)
		if err := checkUnique(seen, "organisation "+o.Name); err != nil {
			return Ticket{}, err
		}
	}
	for _, s := range w.Services {
		service, err := serviceFromJSON(s)
		if err != nil {
			return Ticket{}, errors.Wrapf(err, "services[%q]", s.Name)
		}
		t.services = append(t.services, service)
		if err := checkUnique(seen, "service "+s.Name); err != nil {
			return Ticket{}, err
		}
	}
	for i, r := range w.Rules {
		mayWait, err := parseDuration(r.MayWait, 0)
		if err != nil {
			return Ticket{}, errors.Wrapf(err, "rules[%d].mayWait", i)
		}
		t.rules = append(t.rules, Rule{r.Organisation, r.Service, r.Work, mayWait, r.Priority})
		if err := checkUnique(seen, "rule for "+r.Organisation+" "+r.Service+" "+r.Work); err != nil {
			return Ticket{}, err
		}
	}
	for i, text := range w.Released {
		process, err := identifier.ParseProcess(text)
		if err != nil {
			return Ticket{}, errors.Wrapf(err, "released[%d]", i)
		}
		t.releasedProcesses = append(t.releasedProcesses, process)
	}
	return t, nil
}

func credentialsFromJSON(w jsonCredentials) (Credentials, error) {
	operators, err := ParseHashes(w.OperatorKeyHashes)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "operatorKeyHashes")
	}
	targets, err := ParseHashes(w.TargetKeyHashes)
	return NewCredentials(operators, targets), errors.Wrap(err, "targetKeyHashes")
}

// NewCredentials returns credentials with the given hashes of keys.
func NewCredentials(operators, targets [][32]byte) Credentials {
	return Credentials{operators, targets}
}

// ParseHashes parses hashes of keys as they are written in tickets.
func ParseHashes(formatted []string) ([][32]byte, error) {
	var hashes [][32]byte
	for i, f := range formatted {
		hash, err := parseHash(f)
		if err != nil {
			return nil, errors.Wrapf(err, "[%d]", i)
		}
		hashes = append(hashes, hash)
	}
	return hashes, nil
}

func formatHashes(hashes [][32]byte) []string {
	formatted := []string{}
	for _, hash := range hashes {
		formatted = append(formatted, FormatHash(hash))
	}
	return formatted
}

func checkUnique(seen map[string]bool, object string) error {
	if seen[object] {
		return errors.Errorf("%s appears twice: keep one", object)
	}
	seen[object] = true
	return nil
}

func organisationFromJSON(w jsonOrganisation) (Organisation, error) {
	o := Organisation{name: w.Name, weight: w.Share}
	if err := checkName(w.Name); err != nil {
		return o, err
	}
	if o.weight == 0 {
		o.weight = defaultWeight
	}
	if o.weight < 0 {
		return o, errors.Errorf("share: %d is negative, use one or more", o.weight)
	}
	names := map[string]bool{}
	for _, b := range w.Budgets {
		budget, err := budgetFromJSON(b)
		if err != nil {
			return o, errors.Wrapf(err, "budgets[%q]", b.Name)
		}
		if err := checkUnique(names, b.Name); err != nil {
			return o, errors.Wrap(err, "budgets")
		}
		o.budgets = append(o.budgets, budget)
	}
	for i, k := range w.Keys {
		hash, err := parseHash(k.Hash)
		if err != nil {
			return o, errors.Wrapf(err, "keys[%d].hash", i)
		}
		if !names[k.Budget] {
			return o, errors.Errorf("keys[%d].budget: %q is not a budget of the organisation", i, k.Budget)
		}
		o.keys = append(o.keys, Key{hash, k.Budget})
	}
	return o, nil
}

func budgetFromJSON(w jsonBudget) (Budget, error) {
	b := Budget{name: w.Name, prepaid: w.PrepaidMicrocredits}
	if err := checkName(w.Name); err != nil {
		return b, err
	}
	if b.prepaid < 0 {
		return b, errors.Errorf("prepaidMicrocredits: %d is negative", b.prepaid)
	}
	var err error
	if b.disconnectedSpendingPeriod, err = parseDuration(w.CutOffSpending, 0); err != nil {
		return b, errors.Wrap(err, "cutOffSpending")
	}
	if b.maxBudgetWait, err = parseDuration(w.BudgetWait, defaultBudgetWait); err != nil {
		return b, errors.Wrap(err, "budgetWait")
	}
	return b, nil
}

func serviceFromJSON(w jsonService) (Service, error) {
	s := Service{name: w.Name, idempotent: w.Idempotent, maxCompletionTokens: w.MaxCompletionTokens}
	if err := checkName(w.Name); err != nil {
		return s, err
	}
	var err error
	s.price, err = pricer.NewPrice(w.Price.PerCall, w.Price.PerPromptToken, w.Price.PerCompletionToken)
	if err != nil {
		return s, errors.Wrap(err, "price")
	}
	if s.timeout, err = parseDuration(w.Timeout, defaultTimeout); err != nil {
		return s, errors.Wrap(err, "timeout")
	}
	if s.timeout == 0 {
		return s, errors.New("timeout: zero would end every request at once")
	}
	switch w.Kind {
	case Model{}.String():
		s.kind = Model{}
		if s.maxCompletionTokens <= 0 || s.maxCompletionTokens > maxTokensPerRequest {
			return s, errors.Errorf("maxCompletionTokens: a model needs 1 to %d, not %d", int64(maxTokensPerRequest), s.maxCompletionTokens)
		}
		if !s.idempotent {
			return s, errors.New("repeatable: a model service must be repeatable")
		}
	case Plain{}.String():
		s.kind = Plain{}
	default:
		return s, errors.Errorf("kind: %q is neither %q nor %q", w.Kind, Model{}, Plain{})
	}
	return s, nil
}

func organisationToJSON(o Organisation) jsonOrganisation {
	w := jsonOrganisation{Name: o.name, Share: o.weight, Keys: []jsonKey{}, Budgets: []jsonBudget{}}
	for _, k := range o.keys {
		w.Keys = append(w.Keys, jsonKey{FormatHash(k.hash), k.budget})
	}
	for _, b := range o.budgets {
		w.Budgets = append(w.Budgets, jsonBudget{b.name, b.prepaid, formatDuration(b.disconnectedSpendingPeriod), b.maxBudgetWait.String()})
	}
	return w
}

func serviceToJSON(s Service) jsonService {
	return jsonService{
		Name:       s.name,
		Kind:       s.kind.String(),
		Idempotent: s.idempotent,
		Price: jsonPrice{
			PerCall:            s.price.PerCall(),
			PerPromptToken:     s.price.PerPromptToken(),
			PerCompletionToken: s.price.PerCompletionToken(),
		},
		MaxCompletionTokens: s.maxCompletionTokens,
		Timeout:             s.timeout.String(),
	}
}

func checkName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Errorf("name: %q must match %s", name, namePattern)
	}
	return nil
}

func parseHash(s string) ([32]byte, error) {
	digits, ok := strings.CutPrefix(s, hashPrefix)
	raw, err := hex.DecodeString(digits)
	if !ok || err != nil || len(raw) != sha256.Size {
		return [32]byte{}, errors.Errorf("want %s and 64 hexadecimal digits; `radishshed key` prints them", hashPrefix)
	}
	return [32]byte(raw), nil
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func parseDuration(s string, fallback time.Duration) (time.Duration, error) {
	if s == "" {
		return fallback, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > maxDuration {
		return 0, errors.Errorf("%q is not a duration such as \"90s\" or \"10m\"", s)
	}
	return d, nil
}

// DecodeFlattened parses the encoding of a ticket that Configuration.Flatten
// returned. The ticket of an empty configuration has number zero, which Decode
// rejects.
func DecodeFlattened(data []byte) (Ticket, error) {
	var w jsonTicket
	if err := json.Unmarshal(data, &w); err == nil && w.Number == 0 {
		return Ticket{}, nil
	}
	return Decode(data)
}
