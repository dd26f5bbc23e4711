package core_test

import (
	"testing"

	"plantainfold.example/fold"
)

// Guards against a count of waiting jobs that leaves out jobs whose starts were sent to a host that does not answer.
func TestJobWaitsUntilAHostConfirms(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	starts := b.cell.Orders().Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	b.cell.ApplyStart(starts[0], fold.Unknown.New("no answer"))
	if got := b.cell.Waiting()["q"]; got != 1 {
		t.Errorf("%d jobs wait while the host has not answered, want 1", got)
	}
	b.cell.ApplyStart(starts[0], nil)
	if got := b.cell.Waiting()["q"]; got != 0 {
		t.Errorf("%d jobs wait after the host has confirmed the start, want 0", got)
	}
}
