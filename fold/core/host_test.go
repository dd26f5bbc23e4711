package core_test

import (
	"fmt"
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

// Guards against two runs of a task: a host starts again under its id before anybody has noticed, and the new incarnation
// confirms a start that was meant for the earlier one.
func TestStartConfirmedByNextIncarnation(t *testing.T) {
	restarted := host("a", 1000)
	restarted.Incarnation = 2
	cases := []struct {
		name string
		// runs is what the new incarnation reports first.
		runs []fold.HostRun
		// starts is the number of starts after this report.
		starts int
	}{
		{"confirmed by the new incarnation", []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, 0},
		{"confirmed by the earlier incarnation", nil, 1},
	}
	for _, c := range cases {
		for _, fromRoster := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, roster first: %v", c.name, fromRoster), func(t *testing.T) {
				b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 1000))
				b.cell.AddJob(job(queue(0), step(1)), 1)
				starts := b.decide().Starts
				if len(starts) != 1 || starts[0].Host.ID != "a" {
					t.Fatalf("starts %+v, want one on host a", starts)
				}
				b.advance(50 * time.Millisecond)
				if fromRoster {
					b.cell.SetHosts([]fold.Host{restarted, b.hosts[1]})
					if starts := b.decide().Starts; len(starts) != 0 {
						t.Fatalf("starts %+v before the new incarnation has reported", starts)
					}
				}
				b.report(restarted, c.runs, nil)
				if orders := b.decide(); len(orders.Starts) != c.starts || len(orders.Stops) != 0 {
					t.Errorf("%d starts and %d stops, want %d and none", len(orders.Starts), len(orders.Stops), c.starts)
				}
			})
		}
	}
}

// Guards against two runs of a task after a takeover: the record says that the task runs on an incarnation of a host that has
// ended, but the next incarnation may have executed the order.
func TestRecordedRunOnNextIncarnation(t *testing.T) {
	restarted := host("a", 1000)
	restarted.Incarnation = 2
	b := newOwner(t, restarted, host("b", 1000))
	b.report(b.hosts[1], nil, nil)
	b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{
		State: flow.Running, Hosts: []flow.LiveHost{{ID: "a", Incarnation: 1}},
		Parts: []flow.Part{{Runs: []uint32{1}, Done: []byte{0}, Live: []flow.LiveRun{{Index: 0, Run: 1}}}},
	})
	b.advance(50 * time.Millisecond)
	b.report(restarted, []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, nil)
	if starts := b.decide().Starts; len(starts) != 0 {
		t.Errorf("starts %+v although the task runs", starts)
	}
}

// Guards against a task that waits for a stop although its host listed the run before it started again: the run has ended.
func TestListedRunEndsWithIncarnation(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.decide()
	b.advance(50 * time.Millisecond)
	b.report(b.hosts[0], []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, nil)
	restarted := host("a", 1000)
	restarted.Incarnation = 2
	b.report(restarted, nil, nil)
	if starts := b.decide().Starts; len(starts) != 1 || starts[0].Req.Run != 2 {
		t.Errorf("starts %+v, want run 2 at once", starts)
	}
}

// Guards against starts beyond the capacity of a host that has started again as a smaller one: its report shows the new
// incarnation before the roster describes it.
func TestCapacityOfNextIncarnation(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 4000))
	smaller := host("a", 1000)
	smaller.Incarnation = 2
	b.report(smaller, nil, nil)
	b.cell.AddJob(job(queue(0), step(3)), 1)
	if starts := b.decide().Starts; len(starts) != 0 {
		t.Errorf("%d starts before the capacity is known, want none", len(starts))
	}
	b.cell.SetHosts([]fold.Host{smaller})
	if starts := b.decide().Starts; len(starts) != 1 {
		t.Errorf("%d starts, want the one that fits", len(starts))
	}
}
