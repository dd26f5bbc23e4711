package sched

import (
	"plantainfold.example/fold"
)

// MaxPlaces bounds the placements that a job remembers for explanations.
const MaxPlaces = 64

// phase is where a task stands.
type phase int

const (
	phaseWaiting phase = iota
	phaseStarting
	phaseRunning
	phaseDone
	phaseFailed
	phaseUnknown
	phaseCount
)

// task is one task of a job.
type task struct {
	id      fold.TaskID
	job     *job
	phase   phase
	attempt int
	worker  string
	fails   int
	stopped bool
	// evicted says that the task was told to save its state and stop, so that it goes on elsewhere.
	evicted bool
}

// job is the state of one job part.
type job struct {
	spec      fold.Job
	tasks     []*task
	counts    [phaseCount]int
	old       bool
	cancelled bool
	changed   bool
	accepted  fold.Instant
	places    []fold.Placement
}

func newJob(now fold.Instant, spec fold.Job, old bool) *job {
	j := &job{spec: spec, old: old, accepted: now, tasks: make([]*task, spec.Count)}
	for i := range j.tasks {
		j.tasks[i] = &task{id: fold.TaskID{Job: spec.ID, Index: spec.From + i}, job: j}
	}
	j.counts[phaseWaiting] = spec.Count
	return j
}

func (j *job) count(ph phase) int {
	return j.counts[ph]
}

// move puts a task into another phase and keeps the counts.
func (j *job) move(t *task, to phase) {
	j.counts[t.phase]--
	t.phase = to
	j.counts[to]++
	j.changed = true
}

// task returns the task with the id, if the part holds it.
func (j *job) task(id fold.TaskID) (*task, bool) {
	at := id.Index - j.spec.From
	if at < 0 || at >= len(j.tasks) {
		return nil, false
	}
	return j.tasks[at], true
}

// active counts tasks that hold capacity.
func (j *job) active() int {
	return j.counts[phaseStarting] + j.counts[phaseRunning]
}

// state derives the state of the job from its tasks.
func (j *job) state() fold.Outcome {
	switch {
	case j.active() > 0:
		return fold.Running
	case j.cancelled:
		return fold.Cancelled
	case j.counts[phaseWaiting] > 0:
		return fold.Waiting
	case j.counts[phaseUnknown] > 0:
		return fold.Lost
	case j.counts[phaseFailed] > 0:
		return fold.Failed
	default:
		return fold.Done
	}
}

func (j *job) status(pool string) fold.JobStatus {
	return fold.JobStatus{
		Job:     j.spec,
		Pool:    pool,
		State:   j.state(),
		Waiting: j.counts[phaseWaiting],
		Running: j.active(),
		Done:    j.counts[phaseDone],
		Failed:  j.counts[phaseFailed],
		Unknown: j.counts[phaseUnknown],
		Places:  append([]fold.Placement(nil), j.places...),
	}
}

func (j *job) remember(p fold.Placement) {
	if len(j.places) == MaxPlaces {
		j.places = append(j.places[:0], j.places[1:]...)
	}
	j.places = append(j.places, p)
}
