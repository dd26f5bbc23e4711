package model

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// World is a day that is being played.
type World struct {
	day     Day
	random  *rand.Rand
	log     hclog.Logger
	now     fold.Instant
	start   fold.Instant
	agenda  agenda
	entered int

	hosts  []*host
	jobs   []*jobTruth
	byID   map[string]*jobTruth
	truths map[string]*truth
	rules  fold.Rules
	// gangs holds the runs of a gang that wait for the others, by step and number.
	gangs map[string][]*run
	store store
	owner *owner
	// late is the share of orders that are carried out late.
	late float64
	// lateOrder says that an order is being carried out late, which rules with a time bound excuse.
	lateOrder bool
	table     bool
	// live says that entries run as processes, whose times are excused while there is trouble.
	live bool

	broken []string
	counts Counts
}

// Counts is what happened on a day.
type Counts struct {
	Jobs, Completed, Failed, Cancelled, Open int
	Starts, Ends                             int
	// Owed and Earned add up what jobs are worth.
	Owed, Earned float64
	// ByClass splits owed and earned.
	ByClass map[string][2]float64
	// Wasted is the work in core-seconds that was not used.
	Wasted float64
}

// jobTruth is what a job really is.
type jobTruth struct {
	world *World
	spec  flow.Job
	class Class
	sent  fold.Instant
	// cancelled is when the wish to cancel became durable.
	cancelled fold.Instant
	// wished says that a caller has tried to cancel the job.
	wished    bool
	hopeless  bool
	objective time.Duration
	size      float64
	shown     flow.State
	shownAt   fold.Instant
	tasks     [][]*truth
	// lasted adds up the shares of tasks at work, of lasted samples.
	lasted, samples float64
}

// Option changes how a day is played.
type Option func(*World)

// WithLog writes the log of the scheduler and of the hosts, in the time of the day.
func WithLog(out io.Writer) Option {
	return func(w *World) {
		w.log = hclog.New(&hclog.LoggerOptions{
			Level: hclog.Debug, Output: out, TimeFormat: "05.000",
			TimeFn: func() time.Time { return time.Unix(0, int64(w.now.Sub(w.start))) },
		})
	}
}

// newWorld returns a day before its first moment, with its rules and without hosts.
func newWorld(d Day) *World {
	w := &World{
		day: d, random: rand.New(rand.NewPCG(d.Seed, 1)), log: hclog.NewNullLogger(), now: fold.Instant(time.Hour), start: fold.Instant(time.Hour),
		byID: make(map[string]*jobTruth), truths: make(map[string]*truth), gangs: make(map[string][]*run), table: true,
		store: store{records: make(map[string]flow.Record), jobs: make(map[string]flow.Job), cancels: make(map[string]bool)},
	}
	w.counts.ByClass = make(map[string][2]float64)
	w.rules = fold.Rules{Revision: 1, Teams: d.Teams}
	for _, c := range d.Classes {
		q := c.Queue
		q.Service = "pool"
		w.rules.Queues = append(w.rules.Queues, q)
	}
	return w
}

// Play plays a day and returns what happened and which promises were broken.
func Play(d Day, opts ...Option) (Counts, []string) {
	w := newWorld(d)
	for _, opt := range opts {
		opt(w)
	}
	w.build()
	for _, f := range d.Faults {
		w.at(f.At, func() { w.strike(f) })
	}
	for i := range d.Classes {
		w.arrive(i)
	}
	w.after(0, w.takeOver)
	w.sample()
	w.play(d.Length + d.Rest)
	w.close()
	return w.counts, w.broken
}

// warmUp is the time before the first job.
const warmUp = 2 * time.Second

func (w *World) build() {
	sizes := []float64{1, 1, 0.5, 2}
	for i := range w.day.Hosts {
		scale := sizes[w.random.IntN(len(sizes))]
		h := &host{
			world: w, up: true, began: w.now, rate: 1 - 0.02*w.random.Float64(), runs: make(map[string]*run), high: make(map[string]int), slow: 1,
			info: fold.Host{
				ID: fmt.Sprintf("h-%03d", i), Address: fmt.Sprintf("h-%03d", i), Incarnation: w.wall(), Service: "pool",
				Labels:   []string{"a", fmt.Sprintf("rack-%d", i*w.day.Racks/w.day.Hosts)},
				Capacity: fold.Resources{CPU: int64(float64(w.day.Size.CPU) * scale), Memory: int64(float64(w.day.Size.Memory) * scale)},
			},
		}
		w.hosts = append(w.hosts, h)
	}
}

