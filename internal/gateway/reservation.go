package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/messenger"
	"radishshed.example/radishshed/internal/recorder"
	"radishshed.example/radishshed/internal/spender"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/transport/linker"
)

const (
	// A request waits for control to raise a grant for grantWaitFraction of its
	// route's time-to-first-event objective, but at least minGrantWait and at most
	// maxGrantWait. Raising a grant takes a few milliseconds if control is reachable.
	minGrantWait      = 40 * time.Millisecond
	maxGrantWait      = 120 * time.Millisecond
	grantWaitFraction = 0.11
	// Values of the Retry-After header if the grants do not cover a request.
	partitionRetryAfter     = 300 * time.Millisecond
	shortfallRetryAfter     = 2500 * time.Millisecond
	unsatisfiableRetryAfter = 20 * time.Second
	// maxLenders is how many routers are asked for a loan for one request.
	maxLenders    = 10
	lenderTimeout = 40 * time.Millisecond
	// loanBackoffPeriod is how long no loans are requested for an organisation after the
	// lenders could not cover one of its requests. Smaller requests are still tried.
	loanBackoffPeriod = 250 * time.Millisecond
	// loanLifetime is longer than the longest request.
	loanLifetime = 30 * time.Second
)

// borrowedLoan is a number of tokens that another router, the lender, has reserved for a
// request of this router.
type borrowedLoan struct {
	lender *linker.Peer
	id     uint64
	tokens int64
}

// reservation holds the tokens that are reserved for a request, at this router and as
// loans at others.
type reservation struct {
	organisation string
	own          int64
	loans        []borrowedLoan
}

func (r *reservation) total() int64 {
	total := r.own
	for _, l := range r.loans {
		total += l.tokens
	}
	return total
}

// reserve reserves as many tokens as the request can consume at most. It tries the grants of
// this router, then waits briefly for control to raise them, and then requests loans
// from other routers. A partition that separates the routers from control may leave
// them connected to each other, so that together they can cover a request that none of
// them covers alone.
func (q *request) reserve(ctx context.Context) *refusal {
	tokens := q.metadata.MaxTokens()
	organisation, ok := q.catalogue.Organisation(q.metadata.config.APIKey)
	if !ok || tokens == 0 {
		return nil
	}
	if _, limited := organisation.PrepaidTokens(); !limited {
		return nil
	}
	g := q.gateway
	decision := g.spender.Reserve(q.organisation, tokens, time.Now())
	if insufficient, ok := decision.(spender.Insufficient); ok && insufficient.Retryable() {
		decision = q.awaitGrant(ctx, tokens)
	}
	switch d := decision.(type) {
	case spender.Reserved:
		q.reservation = reservation{organisation: q.organisation, own: tokens}
		return nil
	case spender.Exhausted:
		return newRefusal(http.StatusPaymentRequired, "budgetExhausted", 0,
			zap.Int64("tokens", tokens), zap.Int64("remaining", d.Remaining()), zap.Duration("age", d.AckAge()))
	case spender.Insufficient:
		if !d.Unsatisfiable() && q.borrow(ctx, tokens) {
			return nil
		}
		return newRefusal(http.StatusServiceUnavailable, "grantTooSmall", grantRetryAfter(d),
			zap.Int64("tokens", tokens), zap.Int64("held", d.Unreserved()),
			zap.Bool("detached", d.Disconnected()), zap.Bool("hopeless", d.Unsatisfiable()), zap.Duration("age", d.AckAge()))
	default:
		panic(decision)
	}
}

// grantRetryAfter returns the Retry-After value for a request that the grants do not
// cover. It is shortest during a partition, which may end soon, longer if control or the
// witnesses may allow the request, and longest if only a raised budget can help.
func grantRetryAfter(i spender.Insufficient) time.Duration {
	switch {
	case i.Unsatisfiable():
		return unsatisfiableRetryAfter
	case i.Retryable():
		return shortfallRetryAfter
	default:
		return partitionRetryAfter
	}
}

