package placer_test

import (
	"testing"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/placer"
	"radishshed.example/radishshed/internal/selector"
)

// Guards against a request that is sent to a data centre that is closed to it.
func TestAllowsDecidesOnDataCentres(t *testing.T) {
	p := placer.New()
	for i, dataCentre := range []string{"a", "b"} {
		a, err := selector.NewAnnouncement(selector.AnnouncementConfig{
			Name: "target-" + dataCentre, Address: "10.0.0.1:8" + dataCentre, DataCentre: dataCentre, Incarnation: uint64(i + 1), Sequence: 1,
			Services: []string{plainService}, Capacity: 8, State: selector.Serving{},
		})
		if err != nil {
			t.Fatal(err)
		}
		p.Apply(a, start.Add(1e10))
	}
	r := placer.Request{Service: plainService, Now: start, Allows: func(dataCentre string) bool { return dataCentre == "b" }}
	for range 20 {
		if got := choose(t, p, r).Target().DataCentre(); got != "b" {
			t.Fatalf("a target in data centre %q was chosen", got)
		}
	}
	if p.NoneAllowed(r) {
		t.Error("no data centre is said to be allowed, though one is")
	}
	r.Allows = func(string) bool { return false }
	if unknown := (placer.Request{Service: "unknown", Now: start, Allows: r.Allows}); !p.NoneAllowed(r) || p.NoneAllowed(unknown) {
		t.Error("a service without targets is mistaken for one whose data centres are all closed")
	}
	if _, err := p.Choose(r); !errors.Is(err, placer.ErrNoTarget) {
		t.Errorf("%v, want %v", err, placer.ErrNoTarget)
	}
}
