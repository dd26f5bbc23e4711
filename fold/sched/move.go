package sched

import (
	"sort"
	"time"

	"plantainfold.example/fold"
)

// Movable is a job part with waiting tasks that may go to another pool.
type Movable struct {
	Spec    fold.Job
	Waiting int
}

// Move is a set of tasks on their way to another pool. Until it is settled they start nowhere.
type Move struct {
	// Part is the range of the tasks, Rest what the record of the new part says, and Left what that of the old one says.
	Part        fold.Job
	NewProgress Progress
	OldProgress Progress

	tasks []*task
}

// Movables returns at most limit jobs that have waited for at least age, the longest wait first. A gang moves only as a
// whole, and work of an earlier owner only once it may start.
func (p *Pool) Movables(now fold.Instant, age time.Duration, limit int) []Movable {
	var found []*job
	for _, j := range p.jobs {
		if now.Sub(j.accepted) >= age && p.movable(j) {
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
		list = append(list, Movable{Spec: j.spec, Waiting: j.nready})
	}
	return list
}

func (p *Pool) movable(j *job) bool {
	if j.halted() || j.nready == 0 || j.counts[phaseMoving] > 0 || (j.old && p.held) {
		return false
	}
	return j.spec.Kind != fold.Gang || j.nready == len(j.tasks)
}

// BeginMove takes up to count waiting tasks out of a job for another pool; it reports false if none can go.
func (p *Pool) BeginMove(id string, count int) (Move, bool) {
	j, ok := p.jobs[id]
	if !ok || !p.movable(j) || (j.spec.Kind == fold.Gang && count < len(j.tasks)) {
		return Move{}, false
	}
	m := Move{Part: j.spec, NewProgress: j.blank(), OldProgress: j.progress()}
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(m.tasks) == count || !t.ready || t.phase != phaseWaiting {
			setBit(m.NewProgress.Moved, i)
			continue
		}
		setBit(m.OldProgress.Moved, i)
		m.tasks = append(m.tasks, t)
		p.move(t, phaseMoving)
	}
	return m, len(m.tasks) > 0
}

// EndMove ends a move: the tasks are gone for good, or wait here again.
func (p *Pool) EndMove(m Move, gone bool) {
	for _, t := range m.tasks {
		if gone {
			p.move(t, phaseMoved)
			continue
		}
		p.move(t, phaseWaiting)
		p.await(t, 0)
	}
}

// HasCapacity reports whether a task of the size could be placed here now.
func (p *Pool) HasCapacity(size fold.Resources) bool {
	_, ok := p.index.Choose(size, nil)
	return ok
}

// Cancelled reports whether a job was cancelled.
func (p *Pool) Cancelled(id string) bool {
	j, ok := p.jobs[id]
	return ok && j.cancelled
}

// blank returns the progress of a part of the same range of which nothing has ended.
func (j *job) blank() Progress {
	bytes := (len(j.tasks) + 7) / 8
	return Progress{Done: make([]byte, bytes), Failed: make([]byte, bytes), Unknown: make([]byte, bytes), Moved: make([]byte, bytes)}
}

func setBit(set []byte, i int) {
	set[i/8] |= 1 << (i % 8)
}
