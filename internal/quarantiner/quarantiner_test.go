package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/quarantiner"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func fingerprint(body string) quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(quarantiner.FingerprintConfig{Method: "GET", Host: "shop.example", URI: "/look/x", Body: []byte(body)})
}

func request(body string, segments ...uint64) quarantiner.Request {
	return quarantiner.NewRequest(fingerprint(body), segments)
}

// event is one step of a replay: a target ends under a request, or a request is answered.
type event struct {
	sentAt  time.Duration
	endedAt time.Duration
	request string
	target  string // empty if the request is answered
}

// replay records the events in a new Quarantiner, which decides every 100 ms until the given
// time.
func replay(events []event, until time.Duration) *quarantiner.Quarantiner {
	q := quarantiner.New(quarantiner.Config{VM: "control-1"})
	for now := time.Duration(0); now <= until; now += 100 * time.Millisecond {
		for _, e := range events {
			if e.endedAt > now || e.endedAt <= now-100*time.Millisecond {
				continue
			}
			if e.target == "" {
				q.RecordAnswered(request(e.request), at(e.sentAt), at(e.endedAt))
				continue
			}
			q.RecordCrash(quarantiner.NewCrash(quarantiner.CrashConfig{
				Target: e.target, Request: request(e.request), StartedAt: at(e.sentAt), EndedAt: at(e.endedAt),
			}), at(now))
		}
		q.Decide(at(now))
	}
	return q
}

const ms = time.Millisecond

// repeated is a request that comes again as soon as a target is back, beside sound requests
// that are at the same targets (incident inc1).
func repeated() []event {
	return []event{
		{50 * ms, 150 * ms, "deadly", "a@1"},
		{100 * ms, 150 * ms, "sound-1", "a@1"},
		{160 * ms, 200 * ms, "deadly", "b@1"},
		{170 * ms, 200 * ms, "sound-1", "b@1"},
		{210 * ms, 260 * ms, "deadly", "c@1"},
		{240 * ms, 260 * ms, "sound-2", "c@1"},
	}
}

func TestDecide(t *testing.T) {
	masses := []event{}
	for i := range 20 {
		masses = append(masses, event{0, 100 * ms, "popular", fmt.Sprintf("rack-%d@1", i)})
	}
	cases := []struct {
		name    string
		events  []event
		until   time.Duration
		request string
		barred  bool
	}{
		{"targets end under a request that comes again", repeated(), 2 * time.Second, "deadly", true},
		{"sound requests beside it go on", repeated(), 2 * time.Second, "sound-1", false},
		{"two ends are not enough", repeated()[:4], 10 * time.Second, "deadly", false},
		{"one target's end counts once", []event{
			{0, 100 * ms, "r", "a@1"}, {0, 500 * ms, "r", "a@1"}, {0, 900 * ms, "r", "a@1"},
		}, 3 * time.Second, "r", false},
		{"the run of a target that has started again counts", []event{
			{0, 100 * ms, "r", "a@1"}, {3000 * ms, 3100 * ms, "r", "a@2"}, {6000 * ms, 6100 * ms, "r", "a@3"},
		}, 8 * time.Second, "r", true},
		{"a rack is lost", masses, 5 * time.Second, "popular", false},
		{"a request that is answered meanwhile", []event{
			{0, 100 * ms, "r", "a@1"},
			{150 * ms, 400 * ms, "r", "b@1"},
			{450 * ms, 700 * ms, "r", ""},
			{500 * ms, 800 * ms, "r", "c@1"},
		}, 3 * time.Second, "r", false},
		{"an answer to a request sent before the first end proves nothing", []event{
			{0, 100 * ms, "r", "a@1"},
			{150 * ms, 400 * ms, "r", "b@1"},
			{50 * ms, 700 * ms, "r", ""},
			{500 * ms, 800 * ms, "r", "c@1"},
		}, 3 * time.Second, "r", true},
		{"three more ends after an answer", []event{
			{0, 100 * ms, "r", "a@1"},
			{150 * ms, 400 * ms, "r", "b@1"},
			{450 * ms, 700 * ms, "r", ""},
			{1000 * ms, 1100 * ms, "r", "c@1"},
			{1200 * ms, 1300 * ms, "r", "d@1"},
			{1400 * ms, 1500 * ms, "r", "e@1"},
		}, 3 * time.Second, "r", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := replay(c.events, c.until)
			if _, barred := q.Find(request(c.request), at(c.until)); barred != c.barred {
				t.Errorf("barred: %t, want %t", barred, c.barred)
			}
		})
	}
}

// Guards against a bar that no answered request can lift, and that others keep.
func TestAnsweredRequestLiftsBar(t *testing.T) {
	q := replay(repeated(), 2*time.Second)
	other := quarantiner.New(quarantiner.Config{VM: "router-1"})
	share := func(v quarantiner.Verdict) bool {
		e, err := v.Entry()
		if err != nil {
			t.Fatal(err)
		}
		received, err := quarantiner.VerdictFrom(e)
		if err != nil {
			t.Fatal(err)
		}
		return other.Apply(received)
	}
	old := q.Barred(at(2 * time.Second))[0]
	if !share(old) || !other.Watching() {
		t.Fatal("the verdict is not new to the other process")
	}
	lifted := other.RecordAnswered(request("deadly"), at(300*ms), at(2500*ms))
	if len(lifted) != 1 || lifted[0].State() != quarantiner.Lifted {
		t.Fatalf("lifted %v", lifted)
	}
	if share(old) {
		t.Error("an old verdict comes back")
	}
	if _, barred := other.Find(request("deadly"), at(2500*ms)); barred {
		t.Error("still barred")
	}
	if !q.Apply(lifted[0]) {
		t.Error("the process that has decided does not take over the new verdict")
	}
	if decided := q.Decide(at(3 * time.Second)); len(decided) != 0 {
		t.Errorf("judged again by evidence from before the answer: %v", decided)
	}
}

