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
	"plantainfold.example/fold/lead"
)

// World is the state of a running simulation.
type World struct {
	day          Day
	random       *rand.Rand
	log          hclog.Logger
	now          fold.Instant
	start        fold.Instant
	events       eventHeap
	lastSequence int

	hosts []*host
	jobs  []*jobTruth
	byID  map[string]*jobTruth
	tasks map[string]*taskTruth
	rules fold.Rules
	// hostsByID holds the hosts by id, and teamUse what the runs of each team use, in thousandths of a core.
	hostsByID map[string]*host
	teamUse   map[string]int64
	// gangs holds the runs of each gang, by step and run number.
	gangs map[string][]*run
	store store
	// owner is the one that began its term last. entries are the processes that can own the pool.
	owner   *owner
	entries []*entry
	// faults is the random stream of the faults of entries, so that the other days do not depend on it.
	faults *rand.Rand
	// slowTable is the mean additional time of a message to or from the table.
	slowTable time.Duration
	// pauseTakeover is how long the next entry that takes over is paused, or 0. cutTerm is the cut of the next term from the
	// table, or nil.
	pauseTakeover time.Duration
	cutTerm       *Partition
	// lateShare is the share of orders that are executed late and not answered.
	lateShare float64
	// lateOrder is set while a late order is executed; rules with a time bound do not apply to it.
	lateOrder bool
	tableUp   bool
	// realTime is set if the entries run as processes. Time bounds then do not apply for a while after a fault.
	realTime bool
	// contactFrom is when the last loss of contact ended or will end, as far as this was reported.
	contactFrom fold.Instant

	violations []string
	counts     Counts
}

// Counts sums up the results of a day.
type Counts struct {
	Jobs, Completed, Failed, Cancelled, Open int
	Starts, Ends                             int
	// Possible is the value of all jobs that could be earned, and Earned is the value that was earned.
	Possible, Earned float64
	// ByClass holds Possible and Earned for each class.
	ByClass map[string][2]float64
	// Wasted is the work in core-seconds whose results were not used.
	Wasted float64
}

// jobTruth is the actual state of a job, independent of the owner's view.
type jobTruth struct {
	world     *World
	spec      flow.Job
	class     Class
	submitted fold.Instant
	// cancelled is when the cancellation request became durable.
	cancelled fold.Instant
	// cancelSent is set once a caller has sent a cancellation request, even if it got no answer.
	cancelSent bool
	// idleSince is since when the job has had no run although its steps fit on the hosts, or 0. It is known at the end of a day
	// with several entries.
	idleSince   fold.Instant
	alwaysFails bool
	objective   time.Duration
	size        float64
	shown       flow.State
	shownAt     fold.Instant
	tasks       [][]*taskTruth
	// runningShares adds up the share of running tasks at each sample of a long-running job; samples counts the samples.
	runningShares, samples float64
}

// Option configures Play.
type Option func(*World)

// WithLog writes the log of the scheduler and the hosts, with timestamps relative to the start of the day.
func WithLog(out io.Writer) Option {
	return func(w *World) {
		w.log = hclog.New(&hclog.LoggerOptions{
			Level: hclog.Debug, Output: out, TimeFormat: "05.000",
			TimeFn: func() time.Time { return time.Unix(0, int64(w.now.Sub(w.start))) },
		})
	}
}

// newWorld returns the initial state of a day, with its rules and without hosts.
func newWorld(d Day) *World {
	w := &World{
		day: d, random: rand.New(rand.NewPCG(d.Seed, 1)), log: hclog.NewNullLogger(), now: fold.Instant(time.Hour), start: fold.Instant(time.Hour),
		hostsByID: make(map[string]*host), teamUse: make(map[string]int64), byID: make(map[string]*jobTruth), tasks: make(map[string]*taskTruth), gangs: make(map[string][]*run), tableUp: true,
		store:  store{records: make(map[string]flow.Record), jobs: make(map[string]flow.Job), jobVersions: make(map[string]int64), cancels: make(map[string]bool)},
		faults: rand.New(rand.NewPCG(d.Seed, 2)),
	}
	for i := range max(1, d.Entries) {
		w.entries = append(w.entries, w.newEntry(i))
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

// Play simulates a day and returns its results and the violations of rules.
func Play(d Day, opts ...Option) (Counts, []string) {
	w := newWorld(d)
	for _, opt := range opts {
		opt(w)
	}
	w.build()
	for _, f := range d.Faults {
		w.at(f.At, func() { w.inject(f) })
	}
	for _, p := range d.Partitions {
		w.at(p.At, func() { w.partition(p) })
	}
	for i := range d.Classes {
		w.scheduleArrival(i)
	}
	if d.Entries == 0 {
		w.after(0, w.takeOver)
	} else {
		w.store.row.entry = noEntry
		for _, e := range w.entries {
			e.after(time.Duration(w.faults.Int64N(int64(lead.PollInterval))), e.watch)
		}
	}
	w.sample()
	w.runUntil(d.Length + d.SettleTime)
	w.addTotals()
	return w.counts, w.violations
}

// warmUp is the time before the first job.
const warmUp = 2 * time.Second

func (w *World) build() {
	sizes := []float64{1, 1, 0.5, 2}
	for i := range w.day.Hosts {
		scale := sizes[w.random.IntN(len(sizes))]
		h := &host{
			world: w, up: true, started: w.now, clockRate: 1 - 0.02*w.random.Float64(), runs: make(map[string]*run), highestRun: make(map[string]int), slowdown: 1,
			info: fold.Host{
				ID: fmt.Sprintf("h-%03d", i), Address: fmt.Sprintf("h-%03d", i), Incarnation: w.wallMillis(), Service: "pool",
				Labels:   []string{"a", fmt.Sprintf("rack-%d", i*w.day.Racks/w.day.Hosts)},
				Capacity: fold.Resources{CPU: int64(float64(w.day.Size.CPU) * scale), Memory: int64(float64(w.day.Size.Memory) * scale)},
			},
		}
		w.hosts = append(w.hosts, h)
		w.hostsByID[h.info.ID] = h
	}
}

// scheduleArrival schedules the submission of the next job of a class.
func (w *World) scheduleArrival(class int) {
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
		w.submit(w.drawJob(class))
		w.scheduleArrival(class)
	})
}

