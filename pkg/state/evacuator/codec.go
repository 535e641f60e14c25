package evacuator

import (
	"slices"

	"github.com/pkg/errors"
)

// WireOrder is the CBOR form of an order.
type WireOrder struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Finish     bool
}

// WireSet is the CBOR form of a set.
type WireSet struct {
	_           struct{} `cbor:",toarray"`
	Revision    uint64
	DataCentres []string
}

// OrderToWire returns the CBOR form of the order.
func OrderToWire(o Order) WireOrder {
	_, finish := o.(Finish)
	return WireOrder{DataCentre: o.DataCentre(), Finish: finish}
}

// OrderFromWire is the inverse of OrderToWire.
func OrderFromWire(w WireOrder) (Order, error) {
	if w.DataCentre == "" {
		return nil, errors.New("malformed evacuation order: the data centre is missing")
	}
	if w.Finish {
		return Finish{w.DataCentre}, nil
	}
	return Begin{w.DataCentre}, nil
}

// SetToWire returns the CBOR form of the set.
func SetToWire(s Set) WireSet { return WireSet{Revision: s.revision, DataCentres: s.dataCentres} }

// SetFromWire is the inverse of SetToWire.
func SetFromWire(w WireSet) Set {
	s := Set{w.Revision, w.DataCentres}
	slices.Sort(s.dataCentres)
	return s
}
