package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/spec"
)

const second = fold.Instant(time.Second)

// generator draws the jobs of a workload at random.
type generator struct {
	rng      *rand.Rand
	workload Workload
	jobs     int
}

func newGenerator(seed uint64, workers int, capacity fold.Resources, shares []int) *generator {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range workers {
		g.workload.Workers = append(g.workload.Workers, place.Worker{
			Name: "w" + strconv.Itoa(i), Domain: "a", Rack: "r" + strconv.Itoa(i/8), Capacity: capacity,
		})
	}
	total := capacity.Times(int64(workers))
	for i, share := range shares {
		g.workload.Teams = append(g.workload.Teams, sched.Team{Name: "t" + strconv.Itoa(i), Weight: share, Allotment: total})
	}
	return g
}

// addJob adds a job whose declared duration deviates from the real run times of its tasks. It returns the sum of the run
// times. With a median of 0 the tasks run until they are stopped.
func (g *generator) addJob(at fold.Instant, j fold.Job, median time.Duration, sigma float64) time.Duration {
	g.jobs++
	j.ID = "j" + strconv.Itoa(g.jobs)
	j.Idempotent = true
	if j.Team == "" {
		j.Team = g.workload.Teams[g.rng.IntN(len(g.workload.Teams))].Name
	}
	a := Arrival{At: at, Job: j, RunTimes: make([]time.Duration, j.Count)}
	var sum time.Duration
	if median > 0 {
		typical := time.Duration(float64(median) * math.Exp(sigma*g.rng.NormFloat64()))
		// Callers declare between half and three times the typical run time.
		a.Job.Duration = max(1, int64(float64(typical.Milliseconds())*(0.5+2.5*g.rng.Float64())))
		for i := range a.RunTimes {
			a.RunTimes[i] = max(10*time.Millisecond, time.Duration(float64(typical)*math.Exp(0.3*g.rng.NormFloat64())))
			sum += a.RunTimes[i]
		}
	}
	g.workload.Arrivals = append(g.workload.Arrivals, a)
	return sum
}

// randomSize draws a size near the given cores and GiB. The CPU is a multiple of step thousandths of a core.
func (g *generator) randomSize(cores, gib float64, step int64) fold.Resources {
	vary := func() float64 { return math.Exp(0.25 * g.rng.NormFloat64()) }
	return fold.Resources{
		CPU:    max(step, int64(cores*1000*vary())/step*step),
		Memory: max(256, int64(gib*1024*vary())/256*256),
	}
}

// Policies of the two users. Centinela gives waiting time the largest weight, Ker Roz fairness and packing.
var (
	PlanningPolicy = spec.Policy{Waiting: 0.6, Packing: 0.2, Fairness: 0.2}
	PhotoPolicy    = spec.Policy{Waiting: 0.2, Packing: 0.4, Fairness: 0.4}
)

// PlanningWorkload returns the workload of Centinela's planning cell at the given utilisation of its cores: watchers and
// planning services, arrays of short batch tasks, large tasks, gangs and a few urgent tasks.
func PlanningWorkload(seed uint64, utilisation float64, end time.Duration) Workload {
	g := newGenerator(seed, 50, fold.Resources{CPU: 64_000, Memory: 131_072}, []int{3, 2, 2, 1, 1, 1})
	cores := 50 * 64.0
	g.addJob(0, fold.Job{Kind: fold.Service, Count: 200, Resources: fold.Resources{CPU: 1_000, Memory: 2_048}}, 0, 0)
	g.addJob(0, fold.Job{Kind: fold.Service, Count: 50, Resources: fold.Resources{CPU: 8_000, Memory: 12_288}}, 0, 0)
	coresForJobs := cores*utilisation - 200 - 400
	g.workload.WarmupEnd, g.workload.End = 60*second, fold.Instant(end)
	g.addArrivals(coresForJobs, map[string]float64{"batch": 0.66, "large": 0.16, "gang": 0.16, "urgent": 0.02})
	return g.workload
}

// addArrivals adds Poisson arrivals that use the given cores on average. The shares divide the cores among kinds of jobs.
func (g *generator) addArrivals(cores float64, shares map[string]float64) {
	for _, kind := range []string{"batch", "large", "gang", "urgent"} {
		work := 0.0
		for goal := cores * shares[kind] * time.Duration(g.workload.End).Seconds(); work < goal; {
			at := fold.Instant(g.rng.Float64() * float64(g.workload.End))
			j := fold.Job{Kind: fold.Batch, Count: 1}
			median, sigma := 8*time.Second, 0.8
			switch kind {
			case "batch":
				j.Count = 1 + int(g.rng.ExpFloat64()*12)
				j.Resources = g.randomSize(float64(int(1)<<g.rng.IntN(3)), float64(int(2)<<g.rng.IntN(3)), 250)
			case "large":
				j.Resources = g.randomSize(32, 48, 1000).Min(fold.Resources{CPU: 60_000, Memory: 122_880})
				median = 15 * time.Second
			case "gang":
				j.Kind = fold.Gang
				j.Count = 8 + g.rng.IntN(17)
				j.Resources = g.randomSize(8, 12, 1000).Min(fold.Resources{CPU: 16_000, Memory: 32_768})
				median = 15 * time.Second
			default:
				j.Priority = fold.UrgentPriority
				j.Resources = g.randomSize(2, 2, 250)
				median = 2 * time.Second
			}
			work += float64(j.Resources.CPU) / 1000 * g.addJob(at, j, median, sigma).Seconds()
		}
	}
	g.sortArrivals()
}

