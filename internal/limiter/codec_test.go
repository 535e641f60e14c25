package limiter_test

import (
	"testing"
	"time"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
	"radishshed.example/radishshed/pkg/protocol/encoder"
)

var start = time.Unix(1_000_000, 0)

const targetName = "i-b4158f5828"

// limited returns a limiter that knows the limit of a target, and that limit.
func limited(t *testing.T, vm string, rate float64) (*limiter.Limiter, limiter.Limit) {
	t.Helper()
	l := limiter.New(limiter.Config{VM: vm, Random: func() float64 { return 0.5 }})
	limit, changed, err := l.Observe(limiter.Observation{Target: targetName, Incarnation: 1 << 40, RateLimit: adviser.NewLimited(rate)}, start)
	if err != nil || !changed {
		t.Fatalf("changed %t, %v", changed, err)
	}
	return l, limit
}

func ask(t *testing.T, l *limiter.Limiter, now time.Time) limiter.PermitRequest {
	t.Helper()
	d := l.Decide(limiter.Attempt{Target: targetName, Incarnation: 1 << 40, Rank: 1}, now)
	a, ok := d.(limiter.Ask)
	if !ok {
		t.Fatalf("got %T, want Ask", d)
	}
	return a.Request()
}

// Guards against permits that cost more than the 4 KB a second that control may cost a node:
// at 390 routers, 24 of which coordinate, with 100 targets of 4 requests a second each.
func TestMessageSizes(t *testing.T) {
	const (
		nodeBytes    = 4 << 10
		coordinators = 24
		targets      = 100
		rate         = 4
		// permitRequests a second for each target: three for each permit, and one in ten seconds of
		// each router that seldom gets one, of which a router asks only with a request at hand.
		permitRequests = 3 * rate
		controls       = 5 // that each send an entry to every router
	)
	l, limit := limited(t, "router-1", rate)
	request := ask(t, l, start)
	data, err := limiter.EncodeRequest(request, start)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := limiter.EncodeReply(l.Grant(request, 0, start), start)
	if err != nil {
		t.Fatal(err)
	}
	e, err := limit.Entry()
	if err != nil {
		t.Fatal(err)
	}
	entry := len(e.Key()) + len(e.Value())
	t.Logf("a request has %d bytes, a reply %d, a limit %d", len(data), len(reply), entry)
	perSecond := targets * permitRequests * (len(data) + len(reply)) / coordinators
	t.Logf("a coordinator sends and receives %d bytes a second, a change of a limit costs each node %d", perSecond, controls*entry)
	if perSecond+controls*entry > nodeBytes {
		t.Errorf("%d bytes a second and %d for a change of a limit", perSecond, controls*entry)
	}
}

// Guards against messages that lose a field on their way.
func TestMessagesSurviveTheWire(t *testing.T) {
	asking, _ := limited(t, "router-1", 4)
	request := ask(t, asking, start)
	data, err := limiter.EncodeRequest(request, start)
	if err != nil {
		t.Fatal(err)
	}
	received, err := limiter.DecodeRequest(data, start)
	if err != nil {
		t.Fatal(err)
	}
	coordinator := limiter.New(limiter.Config{VM: "router-2"})
	denied := coordinator.Grant(received, 0, start)
	if denied.Granted() {
		t.Error("a new coordinator grants a permit at once")
	}
	data, err = limiter.EncodeReply(denied, start)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := limiter.DecodeReply(data, start)
	if err != nil {
		t.Fatal(err)
	}
	if err := asking.Resolve(request, reply, start); err != nil {
		t.Fatal(err)
	}
	wait, ok := asking.Decide(limiter.Attempt{Target: targetName, Incarnation: 1 << 40, Rank: 1}, start).(limiter.Wait)
	if !ok || !wait.Until().After(start) || wait.Until().After(start.Add(time.Second)) {
		t.Errorf("got %v, want a wait of the time until a permit", wait)
	}
	if known, ok := coordinator.Known(targetName, start); !ok || known.String() != "4" {
		t.Errorf("the coordinator knows %v", known)
	}
}

// Guards against messages that are malformed and panic, or bar or free a target.
func TestMalformedMessagesAreRefused(t *testing.T) {
	now := start
	for _, data := range [][]byte{nil, {0xff}, {0x80}, []byte("words"), make([]byte, 1<<16)} {
		if _, err := limiter.DecodeRequest(data, now); err == nil {
			t.Errorf("% x is decoded as a permit request", data[:min(len(data), 8)])
		}
		if _, err := limiter.DecodeReply(data, now); err == nil {
			t.Errorf("% x is decoded as a reply", data[:min(len(data), 8)])
		}
	}
	rate := -1.0
	entry := func(key string, value []byte) disseminator.Entry {
		return disseminator.NewEntry(disseminator.EntryConfig{Key: key, Version: disseminator.NewVersion(1, 1), Value: value, ExpiresAt: now.Add(time.Minute)})
	}
	negative, err := encoder.Marshal([]any{rate})
	if err != nil {
		t.Fatal(err)
	}
	limit, err := limiter.LimitFrom(entry("limit/x", negative))
	if err != nil || limit.String() != "0" {
		t.Errorf("a negative rate is %v, %v", limit, err)
	}
	for _, key := range []string{"limit/", "limit/" + string(make([]byte, 200))} {
		if _, err := limiter.LimitFrom(entry(key, negative)); err == nil {
			t.Errorf("the key %q names a target", key)
		}
	}
}

// Guards against a stale statement that wins over a later one, whatever order they come in.
func TestLaterStatementWins(t *testing.T) {
	first, limit := limited(t, "router-1", 4)
	second := limiter.New(limiter.Config{VM: "router-2"})
	if changed, err := second.Apply(limit, start); err != nil || !changed {
		t.Fatalf("changed %t, %v", changed, err)
	}
	later := start.Add(time.Second)
	ended, changed, err := second.Observe(limiter.Observation{Target: targetName, Incarnation: 1 << 40, RateLimit: adviser.Unlimited{}}, later)
	if err != nil || !changed {
		t.Fatalf("changed %t, %v", changed, err)
	}
	for _, l := range []*limiter.Limiter{first, second} {
		for _, statement := range []limiter.Limit{ended, limit} {
			if _, err := l.Apply(statement, later); err != nil {
				t.Fatal(err)
			}
		}
		if known, _ := l.Known(targetName, later); known.String() != "none" {
			t.Errorf("the limit is %s, want none", known)
		}
	}
}
