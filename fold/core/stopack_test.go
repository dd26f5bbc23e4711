package core_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against two runs of a task: the start has no answer and may still arrive, the host confirms the stop, and then starts
// again. The new incarnation has forgotten the stop and would execute the start.
func TestStopConfirmedByEarlierIncarnation(t *testing.T) {
	for _, fromRoster := range []bool{true, false} {
		t.Run(fmt.Sprintf("roster first: %v", fromRoster), func(t *testing.T) {
			b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 1000))
			b.cell.AddJob(job(queue(0), step(1)), 1)
			b.cell.Decide()
			b.cell.SnapshotRecorded(b.cell.Snapshot())
			starts := b.cell.Orders().Starts
			if len(starts) != 1 || starts[0].Host.ID != "a" {
				t.Fatalf("starts %+v, want one on host a", starts)
			}
			// No try of the start gets an answer, so the owner gives it up.
			for len(starts) > 0 {
				b.advance(200 * time.Millisecond)
				b.cell.ApplyStart(starts[0], fold.Unknown.New("no answer"))
				orders := b.cell.Orders()
				starts = orders.Starts
				for _, s := range orders.Stops {
					b.cell.ApplyStop(s, nil)
				}
			}
			b.advance(50 * time.Millisecond)
			restarted := nextIncarnation(b.hosts[0])
			if fromRoster {
				b.cell.SetHosts([]fold.Host{restarted, b.hosts[1]})
			}
			b.report(restarted, nil, nil)
			orders := b.decide()
			if len(orders.Starts) != 0 {
				t.Errorf("starts %+v before the new incarnation has confirmed that it refuses the first start", orders.Starts)
			}
			if len(orders.Stops) == 0 {
				t.Error("the new incarnation is not told to refuse the first start")
			}
			for _, s := range orders.Stops {
				b.cell.ApplyStop(s, nil)
			}
			b.advance(50 * time.Millisecond)
			b.report(restarted, nil, nil)
			if starts := b.decide().Starts; len(starts) != 1 || starts[0].Req.Run != 2 {
				t.Errorf("starts %+v after the stop was confirmed, want run 2", starts)
			}
		})
	}
}