// arrive lets the next job of a class come.
func (w *World) arrive(class int) {
	c := w.day.Classes[class]
	t := w.now.Sub(w.start)
	rate := c.Rate
	for _, b := range w.day.Bursts {
		if b.Class == class && t >= b.From && t < b.To {
			rate *= b.Factor
		}
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.after(max(gap, warmUp-t), func() {
		if w.now.Sub(w.start) > w.day.Length {
			return
		}
		w.submit(w.draw(class))
		w.arrive(class)
	})
}

// spread draws from a log-normal distribution around mean.
func (w *World) spread(mean, deviation float64) float64 {
	return mean * math.Exp(w.random.NormFloat64()*deviation-deviation*deviation/2)
}

func (w *World) chance(p float64) bool {
	return w.random.Float64() < p
}

// draw makes a job of a class.
func (w *World) draw(class int) *jobTruth {
	c := w.day.Classes[class]
	j := &jobTruth{world: w, class: c, sent: w.now, shown: flow.Queued, hopeless: w.chance(c.Poison)}
	j.spec = flow.Job{
		ID: fmt.Sprintf("%016x", w.random.Uint64()), Team: w.day.Teams[w.random.IntN(len(w.day.Teams))].Name, Spec: "work",
		Queue: w.rules.Queues[class], Accepted: w.wall(),
	}
	steps := max(1, int(math.Round(w.spread(c.Steps, 0.4))))
	for s := range steps {
		width := min(40, max(1, int(math.Round(w.spread(c.Width, 0.7)))))
		mean := w.spread(float64(c.Work), 0.5)
		step := flow.Step{
			Count: width, Estimate: int64(w.spread(mean, c.Off)) / int64(time.Millisecond),
			Size:        fold.Resources{CPU: int64(min(float64(w.day.Size.CPU)/2, w.spread(float64(c.CPU), 0.45))), Memory: int64(min(float64(w.day.Size.Memory)/2, w.spread(float64(c.Memory), 0.6)))},
			Checkpoints: w.chance(c.Saves), Copies: w.chance(c.Copies), Gang: !c.Lasting && w.chance(c.Gangs), LongRunning: c.Lasting,
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		if w.chance(c.Apart) && !step.Gang {
			step.PerHost = 1 + w.random.IntN(3)
		}
		if step.Gang {
			step.Copies = false
		}
		j.spec.Steps = append(j.spec.Steps, step)
		j.tasks = append(j.tasks, w.drawTasks(j, s, mean))
	}
	w.objective(j)
	w.jobs = append(w.jobs, j)
	w.byID[j.spec.ID] = j
	return j
}

func (w *World) drawTasks(j *jobTruth, step int, mean float64) []*truth {
	s := &j.spec.Steps[step]
	tasks := make([]*truth, s.Count)
	shared := time.Duration(mean)
	for i := range tasks {
		name := flow.TaskName{Job: j.spec.ID, Step: step, Index: i}
		work := time.Duration(w.spread(mean, j.class.Uneven))
		if s.Gang {
			work = shared
		}
		seed := w.random.Uint64()
		errors, hopeless := j.class.Errors, j.hopeless
		tasks[i] = &truth{
			id: name.String(), name: name, job: j, step: s, work: work, live: make(map[*run]bool),
			failing: func(run int) bool {
				return hopeless || rand.New(rand.NewPCG(seed, uint64(run))).Float64() < errors
			},
		}
		w.truths[tasks[i].id] = tasks[i]
		j.size += work.Seconds() * float64(s.Size.CPU) / 1000
	}
	return tasks
}

// objective works out in which time the job should end.
func (w *World) objective(j *jobTruth) {
	ends := time.Duration(0)
	for s := range j.spec.Steps {
		longest := time.Duration(0)
		for _, t := range j.tasks[s] {
			longest = max(longest, t.work)
		}
		ends += longest + w.adviceTime(j, 30)
	}
	j.objective = time.Duration(j.class.Queue.SlackFactor*float64(ends)) + j.class.Queue.Target
}

func (w *World) adviceTime(j *jobTruth, hosts int) time.Duration {
	if j.class.Queue.Advice == nil {
		return 0
	}
	return j.class.Queue.Advice.CallTime + time.Duration(hosts)*j.class.Queue.Advice.TimePerHost
}

// broke notes a promise that was not kept.
func (w *World) broke(rule, format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%.3f s %s: %s", w.now.Sub(w.start).Seconds(), rule, fmt.Sprintf(format, args...)))
}

// Rules returns the names of the rules in the lines of broken promises.
func Rules(broken []string) map[string]int {
	counts := make(map[string]int)
	for _, line := range broken {
		_, rest, _ := strings.Cut(line, " s ")
		rule, _, _ := strings.Cut(rest, ":")
		counts[rule]++
	}
	return counts
}
