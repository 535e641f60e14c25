package escrower_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

const organisation = "shops"

// TestMain fixes the seed and the number of checks of the property test, unless the
// command line sets others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeRouter is a router that behaves as badly as the protocol permits: it may spend its
// whole allowance at once, and its spending may be reported late or never.
type fakeRouter struct {
	process           identifier.Process
	startedAt         time.Time
	sequence          uint64
	granted           int64
	returned          int64
	ceiling           int64
	overrunRate       int64
	spent             int64
	ackedAt           time.Time
	witnessed         int64
	requiredWitnesses []identifier.Process
	latestWitnesses   []identifier.Process
	queriedRouters    []identifier.Process
	storedCeilings    map[identifier.Process]int64 // of other routers, stored as a witness
}

func (r *fakeRouter) ackAge(now time.Time) time.Duration {
	if r.ackedAt.IsZero() {
		return now.Sub(r.startedAt)
	}
	return now.Sub(r.ackedAt)
}

func (r *fakeRouter) allowance(now time.Time) int64 {
	allocated, ackAge := r.granted-r.returned, r.ackAge(now)
	allowance := escrower.Allowance(allocated, r.ceiling, r.overrunRate, ackAge)
	if len(r.requiredWitnesses) == 0 {
		return allowance
	}
	return min(allowance, max(escrower.WitnessedAllowance(allocated, r.ceiling, r.overrunRate, ackAge), r.witnessed))
}

// sendCeiling raises the witnessed ceiling if all witnesses are running. One witness may
// store the ceiling although another does not.
func (r *fakeRouter) sendCeiling(routers []*fakeRouter, ceiling int64) {
	stored := 0
	for _, process := range r.requiredWitnesses {
		for _, other := range routers {
			if other.process == process {
				other.storedCeilings[r.process] = max(other.storedCeilings[r.process], ceiling)
				stored++
			}
		}
	}
	if stored == len(r.requiredWitnesses) {
		r.witnessed = max(r.witnessed, ceiling)
	}
}

func (r *fakeRouter) report(now time.Time, ceiling, overrunRate, required, demand int64, witnesses ...identifier.Process) escrower.Report {
	r.sequence++
	r.latestWitnesses = witnesses
	for _, process := range witnesses {
		if !slices.Contains(r.requiredWitnesses, process) {
			r.requiredWitnesses = append(r.requiredWitnesses, process)
		}
	}
	var records []escrower.WitnessRecord
	for _, process := range r.queriedRouters {
		records = append(records, escrower.NewWitnessRecord(process, []escrower.Ceiling{
			escrower.NewCeiling(escrower.CeilingConfig{Organisation: organisation, Tokens: r.storedCeilings[process]}),
		}))
	}
	ceiling = r.spent + ceiling
	r.ceiling, r.overrunRate = min(r.ceiling, ceiling), min(r.overrunRate, overrunRate)
	return escrower.NewReport(escrower.ReportConfig{
		Router: r.process, Sequence: r.sequence, StartedAt: r.startedAt, SentAt: now, AckAge: r.ackAge(now),
		Witnesses: witnesses, WitnessRecords: records,
		Lines: []escrower.Line{escrower.NewLine(escrower.LineConfig{
			Organisation: organisation, Spent: r.spent, Returned: r.returned, Ceiling: ceiling, OverrunRate: overrunRate, Required: required, Demand: demand,
		})},
	})
}

func (r *fakeRouter) handleResponse(response escrower.Response, sentAt time.Time) {
	if sentAt.After(r.ackedAt) {
		r.ackedAt = sentAt
	}
	r.queriedRouters = response.QueriedRouters()
	if response.Sequence() == r.sequence {
		r.requiredWitnesses = slices.Clone(r.latestWitnesses)
	}
	for _, g := range response.Grants() {
		r.granted = max(r.granted, g.Granted())
		if response.Sequence() == r.sequence {
			r.ceiling, r.overrunRate = g.Ceiling(), g.OverrunRate()
		}
		if excess := r.granted - r.returned - max(r.spent, r.ceiling, r.witnessed) - g.MaxUnspent(); excess > 0 {
			r.returned += excess
		}
	}
}

// applyReport applies a report of the router to the ledger, and the response to the router.
func (r *fakeRouter) applyReport(t *testing.T, ledger *escrower.Ledger, report escrower.Report, now time.Time) {
	t.Helper()
	response, err := ledger.Apply(report, now)
	if err != nil {
		t.Fatal(err)
	}
	r.handleResponse(response, now)
}

