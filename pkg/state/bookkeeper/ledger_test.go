package bookkeeper_test

import (
	"errors"
	"testing"

	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
)

func register(t *testing.T, l *bookkeeper.Ledger, vm string, incarnation uint64) identifier.Process {
	t.Helper()
	process := identifier.NewProcess(vm, incarnation)
	if err := l.Register(process); err != nil {
		t.Fatal(err)
	}
	return process
}

// Guards: a router that registers learns of every retired process, so that it
// takes no intents of one that still runs.
func TestFencesNameRetiredProcesses(t *testing.T) {
	l := bookkeeper.New(bookkeeper.Config{})
	old := register(t, l, "router-1", 1)
	other := register(t, l, "router-2", 1)
	l.Retire(old)
	if fences := l.Fences(); len(fences) != 1 || fences[0] != old {
		t.Fatalf("fences %v before the sweep, want %v", fences, old)
	}
	l.Sweep(old, other)
	if fences := l.Fences(); len(fences) != 1 || fences[0] != old {
		t.Fatalf("fences %v after the sweep, want %v", fences, old)
	}
	if err := l.Register(old); !errors.Is(err, bookkeeper.ErrRetired) {
		t.Fatalf("a retired process registers: %v, want ErrRetired", err)
	}
}

// Guards: what cannot be proved unspent stays set aside until an operator
// vouches for it.
func TestUnprovedGrantsStaySetAside(t *testing.T) {
	l := bookkeeper.New(bookkeeper.Config{})
	if err := l.SetPrepaid("o/b", 100); err != nil {
		t.Fatal(err)
	}
	dead := register(t, l, "router-1", 1)
	register(t, l, "router-2", 1)
	register(t, l, "router-3", 1)
	alive := register(t, l, "router-4", 1)
	if _, err := l.Draw(dead, bookkeeper.NewDraw(bookkeeper.DrawConfig{Account: "o/b", Sequence: 1, Want: 90})); err != nil {
		t.Fatal(err)
	}
	register(t, l, "router-2", 2)
	register(t, l, "router-3", 2)
	l.Retire(dead)
	for _, process := range l.Routers() {
		l.Sweep(dead, process)
	}
	free := func() int64 {
		statement, err := l.Statement("o/b")
		if err != nil {
			t.Fatal(err)
		}
		return int64(statement.Free())
	}
	if free() >= 90 || len(l.Unproved()) != 1 {
		t.Fatalf("%d are free and %v unproved, although both holders of intents may have ended", free(), l.Unproved())
	}
	if !l.IsCurrent(alive) {
		t.Fatal("a live router is not current")
	}
	l.Release(dead)
	if free() != 100 {
		t.Fatalf("%d are free after the operator's release, want 100", free())
	}
}
