package originstorer

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
)

// maxLifetime bounds the remaining lifetime of a received origin.
const maxLifetime = VersionRetention

// wireGroup carries the origins of one version.
type wireGroup struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Software string
	Streams  []uint64
	// RemainingMillis is the remaining lifetime of each stream, since the clocks of two VMs
	// may differ.
	RemainingMillis []int64
}

// EncodeOrigins returns the CBOR encoding of origins.
func EncodeOrigins(origins []Origin, now time.Time) ([]byte, error) {
	var groups []wireGroup
	indices := map[Version]int{}
	for _, o := range origins {
		index, ok := indices[o.version]
		if !ok {
			index = len(groups)
			indices[o.version] = index
			groups = append(groups, wireGroup{Service: o.version.service, Software: o.version.software})
		}
		groups[index].Streams = append(groups[index].Streams, uint64(o.stream))
		groups[index].RemainingMillis = append(groups[index].RemainingMillis, o.expiresAt.Sub(now).Milliseconds())
	}
	return encoder.Marshal(groups)
}

// DecodeOrigins is the inverse of EncodeOrigins. Origins expire relative to now, within
// VersionRetention.
func DecodeOrigins(data []byte, now time.Time) ([]Origin, error) {
	var groups []wireGroup
	if err := encoder.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	var origins []Origin
	for _, g := range groups {
		if len(g.Streams) != len(g.RemainingMillis) {
			return nil, errors.New("malformed origins: a lifetime is missing")
		}
		for i, stream := range g.Streams {
			remaining := time.Duration(max(0, min(g.RemainingMillis[i], maxLifetime.Milliseconds()))) * time.Millisecond
			origins = append(origins, Origin{Stream(stream), Version{g.Service, g.Software}, now.Add(remaining)})
		}
	}
	return origins, nil
}

type wireQuery struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Services []string
}

// EncodeQuery returns the CBOR encoding of a query.
func EncodeQuery(q Query) ([]byte, error) {
	return encoder.Marshal(wireQuery{Stream: uint64(q.stream), Services: q.services})
}

// DecodeQuery is the inverse of EncodeQuery.
func DecodeQuery(data []byte) (Query, error) {
	var w wireQuery
	err := encoder.Unmarshal(data, &w)
	return Query{Stream(w.Stream), w.Services}, err
}

type wireVersion struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Software string
}

type wireAnswer struct {
	_        struct{} `cbor:",toarray"`
	Origin   *wireVersion
	Versions []wireVersion
}

// EncodeAnswer returns the CBOR encoding of an answer.
func EncodeAnswer(a Answer) ([]byte, error) {
	w := wireAnswer{Versions: versionsToWire(a.versions)}
	if a.origin != nil {
		w.Origin = &wireVersion{Service: a.origin.service, Software: a.origin.software}
	}
	return encoder.Marshal(w)
}

// DecodeAnswer is the inverse of EncodeAnswer.
func DecodeAnswer(data []byte) (Answer, error) {
	var w wireAnswer
	if err := encoder.Unmarshal(data, &w); err != nil {
		return Answer{}, err
	}
	a := Answer{versions: versionsFromWire(w.Versions)}
	if w.Origin != nil {
		a.origin = &Version{w.Origin.Service, w.Origin.Software}
	}
	return a, nil
}

// EncodeVersions returns the CBOR encoding of versions.
func EncodeVersions(versions []Version) ([]byte, error) {
	return encoder.Marshal(versionsToWire(versions))
}

// DecodeVersions is the inverse of EncodeVersions.
func DecodeVersions(data []byte) ([]Version, error) {
	var w []wireVersion
	err := encoder.Unmarshal(data, &w)
	return versionsFromWire(w), err
}

func versionsToWire(versions []Version) []wireVersion {
	wire := make([]wireVersion, 0, len(versions))
	for _, v := range versions {
		wire = append(wire, wireVersion{Service: v.service, Software: v.software})
	}
	return wire
}

func versionsFromWire(wire []wireVersion) []Version {
	versions := make([]Version, 0, len(wire))
	for _, w := range wire {
		versions = append(versions, Version{w.Service, w.Software})
	}
	return versions
}

func appendStream(data []byte, s Stream) []byte {
	return binary.BigEndian.AppendUint64(data, uint64(s))
}
