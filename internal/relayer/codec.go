package relayer

import (
	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
)

// outcome says what became of the request for a relayed connection.
type outcome uint8

// The outcomes. The values are sent on the wire.
const (
	accepted outcome = iota + 1
	// busy means that the relay has no room, is about to stop or has lost its path too.
	busy
	// unknownTarget means that the relay knows no target at the address.
	unknownTarget
	// targetRefused and targetUnreachable mean that the relay could not open the connection.
	targetRefused
	targetUnreachable
)

// reply is the answer of a relay.
type reply struct {
	outcome outcome
	load    float64 // of the relay; 1 is full
}

// err returns the error of a reply that is not accepted.
func (r reply) err(relay string) error {
	switch r.outcome {
	case targetRefused:
		return &unreachableError{relay, true}
	case targetUnreachable:
		return &unreachableError{relay, false}
	default:
		return errors.Errorf("router %s does not relay: outcome %d, load %.2f", relay, r.outcome, r.load)
	}
}

type wireRequest struct {
	_       struct{} `cbor:",toarray"`
	Address string
}

func encodeRequest(address string) ([]byte, error) {
	return encoder.Marshal(wireRequest{Address: address})
}

func decodeRequest(data []byte) (string, error) {
	var w wireRequest
	err := encoder.Unmarshal(data, &w)
	return w.Address, err
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Outcome uint8
	// LoadPercent is the load in percent.
	LoadPercent uint16
}

// maxLoadPercent bounds the load in a reply.
const maxLoadPercent = 1000

func encodeReply(r reply) ([]byte, error) {
	return encoder.Marshal(wireReply{Outcome: uint8(r.outcome), LoadPercent: uint16(min(maxLoadPercent, 100*r.load))})
}

func decodeReply(data []byte) (reply, error) {
	var w wireReply
	err := encoder.Unmarshal(data, &w)
	return reply{outcome(w.Outcome), float64(w.LoadPercent) / 100}, err
}
