package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// Guards against two runs of a task after a takeover: a host starts again before the previous owner notices, and the new
// incarnation executes a start of that owner that has no record. The new owner may learn of the restart first.
func TestRunWithoutRecordOnNextIncarnation(t *testing.T) {
	const keepTime = 4 * time.Second
	cases := []struct {
		name string
		// rosterFirst is true if the new owner reads the roster before it reads the hosts of the previous owner.
		rosterFirst bool
		// reports is true if the new incarnation answers the new owner.
		reports bool
	}{
		{"awaited, then restarted, answers", false, true},
		{"awaited, then restarted, silent", false, false},
		{"restarted, then awaited, answers", true, true},
		{"restarted, then awaited, silent", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, other := host("a", 1000), host("b", 1000)
			restarted := nextIncarnation(first)
			b := newFixture(t, fold.Rules{})
			if c.rosterFirst {
				b.cell.SetHosts([]fold.Host{restarted, other})
			}
			b.cell.SetAwaited([]fold.Host{first, other})
			b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{})
			b.advance(50 * time.Millisecond)
			b.cell.SetHosts([]fold.Host{restarted, other})
			b.report(other, nil, nil)
			if !c.reports {
				bound := keepTime + lease.OnSlowestClock(leaseTime) - 50*time.Millisecond
				if after := b.startedAfter(other, 4*bound); after < bound {
					t.Errorf("the task starts %s after the restart; the previous owner's leases may last %s", after, bound)
				}
				return
			}
			if starts := b.decide().Starts; len(starts) != 0 {
				t.Errorf("starts %+v before the new incarnation has reported", starts)
			}
			b.report(restarted, []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, nil)
			if orders := b.decide(); len(orders.Starts)+len(orders.Stops) != 0 {
				t.Errorf("orders %+v, want none because the task runs", orders)
			}
		})
	}
}
