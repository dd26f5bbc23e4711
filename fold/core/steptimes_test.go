package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// Guards against decisions that trust estimates which are wrong by 0.9 of their value although half of the step has shown its
// run times. An underestimated job then counts as late and waits behind a job with much time left; an overestimated one counts
// as if it had time left, and ends late.
func TestWrongEstimates(t *testing.T) {
	cases := []struct {
		name string
		// estimate is that of the first job, whose tasks take took. The second job has the estimate other and is accepted after
		// the time later.
		estimate, other   int64
		took, later       time.Duration
		speeds, wantFirst bool
		// next is true if the second half of the tasks is another step.
		next bool
	}{
		{"underestimated", 300, 4000, 3 * time.Second, time.Second, true, true, false},
		{"underestimated, without run times", 300, 4000, 3 * time.Second, time.Second, false, false, false},
		{"overestimated", 1900, 1250, time.Second, 500 * time.Millisecond, true, true, false},
		{"overestimated, without run times", 1900, 1250, time.Second, 500 * time.Millisecond, false, false, false},
		{"overestimated next step", 1900, 2350, time.Second, 500 * time.Millisecond, true, true, true},
		{"overestimated next step, without run times", 1900, 2350, time.Second, 500 * time.Millisecond, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newUnevenPool(t, 1, 1)
			p.spread = 0
			p.cell.SetOptions(core.Options{Speeds: c.speeds})
			size := fold.Resources{CPU: 4000, Memory: 10}
			steps := []flow.Step{{Count: 8, Size: size, Estimate: c.estimate}}
			if c.next {
				steps[0].Count = 4
				steps = append(steps, flow.Step{Count: 4, Size: size, Estimate: c.estimate, After: []int{0}})
			}
			first := p.add(queue(2), float64(c.took.Milliseconds())/float64(c.estimate), steps...)
			began := p.now
			var second string
			for len(p.starts[first]) < 5 && len(p.starts[second]) == 0 {
				p.tick(mixedTick)
				if second == "" && p.now.Sub(began) >= c.later {
					second = p.add(queue(2), 1, flow.Step{Count: 4, Size: size, Estimate: c.other})
				}
			}
			if got := len(p.starts[first]) > 4; got != c.wantFirst {
				t.Errorf("the first job goes on before the second one starts: %v, want %v", got, c.wantFirst)
			}
		})
	}
}

// Guards against urgent tasks that wait for runs which will take long: their estimate has run out, but other tasks of their
// step took much longer than estimated.
func TestLongRunsMakeRoomDespiteEstimates(t *testing.T) {
	for _, speeds := range []bool{false, true} {
		p := newUnevenPool(t, 1, 1)
		p.spread = 0
		p.cell.SetOptions(core.Options{Speeds: speeds})
		long := p.add(queue(2), 10, flow.Step{Count: 8, Size: fold.Resources{CPU: 4000, Memory: 10}, Estimate: 1000, Checkpoints: true})
		for len(p.starts[long]) < 8 {
			p.tick(mixedTick)
		}
		p.tick(2500 * time.Millisecond)
		p.add(queue(0), 1, step(1))
		for range 10 {
			p.tick(mixedTick)
		}
		if got := p.cell.Stats().Preempted > 0; got != speeds {
			t.Errorf("speeds %v: a run with 7 s to go was stopped for an urgent task: %v", speeds, got)
		}
	}
}

// reportProgress reports the given runs with their progress, and the ends of others.
func (b *fixture) reportProgress(live, done []core.Start, percent int) {
	for _, h := range b.hosts {
		var runs []fold.HostRun
		var ends []fold.HostEnd
		for _, s := range live {
			if s.Host.ID == h.ID {
				runs = append(runs, fold.HostRun{Task: s.Req.Task, Run: s.Req.Run, Percent: percent})
			}
		}
		for i, s := range done {
			if s.Host.ID == h.ID {
				end := b.endNow(s, fold.EndDone)
				end.Number += int64(i)
				ends = append(ends, end)
			}
		}
		b.report(h, runs, ends)
	}
}

