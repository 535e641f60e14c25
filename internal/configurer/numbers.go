package configurer

import (
	"math"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Upper limits of the numeric settings. They exceed every VM in use by far; what lies above
// is a mistake in the template, and would overflow once it is converted into bytes.
const (
	maxMemoryMB   = 16 << 20 // 16 TiB
	maxLinkMbit   = 1_000_000
	maxRetryRatio = 1
	maxRetries    = 1_000_000
	maxEventKB    = 1 << 20 // 1 GiB
	maxHeadKB     = 1 << 20 // 1 GiB
	maxCallers    = 1 << 20
	maxBodyRate   = 1 << 30 // bytes a second
)

// jsonNumber is the text of a numeric setting. Platforms render numbers with fractions and
// exponents, also where whole numbers are meant, so the text is kept and parsed by hand.
type jsonNumber string

// UnmarshalJSON implements json.Unmarshaler. It accepts any value, so that parse can report
// the field of one that is no number.
func (n *jsonNumber) UnmarshalJSON(data []byte) error {
	if *n = jsonNumber(data); *n == "null" {
		*n = ""
	}
	return nil
}

// parse returns the number, or zero if the setting is absent.
func (n jsonNumber) parse(field string, maximum float64) (float64, error) {
	if n == "" {
		return 0, nil
	}
	value, err := strconv.ParseFloat(string(n), 64)
	if errors.Is(err, strconv.ErrSyntax) {
		return 0, errors.Errorf("%s: %s is not a number: use a number from 0 to %.0f", field, n, maximum)
	}
	if err != nil || !(value >= 0 && value <= maximum) {
		return 0, errors.Errorf("%s: %s is out of range: use a number from 0 to %.0f", field, n, maximum)
	}
	return value, nil
}

// numbers are the numeric settings.
type numbers struct {
	memoryMB, linkMegabits, retryRatio, minimumRetries, maxEventKB float64
	maxHeadKB, maxConnections, minBodyRate                         float64
}

// parseNumbers returns the numeric settings. Counts are whole: a minimum is rounded up, and
// amounts of memory down.
func parseNumbers(w jsonSettings) (numbers, error) {
	var n numbers
	retries := jsonRetries{}
	if w.Retries != nil {
		retries = *w.Retries
	}
	for _, f := range []struct {
		field   string
		text    jsonNumber
		maximum float64
		value   *float64
	}{
		{"memoryMegabytes", w.MemoryMB, maxMemoryMB, &n.memoryMB},
		{"linkMegabits", w.LinkMegabits, maxLinkMbit, &n.linkMegabits},
		{"retries.ratio", retries.Ratio, maxRetryRatio, &n.retryRatio},
		{"retries.minimum", retries.Minimum, maxRetries, &n.minimumRetries},
		{"maxEventKilobytes", w.MaxEventKB, maxEventKB, &n.maxEventKB},
		{"maxHeadKilobytes", w.MaxHeadKB, maxHeadKB, &n.maxHeadKB},
		{"maxConnections", w.MaxConnections, maxCallers, &n.maxConnections},
		{"minBodyBytesPerSecond", w.MinBodyRate, maxBodyRate, &n.minBodyRate},
	} {
		var err error
		if *f.value, err = f.text.parse(f.field, f.maximum); err != nil {
			return n, err
		}
	}
	n.memoryMB = roundDown(n.memoryMB)
	n.minimumRetries = math.Ceil(n.minimumRetries)
	n.maxEventKB = roundDown(n.maxEventKB)
	n.maxHeadKB = roundDown(n.maxHeadKB)
	n.maxConnections = roundDown(n.maxConnections)
	n.minBodyRate = roundDown(n.minBodyRate)
	return n, nil
}

// roundDown rounds an amount down to a whole one. A positive amount remains positive, since
// zero stands for the absence of the setting.
func roundDown(value float64) float64 {
	if value > 0 {
		return max(1, math.Floor(value))
	}
	return 0
}

// nonFinite matches a field with a value that printf and some JSON libraries write, but that
// is not valid JSON.
var nonFinite = regexp.MustCompile(`"(\w+)"\s*:\s*([+-]?(?i:nan|infinity|inf))\b`)

// nonFiniteError returns an error that names the first field that is not finite, or nil.
func nonFiniteError(data []byte) error {
	match := nonFinite.FindSubmatch(data)
	if match == nil {
		return nil
	}
	field := string(match[1])
	if field == "ratio" || field == "minimum" {
		field = "retries." + field
	}
	return errors.Errorf("%s: %s is not finite: use a finite number", field, match[2])
}

// scientificDuration matches a duration whose number has an exponent, which
// time.ParseDuration refuses. Templates append the unit to a number of the platform.
var scientificDuration = regexp.MustCompile(`^([+-]?(?:\d+\.?\d*|\.\d+)[eE][+-]?\d+)(ns|us|µs|ms|s|m|h)$`)

// parseDuration parses a duration as time.ParseDuration does, and also one with an exponent.
func parseDuration(text string) (time.Duration, error) {
	match := scientificDuration.FindStringSubmatch(text)
	if match == nil {
		return time.ParseDuration(text)
	}
	value, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		return 0, errors.Wrap(err, "duration")
	}
	unit, err := time.ParseDuration("1" + match[2])
	if err != nil {
		return 0, errors.Wrap(err, "duration")
	}
	nanoseconds := math.Round(value * float64(unit))
	if math.Abs(nanoseconds) >= math.MaxInt64 {
		return 0, errors.Errorf("the duration %q is too long", text)
	}
	return time.Duration(nanoseconds), nil
}
