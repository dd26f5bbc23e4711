package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

// prepareUnansweredStart returns a cell whose starts on the first host got no answer.
func prepareUnansweredStart(t *testing.T, first, other fold.Host) *fixture {
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
	return b
}

// prepareUnansweredRenewal returns a cell whose task runs on the first host, which has just got a renewal and does not answer it.
func prepareUnansweredRenewal(t *testing.T, first, other fold.Host) *fixture {
	t.Helper()
	b := newFixture(t, fold.Rules{}, first)
	// The leases of earlier owners have ended.
	b.advance(30 * time.Second)
	b.applyRoster()
	b.cell.AddJob(job(queue(0), step(1)), 1)
	starts := b.decide().Starts
	if len(starts) != 1 {
		t.Fatalf("starts %+v, want one", starts)
	}
	b.cell.ApplyStart(starts[0], nil)
	b.advance(1500 * time.Millisecond)
	b.cell.SetHosts([]fold.Host{first, other})
	return b
}

// Guards against two runs of a task: a call without an answer was carried out by a host that is silent now, and the run goes on
// there under the lease in the call. A host that has started again has carried out nothing: no call reaches a later incarnation than
// the one that it names (fold.Runner). Its task starts again too, but no later.
func TestTaskOfUnansweredCall(t *testing.T) {
	cases := []struct {
		name string
		// prepare returns a cell whose last call to host a got no answer.
		prepare func(t *testing.T, first, other fold.Host) *fixture
		// restarted is true if host a is listed in its next incarnation, which does not answer either.
		restarted bool
	}{
		{"start", prepareUnansweredStart, false},
		{"start, host started again", prepareUnansweredStart, true},
		{"renewal", prepareUnansweredRenewal, false},
		{"renewal, host started again", prepareUnansweredRenewal, true},
		{"start of the previous owner, host started again", func(t *testing.T, first, other fold.Host) *fixture {
			b := newFixture(t, fold.Rules{})
			b.cell.RestoreJob(job(queue(0), step(1)), recordedRun(first))
			b.cell.SetHosts([]fold.Host{first, other})
			return b
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, other := host("a", 1000), host("b", 1000)
			b := c.prepare(t, first, other)
			b.cell.RecordSilence(first.ID, first.Incarnation, lease.MaxDuration(leaseTime))
			earliest, latest := lease.OnSlowestClock(leaseTime), keepTime+lease.MaxDuration(leaseTime)+200*time.Millisecond
			if c.restarted {
				earliest = 0
				b.cell.SetHosts([]fold.Host{nextIncarnation(first), other})
			}
			after, started := b.untilTaskStarts(other, 2*latest)
			if !started || after < earliest || after > latest {
				t.Errorf("the task starts again: %v, after %s; want a start after %s to %s", started, after, earliest, latest)
			}
		})
	}
}
