package evacuator_test

import (
	"slices"
	"testing"

	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/state/evacuator"
)

// Guards against a repeated or an opposite order that changes the revision without need, and
// against a change that does not increase it: a router would keep the former set.
func TestOrders(t *testing.T) {
	steps := []struct {
		order    evacuator.Order
		revision uint64
		want     []string
	}{
		{evacuator.NewFinish("b"), 0, nil},
		{evacuator.NewBegin("b"), 1, []string{"b"}},
		{evacuator.NewBegin("b"), 1, []string{"b"}},
		{evacuator.NewBegin("a"), 2, []string{"a", "b"}},
		{evacuator.NewFinish("c"), 2, []string{"a", "b"}},
		{evacuator.NewFinish("b"), 3, []string{"a"}},
		{evacuator.NewFinish("b"), 3, []string{"a"}},
		{evacuator.NewFinish("a"), 4, nil},
	}
	var s evacuator.Set
	for i, step := range steps {
		before := s
		s = s.Apply(step.order)
		if s.Revision() != step.revision || !slices.Equal(s.DataCentres(), step.want) {
			t.Fatalf("step %d: revision %d with %v, want %d with %v", i, s.Revision(), s.DataCentres(), step.revision, step.want)
		}
		if changed := s.Revision() != before.Revision(); s.Supersedes(before) != changed || before.Supersedes(s) {
			t.Errorf("step %d: a set is to replace the one before it if and only if it differs", i)
		}
		for _, dataCentre := range []string{"a", "b", "c"} {
			if s.Allows(dataCentre) == slices.Contains(step.want, dataCentre) {
				t.Errorf("step %d: Allows(%q) = %v", i, dataCentre, s.Allows(dataCentre))
			}
		}
	}
}

// Guards against an order that changes a set which other goroutines are reading.
func TestSetsAreImmutable(t *testing.T) {
	s := evacuator.Set{}.Apply(evacuator.NewBegin("b")).Apply(evacuator.NewBegin("c"))
	s.Apply(evacuator.NewBegin("a"))
	s.Apply(evacuator.NewFinish("b"))
	if got := s.DataCentres(); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("%v after orders were applied to it", got)
	}
}

// Replays a router with links to a control VM that is up to date and to one that lags
// behind. Guards against a set that comes back into force after it was replaced.
func TestOlderSetIsNotObeyed(t *testing.T) {
	began := evacuator.Set{}.Apply(evacuator.NewBegin("b"))
	finished := began.Apply(evacuator.NewFinish("b"))
	var inForce evacuator.Set
	for i, notice := range []evacuator.Set{{}, began, finished, began, {}, finished, began} {
		if notice.Supersedes(inForce) {
			inForce = notice
		}
		if i >= 2 && inForce.Revision() != finished.Revision() {
			t.Fatalf("after notice %d the set of revision %d is in force", i, inForce.Revision())
		}
	}
	if inForce.Contains("b") {
		t.Error("the evacuation goes on after it was finished")
	}
}

// Guards against a set or an order that is not the same after transmission.
func TestCodec(t *testing.T) {
	s := evacuator.Set{}.Apply(evacuator.NewBegin("b")).Apply(evacuator.NewBegin("a"))
	data, err := encoder.Marshal(evacuator.SetToWire(s))
	if err != nil {
		t.Fatal(err)
	}
	var w evacuator.WireSet
	if err := encoder.Unmarshal(data, &w); err != nil {
		t.Fatal(err)
	}
	if got := evacuator.SetFromWire(w); got.Revision() != 2 || !slices.Equal(got.DataCentres(), s.DataCentres()) {
		t.Errorf("%+v, want %+v", got, s)
	}
	for _, order := range []evacuator.Order{evacuator.NewBegin("b"), evacuator.NewFinish("b")} {
		if got, err := evacuator.OrderFromWire(evacuator.OrderToWire(order)); err != nil || got != order {
			t.Errorf("%v %v, want %v", got, err, order)
		}
	}
	if _, err := evacuator.OrderFromWire(evacuator.WireOrder{}); err == nil {
		t.Error("an order without a data centre was accepted")
	}
}
