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

// Scheduler is what the runner drives: the scheduler of a pool or a plain policy.
type Scheduler interface {
	// Submit adds a job.
	Submit(now fold.Instant, spec fold.Job)
	// Observe tells ends of tasks on a worker.
	Observe(now fold.Instant, worker string, events []fold.TaskEvent)
	// Confirm tells the answers of a worker to starts.
	Confirm(worker string, results []fold.StartResult)
	// Decide returns at most limit starts, more only for a gang.
	Decide(now fold.Instant, limit int) []sched.Start
	// Stops returns tasks to stop.
	Stops() []sched.Stop
}

var (
	_ Scheduler = &sched.Pool{}
	_ Scheduler = &plain.Queue{}
)

// Policy makes a scheduler for workers and teams.
type Policy struct {
	Name string
	New  func(nodes []place.Worker, teams []sched.Team) Scheduler
}

// Ours is the scheduler of a pool under a policy.
func Ours(policy spec.Policy) Policy {
	return Policy{Name: "ours", New: func(nodes []place.Worker, teams []sched.Team) Scheduler {
		p := sched.New("bench")
		p.SetPolicy(policy)
		for _, n := range nodes {
			p.Adopt(0, n, fold.Adoption{Capacity: n.Capacity})
		}
		for _, t := range teams {
			p.SetTeam(t)
		}
		return p
	}}
}

// Baselines are the plain policies; the seed is that of the random one.
func Baselines(seed uint64) []Policy {
	queue := func(name string, pick plain.Pick, strict bool) Policy {
		return Policy{Name: name, New: func(nodes []place.Worker, _ []sched.Team) Scheduler {
			return plain.New(pick, strict, slices.Clone(nodes))
		}}
	}
	return []Policy{
		queue("random", plain.Random(rand.New(rand.NewPCG(seed, 1))), false),
		queue("least loaded", plain.LeastLoaded, false),
		queue("first fit", plain.FirstFit, false),
		queue("fifo", plain.FirstFit, true),
	}
}
