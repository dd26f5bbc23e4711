package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// nextIncarnation returns the host after it has started again under its id.
func nextIncarnation(h fold.Host) fold.Host {
	h.Incarnation++
	return h
}

// untilTaskStarts decides until a task starts and returns the time that has passed, or false if none starts within the limit. Only the
// given host reports.
func (b *fixture) untilTaskStarts(reporting fold.Host, limit time.Duration) (after time.Duration, started bool) {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += interval {
		b.report(reporting, nil, nil)
		if len(b.decide().Starts) > 0 {
			return waited, true
		}
		b.advance(interval)
	}
	return 0, false
}

// startedAfter is untilTaskStarts without the second result.
func (b *fixture) startedAfter(reporting fold.Host, limit time.Duration) time.Duration {
	after, _ := b.untilTaskStarts(reporting, limit)
	return after
}

// recordedRun is a record with one run on an incarnation of a host.
func recordedRun(h fold.Host) flow.Record {
	return flow.Record{
		State: flow.Running, Seq: 1, Hosts: []flow.LiveHost{{ID: h.ID, Incarnation: h.Incarnation}},
		Parts: []flow.Part{{Done: []byte{0}, Runs: []uint32{1}, Live: []flow.LiveRun{{Run: 1}}}},
	}
}

// Guards against two runs of a task: a host starts again soon after a takeover and has then seen no fence. A start of the
// previous owner may reach the new incarnation, and the previous owner renews leases there until its permission ends.
func TestLeasesOfPreviousOwnerAfterRestart(t *testing.T) {
	const keepTime = 4 * time.Second
	cases := []struct {
		name string
		// answered is true if the earlier incarnation has answered the new owner.
		answered bool
		// restartAfter is the time from the takeover to the restart.
		restartAfter time.Duration
	}{
		{"unknown to the new owner", false, time.Second},
		{"unknown to the new owner, late restart", false, 3 * time.Second},
		{"after a report that leaves out ends", true, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, other := host("a", 1000), host("b", 1000)
			b := newFixture(t, fold.Rules{})
			b.cell.RestoreJob(job(queue(0), step(1)), recordedRun(first))
			b.cell.SetHosts([]fold.Host{first, other})
			if c.answered {
				b.reportPart(first, nil, nil)
			}
			b.advance(c.restartAfter)
			b.cell.SetHosts([]fold.Host{nextIncarnation(first), other})
			after := b.startedAfter(other, 4*(keepTime+leaseTime))
			bound := keepTime + lease.OnSlowestClock(leaseTime) - c.restartAfter
			if after == 0 {
				t.Error("the task does not start again")
			} else if after < bound {
				t.Errorf("the task starts again %s after the restart; the previous owner's leases may last %s", after, bound)
			}
		})
	}
}
