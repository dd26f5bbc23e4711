package core_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// Guards against wide urgent steps that wait for their slowest task on slow hosts while fast ones have room, when a third of
// the hosts is slow. Also guards against batch work with slack that takes the fast hosts.
func TestUrgentStepsAvoidSlowHosts(t *testing.T) {
	off := newUnevenPool(t, 1, thirds(30)...)
	urgentOff, batchOff := off.runMixed(90 * time.Second)
	on := newUnevenPool(t, 1, thirds(30)...)
	on.cell.SetOptions(core.Options{Speeds: true})
	urgentOn, batchOn := on.runMixed(90 * time.Second)
	t.Logf("tasks on slow hosts: urgent %.3f without and %.3f with speeds, batch %.3f and %.3f; %+v", urgentOff, urgentOn, batchOff, batchOn, on.cell.Speeds())
	if urgentOn > urgentOff/3 {
		t.Errorf("%.3f of the urgent tasks start on slow hosts, %.3f without speeds", urgentOn, urgentOff)
	}
	if batchOn < batchOff {
		t.Errorf("%.3f of the batch tasks start on slow hosts, %.3f without speeds", batchOn, batchOff)
	}
}

// Guards against noise that passes for speed: run times within a step spread widely and some tasks are stragglers.
func TestEvenHostsHaveNoSpeeds(t *testing.T) {
	for seed := range uint64(3) {
		speeds := make([]float64, 30)
		for i := range speeds {
			speeds[i] = 1
		}
		p := newUnevenPool(t, seed, speeds...)
		p.stragglers = 0.03
		p.cell.SetOptions(core.Options{Speeds: true})
		p.runMixed(60 * time.Second)
		s := p.cell.Speeds()
		t.Logf("seed %d: %+v", seed, s)
		if s.Known > s.Hosts/3 || s.Slowest < 0.9 || s.Fastest > 1.1 {
			t.Errorf("seed %d: speeds %+v on equal hosts", seed, s)
		}
	}
}

// Guards against decisions that change although the deployment has not asked for speeds. The hash is that of the code before
// speeds were added, for a load that fills the hosts and includes preemption, copies and stragglers.
func TestDecisionsWithoutSpeeds(t *testing.T) {
	p := newUnevenPool(t, 7, thirds(15)...)
	p.stragglers, p.load, p.copies = 0.03, 1.1, true
	p.runMixed(40 * time.Second)
	stats := p.cell.Stats()
	if stats.Preempted == 0 || stats.Copies == 0 {
		t.Fatalf("the load has %d preemptions and %d copies, want some of each", stats.Preempted, stats.Copies)
	}
	const want = 0x6b07ae2c243aef65
	if got := p.order.Sum64(); got != want {
		t.Errorf("hash of the decisions %#x, want %#x", got, uint64(want))
	}
}

// runOnce starts a step with one task on each host, ends the tasks of all hosts but the first after 500 ms, and that of the
// first after 1 s. The function before may change what happens before the last end, and report it itself. If confirmed is
// false, a report of the first host confirms its start, late.
func (b *fixture) runOnce(number int64, s flow.Step, confirmed bool, before func(core.Start) (reported bool)) {
	s.Count, s.PerHost = len(b.hosts), 1
	j := job(queue(0), s)
	j.ID = fmt.Sprintf("%016x", number)
	b.cell.AddJob(j, 1)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	starts := b.cell.Orders().Starts
	for _, start := range starts {
		if confirmed || start.Host.ID != b.hosts[0].ID {
			b.cell.ApplyStart(start, nil)
		}
	}
	b.advance(500 * time.Millisecond)
	for _, start := range starts {
		if start.Host.ID != b.hosts[0].ID {
			b.reportDone(start)
		}
	}
	for _, start := range starts {
		if start.Host.ID != b.hosts[0].ID {
			continue
		}
		if !confirmed {
			b.report(start.Host, []fold.HostRun{{Task: start.Req.Task, Run: start.Req.Run}}, nil)
		}
		if !before(start) {
			b.advance(500 * time.Millisecond)
			b.reportDone(start)
		}
	}
}

func (b *fixture) reportDone(s core.Start) {
	b.report(s.Host, nil, []fold.HostEnd{b.endNow(s, fold.EndDone)})
}

// endNow returns an end with a number above those of earlier ends.
func (b *fixture) endNow(s core.Start, kind fold.EndKind) fold.HostEnd {
	return fold.HostEnd{Number: b.wall, Task: s.Req.Task, Run: s.Req.Run, Kind: kind}
}