func (g *generator) sortArrivals() {
	slices.SortStableFunc(g.workload.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range g.workload.Arrivals {
		g.workload.Arrivals[i].Job.Accepted = time.Duration(g.workload.Arrivals[i].At).Milliseconds()
	}
}

// PhotoWorkload returns a backlog of Ker Roz's photo cell that lasts until the end: thumbnails, which need cores, panoramas,
// which need memory, and storefront services. The teams have weights 3, 2 and 1.
func PhotoWorkload(seed uint64, end time.Duration) Workload {
	g := newGenerator(seed, 50, fold.Resources{CPU: 16_000, Memory: 32_768}, []int{3, 2, 1})
	g.workload.WarmupEnd, g.workload.End = 30*second, fold.Instant(end)
	g.addJob(0, fold.Job{Kind: fold.Service, Count: 30, Resources: fold.Resources{CPU: 1_000, Memory: 2_048}, Team: "t0"}, 0, 0)
	for _, t := range g.workload.Teams {
		g.addBacklog(t.Name, 50*16*1.5*float64(t.Weight)/6)
	}
	g.sortArrivals()
	return g.workload
}

// addBacklog adds jobs of a team that would use the given cores for the whole time. The first eighth of the work arrives at
// the start; a later job arrives at a random time before the work added so far would be used up.
func (g *generator) addBacklog(team string, cores float64) {
	work := 0.0
	for goal := cores * time.Duration(g.workload.End).Seconds(); work < goal; {
		at := fold.Instant(0)
		if work > goal/8 {
			at = fold.Instant(g.rng.Float64() * float64(g.workload.End) * work / goal)
		}
		j := fold.Job{Kind: fold.Batch, Count: 1 + int(g.rng.ExpFloat64()*20), Team: team}
		switch g.rng.IntN(4) {
		case 0:
			j.Resources = g.randomSize(3, 2, 250)
		case 1:
			j.Resources = g.randomSize(1, 4, 250)
		case 2:
			j.Resources = g.randomSize(5, 10, 250).Min(fold.Resources{CPU: 16_000, Memory: 32_768})
		default:
			j.Resources = g.randomSize(1, 2, 250)
		}
		work += float64(j.Resources.CPU) / 1000 * g.addJob(at, j, 6*time.Second, 0.6).Seconds()
	}
}

// AcceleratorWorkload returns a backlog for 50 workers, of which every fifth has 4 accelerators. Some tasks need one or two
// accelerators, the others none.
func AcceleratorWorkload(seed uint64, end time.Duration) Workload {
	g := newGenerator(seed, 50, fold.Resources{CPU: 32_000, Memory: 65_536}, []int{1, 1})
	for i := range g.workload.Workers {
		if i%5 == 0 {
			g.workload.Workers[i].Capacity.Accel = 4
		}
	}
	for i := range g.workload.Teams {
		g.workload.Teams[i].Allotment.Accel = 50 / 5 * 4
	}
	g.workload.WarmupEnd, g.workload.End = 30*second, fold.Instant(end)
	g.addBacklog("t0", 50*32*0.7)
	g.addAcceleratorBacklog("t1", 50/5*4*1.5)
	g.sortArrivals()
	return g.workload
}

// addAcceleratorBacklog adds jobs of a team that would use the given number of accelerators for the whole time. Arrival times
// are as in addBacklog.
func (g *generator) addAcceleratorBacklog(team string, accels float64) {
	work := 0.0
	for goal := accels * time.Duration(g.workload.End).Seconds(); work < goal; {
		at := fold.Instant(0)
		if work > goal/8 {
			at = fold.Instant(g.rng.Float64() * float64(g.workload.End) * work / goal)
		}
		j := fold.Job{Kind: fold.Batch, Count: 1 + g.rng.IntN(4), Team: team, Resources: g.randomSize(4, 8, 250)}
		j.Resources.Accel = 1 + g.rng.Int64N(2)
		work += float64(j.Resources.Accel) * g.addJob(at, j, 10*time.Second, 0.6).Seconds()
	}
}