// An organisation's spending must never exceed its prepaid budget, whichever routers fail
// and whichever messages are lost or delayed.
func TestSpendStaysWithinPrepaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prepaid := rapid.Int64Range(0, 100_000).Draw(t, "prepaid")
		ledger := escrower.New()
		ledger.SetPrepaid(organisation, prepaid)
		now := time.Unix(1_800_000_000, 0)
		routers := make([]*fakeRouter, 4)
		ended := int64(0)
		incarnation := uint64(0)
		start := func(i int) {
			incarnation++
			routers[i] = &fakeRouter{
				process: identifier.NewProcess(fmt.Sprintf("router-%d", i), incarnation), startedAt: now,
				storedCeilings: map[identifier.Process]int64{},
			}
		}
		for i := range routers {
			start(i)
		}
		var delayed []escrower.Report
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "elapsed")) * time.Millisecond)
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			r := routers[i]
			switch rapid.SampledFrom([]string{
				"spend", "spend", "report", "report", "deliver", "restart", "topUp", "snapshot", "witness", "disconnect", "end", "exhaust",
			}).Draw(t, "step") {
			case "spend":
				if room := r.allowance(now) - r.spent; room > 0 {
					r.spent += rapid.Int64Range(0, room).Draw(t, "tokens")
				}
			case "disconnect":
				now = now.Add(time.Duration(rapid.IntRange(3000, 8000).Draw(t, "partition")) * time.Millisecond)
			case "witness":
				if escrower.NeedsWitnesses(r.ackAge(now)) {
					r.sendCeiling(routers, min(r.granted-r.returned, r.spent+rapid.Int64Range(0, 20_000).Draw(t, "ceiling")))
				}
			case "report":
				witnesses := []identifier.Process{routers[(i+1)%len(routers)].process, routers[(i+2)%len(routers)].process}
				witnesses = witnesses[:rapid.IntRange(0, 2).Draw(t, "witnesses")]
				report := r.report(now, rapid.Int64Range(0, 20_000).Draw(t, "ceiling"), rapid.Int64Range(0, 20_000).Draw(t, "overrunRate"),
					rapid.Int64Range(0, 30_000).Draw(t, "required"), rapid.Int64Range(0, 10_000).Draw(t, "demand"), witnesses...)
				if rapid.Bool().Draw(t, "delayed") {
					delayed = append(delayed, report)
					continue
				}
				response, err := ledger.Apply(report, now)
				if err != nil {
					t.Fatal(err)
				}
				if rapid.Bool().Draw(t, "response received") {
					r.handleResponse(response, now)
				}
			case "deliver":
				if len(delayed) > 0 {
					_, _ = ledger.Apply(delayed[0], now) // the process may have been replaced
					delayed = delayed[1:]
				}
			case "exhaust":
				for _, r := range routers {
					for range 2 { // the first report may carry a witness record
						report := r.report(now, 100_000, 0, 200_000, 10_000)
						response, err := ledger.Apply(report, now)
						if err != nil {
							t.Fatal(err)
						}
						r.handleResponse(response, now)
					}
					r.spent = max(r.spent, r.allowance(now))
				}
			case "end":
				r.returned = r.granted - r.spent
				final := escrower.AsFinal(r.report(now, 0, 0, 0, 0))
				if rapid.Bool().Draw(t, "final report delayed") {
					delayed = append(delayed, final)
				} else if _, err := ledger.Apply(final, now); err != nil {
					t.Fatal(err)
				}
				ended += r.spent
				start(i)
			case "restart":
				ended += r.spent
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "downtime")) * time.Millisecond)
				start(i)
			case "topUp":
				prepaid += rapid.Int64Range(0, 20_000).Draw(t, "tokens added")
				ledger.SetPrepaid(organisation, prepaid)
			case "snapshot":
				data, err := ledger.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if ledger, err = escrower.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			spent := ended
			for _, r := range routers {
				spent += r.spent
			}
			if spent > prepaid {
				t.Fatalf("spent %d tokens of %d prepaid", spent, prepaid)
			}
			s := ledger.Statements()[0]
			if s.Spent()+s.WrittenOff()+s.Held() > prepaid {
				t.Fatalf("spent %d + written off %d + held %d exceed %d prepaid", s.Spent(), s.WrittenOff(), s.Held(), prepaid)
			}
		}
	})
}

