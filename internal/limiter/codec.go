package limiter

import (
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/protocol/encoder"
)

const (
	// keyPrefix is the key prefix of disseminator entries that are limits.
	keyPrefix = "limit/"
	// warmupPrefix is the key prefix of disseminator entries that are warm-ups which responses
	// state. Builds that know no warm-ups ignore them.
	warmupPrefix = "warmup/"
	// maxNameBytes bounds the name of a target.
	maxNameBytes = 128
)

// errMalformed means that a message cannot be decoded.
var errMalformed = errors.New("malformed limit of a target")

// wireLimit is a limit in a message. No rate means that the target has no limit.
type wireLimit struct {
	_               struct{} `cbor:",toarray"`
	Target          string
	Incarnation     uint64
	Sequence        uint64
	Rate            *float64
	RemainingMillis int64
}

type wireRequest struct {
	_      struct{} `cbor:",toarray"`
	Limit  wireLimit
	Wanted uint64
	Demand float32
	Rank   float32
}

type wireReply struct {
	_             struct{} `cbor:",toarray"`
	Granted       bool
	WaitMillis    int64
	MinRank       float32
	MinRankMillis int64
	Limit         *wireLimit
}

// wireWarmup is the value of the entry of a warm-up. The entry expires with it.
type wireWarmup struct {
	_        struct{} `cbor:",toarray"`
	Services []string
}

type wireRate struct {
	_    struct{} `cbor:",toarray"`
	Rate *float64
}

func rateToWire(r adviser.RateLimit) *float64 {
	limited, ok := r.(adviser.Limited)
	if !ok {
		return nil
	}
	rate := limited.Rate()
	return &rate
}

func rateFromWire(rate *float64) adviser.RateLimit {
	if rate == nil || math.IsNaN(*rate) {
		return adviser.Unlimited{}
	}
	return adviser.NewLimited(*rate)
}

func limitToWire(l Limit, now time.Time) wireLimit {
	return wireLimit{
		Target: l.target, Incarnation: l.incarnation, Sequence: l.sequence, Rate: rateToWire(l.rate),
		RemainingMillis: min(l.expiresAt.Sub(now), limitLifetime).Milliseconds(), // a warm-up can be longer
	}
}

func limitFromWire(w wireLimit, now time.Time) (Limit, error) {
	if w.Target == "" || len(w.Target) > maxNameBytes || w.RemainingMillis > limitLifetime.Milliseconds() {
		return Limit{}, errMalformed
	}
	return Limit{
		target: w.Target, incarnation: w.Incarnation, sequence: w.Sequence, rate: rateFromWire(w.Rate), changedAt: now,
		expiresAt: now.Add(time.Duration(max(0, w.RemainingMillis)) * time.Millisecond),
	}, nil
}

// EncodeRequest returns the CBOR encoding of a request for a permit.
func EncodeRequest(r PermitRequest, now time.Time) ([]byte, error) {
	return encoder.Marshal(wireRequest{Limit: limitToWire(r.limit, now), Wanted: r.wanted, Demand: float32(r.demand), Rank: float32(r.rank)})
}

// DecodeRequest is the inverse of EncodeRequest.
func DecodeRequest(data []byte, now time.Time) (PermitRequest, error) {
	var w wireRequest
	if err := encoder.Unmarshal(data, &w); err != nil {
		return PermitRequest{}, err
	}
	limit, err := limitFromWire(w.Limit, now)
	if err == nil && (!isBetween(w.Demand, 0, math.MaxFloat32) || !isBetween(w.Rank, 0, 1)) {
		err = errMalformed
	}
	return PermitRequest{limit: limit, wanted: w.Wanted, demand: float64(w.Demand), rank: float64(w.Rank)}, err
}

// isBetween reports whether n is a number from low to high.
func isBetween(n, low, high float32) bool { return n >= low && n <= high }

func millisUntil(t, now time.Time) int64 { return max(0, t.Sub(now).Milliseconds()) }

