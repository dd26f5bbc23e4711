package sched

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/gauge"
	"plantainfold.example/fold/health"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/spec"
)

// Pool schedules the jobs of one pool on its workers. It is not safe for concurrent use.
type Pool struct {
	id      string
	index   *place.Index
	teams   map[string]*team
	order   []*team
	jobs    map[string]*job
	workers map[string]*worker
	held    bool
	policy  spec.Policy
	// now is the latest instant that any call has told.
	now     fold.Instant
	guard   *health.Guard
	book    *gauge.Estimator
	delayed delays
	holds   []*hold
	// split lists gangs of which only a part runs.
	split []*job
	dirty []*job
	// ending holds tasks that are to be told to stop, told the ones that were, oldest first.
	ending []ending
	told   []ending
	// cursor is where the next sample of workers starts.
	cursor   int
	preempts int
	adopted  int
	waiting  int
	running  int
}

// worker is the state of one worker of the pool.
type worker struct {
	name    string
	adopted bool
	leaving bool
	tasks   map[fold.TaskID]*task
	// orphans are tasks that run here without a job of the pool that wants them; they hold capacity until they end.
	orphans map[fold.TaskID]orphan
}

// New returns a pool without workers and jobs.
func New(id string) *Pool {
	return &Pool{
		id:      id,
		index:   place.New(),
		teams:   make(map[string]*team),
		jobs:    make(map[string]*job),
		workers: make(map[string]*worker),
		guard:   health.New(),
		book:    gauge.New(),
	}
}

// SetPolicy sets how the measures of the cell are weighed. Where waiting time outweighs fairness, teams ahead of their
// share may use capacity that the work of other teams does not fit now.
func (p *Pool) SetPolicy(policy spec.Policy) {
	p.policy = policy
}

// strict reports whether fairness weighs at least as much as waiting time.
func (p *Pool) strict() bool {
	return p.policy.Waiting <= p.policy.Fairness
}

// SetRestoredPaused stops or allows the start of tasks that were accepted under an earlier owner.
func (p *Pool) SetRestoredPaused(held bool) {
	if p.held == held {
		return
	}
	p.held = held
	if held {
		return
	}
	for _, j := range p.jobs {
		if j.old {
			p.enqueue(j)
		}
	}
}

// SetLeaving stops or allows new starts on a worker.
func (p *Pool) SetLeaving(name string, leaving bool) {
	if w, ok := p.workers[name]; ok {
		w.leaving = leaving
		p.openWorker(w)
	}
}

// openWorker closes the worker in the index or opens it, as its state says.
func (p *Pool) openWorker(w *worker) {
	p.closeFor(w, place.Absent, !w.adopted || w.leaving)
	state := p.guard.State(w.name)
	p.closeFor(w, place.Quarantined, state == health.Quarantine || (state == health.Probation && len(w.tasks) > 0))
}

func (p *Pool) closeFor(w *worker, why place.Reason, closed bool) {
	if closed {
		p.index.Close(w.name, why)
		return
	}
	p.index.Open(w.name, why)
}

// Status returns the counts of the pool.
func (p *Pool) Status() fold.PoolStatus {
	capacity, used := p.index.Totals()
	return fold.PoolStatus{
		Pool:     p.id,
		Workers:  len(p.workers),
		Adopted:  p.adopted,
		Capacity: capacity,
		Used:     used,
		Waiting:  p.waiting,
		Running:  p.running,
	}
}

// Largest returns the largest capacity of any worker in each dimension.
func (p *Pool) Largest() fold.Resources {
	return p.index.Largest()
}

// Examined returns how many workers all choices together have looked at.
func (p *Pool) Examined() int {
	return p.index.Examined()
}

// move puts a task into another phase and keeps the counts.
func (p *Pool) move(t *task, to phase) {
	j := t.job
	p.count(j, -1, t)
	j.counts[t.phase]--
	t.phase = to
	j.counts[to]++
	p.count(j, 1, t)
	if to != phaseWaiting {
		j.setReady(t, false)
	}
	p.markDirty(j)
}

// count adds or removes a task in the totals of the pool and its team.
func (p *Pool) count(j *job, n int, t *task) {
	switch {
	case t.active():
		p.running += n
	case t.phase == phaseWaiting && !j.halted():
		p.waiting += n
		owner := p.team(j.spec.Team)
		owner.wanted = owner.wanted.Add(j.spec.Resources.Times(int64(n)))
	}
}

// halt takes the waiting tasks of a job out of the totals when it is cancelled or parked.
func (p *Pool) halt(j *job, set *bool) {
	was := j.halted()
	*set = true
	if !was {
		n := j.counts[phaseWaiting]
		p.waiting -= n
		owner := p.team(j.spec.Team)
		owner.wanted = owner.wanted.Sub(j.spec.Resources.Times(int64(n)))
		if j.lane != nil {
			owner.queue.bury(j)
		}
	}
	p.markDirty(j)
}

func (p *Pool) markDirty(j *job) {
	if !j.changed {
		j.changed = true
		p.dirty = append(p.dirty, j)
	}
}

func (p *Pool) startable(j *job) bool {
	return p.jobs[j.spec.ID] == j && j.nready > 0 && !j.halted() && !(j.old && p.held)
}

// enqueue puts a job into the queue of its team if it may start tasks.
func (p *Pool) enqueue(j *job) {
	if j.lane == nil && p.startable(j) {
		p.team(j.spec.Team).queue.add(j)
	}
}
