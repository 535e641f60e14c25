package messenger

import (
	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/state/evacuator"
)

// EncodeEvacuationOrder returns the CBOR encoding of an order.
func EncodeEvacuationOrder(o evacuator.Order) ([]byte, error) {
	return encoder.Marshal(evacuator.OrderToWire(o))
}

// DecodeEvacuationOrder is the inverse of EncodeEvacuationOrder.
func DecodeEvacuationOrder(data []byte) (evacuator.Order, error) {
	var w evacuator.WireOrder
	if err := encoder.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return evacuator.OrderFromWire(w)
}

// EncodeEvacuations returns the CBOR encoding of the set of evacuated data centres.
func EncodeEvacuations(s evacuator.Set) ([]byte, error) {
	return encoder.Marshal(evacuator.SetToWire(s))
}

// DecodeEvacuations is the inverse of EncodeEvacuations.
func DecodeEvacuations(data []byte) (evacuator.Set, error) {
	var w evacuator.WireSet
	if err := encoder.Unmarshal(data, &w); err != nil {
		return evacuator.Set{}, err
	}
	return evacuator.SetFromWire(w), nil
}
