package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

// maxOrderDelay is how long a call without an answer may still be carried out.
const maxOrderDelay = 13 * time.Second

// prepareLateStart returns a cell whose starts on the first host got no answer, and the time by which they have arrived.
func prepareLateStart(t *testing.T, first, other fold.Host) (*fixture, fold.Instant) {
	t.Helper()
	b := newFixture(t, fold.Rules{}, first, other)
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	starts := b.cell.Orders().Starts
	if len(starts) != 1 || starts[0].Host.ID != first.ID {
		t.Fatalf("starts %+v, want one on host a", starts)
	}
	for len(starts) > 0 {
		b.advance(200 * time.Millisecond)
		b.cell.ApplyStart(starts[0], fold.Unknown.New("no answer"))
		starts = b.cell.Orders().Starts
	}
	arrived := b.now.Add(maxOrderDelay)
	b.cell.RecordSilence(first.ID, first.Incarnation, lease.MaxDuration(leaseTime))
	return b, arrived
}

// Guards against two runs of a task: a start without an answer is carried out late by the next incarnation of its host, whose
// clock has begun anew, so that the end of the lease in the order does not refuse it.
func TestLateStartReachesNextIncarnation(t *testing.T) {
	cases := []struct {
		name string
		// prepare returns a cell whose task may be started late on host a, and the time by which the order has arrived.
		prepare func(t *testing.T, first, other fold.Host) (*fixture, fold.Instant)
	}{
		{"start of this owner", prepareLateStart},
		{"start of the previous owner", func(t *testing.T, first, other fold.Host) (*fixture, fold.Instant) {
			const keepTime = 4 * time.Second
			b := newFixture(t, fold.Rules{})
			b.cell.RestoreJob(job(queue(0), step(1)), recordedRun(first))
			b.cell.SetHosts([]fold.Host{first, other})
			return b, b.now.Add(keepTime + maxOrderDelay)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, other := host("a", 1000), host("b", 1000)
			b, arrived := c.prepare(t, first, other)
			b.advance(100 * time.Millisecond)
			b.cell.SetHosts([]fold.Host{nextIncarnation(first), other})
			b.expectNoStartBefore(other, arrived.Add(lease.OnSlowestClock(leaseTime)))
		})
	}
}

// Guards against two runs of a task as above, on a host that has started again without the owner's knowledge: neither the
// host nor its entry in the roster reaches the owner.
func TestLateStartReachesUnknownIncarnation(t *testing.T) {
	first, other := host("a", 1000), host("b", 1000)
	b, arrived := prepareLateStart(t, first, other)
	b.expectNoStartBefore(other, arrived.Add(lease.OnSlowestClock(leaseTime)))
}

// expectNoStartBefore expects that the task starts again, but not before a late call has arrived and the lease that it grants has ended. Only
// the given host reports.
func (b *fixture) expectNoStartBefore(reporting fold.Host, end fold.Instant) {
	b.t.Helper()
	bound := end.Sub(b.now)
	after := b.startedAfter(reporting, 2*bound)
	if after == 0 {
		b.t.Error("the task does not start again")
	} else if after < bound {
		b.t.Errorf("the task starts again after %s; a late call may extend its lease for %s", after, bound)
	}
}
