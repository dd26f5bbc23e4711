package sched

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// TaskLease is how long a task runs without a heartbeat of the owner of the pool.
const TaskLease = 10 * time.Second

// steadyRunTime is the run time after which the failure of a service task does not count against the job or the worker.
const steadyRunTime = 30 * time.Second

// orphan is a task that a worker runs but no job of the pool allows.
type orphan struct {
	attempt int
	size    fold.Resources
}

// advanceClock sets the time of the pool, which never goes back.
func (p *Pool) advanceClock(now fold.Instant) {
	p.now = max(p.now, now)
}

// Adopt records which tasks run on a worker. It also resolves starts whose confirmation was lost.
func (p *Pool) Adopt(now fold.Instant, node place.Worker, adoption fold.Adoption) {
	p.advanceClock(now)
	w, known := p.workers[node.Name]
	if !known {
		w = &worker{name: node.Name, tasks: make(map[fold.TaskID]*task), orphans: make(map[fold.TaskID]orphan)}
		p.workers[node.Name] = w
	}
	if !w.adopted {
		w.adopted = true
		p.adopted++
	}
	node.Capacity = adoption.Capacity
	p.index.Add(node)
	p.Observe(now, node.Name, adoption.Events)
	reported := make(map[fold.TaskID]bool, len(adoption.Tasks))
	for _, reportedTask := range adoption.Tasks {
		reported[reportedTask.Task] = true
		p.adoptTask(w, reportedTask)
	}
	for id, t := range w.tasks {
		if !reported[id] {
			p.handleMissing(t)
		}
	}
	for id := range w.orphans {
		if !reported[id] {
			p.dropOrphan(w, id)
		}
	}
	p.refreshWorker(w)
}

// RemoveWorker removes a worker whose task leases have expired, so that no task runs on it any more.
func (p *Pool) RemoveWorker(name string) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	for _, t := range w.tasks {
		p.handleLost(t)
	}
	p.index.Remove(name)
	p.guard.RemoveWorker(name)
	delete(p.workers, name)
	if w.adopted {
		p.adopted--
	}
}

// Confirm records the answers of a worker to starts.
func (p *Pool) Confirm(worker string, results []fold.StartResult) {
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	for _, r := range results {
		t, ok := w.tasks[r.Task]
		if !ok || t.phase != phaseStarting {
			continue
		}
		if r.Started {
			p.setPhase(t, phaseRunning)
			continue
		}
		p.release(t, phaseWaiting)
		p.readyAfter(t, refusedBackoff)
	}
}

// Observe records the ends of tasks. An event that was observed before has no effect.
func (p *Pool) Observe(now fold.Instant, worker string, events []fold.TaskEvent) {
	p.advanceClock(now)
	w := p.workers[worker]
	for _, e := range events {
		if w != nil {
			if o, ok := w.orphans[e.Task]; ok && o.attempt == e.Attempt {
				p.dropOrphan(w, e.Task)
			}
		}
		j, ok := p.jobs[e.Task.Job]
		if !ok {
			continue
		}
		t, ok := j.task(e.Task)
		if ok && isNewOutcome(t, worker, e) {
			p.handleEnd(t, worker, e)
		}
	}
}

// isNewOutcome reports whether the event changes the state of the task. A waiting task of a restored job accepts any
// event of a later attempt, because an earlier owner may have started that attempt. A task lost with its worker still
// accepts the event that it was done.
func isNewOutcome(t *task, worker string, e fold.TaskEvent) bool {
	switch t.phase {
	case phaseWaiting:
		if t.job.restored && t.attempt < e.Attempt {
			return true
		}
		return t.attempt == e.Attempt && e.State == fold.Done && t.job.spec.Kind != fold.Service
	case phaseUnknown:
		return t.attempt <= e.Attempt && e.State != fold.Stopped
	case phaseStarting, phaseRunning:
		return t.worker == worker && t.attempt == e.Attempt
	default:
		return false
	}
}

// handleEnd releases the capacity of an ended task and sets its next phase.
func (p *Pool) handleEnd(t *task, worker string, e fold.TaskEvent) {
	t.attempt = e.Attempt
	next, wait := p.nextPhase(t, e)
	if t.worker == "" {
		p.setPhase(t, next)
	} else {
		p.release(t, next)
	}
	p.updateHealth(t.job, worker, e)
	if next == phaseWaiting {
		p.readyAfter(t, wait)
	}
}

// nextPhase returns the phase of a task after the event, and the backoff if it waits again.
func (p *Pool) nextPhase(t *task, e fold.TaskEvent) (phase, time.Duration) {
	spec := t.job.spec
	switch {
	case e.State == fold.Done && spec.Kind != fold.Service:
		return phaseDone, 0
	case e.State == fold.Done:
		return phaseWaiting, firstBackoff
	case e.State == fold.Failed:
		t.failures++
		if t.failures > spec.Retries && spec.Kind != fold.Service {
			return phaseFailed, 0
		}
		return phaseWaiting, backoff(t)
	case !t.job.cancelled && !t.stoppedByEviction(e) && !spec.Idempotent && spec.Kind != fold.Service:
		return phaseUnknown, 0
	default:
		return phaseWaiting, 0
	}
}

