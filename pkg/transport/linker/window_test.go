package linker

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// tunnelReplay replays the two ends of a tunnel and its destination without sockets: what is on its
// way between them arrives in order, after any time.
type tunnelReplay struct {
	random *rand.Rand
	window sendWindow
	queue  forwardQueue

	wanted    int      // bytes that the caller has still to write
	toRelay   []int    // sizes of messages on their way
	toAsker   []report // as above
	unwritten int      // of the bytes that the relay has taken to write
	kernel    int      // bytes that the relay's connection holds
	got       int      // bytes that the destination has got
	ended     bool     // whether the destination has ended its connection
	reset     bool     // whether it has reset it
}

// step lets one part of the replay go on, chosen at random.
func (r *tunnelReplay) step(t *testing.T) {
	t.Helper()
	switch r.random.IntN(7) {
	case 0:
		if n := r.window.reserve(min(r.wanted, 1+r.random.IntN(tunnelBufferBytes))); n > 0 {
			r.wanted -= n
			r.toRelay = append(r.toRelay, n)
		}
	case 1:
		if len(r.toRelay) > 0 {
			if err := r.queue.add(make([]byte, r.toRelay[0])); err != nil {
				t.Fatalf("the window is exceeded: %v", err)
			}
			r.toRelay = r.toRelay[1:]
		}
	case 2:
		if r.unwritten == 0 {
			r.unwritten = len(r.queue.next())
		}
	case 3:
		r.write()
	case 4:
		if r.kernel > 0 && !r.reset {
			n := 1 + r.random.IntN(r.kernel)
			r.kernel -= n
			r.got += n
		}
	case 5:
		if r.ended && !r.reset && r.queue.isWritten() && r.kernel == 0 {
			r.toAsker = append(r.toAsker, report{written: r.queue.written, ended: true})
		}
	default:
		if len(r.toAsker) > 0 {
			if err := r.window.apply(r.toAsker[0]); err != nil {
				t.Fatal(err)
			}
			r.toAsker = r.toAsker[1:]
		}
	}
}

// write lets the relay's connection take bytes, and the relay say so if it has to.
func (r *tunnelReplay) write() {
	if r.unwritten == 0 || r.reset {
		return
	}
	n := 1 + r.random.IntN(r.unwritten)
	r.unwritten -= n
	r.kernel += n
	r.queue.written += int64(n)
	if r.queue.isReportDue() || r.random.IntN(4) == 0 {
		r.toAsker = append(r.toAsker, r.queue.report(nil))
	}
}

// Guards against a response that counts as whole though its target has not got the whole request,
// against requests that stop for lack of a report, and against a relay that holds more than the
// window, in any order of events.
func TestReplayOfTunnels(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, seed))
		total := random.IntN(5 * tunnelWindowBytes)
		r := &tunnelReplay{random: random, window: sendWindow{reports: true}, queue: forwardQueue{reports: true}, wanted: total}
		resets := random.IntN(2) == 0
		for range 20_000 {
			r.step(t)
			r.ended = r.ended || random.IntN(200) == 0
			r.reset = r.reset || resets && random.IntN(400) == 0
			if held := len(r.queue.pending) + r.unwritten; held > tunnelWindowBytes {
				t.Fatalf("seed %d: the relay holds %d bytes, at most %d may be", seed, held, tunnelWindowBytes)
			}
			if r.wanted == 0 && r.window.delivered() && (r.got < total || !r.ended) {
				t.Fatalf("seed %d: delivered, though the destination has got %d of %d bytes, ended: %t", seed, r.got, total, r.ended)
			}
		}
		if !r.reset && (r.got < total || !r.window.delivered()) {
			t.Fatalf("seed %d: the destination has got %d of %d bytes, delivered: %t", seed, r.got, total, r.window.delivered())
		}
	}
}

// Guards against reports that claim more than was sent.
func TestImpossibleReportIsRefused(t *testing.T) {
	w := sendWindow{reports: true}
	w.reserve(10)
	for _, r := range []report{{written: 11}, {written: 11, ended: true}} {
		if err := w.apply(r); err == nil || w.delivered() {
			t.Errorf("%+v is accepted", r)
		}
	}
}

// Guards against a change of the reports that builds of this release send each other.
func TestEncodingOfReports(t *testing.T) {
	for _, c := range []struct {
		report report
		golden string
	}{
		{report{data: []byte("piece"), written: 193}, "8345706965636518c1f4"},
		{report{written: 1_048_769}, "83f61a001000c1f4"},
		{report{written: 1_048_769, ended: true}, "83f61a001000c1f5"},
	} {
		data, err := encodeReport(c.report)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(data); got != c.golden {
			t.Errorf("%+v is encoded as %s, want %s", c.report, got, c.golden)
		}
		decoded, err := decodeReport(data)
		if err != nil || decoded.written != c.report.written || decoded.ended != c.report.ended || !slices.Equal(decoded.data, c.report.data) {
			t.Errorf("%s is decoded as %+v, %v", c.golden, decoded, err)
		}
	}
	for _, malformed := range []string{"", "80", "8200", "8345706965636518c1", "83f63bfffffffffffffffff4", "83f61bfffffffffffffffff4"} {
		data, err := hex.DecodeString(malformed)
		if err != nil {
			t.Fatal(err)
		}
		if r, err := decodeReport(data); err == nil {
			t.Errorf("%s is decoded as %s", malformed, fmt.Sprint(r))
		}
	}
}
