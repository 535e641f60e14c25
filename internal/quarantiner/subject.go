package quarantiner

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Request is what is known about a request of a caller.
type Request struct {
	fingerprint Fingerprint
	segments    []uint64
}

// NewRequest returns a request with the fingerprint and the segments of its prompt that
// other requests may share. Segments beyond MaxSegments are ignored.
func NewRequest(f Fingerprint, segments []uint64) Request {
	return Request{f, segments[:min(len(segments), MaxSegments)]}
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint { return r.fingerprint }

// Subject is what requests have in common that can make targets end and is barred for it.
// The interface is sealed: its only implementations are WholeRequest and SegmentSet.
// Subjects are comparable.
type Subject interface {
	// String returns the name of the subject in logs and in messages.
	String() string
	// covers reports whether the request is one of those that the subject stands for.
	covers(r Request) bool
}

// WholeRequest stands for all requests with the same fingerprint.
type WholeRequest struct{ fingerprint Fingerprint }

// SegmentSet stands for all requests whose prompts have all of the segments.
type SegmentSet struct{ packed string }

// newSegmentSet returns the subject of the requests that have all of the segments.
func newSegmentSet(ids []uint64) SegmentSet {
	var packed []byte
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		packed = binary.BigEndian.AppendUint64(packed, id)
	}
	return SegmentSet{string(packed)}
}

// segmentBytes is the length of one identifier in a SegmentSet.
const segmentBytes = 8

// ids returns the identifiers of the segments in increasing order.
func (s SegmentSet) ids() []uint64 {
	var ids []uint64
	for i := 0; i < len(s.packed); i += segmentBytes {
		ids = append(ids, decodeSegment(s.packed[i:]))
	}
	return ids
}

// size returns the number of segments.
func (s SegmentSet) size() int { return len(s.packed) / segmentBytes }

// isPartOf reports whether the other set has all segments of this one.
func (s SegmentSet) isPartOf(other SegmentSet) bool { return s.covers(Request{segments: other.ids()}) }

// The first parts of the names of subjects.
const (
	requestPrefix  = "request/"
	segmentsPrefix = "segments/"
)

func (w WholeRequest) String() string { return requestPrefix + w.fingerprint.String() }

func (s SegmentSet) String() string {
	var names []string
	for id := range slices.Chunk([]byte(s.packed), segmentBytes) {
		names = append(names, hex.EncodeToString(id))
	}
	return segmentsPrefix + strings.Join(names, "+")
}

func (w WholeRequest) covers(r Request) bool { return w.fingerprint == r.fingerprint }

func (s SegmentSet) covers(r Request) bool {
	for i := 0; i < len(s.packed); i += segmentBytes {
		if !slices.Contains(r.segments, decodeSegment(s.packed[i:])) {
			return false
		}
	}
	return true
}

// decodeSegment decodes the identifier of a segment without the allocation that a slice of
// bytes needs: each request is compared with each subject.
func decodeSegment(packed string) uint64 {
	id := uint64(0)
	for i := range segmentBytes {
		id = id<<8 | uint64(packed[i])
	}
	return id
}

// parseSubject is the inverse of Subject.String.
func parseSubject(name string) (Subject, error) {
	if digits, ok := strings.CutPrefix(name, requestPrefix); ok {
		decoded, err := hex.DecodeString(digits)
		if err != nil || len(decoded) != fingerprintBytes {
			return nil, errors.Errorf("malformed fingerprint %q", digits)
		}
		return WholeRequest{Fingerprint(decoded)}, nil
	}
	names, ok := strings.CutPrefix(name, segmentsPrefix)
	if !ok {
		return nil, errors.Errorf("unknown kind of subject %q", name)
	}
	var ids []uint64
	for digits := range strings.SplitSeq(names, "+") {
		decoded, err := hex.DecodeString(digits)
		if err != nil || len(decoded) != segmentBytes || len(ids) == MaxSegments {
			return nil, errors.Errorf("malformed segments %q", names)
		}
		ids = append(ids, binary.BigEndian.Uint64(decoded))
	}
	return newSegmentSet(ids), nil
}
