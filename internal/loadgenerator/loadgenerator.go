package loadgenerator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
	progressInterval   = 5 * time.Second
)

// Outcome is the outcome of one request.
type Outcome struct {
	kind       *RequestKind
	requestID  string
	nonce      string
	status     int
	code       string // error code of the response
	verdict    string // verdict header of the response
	problem    string // what is incorrect in a response that looks complete
	err        error  // failure to send the request, or to read or decode the response
	latency    time.Duration
	firstToken time.Duration
	tokens     int
	served     bool
}

// RequestID returns the identifier that the router gave the request.
func (o Outcome) RequestID() string { return o.requestID }

// Verdict returns the verdict in the response's header, or "".
func (o Outcome) Verdict() string { return o.verdict }

// Served reports whether a complete and correct response arrived.
func (o Outcome) Served() bool { return o.served }

// Problem returns what is incorrect in a response that looks complete, or "".
func (o Outcome) Problem() string { return o.problem }

// Summary holds the counts and latencies of one kind of request. A response is
// past its deadline if its first token came later than the setting lateAfter
// of its kind.
type Summary struct {
	Name         string           `json:"name"`
	Sent         int              `json:"sent"`
	Served       int              `json:"served"`
	PastDeadline int              `json:"late"`
	Refused      map[string]int   `json:"refused"` // by error code, also of requests that may have run
	Incomplete   int              `json:"broken"`  // no response, or one that ended early
	Incorrect    int              `json:"wrong"`
	Tokens       int              `json:"tokens"`
	LatencyMs    map[string]int64 `json:"tookMs"`
	FirstTokenMs map[string]int64 `json:"firstTokenMs"`
	latencies    *hdrhistogram.Histogram
	firstTokens  *hdrhistogram.Histogram
	problems     []string
}

// Report is the result of a load run.
type Report struct {
	Seconds   float64    `json:"seconds"`
	Summaries []*Summary `json:"work"`
	outcomes  []Outcome
}

// Outcomes returns the outcome of each request.
func (r *Report) Outcomes() []Outcome { return r.outcomes }

// Config configures a load generator.
type Config struct {
	// Mix describes the requests to send. Required.
	Mix Mix
	// Progress receives a progress line every few seconds. Default: none is
	// written.
	Progress io.Writer
}

// Generator sends the requests of a mix.
type Generator struct {
	mix      Mix
	progress io.Writer
	client   *http.Client
	random   *rand.Rand

	mutex    sync.Mutex
	outcomes []Outcome
	inFlight sync.WaitGroup
	slots    chan struct{}
}

// New returns a load generator.
func New(config Config) *Generator {
	if config.Progress == nil {
		config.Progress = io.Discard
	}
	return &Generator{
		mix:      config.Mix,
		progress: config.Progress,
		client: &http.Client{
			Timeout:   config.Mix.timeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: config.Mix.maxInFlight, DisableCompression: true},
		},
		random: rand.New(rand.NewPCG(config.Mix.seed, config.Mix.seed)),
		slots:  make(chan struct{}, config.Mix.maxInFlight),
	}
}

// Run sends the requests at random intervals with the mean rate of the mix, waits
// for their responses and returns the report. If the context ends, the report
// holds the outcomes so far.
func (g *Generator) Run(ctx context.Context) *Report {
	start := time.Now()
	sendAt := start
	lastProgress := start
	for n := range g.mix.requests {
		c := g.nextCall(n)
		sendAt = sendAt.Add(time.Duration(g.random.ExpFloat64() / g.mix.ratePerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return g.report(time.Since(start))
		case <-time.After(time.Until(sendAt)):
		}
		g.slots <- struct{}{}
		g.inFlight.Go(func() { c.run(ctx) })
		if time.Since(lastProgress) > progressInterval {
			lastProgress = time.Now()
			_, _ = fmt.Fprintf(g.progress, "%d of %d sent\n", n+1, g.mix.requests) // a lost progress line does no harm
		}
	}
	g.inFlight.Wait()
	return g.report(time.Since(start))
}

// nextCall returns the request with the given number. Its kind is chosen at random,
// in proportion to the weights.
func (g *Generator) nextCall(n int) *call {
	total := 0
	for _, kind := range g.mix.kinds {
		total += kind.weight
	}
	offset := g.random.IntN(total)
	c := &call{generator: g, router: g.mix.routers[g.random.IntN(len(g.mix.routers))]}
	for i := range g.mix.kinds {
		kind := &g.mix.kinds[i]
		if offset < kind.weight {
			c.kind = kind
			break
		}
		offset -= kind.weight
	}
	c.prefixNumber = g.random.IntN(c.kind.prefixes)
	c.nonce = fmt.Sprintf("n%dx%d", g.mix.seed, n)
	return c
}

func (g *Generator) addOutcome(o Outcome) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.outcomes = append(g.outcomes, o)
}

func (g *Generator) report(elapsed time.Duration) *Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report := &Report{Seconds: elapsed.Seconds(), outcomes: g.outcomes}
	byName := map[string]*Summary{}
	for i := range g.mix.kinds {
		kind := &g.mix.kinds[i]
		s := &Summary{
			Name: kind.name, Refused: map[string]int{},
			latencies:   hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
			firstTokens: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		}
		byName[kind.name] = s
		report.Summaries = append(report.Summaries, s)
	}
	for _, o := range g.outcomes {
		byName[o.kind.name].add(o)
	}
	for _, s := range report.Summaries {
		s.LatencyMs, s.FirstTokenMs = percentiles(s.latencies), percentiles(s.firstTokens)
	}
	return report
}

func (s *Summary) add(o Outcome) {
	s.Sent++
	s.Tokens += o.tokens
	switch {
	case o.problem != "":
		s.Incorrect++
		s.problems = append(s.problems, o.requestID+": "+o.problem)
	case o.served:
		s.Served++
		_ = s.latencies.RecordValue(o.latency.Microseconds())      // values beyond the range are not recorded
		_ = s.firstTokens.RecordValue(o.firstToken.Microseconds()) // as above
		if o.kind.firstTokenLimit > 0 && o.firstToken > o.kind.firstTokenLimit {
			s.PastDeadline++
		}
	case o.code != "":
		s.Refused[o.code]++
	default:
		s.Incomplete++
	}
}

func percentiles(h *hdrhistogram.Histogram) map[string]int64 {
	values := map[string]int64{}
	for name, q := range map[string]float64{"p50": 50, "p95": 95, "p99": 99, "max": 100} {
		values[name] = h.ValueAtQuantile(q) / 1000 // microseconds to milliseconds
	}
	return values
}

// Problems returns what is incorrect in responses that look complete.
func (r *Report) Problems() []string {
	var problems []string
	for _, s := range r.Summaries {
		problems = append(problems, s.problems...)
	}
	return problems
}