// A router that was killed together with all other processes and restarts within a second
// must be charged with little more than it can have spent, so that its organisation keeps
// the rest of the budget for the successors.
func TestFailedRouterIsChargedWithItsAllowance(t *testing.T) {
	const prepaid = 1_000_000
	cases := []struct {
		name      string
		downtime  time.Duration
		maxCharge int64
	}{
		{"restarted within a second", time.Second, 30_000},
		{"down while its allowance grows", 5 * time.Second, prepaid},
		{"down for longer than fullGrantAfter", 7 * time.Second, prepaid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ledger := escrower.New()
			ledger.SetPrepaid(organisation, prepaid)
			now := time.Unix(1_800_000_000, 0)
			r := &fakeRouter{process: identifier.NewProcess("router", 1), startedAt: now}
			for range 3 {
				response, err := ledger.Apply(r.report(now, 7_000, 15_000, 0, 10_000), now)
				if err != nil {
					t.Fatal(err)
				}
				r.handleResponse(response, now)
				now = now.Add(250 * time.Millisecond)
			}
			now = now.Add(c.downtime)
			successor := &fakeRouter{process: identifier.NewProcess("router", 2), startedAt: now}
			response, err := ledger.Apply(successor.report(now, 0, 0, 0, 0), now)
			if err != nil {
				t.Fatal(err)
			}
			retirement := response.Retirement()
			if retirement == nil || retirement.WrittenOff() > c.maxCharge {
				t.Fatalf("%+v, want at most %d charged", retirement, c.maxCharge)
			}
		})
	}
}

// Guards against budgets that are used up by what is written off when all VMs lose power for
// a few seconds (LOST): no moment may cost a router most of its grant, since VMs that lose
// power together come back a few tenths of a second apart.
func TestChargeGrowsSteadilyWithTheDowntime(t *testing.T) {
	const (
		prepaid = 1_000_000
		step    = 100 * time.Millisecond
		longest = 10 * time.Second
		// maxGrowthPercent of the grant may be charged for one step more.
		maxGrowthPercent = 5
	)
	previous := chargeAfter(t, prepaid, 0)
	for downtime := step; downtime <= longest; downtime += step {
		charged := chargeAfter(t, prepaid, downtime)
		if growth := charged - previous; growth < 0 || growth > prepaid*maxGrowthPercent/100 {
			t.Errorf("%d charged after %s, %d after %s", previous, downtime-step, charged, downtime)
		}
		previous = charged
	}
}

// chargeAfter returns what is written off when a router that has no witnesses loses power for
// the given time.
func chargeAfter(t *testing.T, prepaid int64, downtime time.Duration) int64 {
	t.Helper()
	ledger := escrower.New()
	ledger.SetPrepaid(organisation, prepaid)
	now := time.Unix(1_800_000_000, 0)
	r := &fakeRouter{process: identifier.NewProcess("router", 1), startedAt: now}
	apply := func(r *fakeRouter, report escrower.Report) { r.applyReport(t, ledger, report, now) }
	for range 3 {
		apply(r, r.report(now, 7_000, 15_000, 0, 10_000))
		now = now.Add(250 * time.Millisecond)
	}
	now = now.Add(downtime)
	successor := &fakeRouter{process: identifier.NewProcess("router", 2), startedAt: now}
	apply(successor, successor.report(now, 0, 0, 0, 0))
	return ledger.Statements()[0].WrittenOff()
}

// A report of a process that a newer incarnation has replaced must not change the ledger.
func TestReplacedProcessIsFenced(t *testing.T) {
	ledger := escrower.New()
	ledger.SetPrepaid(organisation, 1000)
	now := time.Unix(1_800_000_000, 0)
	old := &fakeRouter{process: identifier.NewProcess("router", 1), startedAt: now}
	successor := &fakeRouter{process: identifier.NewProcess("router", 2), startedAt: now}
	if _, err := ledger.Apply(successor.report(now, 0, 0, 0, 0), now); err != nil {
		t.Fatal(err)
	}
	if _, err := ledger.Apply(old.report(now, 0, 0, 500, 0), now); err == nil {
		t.Fatal("a replaced process received a grant")
	}
}

// The grant of a router that failed while disconnected must become available again, apart
// from the ceiling that its witness has stored.
func TestWitnessReleasesTheGrantOfAFailedRouter(t *testing.T) {
	const prepaid = 1_000_000
	ledger := escrower.New()
	ledger.SetPrepaid(organisation, prepaid)
	now := time.Unix(1_800_000_000, 0)
	newRouter := func(vm string, incarnation uint64) *fakeRouter {
		return &fakeRouter{
			process: identifier.NewProcess(vm, incarnation), startedAt: now, storedCeilings: map[identifier.Process]int64{},
		}
	}
	apply := func(r *fakeRouter, report escrower.Report) { r.applyReport(t, ledger, report, now) }
	witness, r := newRouter("witness", 1), newRouter("router", 1)
	for range 3 {
		apply(r, r.report(now, 7_000, 15_000, 0, 10_000, witness.process))
		apply(witness, witness.report(now, 0, 0, 0, 0))
		now = now.Add(250 * time.Millisecond)
	}
	now = now.Add(5 * time.Second)
	r.sendCeiling([]*fakeRouter{witness, r}, 60_000)
	r.spent = r.allowance(now)
	if r.spent < 55_000 {
		t.Fatalf("spent %d, want nearly the ceiling that the witness has stored", r.spent)
	}
	successor := newRouter("router", 2)
	apply(successor, successor.report(now, 0, 0, 0, 0))
	before := ledger.Statements()[0].WrittenOff()
	apply(witness, witness.report(now, 0, 0, 0, 0))
	apply(witness, witness.report(now, 0, 0, 0, 0))
	after := ledger.Statements()[0].WrittenOff()
	if after < r.spent || after > 70_000 || after >= before {
		t.Fatalf("written off %d, then %d; spent %d", before, after, r.spent)
	}
}

