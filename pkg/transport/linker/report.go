package linker

import (
	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
)

// report is a message from the end of a tunnel that opened the connection to the destination.
type report struct {
	// data are bytes that the destination has sent.
	data []byte
	// written is how many bytes of the peer the connection to the destination has taken so far.
	written int64
	// ended means that the destination has ended its connection in an orderly way, and has
	// acknowledged the bytes written.
	ended bool
}

type wireReport struct {
	_       struct{} `cbor:",toarray"`
	Data    []byte
	Written uint64
	Ended   bool
}

func encodeReport(r report) ([]byte, error) {
	return encoder.Marshal(wireReport{Data: r.data, Written: uint64(r.written), Ended: r.ended})
}

func decodeReport(data []byte) (report, error) {
	var w wireReport
	if err := encoder.Unmarshal(data, &w); err != nil {
		return report{}, err
	}
	written := int64(w.Written)
	if written < 0 {
		return report{}, errors.Errorf("the number of bytes written, %d, is out of range", w.Written)
	}
	return report{w.Data, written, w.Ended}, nil
}
