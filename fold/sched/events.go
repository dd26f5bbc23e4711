package sched

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// TaskLease is how long a task runs without a heartbeat of its owner.
const TaskLease = 10 * time.Second

// steadyRun is the run time after which a service task that fails is no sign of a bad job.
const steadyRun = 30 * time.Second

// orphan is a task that runs on a worker without a job of the pool that wants it there.
type orphan struct {
	attempt int
	size    fold.Resources
}

// advance takes note of the time.
func (p *Pool) advance(now fold.Instant) {
	p.now = max(p.now, now)
}

// Adopt records what runs on a worker; it also settles starts whose outcome was not known.
func (p *Pool) Adopt(now fold.Instant, node place.Node, adoption fold.Adoption) {
	p.advance(now)
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
	present := make(map[fold.TaskID]bool, len(adoption.Tasks))
	for _, held := range adoption.Tasks {
		present[held.Task] = true
		p.adoptTask(w, held)
	}
	for id, t := range w.tasks {
		if !present[id] {
			p.settleAbsent(t)
		}
	}
	for id := range w.orphans {
		if !present[id] {
			p.dropOrphan(w, id)
		}
	}
	p.openWorker(w)
}

// RemoveWorker drops a worker whose task leases have lapsed.
func (p *Pool) RemoveWorker(name string) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	for _, t := range w.tasks {
		p.lose(t)
	}
	p.index.Remove(name)
	p.guard.Removed(name)
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
			p.move(t, phaseRunning)
			continue
		}
		p.release(t, phaseWaiting)
		p.await(t, refusedBackoff)
	}
}

// Observe records ends of tasks; an event that was seen before changes nothing.
func (p *Pool) Observe(now fold.Instant, worker string, events []fold.TaskEvent) {
	p.advance(now)
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
		if ok && current(t, worker, e) {
			p.ended(t, worker, e)
		}
	}
}

// current reports whether the event tells something new about the task. A restored task that waits takes any event,
// because its attempt was started by an earlier owner. A task that was given up with its worker takes the news that it
// was done after all.
func current(t *task, worker string, e fold.TaskEvent) bool {
	switch t.phase {
	case phaseWaiting:
		if t.job.old && t.attempt < e.Attempt {
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

func (p *Pool) ended(t *task, worker string, e fold.TaskEvent) {
	t.attempt = e.Attempt
	next, wait := p.after(t, e)
	if t.worker == "" {
		p.move(t, next)
	} else {
		p.release(t, next)
	}
	p.judge(t.job, worker, e)
	if next == phaseWaiting {
		p.await(t, wait)
	}
}

// after returns the phase of a task after it ended, and the backoff if it waits again.
func (p *Pool) after(t *task, e fold.TaskEvent) (phase, time.Duration) {
	spec := t.job.spec
	switch {
	case e.State == fold.Done && spec.Kind != fold.Service:
		return phaseDone, 0
	case e.State == fold.Done:
		return phaseWaiting, firstBackoff
	case e.State == fold.Failed:
		t.fails++
		if t.fails > spec.Retries && spec.Kind != fold.Service {
			return phaseFailed, 0
		}
		return phaseWaiting, backoff(t)
	case !t.job.cancelled && !t.savedOnStop(e) && !spec.Idempotent && spec.Kind != fold.Service:
		return phaseUnknown, 0
	default:
		return phaseWaiting, 0
	}
}

// judge draws conclusions about the worker and the job from the end of a task.
func (p *Pool) judge(j *job, worker string, e fold.TaskEvent) {
	ran := time.Duration(e.Ran) * time.Millisecond
	switch {
	case e.State == fold.Done || (e.State == fold.Failed && j.spec.Kind == fold.Service && ran >= steadyRun):
		if e.State == fold.Done {
			p.book.Observe(j.spec, &j.usage, e)
		}
		if p.guard.Succeeded(worker, j.spec.ID) {
			p.reopen(worker)
		}
	case e.State == fold.Failed:
		park, changed := p.guard.Failed(p.now, worker, j.spec.ID, len(p.workers))
		if park && !j.parked {
			p.halt(j, &j.parked)
		}
		for _, name := range changed {
			p.reopen(name)
		}
	default:
	}
}

func (p *Pool) reopen(worker string) {
	if w, ok := p.workers[worker]; ok {
		p.openWorker(w)
	}
}

func (p *Pool) adoptTask(w *worker, held fold.WorkerTask) {
	if t, known := w.tasks[held.Task]; known && t.attempt == held.Attempt {
		if t.phase == phaseStarting {
			p.move(t, phaseRunning)
		}
		return
	}
	if _, known := w.orphans[held.Task]; known {
		return
	}
	t := p.wanted(held.Task)
	if t == nil {
		p.index.ForceCommit(w.name, held.Resources)
		w.orphans[held.Task] = orphan{attempt: held.Attempt, size: held.Resources}
		p.ending = append(p.ending, ending{worker: w.name, orphan: held.Task})
		return
	}
	t.attempt = held.Attempt
	t.began = p.now
	p.hold(w, t, held.Resources)
	p.move(t, phaseRunning)
	if t.job.cancelled {
		p.ending = append(p.ending, ending{task: t, attempt: t.attempt})
	}
}

// wanted returns the task if its job lets it run where it was found.
func (p *Pool) wanted(id fold.TaskID) *task {
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

// hold commits capacity on a worker to a task; the index and the team count it until release.
func (p *Pool) hold(w *worker, t *task, size fold.Resources) {
	p.index.ForceCommit(w.name, size)
	owner := p.team(t.job.spec.Team)
	owner.used = owner.used.Add(size)
	t.worker = w.name
	t.size = size
	t.stopped = false
	t.preempted = ""
	w.tasks[t.id()] = t
}

// release returns a task's capacity and moves it to a phase.
func (p *Pool) release(t *task, to phase) {
	p.index.Release(t.worker, t.size)
	owner := p.team(t.job.spec.Team)
	owner.used = owner.used.Sub(t.size)
	w := p.workers[t.worker]
	delete(w.tasks, t.id())
	if t.preempted != "" {
		p.preempts--
		owner.leaving = owner.leaving.Sub(t.size)
		t.preempted = ""
	}
	t.worker = ""
	t.size = fold.Resources{}
	p.move(t, to)
	p.noteSplit(t.job)
	if len(w.tasks) == 0 {
		p.openWorker(w)
	}
}

func (p *Pool) dropOrphan(w *worker, id fold.TaskID) {
	p.index.Release(w.name, w.orphans[id].size)
	delete(w.orphans, id)
}

// settleAbsent handles a task that the worker neither runs nor reports as ended.
func (p *Pool) settleAbsent(t *task) {
	if t.phase == phaseStarting {
		p.release(t, phaseWaiting)
		p.await(t, 0)
		return
	}
	p.lose(t)
}

// lose handles a task whose fate cannot be known: it may run again only if it is idempotent.
func (p *Pool) lose(t *task) {
	if t.job.spec.Idempotent || t.job.spec.Kind == fold.Service {
		p.release(t, phaseWaiting)
		p.await(t, 0)
		return
	}
	p.release(t, phaseUnknown)
}