// A router that serves a large caller is killed while it can reach control, and restarts seconds
// later. It must be charged only with what it can have spent before it would have needed
// its witnesses; charging the whole grant would exhaust the organisation's budget.
func TestKilledRouterIsNotChargedWithItsWholeGrant(t *testing.T) {
	const (
		prepaid     = 1_000_000
		ceiling     = 7_000
		overrunRate = 60_000
	)
	for _, c := range []struct {
		name     string
		downtime time.Duration
	}{
		{"restarted before its allowance grows", 2 * time.Second},
		{"restarted while its allowance grows", 4 * time.Second},
		{"restarted after fullGrantAfter", 7 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			ledger := escrower.New()
			ledger.SetPrepaid(organisation, prepaid)
			now := time.Unix(1_800_000_000, 0)
			apply := func(r *fakeRouter, report escrower.Report) { r.applyReport(t, ledger, report, now) }
			start := func(vm string, incarnation uint64) *fakeRouter {
				return &fakeRouter{
					process: identifier.NewProcess(vm, incarnation), startedAt: now, storedCeilings: map[identifier.Process]int64{},
				}
			}
			witness, r := start("witness", 1), start("router", 1)
			for range 3 {
				apply(r, r.report(now, ceiling, overrunRate, 0, 40_000, witness.process))
				apply(witness, witness.report(now, 0, 0, 0, 0))
				now = now.Add(250 * time.Millisecond)
			}
			now = now.Add(c.downtime)
			successor := start("router", 2)
			apply(successor, successor.report(now, 0, 0, 0, 0))
			for range 2 {
				apply(witness, witness.report(now, 0, 0, 0, 0))
			}
			// 0.6 s of overrun: from overrunAfter to witnessesRequiredAfter
			maxCharge := int64(ceiling + overrunRate*6/10)
			if charged := ledger.Statements()[0].WrittenOff(); charged > maxCharge {
				t.Fatalf("%d written off, want at most %d", charged, maxCharge)
			}
		})
	}
}

// During a rolling restart a delayed report may arrive after the final report of its
// process. It must not grant the returned tokens to the terminated process again, since
// its successor would then cause a write-off.
func TestReportAfterFinalReportGrantsNothing(t *testing.T) {
	const prepaid = 1_000_000
	for _, c := range []struct {
		name     string
		delayed  bool // sent before the final report
		restored bool // the ledger is restored from a snapshot in between
	}{
		{"sent before the final report", true, false},
		{"sent after the final report", false, false},
		{"sent after the final report, ledger restored from a snapshot", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ledger := escrower.New()
			ledger.SetPrepaid(organisation, prepaid)
			now := time.Unix(1_800_000_000, 0)
			r := &fakeRouter{process: identifier.NewProcess("router", 1), startedAt: now}
			apply := func(r *fakeRouter, report escrower.Report) { r.applyReport(t, ledger, report, now) }
			for range 3 {
				apply(r, r.report(now, 30_000, 60_000, 0, 40_000))
				r.spent += 20_000
				now = now.Add(250 * time.Millisecond)
			}
			delayed := r.report(now, 30_000, 60_000, 50_000, 40_000)
			r.returned = r.granted - r.spent
			final := r.report(now, 0, 0, 0, 0)
			if !c.delayed {
				delayed = r.report(now, 30_000, 60_000, 50_000, 40_000)
			}
			apply(r, escrower.AsFinal(final))
			if c.restored {
				data, err := ledger.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if ledger, err = escrower.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			apply(r, delayed)
			apply(r, escrower.AsFinal(final)) // its response was lost
			successor := &fakeRouter{process: identifier.NewProcess("router", 2), startedAt: now.Add(time.Second)}
			now = now.Add(time.Second)
			apply(successor, successor.report(now, 0, 0, 0, 0))
			s := ledger.Statements()[0]
			if s.Spent() != r.spent || s.WrittenOff() != 0 || s.Held() != 0 {
				t.Fatalf("spent %d, written off %d, held %d; want %d, 0, 0", s.Spent(), s.WrittenOff(), s.Held(), r.spent)
			}
		})
	}
}
