package core_test

import (
	"cmp"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// unevenPool simulates hosts of uneven speed in virtual time.
type unevenPool struct {
	*fixture
	rand *rand.Rand
	// speeds holds the speed of each host, by id.
	speeds map[string]float64
	// spread is the standard deviation of the logarithm of run times within a step.
	spread float64
	// stragglers is the share of tasks that take seven times as long.
	stragglers float64
	// load multiplies the arrival rates of a mixed load. copies lets its batch steps have copies.
	load   float64
	copies bool
	// steps and errors hold each step and the ratio of its run times to the estimate, by name.
	steps  map[string]flow.Step
	errors map[string]float64
	// starts holds the hosts of the runs of each step.
	starts  map[string][]string
	running []unevenRun
	// lastEnd is the number of the last end of each host.
	lastEnd map[string]int64
	// order is a hash of all starts and stops.
	order hash.Hash64
	jobs  int
	ticks int
}

type unevenRun struct {
	began, at fold.Instant
	host      fold.Host
	task      string
	run       int
}

func newUnevenPool(t testing.TB, seed uint64, speeds ...float64) *unevenPool {
	t.Helper()
	p := &unevenPool{
		rand: rand.New(rand.NewPCG(seed, seed)), speeds: make(map[string]float64), steps: make(map[string]flow.Step), errors: make(map[string]float64),
		starts: make(map[string][]string), lastEnd: make(map[string]int64), order: fnv.New64a(), spread: 0.4, load: 1,
	}
	var hosts []fold.Host
	for n, speed := range speeds {
		h := host(fmt.Sprintf("host-%02d", n), 16000)
		p.speeds[h.ID] = speed
		hosts = append(hosts, h)
	}
	p.fixture = newFixture(t, fold.Rules{}, hosts...)
	return p
}

// thirds returns the speeds of n hosts, a third of each speed.
func thirds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = []float64{0.8, 1, 1.25}[i%3]
	}
	return speeds
}

// add submits a job whose run times are the given multiple of the estimate, which is the same for all steps.
func (p *unevenPool) add(q fold.Queue, ratio float64, steps ...flow.Step) string {
	p.jobs++
	name := fmt.Sprintf("%016x", p.jobs)
	p.steps[name], p.errors[name] = steps[0], ratio
	p.cell.AddJob(flow.Job{ID: name, Team: "crews", Queue: q, Accepted: p.wall, Steps: steps}, 1)
	return name
}

// tick advances the time, reports the ends that are due and carries out the orders of a round of decisions.
func (p *unevenPool) tick(d time.Duration) {
	p.advance(d)
	slices.SortStableFunc(p.running, func(a, b unevenRun) int { return cmp.Compare(a.at, b.at) })
	for len(p.running) > 0 && p.running[0].at <= p.now {
		r := p.running[0]
		p.running = p.running[1:]
		p.end(r, fold.EndDone)
	}
	if p.ticks++; p.ticks%reportTicks == 0 {
		for _, h := range p.hosts {
			p.report(h, p.runsOn(h), nil)
		}
	}
	orders := p.decide()
	for _, s := range orders.Starts {
		name, _, _ := strings.Cut(s.Req.Task, ".")
		step := p.steps[name]
		if !step.Copies && slices.ContainsFunc(p.running, func(r unevenRun) bool { return r.task == s.Req.Task }) {
			p.t.Errorf("%s runs twice, and its step allows no copies", s.Req.Task)
		}
		took := float64(step.Estimate) * p.errors[name] * math.Exp(p.spread*p.rand.NormFloat64()) / p.speeds[s.Host.ID]
		if p.rand.Float64() < p.stragglers {
			took *= 7
		}
		p.starts[name] = append(p.starts[name], s.Host.ID)
		p.running = append(p.running, unevenRun{began: p.now, at: p.now.Add(time.Duration(math.Round(took)) * time.Millisecond), host: s.Host, task: s.Req.Task, run: s.Req.Run})
		_, _ = fmt.Fprintln(p.order, p.wall, s.Req.Task, s.Req.Run, s.Host.ID)
	}
	for _, s := range orders.Stops {
		at := slices.IndexFunc(p.running, func(r unevenRun) bool { return r.task == s.Task && r.run == s.Run })
		_, _ = fmt.Fprintln(p.order, p.wall, "stop", s.Task, s.Run)
		if at >= 0 {
			r := p.running[at]
			p.running = slices.Delete(p.running, at, at+1)
			p.end(r, fold.EndStopped)
		}
	}
}

func (p *unevenPool) end(r unevenRun, kind fold.EndKind) {
	p.lastEnd[r.host.ID]++
	p.report(r.host, p.runsOn(r.host), []fold.HostEnd{{Number: p.lastEnd[r.host.ID], Task: r.task, Run: r.run, Kind: kind}})
}

// runsOn returns the runs on a host with their progress.
func (p *unevenPool) runsOn(h fold.Host) []fold.HostRun {
	var runs []fold.HostRun
	for _, r := range p.running {
		if r.host.ID == h.ID {
			runs = append(runs, fold.HostRun{Task: r.task, Run: r.run, Percent: int(100 * p.now.Sub(r.began) / max(1, r.at.Sub(r.began)))})
		}
	}
	return runs
}

const (
	// reportTicks is the number of ticks between reports of a host.
	reportTicks = 40
	// mixedTick is the time between two rounds of decisions of a simulated pool.
	mixedTick = 10 * time.Millisecond
	// mixedLearning is the part of a mixed load that is not counted.
	mixedLearning = 30 * time.Second
)

// runMixed runs wide urgent steps that use half of the processors and batch steps that use a sixth. It returns the share of
// the urgent and of the batch tasks that start on hosts below speed 1, after a time of learning.
func (p *unevenPool) runMixed(length time.Duration) (urgent, batch float64) {
	urgentQueue, batchQueue := queue(0), queue(2)
	urgentQueue.Name, batchQueue.Name, batchQueue.SlackFactor = "urgent", "batch", 4
	cores := float64(16 * len(p.hosts))
	urgentEvery := time.Duration(10 * 2 * 0.64 / (cores * 0.5 * p.load) * float64(time.Second))
	batchEvery := time.Duration(17 * 3 * 4.8 / (cores / 6 * p.load) * float64(time.Second))
	var counted [2][]string
	began := p.now
	nextUrgent, nextBatch := p.now, p.now
	for p.now.Sub(began) < length {
		late := p.now.Sub(began) > mixedLearning
		for ; nextUrgent <= p.now; nextUrgent = nextUrgent.Add(urgentEvery) {
			name := p.add(urgentQueue, 0.5+p.rand.Float64(), flow.Step{Count: 10, Size: fold.Resources{CPU: 2000, Memory: 10}, Estimate: 640})
			if late {
				counted[0] = append(counted[0], name)
			}
		}
		for ; nextBatch <= p.now; nextBatch = nextBatch.Add(batchEvery) {
			name := p.add(batchQueue, 0.5+p.rand.Float64(), flow.Step{Count: 17, Size: fold.Resources{CPU: 3000, Memory: 10}, Estimate: 4800, Checkpoints: true, Copies: p.copies})
			if late {
				counted[1] = append(counted[1], name)
			}
		}
		p.tick(mixedTick)
	}
	var shares [2]float64
	for kind, names := range counted {
		slow, all := 0, 0
		for _, name := range names {
			for _, h := range p.starts[name] {
				all++
				if p.speeds[h] < 1 {
					slow++
				}
			}
		}
		shares[kind] = float64(slow) / float64(all)
	}
	return shares[0], shares[1]
}
