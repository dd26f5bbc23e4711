package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// reportPart reports the runs and ends of a host that has further ends.
func (b *fixture) reportPart(h fold.Host, runs []fold.HostRun, ends []fold.HostEnd) {
	b.cell.ApplyReport(h.ID, b.now, fold.HoldReply{Clock: b.wall, Incarnation: h.Incarnation, Runs: runs, Ends: ends, MoreEnds: true}, lease.MaxDuration(leaseTime))
}

// Guards against a second run of a task that is done: a host with many unacknowledged ends lists only some of them, and a run
// that it does not list may be among the others.
func TestReportWithoutAllEnds(t *testing.T) {
	done := []fold.HostEnd{
		{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: fold.EndDone},
		{Number: 2, Task: id + ".0.0.1", Run: 1, Kind: fold.EndDone},
	}
	restored := flow.Record{
		State: flow.Running, Hosts: []flow.LiveHost{{ID: "a", Incarnation: 1}},
		Parts: []flow.Part{{Runs: []uint32{1, 1}, Done: []byte{0}, Live: []flow.LiveRun{{Index: 0, Run: 1}, {Index: 1, Run: 1}}}},
	}
	cases := []struct {
		name string
		// prepare returns a cell that has started both tasks, or whose earlier owner may have done so.
		prepare func(t *testing.T) *fixture
	}{
		{"own runs", func(t *testing.T) *fixture {
			b := newFixture(t, fold.Rules{}, host("a", 2000))
			b.cell.AddJob(job(queue(0), step(2)), 1)
			b.decide()
			return b
		}},
		{"recorded runs of an earlier owner", func(t *testing.T) *fixture {
			b := newOwner(t, host("a", 2000))
			b.cell.RestoreJob(job(queue(0), step(2)), restored)
			return b
		}},
		{"runs of an earlier owner without a record", func(t *testing.T) *fixture {
			b := newOwner(t, host("a", 2000))
			b.cell.RestoreJob(job(queue(0), step(2)), flow.Record{})
			return b
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := c.prepare(t)
			// The reports leave out an end for longer than a lease, because no end can be recorded.
			for range 80 {
				b.advance(100 * time.Millisecond)
				b.reportPart(b.hosts[0], nil, done[:1])
				orders := b.decide()
				if len(orders.Starts) != 0 {
					t.Fatalf("starts %+v although the end of the task may not be listed", orders.Starts)
				}
				for _, s := range orders.Stops {
					b.cell.ApplyStop(s, fold.RunStale.New("the run has ended"))
				}
			}
			b.advance(100 * time.Millisecond)
			b.report(b.hosts[0], nil, done[1:])
			if orders := b.decide(); len(orders.Starts) != 0 {
				t.Errorf("starts %+v although both tasks are done", orders.Starts)
			}
			if state, _, ok := b.cell.RecordedState(id); ok && state != flow.Completed {
				t.Errorf("state %s, want completed", state)
			}
		})
	}
}

// Guards against a task that is never started again because its run was missing from a report that left out ends.
func TestRunMissingFromCompleteReport(t *testing.T) {
	b := newOwner(t, host("a", 1000))
	b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{
		State: flow.Running, Hosts: []flow.LiveHost{{ID: "a", Incarnation: 1}},
		Parts: []flow.Part{{Runs: []uint32{1}, Done: []byte{0}, Live: []flow.LiveRun{{Index: 0, Run: 1}}}},
	})
	b.reportPart(b.hosts[0], nil, nil)
	b.advance(100 * time.Millisecond)
	b.report(b.hosts[0], nil, nil)
	if starts := b.decide().Starts; len(starts) != 1 || starts[0].Req.Run != 2 {
		t.Errorf("starts %+v, want run 2", starts)
	}
}
