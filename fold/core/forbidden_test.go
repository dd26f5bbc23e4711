package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against two runs of a task: a start without an answer is still on its way when its host starts again a second time. The
// second incarnation was told to refuse the start, the third one was not.
func TestStartIsForbiddenAfterEachRestart(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	starts := b.cell.Orders().Starts
	for len(starts) > 0 {
		b.advance(200 * time.Millisecond)
		b.cell.ApplyStart(starts[0], fold.Unknown.New("no answer"))
		starts = b.cell.Orders().Starts
	}
	for restarts := range 2 {
		b.hosts[0] = nextIncarnation(b.hosts[0])
		b.applyRoster()
		orders := b.decide()
		if len(orders.Stops) == 0 {
			t.Errorf("after %d restarts, the host is not told to refuse the start", restarts+1)
		}
		for _, s := range orders.Starts {
			if s.Host.ID == "a" {
				t.Errorf("after %d restarts, the host gets a start before it refuses the earlier one", restarts+1)
			}
		}
		for _, s := range orders.Stops {
			b.cell.ApplyStop(s, nil)
		}
		b.advance(50 * time.Millisecond)
		b.report(b.hosts[0], nil, nil)
	}
}