// awaitGrant waits until a response of control or of the witnesses allows a reservation
// that covers the request, or until the time for waiting is over. It returns the last
// decision.
func (q *request) awaitGrant(ctx context.Context, tokens int64) spender.Decision {
	s := q.gateway.spender
	wait := time.Duration(grantWaitFraction * float64(q.route.FirstEventObjective()))
	timer := time.NewTimer(min(max(wait, minGrantWait), maxGrantWait))
	defer timer.Stop()
	s.AddWaiter(q.organisation, tokens, time.Now())
	defer func() { s.RemoveWaiter(q.organisation, tokens, time.Now()) }()
	for {
		changed := s.Changed()
		q.gateway.triggerReport()
		decision := s.Retry(q.organisation, tokens, time.Now())
		if _, insufficient := decision.(spender.Insufficient); !insufficient {
			return decision
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.Retry(q.organisation, tokens, time.Now())
		case <-ctx.Done():
			return decision
		}
	}
}

// borrow reserves part of the tokens at this router and the rest as loans at other
// routers. It reports whether all tokens could be reserved; if not, it releases those
// that were.
func (q *request) borrow(ctx context.Context, tokens int64) bool {
	g := q.gateway
	if g.loans.inBackoff(q.organisation, tokens, time.Now()) {
		return false
	}
	r := reservation{organisation: q.organisation, own: g.spender.ReserveUpTo(q.organisation, tokens, time.Now())}
	peers := g.lenderPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxLenders)] {
		if r.total() >= tokens || ctx.Err() != nil {
			break
		}
		if l, ok := g.requestLoan(ctx, peer, q.organisation, tokens-r.total()); ok {
			r.loans = append(r.loans, l)
		}
	}
	if r.total() < tokens {
		g.settle(r, 0)
		g.loans.setBackoff(q.organisation, tokens, time.Now())
		return false
	}
	q.reservation = r
	g.meters.borrowed.Inc(1)
	return true
}

// requestLoan asks another router for a loan. The lender may grant fewer tokens.
func (g *Gateway) requestLoan(ctx context.Context, peer *linker.Peer, organisation string, tokens int64) (borrowedLoan, bool) {
	ctx, cancel := context.WithTimeout(ctx, lenderTimeout)
	defer cancel()
	l := borrowedLoan{lender: peer, id: g.loans.nextID()}
	data, err := messenger.EncodeLoan(messenger.NewLoan(l.id, organisation, tokens))
	if err == nil {
		data, err = peer.Call(ctx, messenger.LoanRequest, data)
	}
	var granted messenger.Loan
	if err == nil {
		granted, err = messenger.DecodeLoan(data)
	}
	if err != nil {
		g.log.Debug("loan request failed", zap.Stringer("lender", peer.Identity().Process()), recorder.Err(err))
		g.returnLoan(l, 0) // the lender may have reserved the tokens
		return borrowedLoan{}, false
	}
	l.tokens = granted.Tokens()
	return l, l.tokens > 0
}

// settle charges the tokens that a request has consumed, first to the reservation at
// this router and then to the loans, and releases the rest.
func (g *Gateway) settle(r reservation, spent int64) {
	if r.own > 0 {
		part := min(spent, r.own)
		g.spender.Settle(r.organisation, r.own, part, time.Now())
		spent -= part
	}
	for _, l := range r.loans {
		part := min(spent, l.tokens)
		g.returnLoan(l, part)
		spent -= part
	}
}

// returnLoan tells the lender how many tokens of the loan were spent. If the message is
// lost, the lender charges the whole loan.
func (g *Gateway) returnLoan(l borrowedLoan, spent int64) {
	data, err := messenger.EncodeLoan(messenger.NewLoan(l.id, "", spent))
	if err == nil {
		err = l.lender.Notify(messenger.LoanReturn, data)
	}
	if err != nil {
		g.log.Warn("cannot return a loan: if it was granted, the lender charges it in full", zap.Stringer("lender", l.lender.Identity().Process()), recorder.Err(err))
	}
}

// lentLoan is a number of tokens that this router has reserved for a request of another
// router.
type lentLoan struct {
	organisation string
	tokens       int64
	expiresAt    time.Time
}

