package core_test

import (
	"slices"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

// Guards against two runs of a task: a host that is missing from the roster is forgotten together with a start that has no
// answer, comes back in another incarnation, and is not told to refuse the late start.
func TestForgottenHostRefusesLateStart(t *testing.T) {
	cases := []struct {
		name string
		// absent is how long the host is missing from the roster when it gets the order.
		absent time.Duration
	}{
		{"short absence", time.Second},
		{"long absence", 31 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := host("a", 1000)
			b := newFixture(t, fold.Rules{}, first)
			b.cell.AddJob(job(queue(0), step(1)), 1)
			// The record of the start is written late because the table is slow.
			b.cell.Decide()
			writes := b.cell.Snapshot()
			b.cell.SetHosts(nil)
			for waited := time.Duration(0); waited < c.absent; waited += time.Second {
				b.advance(time.Second)
				b.report(first, nil, nil)
			}
			b.cell.SnapshotRecorded(writes)
			starts := b.cell.Orders().Starts
			if len(starts) != 1 {
				t.Fatalf("starts %+v, want one", starts)
			}
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
			b.report(first, nil, nil)
			b.decide()
			b.cell.SetHosts(nil)
			b.advance(time.Second)
			restarted := nextIncarnation(first)
			b.cell.SetHosts([]fold.Host{restarted})
			b.report(restarted, nil, nil)
			orders := b.decide()
			refused := slices.ContainsFunc(orders.Stops, func(s core.Stop) bool { return s.Run == 1 && s.Host.Incarnation == restarted.Incarnation })
			if len(orders.Starts) != 0 || !refused {
				t.Errorf("%d starts and stops %+v after the restart, want no start and a stop of run 1", len(orders.Starts), orders.Stops)
			}
		})
	}
}
