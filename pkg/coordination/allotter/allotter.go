// Package allotter holds a router's grants: the parts of prepaid budgets that the ledger
// has allocated to the router.
//
// Reserving from a grant and releasing the unused rest take a few atomic operations.
// What a router has returned is reported to the ledger as a total since the start of its
// process, and the ledger ignores draws that are not newer than the last one. Lost,
// duplicate and delayed messages are therefore harmless.
package allotter

import (
	"sync"
	"sync/atomic"
	"time"

	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/pricer"
)

const (
	// demandWindow is the time constant of the average rate of spending.
	demandWindow = time.Minute
	// idleTimeout is how long draws on an account are still sent after the last spending or
	// waiting request.
	idleTimeout = 30 * time.Second
)

// Account holds what the router has been granted from one budget. It is safe for concurrent
// use.
type Account struct {
	name    string
	unspent atomic.Int64
	spent   atomic.Int64 // settled since the last tick

	mutex         sync.Mutex
	waiters       map[pricer.Amount]int // number of waiting requests by amount
	granted       pricer.Amount
	returned      pricer.Amount
	maxUnspent    pricer.Amount
	sequence      uint64
	demand        float64
	activeUntil   time.Time
	lastTickAt    time.Time
	drawRequested bool
	exhausted     bool
}

// Name returns the name of the ledger account.
func (a *Account) Name() string { return a.name }

// Unspent returns the amount that can be reserved, in microcredits.
func (a *Account) Unspent() pricer.Amount { return pricer.Amount(a.unspent.Load()) }

// Reserve reserves the amount, or returns false if the unspent amount is smaller.
func (a *Account) Reserve(amount pricer.Amount) bool {
	for {
		unspent := a.unspent.Load()
		if unspent < int64(amount) {
			return false
		}
		if a.unspent.CompareAndSwap(unspent, unspent-int64(amount)) {
			return true
		}
	}
}

// Settle ends a reservation of which cost was spent. The rest can be reserved again.
func (a *Account) Settle(reservation, cost pricer.Amount) {
	cost = min(cost, reservation)
	a.unspent.Add(int64(reservation - cost))
	a.spent.Add(int64(cost))
}

// AddWaiter records that a request waits for the amount, until RemoveWaiter. Draws ask for
// the largest amount that a request waits for.
func (a *Account) AddWaiter(amount pricer.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiters[amount]++
	a.drawRequested = true
}

// RemoveWaiter undoes AddWaiter. The next draw requires less, so that the ledger can grant
// other routers what it has withheld from them for the request.
func (a *Account) RemoveWaiter(amount pricer.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiters[amount]--
	if a.waiters[amount] <= 0 {
		delete(a.waiters, amount)
	}
	a.drawRequested = true
}

// RequestDraw makes the next call of UrgentDraws or Tick include a draw on the account.
func (a *Account) RequestDraw() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.drawRequested = true
}

// required returns the largest amount that a request waits for.
func (a *Account) required() pricer.Amount {
	var largest pricer.Amount
	for amount := range a.waiters {
		largest = max(largest, amount)
	}
	return largest
}

// Apply applies a grant of the ledger. The amounts of a grant older than the last one
// have no effect, but its limit and outcome replace the current ones.
func (a *Account) Apply(g bookkeeper.Grant) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if g.Granted() > a.granted {
		a.unspent.Add(int64(g.Granted() - a.granted))
		a.granted = g.Granted()
	}
	if g.Returned() > a.returned {
		// The grant has lapsed: the ledger has taken back the unspent rest of it, which this
		// process had not returned and must not spend any more.
		a.unspent.Add(-int64(g.Returned() - a.returned))
		a.returned = g.Returned()
	}
	a.maxUnspent = g.MaxUnspent()
	_, a.exhausted = g.Outcome().(bookkeeper.Exhausted)
	if a.Unspent() > a.maxUnspent {
		a.drawRequested = true
	}
}

