// Package loadgenerator generates load: it sends a mix of requests to routers, checks
// every response and measures latencies. The load is an open loop: a request is
// sent at its scheduled time, however long earlier ones take, unless the limit of
// requests in flight is reached.
package loadgenerator

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	maxRequests      = 2_000_000
	maxInFlightLimit = 20_000
	maxRunTime       = time.Hour
	defaultTimeout   = time.Minute
)

// Mix describes the requests to send.
type Mix struct {
	routers       []string
	targets       []string
	requests      int
	ratePerSecond float64
	maxInFlight   int
	timeout       time.Duration
	seed          uint64
	allowRemote   bool
	kinds         []RequestKind
}

// RequestKind is one kind of request in a mix.
type RequestKind struct {
	name              string
	weight            int
	organisation      string
	apiKey            string
	service           string
	path              string
	workLabel         string // value of the Radishshed-Work header
	hasIdempotencyKey bool
	stream            bool
	tokens            int
	promptBytes       int
	prefixes          int
	firstTokenLimit   time.Duration // a served response whose first token comes later is past its deadline; zero for no limit
}

type jsonRequestKind struct {
	Name         string `json:"name"`
	Weight       int    `json:"weight"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Service      string `json:"service"`
	Path         string `json:"path,omitempty"`
	Work         string `json:"work,omitempty"`
	Keyed        bool   `json:"keyed,omitempty"`
	Stream       bool   `json:"stream,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	PromptBytes  int    `json:"promptBytes,omitempty"`
	Prefixes     int    `json:"prefixes,omitempty"`
	LateAfter    string `json:"lateAfter,omitempty"`
}

type jsonMix struct {
	Routers       []string          `json:"routers"`
	Targets       []string          `json:"targets,omitempty"`
	Requests      int               `json:"requests"`
	RatePerSecond float64           `json:"ratePerSecond"`
	MaxOpen       int               `json:"maxOpen"`
	Timeout       string            `json:"timeout,omitempty"`
	Seed          uint64            `json:"seed"`
	AllowRemote   bool              `json:"allowRemote,omitempty"`
	Work          []jsonRequestKind `json:"work"`
}

// LoadMix reads and validates a mix file.
func LoadMix(path string) (Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, errors.Wrap(err, "mix")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var w jsonMix
	if err := decoder.Decode(&w); err != nil {
		return Mix{}, errors.Wrap(err, path)
	}
	m, err := mixFromJSON(w)
	return m, errors.Wrap(err, path)
}

func mixFromJSON(w jsonMix) (Mix, error) {
	m := Mix{
		routers:       w.Routers,
		targets:       w.Targets,
		requests:      w.Requests,
		ratePerSecond: w.RatePerSecond,
		maxInFlight:   w.MaxOpen,
		timeout:       defaultTimeout,
		seed:          w.Seed,
		allowRemote:   w.AllowRemote,
	}
	if len(w.Routers) == 0 || len(w.Work) == 0 {
		return m, errors.New("routers and work must not be empty")
	}
	if w.Requests <= 0 || w.Requests > maxRequests || w.MaxOpen <= 0 || w.MaxOpen > maxInFlightLimit {
		return m, errors.Errorf("requests must be 1 to %d and maxOpen 1 to %d", maxRequests, maxInFlightLimit)
	}
	if w.RatePerSecond <= 0 || float64(w.Requests)/w.RatePerSecond > maxRunTime.Seconds() {
		return m, errors.Errorf("ratePerSecond must be positive and the run must not take longer than %s", maxRunTime)
	}
	if w.Timeout != "" {
		timeout, err := time.ParseDuration(w.Timeout)
		if err != nil {
			return m, errors.Wrap(err, "timeout")
		}
		m.timeout = timeout
	}
	if !w.AllowRemote {
		if err := checkLoopback(append(append([]string(nil), w.Routers...), w.Targets...)); err != nil {
			return m, err
		}
	}
	for _, jw := range w.Work {
		kind, err := requestKindFromJSON(jw)
		if err != nil {
			return m, errors.Wrapf(err, "work[%q]", jw.Name)
		}
		m.kinds = append(m.kinds, kind)
	}
	return m, nil
}

func requestKindFromJSON(w jsonRequestKind) (RequestKind, error) {
	kind := RequestKind{
		name: w.Name, weight: w.Weight, organisation: w.Organisation, apiKey: w.Key, service: w.Service,
		path: w.Path, workLabel: w.Work, hasIdempotencyKey: w.Keyed, stream: w.Stream, tokens: w.Tokens,
		promptBytes: w.PromptBytes, prefixes: max(1, w.Prefixes),
	}
	if w.Weight <= 0 || w.Service == "" || w.Key == "" {
		return kind, errors.New("weight, service and key are required")
	}
	if w.LateAfter == "" {
		return kind, nil
	}
	firstTokenLimit, err := time.ParseDuration(w.LateAfter)
	kind.firstTokenLimit = firstTokenLimit
	return kind, errors.Wrap(err, "lateAfter")
}

// checkLoopback returns an error if an address is not a loopback address, so that
// no other machine is put under load by mistake.
func checkLoopback(addresses []string) error {
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return errors.Wrapf(err, "address %q", address)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return errors.Errorf("address %q is not a loopback address: set allowRemote to send load elsewhere", address)
		}
	}
	return nil
}
