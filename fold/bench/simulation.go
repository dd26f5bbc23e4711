package bench

import (
	"container/heap"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

const (
	// decisionInterval is the longest time between two decisions.
	decisionInterval = 250 * time.Millisecond
	// startsPerDecision bounds the starts of one decision.
	startsPerDecision = 512
)

// Arrival is a job with the time of its submission and the real run times of its tasks.
type Arrival struct {
	At  fold.Instant
	Job fold.Job
	// RunTimes holds the real run time of each task. A task with 0 runs until it is stopped.
	RunTimes []time.Duration
}

// Workload is a cell's workers and teams and the jobs that arrive there.
type Workload struct {
	Workers  []place.Worker
	Teams    []sched.Team
	Arrivals []Arrival
	// WarmupEnd is the start of the measured time.
	WarmupEnd fold.Instant
	// End is the end of the run and of the measured time.
	End fold.Instant
}

// event is the end of an attempt. If the attempt is 0, it only causes a decision.
type event struct {
	at      fold.Instant
	worker  string
	task    fold.TaskID
	attempt int
	state   fold.Outcome
}

// eventQueue is a heap of events with the earliest first.
type eventQueue []event

var _ heap.Interface = &eventQueue{}

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q eventQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(v any) {
	if v, ok := v.(event); ok {
		*q = append(*q, v)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// attempt is an attempt of a task that runs now.
type attempt struct {
	number    int
	started   fold.Instant
	resources fold.Resources
	team      string
}

// simulation runs one scheduler on one workload in virtual time.
type simulation struct {
	workload  Workload
	scheduler Scheduler
	now       fold.Instant
	events    eventQueue
	// nextArrival is the index of the first arrival that is still to come.
	nextArrival int
	jobs        map[string]Arrival
	running     map[fold.TaskID]attempt
	// started holds the tasks that have started at least once.
	started map[fold.TaskID]bool
	result  Result
	// usedByTeam is the capacity that the running attempts of each team use.
	usedByTeam map[string]fold.Resources
	// usedTotal is the capacity that all running attempts use.
	usedTotal fold.Resources
}

// Run runs a policy on a workload and returns the measurements.
func Run(p Policy, w Workload) Result {
	s := &simulation{
		workload: w, scheduler: p.New(w.Workers, w.Teams), jobs: make(map[string]Arrival),
		running: make(map[fold.TaskID]attempt), started: make(map[fold.TaskID]bool), usedByTeam: make(map[string]fold.Resources),
	}
	s.result = newResult(p.Name, w)
	for at := fold.Instant(0); at < w.End; at = at.Add(decisionInterval) {
		s.events = append(s.events, event{at: at})
	}
	heap.Init(&s.events)
	for len(s.events) > 0 && s.events[0].at < w.End {
		s.step()
	}
	s.advance(w.End)
	s.result.recordUnstarted(w, s.started)
	return s.result
}

// step handles the arrivals and events at the next instant, then carries out the decisions of the scheduler.
func (s *simulation) step() {
	at := s.events[0].at
	if s.nextArrival < len(s.workload.Arrivals) {
		at = min(at, s.workload.Arrivals[s.nextArrival].At)
	}
	s.advance(at)
	for s.nextArrival < len(s.workload.Arrivals) && s.workload.Arrivals[s.nextArrival].At <= at {
		a := s.workload.Arrivals[s.nextArrival]
		s.nextArrival++
		s.jobs[a.Job.ID] = a
		s.scheduler.Submit(at, a.Job)
	}
	for len(s.events) > 0 && s.events[0].at <= at {
		if e, ok := heap.Pop(&s.events).(event); ok && e.attempt > 0 {
			s.endAttempt(e)
		}
	}
	for {
		starts := s.scheduler.Decide(at, startsPerDecision)
		for _, start := range starts {
			s.startTask(start)
		}
		s.stopTasks()
		if len(starts) < startsPerDecision {
			return
		}
	}
}

func (s *simulation) startTask(start sched.Start) {
	id := start.Task.Task
	a := s.jobs[id.Job]
	s.running[id] = attempt{number: start.Task.Attempt, started: s.now, resources: start.Task.Resources, team: a.Job.Team}
	s.addUse(a.Job.Team, start.Task.Resources, 1)
	if !s.started[id] {
		s.started[id] = true
		s.result.recordStart(a, s.now)
	}
	s.scheduler.Confirm(start.Worker, []fold.StartResult{{Task: id, Started: true}})
	if runTime := a.RunTimes[id.Index]; runTime > 0 {
		heap.Push(&s.events, event{at: s.now.Add(runTime), worker: start.Worker, task: id, attempt: start.Task.Attempt, state: fold.Done})
	}
}

func (s *simulation) stopTasks() {
	for _, stop := range s.scheduler.Stops() {
		if a, ok := s.running[stop.Task]; ok {
			s.result.Stopped++
			heap.Push(&s.events, event{at: s.now.Add(stop.Grace), worker: stop.Worker, task: stop.Task, attempt: a.number, state: fold.Stopped})
		}
	}
}

func (s *simulation) endAttempt(e event) {
	a, ok := s.running[e.task]
	if !ok || a.number != e.attempt {
		return
	}
	delete(s.running, e.task)
	s.addUse(a.team, a.resources, -1)
	if e.state == fold.Stopped {
		s.result.recordStop(a, s.now)
	}
	s.scheduler.Observe(s.now, e.worker, []fold.TaskEvent{{
		Task: e.task, Attempt: e.attempt, State: e.state, Usage: a.resources, Ran: s.now.Sub(a.started).Milliseconds(),
	}})
}

// addUse adds n times the resources to the capacity in use.
func (s *simulation) addUse(team string, resources fold.Resources, n int64) {
	s.usedByTeam[team] = s.usedByTeam[team].Add(resources.Times(n))
	s.usedTotal = s.usedTotal.Add(resources.Times(n))
}

// advance records the use until the given time and sets the clock to it.
func (s *simulation) advance(to fold.Instant) {
	if from := max(s.now, s.workload.WarmupEnd); to > from {
		s.result.recordUse(s.usedByTeam, s.usedTotal, from, to)
	}
	s.now = to
}