// afterMillis returns a time that a coordinator has set, at most maxWait from now.
func afterMillis(millis int64, now time.Time) time.Time {
	return now.Add(time.Duration(min(max(0, millis), maxWait.Milliseconds())) * time.Millisecond)
}

// EncodeReply returns the CBOR encoding of the answer to a request for a permit.
func EncodeReply(r PermitReply, now time.Time) ([]byte, error) {
	w := wireReply{Granted: r.granted}
	if !r.granted {
		w.WaitMillis, w.MinRank, w.MinRankMillis = millisUntil(r.notBefore, now), float32(r.minRank), millisUntil(r.minRankUntil, now)
	}
	if r.limit.rate != nil {
		limit := limitToWire(r.limit, now)
		w.Limit = &limit
	}
	return encoder.Marshal(w)
}

// DecodeReply is the inverse of EncodeReply.
func DecodeReply(data []byte, now time.Time) (PermitReply, error) {
	var w wireReply
	if err := encoder.Unmarshal(data, &w); err != nil {
		return PermitReply{}, err
	}
	reply := PermitReply{
		granted: w.Granted, notBefore: afterMillis(w.WaitMillis, now),
		minRank: float64(w.MinRank), minRankUntil: afterMillis(w.MinRankMillis, now),
	}
	if w.Limit == nil {
		return reply, nil
	}
	var err error
	reply.limit, err = limitFromWire(*w.Limit, now)
	return reply, err
}

// Entry returns the disseminator entry of a limit.
func (l Limit) Entry() (disseminator.Entry, error) {
	value, err := encoder.Marshal(wireRate{Rate: rateToWire(l.rate)})
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:     keyPrefix + l.target,
		Version: disseminator.NewVersion(l.incarnation, l.sequence),
		Value:   value, ExpiresAt: l.expiresAt,
	}), err
}

// IsLimit reports whether a disseminator entry is the limit of a target.
func IsLimit(e disseminator.Entry) bool { return strings.HasPrefix(e.Key(), keyPrefix) }

// LimitFrom returns the limit in a disseminator entry.
func LimitFrom(e disseminator.Entry) (Limit, error) {
	var w wireRate
	if err := encoder.Unmarshal(e.Value(), &w); err != nil {
		return Limit{}, err
	}
	name := strings.TrimPrefix(e.Key(), keyPrefix)
	if name == "" || len(name) > maxNameBytes {
		return Limit{}, errMalformed
	}
	return Limit{
		target: name, incarnation: e.Version().Incarnation(), sequence: e.Version().Sequence(),
		rate: rateFromWire(w.Rate), expiresAt: e.ExpiresAt(),
	}, nil
}

// Entry returns the disseminator entry of a warm-up.
func (w Warmup) Entry() (disseminator.Entry, error) {
	value, err := encoder.Marshal(wireWarmup{Services: w.config.Services})
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key:     warmupPrefix + w.config.Target,
		Version: disseminator.NewVersion(w.config.Incarnation, uint64(max(0, w.config.EndsAt.UnixMilli()))),
		Value:   value, ExpiresAt: w.config.EndsAt,
	}), err
}

// IsWarmup reports whether a disseminator entry is the warm-up of a target.
func IsWarmup(e disseminator.Entry) bool { return strings.HasPrefix(e.Key(), warmupPrefix) }

// WarmupFrom returns the warm-up in a disseminator entry.
func WarmupFrom(e disseminator.Entry) (Warmup, error) {
	var w wireWarmup
	if err := encoder.Unmarshal(e.Value(), &w); err != nil {
		return Warmup{}, err
	}
	name := strings.TrimPrefix(e.Key(), warmupPrefix)
	if name == "" || len(name) > maxNameBytes {
		return Warmup{}, errMalformed
	}
	return NewWarmup(WarmupConfig{Target: name, Incarnation: e.Version().Incarnation(), Services: w.Services, EndsAt: e.ExpiresAt()}), nil
}
