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

var largeAllotment = fold.Resources{CPU: 1 << 40, Memory: 1 << 40, Accel: 1 << 30}

// newPool returns a pool of adopted workers with 64 cores, 8 to a rack, and teams with large allotments.
func newPool(workers int) *sched.Pool {
	p := sched.New("a0")
	for i := range workers {
		p.Adopt(0, place.Worker{Name: "w" + strconv.Itoa(i), Domain: "a", Rack: "r" + strconv.Itoa(i/8)},
			fold.Adoption{Capacity: fold.Resources{CPU: 64_000, Memory: 131_072}})
	}
	for i := range teams {
		p.SetTeam(sched.Team{Name: "t" + strconv.Itoa(i), Weight: 1 + i%3, Allotment: largeAllotment})
	}
	return p
}

// jobStream submits batch jobs whose tasks end in the order in which they started.
type jobStream struct {
	pool      *sched.Pool
	rng       *rand.Rand
	now       fold.Instant
	submitted int
	running   []sched.Start
}

func (l *jobStream) submit(count int) {
	l.submitted++
	l.pool.Submit(l.now, fold.Job{
		ID: "j" + strconv.Itoa(l.submitted), Team: "t" + strconv.Itoa(l.submitted%teams), Kind: fold.Batch, Count: count, Duration: 10_000,
		Idempotent: true, Resources: fold.Resources{CPU: 500 * (1 + l.rng.Int64N(15)), Memory: 512 * (1 + l.rng.Int64N(31))},
	})
}

func (l *jobStream) decide(limit int) []sched.Start {
	starts := l.pool.Decide(l.now, limit)
	l.running = append(l.running, starts...)
	for _, s := range starts {
		l.pool.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Started: true}})
	}
	return starts
}

func (l *jobStream) endTasks(count int) {
	for _, s := range l.running[:min(count, len(l.running))] {
		l.pool.Observe(l.now, s.Worker, []fold.TaskEvent{{Task: s.Task.Task, Attempt: s.Task.Attempt, State: fold.Done, Ran: 10_000}})
	}
	l.running = l.running[min(count, len(l.running)):]
}

// round simulates 20 ms at 2,000 placements a second and returns the number of placements.
func (l *jobStream) round() int {
	l.now = l.now.Add(20 * time.Millisecond)
	for range 4 {
		l.submit(10)
	}
	l.endTasks(40)
	n := len(l.decide(512))
	for _, c := range l.pool.Changes(512) {
		l.pool.Forget(c.Status.Job.ID)
	}
	return n
}

// newJobStream returns a stream whose pool has about 0.8 of its cores in use.
func newJobStream(workers int) *jobStream {
	l := &jobStream{pool: newPool(workers), rng: rand.New(rand.NewPCG(3, 4))}
	for range workers {
		l.submit(12)
	}
	for len(l.decide(512)) > 0 {
	}
	for len(l.pool.Changes(512)) > 0 {
	}
	return l
}

// BenchmarkDecide reports the time for one placement and the 99th percentile of decision rounds with 40 placements.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 17_000} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			l := newJobStream(workers)
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

// Guards against a placement whose cost grows with the number of workers, counted in examined workers and allocations.
func TestPlacementCostDoesNotGrow(t *testing.T) {
	measure := func(workers int) (float64, float64) {
		l := newJobStream(workers)
		before, placed := l.pool.Examined(), 0
		const rounds = 200
		allocs := testing.AllocsPerRun(rounds, func() { placed += l.round() })
		return float64(l.pool.Examined()-before) / float64(placed), allocs * (rounds + 1) / float64(placed)
	}
	examined, allocs := measure(50)
	for _, workers := range []int{500, 5_000, 17_000} {
		gotExamined, gotAllocs := measure(workers)
		t.Logf("%d workers: %.1f workers examined and %.1f allocations per placement; at 50 workers %.1f and %.1f", workers, gotExamined, gotAllocs, examined, allocs)
		if gotExamined > 2*examined || gotAllocs > 2*allocs {
			t.Errorf("%d workers: cost of a placement is more than twice that at 50 workers", workers)
		}
	}
}

// Guards against a cancellation whose cost grows with the number of jobs in the pool. With ten times the jobs, the same
// cancellations may need at most twice the allocations.
func TestCancellationCostDoesNotGrow(t *testing.T) {
	measure := func(jobs int) float64 {
		l := newJobStream(1_000)
		first := l.submitted
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

// Guards against tasks of cancelled jobs for which no stop is returned, for which two are returned at once, or that still
// wait.
func TestCancelledWaveIsStopped(t *testing.T) {
	l := newJobStream(2_000)
	running := len(l.running)
	for i := range l.submitted {
		l.pool.Cancel("j" + strconv.Itoa(i+1))
	}
	stopped := make(map[fold.TaskID]bool)
	for {
		stops := l.pool.Stops()
		if len(stops) == 0 {
			break
		}
		for _, s := range stops {
			if stopped[s.Task] {
				t.Fatalf("two stops of task %s were returned at once", s.Task)
			}
			stopped[s.Task] = true
		}
	}
	if len(stopped) != running {
		t.Errorf("stops of %d tasks were returned, want %d", len(stopped), running)
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
				l := newJobStream(500)
				first := l.submitted
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
