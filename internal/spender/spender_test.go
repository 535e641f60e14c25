package spender_test

import (
	"testing"
	"time"

	"radishshed.example/radishshed/internal/spender"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/escrower"
)

const organisation = "shops"

// bench is a router and its ledger over a stepped clock.
type bench struct {
	t       *testing.T
	now     time.Time
	ledger  *escrower.Ledger
	spender *spender.Spender
}

func newBench(t *testing.T, prepaid int64) *bench {
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), ledger: escrower.New()}
	b.ledger.SetPrepaid(organisation, prepaid)
	b.spender = spender.New(spender.Config{Process: identifier.NewProcess("router", 1), StartedAt: b.now})
	return b
}

func (b *bench) report(witnesses ...identifier.Process) {
	b.t.Helper()
	report := b.spender.Report(spender.ReportConfig{Now: b.now, Witnesses: witnesses, Lender: true})
	answer, err := b.ledger.Apply(report, b.now)
	if err != nil {
		b.t.Fatal(err)
	}
	b.spender.Take(answer, b.now)
}

// serve lets requests of the given size come at the rate for a time, with reports
// as often as a router sends them if control can be reached. It returns how many
// were refused.
func (b *bench) serve(size int64, every, span time.Duration, attached bool, witnesses ...identifier.Process) (refused, asked int) {
	b.t.Helper()
	end := b.now.Add(span)
	for next := b.now; b.now.Before(end); b.now = b.now.Add(10 * time.Millisecond) {
		if attached && b.spender.Due(b.now) {
			b.report(witnesses...)
		}
		if ceilings, required := b.spender.NextCeilings(b.now); len(ceilings) > 0 && len(required) > 0 {
			b.spender.Confirm(ceilings) // all witnesses answer
		}
		if b.now.Before(next) {
			continue
		}
		next = next.Add(every)
		asked++
		verdict := b.spender.Reserve(organisation, size, b.now)
		if _, short := verdict.(spender.Short); short && attached {
			b.report(witnesses...)
			verdict = b.spender.Reserve(organisation, size, b.now)
		}
		if _, ok := verdict.(spender.Reserved); !ok {
			refused++
			continue
		}
		b.spender.Settle(organisation, size, size, b.now)
	}
	return refused, asked
}

// Load: a steady demand, then a partition of nine seconds in which the router lives
// on what it holds, with and without witnesses.
func TestPartitionIsSurvivedOnGrants(t *testing.T) {
	witness := identifier.NewProcess("witness", 1)
	cases := []struct {
		name      string
		witnesses []identifier.Process
	}{
		{"without witnesses", nil},
		{"with a witness", []identifier.Process{witness}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 1_000_000)
			if refused, _ := b.serve(1000, 100*time.Millisecond, 8*time.Second, true, c.witnesses...); refused > 0 {
				t.Fatalf("%d refused while control answers", refused)
			}
			refused, asked := b.serve(1000, 100*time.Millisecond, 9*time.Second, false)
			if refused*20 > asked {
				t.Fatalf("%d of %d refused in the partition, want at most one in 20", refused, asked)
			}
			if !b.spender.Detached(b.now) {
				t.Fatal("the router does not know that it is cut off")
			}
		})
	}
}

// Guards: a router spends no more than its witnesses know.
func TestDetachedRouterWaitsForWitnesses(t *testing.T) {
	b := newBench(t, 1_000_000)
	witness := identifier.NewProcess("witness", 1)
	b.serve(1000, 100*time.Millisecond, 4*time.Second, true, witness)
	b.now = b.now.Add(5 * time.Second)
	served := 0
	for range 100 {
		if _, ok := b.spender.Reserve(organisation, 1000, b.now).(spender.Reserved); ok {
			served++
		}
	}
	ceilings, required := b.spender.NextCeilings(b.now)
	if served > 60 || len(ceilings) != 1 || len(required) != 1 {
		t.Fatalf("served %d without the witness, %d ceilings, %d witnesses", served, len(ceilings), len(required))
	}
	b.spender.Confirm(ceilings)
	if _, ok := b.spender.Reserve(organisation, 1000, b.now).(spender.Reserved); !ok {
		t.Fatal("refused although the witness knows the ceiling")
	}
}

// Guards: 402 is said only on proof, and a refusal that nothing but a raised budget
// can change is told from one that a moment can.
func TestVerdictsAtTheEndOfABudget(t *testing.T) {
	b := newBench(t, 10_000)
	b.serve(1000, 100*time.Millisecond, 500*time.Millisecond, true)
	b.report()
	if v, ok := b.spender.Reserve(organisation, 20_000, b.now).(spender.Exhausted); !ok || v.Remaining() >= 10_000 {
		t.Fatalf("%+v, want Exhausted with what is left", v)
	}
	successor := spender.New(spender.Config{Process: identifier.NewProcess("router", 2), StartedAt: b.now.Add(10 * time.Second)})
	b.now = b.now.Add(10 * time.Second)
	b.spender = successor
	b.report()
	v := b.spender.Reserve(organisation, 9_000, b.now)
	if _, ok := v.(spender.Short); !ok {
		t.Fatalf("%#v, want Short: what the dead router may have spent is no proof", v)
	}
	b.report()
	if v, ok := b.spender.Reserve(organisation, 4_999, b.now).(spender.Short); ok && !v.Hopeless() && v.Held() > 4_999 {
		t.Fatalf("%+v", v)
	}
	b.ledger.SetPrepaid(organisation, 100_000)
	b.spender.Raise()
	b.serve(9_000, time.Second, 100*time.Millisecond, true)
	if _, ok := b.spender.Reserve(organisation, 9_000, b.now).(spender.Exhausted); ok {
		t.Fatal("exhausted after a top-up")
	}
}

// Guards: a request costs what it reserved at most, and gives the rest back.
func TestSettleGivesBackWhatWasNotSpent(t *testing.T) {
	b := newBench(t, 1_000_000)
	b.serve(1000, 50*time.Millisecond, 2*time.Second, true)
	before := b.spender.Holdings()[0]
	if _, ok := b.spender.Reserve(organisation, 500, b.now).(spender.Reserved); !ok {
		t.Fatal("refused")
	}
	b.spender.Settle(organisation, 500, 700, b.now)
	after := b.spender.Holdings()[0]
	if after.Spent() != before.Spent()+500 || after.Reserved() != before.Reserved() {
		t.Fatalf("%+v then %+v", before, after)
	}
	if part := b.spender.ReservePart(organisation, 1<<40, b.now); part <= 0 || part > after.Granted()-after.Spent() {
		t.Fatalf("part %d of %+v", part, after)
	}
}
