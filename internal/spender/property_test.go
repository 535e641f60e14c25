package spender_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"radishshed.example/radishshed/internal/spender"
	"radishshed.example/radishshed/pkg/coordination/ceilingstorer"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

// TestMain sets a fixed seed and the number of random cases of each property, unless the
// command line sets others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulatedRouter is a router process with its spender and its store of other routers'
// ceilings.
type simulatedRouter struct {
	process   identifier.Process
	spender   *spender.Spender
	storer    *ceilingstorer.Storer
	witnesses []identifier.Process
	queried   []identifier.Process
	spent     int64
}

// simulatedFleet is a ledger and routers on a simulated clock. Some routers spend and
// are replaced, and the others are their witnesses.
type simulatedFleet struct {
	t            *rapid.T
	now          time.Time
	ledger       *escrower.Ledger
	routers      []*simulatedRouter
	incarnation  uint64
	spentByEnded int64
}

func newSimulatedFleet(t *rapid.T, prepaid int64, routers int) *simulatedFleet {
	f := &simulatedFleet{t: t, now: time.Unix(1_800_000_000, 0), ledger: escrower.New(), routers: make([]*simulatedRouter, routers)}
	f.ledger.SetPrepaid(organisation, prepaid)
	for i := range f.routers {
		f.start(i)
	}
	return f
}

// start starts a new process on a VM. The old one has lost its memory.
func (f *simulatedFleet) start(i int) {
	if old := f.routers[i]; old != nil {
		f.spentByEnded += old.spent
	}
	f.incarnation++
	process := identifier.NewProcess(fmt.Sprintf("router-%d", i), f.incarnation)
	f.routers[i] = &simulatedRouter{
		process: process, storer: ceilingstorer.New(ceilingstorer.Config{}),
		spender: spender.New(spender.Config{Process: process, StartedAt: f.now}),
	}
}

// report sends a report, whose response may be lost.
func (f *simulatedFleet) report(r *simulatedRouter, responseArrives bool) {
	var records []escrower.WitnessRecord
	for _, process := range r.queried {
		if record, known := r.storer.Record(process, f.now); known {
			records = append(records, record)
		}
	}
	report := r.spender.Report(spender.ReportConfig{Now: f.now, Witnesses: r.witnesses, WitnessRecords: records, Lender: true})
	response, err := f.ledger.Apply(report, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	r.queried = response.QueriedRouters()
	if responseArrives {
		r.spender.HandleResponse(response, f.now, f.now)
	}
}

// sendCeilings sends the pending ceilings to the witnesses that are still running.
func (f *simulatedFleet) sendCeilings(r *simulatedRouter) {
	ceilings, witnesses := r.spender.PendingCeilings(f.now)
	stored := 0
	for _, other := range f.routers {
		if len(ceilings) > 0 && slices.Contains(witnesses, other.process) {
			other.storer.Store(r.process, ceilings, f.now)
			stored++
		}
	}
	if stored > 0 && stored == len(witnesses) {
		r.spender.ConfirmCeilings(ceilings, witnesses)
	}
}

// spend spends as much as the router allows, in requests of the given size that consume
// the given share of their reservation.
func (f *simulatedFleet) spend(r *simulatedRouter, size int64, requests int, sharePercent int64) {
	for range requests {
		if _, ok := r.spender.Reserve(organisation, size, f.now).(spender.Reserved); !ok {
			return
		}
		r.spender.Settle(organisation, size, size*sharePercent/100, f.now)
		r.spent += size * sharePercent / 100
	}
}

func (f *simulatedFleet) totalSpent() int64 {
	total := f.spentByEnded
	for _, r := range f.routers {
		total += r.spent
	}
	return total
}

// Guards: routers that are disconnected, change their witnesses and end never spend
// past the prepaid total, also when witnesses restart or have forgotten ceilings.
func TestSpendStaysWithinPrepaidOverChangesOfWitnesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prepaid = 600_000
		f := newSimulatedFleet(t, prepaid, 4)
		for range rapid.IntRange(4, 14).Draw(t, "steps") {
			i := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "router")
			r := f.routers[i]
			switch rapid.SampledFrom([]string{"connected", "connected", "disconnected", "disconnected", "restart", "forget"}).Draw(t, "step") {
			case "connected":
				others := []identifier.Process{f.routers[(i+1)%4].process, f.routers[(i+2)%4].process, f.routers[(i+3)%4].process}
				first := rapid.IntRange(0, 2).Draw(t, "first witness")
				r.witnesses = others[first:min(len(others), first+rapid.IntRange(0, 2).Draw(t, "witnesses"))]
				lost := rapid.Bool().Draw(t, "last response lost")
				for n := range 4 {
					f.report(r, n < 3 || !lost)
					f.spend(r, 1000, rapid.IntRange(0, 40).Draw(t, "requests"), 100)
					f.now = f.now.Add(100 * time.Millisecond)
				}
			case "disconnected":
				for range rapid.IntRange(2, 7).Draw(t, "seconds") {
					f.now = f.now.Add(time.Second)
					if rapid.Bool().Draw(t, "witnesses reachable") {
						f.sendCeilings(r)
					}
					size := rapid.SampledFrom([]int64{10_000, 300_000}).Draw(t, "size")
					share := rapid.SampledFrom([]int64{0, 100}).Draw(t, "share")
					f.spend(r, size, rapid.IntRange(1, 60).Draw(t, "requests"), share)
				}
			case "restart":
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "downtime")) * time.Millisecond)
				f.start(i)
			case "forget":
				f.now = f.now.Add(3 * time.Minute) // past the retention of stored ceilings
			}
			if total := f.totalSpent(); total > prepaid {
				t.Fatalf("%d tokens spent, %d prepaid", total, prepaid)
			}
		}
		// Everything that is left may be spent.
		for _, size := range []int64{100_000, 100_000, 10_000, 1000, 1000} {
			for _, r := range f.routers {
				r.witnesses = nil
				f.report(r, true)
				f.spend(r, size, 1000, 100)
				f.report(r, true)
				f.spend(r, size, 1000, 100)
				f.now = f.now.Add(300 * time.Millisecond)
			}
		}
		if total := f.totalSpent(); total > prepaid {
			t.Fatalf("%d tokens spent, %d prepaid", total, prepaid)
		}
	})
}
