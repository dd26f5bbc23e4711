package core_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Guards against two runs of a task after a takeover: an earlier owner started the task without a record, and the host has
// started again since that owner recorded it. The start may have reached the new incarnation, which has the same id.
func TestUnrecordedRunOnNextIncarnation(t *testing.T) {
	restarted := host("a", 1000)
	restarted.Incarnation = 2
	// The record of another job names the new incarnation.
	other := job(queue(0), step(1))
	other.ID = fmt.Sprintf("%016x", 1)
	otherRecord := flow.Record{
		State: flow.Running, Hosts: []flow.LiveHost{{ID: "a", Incarnation: 2}},
		Parts: []flow.Part{{Runs: []uint32{1}, Done: []byte{0}, Live: []flow.LiveRun{{Run: 1}}}},
	}
	sources := []struct {
		name string
		// learn tells the new owner that the host has started again.
		learn func(b *fixture)
	}{
		{"from the roster", func(b *fixture) { b.cell.SetHosts([]fold.Host{restarted, b.hosts[1]}) }},
		{"from a record", func(b *fixture) { b.cell.RestoreJob(other, otherRecord) }},
	}
	reports := []struct {
		name string
		// runs is what the new incarnation reports first.
		runs []fold.HostRun
		// starts is the number of starts after this report.
		starts int
	}{
		{"the new incarnation has the run", []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, 0},
		{"the earlier incarnation had the run", nil, 1},
	}
	for _, source := range sources {
		for _, r := range reports {
			t.Run(source.name+", "+r.name, func(t *testing.T) {
				b := newOwner(t, host("a", 1000), host("b", 2000))
				b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{})
				source.learn(b)
				b.report(b.hosts[1], nil, nil)
				if starts := b.decide().Starts; len(starts) != 0 {
					t.Errorf("starts %+v before the new incarnation has reported", starts)
				}
				b.advance(50 * time.Millisecond)
				b.report(restarted, r.runs, nil)
				orders := b.decide()
				starts := 0
				for _, s := range orders.Starts {
					if s.Req.Task == id+".0.0.0" {
						starts++
					}
				}
				if starts != r.starts {
					t.Errorf("%d starts after the report, want %d", starts, r.starts)
				}
				for _, s := range orders.Stops {
					if s.Task == id+".0.0.0" {
						t.Errorf("stop %+v of a run that an earlier owner started", s)
					}
				}
			})
		}
	}
}

// Guards against an owner that waits for a host for ever: it has started again and then left for good.
func TestAwaitedHostIsGivenUp(t *testing.T) {
	restarted := host("a", 1000)
	restarted.Incarnation = 2
	b := newOwner(t, host("a", 1000), host("b", 1000))
	b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{})
	b.cell.SetHosts([]fold.Host{restarted, b.hosts[1]})
	starts := 0
	for range 150 {
		b.report(b.hosts[1], nil, nil)
		starts += len(b.decide().Starts)
		b.advance(100 * time.Millisecond)
	}
	if starts != 1 {
		t.Errorf("%d starts 15 s after the takeover, want 1", starts)
	}
}