type loanKey struct {
	borrower identifier.Process
	id       uint64
}

// loanTable holds the loans that this router has granted to others and, for the loans that
// it requests, their last identifier and the backoff of each organisation.
type loanTable struct {
	mutex    sync.Mutex
	sequence uint64
	lent     map[loanKey]lentLoan
	backoffs map[string]loanBackoff
	// returned holds, with an expiry time, the loans whose return arrived before
	// their request, since messages are handled concurrently.
	returned map[loanKey]time.Time
}

// loanBackoff is the size of a request that the lenders could not cover, and until when
// they are not asked again for one of this size or larger.
type loanBackoff struct {
	tokens int64
	until  time.Time
}

func newLoanTable() *loanTable {
	return &loanTable{lent: map[loanKey]lentLoan{}, backoffs: map[string]loanBackoff{}, returned: map[loanKey]time.Time{}}
}

func (l *loanTable) nextID() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	return l.sequence
}

// inBackoff reports whether the lenders could recently not cover a request of the
// organisation that was not larger than this one.
func (l *loanTable) inBackoff(organisation string, tokens int64, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	backoff := l.backoffs[organisation]
	return now.Before(backoff.until) && tokens >= backoff.tokens
}

// setBackoff records that the lenders could not cover a request of the organisation.
func (l *loanTable) setBackoff(organisation string, tokens int64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.backoffs[organisation] = loanBackoff{tokens, now.Add(loanBackoffPeriod)}
}

// handleLoanRequest reserves up to the requested number of tokens for a request of
// another router.
func (g *Gateway) handleLoanRequest(from *linker.Peer, body []byte) ([]byte, error) {
	requested, err := messenger.DecodeLoan(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	key := loanKey{from.Identity().Process(), requested.ID()}
	g.loans.mutex.Lock()
	defer g.loans.mutex.Unlock()
	tokens := int64(0)
	if _, returned := g.loans.returned[key]; !returned && !g.tracker.ShuttingDown() {
		tokens = g.spender.ReserveUpTo(requested.Organisation(), requested.Tokens(), now)
	}
	delete(g.loans.returned, key)
	if tokens > 0 {
		g.loans.lent[key] = lentLoan{requested.Organisation(), tokens, now.Add(loanLifetime)}
	}
	return messenger.EncodeLoan(messenger.NewLoan(requested.ID(), "", tokens))
}

// handleLoanReturn settles a loan that its borrower returns: it charges the tokens that
// were spent and releases the rest.
func (g *Gateway) handleLoanReturn(from *linker.Peer, body []byte) error {
	returned, err := messenger.DecodeLoan(body)
	if err != nil {
		return err
	}
	g.loans.mutex.Lock()
	defer g.loans.mutex.Unlock()
	key := loanKey{from.Identity().Process(), returned.ID()}
	l, ok := g.loans.lent[key]
	if !ok {
		g.loans.returned[key] = time.Now().Add(loanLifetime)
		return nil
	}
	delete(g.loans.lent, key)
	g.spender.Settle(l.organisation, l.tokens, returned.Tokens(), time.Now())
	return nil
}

// chargeUnsettledLoans charges in full the loans whose borrower can no longer settle them:
// all loans of the given process, the link to which is down, and all expired loans.
func (g *Gateway) chargeUnsettledLoans(disconnected identifier.Process, now time.Time) {
	g.loans.mutex.Lock()
	defer g.loans.mutex.Unlock()
	for key, l := range g.loans.lent {
		if key.borrower != disconnected && now.Before(l.expiresAt) {
			continue
		}
		delete(g.loans.lent, key)
		g.spender.Settle(l.organisation, l.tokens, l.tokens, now)
		g.log.Info("loan charged in full: its borrower can no longer settle it", zap.Stringer("borrower", key.borrower),
			zap.String("organisation", l.organisation), zap.Int64("tokens", l.tokens))
	}
	for key, until := range g.loans.returned {
		if now.After(until) {
			delete(g.loans.returned, key)
		}
	}
}
