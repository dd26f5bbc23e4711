package core_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// hourly is past use with a half-life of an hour.
var hourly = core.PastUse{HalfLife: time.Hour, Floor: 1000}

// useJob returns a job whose time in which it should end is three seconds.
func useJob(n int, team string, accepted int64) flow.Job {
	j := job(queue(1), step(1))
	j.ID, j.Team, j.Accepted = fmt.Sprintf("%016x", n), team, accepted
	return j
}

// Guards against past use that sets back work which it must not affect, and against past use without effect. Job 1 of a team
// with much use is due before job 2 of a team with little.
func TestPastUseOrdersOverdueWork(t *testing.T) {
	// The objective of the jobs is 3 s.
	const overdue = 7000
	cases := []struct {
		name     string
		settings core.PastUse
		weight   float64
		used     float64
		change   func(*flow.Job)
		setBack  bool
	}{
		{"late", hourly, 0, 5000, func(*flow.Job) {}, true},
		{"worthless", hourly, 0, 5000, func(j *flow.Job) { j.Accepted -= 60000 }, true},
		{"beyond the rate of the teams", hourly, 0.3, 5000, func(*flow.Job) {}, true},
		{"off", core.PastUse{}, 0, 5000, func(*flow.Job) {}, false},
		{"below the floor", hourly, 0, 900, func(*flow.Job) {}, false},
		{"below the floor for the weight", hourly, 6, 5000, func(*flow.Job) {}, false},
		{"in time", hourly, 0, 5000, func(j *flow.Job) { j.Accepted += overdue }, false},
		{"late, but its work may take longer than estimated", hourly, 0, 5000, func(j *flow.Job) { j.Accepted += overdue - 4500 }, false},
		{"late by its estimate only", hourly, 0, 5000, func(j *flow.Job) { j.Accepted += overdue - 2500 }, false},
		{"late and urgent", hourly, 0, 5000, func(j *flow.Job) { j.Queue.Priority = 0 }, false},
		{"long-running", hourly, 0, 5000, func(j *flow.Job) { j.Steps[0].LongRunning = true }, false},
		{"scheduled", hourly, 0, 5000, func(j *flow.Job) { j.Times, j.Start = 1, 1 }, false},
		{"higher priority", hourly, 0, 5000, func(j *flow.Job) {
			if j.Team == "light" {
				j.Queue.Priority = 2
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, fold.Rules{Teams: []fold.TeamRule{{Name: "heavy", Weight: c.weight}, {Name: "light", Weight: c.weight}}}, host("a", 9000))
			b.cell.SetOptions(core.Options{PastUse: c.settings})
			b.cell.RestorePastUse([]core.TeamUse{{Team: "heavy", CoreSeconds: c.used}, {Team: "light", CoreSeconds: 100}}, 0)
			if c.weight == 0.3 {
				// Each team uses up its burst of one job.
				b.cell.AddJob(useJob(8, "heavy", b.wall-overdue), 1)
				b.cell.AddJob(useJob(9, "light", b.wall-overdue), 1)
				b.decide()
			}
			for n, team := range []string{"heavy", "light"} {
				j := useJob(n+1, team, b.wall-overdue+int64(n))
				c.change(&j)
				b.cell.AddJob(j, 1)
			}
			starts := b.decide().Starts
			if len(starts) != 2 {
				t.Fatalf("%d starts, want 2", len(starts))
			}
			if setBack := starts[0].Req.Task[:16] == fmt.Sprintf("%016x", 2); setBack != c.setBack {
				t.Errorf("job of the team with much use set back: %v, want %v", setBack, c.setBack)
			}
		})
	}
}