// Exhausted reports whether the whole budget could not cover the largest waiting request
// when the ledger last responded.
func (a *Account) Exhausted() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.exhausted
}

// Recall sets the maximum unspent amount. The next draw returns what exceeds it.
func (a *Account) Recall(maxUnspent pricer.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.maxUnspent = maxUnspent
	a.drawRequested = true
}

// returnSurplus marks what exceeds maxUnspent as returned.
func (a *Account) returnSurplus() {
	for {
		unspent := a.unspent.Load()
		maxUnspent := int64(a.maxUnspent)
		if unspent <= maxUnspent {
			return
		}
		if a.unspent.CompareAndSwap(unspent, maxUnspent) {
			a.returned += pricer.Amount(unspent - maxUnspent)
			return
		}
	}
}

// nextDraw returns the next draw on the account.
func (a *Account) nextDraw() bookkeeper.Draw {
	a.returnSurplus()
	a.sequence++
	a.drawRequested = false
	return bookkeeper.NewDraw(bookkeeper.DrawConfig{
		Account:  a.name,
		Sequence: a.sequence,
		Required: a.required(),
		Demand:   pricer.Amount(a.demand),
		Returned: a.returned,
	})
}

// tick updates the demand and reports whether the account is in use, so that a draw on it is
// due.
func (a *Account) tick(now time.Time) bool {
	spent := a.spent.Swap(0)
	if spent > 0 || len(a.waiters) > 0 {
		a.activeUntil = now.Add(idleTimeout)
	}
	if elapsed := now.Sub(a.lastTickAt); !a.lastTickAt.IsZero() && elapsed > 0 {
		weight := min(1, float64(elapsed)/float64(demandWindow))
		a.demand += weight * (float64(spent)/elapsed.Seconds() - a.demand)
	}
	a.lastTickAt = now
	return now.Before(a.activeUntil)
}

// Allotter holds a router's accounts. It is safe for concurrent use.
type Allotter struct {
	accounts sync.Map // account name to *Account
}

// New returns an allotter without grants.
func New() *Allotter { return &Allotter{} }

// Account returns the account with the name.
func (a *Allotter) Account(name string) *Account {
	if account, ok := a.accounts.Load(name); ok {
		return account.(*Account)
	}
	account, _ := a.accounts.LoadOrStore(name, &Account{name: name, waiters: map[pricer.Amount]int{}})
	return account.(*Account)
}

// Tick updates the demand of each account and returns draws on all accounts that are in use
// or for which a draw was requested. It must be called about once a second.
func (a *Allotter) Tick(now time.Time) []bookkeeper.Draw {
	return a.collect(func(account *Account) bool { return account.tick(now) || account.drawRequested })
}

// UrgentDraws returns draws on the accounts that should not wait for the next tick: those
// with waiting requests and those for which a draw was requested.
func (a *Allotter) UrgentDraws() []bookkeeper.Draw {
	return a.collect(func(account *Account) bool { return account.drawRequested || len(account.waiters) > 0 })
}

// ReturnAll returns draws that give all unspent amounts back to the ledger. It also forgets
// all waiting requests. It is called when the router drains.
func (a *Allotter) ReturnAll() []bookkeeper.Draw {
	return a.collect(func(account *Account) bool {
		account.maxUnspent = 0
		clear(account.waiters)
		return account.granted > account.returned
	})
}

// Apply applies grants of the ledger.
func (a *Allotter) Apply(grants []bookkeeper.Grant) {
	for _, g := range grants {
		a.Account(g.Account()).Apply(g)
	}
}

func (a *Allotter) collect(include func(*Account) bool) []bookkeeper.Draw {
	var draws []bookkeeper.Draw
	a.accounts.Range(func(_, value any) bool {
		account := value.(*Account)
		account.mutex.Lock()
		defer account.mutex.Unlock()
		if include(account) {
			draws = append(draws, account.nextDraw())
		}
		return true
	})
	return draws
}
