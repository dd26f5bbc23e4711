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
	// id is the name of the pool.
	id string
	// index holds the capacity of each worker and the part that tasks use.
	index *place.Index
	teams map[string]*team
	// teamList holds the values of teams in the order in which they were added.
	teamList []*team
	jobs     map[string]*job
	workers  map[string]*worker
	// restoredPaused is set while restored jobs must not start tasks.
	restoredPaused bool
	policy         spec.Policy
	// now is the latest instant passed to any method.
	now fold.Instant
	// guard decides which workers are quarantined and which jobs are parked after failures.
	guard *health.Guard
	// estimator estimates run times from the tasks that have ended.
	estimator *gauge.Estimator
	// delayed holds the tasks in backoff, ordered by its end.
	delayed delays
	// reservations are the workers kept free for blocked jobs.
	reservations []*reservation
	// splitGangs lists the gangs of which some tasks run while others wait.
	splitGangs []*job
	// dirty lists the jobs whose record is out of date, the oldest change first.
	dirty []*job
	// pendingStops holds the stop requests that Stops has not returned yet, oldest first.
	pendingStops []stopRequest
	// sentStops holds the stop requests that Stops has returned, oldest first.
	sentStops []stopRequest
	// sampleStart is the position in the index at which the next sample of workers starts.
	sampleStart int
	// preempting counts the tasks that are preempted and still hold capacity.
	preempting int
	// adopted counts the adopted workers.
	adopted int
	// waiting counts the waiting tasks of jobs that are neither cancelled nor parked.
	waiting int
	// running counts the tasks that hold capacity.
	running int
}

// worker is the state of one worker of the pool.
type worker struct {
	name string
	// adopted is set once the worker has reported what it runs.
	adopted bool
	// leaving is set while no task may start on the worker.
	leaving bool
	// tasks holds the pool's tasks that use capacity of the worker.
	tasks map[fold.TaskID]*task
	// orphans holds tasks that the worker runs but no job of the pool allows. They use capacity until they end.
	orphans map[fold.TaskID]orphan
}

// New returns a pool without workers and jobs.
func New(id string) *Pool {
	return &Pool{
		id:        id,
		index:     place.New(),
		teams:     make(map[string]*team),
		jobs:      make(map[string]*job),
		workers:   make(map[string]*worker),
		guard:     health.New(),
		estimator: gauge.New(),
	}
}

// SetPolicy sets the weights of the cell's goals. If waiting time outweighs fairness, a team above its share may use
// capacity into which the tasks of other teams do not fit now.
func (p *Pool) SetPolicy(policy spec.Policy) {
	p.policy = policy
}

// strict reports whether fairness weighs at least as much as waiting time.
func (p *Pool) strict() bool {
	return p.policy.Waiting <= p.policy.Fairness
}

// SetRestoredPaused pauses or resumes the start of tasks of restored jobs.
func (p *Pool) SetRestoredPaused(paused bool) {
	if p.restoredPaused == paused {
		return
	}
	p.restoredPaused = paused
	if paused {
		return
	}
	for _, j := range p.jobs {
		if j.restored {
			p.enqueue(j)
		}
	}
}

// SetLeaving sets whether a worker counts as leaving, so that no task starts on it.
func (p *Pool) SetLeaving(name string, leaving bool) {
	if w, ok := p.workers[name]; ok {
		w.leaving = leaving
		p.refreshWorker(w)
	}
}

// refreshWorker updates in the index whether the worker may get tasks.
func (p *Pool) refreshWorker(w *worker) {
	p.setClosed(w, place.Absent, !w.adopted || w.leaving)
	state := p.guard.State(w.name)
	p.setClosed(w, place.Quarantined, state == health.Quarantine || (state == health.Probation && len(w.tasks) > 0))
}

func (p *Pool) setClosed(w *worker, reason place.Reason, closed bool) {
	if closed {
		p.index.Close(w.name, reason)
		return
	}
	p.index.Open(w.name, reason)
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

// Examined returns how many workers all choices so far have examined.
func (p *Pool) Examined() int {
	return p.index.Examined()
}

// setPhase changes the phase of a task and updates the counts of the job, the pool and the team.
func (p *Pool) setPhase(t *task, to phase) {
	j := t.job
	p.addToTotals(j, -1, t)
	j.counts[t.phase]--
	t.phase = to
	j.counts[to]++
	p.addToTotals(j, 1, t)
	if to != phaseWaiting {
		j.setReady(t, false)
	}
	p.markDirty(j)
}

// addToTotals adds n times the task to the totals of the pool and the team; n is 1 or -1.
func (p *Pool) addToTotals(j *job, n int, t *task) {
	switch {
	case t.active():
		p.running += n
	case t.phase == phaseWaiting && !j.halted():
		p.waiting += n
		teamState := p.team(j.spec.Team)
		teamState.waitingSize = teamState.waitingSize.Add(j.spec.Resources.Times(int64(n)))
	}
}

// halt sets flag, which is j.cancelled or j.parked, and removes the waiting tasks of the job from the totals.
func (p *Pool) halt(j *job, flag *bool) {
	wasHalted := j.halted()
	*flag = true
	if !wasHalted {
		n := j.counts[phaseWaiting]
		p.waiting -= n
		teamState := p.team(j.spec.Team)
		teamState.waitingSize = teamState.waitingSize.Sub(j.spec.Resources.Times(int64(n)))
		if j.lane != nil {
			teamState.queue.countHalted(j)
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

// startable reports whether a task of the job may start now.
func (p *Pool) startable(j *job) bool {
	return p.jobs[j.spec.ID] == j && j.readyCount > 0 && !j.halted() && !(j.restored && p.restoredPaused)
}

// enqueue adds a job to the queue of its team if a task of it may start.
func (p *Pool) enqueue(j *job) {
	if j.lane == nil && p.startable(j) {
		p.team(j.spec.Team).queue.addJob(j)
	}
}