// overload runs 400 tasks of equal length on four cores, more than they take in time, and returns the time at which each job
// ended, relative to its due time, and the average of the team with little past use.
func overload(t *testing.T, seed uint64, settings core.PastUse) (ends []time.Duration, light time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	b := newFixture(t, fold.Rules{}, host("a", 4000))
	b.cell.SetOptions(core.Options{PastUse: settings})
	b.cell.RestorePastUse([]core.TeamUse{{Team: "heavy", CoreSeconds: 1e6}}, 0)
	const jobs = 400
	ends = make([]time.Duration, jobs)
	accepted := make([]time.Duration, jobs)
	endAt := make(map[time.Duration][]string)
	left, arrived, number := jobs, 0, int64(0)
	for now := time.Duration(0); left > 0; now += 100 * time.Millisecond {
		for arrived < jobs && random.IntN(100) < 40 {
			j := useJob(arrived, []string{"heavy", "light"}[arrived%2], b.wall)
			j.Queue.Name = fmt.Sprint("q", random.IntN(3))
			j.Queue.Target = time.Duration(random.IntN(8000)) * time.Millisecond
			b.cell.AddJob(j, 1)
			accepted[arrived] = now + 2*time.Second + j.Queue.Target
			arrived++
		}
		var reported []fold.HostEnd
		for _, task := range endAt[now] {
			number++
			reported = append(reported, fold.HostEnd{Number: number, Task: task, Run: 1, Kind: fold.EndDone})
			var n int
			if _, err := fmt.Sscanf(task[:16], "%x", &n); err != nil {
				t.Fatal(err)
			}
			ends[n] = now - accepted[n]
			if n%2 == 1 {
				light += ends[n] / (jobs / 2)
			}
			left--
		}
		if len(reported) > 0 {
			b.report(b.hosts[0], nil, reported)
		}
		for _, s := range b.decide().Starts {
			endAt[now+time.Second] = append(endAt[now+time.Second], s.Req.Task)
		}
		b.advance(100 * time.Millisecond)
	}
	return ends, light
}

// Guards against a job that ends late only because past use set it back, under an overload in which most jobs are late, and
// against past use that does not help the team with little of it.
func TestPastUseMakesNoJobLate(t *testing.T) {
	for seed := range uint64(20) {
		without, before := overload(t, seed, core.PastUse{})
		with, after := overload(t, seed, hourly)
		late := 0
		for n := range without {
			if without[n] > 0 {
				late++
			}
			if without[n] <= 0 && with[n] > 0 {
				t.Errorf("seed %d: job %d ends %s late with past use, and in time without", seed, n, with[n])
			}
		}
		if late < 50 || after >= before {
			t.Errorf("seed %d: %d jobs are late; those of the team with little use end %s after their due time, %s without past use", seed, late, after, before)
		}
	}
}

// Guards against use that is counted twice, only at the end of a run, or differently by the number of rounds, and against
// cores that a fill step does not claim.
func TestUseIsCountedWhileRunsLast(t *testing.T) {
	for _, rounds := range []int{1, 1000} {
		b := newFixture(t, fold.Rules{}, host("a", 4000))
		b.cell.SetOptions(core.Options{PastUse: hourly})
		b.cell.SetHosts(b.hosts)
		lasting, filling := step(2), step(1)
		lasting.LongRunning, filling.Fill = true, true
		b.cell.AddJob(job(queue(1), lasting, filling), 1)
		starts := b.decide().Starts
		check := func(when string, want float64) {
			t.Helper()
			uses := b.cell.TeamUses(10)
			if len(uses) != 1 || math.Abs(uses[0].CoreSeconds-want) > want*1e-9 {
				t.Errorf("%d rounds, %s: use %+v, want %.6f core-seconds", rounds, when, uses, want)
			}
		}
		for range rounds {
			b.advance(time.Hour / time.Duration(rounds))
			b.cell.Decide()
		}
		// Two cores for one half-life.
		want := 2 * 3600 / math.Ln2 / 2
		check("while the runs last", want)
		var ends []fold.HostEnd
		for n, s := range starts {
			ends = append(ends, fold.HostEnd{Number: int64(n + 1), Task: s.Req.Task, Run: s.Req.Run, Kind: fold.EndDone})
		}
		b.cell.Cancel(id)
		b.report(b.hosts[0], nil, ends)
		b.advance(time.Hour)
		check("one half-life after their end", want/2)
	}
}

// BenchmarkDecideOverdue measures a round of decisions with overdue parts on full hosts.
func BenchmarkDecideOverdue(b *testing.B) {
	for _, c := range []struct {
		name     string
		settings core.PastUse
	}{{"off", core.PastUse{}}, {"on", core.PastUse{HalfLife: time.Hour}}} {
		b.Run(c.name, func(b *testing.B) {
			cell := core.New(core.Times{Lease: leaseTime}, hclog.NewNullLogger())
			cell.SetOptions(core.Options{PastUse: c.settings})
			now, wall := fold.Instant(time.Hour), int64(1e9)
			cell.SetTime(now, wall)
			for n := range 4000 {
				j := useJob(n, fmt.Sprint("team-", n%20), wall-3000-int64(n*7919%4000))
				cell.AddJob(j, 1)
			}
			for n := range 20 {
				cell.RestorePastUse([]core.TeamUse{{Team: fmt.Sprint("team-", n), CoreSeconds: float64(10000 + n)}}, 0)
			}
			cell.Decide()
			for b.Loop() {
				now, wall = now.Add(time.Millisecond), wall+1
				cell.SetTime(now, wall)
				cell.Decide()
			}
		})
	}
}
