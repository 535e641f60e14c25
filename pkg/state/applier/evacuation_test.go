package applier_test

import (
	"bytes"
	"encoding/hex"
	"slices"
	"testing"
	"time"

	"radishshed.example/radishshed/pkg/state/applier"
	"radishshed.example/radishshed/pkg/state/evacuator"
)

// What the build before evacuations wrote: a submission of catalogue 7, the retirement of a
// router, and the snapshot of the state after both.
const (
	formerSubmission = "871b0000018bcfe5687bf6f6f6f6830752000800f7ff646f63756d656e74010000fffff6f6"
	formerRetirement = "871b0000018bcfe5687bf6f68266656467652d3105f6f6f6"
	formerSnapshot   = "861b0000018bcfe5687bf64786f6f6f6f6f60041f6830752000800f7ff646f63756d656e74010000fffff64483f6f6f6"
)

var formerTime = time.UnixMilli(1_700_000_000_123).UTC()

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a journal of the earlier build that cannot be read, and against records that
// the earlier build cannot read although no evacuation was ever ordered.
func TestRecordsOfTheEarlierBuild(t *testing.T) {
	state := applier.New(applier.Config{})
	for i, text := range []string{formerSubmission, formerRetirement} {
		data := unhex(t, text)
		command, at, err := applier.DecodeCommand(data)
		if err != nil || !at.Equal(formerTime) {
			t.Fatalf("record %d: %v at %s", i, err, at)
		}
		if again, err := applier.EncodeCommand(command, at); err != nil || !bytes.Equal(again, data) {
			t.Errorf("record %d is written as %x (%v)", i, again, err)
		}
		state.Apply(command, at)
	}
	if snapshot, err := state.Snapshot(); err != nil || !bytes.Equal(snapshot, unhex(t, formerSnapshot)) {
		t.Errorf("the snapshot is written as %x (%v)", snapshot, err)
	}
	restored, err := applier.Restore(applier.Config{}, unhex(t, formerSnapshot))
	if err != nil || restored.Catalogue().Version() != 7 || restored.Evacuations().Revision() != 0 {
		t.Errorf("%v: catalogue %d, revision %d", err, restored.Catalogue().Version(), restored.Evacuations().Revision())
	}
}

// Guards against an order that a control VM loses when it replays its journal or restores a
// snapshot, also after the evacuation is over: the revision must not begin anew.
func TestEvacuationsSurviveJournalAndSnapshot(t *testing.T) {
	state, err := applier.Restore(applier.Config{}, unhex(t, formerSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		order   evacuator.Order
		changed bool
		want    []string
	}{
		{evacuator.NewFinish("b"), false, nil},
		{evacuator.NewBegin("b"), true, []string{"b"}},
		{evacuator.NewBegin("b"), false, []string{"b"}},
		{evacuator.NewFinish("b"), true, nil},
	}
	for i, step := range steps {
		data, err := applier.EncodeCommand(applier.NewEvacuate(step.order), formerTime)
		if err != nil {
			t.Fatal(err)
		}
		command, at, err := applier.DecodeCommand(data)
		if err != nil || !at.Equal(formerTime) {
			t.Fatalf("step %d: %v at %s", i, err, at)
		}
		result := state.Apply(command, at).(applier.EvacuationResult)
		if result.Changed() != step.changed || !slices.Equal(result.InForce().DataCentres(), step.want) {
			t.Fatalf("step %d: changed %v, in force %v", i, result.Changed(), result.InForce().DataCentres())
		}
		snapshot, err := state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if state, err = applier.Restore(applier.Config{}, snapshot); err != nil {
			t.Fatal(err)
		}
		if got := state.Evacuations(); got.Revision() != result.InForce().Revision() || !slices.Equal(got.DataCentres(), step.want) {
			t.Errorf("step %d: revision %d with %v is restored", i, got.Revision(), got.DataCentres())
		}
		if state.Catalogue().Version() != 7 {
			t.Errorf("step %d: catalogue %d is restored", i, state.Catalogue().Version())
		}
	}
}

// Guards against a damaged record or snapshot that is taken for one of the other form.
func TestDamagedRecordsAreRefused(t *testing.T) {
	record, err := applier.EncodeCommand(applier.NewEvacuate(evacuator.NewBegin("b")), formerTime)
	if err != nil {
		t.Fatal(err)
	}
	state := applier.New(applier.Config{})
	state.Apply(applier.NewEvacuate(evacuator.NewBegin("b")), formerTime)
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range record {
		if _, _, err := applier.DecodeCommand(record[:i]); err == nil {
			t.Errorf("a record was decoded although truncated at byte %d", i)
		}
	}
	for i := 1; i < len(snapshot); i++ {
		if _, err := applier.Restore(applier.Config{}, snapshot[:i]); err == nil {
			t.Errorf("a snapshot was restored although truncated at byte %d", i)
		}
	}
}
