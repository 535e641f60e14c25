package configurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/configurer"
)

// numericFields are all numeric settings, each with the text before its value in
// earlierTemplate, what a process makes of the setting, and its upper limit.
var numericFields = []struct {
	field, before string
	get           func(configurer.Settings) float64
	unit, maximum float64
	round         func(whole, fraction float64) float64
}{
	{"memoryMegabytes", `"memoryMegabytes": `, func(s configurer.Settings) float64 { return float64(s.MemoryLimitBytes()) }, 1 << 20, 16 << 20, down},
	{"linkMegabits", `"linkMegabits": `, configurer.Settings.LinkBytesPerSecond, 125_000, 1e6, exact},
	{"retries.ratio", `"ratio": `, func(s configurer.Settings) float64 { return s.RetryBudget().Ratio() }, 1, 1, exact},
	{"retries.minimum", `"minimum": `, func(s configurer.Settings) float64 { return float64(s.RetryBudget().ExtraRetries()) }, 1, 1e6, up},
	{"maxEventKilobytes", `"maxEventKilobytes": `, func(s configurer.Settings) float64 { return float64(s.MaxEventBytes()) }, 1 << 10, 1 << 20, down},
	{"maxHeadKilobytes", `"maxHeadKilobytes": `, func(s configurer.Settings) float64 { return float64(s.MaxHeadBytes()) }, 1 << 10, 1 << 20, down},
	{"maxConnections", `"maxConnections": `, func(s configurer.Settings) float64 { return float64(s.MaxConnections()) }, 1, 1 << 20, down},
	{"minBodyBytesPerSecond", `"minBodyBytesPerSecond": `, func(s configurer.Settings) float64 { return float64(s.MinBodyRate()) }, 1, 1 << 30, down},
}

func down(whole, _ float64) float64         { return whole }
func exact(whole, fraction float64) float64 { return whole + fraction }
func up(whole, fraction float64) float64 {
	if fraction > 0 {
		return whole + 1
	}
	return whole
}

// withNumber returns settings in which the value of a field is replaced.
func withNumber(before, value string) string {
	text := strings.Replace(earlierTemplate, `"linkMegabits"`, `"maxEventKilobytes": 128, "maxHeadKilobytes": 64, "maxConnections": 100, "minBodyBytesPerSecond": 1, "linkMegabits"`, 1)
	head, tail, _ := strings.Cut(text, before)
	return head + before + value + tail[strings.IndexAny(tail, ",\n}"):]
}

// Guards against routers that end at their start since the platform renders a number with a
// fraction or an exponent.
func TestNumbersOfAllForms(t *testing.T) {
	for _, f := range numericFields {
		cases := []struct {
			text            string
			whole, fraction float64
		}{
			{"60", 60, 0}, {"60.0", 60, 0}, {"60.00000000000001", 60, 0.00000000000001}, {"38.69565217391305", 38, 0.69565217391305},
			{"6e1", 60, 0}, {"6.05E+01", 60, 0.5}, {"3869565217391305e-14", 38, 0.69565217391305}, {"1", 1, 0},
		}
		if f.maximum == 1 {
			cases = []struct {
				text            string
				whole, fraction float64
			}{{"1", 1, 0}, {"0", 0, 0}, {"0.20000000000000001", 0, 0.2}, {"2e-1", 0, 0.2}, {"1.0E+00", 1, 0}}
		}
		for _, c := range cases {
			want := f.unit * f.round(c.whole, c.fraction)
			if got := f.get(load(t, withNumber(f.before, c.text))); got < want*(1-1e-15) || got > want*(1+1e-15) {
				t.Errorf("%s %s: %v, want %v", f.field, c.text, got, want)
			}
		}
	}
	if got := load(t, withNumber(`"memoryMegabytes": `, "0.5")).MemoryLimitBytes(); got != 1<<20 {
		t.Errorf("a limit below one megabyte became %d bytes; zero means none", got)
	}
}

// Guards against a start with a number that means nothing, and against a message from which
// an operator cannot tell which value is meant.
func TestUnusableNumbersAreNamed(t *testing.T) {
	for _, f := range numericFields {
		for _, value := range []string{
			"-1", "-0.001", "-1e-9", fmt.Sprintf("%.0f.5", f.maximum), "1e300", "1e999", "-1e999", "NaN", "nan", "Infinity", "-Infinity", "+Inf",
			`"60"`, "true", "[1]",
		} {
			path := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(path, []byte(withNumber(f.before, value)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := configurer.Load(path, configurer.Router{})
			if want := path + ": " + f.field + ": " + value + " is "; err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("%v, want %s...", err, want)
			}
		}
	}
}

// Guards against a unit that a template appends to a number with a fraction or an exponent.
func TestDurationsOfAllForms(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
	}{
		{"10s", 10 * time.Second}, {"10.5s", 10500 * time.Millisecond}, {"1e+01s", 10 * time.Second}, {"1.05E1s", 10500 * time.Millisecond},
		{"10.000000000000002s", 10 * time.Second}, {"25e2ms", 2500 * time.Millisecond}, {"1m30s", 90 * time.Second},
		{"NaNs", 0}, {"Infs", 0}, {"1e300s", 0}, {"1e999s", 0}, {"-1e1s", 0}, {"1e1", 0}, {"0e0s", 0}, {"1e-30s", 0},
	} {
		text := strings.NewReplacer(`"window": "10s"`, `"window": "`+c.text+`"`).Replace(earlierTemplate)
		path := filepath.Join(t.TempDir(), "settings.json")
		t.Setenv(configurer.GracePeriodVariable, "")
		for i, text := range []string{text, earlierTemplate} {
			if i == 1 {
				t.Setenv(configurer.GracePeriodVariable, c.text)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := configurer.Load(path, configurer.Router{})
			got := []time.Duration{s.RetryBudget().Window(), s.GracePeriod()}[i]
			if (err == nil) != (c.want > 0) || err == nil && got != c.want || err != nil && !strings.Contains(err.Error(), c.text) {
				t.Errorf("%s: %v, %v, want %v", c.text, got, err, c.want)
			}
		}
	}
}
