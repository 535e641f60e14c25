// Package timekeeper provides a wall clock that is monotonic within a process.
//
// The system clock of a VM may be adjusted while a process runs. The ledger subtracts
// the times of two reports to determine for how long a router may have spent tokens
// without control having seen it. If the system clock were set forward by a second
// between the reports, the ledger would also write off what the router may spend in a
// second, and the organisations would lose that much of their budgets.
package timekeeper

import "time"

// Clock is a wall clock that ignores adjustments of the system clock after its start.
type Clock struct{ startedAt time.Time }

// New returns a clock that starts at now, which must come from time.Now because it needs
// a monotonic reading.
func New(now time.Time) Clock { return Clock{now} }

// Now returns the wall-clock time at the start of the clock plus the monotonic time that
// has elapsed since.
func (c Clock) Now() time.Time { return c.startedAt.Add(time.Since(c.startedAt)) }
