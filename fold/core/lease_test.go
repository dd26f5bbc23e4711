package core_test

import (
	"slices"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// Guards against a new owner that starts a task again while its run may still hold a lease of the previous owner, which
// renews leases for Times.RenewWithoutTable after its last commit.
func TestLeasesThatPreviousOwnerRenewsWithoutTable(t *testing.T) {
	const keepTime = 4 * time.Second
	silent := host("a", 1000)
	record := flow.Record{
		State: flow.Running, Seq: 1, Hosts: []flow.LiveHost{{ID: silent.ID, Incarnation: silent.Incarnation}},
		Parts: []flow.Part{{Done: []byte{0}, Runs: []uint32{1}, Live: []flow.LiveRun{{Run: 1}}}},
	}
	cases := []struct {
		name string
		// awaited and listed are what the new owner knows of the host on which the run may be.
		awaited, listed []fold.Host
		record          flow.Record
	}{
		{"recorded run on a host outside the roster", nil, nil, record},
		{"recorded run on a listed host", nil, []fold.Host{silent}, record},
		{"recorded run on an awaited host", []fold.Host{silent}, []fold.Host{silent}, record},
		{"run without a record on an awaited host", []fold.Host{silent}, []fold.Host{silent}, flow.Record{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, fold.Rules{})
			other := host("b", 1000)
			b.cell.SetAwaited(c.awaited)
			b.cell.RestoreJob(job(queue(0), step(1)), c.record)
			b.hosts = append(slices.Clone(c.listed), other)
			b.cell.SetHosts(b.hosts)
			var startedAfter time.Duration
			const interval = 20 * time.Millisecond
			for waited := time.Duration(0); waited < 2*(keepTime+leaseTime) && startedAfter == 0; waited += interval {
				b.report(other, nil, nil)
				if len(b.decide().Starts) > 0 {
					startedAfter = waited
				}
				b.advance(interval)
			}
			if bound := keepTime + lease.OnSlowestClock(leaseTime); startedAfter < bound {
				t.Errorf("the task starts again after %s; the previous owner's leases may last %s", startedAfter, bound)
			}
			if startedAfter == 0 {
				t.Error("the task does not start again")
			}
		})
	}
}
