// Package evacuator decides which data centres are evacuated, and which of two sets of them
// is in force. Routers send nothing to the targets of an evacuated data centre.
//
// It addresses orders that arrive more than once, out of order or from several control VMs:
// an operator repeats an order whose response was lost, two operators give opposite orders,
// and a control VM that lags behind tells a router of a set that has been replaced.
package evacuator

import (
	"slices"

	"github.com/pkg/errors"
)

// ErrUnknownDataCentre means that an order names a data centre that is not in the settings.
var ErrUnknownDataCentre = errors.New("the data centre is not in the setting dataCentres")

// Order is an order of an operator. It is sealed: Begin and Finish are its only variants.
type Order interface {
	// DataCentre returns the data centre that the order is about.
	DataCentre() string
	isOrder()
}

// Begin orders that nothing more is sent to the targets of a data centre.
type Begin struct{ dataCentre string }

// Finish revokes Begin.
type Finish struct{ dataCentre string }

// NewBegin returns the order to evacuate the data centre.
func NewBegin(dataCentre string) Begin { return Begin{dataCentre} }

// NewFinish returns the order to end the evacuation of the data centre.
func NewFinish(dataCentre string) Finish { return Finish{dataCentre} }

// DataCentre implements Order.
func (b Begin) DataCentre() string { return b.dataCentre }

// DataCentre implements Order.
func (f Finish) DataCentre() string { return f.dataCentre }

func (Begin) isOrder()  {}
func (Finish) isOrder() {}

// Set is the set of evacuated data centres. It is immutable. Its revision increases with
// each change, so that of two sets the one with the higher revision is in force. The zero
// set, of revision zero, is that before the first order.
type Set struct {
	revision    uint64
	dataCentres []string // sorted
}

// Revision returns the number of changes that have led to the set.
func (s Set) Revision() uint64 { return s.revision }

// DataCentres returns the evacuated data centres in alphabetical order. The result is not
// nil.
func (s Set) DataCentres() []string { return append([]string{}, s.dataCentres...) }

// IsEmpty reports whether no data centre is evacuated.
func (s Set) IsEmpty() bool { return len(s.dataCentres) == 0 }

// Contains reports whether the data centre is evacuated.
func (s Set) Contains(dataCentre string) bool { return slices.Contains(s.dataCentres, dataCentre) }

// Allows reports whether requests may be sent to the targets of the data centre.
func (s Set) Allows(dataCentre string) bool { return !s.Contains(dataCentre) }

// Supersedes reports whether the set replaces the other one.
func (s Set) Supersedes(other Set) bool { return s.revision > other.revision }

// Apply returns the set after the order. The set stays the same if the order is already
// carried out.
func (s Set) Apply(order Order) Set {
	i, evacuated := slices.BinarySearch(s.dataCentres, order.DataCentre())
	switch o := order.(type) {
	case Begin:
		if evacuated {
			return s
		}
		return Set{s.revision + 1, slices.Insert(s.DataCentres(), i, o.dataCentre)}
	case Finish:
		if !evacuated {
			return s
		}
		return Set{s.revision + 1, slices.Delete(s.DataCentres(), i, i+1)}
	default:
		panic(errors.Errorf("evacuator: unknown order %T", o))
	}
}
