package sched

import (
	"cmp"
	"container/heap"

	"plantainfold.example/fold"
)

// laneKey names jobs that fit or do not fit alike, so that one of them stands for all.
type laneKey struct {
	size fold.Resources
	// gang is the id of a gang; each gang has a lane of its own.
	gang string
}

// lane is a queue of jobs of one team and size, first job first.
type lane struct {
	key  laneKey
	jobs []*job
	// dead counts jobs that were cancelled or parked; they are dropped together, so that each costs little.
	dead int
	// at is the position among the team's lanes, or -1 while the lane is set aside.
	at int
}

var _ heap.Interface = &lane{}

func (l *lane) Len() int           { return len(l.jobs) }
func (l *lane) Less(i, k int) bool { return compare(l.jobs[i], l.jobs[k]) < 0 }
func (l *lane) Swap(i, k int)      { l.jobs[i], l.jobs[k] = l.jobs[k], l.jobs[i] }

// Push adds a job for container/heap.
func (l *lane) Push(j any) {
	if j, ok := j.(*job); ok {
		l.jobs = append(l.jobs, j)
	}
}

// Pop drops the last job for container/heap.
func (l *lane) Pop() any {
	last := len(l.jobs) - 1
	j := l.jobs[last]
	l.jobs[last] = nil
	l.jobs = l.jobs[:last]
	return j
}

// queue orders the lanes of a team by their first jobs.
type queue struct {
	lanes []*lane
	byKey map[laneKey]*lane
}

var _ heap.Interface = &queue{}

func (q *queue) Len() int           { return len(q.lanes) }
func (q *queue) Less(i, k int) bool { return compare(q.lanes[i].jobs[0], q.lanes[k].jobs[0]) < 0 }

// Swap exchanges two lanes for container/heap.
func (q *queue) Swap(i, k int) {
	q.lanes[i], q.lanes[k] = q.lanes[k], q.lanes[i]
	q.lanes[i].at, q.lanes[k].at = i, k
}

// Push adds a lane for container/heap.
func (q *queue) Push(l any) {
	if l, ok := l.(*lane); ok {
		l.at = len(q.lanes)
		q.lanes = append(q.lanes, l)
	}
}

// Pop drops the last lane for container/heap.
func (q *queue) Pop() any {
	last := len(q.lanes) - 1
	l := q.lanes[last]
	q.lanes[last] = nil
	q.lanes = q.lanes[:last]
	l.at = -1
	return l
}

// add puts a job into its lane.
func (q *queue) add(j *job) {
	key := keyOf(j)
	l, ok := q.byKey[key]
	if !ok {
		l = &lane{key: key, at: -1}
		q.byKey[key] = l
	}
	j.lane = l
	heap.Push(l, j)
	switch {
	case l.at >= 0:
		heap.Fix(q, l.at)
	case len(l.jobs) == 1:
		heap.Push(q, l)
	}
}

// first returns the lane with the first job that may start; jobs that may not are dropped from their lanes.
func (q *queue) first(startable func(*job) bool) *lane {
	for len(q.lanes) > 0 {
		l := q.lanes[0]
		if startable(l.jobs[0]) {
			return l
		}
		q.dropFirst(l)
	}
	return nil
}

// dropFirst takes the first job out of a lane that is not set aside.
func (q *queue) dropFirst(l *lane) {
	if l.jobs[0].halted() {
		l.dead--
	}
	l.jobs[0].lane = nil
	heap.Pop(l)
	if len(l.jobs) > 0 {
		heap.Fix(q, l.at)
		return
	}
	heap.Remove(q, l.at)
	delete(q.byKey, l.key)
}

// bury notes that a job of the queue is cancelled or parked. Once half of a lane is dead, all dead jobs are dropped.
func (q *queue) bury(j *job) {
	l := j.lane
	l.dead++
	if 2*l.dead <= len(l.jobs) {
		return
	}
	kept := l.jobs[:0]
	for _, other := range l.jobs {
		if other.halted() {
			other.lane = nil
			continue
		}
		kept = append(kept, other)
	}
	clear(l.jobs[len(kept):])
	l.jobs, l.dead = kept, 0
	if len(kept) == 0 {
		heap.Remove(q, l.at)
		delete(q.byKey, l.key)
		return
	}
	heap.Init(l)
	heap.Fix(q, l.at)
}

// putAside takes a lane out of the order for the rest of a decision round.
func (q *queue) putAside(l *lane) {
	heap.Remove(q, l.at)
}

// putBack returns a lane to the order.
func (q *queue) putBack(l *lane) {
	heap.Push(q, l)
}

// compare orders jobs of a team by priority, deadline, time of accept and id.
func compare(a, b *job) int {
	return cmp.Or(
		cmp.Compare(b.spec.Priority, a.spec.Priority),
		compareDeadline(a.spec.Deadline, b.spec.Deadline),
		cmp.Compare(a.spec.Accepted, b.spec.Accepted),
		cmp.Compare(a.accepted, b.accepted),
		cmp.Compare(a.spec.ID, b.spec.ID),
	)
}

// compareDeadline puts jobs without a deadline last.
func compareDeadline(a, b int64) int {
	switch {
	case a == b:
		return 0
	case a == 0:
		return 1
	case b == 0:
		return -1
	default:
		return cmp.Compare(a, b)
	}
}
