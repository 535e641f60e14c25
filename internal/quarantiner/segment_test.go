package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/internal/quarantiner"
)

// Segments of the prompts in these replays: all prompts begin with the shared one.
const (
	sharedSegment uint64 = iota + 1
	deadlySegment
	soundSegment
	otherSegment
)

// promptEvent is one step of a replay with prompts, as in event.
type promptEvent struct {
	sentAt   time.Duration
	endedAt  time.Duration
	request  string
	segments []uint64
	target   string // empty if the request is answered
}

func replayPrompts(events []promptEvent, until time.Duration) *quarantiner.Quarantiner {
	q := quarantiner.New(quarantiner.Config{VM: "control-1"})
	for now := time.Duration(0); now <= until; now += 100 * ms {
		for _, e := range events {
			if e.endedAt > now || e.endedAt <= now-100*ms {
				continue
			}
			if e.target == "" {
				q.RecordAnswered(request(e.request, e.segments...), at(e.sentAt), at(e.endedAt))
				continue
			}
			q.RecordCrash(quarantiner.NewCrash(quarantiner.CrashConfig{
				Target: e.target, Request: request(e.request, e.segments...), StartedAt: at(e.sentAt), EndedAt: at(e.endedAt),
			}), at(now))
		}
		q.Decide(at(now))
	}
	return q
}

// taintedPrompts are requests that share the deadly segment, one every 700 ms, each at
// another engine. A sound request with the same first segment waits at each of these
// engines. Nothing else is answered meanwhile.
func taintedPrompts(count int) []promptEvent {
	var events []promptEvent
	for i := range count {
		sent := time.Duration(i) * 700 * ms
		target := fmt.Sprintf("engine-%d@1", i)
		events = append(events,
			promptEvent{sent, sent + 300*ms, fmt.Sprintf("tainted-%d", i), []uint64{sharedSegment, deadlySegment}, target},
			promptEvent{sent + 100*ms, sent + 300*ms, fmt.Sprintf("sound-%d", i), []uint64{sharedSegment, soundSegment + uint64(i)}, target})
	}
	return events
}

func TestDecideOnSegments(t *testing.T) {
	deadly := []uint64{sharedSegment, deadlySegment}
	sound := []uint64{sharedSegment, soundSegment}
	var repeatedRequest, wholeFirst, deadlyFirst []promptEvent
	for i := range 6 {
		sent := time.Duration(i) * 700 * ms
		target := fmt.Sprintf("engine-%d@1", i)
		repeatedRequest = append(repeatedRequest,
			promptEvent{sent, sent + 300*ms, "same", deadly, target},
			promptEvent{sent, sent + 300*ms, fmt.Sprintf("sound-%d", i), []uint64{sharedSegment, otherSegment + uint64(i)}, target})
		// Each request reaches three engines, and is barred by itself before the segment.
		wholeFirst = append(wholeFirst, promptEvent{sent, sent + 300*ms, fmt.Sprintf("tainted-%d", i/3), deadly, target})
		deadlyFirst = append(deadlyFirst, promptEvent{sent, sent + 300*ms, fmt.Sprintf("r-%d", i), []uint64{sharedSegment, otherSegment + uint64(i)}, target})
	}
	// All requests with the deadly segment belong to one conversation at first, and then to
	// another one.
	var conversation []promptEvent
	for i := range 6 {
		sent := time.Duration(i) * 700 * ms
		thread := soundSegment
		if i >= 3 {
			thread = otherSegment
		}
		conversation = append(conversation, promptEvent{
			sent, sent + 300*ms, fmt.Sprintf("r-%d", i), []uint64{sharedSegment, deadlySegment, thread}, fmt.Sprintf("engine-%d@1", i),
		})
	}
	// A sound request with the first segment is answered after the second end, and the
	// third engine has no sound request.
	cleared := slices.Concat(taintedPrompts(3)[:5], []promptEvent{{1100 * ms, 1200 * ms, "answered", sound, ""}})
	answered := append(taintedPrompts(6), promptEvent{400 * ms, 900 * ms, "answered", sound, ""})
	cases := []struct {
		name     string
		events   []promptEvent
		until    time.Duration
		segments []uint64
		barred   bool
	}{
		{"a segment under which engines end", taintedPrompts(3), 2500 * ms, deadly, true},
		{"not before the third end", taintedPrompts(2), 5 * time.Second, deadly, false},
		{"prompts with the same first segment go on", taintedPrompts(6), 6 * time.Second, sound, false},
		{"and do so when one of them is answered", answered, 6 * time.Second, sound, false},
		{"an answer that clears the first segment leaves the others charged", cleared, 2500 * ms, deadly, true},
		{"the deadly one is barred nevertheless", answered, 6 * time.Second, deadly, true},
		{"one request that comes again bars no segment", repeatedRequest, 6 * time.Second, []uint64{deadlySegment}, false},
		{"requests that are barred themselves are evidence", wholeFirst, 6 * time.Second, deadly, true},
		{"a conversation in which it stands is barred", conversation[:3], 6 * time.Second, []uint64{sharedSegment, deadlySegment, soundSegment}, true},
		{"the conversation without it goes on", conversation[:3], 6 * time.Second, sound, false},
		{"two conversations have it: it is barred everywhere", conversation, 8 * time.Second, []uint64{sharedSegment, deadlySegment, 99}, true},
		{"and the conversations without it go on", conversation, 8 * time.Second, sound, false},
		{"the first segment of all prompts is the deadly one", deadlyFirst, 6 * time.Second, sound, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := replayPrompts(c.events, c.until)
			if v, barred := q.Find(request("new", c.segments...), at(c.until)); barred != c.barred {
				t.Errorf("barred: %t (%v), want %t", barred, v.Subject(), c.barred)
			}
		})
	}
}

// Guards against barring a segment of many prompts for the end of engines that each had
// some of them, in an outage of the whole service.
func TestOutageBarsNoSegment(t *testing.T) {
	var events []promptEvent
	for i := range 30 {
		end := time.Duration(i%9) * 20 * ms
		events = append(events, promptEvent{
			0, 200*ms + end, fmt.Sprintf("r-%d", i), []uint64{sharedSegment, soundSegment + uint64(i%5)}, fmt.Sprintf("engine-%d@1", i%9),
		})
	}
	q := replayPrompts(events, 10*time.Second)
	if barred := q.Barred(at(10 * time.Second)); len(barred) != 0 {
		t.Errorf("barred: %v", barred[0].Subject())
	}
}
