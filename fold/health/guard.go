package health

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

const (
	// Window is the time within which failures of distinct jobs count against a worker.
	Window = 30 * time.Second
	// Distinct is the number of distinct jobs against a worker, and of distinct workers against a job.
	Distinct = 3
	// Term is the first quarantine of a worker; each failure on probation doubles it.
	Term = 30 * time.Second
	// MaxTerm bounds the quarantine of a worker.
	MaxTerm = 10 * time.Minute
	// share is the inverse of the greatest part of the workers in quarantine.
	share = 5
	// maxEvidence bounds the failures remembered for one worker.
	maxEvidence = 16
	// maxTouched bounds the workers remembered for one job.
	maxTouched = 16
)

// State is what a worker may run.
type State int

// States of workers.
const (
	// Good workers run anything.
	Good State = iota
	// Quarantine stops all starts on a worker.
	Quarantine
	// Probation allows one task at a time.
	Probation
)

// Failure is one failure on a worker.
type Failure struct {
	Job string
	At  fold.Instant
}

type record struct {
	state    State
	until    fold.Instant
	term     time.Duration
	evidence []Failure
}

// Guard remembers failures. It is not safe for concurrent use.
type Guard struct {
	workers map[string]*record
	// failing lists for each job the workers on which it failed since its last success.
	failing map[string][]string
	parked  map[string]bool
	closed  int
}

// New returns a Guard without failures.
func New() *Guard {
	return &Guard{workers: make(map[string]*record), failing: make(map[string][]string), parked: make(map[string]bool)}
}

// State returns what the worker may run.
func (g *Guard) State(worker string) State {
	if w, ok := g.workers[worker]; ok {
		return w.state
	}
	return Good
}

// Evidence returns the failures behind a worker's state.
func (g *Guard) Evidence(worker string) []Failure {
	if w, ok := g.workers[worker]; ok {
		return slices.Clone(w.evidence)
	}
	return nil
}

// Failing returns the workers on which the job failed since its last success.
func (g *Guard) Failing(job string) []string {
	return g.failing[job]
}

// Failed records a failure of a job on a worker, in a pool of total workers. It reports whether the job is to be parked
// and returns the workers whose state changed.
func (g *Guard) Failed(now fold.Instant, worker, job string, total int) (bool, []string) {
	if g.parked[job] {
		return false, nil
	}
	w := g.record(worker)
	w.note(now, job)
	if !slices.Contains(g.failing[job], worker) && len(g.failing[job]) < maxTouched {
		g.failing[job] = append(g.failing[job], worker)
	}
	if g.bad(job) {
		return true, g.park(job)
	}
	switch {
	case w.state == Probation:
		w.term = min(2*w.term, MaxTerm)
		g.quarantine(now, w)
		return false, []string{worker}
	case w.state == Good && len(w.evidence) >= Distinct && (g.closed+1)*share <= total:
		w.term = Term
		g.quarantine(now, w)
		return false, []string{worker}
	default:
		return false, nil
	}
}

// Succeeded records that a task of the job ended well on the worker; it reports whether the worker's state changed.
func (g *Guard) Succeeded(worker, job string) bool {
	delete(g.failing, job)
	w, ok := g.workers[worker]
	if !ok || w.state != Probation {
		return false
	}
	g.closed--
	delete(g.workers, worker)
	return true
}

// Due moves workers from quarantine to probation when their term is over, and returns them.
func (g *Guard) Due(now fold.Instant) []string {
	if g.closed == 0 {
		return nil
	}
	var due []string
	for name, w := range g.workers {
		if w.state == Quarantine && w.until <= now {
			w.state = Probation
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Removed forgets a worker that left the pool.
func (g *Guard) Removed(worker string) {
	if w, ok := g.workers[worker]; ok && w.state != Good {
		g.closed--
	}
	delete(g.workers, worker)
}

// Ended forgets a job.
func (g *Guard) Ended(job string) {
	delete(g.failing, job)
	delete(g.parked, job)
}

// bad reports whether the job failed on enough workers. Workers in quarantine do not count, because they fail other jobs
// too.
func (g *Guard) bad(job string) bool {
	against := 0
	for _, worker := range g.failing[job] {
		if g.State(worker) == Good {
			against++
		}
	}
	return against >= Distinct
}

// park takes a bad job's failures out of the evidence against workers and returns those that are good again.
func (g *Guard) park(job string) []string {
	g.parked[job] = true
	var freed []string
	for _, name := range g.failing[job] {
		w, ok := g.workers[name]
		if !ok {
			continue
		}
		w.evidence = slices.DeleteFunc(w.evidence, func(f Failure) bool { return f.Job == job })
		if w.state != Good && len(w.evidence) < Distinct {
			g.closed--
			w.state = Good
			freed = append(freed, name)
		}
	}
	return freed
}

func (g *Guard) quarantine(now fold.Instant, w *record) {
	if w.state == Good {
		g.closed++
	}
	w.state = Quarantine
	w.until = now.Add(w.term)
}

func (g *Guard) record(worker string) *record {
	w, ok := g.workers[worker]
	if !ok {
		w = &record{}
		g.workers[worker] = w
	}
	return w
}

// note keeps one failure of each job; those out of the window do not count against a good worker.
func (w *record) note(now fold.Instant, job string) {
	w.evidence = slices.DeleteFunc(w.evidence, func(f Failure) bool {
		return f.Job == job || (w.state == Good && now.Sub(f.At) > Window)
	})
	if len(w.evidence) == maxEvidence {
		w.evidence = slices.Delete(w.evidence, 0, 1)
	}
	w.evidence = append(w.evidence, Failure{Job: job, At: now})
}
