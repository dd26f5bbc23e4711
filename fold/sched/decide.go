package sched

import (
	"sort"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// Start is a decision to run a task on a worker; the capacity is already committed.
type Start struct {
	Worker string
	Task   fold.WorkerTask
}

// Stop is a decision to stop a task gracefully.
type Stop struct {
	Worker string
	Task   fold.TaskID
	// Checkpoint says that the task is to save its state first.
	Checkpoint bool
}

// Decide returns at most limit starts; their tasks wait for Confirm or Adopt.
func (p *Pool) Decide(now fold.Instant, limit int) []Start {
	var starts []Start
	capacity, _ := p.index.Totals()
	blocked := make(map[*job]bool)
	for len(starts) < limit {
		j := p.next(capacity, blocked)
		if j == nil {
			break
		}
		placed := p.placeJob(now, j, limit-len(starts))
		if len(placed) == 0 {
			blocked[j] = true
		}
		starts = append(starts, placed...)
	}
	return starts
}

// Stops returns the tasks that must stop and were not told yet.
func (p *Pool) Stops() []Stop {
	var stops []Stop
	for name, w := range p.workers {
		for id, t := range w.tasks {
			if t.job.cancelled && !t.stopped {
				t.stopped = true
				stops = append(stops, Stop{Worker: name, Task: id})
			}
		}
	}
	for id, name := range p.orphans {
		stops = append(stops, Stop{Worker: name, Task: id})
	}
	clear(p.orphans)
	sort.Slice(stops, func(i, k int) bool { return stops[i].Task.String() < stops[k].Task.String() })
	return stops
}

// next returns the job to place now: urgent work first, then the team that is furthest below its share.
func (p *Pool) next(capacity fold.Resources, blocked map[*job]bool) *job {
	var best *job
	var bestRatio float64
	for _, t := range p.teams {
		for _, j := range t.queue {
			if blocked[j] || !p.startable(j) {
				continue
			}
			ratio := t.used.Dominant(capacity) / float64(t.share)
			if best == nil || ahead(j, ratio, best, bestRatio) {
				best, bestRatio = j, ratio
			}
			break
		}
	}
	return best
}

func ahead(a *job, ratioA float64, b *job, ratioB float64) bool {
	urgentA := a.spec.Priority >= fold.UrgentPriority
	urgentB := b.spec.Priority >= fold.UrgentPriority
	switch {
	case urgentA != urgentB:
		return urgentA
	case ratioA != ratioB:
		return ratioA < ratioB
	default:
		return compare(a, b) < 0
	}
}

func (p *Pool) startable(j *job) bool {
	return !j.cancelled && j.counts[phaseWaiting] > 0 && !(j.old && p.held)
}

// placeJob places waiting tasks of a job, all of them or none for a gang.
func (p *Pool) placeJob(now fold.Instant, j *job, limit int) []Start {
	var starts []Start
	gang := j.spec.Kind == fold.Gang
	for _, t := range j.tasks {
		if t.phase != phaseWaiting {
			continue
		}
		if !gang && len(starts) == limit {
			break
		}
		start, ok := p.placeTask(now, t)
		if !ok {
			if gang {
				p.undo(starts)
				return nil
			}
			break
		}
		starts = append(starts, start)
	}
	return starts
}

func (p *Pool) placeTask(now fold.Instant, t *task) (Start, bool) {
	spec := t.job.spec
	owner := p.team(spec.Team)
	if !owner.used.Add(spec.Resources).Fits(owner.allotment) {
		return Start{}, false
	}
	name, ok := p.index.Choose(spec.Resources, p.usable)
	if !ok || !p.index.Take(name, spec.Resources) {
		return Start{}, false
	}
	owner.used = owner.used.Add(spec.Resources)
	t.worker = name
	t.attempt++
	t.stopped = false
	t.evicted = false
	t.job.move(t, phaseStarting)
	p.workers[name].tasks[t.id] = t
	node, _ := p.index.Node(name)
	t.job.remember(fold.Placement{
		Task:    t.id,
		Attempt: t.attempt,
		Worker:  name,
		Domain:  node.Domain,
		Waited:  now.Sub(t.job.accepted).Milliseconds(),
		Reason:  "least free capacity left after the task",
	})
	return Start{Worker: name, Task: fold.WorkerTask{
		Task:      t.id,
		Attempt:   t.attempt,
		Resources: spec.Resources,
		Duration:  spec.Duration,
		Lease:     TaskLease.Milliseconds(),
	}}, true
}

func (p *Pool) usable(n place.Node) bool {
	w := p.workers[n.Name]
	return w != nil && w.adopted && !w.leaving
}

// undo takes back placements that were not sent.
func (p *Pool) undo(starts []Start) {
	for _, s := range starts {
		if t, ok := p.workers[s.Worker].tasks[s.Task.Task]; ok {
			t.attempt--
			p.release(t, phaseWaiting)
		}
	}
}

// release returns a task's capacity and moves it to a phase.
func (p *Pool) release(t *task, to phase) {
	spec := t.job.spec
	p.index.Give(t.worker, spec.Resources)
	owner := p.team(spec.Team)
	owner.used = owner.used.Sub(spec.Resources)
	delete(p.workers[t.worker].tasks, t.id)
	t.worker = ""
	t.job.move(t, to)
}
