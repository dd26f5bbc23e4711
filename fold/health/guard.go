package health

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

const (
	// FailureWindow is the period within which failures of distinct jobs count against a worker.
	FailureWindow = 30 * time.Second
	// DistinctFailures is the number of distinct failed jobs that quarantines a worker. It is also the number of distinct
	// workers with failures that parks a job.
	DistinctFailures = 3
	// FirstQuarantine is the duration of the first quarantine of a worker. Each failure on probation doubles the quarantine.
	FirstQuarantine = 30 * time.Second
	// MaxQuarantine is the maximum duration of the quarantine of a worker.
	MaxQuarantine = 10 * time.Minute
	// workersPerQuarantine limits the workers in quarantine or on probation to one in this many.
	workersPerQuarantine = 5
	// maxEvidence bounds the failures stored for one worker.
	maxEvidence = 16
	// maxFailingWorkers bounds the workers stored for one job.
	maxFailingWorkers = 16
)

// State is the health state of a worker. It determines what the worker may run.
type State int

// These are the states of workers.
const (
	// Good means that the worker may run anything.
	Good State = iota
	// Quarantine means that no task may start on the worker.
	Quarantine
	// Probation means that the worker may run one task at a time.
	Probation
)

// Failure is a failure of a job on a worker.
type Failure struct {
	Job string
	At  fold.Instant
}

// workerState is the health of a worker with failures. It holds the failures within the window as evidence.
type workerState struct {
	state    State
	endsAt   fold.Instant
	duration time.Duration
	evidence []Failure
}

// Guard decides from failures which workers to quarantine and which jobs to park. It is not safe for concurrent use.
type Guard struct {
	workers map[string]*workerState
	// failing lists for each job the workers on which it has failed since its last success.
	failing map[string][]string
	parked  map[string]bool
	// restricted counts the workers in quarantine or on probation.
	restricted int
}

// New returns a Guard without failures.
func New() *Guard {
	return &Guard{workers: make(map[string]*workerState), failing: make(map[string][]string), parked: make(map[string]bool)}
}

// State returns what the worker may run.
func (g *Guard) State(worker string) State {
	if w, ok := g.workers[worker]; ok {
		return w.state
	}
	return Good
}

// Evidence returns the failures that led to a worker's state.
func (g *Guard) Evidence(worker string) []Failure {
	if w, ok := g.workers[worker]; ok {
		return slices.Clone(w.evidence)
	}
	return nil
}

// FailedWorkers returns the workers on which the job has failed since its last success.
func (g *Guard) FailedWorkers(job string) []string {
	return g.failing[job]
}

// RecordFailure records a failure of a job on a worker, in a pool with total workers. It reports whether the job should be
// parked and returns the workers whose state changed.
func (g *Guard) RecordFailure(now fold.Instant, worker, job string, total int) (bool, []string) {
	if g.parked[job] {
		return false, nil
	}
	w := g.stateOf(worker)
	w.addFailure(now, job)
	if !slices.Contains(g.failing[job], worker) && len(g.failing[job]) < maxFailingWorkers {
		g.failing[job] = append(g.failing[job], worker)
	}
	if g.shouldPark(job) {
		return true, g.park(job)
	}
	switch {
	case w.state == Probation:
		w.duration = min(2*w.duration, MaxQuarantine)
		g.quarantine(now, w)
		return false, []string{worker}
	case w.state == Good && len(w.evidence) >= DistinctFailures && (g.restricted+1)*workersPerQuarantine <= total:
		w.duration = FirstQuarantine
		g.quarantine(now, w)
		return false, []string{worker}
	default:
		return false, nil
	}
}

// RecordSuccess records that a task of the job succeeded on the worker. It reports whether the worker's state changed.
func (g *Guard) RecordSuccess(worker, job string) bool {
	delete(g.failing, job)
	w, ok := g.workers[worker]
	if !ok || w.state != Probation {
		return false
	}
	g.restricted--
	delete(g.workers, worker)
	return true
}

// EndQuarantines moves workers whose quarantine has ended to probation and returns them.
func (g *Guard) EndQuarantines(now fold.Instant) []string {
	if g.restricted == 0 {
		return nil
	}
	var due []string
	for name, w := range g.workers {
		if w.state == Quarantine && w.endsAt <= now {
			w.state = Probation
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// RemoveWorker deletes the state of a worker that left the pool.
func (g *Guard) RemoveWorker(worker string) {
	if w, ok := g.workers[worker]; ok && w.state != Good {
		g.restricted--
	}
	delete(g.workers, worker)
}

// RemoveJob deletes the state of a job.
func (g *Guard) RemoveJob(job string) {
	delete(g.failing, job)
	delete(g.parked, job)
}

// shouldPark reports whether the job failed on at least DistinctFailures workers. Workers in quarantine or on probation do
// not count, because other jobs fail on them too.
func (g *Guard) shouldPark(job string) bool {
	distinct := 0
	for _, worker := range g.failing[job] {
		if g.State(worker) == Good {
			distinct++
		}
	}
	return distinct >= DistinctFailures
}

// park removes the failures of a parked job from the evidence against workers. It returns the workers that are good again.
func (g *Guard) park(job string) []string {
	g.parked[job] = true
	var restored []string
	for _, name := range g.failing[job] {
		w, ok := g.workers[name]
		if !ok {
			continue
		}
		w.evidence = slices.DeleteFunc(w.evidence, func(f Failure) bool { return f.Job == job })
		if w.state != Good && len(w.evidence) < DistinctFailures {
			g.restricted--
			w.state = Good
			restored = append(restored, name)
		}
	}
	return restored
}

func (g *Guard) quarantine(now fold.Instant, w *workerState) {
	if w.state == Good {
		g.restricted++
	}
	w.state = Quarantine
	w.endsAt = now.Add(w.duration)
}

func (g *Guard) stateOf(worker string) *workerState {
	w, ok := g.workers[worker]
	if !ok {
		w = &workerState{}
		g.workers[worker] = w
	}
	return w
}

// addFailure stores the latest failure of each job. Failures outside the window do not count against a good worker.
func (w *workerState) addFailure(now fold.Instant, job string) {
	w.evidence = slices.DeleteFunc(w.evidence, func(f Failure) bool {
		return f.Job == job || (w.state == Good && now.Sub(f.At) > FailureWindow)
	})
	if len(w.evidence) == maxEvidence {
		w.evidence = slices.Delete(w.evidence, 0, 1)
	}
	w.evidence = append(w.evidence, Failure{Job: job, At: now})
}
