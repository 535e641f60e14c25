package applier

import (
	"time"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/state/evacuator"
)

// Evacuate carries out an operator's order to begin or to finish the evacuation of a data
// centre.
type Evacuate struct{ order evacuator.Order }

// NewEvacuate returns the command that carries out the order.
func NewEvacuate(order evacuator.Order) Evacuate { return Evacuate{order} }

// EvacuationResult is the outcome of Evacuate.
type EvacuationResult struct {
	inForce evacuator.Set
	changed bool
}

// InForce returns the evacuated data centres after the order.
func (e EvacuationResult) InForce() evacuator.Set { return e.inForce }

// Changed reports whether the order has changed them.
func (e EvacuationResult) Changed() bool { return e.changed }

func (Evacuate) isCommand()        {}
func (EvacuationResult) isResult() {}

// Evacuations returns the evacuated data centres.
func (s *State) Evacuations() evacuator.Set { return s.evacuations }

func (s *State) evacuate(order evacuator.Order) EvacuationResult {
	before := s.evacuations
	s.evacuations = before.Apply(order)
	return EvacuationResult{s.evacuations, s.evacuations.Supersedes(before)}
}

// wireEvacuation is the CBOR form of Evacuate. Earlier builds have no field for it in
// wireCommand, and arrays of another length than that of the struct are not decoded. The
// records and snapshots of fleets that were never given an order therefore keep their form,
// and the others are told apart by their length.
type wireEvacuation struct {
	_        struct{} `cbor:",toarray"`
	AtMillis int64
	Order    evacuator.WireOrder
}

// wireEvacuatedState is the CBOR form of a state after the first order (see wireEvacuation).
type wireEvacuatedState struct {
	_           struct{} `cbor:",toarray"`
	State       wireState
	Evacuations evacuator.WireSet
}

func encodeEvacuation(e Evacuate, at time.Time) ([]byte, error) {
	return encoder.Marshal(wireEvacuation{AtMillis: at.UnixMilli(), Order: evacuator.OrderToWire(e.order)})
}

func decodeEvacuation(data []byte) (Command, time.Time, error) {
	var w wireEvacuation
	if err := encoder.Unmarshal(data, &w); err != nil {
		return nil, time.Time{}, err
	}
	order, err := evacuator.OrderFromWire(w.Order)
	return Evacuate{order}, time.UnixMilli(w.AtMillis).UTC(), err
}

// encodeState returns the CBOR encoding of the state, with the evacuated data centres if an
// order was ever given.
func encodeState(w wireState, evacuations evacuator.Set) ([]byte, error) {
	if evacuations.Revision() == 0 {
		return encoder.Marshal(w)
	}
	return encoder.Marshal(wireEvacuatedState{State: w, Evacuations: evacuator.SetToWire(evacuations)})
}

// decodeState is the inverse of encodeState.
func decodeState(data []byte) (wireState, evacuator.Set, error) {
	var w wireState
	err := encoder.Unmarshal(data, &w)
	if err == nil {
		return w, evacuator.Set{}, nil
	}
	var evacuated wireEvacuatedState
	if encoder.Unmarshal(data, &evacuated) != nil {
		return wireState{}, evacuator.Set{}, err
	}
	return evacuated.State, evacuator.SetFromWire(evacuated.Evacuations), nil
}