// Guards against a restart of all processes that forgets the verdicts, and against one that
// keeps them for ever.
func TestFile(t *testing.T) {
	q := replay(repeated(), 2*time.Second)
	data, err := quarantiner.EncodeFile(q.Barred(at(2*time.Second)), at(2*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		now    time.Time
		barred int
	}{
		{"at once", at(3 * time.Second), 1},
		{"with a clock that was set back", at(-time.Hour), 1},
		{"after a day", at(24 * time.Hour), 0},
	}
	for _, c := range cases {
		restored, err := quarantiner.DecodeFile(data, c.now)
		if err != nil || len(restored) != c.barred {
			t.Errorf("%s: %d verdicts, %v; want %d", c.name, len(restored), err, c.barred)
		}
	}
}

// Guards against evidence that grows with the number of requests and targets.
func TestEvidenceIsBounded(t *testing.T) {
	q := quarantiner.New(quarantiner.Config{VM: "control-1"})
	for i := range 5000 {
		now := at(time.Duration(i) * ms)
		q.RecordCrash(quarantiner.NewCrash(quarantiner.CrashConfig{
			Target: fmt.Sprintf("t-%d@1", i), Request: request(fmt.Sprint(i)), StartedAt: now.Add(-ms), EndedAt: now,
		}), now)
	}
	if n := len(q.Crashes(5000)); n > 512 {
		t.Errorf("%d crashes are kept", n)
	}
}

// Guards against a decision that keeps control from its other work while very many targets
// end.
func BenchmarkDecide(b *testing.B) {
	q := quarantiner.New(quarantiner.Config{VM: "control-1"})
	for i := range 512 {
		ended := at(time.Duration(i) * 10 * ms)
		q.RecordCrash(quarantiner.NewCrash(quarantiner.CrashConfig{
			Target: fmt.Sprintf("t-%d@1", i/4), Request: request(fmt.Sprint(i), sharedSegment, uint64(100+i%150)),
			StartedAt: ended.Add(-5 * ms), EndedAt: ended,
		}), ended)
	}
	now := at(time.Minute)
	for b.Loop() {
		now = now.Add(ms)
		q.RecordCrash(quarantiner.NewCrash(quarantiner.CrashConfig{
			Target: now.String(), Request: request(now.String(), sharedSegment), StartedAt: now.Add(-ms), EndedAt: now,
		}), now)
		q.Decide(now)
	}
}

// Guards against messages of another version or of a broken process.
func TestDecodeCrashes(t *testing.T) {
	c := quarantiner.NewCrash(quarantiner.CrashConfig{Target: "a@1", Request: request("x"), StartedAt: at(0), EndedAt: at(100 * ms)})
	valid, err := quarantiner.EncodeCrashes([]quarantiner.Crash{c}, at(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	backwards := quarantiner.NewCrash(quarantiner.CrashConfig{Target: "a@1", Request: request("x"), StartedAt: at(200 * ms), EndedAt: at(0)})
	invalid, err := quarantiner.EncodeCrashes([]quarantiner.Crash{backwards}, at(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		data []byte
		ok   bool
	}{
		{"valid", valid, true}, {"started after its end", invalid, false}, {"cut short", valid[:len(valid)-3], false}, {"no data", nil, false},
	}
	for _, c := range cases {
		if _, err := quarantiner.DecodeCrashes(c.data, at(time.Second)); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against messages that a fleet of 390 routers cannot bear: the evidence and the
// verdicts of one end of a target are within one second's 4 KB of a node.
func TestMessageSizes(t *testing.T) {
	const nodeBytes = 4 << 10
	// controlVMs each send a verdict to every router.
	const controlVMs = 5
	c := quarantiner.NewCrash(quarantiner.CrashConfig{
		Target: "i-b4158f5828@mvbcrraw", Request: request("x", 1<<63, 1<<62, 1<<61), StartedAt: at(0), EndedAt: at(time.Second),
	})
	data, err := quarantiner.EncodeCrashes([]quarantiner.Crash{c}, at(2*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	q := replayPrompts(taintedPrompts(3), 3*time.Second)
	e, err := q.Barred(at(3 * time.Second))[0].Entry()
	if err != nil {
		t.Fatal(err)
	}
	verdict := len(e.Key()) + len(e.Value())
	t.Logf("a crash has %d bytes, a verdict %d", len(data), verdict)
	if total := controlVMs * (len(data) + verdict); total > nodeBytes {
		t.Errorf("%d bytes for a crash and a verdict", total)
	}
}

// Guards against verdicts of other processes that fill the memory of a router.
func TestVerdictsAreBounded(t *testing.T) {
	const maxKept = 256
	q := quarantiner.New(quarantiner.Config{VM: "router-1"})
	e, err := replay(repeated(), 2*time.Second).Barred(at(2 * time.Second))[0].Entry()
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 * maxKept {
		v, err := quarantiner.VerdictFrom(disseminator.NewEntry(disseminator.EntryConfig{
			Key: fmt.Sprintf("quarantine/segments/%016x", i), Version: e.Version(), Value: e.Value(), ExpiresAt: e.ExpiresAt(),
		}))
		if err != nil {
			t.Fatal(err)
		}
		q.Apply(v)
	}
	if kept := len(q.Barred(at(2 * time.Second))); kept > maxKept {
		t.Errorf("%d verdicts are kept", kept)
	}
}
