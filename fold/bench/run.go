package bench

import (
	"container/heap"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

const (
	// tick is the greatest time between two decisions.
	tick = 250 * time.Millisecond
	// limit bounds the starts of one decision.
	limit = 512
)

// Arrival is a job and how long its tasks really run.
type Arrival struct {
	At  fold.Instant
	Job fold.Job
	// Runs is the real run time of each task; 0 runs until stopped.
	Runs []time.Duration
}

// Load is a workload on a set of workers.
type Load struct {
	Nodes    []place.Worker
	Teams    []sched.Team
	Arrivals []Arrival
	// Warm and End bound the time that is measured.
	Warm fold.Instant
	End  fold.Instant
}

// event is the end of an attempt, or a tick if the attempt is 0.
type event struct {
	at      fold.Instant
	worker  string
	task    fold.TaskID
	attempt int
	state   fold.Outcome
}

type events []event

var _ heap.Interface = &events{}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at < e[k].at }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }

// Push adds an event for container/heap.
func (e *events) Push(v any) {
	if v, ok := v.(event); ok {
		*e = append(*e, v)
	}
}

// Pop drops the last event for container/heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// attempt is a task that runs.
type attempt struct {
	number int
	begin  fold.Instant
	size   fold.Resources
	team   string
}

type runner struct {
	load    Load
	s       Scheduler
	now     fold.Instant
	queue   events
	next    int
	jobs    map[string]Arrival
	running map[fold.TaskID]attempt
	seen    map[fold.TaskID]bool
	result  Result
	used    map[string]fold.Resources
	total   fold.Resources
}

// Run drives a scheduler through the load and returns what was measured.
func Run(p Policy, l Load) Result {
	r := &runner{
		load: l, s: p.New(l.Nodes, l.Teams), jobs: make(map[string]Arrival),
		running: make(map[fold.TaskID]attempt), seen: make(map[fold.TaskID]bool), used: make(map[string]fold.Resources),
	}
	r.result = newResult(p.Name, l)
	for at := fold.Instant(0); at < l.End; at = at.Add(tick) {
		r.queue = append(r.queue, event{at: at})
	}
	heap.Init(&r.queue)
	for len(r.queue) > 0 && r.queue[0].at < l.End {
		r.step()
	}
	r.account(l.End)
	r.result.unstarted(l, r.seen)
	return r.result
}

// step handles all events of one instant, then lets the scheduler decide.
func (r *runner) step() {
	at := r.queue[0].at
	if r.next < len(r.load.Arrivals) {
		at = min(at, r.load.Arrivals[r.next].At)
	}
	r.account(at)
	for r.next < len(r.load.Arrivals) && r.load.Arrivals[r.next].At <= at {
		a := r.load.Arrivals[r.next]
		r.next++
		r.jobs[a.Job.ID] = a
		r.s.Submit(at, a.Job)
	}
	for len(r.queue) > 0 && r.queue[0].at <= at {
		if e, ok := heap.Pop(&r.queue).(event); ok && e.attempt > 0 {
			r.end(e)
		}
	}
	for {
		starts := r.s.Decide(at, limit)
		for _, s := range starts {
			r.start(s)
		}
		r.stop()
		if len(starts) < limit {
			return
		}
	}
}

func (r *runner) start(s sched.Start) {
	id := s.Task.Task
	a := r.jobs[id.Job]
	r.running[id] = attempt{number: s.Task.Attempt, begin: r.now, size: s.Task.Resources, team: a.Job.Team}
	r.use(a.Job.Team, s.Task.Resources, 1)
	if !r.seen[id] {
		r.seen[id] = true
		r.result.started(a, r.now)
	}
	r.s.Confirm(s.Worker, []fold.StartResult{{Task: id, Started: true}})
	if run := a.Runs[id.Index]; run > 0 {
		heap.Push(&r.queue, event{at: r.now.Add(run), worker: s.Worker, task: id, attempt: s.Task.Attempt, state: fold.Done})
	}
}

func (r *runner) stop() {
	for _, s := range r.s.Stops() {
		if a, ok := r.running[s.Task]; ok {
			r.result.Stopped++
			heap.Push(&r.queue, event{at: r.now.Add(s.Grace), worker: s.Worker, task: s.Task, attempt: a.number, state: fold.Stopped})
		}
	}
}

func (r *runner) end(e event) {
	a, ok := r.running[e.task]
	if !ok || a.number != e.attempt {
		return
	}
	delete(r.running, e.task)
	r.use(a.team, a.size, -1)
	if e.state == fold.Stopped {
		r.result.lost(a, r.now)
	}
	r.s.Observe(r.now, e.worker, []fold.TaskEvent{{
		Task: e.task, Attempt: e.attempt, State: e.state, Usage: a.size, Ran: r.now.Sub(a.begin).Milliseconds(),
	}})
}

func (r *runner) use(team string, size fold.Resources, n int64) {
	r.used[team] = r.used[team].Add(size.Times(n))
	r.total = r.total.Add(size.Times(n))
}

// account adds the time until the next event to the integrals.
func (r *runner) account(to fold.Instant) {
	if from := max(r.now, r.load.Warm); to > from {
		r.result.hold(r.used, r.total, from, to)
	}
	r.now = to
}
