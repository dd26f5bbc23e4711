package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

const teams = 20

var plenty = fold.Resources{CPU: 1 << 40, Memory: 1 << 40, Accel: 1 << 30}

// newPool returns a pool of adopted workers with 64 cores, 8 to a rack, and teams with large allotments.
func newPool(workers int) *sched.Pool {
	p := sched.New("a0")
	for i := range workers {
		p.Adopt(0, place.Node{Name: "w" + strconv.Itoa(i), Domain: "a", Rack: "r" + strconv.Itoa(i/8)},
			fold.Adoption{Capacity: fold.Resources{CPU: 64_000, Memory: 131_072}})
	}
	for i := range teams {
		p.SetTeam(sched.Team{Name: "t" + strconv.Itoa(i), Weight: 1 + i%3, Allotment: plenty})
	}
	return p
}

// load is a stream of batch jobs whose tasks end in the order in which they started.
type load struct {
	pool   *sched.Pool
	rng    *rand.Rand
	now    fold.Instant
	jobs   int
	starts []sched.Start
}

func (l *load) submit(count int) {
	l.jobs++
	l.pool.Submit(l.now, fold.Job{
		ID: "j" + strconv.Itoa(l.jobs), Team: "t" + strconv.Itoa(l.jobs%teams), Kind: fold.Batch, Count: count, Duration: 10_000,
		Idempotent: true, Resources: fold.Resources{CPU: 500 * (1 + l.rng.Int64N(15)), Memory: 512 * (1 + l.rng.Int64N(31))},
	})
}

func (l *load) decide(limit int) []sched.Start {
	starts := l.pool.Decide(l.now, limit)
	l.starts = append(l.starts, starts...)
	for _, s := range starts {
		l.pool.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Started: true}})
	}
	return starts
}

func (l *load) end(count int) {
	for _, s := range l.starts[:min(count, len(l.starts))] {
		l.pool.Observe(l.now, s.Worker, []fold.TaskEvent{{Task: s.Task.Task, Attempt: s.Task.Attempt, State: fold.Done, Ran: 10_000}})
	}
	l.starts = l.starts[min(count, len(l.starts)):]
}

// round submits, ends and decides like 20 ms of 2,000 placements a second.
func (l *load) round() int {
	l.now = l.now.Add(20 * time.Millisecond)
	for range 4 {
		l.submit(10)
	}
	l.end(40)
	n := len(l.decide(512))
	for _, c := range l.pool.Changes(512) {
		l.pool.Forget(c.Status.Job.ID)
	}
	return n
}

// newLoad fills a pool to about 0.8 of its cores.
func newLoad(workers int) *load {
	l := &load{pool: newPool(workers), rng: rand.New(rand.NewPCG(3, 4))}
	for range workers {
		l.submit(12)
	}
	for len(l.decide(512)) > 0 {
	}
	for len(l.pool.Changes(512)) > 0 {
	}
	return l
}

// BenchmarkDecide reports the time of one decision round of 40 placements and its 99th percentile.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 17_000} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			l := newLoad(workers)
			var took []time.Duration
			placed := 0
			for b.Loop() {
				begin := time.Now()
				placed += l.round()
				took = append(took, time.Since(begin))
			}
			slices.Sort(took)
			var sum time.Duration
			for _, d := range took {
				sum += d
			}
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us/round")
			b.ReportMetric(float64(sum.Nanoseconds())/float64(max(placed, 1)), "ns/placement")
		})
	}
}

// Guards against a cost of one placement that grows with the number of workers, by workers looked at and allocations.
func TestPlacementCostDoesNotGrow(t *testing.T) {
	measure := func(workers int) (float64, float64) {
		l := newLoad(workers)
		before, placed := l.pool.Examined(), 0
		const rounds = 200
		allocs := testing.AllocsPerRun(rounds, func() { placed += l.round() })
		return float64(l.pool.Examined()-before) / float64(placed), allocs * (rounds + 1) / float64(placed)
	}
	looked, allocs := measure(50)
	for _, workers := range []int{500, 5_000, 17_000} {
		gotLooked, gotAllocs := measure(workers)
		t.Logf("%d workers: %.1f looked at, %.1f allocations a placement; at 50 workers %.1f and %.1f", workers, gotLooked, gotAllocs, looked, allocs)
		if gotLooked > 2*looked || gotAllocs > 2*allocs {
			t.Errorf("%d workers: cost of a placement is more than twice that at 50 workers", workers)
		}
	}
}

// Guards against a wave of cancellations whose cost for one task grows with the number of jobs, or that stops
// placement: the same number of cancellations costs as many allocations with ten times the jobs in the pool.
func TestCancellationCostDoesNotGrow(t *testing.T) {
	measure := func(jobs int) float64 {
		l := newLoad(1_000)
		first := l.jobs
		for range jobs {
			l.submit(1)
		}
		n := first
		return testing.AllocsPerRun(5, func() {
			for range 1_000 {
				n++
				l.pool.Cancel(fmt.Sprintf("j%d", n))
			}
			l.now = l.now.Add(time.Millisecond)
			l.pool.Decide(l.now, 512)
			l.pool.Stops()
			l.pool.Needs()
			l.pool.Status()
			l.pool.Changes(64)
		})
	}
	few, many := measure(6_000), measure(60_000)
	t.Logf("1,000 cancellations: %.0f allocations with 6,000 jobs, %.0f with 60,000", few, many)
	if many > 2*few {
		t.Errorf("1,000 cancellations cost %.0f allocations with 60,000 jobs, want at most twice %.0f", many, few)
	}
}

// Guards against cancelled tasks that are never told to stop, that are told twice at once, or that go on waiting.
func TestCancelledWaveIsStopped(t *testing.T) {
	l := newLoad(2_000)
	running := len(l.starts)
	for i := range l.jobs {
		l.pool.Cancel("j" + strconv.Itoa(i+1))
	}
	told := make(map[fold.TaskID]bool)
	for {
		stops := l.pool.Stops()
		if len(stops) == 0 {
			break
		}
		for _, s := range stops {
			if told[s.Task] {
				t.Fatalf("task %s was told twice", s.Task)
			}
			told[s.Task] = true
		}
	}
	if len(told) != running {
		t.Errorf("%d tasks were told to stop, want %d", len(told), running)
	}
	if s := l.pool.Status(); s.Waiting != 0 {
		t.Errorf("%d tasks of cancelled jobs wait", s.Waiting)
	}
}

func BenchmarkCancel(b *testing.B) {
	for _, jobs := range []int{1_000, 50_000} {
		b.Run(strconv.Itoa(jobs), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				l := newLoad(500)
				first := l.jobs
				for range jobs {
					l.submit(1)
				}
				b.StartTimer()
				for i := range jobs {
					l.pool.Cancel("j" + strconv.Itoa(first+i+1))
				}
				l.pool.Decide(l.now, 512)
				l.pool.Stops()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*jobs), "ns/cancelled")
		})
	}
}
