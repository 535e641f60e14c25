package archiver

import (
	"cmp"
	"slices"
)

// SubmitOutcome is the outcome of submitting a ticket. It is a sealed interface:
// Accepted, AlreadyAccepted, NumberTaken, NumberTooLow and Invalid are its only
// implementations.
type SubmitOutcome interface{ isSubmitOutcome() }

// Accepted means that the ticket is now in force.
type Accepted struct{}

// AlreadyAccepted means that the same ticket was accepted earlier.
type AlreadyAccepted struct{}

// NumberTaken means that a different ticket with the same number was accepted
// earlier.
type NumberTaken struct{ hash string }

// NumberTooLow means that a ticket with a higher number is in force.
type NumberTooLow struct{ newest uint64 }

// Invalid means that the ticket conflicts with the configuration in force.
type Invalid struct{ reason string }

func (Accepted) isSubmitOutcome()        {}
func (AlreadyAccepted) isSubmitOutcome() {}
func (NumberTaken) isSubmitOutcome()     {}
func (NumberTooLow) isSubmitOutcome()    {}
func (Invalid) isSubmitOutcome()         {}

// Hash returns the hash of the ticket that was accepted with the number.
func (n NumberTaken) Hash() string { return n.hash }

// Newest returns the number of the newest ticket in force.
func (n NumberTooLow) Newest() uint64 { return n.newest }

// Reason returns why the ticket was refused.
func (i Invalid) Reason() string { return i.reason }

// Archive stores the accepted tickets in ascending order of their numbers. It is
// not safe for concurrent use, but the configurations that it returns are.
type Archive struct {
	tickets []Ticket
	current Configuration
}

// Current returns the configuration in force.
func (a *Archive) Current() Configuration { return a.current }

// Check returns the outcome that submitting the ticket would have.
func (a *Archive) Check(t Ticket) SubmitOutcome {
	if earlier, ok := a.Ticket(t.number); ok {
		if HashTicket(earlier) == HashTicket(t) {
			return AlreadyAccepted{}
		}
		return NumberTaken{HashTicket(earlier)}
	}
	if t.number <= a.current.number {
		return NumberTooLow{a.current.number}
	}
	if reason := findConflict(a.current, t); reason != "" {
		return Invalid{reason}
	}
	return Accepted{}
}

// Submit puts the ticket into force if Check accepts it.
func (a *Archive) Submit(t Ticket) SubmitOutcome {
	outcome := a.Check(t)
	if _, ok := outcome.(Accepted); ok {
		a.tickets = append(a.tickets, t)
		a.current = a.current.With(t)
	}
	return outcome
}

// Ticket returns the accepted ticket with the given number.
func (a *Archive) Ticket(number uint64) (Ticket, bool) {
	i, ok := slices.BinarySearchFunc(a.tickets, number, func(t Ticket, n uint64) int {
		return cmp.Compare(t.number, n)
	})
	if !ok {
		return Ticket{}, false
	}
	return a.tickets[i], true
}

// Tickets returns all accepted tickets, oldest first.
func (a *Archive) Tickets() []Ticket { return slices.Clone(a.tickets) }

// TicketsAfter returns the tickets with a number above the given one.
func (a *Archive) TicketsAfter(number uint64) []Ticket {
	i, ok := slices.BinarySearchFunc(a.tickets, number, func(t Ticket, n uint64) int {
		return cmp.Compare(t.number, n)
	})
	if ok {
		i++
	}
	return slices.Clone(a.tickets[i:])
}

// ConfigurationAt returns the configuration that was in force once the ticket with
// the given number had been accepted.
func (a *Archive) ConfigurationAt(number uint64) (Configuration, bool) {
	if _, ok := a.Ticket(number); !ok {
		return Configuration{}, false
	}
	var c Configuration
	for _, t := range a.tickets {
		if t.number <= number {
			c = c.With(t)
		}
	}
	return c, true
}

func compareRules(a, b Rule) int {
	return cmp.Or(
		cmp.Compare(a.organisation, b.organisation),
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.workKind, b.workKind),
	)
}

// findConflict returns why the ticket cannot be applied to the configuration, or
// an empty string.
func findConflict(c Configuration, t Ticket) string {
	next := c.With(t)
	for _, rule := range t.rules {
		if _, ok := next.organisations[rule.organisation]; !ok {
			return "a rule names the unknown organisation " + rule.organisation
		}
		if _, ok := next.services[rule.service]; !ok {
			return "a rule names the unknown service " + rule.service
		}
	}
	owners := map[[32]byte]string{}
	for _, o := range next.Organisations() {
		for _, key := range o.keys {
			if owner, ok := owners[key.hash]; ok {
				return "the organisations " + owner + " and " + o.name + " have the same key"
			}
			owners[key.hash] = o.name
		}
	}
	return ""
}

// NewInvalid returns the outcome of a ticket that is refused for the given reason.
func NewInvalid(reason string) Invalid { return Invalid{reason} }
