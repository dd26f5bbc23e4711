package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// refuseStarts decides for the given time and refuses each start because it could not be sent. It returns the number of refused starts.
func (b *fixture) refuseStarts(d time.Duration) int {
	refused := 0
	for end := b.now.Add(d); b.now < end; b.advance(25 * time.Millisecond) {
		b.cell.Decide()
		b.cell.SnapshotRecorded(b.cell.Snapshot())
		for _, s := range b.cell.Orders().Starts {
			refused++
			b.cell.ApplyStart(s, fold.Refuse(fold.Unavailable, "", "not sent"))
		}
	}
	return refused
}

// Guards against an owner that plans a run anew each time a relay refuses its start, so that hosts which are busy get ever more calls, and
// against a host that gets no starts any more after it has accepted one again.
func TestRefusedStartsAreNotRepeatedAtOnce(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 10000), host("b", 10000))
	b.cell.AddJob(job(queue(0), step(20)), 0)
	b.refuseStarts(time.Second)
	if refused := b.refuseStarts(2 * time.Second); refused > 20 {
		t.Errorf("%d starts of 20 tasks were refused within two seconds", refused)
	}
	begun := 0
	for range 40 {
		begun += len(b.decide().Starts)
		b.advance(100 * time.Millisecond)
	}
	if begun != 20 {
		t.Errorf("%d of 20 tasks begin after the hosts accept starts again", begun)
	}
}

// Guards against a gang of which some members wait for others whose starts get no answer, until they give up alone.
func TestGangIsGivenUpInTime(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 1000))
	gang := step(2)
	gang.Gang = true
	b.cell.AddJob(flow.Job{ID: id, Team: "crews", Queue: queue(0), Steps: []flow.Step{gang}, Accepted: 1e9}, 0)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	starts := b.cell.Orders().Starts
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	b.cell.ApplyStart(starts[0], nil)
	b.advance(1100 * time.Millisecond)
	b.cell.ApplyStart(starts[1], fold.Unknown.New("no answer"))
	b.cell.Decide()
	orders := b.cell.Orders()
	if len(orders.Starts) > 0 || !stops(orders.Stops, starts[0]) || !stops(orders.Stops, starts[1]) {
		t.Errorf("orders %+v, want a stop of both members", orders)
	}
}

// stops reports whether one of the orders stops the run.
func stops(orders []core.Stop, s core.Start) bool {
	for _, o := range orders {
		if o.Task == s.Req.Task && o.Run == s.Req.Run {
			return true
		}
	}
	return false
}
