package limitsharer_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"radishshed.example/radishshed/internal/adviser"
	"radishshed.example/radishshed/internal/limiter"
	"radishshed.example/radishshed/internal/limitsharer"
	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

const (
	targetName  = "target-1"
	incarnation = 7
)

// process is a process of a fleet whose entries reach the others at once.
type process struct {
	vm     string
	sharer *limitsharer.Sharer
	logs   *observer.ObservedLogs
	// down is whether calls to it are not answered, and calls counts them.
	down  bool
	calls int
	// forwarded counts the entries that it passes on.
	forwarded int
}

// Call implements limitsharer.Peer.
func (p *process) Call(_ context.Context, _ uint8, body []byte) ([]byte, error) {
	p.calls++
	if p.down {
		return nil, errors.New("no answer")
	}
	return p.sharer.HandleCall(body, time.Now())
}

func newFleet(count int) map[string]*process {
	fleet := map[string]*process{}
	for i := range count {
		vm := fmt.Sprintf("vm-%d", i+1)
		core, logs := observer.New(zapcore.InfoLevel)
		fleet[vm] = &process{vm: vm, logs: logs}
		fleet[vm].sharer = limitsharer.New(limitsharer.Config{
			VM:         vm,
			Candidates: func() []string { return slices.Sorted(keysOf(fleet)) },
			Peer: func(vm string) (limitsharer.Peer, bool) {
				p, ok := fleet[vm]
				return p, ok
			},
			Publish: func(e disseminator.Entry) error {
				for _, other := range fleet {
					other.sharer.Apply([]disseminator.Entry{e}, time.Now())
				}
				return nil
			},
			Forward: func(disseminator.Entry) { fleet[vm].forwarded++ },
			Metrics: metrics.NewRegistry(), Log: zap.New(core),
		})
	}
	return fleet
}

func keysOf(fleet map[string]*process) func(func(string) bool) {
	return func(yield func(string) bool) {
		for vm := range fleet {
			if !yield(vm) {
				return
			}
		}
	}
}

func (p *process) names(rate adviser.RateLimit) {
	p.sharer.Observe(targetName, incarnation, adviser.New(adviser.Config{RateLimit: rate}), time.Now())
}

func (p *process) permitted() bool {
	return p.sharer.Begin(1).Permits(context.Background(), targetName, incarnation)
}

// Guards against processes that do not hear of a limit, or of its end.
func TestOneResponseBindsAllProcesses(t *testing.T) {
	fleet := newFleet(5)
	fleet["vm-1"].names(adviser.NewLimited(2))
	for vm, p := range fleet {
		if !slices.Contains(p.sharer.Limited(time.Now()), targetName) {
			t.Errorf("%s does not know the limit", vm)
		}
	}
	time.Sleep(300 * time.Millisecond) // changes in quick succession are not reported
	fleet["vm-2"].names(adviser.Unlimited{})
	for vm, p := range fleet {
		if !p.permitted() {
			t.Errorf("%s keeps to a limit that has ended", vm)
		}
	}
}

// Guards against a coordinator that does not answer and is asked for each request, and
// against targets that are not used any more because of it.
func TestCoordinatorWithoutAnAnswerIsReplaced(t *testing.T) {
	fleet := newFleet(6)
	vms := slices.Sorted(keysOf(fleet))
	order := limiter.Coordinators(targetName, vms)
	first, second := fleet[order[0]], fleet[order[1]]
	asking := fleet[vms[slices.IndexFunc(vms, func(vm string) bool { return !slices.Contains(order, vm) })]]
	asking.names(adviser.NewLimited(1000))
	first.down = true
	granted := false
	for deadline := time.Now().Add(3 * time.Second); !granted && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		granted = asking.permitted()
	}
	if !granted || second.calls == 0 {
		t.Errorf("no permit from the second coordinator, which got %d calls", second.calls)
	}
	if first.calls > 4 {
		t.Errorf("the first coordinator got %d calls though it does not answer", first.calls)
	}
}

// Guards against a statement that cannot be read and fills the log.
func TestMalformedStatementIsLoggedOnce(t *testing.T) {
	p := newFleet(1)["vm-1"]
	for range 100 {
		p.names(adviser.Malformed{})
	}
	lines := p.logs.Filter(func(e observer.LoggedEntry) bool { return strings.Contains(e.Message, "cannot be read") }).Len()
	if lines != 1 {
		t.Errorf("%d lines, want one", lines)
	}
}

// Guards against a warm-up in a response that only lenders hear of while control cannot be
// reached, and against a flood of entries about ends that hardly differ.
func TestCoordinatorsForwardWarmupsOnce(t *testing.T) {
	fleet := newFleet(6)
	now := time.Now()
	a, err := selector.NewAnnouncement(selector.AnnouncementConfig{
		Name: targetName, Address: "127.0.0.1:1", Incarnation: incarnation, Sequence: 1, Services: []string{"app"}, Capacity: 1, State: selector.Serving{},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range fleet {
		p.sharer.SetWarmupRates(map[string]float64{"app": 4}, func() []disseminator.Entry { return nil }, now)
	}
	order := limiter.Coordinators(targetName, slices.Sorted(keysOf(fleet)))
	for vm, p := range fleet {
		if slices.Contains(order, vm) {
			continue
		}
		for _, millis := range []float64{20_000, 20_100} {
			p.sharer.ObserveWarmup(a, adviser.New(adviser.Config{Warmup: adviser.NewWarming(millis, now)}), now)
		}
	}
	for vm, p := range fleet {
		want := 0
		if slices.Contains(order, vm) {
			want = 1
		}
		if p.forwarded != want || !slices.Contains(p.sharer.Limited(now), targetName) {
			t.Errorf("%s forwarded %d entries, want %d; it keeps to %v", vm, p.forwarded, want, p.sharer.Limited(now))
		}
	}
}
