package quarantiner

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/protocol/encoder"
)

// Limits on what a message may contain.
const (
	maxMessageCrashes = 128
	maxNameBytes      = 256
)

// Times are sent as ages, since the clocks of two VMs may differ.
type wireCrash struct {
	_                struct{} `cbor:",toarray"`
	Target           string
	Fingerprint      Fingerprint
	Segments         []uint64
	StartedAgeMillis int64
	EndedAgeMillis   int64
}

// EncodeCrashes returns the CBOR encoding of the newest of the crashes.
func EncodeCrashes(crashes []Crash, now time.Time) ([]byte, error) {
	crashes = crashes[max(0, len(crashes)-maxMessageCrashes):]
	wire := make([]wireCrash, 0, len(crashes))
	for _, c := range crashes {
		wire = append(wire, wireCrash{
			Target: c.config.Target, Fingerprint: c.config.Request.fingerprint, Segments: c.config.Request.segments,
			StartedAgeMillis: now.Sub(c.config.StartedAt).Milliseconds(), EndedAgeMillis: now.Sub(c.config.EndedAt).Milliseconds(),
		})
	}
	return encoder.Marshal(wire)
}

// DecodeCrashes is the inverse of EncodeCrashes.
func DecodeCrashes(data []byte, now time.Time) ([]Crash, error) {
	var wire []wireCrash
	if err := encoder.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	if len(wire) > maxMessageCrashes {
		return nil, errors.Errorf("a message with %d crashes, at most %d are allowed", len(wire), maxMessageCrashes)
	}
	crashes := make([]Crash, 0, len(wire))
	for _, w := range wire {
		if w.Target == "" || len(w.Target) > maxNameBytes || len(w.Segments) > MaxSegments || w.EndedAgeMillis < 0 || w.StartedAgeMillis < w.EndedAgeMillis {
			return nil, errors.Errorf("malformed crash of target %q", w.Target)
		}
		crashes = append(crashes, NewCrash(CrashConfig{
			Target: w.Target, Request: NewRequest(w.Fingerprint, w.Segments),
			StartedAt: now.Add(-milliseconds(w.StartedAgeMillis)), EndedAt: now.Add(-milliseconds(w.EndedAgeMillis)),
		}))
	}
	return crashes, nil
}

// keyPrefix is the key prefix of disseminator entries that are verdicts.
const keyPrefix = "quarantine/"

// wireVerdict holds ages as of the time when the verdict was reached: that of its expiry
// less its lifetime.
type wireVerdict struct {
	_                 struct{} `cbor:",toarray"`
	Targets           []string
	FirstEndAgeMillis int64
	LastEndAgeMillis  int64
	SoundAgeMillis    int64 // zero if no request was answered
	DecidingVM        string
}

// Entry returns the disseminator entry of a verdict.
func (v Verdict) Entry() (disseminator.Entry, error) {
	decidedAt := v.decidedAt()
	w := wireVerdict{
		Targets:           v.targets,
		FirstEndAgeMillis: decidedAt.Sub(v.firstEndAt).Milliseconds(), LastEndAgeMillis: decidedAt.Sub(v.lastEndAt).Milliseconds(),
		DecidingVM: v.decidingVM,
	}
	if !v.soundSince.IsZero() {
		w.SoundAgeMillis = max(1, decidedAt.Sub(v.soundSince).Milliseconds())
	}
	value, err := encoder.Marshal(w)
	return disseminator.NewEntry(disseminator.EntryConfig{
		Key: keyPrefix + v.subject.String(), Version: disseminator.NewVersion(v.epoch, uint64(v.state)),
		Value: value, ExpiresAt: v.expiresAt,
	}), err
}

// IsVerdict reports whether the entry is a verdict.
func IsVerdict(e disseminator.Entry) bool { return strings.HasPrefix(e.Key(), keyPrefix) }

// VerdictFrom is the inverse of Verdict.Entry.
func VerdictFrom(e disseminator.Entry) (Verdict, error) {
	subject, err := parseSubject(strings.TrimPrefix(e.Key(), keyPrefix))
	if err != nil {
		return Verdict{}, err
	}
	state := State(e.Version().Sequence())
	if state < Suspected || state > Lifted {
		return Verdict{}, errors.Errorf("unknown state %d of %s", state, subject)
	}
	var w wireVerdict
	if err := encoder.Unmarshal(e.Value(), &w); err != nil {
		return Verdict{}, errors.Wrapf(err, "verdict on %s", subject)
	}
	decidedAt := e.ExpiresAt().Add(-state.lifetime())
	v := Verdict{
		subject: subject, state: state, epoch: e.Version().Incarnation(), targets: w.Targets,
		firstEndAt: decidedAt.Add(-milliseconds(w.FirstEndAgeMillis)), lastEndAt: decidedAt.Add(-milliseconds(w.LastEndAgeMillis)),
		expiresAt: e.ExpiresAt(), decidingVM: w.DecidingVM,
	}
	if w.SoundAgeMillis > 0 {
		v.soundSince = decidedAt.Add(-milliseconds(w.SoundAgeMillis))
	}
	return v, nil
}

// wireStored is a verdict on disk. Its expiry is stored as the remaining time and is
// therefore only as precise as the clock of the VM.
type wireStored struct {
	_               struct{} `cbor:",toarray"`
	Subject         string
	Epoch           uint64
	Value           []byte
	RemainingMillis int64
}

type wireFile struct {
	_             struct{} `cbor:",toarray"`
	WrittenMillis int64    // Unix time in milliseconds
	Barred        []wireStored
}

// EncodeFile returns the contents of a file with verdicts that bar subjects.
func EncodeFile(barred []Verdict, now time.Time) ([]byte, error) {
	file := wireFile{WrittenMillis: now.UnixMilli()}
	for _, v := range barred {
		e, err := v.Entry()
		if err != nil {
			return nil, err
		}
		file.Barred = append(file.Barred, wireStored{
			Subject: v.subject.String(), Epoch: v.epoch, Value: e.Value(), RemainingMillis: v.expiresAt.Sub(now).Milliseconds(),
		})
	}
	return encoder.Marshal(file)
}

// DecodeFile is the inverse of EncodeFile. It leaves out verdicts that have expired.
func DecodeFile(data []byte, now time.Time) ([]Verdict, error) {
	var file wireFile
	if err := encoder.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	elapsed := max(0, now.UnixMilli()-file.WrittenMillis) // the clock may have been set back
	var barred []Verdict
	for _, w := range file.Barred {
		remaining := milliseconds(w.RemainingMillis - elapsed)
		if remaining <= 0 || remaining > barLifetime {
			continue
		}
		v, err := VerdictFrom(disseminator.NewEntry(disseminator.EntryConfig{
			Key: keyPrefix + w.Subject, Version: disseminator.NewVersion(w.Epoch, uint64(Barred)),
			Value: w.Value, ExpiresAt: now.Add(remaining),
		}))
		if err != nil {
			return nil, err
		}
		barred = append(barred, v)
	}
	return barred, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