// updateHealth updates the health of the worker and the job after the end of a task. It may park the job or quarantine
// workers.
func (p *Pool) updateHealth(j *job, worker string, e fold.TaskEvent) {
	ran := time.Duration(e.Ran) * time.Millisecond
	switch {
	case e.State == fold.Done || (e.State == fold.Failed && j.spec.Kind == fold.Service && ran >= steadyRunTime):
		if e.State == fold.Done {
			p.estimator.Observe(j.spec, &j.usage, e)
		}
		if p.guard.RecordSuccess(worker, j.spec.ID) {
			p.refreshWorkerByName(worker)
		}
	case e.State == fold.Failed:
		park, changed := p.guard.RecordFailure(p.now, worker, j.spec.ID, len(p.workers))
		if park && !j.parked {
			p.halt(j, &j.parked)
		}
		for _, name := range changed {
			p.refreshWorkerByName(name)
		}
	default:
	}
}

func (p *Pool) refreshWorkerByName(worker string) {
	if w, ok := p.workers[worker]; ok {
		p.refreshWorker(w)
	}
}

// adoptTask records a task that a worker reports as running, as a task of its job or as an orphan that is to be stopped.
func (p *Pool) adoptTask(w *worker, reportedTask fold.WorkerTask) {
	if t, known := w.tasks[reportedTask.Task]; known && t.attempt == reportedTask.Attempt {
		if t.phase == phaseStarting {
			p.setPhase(t, phaseRunning)
		}
		return
	}
	if _, known := w.orphans[reportedTask.Task]; known {
		return
	}
	t := p.findAdoptable(reportedTask.Task)
	if t == nil {
		p.index.ForceAllocate(w.name, reportedTask.Resources)
		w.orphans[reportedTask.Task] = orphan{attempt: reportedTask.Attempt, size: reportedTask.Resources}
		p.pendingStops = append(p.pendingStops, stopRequest{worker: w.name, orphan: reportedTask.Task})
		return
	}
	t.attempt = reportedTask.Attempt
	t.startedAt = p.now
	p.assign(w, t, reportedTask.Resources)
	p.setPhase(t, phaseRunning)
	if t.job.cancelled {
		p.pendingStops = append(p.pendingStops, stopRequest{task: t, attempt: t.attempt})
	}
}

// findAdoptable returns the task if it may run on the worker that reports it, or nil.
func (p *Pool) findAdoptable(id fold.TaskID) *task {
	j, ok := p.jobs[id.Job]
	if !ok {
		return nil
	}
	t, ok := j.task(id)
	if !ok || (t.phase != phaseWaiting && t.phase != phaseUnknown) {
		return nil
	}
	return t
}

// assign commits capacity of a worker to a task. The index and the team count it until release.
func (p *Pool) assign(w *worker, t *task, size fold.Resources) {
	p.index.ForceAllocate(w.name, size)
	teamState := p.team(t.job.spec.Team)
	teamState.used = teamState.used.Add(size)
	t.worker = w.name
	t.size = size
	t.stopSent = false
	t.preemptReason = ""
	w.tasks[t.id()] = t
}

// release frees the capacity of a task and sets its phase.
func (p *Pool) release(t *task, to phase) {
	p.index.Release(t.worker, t.size)
	teamState := p.team(t.job.spec.Team)
	teamState.used = teamState.used.Sub(t.size)
	w := p.workers[t.worker]
	delete(w.tasks, t.id())
	if t.preemptReason != "" {
		p.preempting--
		teamState.preemptedSize = teamState.preemptedSize.Sub(t.size)
		t.preemptReason = ""
	}
	t.worker = ""
	t.size = fold.Resources{}
	p.setPhase(t, to)
	p.recordSplit(t.job)
	if len(w.tasks) == 0 {
		p.refreshWorker(w)
	}
}

func (p *Pool) dropOrphan(w *worker, id fold.TaskID) {
	p.index.Release(w.name, w.orphans[id].size)
	delete(w.orphans, id)
}

// handleMissing handles a task that its worker neither runs nor reports as ended.
func (p *Pool) handleMissing(t *task) {
	if t.phase == phaseStarting {
		p.release(t, phaseWaiting)
		p.readyAfter(t, 0)
		return
	}
	p.handleLost(t)
}

// handleLost handles a task whose outcome cannot be known. It runs again only if it is idempotent or a service.
func (p *Pool) handleLost(t *task) {
	if t.job.spec.Idempotent || t.job.spec.Kind == fold.Service {
		p.release(t, phaseWaiting)
		p.readyAfter(t, 0)
		return
	}
	p.release(t, phaseUnknown)
}