// slowFixture returns hosts of which the first is outside the rack of the others.
func slowFixture(t *testing.T) *fixture {
	t.Helper()
	b := newFixture(t, fold.Rules{}, host("a", 9000, "x", "r2"), host("b", 9000, "x", "r1"), host("c", 9000, "x", "r1"), host("d", 9000, "x", "r1"))
	b.cell.SetOptions(core.Options{Speeds: true})
	return b
}

// Guards against run times that say nothing about the host: those of resumed runs, gangs, fill and long-running tasks, tasks far
// from their data, and runs whose start or end became known late, such as the runs of an earlier owner.
func TestOtherRunTimesAreNoSpeeds(t *testing.T) {
	plain := func(core.Start) bool { return false }
	cases := []struct {
		name   string
		change func(*flow.Step)
		before func(b *fixture, s core.Start) bool
		// unconfirmed starts are confirmed late, by a report.
		unconfirmed bool
		want        int
	}{
		{name: "plain", want: 4},
		{name: "gang", change: func(s *flow.Step) { s.Gang = true }},
		{name: "fill", change: func(s *flow.Step) { s.Fill = true }},
		{name: "long-running", change: func(s *flow.Step) { s.LongRunning = true }},
		{name: "far from the data", change: func(s *flow.Step) { s.Rack = "r1" }},
		{name: "silent host", before: func(b *fixture, s core.Start) bool {
			b.cell.RecordSilence(s.Host.ID, s.Host.Incarnation, time.Second)
			return false
		}},
		{name: "ends held back", before: func(b *fixture, s core.Start) bool {
			b.advance(500 * time.Millisecond)
			ends := []fold.HostEnd{b.endNow(s, fold.EndDone)}
			b.cell.ApplyReport(s.Host.ID, b.now, fold.HoldReply{Clock: b.wall, Incarnation: 1, Ends: ends, MoreEnds: true}, leaseTime)
			return true
		}},
		{name: "resumed", before: func(b *fixture, s core.Start) bool {
			stopped := b.endNow(s, fold.EndStopped)
			stopped.Checkpoint = "c"
			b.report(s.Host, nil, []fold.HostEnd{stopped})
			for _, again := range b.decide().Starts {
				b.advance(10 * time.Millisecond)
				b.reportDone(again)
			}
			return true
		}},
		{name: "copy", change: func(s *flow.Step) { s.Copies = true }, before: func(b *fixture, _ core.Start) bool {
			b.advance(time.Second)
			for _, second := range b.decide().Starts {
				b.advance(10 * time.Millisecond)
				b.reportDone(second)
			}
			return true
		}},
		{name: "start known late", unconfirmed: true, before: func(b *fixture, s core.Start) bool {
			b.advance(10 * time.Millisecond)
			b.reportDone(s)
			return true
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := slowFixture(t)
			for n := range int64(100) {
				s, before := step(4), plain
				if c.change != nil {
					c.change(&s)
				}
				if c.before != nil {
					before = func(start core.Start) bool { return c.before(b, start) }
				}
				b.runOnce(n+1, s, !c.unconfirmed, before)
			}
			if got := b.cell.Speeds(); got.Known != c.want {
				t.Errorf("speeds %+v, want %d known", got, c.want)
			}
		})
	}
}

// Guards against the speed of an earlier incarnation: a host that started again may run on another machine.
func TestSpeedEndsWithIncarnation(t *testing.T) {
	b := slowFixture(t)
	for n := range int64(100) {
		b.runOnce(n+1, step(4), true, func(core.Start) bool { return false })
	}
	if got := b.cell.Speeds(); got.Slowest > 0.7 {
		t.Fatalf("speeds %+v, want one of at most 0.7", got)
	}
	b.hosts[0].Incarnation++
	b.applyRoster()
	if got := b.cell.Speeds(); got.Slowest != 1 {
		t.Errorf("speeds %+v after the slow host has started again", got)
	}
}

// Guards against a host that counts as slow because it had some stragglers by chance.
func TestStragglersAreNoSlowHost(t *testing.T) {
	b := slowFixture(t)
	for n := range int64(60) {
		b.runOnce(n+1, step(4), true, func(s core.Start) bool {
			if n%12 == 0 {
				b.advance(3 * time.Second)
			}
			b.reportDone(s)
			return true
		})
	}
	if got := b.cell.Speeds(); got.Slowest < 1 {
		t.Errorf("speeds %+v after 5 stragglers in 60 runs", got)
	}
}