// Guards against copies of tasks of usual length: the first tasks of a step to end are its shortest, so that their mean is no
// measure for the others. Also guards against a straggler without a copy.
func TestFirstEndsCauseNoCopies(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 5000), host("b", 9000))
	b.cell.SetOptions(core.Options{Speeds: true})
	wide := step(10)
	wide.Copies = true
	b.cell.AddJob(job(queue(2), wide), 1)
	starts := b.decide().Starts
	b.advance(400 * time.Millisecond)
	b.reportProgress(starts[2:], starts[:2], 40)
	for _, c := range []struct {
		after   time.Duration
		percent int
		copies  bool
	}{{800 * time.Millisecond, 60, false}, {1500 * time.Millisecond, 61, true}} {
		b.advance(c.after)
		b.reportProgress(starts[2:], nil, c.percent)
		if got := len(b.decide().Starts) > 0; got != c.copies {
			t.Errorf("%s after the first ends at 400 ms: copies %v, want %v", c.after, got, c.copies)
		}
	}
}

// Guards against copies of tasks that are only as slow as their host.
func TestSlowHostIsNoStraggler(t *testing.T) {
	b := slowFixture(t)
	copies := 0
	for n := range int64(100) {
		s := step(4)
		s.Copies = n == 99
		b.runOnce(n+1, s, true, func(s core.Start) bool {
			if n < 99 {
				return false
			}
			b.advance(700 * time.Millisecond)
			b.report(s.Host, []fold.HostRun{{Task: s.Req.Task, Run: s.Req.Run, Percent: 60}}, nil)
			copies = len(b.decide().Starts)
			return true
		})
	}
	if copies > 0 {
		t.Error("a run on a slow host got a copy after 2.4 times the run time of the others")
	}
}

// Guards against a straggler that raises the expected run time of its whole step, so that runs of usual length are stopped for
// urgent tasks although they are about to end.
func TestStragglerDoesNotSlowItsStep(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 4000))
	b.cell.SetOptions(core.Options{Speeds: true})
	batch := step(8)
	batch.Checkpoints = true
	b.cell.AddJob(job(queue(2), batch), 1)
	starts := b.decide().Starts
	// Three tasks end after 1 s and one after 7 s. The other four then start.
	b.advance(time.Second)
	b.reportProgress(starts[3:], starts[:3], 0)
	b.advance(6 * time.Second)
	b.reportProgress(nil, starts[3:], 0)
	if got := len(b.decide().Starts); got != 4 {
		t.Fatalf("%d starts, want 4", got)
	}
	b.advance(1300 * time.Millisecond)
	urgent := job(queue(0), step(1))
	urgent.ID, urgent.Accepted = "aaaaaaaaaaaaaaaa", b.wall
	b.cell.AddJob(urgent, 1)
	b.advance(100 * time.Millisecond)
	if stops := b.decide().Stops; len(stops) > 0 {
		t.Errorf("stops %v of runs of 1.4 s whose siblings took 1, 1, 1 and 7 s", stops)
	}
}

// Guards against the speed of a host that counts twice: a step that ran on a slow host only would be expected to take even
// longer there, and its runs would be stopped for urgent tasks although they are about to end.
func TestRunTimesOnSlowHostCountOnce(t *testing.T) {
	b := slowFixture(t)
	for n := range int64(100) {
		b.runOnce(n+1, step(4), true, func(core.Start) bool { return false })
	}
	batch := step(8)
	batch.Checkpoints, batch.Label, batch.Size.CPU = true, "r2", 2250
	b.cell.AddJob(job(queue(2), batch), 1)
	starts := b.decide().Starts
	b.advance(2 * time.Second)
	b.reportProgress(nil, starts, 0)
	if got := len(b.decide().Starts); got != 4 {
		t.Fatalf("%d starts, want 4", got)
	}
	b.advance(2 * time.Second)
	short := step(1)
	short.Label = "r2"
	urgent := job(queue(0), short)
	urgent.ID, urgent.Accepted = "aaaaaaaaaaaaaaaa", b.wall
	b.cell.AddJob(urgent, 1)
	b.advance(100 * time.Millisecond)
	if stops := b.decide().Stops; len(stops) > 0 {
		t.Errorf("stops %v of runs of 2.1 s whose siblings took 2 s", stops)
	}
}
