package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against tasks that start in a failure domain that the operator has evacuated: new ones, plans that wait for their
// record, and starts that are sent again because they had no answer.
func TestNoStartsInEvacuatedDomain(t *testing.T) {
	evacuated := fold.Rules{Revision: 1, Evacuated: []string{"north"}}
	inDomain := func(h fold.Host, domain string) fold.Host {
		h.Domain = domain
		return h
	}
	north, south := inDomain(host("a", 1000), "north"), inDomain(host("b", 2000), "south")
	cases := []struct {
		name string
		// before brings the cell to the moment of the evacuation.
		before func(b *fixture) []fold.HostRun
		// runs are the running tasks in the evacuated domain, which go on.
		runs int
	}{
		{"task that waits", func(*fixture) []fold.HostRun { return nil }, 0},
		{"plan that waits for its record", func(b *fixture) []fold.HostRun {
			b.cell.Decide()
			return nil
		}, 0},
		{"running task", func(b *fixture) []fold.HostRun {
			b.decide()
			return []fold.HostRun{{Task: id + ".0.0.0", Run: 1}}
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// The host of the evacuated domain has the better score, because less of it stays free.
			b := newFixture(t, fold.Rules{Revision: 1}, north, south)
			b.cell.AddJob(job(queue(0), step(1)), 1)
			runs := c.before(b)
			b.cell.SetRules(evacuated)
			b.report(north, runs, nil)
			orders := b.decide()
			for _, s := range orders.Starts {
				if s.Host.ID == "a" {
					t.Errorf("task %s starts on a host of the evacuated domain", s.Req.Task)
				}
			}
			if len(orders.Starts) != 1-c.runs || len(orders.Stops) != 0 {
				t.Errorf("%d starts and %d stops, want %d and none", len(orders.Starts), len(orders.Stops), 1-c.runs)
			}
			b.cell.SetRules(fold.Rules{Revision: 1})
			other := job(queue(0), step(1))
			other.ID = "5c0e7a21d94b36f9"
			b.report(north, nil, []fold.HostEnd{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: fold.EndDone}})
			b.cell.AddJob(other, 2)
			if starts := b.decide().Starts; len(starts) != 1 || starts[0].Host.ID != "a" {
				t.Errorf("starts %+v after the domain was taken back, want one on host a", starts)
			}
		})
	}
	t.Run("start without an answer", func(t *testing.T) {
		b := newFixture(t, fold.Rules{Revision: 1}, north, south)
		b.cell.AddJob(job(queue(0), step(1)), 1)
		b.cell.Decide()
		b.cell.SnapshotRecorded(b.cell.Snapshot())
		start := b.cell.Orders().Starts[0]
		b.cell.SetRules(evacuated)
		b.advance(200 * time.Millisecond)
		b.cell.ApplyStart(start, fold.Unknown.New("no answer"))
		if orders := b.cell.Orders(); len(orders.Starts) != 0 || len(orders.Stops) != 1 {
			t.Errorf("%d starts and %d stops, want the start to be given up", len(orders.Starts), len(orders.Stops))
		}
	})
	t.Run("host that registers later", func(t *testing.T) {
		b := newFixture(t, evacuated)
		b.hosts = append(b.hosts, north)
		b.applyRoster()
		b.cell.AddJob(job(queue(0), step(1)), 1)
		if starts := b.decide().Starts; len(starts) != 0 {
			t.Errorf("starts %+v, want none", starts)
		}
	})
}
