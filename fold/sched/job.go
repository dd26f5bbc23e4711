package sched

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/gauge"
)

// MaxPlacements is the number of latest placements that a job keeps for explanations.
const MaxPlacements = 64

// phase is the state of a task in its life cycle.
type phase int

const (
	phaseWaiting phase = iota
	// phaseStarting marks a task whose start the worker has not confirmed yet.
	phaseStarting
	phaseRunning
	phaseDone
	phaseFailed
	// phaseUnknown marks a task that may have run and must not run twice.
	phaseUnknown
	// phaseMoving marks a task that is being moved to another pool.
	phaseMoving
	// phaseMoved marks a task that belongs to another pool.
	phaseMoved
	// phaseCount is the number of phases.
	phaseCount
)

// task is one task of a job.
type task struct {
	job *job
	// index is the position of the task in the job part.
	index int
	phase phase
	// attempt numbers the starts of the task; the first is 1.
	attempt int
	// worker is the worker on which the task holds capacity, or "".
	worker string
	// size is the capacity that the task holds on the worker.
	size fold.Resources
	// startedAt is when the current attempt was decided or adopted.
	startedAt fold.Instant
	// failures counts the attempts that failed.
	failures int
	// ready is set if a waiting task may start now; it is not set during a backoff.
	ready bool
	// stopSent is set once a stop of the attempt was returned by Stops or Evict.
	stopSent bool
	// evicted is set once Evict asked the attempt to save its state and stop, so that it continues on another worker.
	evicted bool
	// preemptReason says why the attempt is being preempted, or is "".
	preemptReason string
}

func (t *task) id() fold.TaskID {
	return fold.TaskID{Job: t.job.spec.ID, Index: t.job.spec.FirstTask + t.index}
}

// stoppedByEviction reports whether the event ends an evicted attempt, whose task may continue on another worker.
func (t *task) stoppedByEviction(e fold.TaskEvent) bool {
	return t.evicted && e.State == fold.Stopped
}

// active reports whether the task holds capacity.
func (t *task) active() bool {
	return t.phase == phaseStarting || t.phase == phaseRunning
}

// job is the state of one job part, which is a range of the tasks of a job.
type job struct {
	spec  fold.Job
	tasks []task
	// counts holds the number of tasks in each phase.
	counts [phaseCount]int
	// restored is set if an earlier owner of the pool accepted the job.
	restored  bool
	cancelled bool
	// parked is set if the job failed on several workers and starts no more tasks.
	parked bool
	// changed is set while the job is in Pool.dirty.
	changed bool
	// accepted is when this owner of the pool got the job.
	accepted fold.Instant
	// placements holds the latest placements, oldest first.
	placements []fold.Placement
	// usage summarizes the observed sizes and run times of the tasks.
	usage gauge.Usage
	// readyQueue holds the indices of tasks that may start. Indices of tasks that are no longer ready are skipped.
	readyQueue []int
	// readyCount is the number of ready tasks.
	readyCount int
	// lane is the lane that holds the job, or nil.
	lane *lane
	// blockage says why the last placement of the job failed.
	blockage blockage
	// splitSince is when the gang was first seen with only some of its tasks running, or 0.
	splitSince fold.Instant
	// preemptions counts the preempted tasks.
	preemptions int
	// preemptReason says why the last of them was preempted.
	preemptReason string
}

func newJob(now fold.Instant, spec fold.Job, restored bool) *job {
	j := &job{spec: spec, restored: restored, accepted: now, tasks: make([]task, spec.Count), readyQueue: make([]int, spec.Count)}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: i, ready: true}
		j.readyQueue[i] = i
	}
	j.readyCount = spec.Count
	j.counts[phaseWaiting] = spec.Count
	return j
}

// task returns the task with the id; it reports false if the task is outside the part.
func (j *job) task(id fold.TaskID) (*task, bool) {
	position := id.Index - j.spec.FirstTask
	if position < 0 || position >= len(j.tasks) {
		return nil, false
	}
	return &j.tasks[position], true
}

// nextReady returns the next task that may start, or nil.
func (j *job) nextReady() *task {
	for len(j.readyQueue) > 0 {
		t := &j.tasks[j.readyQueue[0]]
		if t.ready {
			return t
		}
		j.readyQueue = j.readyQueue[1:]
	}
	return nil
}

func (j *job) setReady(t *task, ready bool) {
	if t.ready == ready {
		return
	}
	t.ready = ready
	if !ready {
		j.readyCount--
		return
	}
	j.readyCount++
	j.readyQueue = append(j.readyQueue, t.index)
}

// halted reports whether the job was cancelled or parked and starts no more tasks.
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

// waiting counts the waiting tasks, including those that are being moved to another pool.
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
		Placements: append([]fold.Placement(nil), j.placements...),
	}
}

// addPlacement appends a placement and drops the oldest one beyond MaxPlacements.
func (j *job) addPlacement(p fold.Placement) {
	if len(j.placements) == MaxPlacements {
		j.placements = append(j.placements[:0], j.placements[1:]...)
	}
	j.placements = append(j.placements, p)
}
