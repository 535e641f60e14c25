package selector_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/selector"
	"radishshed.example/radishshed/pkg/coordination/disseminator"
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func newSelector(c *clock, routers int) *selector.Selector {
	return selector.New(selector.Config{
		Now: func() time.Time { return c.now }, RouterCount: func() int { return routers },
	})
}

func entry(t *testing.T, c *clock, sequence int, state string, capacity int) disseminator.Entry {
	t.Helper()
	a, err := selector.DecodeAnnouncement(fmt.Appendf(nil,
		`{"name":"engine","address":"127.0.0.1:1","incarnation":1,"sequence":%d,"services":["s"],"capacity":%d,"state":%q}`,
		sequence, capacity, state))
	if err != nil {
		t.Fatal(err)
	}
	e, err := a.Entry(c.now)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func acquire(s *selector.Selector, waitUntil time.Time) (*selector.Placement, error) {
	return s.Acquire(context.Background(), selector.Request{Service: "s", WaitUntil: waitUntil})
}

// Guards: a target that is leaving gets no new requests, even if an
// announcement of the same incarnation that says "serving" arrives later. A
// target whose announcements stop gets none once its lease has expired.
func TestLeavingIsFinalAndLeasesExpire(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	s := newSelector(c, 1)
	s.Apply([]disseminator.Entry{entry(t, c, 5, "serving", 4)})
	placement, err := acquire(s, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	placement.Release()
	c.now = c.now.Add(selector.LeaseDuration)
	if _, err := acquire(s, time.Time{}); !errors.Is(err, selector.ErrNoTarget) {
		t.Fatalf("after the lease has expired: %v, want ErrNoTarget", err)
	}
	s.Apply([]disseminator.Entry{entry(t, c, 6, "leaving", 4)})
	s.Apply([]disseminator.Entry{entry(t, c, 7, "serving", 4)})
	if _, err := acquire(s, time.Time{}); !errors.Is(err, selector.ErrNoTarget) {
		t.Fatalf("after leaving: %v, want ErrNoTarget", err)
	}
}

// Guards: urgent requests find free capacity. Deferrable requests get this
// router's share of the capacity less what urgent requests needed at their
// peak.
func TestDeferrableRequestsLeaveCapacityForUrgentRequests(t *testing.T) {
	cases := []struct {
		name                      string
		capacity, routers, urgent int
		want                      int
	}{
		{"nothing urgent", 10, 1, 0, 10},
		{"half urgent", 10, 1, 5, 4},
		{"two routers", 10, 2, 2, 2},
		{"all urgent", 10, 1, 10, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{time.Unix(1000, 0)}
			s := newSelector(c, tc.routers)
			s.Apply([]disseminator.Entry{entry(t, c, 1, "serving", tc.capacity)})
			for range tc.urgent {
				if _, err := acquire(s, time.Time{}); err != nil {
					t.Fatal(err)
				}
			}
			past := c.now.Add(-time.Second) // deferrable, with a deadline that has passed
			admitted := 0
			for {
				if _, err := acquire(s, past); err != nil {
					break
				}
				admitted++
			}
			if admitted != tc.want {
				t.Fatalf("%d deferrable requests admitted, want %d", admitted, tc.want)
			}
		})
	}
}

// Guards: capacity kept free for urgent requests becomes available to
// deferrable ones once urgent requests have ceased.
func TestUrgentCapacityBecomesAvailableAgain(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	s := newSelector(c, 1)
	s.Apply([]disseminator.Entry{entry(t, c, 1, "serving", 10)})
	var placements []*selector.Placement
	for range 10 {
		placement, err := acquire(s, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		placements = append(placements, placement)
	}
	past := func() time.Time { return c.now.Add(-time.Second) }
	if _, err := acquire(s, past()); !errors.Is(err, selector.ErrOverloaded) {
		t.Fatalf("while urgent requests are open: %v, want ErrOverloaded", err)
	}
	for _, placement := range placements {
		placement.Release()
	}
	c.now = c.now.Add(time.Minute)
	s.Apply([]disseminator.Entry{entry(t, c, 2, "serving", 10)})
	for n := range 9 {
		if _, err := acquire(s, past()); err != nil {
			t.Fatalf("deferrable request %d, a minute after the urgent ones: %v", n, err)
		}
	}
}

// Guards against a warm-up that depends on the clocks of VMs or on the age of an entry, and
// against builds that do not understand each other's entries.
func TestWarmupIsPartOfAnnouncements(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	a, err := selector.AnnouncementFrom(entry(t, c, 1, "serving", 4))
	if err != nil || !a.WarmupEndsAt().IsZero() {
		t.Fatalf("%v, warming until %s without a statement", err, a.WarmupEndsAt())
	}
	e, err := a.WithWarmupEndsAt(c.now.Add(20 * time.Second)).Entry(c.now)
	if err != nil {
		t.Fatal(err)
	}
	var earlierBuild [2]int64
	if err := json.Unmarshal(e.Load(), &earlierBuild); err != nil {
		t.Errorf("an earlier build cannot decode %s: %v", e.Load(), err)
	}
	elsewhere := c.now.Add(-time.Hour) // by another clock
	data, err := disseminator.EncodeUpdates([]disseminator.Update{disseminator.NewUpdate(e)}, c.now.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var received []disseminator.Entry
	d := disseminator.New(disseminator.Config{Now: func() time.Time { return elsewhere }, OnChange: func(entries []disseminator.Entry) { received = entries }})
	if err := d.Receive(nil, data); err != nil || len(received) != 1 {
		t.Fatalf("%v, %d entries", err, len(received))
	}
	a, err = selector.AnnouncementFrom(received[0])
	if remaining := a.WarmupEndsAt().Sub(elsewhere); err != nil || remaining != 19*time.Second {
		t.Errorf("%v, %s remain of the warm-up, want 19 s", err, remaining)
	}
}
