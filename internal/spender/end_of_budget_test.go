package spender_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/spender"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

const (
	routerCount = 20
	// grantWait is how long a request waits for control to raise a grant, and lenders is how
	// many routers it asks for a loan afterwards, as gateways do.
	grantWait = 40 * time.Millisecond
	lenders   = 10
)

// openRequest is a request that was sent to a target, and the routers that have reserved
// tokens for it.
type openRequest struct {
	endsAt   time.Time
	reserved map[*spender.Spender]int64
}

// waitingRequest is a request that waits for control to raise the grant of its router.
type waitingRequest struct {
	router *spender.Spender
	tokens int64
	until  time.Time
}

// endOfBudget is a fleet whose organisation spends its last tokens.
type endOfBudget struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	ledger  *escrower.Ledger
	routers []*spender.Spender
	open    []openRequest
	waiting []waitingRequest
	// refused counts, for each second, the requests that were refused without proof that
	// the budget is exhausted.
	refused map[int]int
	start   time.Time
}

func newEndOfBudget(t *testing.T, prepaid int64) *endOfBudget {
	start := time.Unix(1_800_000_000, 0)
	f := &endOfBudget{t: t, now: start, start: start, random: rand.New(rand.NewPCG(1, 1)), ledger: escrower.New(), refused: map[int]int{}}
	f.ledger.SetPrepaid(organisation, prepaid)
	for i := range routerCount {
		f.routers = append(f.routers, spender.New(spender.Config{Process: identifier.NewProcess(fmt.Sprintf("router-%d", i), 1), StartedAt: start}))
	}
	return f
}

// step advances the fleet by 10 ms: routers report, waiting requests are decided and open
// ones end.
func (f *endOfBudget) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	for _, r := range f.routers {
		if !r.ReportDue(f.now) {
			continue
		}
		response, err := f.ledger.Apply(r.Report(spender.ReportConfig{Now: f.now, Lender: true}), f.now)
		if err != nil {
			f.t.Fatal(err)
		}
		r.HandleResponse(response, f.now, f.now)
	}
	waiting := f.waiting
	f.waiting = nil
	for _, w := range waiting {
		f.decide(w, w.router.Retry(organisation, w.tokens, f.now))
	}
	open := f.open
	f.open = nil
	for _, o := range open {
		if f.now.Before(o.endsAt) {
			f.open = append(f.open, o)
			continue
		}
		for r, tokens := range o.reserved {
			r.Settle(organisation, tokens, tokens/2, f.now) // most answers are shorter than they may be
		}
	}
}

// request sends a request of the given size to a random router.
func (f *endOfBudget) request(tokens int64) {
	r := f.routers[f.random.IntN(len(f.routers))]
	w := waitingRequest{r, tokens, f.now.Add(grantWait)}
	r.AddWaiter(organisation, tokens, f.now)
	f.decide(w, r.Reserve(organisation, tokens, f.now))
}

// decide ends the wait of a request unless a better decision may still be reached.
func (f *endOfBudget) decide(w waitingRequest, d spender.Decision) {
	if _, insufficient := d.(spender.Insufficient); insufficient && f.now.Before(w.until) {
		f.waiting = append(f.waiting, w)
		return
	}
	w.router.RemoveWaiter(organisation, w.tokens, f.now)
	switch d.(type) {
	case spender.Reserved:
		f.serve(map[*spender.Spender]int64{w.router: w.tokens})
	case spender.Insufficient:
		if !f.borrow(w) {
			f.refused[int(f.now.Sub(f.start)/time.Second)]++
		}
	case spender.Exhausted:
	}
}

func (f *endOfBudget) serve(reserved map[*spender.Spender]int64) {
	f.open = append(f.open, openRequest{f.now.Add(300 * time.Millisecond), reserved})
}

// borrow serves the request if its router and the lenders together can cover it.
func (f *endOfBudget) borrow(w waitingRequest) bool {
	reserved := map[*spender.Spender]int64{}
	missing := w.tokens
	reserve := func(r *spender.Spender) {
		tokens := r.ReserveUpTo(organisation, missing, f.now)
		reserved[r] += tokens
		missing -= tokens
	}
	reserve(w.router)
	for _, i := range f.random.Perm(len(f.routers))[:lenders] {
		if f.routers[i] != w.router && missing > 0 {
			reserve(f.routers[i])
		}
	}
	if missing == 0 {
		f.serve(reserved)
		return true
	}
	for r, tokens := range reserved {
		r.Settle(organisation, tokens, 0, f.now)
	}
	return false
}

// Guards against the last tokens of a budget that lie idle at many routers, each with too
// few for a request: all requests are then refused for seconds without proof that the
// budget is exhausted, although it could be spent at once.
func TestEndOfBudgetIsSpentOrProved(t *testing.T) {
	const (
		interval  = 20 * time.Millisecond
		spentBy   = 4 * time.Second
		span      = 10 * time.Second
		unproved  = 10 // refusals of those that come while the last requests end
		smallSize = 1000
	)
	f := newEndOfBudget(t, 40_000)
	for next := f.now; f.now.Sub(f.start) < span; f.step() {
		if !f.now.Before(next) {
			f.request(smallSize + f.random.Int64N(smallSize))
			next = next.Add(interval)
		}
	}
	late := 0
	for second, n := range f.refused {
		if time.Duration(second)*time.Second >= spentBy {
			late += n
		}
	}
	s := f.ledger.Statements()[0]
	t.Logf("refused without proof by second: %v; spent %d of %d", f.refused, s.Spent(), s.Prepaid())
	if late > unproved {
		t.Errorf("%d requests were refused without proof later than %s, at most %d may", late, spentBy, unproved)
	}
}
