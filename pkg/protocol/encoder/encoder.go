// Package encoder encodes values as deterministic CBOR. Decoding limits how much
// memory a peer can make this process allocate.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	maxArrayElements = 1 << 22
	maxNestedLevels  = 16
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Marshal returns the deterministic CBOR encoding of a value.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, errors.Wrap(err, "encode CBOR")
}

// Unmarshal decodes CBOR into a value. Malformed data, trailing bytes and duplicate
// map keys are errors.
func Unmarshal(data []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(data, v), "decode CBOR")
}

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}
