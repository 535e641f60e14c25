package disseminator

import (
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
)

// wireUpdate carries the remaining time of a lease instead of its deadline,
// since the clocks of two VMs may differ.
type wireUpdate struct {
	_               struct{} `cbor:",toarray"`
	Key             string
	Incarnation     uint64
	Sequence        uint64
	RemainingMillis int64
	Load            []byte
	Value           *[]byte
}

// maxLease is the longest remaining lease that DecodeUpdates accepts.
const maxLease = 24 * time.Hour

// EncodeUpdates returns the CBOR encoding of the updates.
func EncodeUpdates(updates []Update, now time.Time) ([]byte, error) {
	wire := make([]wireUpdate, 0, len(updates))
	for _, u := range updates {
		w := wireUpdate{
			Key:             u.entry.key,
			Incarnation:     u.entry.version.incarnation,
			Sequence:        u.entry.version.sequence,
			RemainingMillis: u.entry.expiresAt.Sub(now).Milliseconds(),
			Load:            u.entry.load,
		}
		if u.hasValue {
			value := u.entry.value
			if value == nil {
				value = []byte{} // not nil, since an absent value means that it has not changed
			}
			w.Value = &value
		}
		wire = append(wire, w)
	}
	return encoder.Marshal(wire)
}

// DecodeUpdates is the inverse of EncodeUpdates. Leases expire relative to
// now.
func DecodeUpdates(data []byte, now time.Time) ([]Update, error) {
	var wire []wireUpdate
	if err := encoder.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	updates := make([]Update, 0, len(wire))
	for _, w := range wire {
		remaining := time.Duration(w.RemainingMillis) * time.Millisecond
		if w.Key == "" || w.RemainingMillis > maxLease.Milliseconds() {
			return nil, errors.New("malformed update: the key is empty or the remaining lease exceeds 24 h")
		}
		e := Entry{
			key:       w.Key,
			version:   Version{w.Incarnation, w.Sequence},
			load:      w.Load,
			expiresAt: now.Add(max(0, remaining)),
		}
		e.valueSequence = e.version.sequence // Merge keeps the earlier sequence if the value has not changed
		if w.Value != nil {
			e.value = *w.Value
		}
		updates = append(updates, Update{e, w.Value != nil})
	}
	return updates, nil
}
