package adviser_test

import (
	"strings"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/adviser"
)

// Guards against a statement that cannot be read and bars or frees a target all the same.
func TestParseRateLimit(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		want   adviser.RateLimit
	}{
		{"absent", nil, adviser.Unlimited{}},
		{"whole", []string{"4"}, adviser.NewLimited(4)},
		{"fraction", []string{" 0.25 "}, adviser.NewLimited(0.25)},
		{"zero", []string{"0"}, adviser.NewLimited(0)},
		{"above any rate", []string{"99999999999999"}, adviser.NewLimited(1e9)},
		{"empty", []string{""}, adviser.Malformed{}},
		{"words", []string{"four"}, adviser.Malformed{}},
		{"negative", []string{"-1"}, adviser.Malformed{}},
		{"not a number", []string{"NaN"}, adviser.Malformed{}},
		{"infinite", []string{"Inf"}, adviser.Malformed{}},
		{"exponent", []string{"1e3"}, adviser.Malformed{}},
		{"two points", []string{"1.2.3"}, adviser.Malformed{}},
		{"repeated", []string{"4", "4"}, adviser.Malformed{}},
		{"list", []string{"4, 5"}, adviser.Malformed{}},
		{"a megabyte", []string{strings.Repeat("9", 1<<20)}, adviser.Malformed{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := adviser.ParseRateLimit(c.values); got != c.want {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
		})
	}
}

// Guards against a response of another target that frees a limited one.
func TestZeroAdviceSaysNothing(t *testing.T) {
	if got := (adviser.Advice{}).RateLimit(); got != (adviser.NotStated{}) {
		t.Errorf("got %#v", got)
	}
}

// Guards against a pause that bars a target for good, or that comes from a clock.
func TestParsePause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name   string
		values []string
		want   time.Duration // zero for none
	}{
		{"absent", nil, 0},
		{"zero", []string{"0"}, 0},
		{"whole", []string{"2"}, 2 * time.Second},
		{"fraction", []string{"0.25"}, 250 * time.Millisecond},
		{"huge", []string{"99999999999999"}, 5 * time.Minute},
		{"negative", []string{"-3"}, 0},
		{"date", []string{"Fri, 04 Dec 2099 20:00:00 GMT"}, 0},
		{"repeated", []string{"3", "4"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := adviser.ParsePause(c.values, now)
			if c.want == 0 && !got.IsZero() || c.want > 0 && !got.Equal(now.Add(c.want)) {
				t.Errorf("got %s, want %s after %s", got, c.want, now)
			}
		})
	}
}