// logNormal draws from a log-normal distribution with the given mean and deviation of the logarithm.
func (w *World) logNormal(mean, deviation float64) float64 {
	return mean * math.Exp(w.random.NormFloat64()*deviation-deviation*deviation/2)
}

func (w *World) chance(p float64) bool {
	return w.random.Float64() < p
}

// drawJob makes a random job of a class.
func (w *World) drawJob(class int) *jobTruth {
	c := w.day.Classes[class]
	j := &jobTruth{world: w, class: c, submitted: w.now, shown: flow.Queued, alwaysFails: w.chance(c.FailingJobShare)}
	j.spec = flow.Job{
		ID: fmt.Sprintf("%016x", w.random.Uint64()), Team: w.day.Teams[w.random.IntN(len(w.day.Teams))].Name, Spec: "work",
		Queue: w.rules.Queues[class], Accepted: w.wallMillis(),
	}
	steps := max(1, int(math.Round(w.logNormal(c.Steps, 0.4))))
	for s := range steps {
		width := min(40, max(1, int(math.Round(w.logNormal(c.Width, 0.7)))))
		mean := w.logNormal(float64(c.RunTime), 0.5)
		step := flow.Step{
			Count: width, Estimate: int64(w.logNormal(mean, c.EstimateDeviation)) / int64(time.Millisecond),
			Size:        fold.Resources{CPU: int64(min(float64(w.day.Size.CPU)/2, w.logNormal(float64(c.CPU), 0.45))), Memory: int64(min(float64(w.day.Size.Memory)/2, w.logNormal(float64(c.Memory), 0.6)))},
			Checkpoints: w.chance(c.CheckpointShare), Copies: w.chance(c.CopyShare), Gang: !c.LongRunning && w.chance(c.GangShare), LongRunning: c.LongRunning,
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		if w.chance(c.PerHostShare) && !step.Gang {
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

func (w *World) drawTasks(j *jobTruth, step int, mean float64) []*taskTruth {
	s := &j.spec.Steps[step]
	tasks := make([]*taskTruth, s.Count)
	shared := time.Duration(mean)
	for i := range tasks {
		name := flow.TaskName{Job: j.spec.ID, Step: step, Index: i}
		work := time.Duration(w.logNormal(mean, j.class.RunTimeDeviation))
		if s.Gang {
			work = shared
		}
		seed := w.random.Uint64()
		errors, alwaysFails := j.class.FailedRunShare, j.alwaysFails
		tasks[i] = &taskTruth{
			id: name.String(), name: name, job: j, step: s, work: work, live: make(map[*run]bool),
			failing: func(run int) bool {
				return alwaysFails || rand.New(rand.NewPCG(seed, uint64(run))).Float64() < errors
			},
		}
		w.tasks[tasks[i].id] = tasks[i]
		j.size += work.Seconds() * float64(s.Size.CPU) / 1000
	}
	return tasks
}

// objective computes the time within which the job should end.
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

// addViolation records a violation of a rule.
func (w *World) addViolation(rule, format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s %s: %s", w.now.Sub(w.start).Seconds(), rule, fmt.Sprintf(format, args...)))
}

// Rules counts the violations by the name of the rule, given the lines that Play returns.
func Rules(broken []string) map[string]int {
	counts := make(map[string]int)
	for _, line := range broken {
		_, rest, _ := strings.Cut(line, " s ")
		rule, _, _ := strings.Cut(rest, ":")
		counts[rule]++
	}
	return counts
}
