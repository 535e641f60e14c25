package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is long enough that no caller can make up a request with the
// fingerprint of another.
const fingerprintBytes = 16

// Fingerprint is a hash of what a caller sends: equal requests have equal fingerprints,
// whatever router they reach.
type Fingerprint [fingerprintBytes]byte

// FingerprintConfig holds the parts of a request that its fingerprint covers.
type FingerprintConfig struct {
	// Organisation is the name of the caller's organisation, or empty.
	Organisation string
	// Method, Host and URI are as in the request line. Required.
	Method, Host, URI string
	// Body is the complete body.
	Body []byte
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(c FingerprintConfig) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{c.Organisation, c.Method, c.Host, c.URI} {
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part)))) // never fails, as documented by hash.Hash
		_, _ = hash.Write([]byte(part))                                             // as above
	}
	_, _ = hash.Write(c.Body) // as above
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
