package sched

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// TaskLease is how long a task runs without a heartbeat of its owner.
const TaskLease = 10 * time.Second

// Adopt records what runs on a worker; it also settles starts whose outcome was not known.
func (p *Pool) Adopt(now fold.Instant, node place.Node, adoption fold.Adoption) {
	w, known := p.workers[node.Name]
	if !known {
		w = &worker{tasks: make(map[fold.TaskID]*task)}
		p.workers[node.Name] = w
	}
	w.adopted = true
	node.Capacity = adoption.Capacity
	p.index.Add(node)
	p.Observe(now, node.Name, adoption.Events)
	present := make(map[fold.TaskID]bool, len(adoption.Tasks))
	for _, held := range adoption.Tasks {
		present[held.Task] = true
		p.adoptTask(w, node.Name, held)
	}
	for id, t := range w.tasks {
		if !present[id] {
			p.settleAbsent(t)
		}
	}
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
	delete(p.workers, name)
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
			t.job.move(t, phaseRunning)
			continue
		}
		p.release(t, phaseWaiting)
	}
}

// Observe records ends of tasks; an event that was seen before changes nothing.
func (p *Pool) Observe(_ fold.Instant, worker string, events []fold.TaskEvent) {
	for _, e := range events {
		j, ok := p.jobs[e.Task.Job]
		if !ok {
			continue
		}
		t, ok := j.task(e.Task)
		if !ok || !current(t, worker, e) {
			continue
		}
		p.ended(t, e)
	}
}

// current reports whether the event belongs to the attempt that the pool waits for. A restored task that waits takes
// any event, because its attempt was started by an earlier owner.
func current(t *task, worker string, e fold.TaskEvent) bool {
	if t.phase == phaseWaiting {
		return t.job.old && t.attempt < e.Attempt
	}
	return t.worker == worker && t.attempt == e.Attempt
}

func (p *Pool) ended(t *task, e fold.TaskEvent) {
	t.attempt = e.Attempt
	next := p.after(t, e.State)
	if t.worker == "" {
		t.job.move(t, next)
		return
	}
	p.release(t, next)
}

// after returns the phase of a task after it ended with the outcome.
func (p *Pool) after(t *task, state fold.Outcome) phase {
	spec := t.job.spec
	switch {
	case state == fold.Done && spec.Kind != fold.Service:
		return phaseDone
	case state == fold.Failed:
		t.fails++
		if t.fails > spec.Retries && spec.Kind != fold.Service {
			return phaseFailed
		}
		return phaseWaiting
	case state == fold.Stopped && !t.evicted && !t.job.cancelled && !spec.Idempotent && spec.Kind != fold.Service:
		return phaseUnknown
	default:
		return phaseWaiting
	}
}

func (p *Pool) adoptTask(w *worker, name string, held fold.WorkerTask) {
	if _, known := w.tasks[held.Task]; known {
		t := w.tasks[held.Task]
		if t.phase == phaseStarting {
			t.job.move(t, phaseRunning)
		}
		return
	}
	j, ok := p.jobs[held.Task.Job]
	if !ok {
		p.orphans[held.Task] = name
		return
	}
	t, ok := j.task(held.Task)
	if !ok || t.phase != phaseWaiting || !p.index.Take(name, held.Resources) {
		p.orphans[held.Task] = name
		return
	}
	owner := p.team(j.spec.Team)
	owner.used = owner.used.Add(j.spec.Resources)
	t.worker = name
	t.attempt = held.Attempt
	w.tasks[held.Task] = t
	j.move(t, phaseRunning)
}

// settleAbsent handles a task that the worker neither runs nor reports as ended.
func (p *Pool) settleAbsent(t *task) {
	if t.phase == phaseStarting {
		p.release(t, phaseWaiting)
		return
	}
	p.lose(t)
}

// lose handles a task whose fate cannot be known: it may run again only if it is idempotent.
func (p *Pool) lose(t *task) {
	if t.job.spec.Idempotent || t.job.spec.Kind == fold.Service {
		p.release(t, phaseWaiting)
		return
	}
	p.release(t, phaseUnknown)
}
