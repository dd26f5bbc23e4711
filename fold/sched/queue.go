package sched

import (
	"cmp"
	"container/heap"

	"plantainfold.example/fold"
)

// laneKey identifies jobs of a team that need the same capacity. If the first of them does not fit, none does.
type laneKey struct {
	// size is the capacity that one task needs.
	size fold.Resources
	// gang is the job id of a gang, or "". Each gang has a lane of its own.
	gang string
}

// lane is a heap of the jobs of a team with the same key, ordered by compareJobs.
type lane struct {
	key  laneKey
	jobs []*job
	// haltedCount counts the jobs of the lane that are cancelled or parked. They are removed in batches to keep the cost
	// low.
	haltedCount int
	// heapIndex is the position in queue.lanes, or -1 while the lane is not in it.
	heapIndex int
}

var _ heap.Interface = &lane{}

func (l *lane) Len() int           { return len(l.jobs) }
func (l *lane) Less(i, k int) bool { return compareJobs(l.jobs[i], l.jobs[k]) < 0 }
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

// queue is a heap of the lanes of a team, ordered by their first jobs.
type queue struct {
	lanes []*lane
	byKey map[laneKey]*lane
}

var _ heap.Interface = &queue{}

func (q *queue) Len() int           { return len(q.lanes) }
func (q *queue) Less(i, k int) bool { return compareJobs(q.lanes[i].jobs[0], q.lanes[k].jobs[0]) < 0 }

// Swap exchanges two lanes for container/heap.
func (q *queue) Swap(i, k int) {
	q.lanes[i], q.lanes[k] = q.lanes[k], q.lanes[i]
	q.lanes[i].heapIndex, q.lanes[k].heapIndex = i, k
}

// Push adds a lane for container/heap.
func (q *queue) Push(l any) {
	if l, ok := l.(*lane); ok {
		l.heapIndex = len(q.lanes)
		q.lanes = append(q.lanes, l)
	}
}

// Pop drops the last lane for container/heap.
func (q *queue) Pop() any {
	last := len(q.lanes) - 1
	l := q.lanes[last]
	q.lanes[last] = nil
	q.lanes = q.lanes[:last]
	l.heapIndex = -1
	return l
}

// addJob adds a job to its lane and creates the lane if needed.
func (q *queue) addJob(j *job) {
	key := laneKeyOf(j)
	l, ok := q.byKey[key]
	if !ok {
		l = &lane{key: key, heapIndex: -1}
		q.byKey[key] = l
	}
	j.lane = l
	heap.Push(l, j)
	switch {
	case l.heapIndex >= 0:
		heap.Fix(q, l.heapIndex)
	case len(l.jobs) == 1:
		heap.Push(q, l)
	}
}

// firstStartable returns the lane of the first job that may start. It drops the jobs before it from their lanes.
func (q *queue) firstStartable(startable func(*job) bool) *lane {
	for len(q.lanes) > 0 {
		l := q.lanes[0]
		if startable(l.jobs[0]) {
			return l
		}
		q.dropFirst(l)
	}
	return nil
}

// dropFirst removes the first job of a lane that is in q.lanes.
func (q *queue) dropFirst(l *lane) {
	if l.jobs[0].halted() {
		l.haltedCount--
	}
	l.jobs[0].lane = nil
	heap.Pop(l)
	if len(l.jobs) > 0 {
		heap.Fix(q, l.heapIndex)
		return
	}
	heap.Remove(q, l.heapIndex)
	delete(q.byKey, l.key)
}

// countHalted records that a queued job was cancelled or parked. Once more than half of the jobs in a lane are halted, it
// removes them all.
func (q *queue) countHalted(j *job) {
	l := j.lane
	l.haltedCount++
	if 2*l.haltedCount <= len(l.jobs) {
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
	l.jobs, l.haltedCount = kept, 0
	if len(kept) == 0 {
		heap.Remove(q, l.heapIndex)
		delete(q.byKey, l.key)
		return
	}
	heap.Init(l)
	heap.Fix(q, l.heapIndex)
}

// removeLane removes a lane for the rest of a decision round.
func (q *queue) removeLane(l *lane) {
	heap.Remove(q, l.heapIndex)
}

// addLane adds a lane again that removeLane removed.
func (q *queue) addLane(l *lane) {
	heap.Push(q, l)
}

// compareJobs orders the jobs of a team by priority, deadline, acceptance time and id.
func compareJobs(a, b *job) int {
	return cmp.Or(
		cmp.Compare(b.spec.Priority, a.spec.Priority),
		compareDeadline(a.spec.Deadline, b.spec.Deadline),
		cmp.Compare(a.spec.Accepted, b.spec.Accepted),
		cmp.Compare(a.accepted, b.accepted),
		cmp.Compare(a.spec.ID, b.spec.ID),
	)
}

// compareDeadline orders deadlines; 0 means that there is none and comes last.
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
