package bench

import (
	"math/rand/v2"
	"slices"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/plain"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/spec"
)

// Scheduler is implemented by the scheduler of a pool and by the plain policies.
type Scheduler interface {
	// Submit adds a job.
	Submit(now fold.Instant, job fold.Job)
	// Observe reports the ends of tasks on a worker.
	Observe(now fold.Instant, worker string, events []fold.TaskEvent)
	// Confirm reports the answers of a worker to starts.
	Confirm(worker string, results []fold.StartResult)
	// Decide returns at most limit starts, or more if the last of them belong to one gang.
	Decide(now fold.Instant, limit int) []sched.Start
	// Stops returns the tasks that the workers must stop.
	Stops() []sched.Stop
}

var (
	_ Scheduler = &sched.Pool{}
	_ Scheduler = &plain.Queue{}
)

// Policy is a scheduling policy and the constructor of a scheduler that applies it.
type Policy struct {
	Name string
	New  func(workers []place.Worker, teams []sched.Team) Scheduler
}

// PoolScheduler returns the scheduler of a pool with the given weights.
func PoolScheduler(weights spec.Policy) Policy {
	return Policy{Name: "ours", New: func(workers []place.Worker, teams []sched.Team) Scheduler {
		p := sched.New("bench")
		p.SetPolicy(weights)
		for _, w := range workers {
			p.Adopt(0, w, fold.Adoption{Capacity: w.Capacity})
		}
		for _, t := range teams {
			p.SetTeam(t)
		}
		return p
	}}
}

// Baselines returns the plain policies. The seed is for the one that chooses workers at random.
func Baselines(seed uint64) []Policy {
	queue := func(name string, pick plain.Pick, strict bool) Policy {
		return Policy{Name: name, New: func(workers []place.Worker, _ []sched.Team) Scheduler {
			return plain.New(pick, strict, slices.Clone(workers))
		}}
	}
	return []Policy{
		queue("random", plain.Random(rand.New(rand.NewPCG(seed, 1))), false),
		queue("least loaded", plain.LeastLoaded, false),
		queue("first fit", plain.FirstFit, false),
		queue("fifo", plain.FirstFit, true),
	}
}
