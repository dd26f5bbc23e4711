package sched

import (
	"sort"
	"time"

	"plantainfold.example/fold"
)

// Movable is a job part of which tasks may move to another pool.
type Movable struct {
	Spec fold.Job
	// Waiting is the number of tasks that may move.
	Waiting int
}

// Move is a set of tasks that are being moved to another pool. They start in no pool until EndMove ends the move.
type Move struct {
	// Part is the job part that the other pool receives.
	Part fold.Job
	// NewProgress is the progress in the record of the new part.
	NewProgress Progress
	// OldProgress is the progress in the record of the old part.
	OldProgress Progress

	tasks []*task
}

// Movables returns at most limit jobs that the pool has had for at least minAge, the oldest first. A gang moves only as a
// whole, and a restored job only once it may start.
func (p *Pool) Movables(now fold.Instant, minAge time.Duration, limit int) []Movable {
	var found []*job
	for _, j := range p.jobs {
		if now.Sub(j.accepted) >= minAge && p.canMove(j) {
			found = append(found, j)
		}
	}
	sort.Slice(found, func(i, k int) bool {
		if found[i].accepted != found[k].accepted {
			return found[i].accepted < found[k].accepted
		}
		return found[i].spec.ID < found[k].spec.ID
	})
	list := make([]Movable, 0, min(len(found), limit))
	for _, j := range found[:min(len(found), limit)] {
		list = append(list, Movable{Spec: j.spec, Waiting: j.readyCount})
	}
	return list
}

// canMove reports whether tasks of the job may move to another pool.
func (p *Pool) canMove(j *job) bool {
	if j.halted() || j.readyCount == 0 || j.counts[phaseMoving] > 0 || (j.restored && p.restoredPaused) {
		return false
	}
	return j.spec.Kind != fold.Gang || j.readyCount == len(j.tasks)
}

// BeginMove starts the move of up to count waiting tasks of a job to another pool; it reports false if no task can move.
func (p *Pool) BeginMove(id string, count int) (Move, bool) {
	j, ok := p.jobs[id]
	if !ok || !p.canMove(j) || (j.spec.Kind == fold.Gang && count < len(j.tasks)) {
		return Move{}, false
	}
	m := Move{Part: j.spec, NewProgress: j.emptyProgress(), OldProgress: j.progress()}
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(m.tasks) == count || !t.ready || t.phase != phaseWaiting {
			setBit(m.NewProgress.Moved, i)
			continue
		}
		setBit(m.OldProgress.Moved, i)
		m.tasks = append(m.tasks, t)
		p.setPhase(t, phaseMoving)
	}
	return m, len(m.tasks) > 0
}

// EndMove ends a move. The tasks belong to the other pool if gone is set, and wait here again if not.
func (p *Pool) EndMove(m Move, gone bool) {
	for _, t := range m.tasks {
		if gone {
			p.setPhase(t, phaseMoved)
			continue
		}
		p.setPhase(t, phaseWaiting)
		p.readyAfter(t, 0)
	}
}

// HasCapacity reports whether a task of the size could be placed now.
func (p *Pool) HasCapacity(size fold.Resources) bool {
	_, ok := p.index.Choose(size, nil)
	return ok
}

// Cancelled reports whether a job was cancelled.
func (p *Pool) Cancelled(id string) bool {
	j, ok := p.jobs[id]
	return ok && j.cancelled
}

// emptyProgress returns the progress of a part with the same range in which no task has ended.
func (j *job) emptyProgress() Progress {
	bytes := (len(j.tasks) + 7) / 8
	return Progress{Done: make([]byte, bytes), Failed: make([]byte, bytes), Unknown: make([]byte, bytes), Moved: make([]byte, bytes)}
}

func setBit(set []byte, i int) {
	set[i/8] |= 1 << (i % 8)
}
