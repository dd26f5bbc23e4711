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

// maker draws the jobs of a mix.
type maker struct {
	rng  *rand.Rand
	load Load
	jobs int
}

func newMaker(seed uint64, workers int, capacity fold.Resources, shares []int) *maker {
	m := &maker{rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range workers {
		m.load.Nodes = append(m.load.Nodes, place.Worker{
			Name: "w" + strconv.Itoa(i), Domain: "a", Rack: "r" + strconv.Itoa(i/8), Capacity: capacity,
		})
	}
	all := capacity.Times(int64(workers))
	for i, share := range shares {
		m.load.Teams = append(m.load.Teams, sched.Team{Name: "t" + strconv.Itoa(i), Weight: share, Allotment: all})
	}
	return m
}

// add adds a job whose declared run time is off from the real ones.
func (m *maker) add(at fold.Instant, j fold.Job, median time.Duration, sigma float64) time.Duration {
	m.jobs++
	j.ID = "j" + strconv.Itoa(m.jobs)
	j.Idempotent = true
	if j.Team == "" {
		j.Team = m.load.Teams[m.rng.IntN(len(m.load.Teams))].Name
	}
	a := Arrival{At: at, Job: j, Runs: make([]time.Duration, j.Count)}
	var sum time.Duration
	if median > 0 {
		typical := time.Duration(float64(median) * math.Exp(sigma*m.rng.NormFloat64()))
		// Callers declare between half and three times the typical run time.
		a.Job.Duration = max(1, int64(float64(typical.Milliseconds())*(0.5+2.5*m.rng.Float64())))
		for i := range a.Runs {
			a.Runs[i] = max(10*time.Millisecond, time.Duration(float64(typical)*math.Exp(0.3*m.rng.NormFloat64())))
			sum += a.Runs[i]
		}
	}
	m.load.Arrivals = append(m.load.Arrivals, a)
	return sum
}

// around draws a size near the given one in cores and GiB.
func (m *maker) around(cores, gib float64, step int64) fold.Resources {
	vary := func() float64 { return math.Exp(0.25 * m.rng.NormFloat64()) }
	return fold.Resources{
		CPU:    max(step, int64(cores*1000*vary())/step*step),
		Memory: max(256, int64(gib*1024*vary())/256*256),
	}
}

// Policies of the two users: Centinela weighs waiting time most, Ker Roz share fairness and packing.
var (
	CentinelaPolicy = spec.Policy{Waiting: 0.6, Packing: 0.2, Fairness: 0.2}
	KerRozPolicy    = spec.Policy{Waiting: 0.2, Packing: 0.4, Fairness: 0.4}
)

// Centinela is the mix of the planning cell at a part of its cores: watchers and planning services, arrays of short
// batch tasks, large tasks, gangs and some urgent tasks.
func Centinela(seed uint64, part float64, end time.Duration) Load {
	m := newMaker(seed, 50, fold.Resources{CPU: 64_000, Memory: 131_072}, []int{3, 2, 2, 1, 1, 1})
	cores := 50 * 64.0
	m.add(0, fold.Job{Kind: fold.Service, Count: 200, Resources: fold.Resources{CPU: 1_000, Memory: 2_048}}, 0, 0)
	m.add(0, fold.Job{Kind: fold.Service, Count: 50, Resources: fold.Resources{CPU: 8_000, Memory: 12_288}}, 0, 0)
	rate := cores*part - 200 - 400
	m.load.Warm, m.load.End = 60*second, fold.Instant(end)
	m.stream(rate, map[string]float64{"batch": 0.66, "large": 0.16, "gang": 0.16, "urgent": 0.02})
	return m.load
}

// stream adds Poisson arrivals that use the given cores on average, divided over kinds of jobs.
func (m *maker) stream(cores float64, parts map[string]float64) {
	for _, kind := range []string{"batch", "large", "gang", "urgent"} {
		work := 0.0
		for goal := cores * parts[kind] * time.Duration(m.load.End).Seconds(); work < goal; {
			at := fold.Instant(m.rng.Float64() * float64(m.load.End))
			j := fold.Job{Kind: fold.Batch, Count: 1}
			median, sigma := 8*time.Second, 0.8
			switch kind {
			case "batch":
				j.Count = 1 + int(m.rng.ExpFloat64()*12)
				j.Resources = m.around(float64(int(1)<<m.rng.IntN(3)), float64(int(2)<<m.rng.IntN(3)), 250)
			case "large":
				j.Resources = m.around(32, 48, 1000).Min(fold.Resources{CPU: 60_000, Memory: 122_880})
				median = 15 * time.Second
			case "gang":
				j.Kind = fold.Gang
				j.Count = 8 + m.rng.IntN(17)
				j.Resources = m.around(8, 12, 1000).Min(fold.Resources{CPU: 16_000, Memory: 32_768})
				median = 15 * time.Second
			default:
				j.Priority = fold.UrgentPriority
				j.Resources = m.around(2, 2, 250)
				median = 2 * time.Second
			}
			work += float64(j.Resources.CPU) / 1000 * m.add(at, j, median, sigma).Seconds()
		}
	}
	m.sort()
}

func (m *maker) sort() {
	slices.SortStableFunc(m.load.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range m.load.Arrivals {
		m.load.Arrivals[i].Job.Accepted = time.Duration(m.load.Arrivals[i].At).Milliseconds()
	}
}

// KerRoz is a backlog of the photo cell that lasts for the whole time: thumbnails that need cores, panoramas that need
// memory, and storefront services; the teams have weights 3, 2 and 1.
func KerRoz(seed uint64, end time.Duration) Load {
	m := newMaker(seed, 50, fold.Resources{CPU: 16_000, Memory: 32_768}, []int{3, 2, 1})
	m.load.Warm, m.load.End = 30*second, fold.Instant(end)
	m.add(0, fold.Job{Kind: fold.Service, Count: 30, Resources: fold.Resources{CPU: 1_000, Memory: 2_048}, Team: "t0"}, 0, 0)
	for _, t := range m.load.Teams {
		m.backlog(t.Name, 50*16*1.5*float64(t.Weight)/6)
	}
	m.sort()
	return m.load
}

// backlog adds work of a team that would use the given cores for the whole time.
func (m *maker) backlog(team string, cores float64) {
	work := 0.0
	for goal := cores * time.Duration(m.load.End).Seconds(); work < goal; {
		at := fold.Instant(0)
		if work > goal/8 {
			at = fold.Instant(m.rng.Float64() * float64(m.load.End) * work / goal)
		}
		j := fold.Job{Kind: fold.Batch, Count: 1 + int(m.rng.ExpFloat64()*20), Team: team}
		switch m.rng.IntN(4) {
		case 0:
			j.Resources = m.around(3, 2, 250)
		case 1:
			j.Resources = m.around(1, 4, 250)
		case 2:
			j.Resources = m.around(5, 10, 250).Min(fold.Resources{CPU: 16_000, Memory: 32_768})
		default:
			j.Resources = m.around(1, 2, 250)
		}
		work += float64(j.Resources.CPU) / 1000 * m.add(at, j, 6*time.Second, 0.6).Seconds()
	}
}

// Accelerated is a backlog on 50 workers of which every fifth has 4 accelerators: work that needs one or two of them,
// and work that needs none.
func Accelerated(seed uint64, end time.Duration) Load {
	m := newMaker(seed, 50, fold.Resources{CPU: 32_000, Memory: 65_536}, []int{1, 1})
	for i := range m.load.Nodes {
		if i%5 == 0 {
			m.load.Nodes[i].Capacity.Accel = 4
		}
	}
	for i := range m.load.Teams {
		m.load.Teams[i].Allotment.Accel = 50 / 5 * 4
	}
	m.load.Warm, m.load.End = 30*second, fold.Instant(end)
	m.backlog("t0", 50*32*0.7)
	m.accelerated("t1", 50/5*4*1.5)
	m.sort()
	return m.load
}

// accelerated adds work of a team that would use the given number of accelerators for the whole time.
func (m *maker) accelerated(team string, accels float64) {
	work := 0.0
	for goal := accels * time.Duration(m.load.End).Seconds(); work < goal; {
		at := fold.Instant(0)
		if work > goal/8 {
			at = fold.Instant(m.rng.Float64() * float64(m.load.End) * work / goal)
		}
		j := fold.Job{Kind: fold.Batch, Count: 1 + m.rng.IntN(4), Team: team, Resources: m.around(4, 8, 250)}
		j.Resources.Accel = 1 + m.rng.Int64N(2)
		work += float64(j.Resources.Accel) * m.add(at, j, 10*time.Second, 0.6).Seconds()
	}
}
