// Package memorybudgeter decides which bytes of clients a process may hold, so that clients that
// nobody controls cannot make it exceed the memory of its VM.
//
// The load that it addresses: many clients at once that send heads or bodies of legal size, most
// of which stop just short of the end and stay open. Bytes are reserved before they are read and
// released when they are no longer held. A part of the budget is kept for small holders, so that
// ordinary requests are still served while large bodies take all the rest.
package memorybudgeter

import "sync"

const (
	// fixedBytes is what a process needs without clients: its program, links, entries and
	// catalogue. A router without load has 18 MB resident.
	fixedBytes = 40 << 20
	// shareOfRest is the part of the other memory that clients' bytes may take. The garbage
	// collector and the runtime need about as much as is held.
	shareOfRest = 0.5
	// minTotalBytes leaves room for one body of 4 MiB that grows by doubling, beside small holders.
	minTotalBytes = 10 << 20
	// smallBytes is the most that a holder may have to use the part for small ones.
	smallBytes = 64 << 10
	smallShare = 0.25
)

// Decision says whether a holder may read further bytes. Decision is a sealed interface: Admit and
// Refuse are its only implementations.
type Decision interface{ isDecision() }

// Admit means that the bytes are reserved and may be read.
type Admit struct{}

// Refuse means that the bytes must not be read: the budget is used up.
type Refuse struct{}

func (Admit) isDecision()  {}
func (Refuse) isDecision() {}

// Config configures a budgeter.
type Config struct {
	// MemoryBytes is the memory of the process. Default: no budget, everything is admitted.
	MemoryBytes int64
}

// Budgeter holds the budget of a process. It is safe for concurrent use.
type Budgeter struct {
	total, forLarge int64 // zero if there is no budget

	mutex sync.Mutex
	used  int64
}

// New returns a budgeter of which nothing is used.
func New(c Config) *Budgeter {
	if c.MemoryBytes <= 0 {
		return &Budgeter{}
	}
	total := max(minTotalBytes, int64(float64(c.MemoryBytes-fixedBytes)*shareOfRest))
	return &Budgeter{total: total, forLarge: total - int64(float64(total)*smallShare)}
}

// Total returns the size of the budget, or zero if there is none.
func (b *Budgeter) Total() int64 { return b.total }

// Used returns how many bytes are reserved.
func (b *Budgeter) Used() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// Open returns a reservation of no bytes.
func (b *Budgeter) Open() *Reservation { return &Reservation{budgeter: b} }

// Reservation is what one holder has reserved.
type Reservation struct {
	budgeter *Budgeter
	held     int64 // guarded by the mutex of the budgeter
}

// Grow reserves further bytes, or none if it returns Refuse.
func (r *Reservation) Grow(bytes int64) Decision {
	b := r.budgeter
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limit := b.total
	if r.held+bytes > smallBytes {
		limit = b.forLarge
	}
	if b.total > 0 && b.used+bytes > limit {
		return Refuse{}
	}
	r.held += bytes
	b.used += bytes
	return Admit{}
}

// Shrink releases bytes that are no longer held.
func (r *Reservation) Shrink(bytes int64) {
	r.budgeter.mutex.Lock()
	defer r.budgeter.mutex.Unlock()
	bytes = min(bytes, r.held)
	r.held -= bytes
	r.budgeter.used -= bytes
}

// Held returns how many bytes the reservation holds.
func (r *Reservation) Held() int64 {
	r.budgeter.mutex.Lock()
	defer r.budgeter.mutex.Unlock()
	return r.held
}

// Release releases all bytes. The reservation can be used again.
func (r *Reservation) Release() { r.Shrink(r.Held()) }
