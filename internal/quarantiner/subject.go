package quarantiner

import (
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Subject is what can make targets end and is barred for it. The interface is sealed: its
// only implementation is WholeRequest. Subjects are comparable.
type Subject interface {
	// String returns the name of the subject in logs and in messages.
	String() string
	isSubject()
}

// WholeRequest stands for all requests with the same fingerprint.
type WholeRequest struct{ fingerprint Fingerprint }

// NewWholeRequest returns the subject of the requests with the fingerprint.
func NewWholeRequest(f Fingerprint) WholeRequest { return WholeRequest{f} }

const requestPrefix = "request/"

func (w WholeRequest) String() string { return requestPrefix + w.fingerprint.String() }

func (WholeRequest) isSubject() {}

// parseSubject is the inverse of Subject.String.
func parseSubject(name string) (Subject, error) {
	if digits, ok := strings.CutPrefix(name, requestPrefix); ok {
		decoded, err := hex.DecodeString(digits)
		if err != nil || len(decoded) != fingerprintBytes {
			return nil, errors.Errorf("malformed fingerprint %q", digits)
		}
		return WholeRequest{Fingerprint(decoded)}, nil
	}
	return nil, errors.Errorf("unknown kind of subject %q", name)
}
