package verdictsharer_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/internal/verdictsharer"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// process is a process of the fleet. Its entries reach the others at once.
type process struct {
	quarantiner *quarantiner.Quarantiner
	sharer      *verdictsharer.Sharer
	others      []*process
	now         time.Time
}

func newProcess(vm string) *process {
	p := &process{quarantiner: quarantiner.New(quarantiner.Config{VM: vm})}
	p.sharer = verdictsharer.New(verdictsharer.Config{Quarantiner: p.quarantiner, Publish: p.publish, Log: zap.NewNop()})
	return p
}

func (p *process) publish(e disseminator.Entry) error {
	for _, other := range p.others {
		other.sharer.Apply([]disseminator.Entry{e}, p.now)
	}
	return nil
}

// Guards against routers that do not hear what control decides, and against control that
// does not hear that a router has got an answer.
func TestVerdictsReachOthers(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	control, router := newProcess("control-1"), newProcess("router-1")
	control.others, router.others = []*process{router}, []*process{control}
	request := quarantiner.NewRequest(quarantiner.NewFingerprint(quarantiner.FingerprintConfig{URI: "/look/x"}), nil)
	for i := range 3 {
		ended := start.Add(time.Duration(i) * time.Second)
		control.now = ended
		data, err := quarantiner.EncodeCrashes([]quarantiner.Crash{quarantiner.NewCrash(quarantiner.CrashConfig{
			Target: fmt.Sprintf("target-%d@1", i), Request: request, StartedAt: ended.Add(-time.Millisecond), EndedAt: ended,
		})}, ended)
		if err != nil {
			t.Fatal(err)
		}
		if err := control.sharer.ReceiveCrashes(data, ended); err != nil {
			t.Fatal(err)
		}
		control.sharer.Decide(ended)
	}
	now := start.Add(5 * time.Second)
	control.now, router.now = now, now
	control.sharer.Decide(now)
	v, barred := router.quarantiner.Find(request, now)
	if !barred || v.DecidingVM() != "control-1" || len(v.Targets()) != 3 {
		t.Fatalf("barred at the router: %t, by %q for %v", barred, v.DecidingVM(), v.Targets())
	}
	router.sharer.RecordAnswered(request, start.Add(time.Second), now)
	if _, barred := control.quarantiner.Find(request, now); barred {
		t.Error("still barred at control after a router got an answer")
	}
}

// Guards against an entry of another version, or of a broken process, that stops the others
// or bars anything.
func TestMalformedVerdicts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name, key string
		sequence  uint64
		value     []byte
	}{
		{"unknown kind of subject", "quarantine/vm/x", 2, nil},
		{"fingerprint cut short", "quarantine/request/abcd", 2, nil},
		{"no segments", "quarantine/segments/", 2, nil},
		{"unknown state", "quarantine/segments/00000000000000aa", 9, nil},
		{"value that cannot be read", "quarantine/segments/00000000000000aa", 2, []byte{0xff}},
		{"an announcement", "target/engine-1", 2, nil},
	}
	for _, c := range cases {
		p := newProcess("router-1")
		p.sharer.Apply([]disseminator.Entry{disseminator.NewEntry(disseminator.EntryConfig{
			Key: c.key, Version: disseminator.NewVersion(1, c.sequence), Value: c.value, ExpiresAt: now.Add(time.Minute),
		})}, now)
		if barred := p.quarantiner.Barred(now); len(barred) != 0 {
			t.Errorf("%s: barred %v", c.name, barred[0].Subject())
		}
	}
}
