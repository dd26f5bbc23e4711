package sched

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/gauge"
)

// MaxPlacements bounds the placements that a job remembers for explanations.
const MaxPlacements = 64

// phase is where a task stands.
type phase int

const (
	phaseWaiting phase = iota
	phaseStarting
	phaseRunning
	phaseDone
	phaseFailed
	phaseUnknown
	// phaseMoving is on the way to another pool, phaseMoved belongs to another pool.
	phaseMoving
	phaseMoved
	phaseCount
)

// task is one task of a job.
type task struct {
	job     *job
	index   int
	phase   phase
	attempt int
	// worker is where the task holds capacity, or "".
	worker string
	// size is what the task holds there.
	size  fold.Resources
	began fold.Instant
	fails int
	// ready says that a waiting task may start now; other waiting tasks wait for the end of their backoff.
	ready bool
	// stopped says that the worker was told to stop the attempt.
	stopped bool
	// evicted says that the task was told to save its state and stop, so that it goes on elsewhere.
	evicted bool
	// preempted names why the attempt makes room for other work, or is "".
	preempted string
}

func (t *task) id() fold.TaskID {
	return fold.TaskID{Job: t.job.spec.ID, Index: t.job.spec.FirstTask + t.index}
}

// savedOnStop reports whether the event ends an attempt that was told to save its state, so that it may go on elsewhere.
func (t *task) savedOnStop(e fold.TaskEvent) bool {
	return t.evicted && e.State == fold.Stopped
}

// active reports whether the task holds capacity.
func (t *task) active() bool {
	return t.phase == phaseStarting || t.phase == phaseRunning
}

// job is the state of one job part.
type job struct {
	spec      fold.Job
	tasks     []task
	counts    [phaseCount]int
	old       bool
	cancelled bool
	parked    bool
	changed   bool
	accepted  fold.Instant
	places    []fold.Placement
	usage     gauge.Usage
	// ready holds the indices of tasks that may start; entries whose task is not ready any more are skipped.
	ready  []int
	nready int
	// lane is the queue that the job stands in, or nil.
	lane *lane
	// wait says why the job was not placed the last time.
	wait wait
	// split is the instant since which only a part of a gang runs, or 0.
	split fold.Instant
	// preemptions counts the tasks that made room for other work; preempted says why the last one did.
	preemptions int
	preempted   string
}

func newJob(now fold.Instant, spec fold.Job, old bool) *job {
	j := &job{spec: spec, old: old, accepted: now, tasks: make([]task, spec.Count), ready: make([]int, spec.Count)}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: i, ready: true}
		j.ready[i] = i
	}
	j.nready = spec.Count
	j.counts[phaseWaiting] = spec.Count
	return j
}

// task returns the task with the id, if the part holds it.
func (j *job) task(id fold.TaskID) (*task, bool) {
	at := id.Index - j.spec.FirstTask
	if at < 0 || at >= len(j.tasks) {
		return nil, false
	}
	return &j.tasks[at], true
}

// first returns the next task that may start, or nil.
func (j *job) first() *task {
	for len(j.ready) > 0 {
		t := &j.tasks[j.ready[0]]
		if t.ready {
			return t
		}
		j.ready = j.ready[1:]
	}
	return nil
}

func (j *job) setReady(t *task, ready bool) {
	if t.ready == ready {
		return
	}
	t.ready = ready
	if !ready {
		j.nready--
		return
	}
	j.nready++
	j.ready = append(j.ready, t.index)
}

// halted reports whether no task of the job may start any more.
func (j *job) halted() bool {
	return j.cancelled || j.parked
}

func (j *job) urgent() bool {
	return j.spec.Priority >= fold.UrgentPriority
}

// active counts tasks that hold capacity.
func (j *job) active() int {
	return j.counts[phaseStarting] + j.counts[phaseRunning]
}

// waiting counts tasks that wait, those on their way to another pool included.
func (j *job) waiting() int {
	return j.counts[phaseWaiting] + j.counts[phaseMoving]
}

// state derives the state of the job from its tasks.
func (j *job) state() fold.Outcome {
	switch {
	case j.active() > 0:
		return fold.Running
	case j.cancelled && j.counts[phaseWaiting] > 0:
		return fold.Cancelled
	case j.parked && j.counts[phaseWaiting] > 0:
		return fold.Parked
	case j.waiting() > 0:
		return fold.Waiting
	case j.counts[phaseUnknown] > 0:
		return fold.UnknownOutcome
	case j.counts[phaseFailed] > 0:
		return fold.Failed
	default:
		return fold.Done
	}
}

func (j *job) status(pool string) fold.JobStatus {
	return fold.JobStatus{
		Job:        j.spec,
		Pool:       pool,
		State:      j.state(),
		Waiting:    j.waiting(),
		Running:    j.active(),
		Done:       j.counts[phaseDone],
		Failed:     j.counts[phaseFailed],
		Unknown:    j.counts[phaseUnknown],
		Placements: append([]fold.Placement(nil), j.places...),
	}
}

func (j *job) remember(p fold.Placement) {
	if len(j.places) == MaxPlacements {
		j.places = append(j.places[:0], j.places[1:]...)
	}
	j.places = append(j.places, p)
}
