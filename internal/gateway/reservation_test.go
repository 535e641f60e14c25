package gateway

import (
	"testing"
	"time"
)

// Guards against small requests that are refused near the end of a budget because no lender
// could cover a large one just before: what is left then lies idle in many small grants, and
// callers are told to come back (503) although only the exhaustion of the budget (402) can
// be proved once it is spent.
func TestLoanBackoffIsForLargeRequestsOnly(t *testing.T) {
	const (
		small = 1450
		large = 7000
	)
	failed := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name         string
		organisation string
		tokens       int64
		after        time.Duration
		inBackoff    bool
	}{
		{"the same size", "shops", large, 100 * time.Millisecond, true},
		{"larger", "shops", 2 * large, 100 * time.Millisecond, true},
		{"smaller", "shops", small, 100 * time.Millisecond, false},
		{"the same size later", "shops", large, 300 * time.Millisecond, false},
		{"another organisation", "roofers", large, 100 * time.Millisecond, false},
	}
	loans := newLoanTable()
	loans.setBackoff("shops", large, failed)
	for _, c := range cases {
		if got := loans.inBackoff(c.organisation, c.tokens, failed.Add(c.after)); got != c.inBackoff {
			t.Errorf("%s: in backoff %t, want %t", c.name, got, c.inBackoff)
		}
	}
}
