package core

import (
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// job is an accepted job and its progress.
type job struct {
	spec  flow.Job
	queue fold.Queue
	state flow.State
	// recordedState is the state in the last durable record.
	recordedState flow.State
	endedAt       int64
	// parts holds the steps of all occurrences, by occurrence and step. An occurrence is nil until it is built.
	parts [][]*part
	// nextOccurrence is the first occurrence that was not activated because it was not due.
	nextOccurrence int
	// partsLeft counts the unfinished parts. liveRuns counts the runs that may be on a host.
	partsLeft, liveRuns int
	// started reports whether a run of the job was ever planned. begun reports whether a host has confirmed one.
	started, begun bool
	// countedWaiting reports whether the job is included in Cell.waiting.
	countedWaiting bool
	// openTasks counts the tasks of the begun parts that are not done. Each of them takes space in the record. builtTasks counts
	// the tasks of all built parts that are not done.
	openTasks, builtTasks int
	// recordSeq is the sequence number of the last record.
	recordSeq int64
	// tableVersion is the version of the table at which the job was accepted. It is 0 for a job that this owner has loaded.
	tableVersion int64
	// restored reports whether an earlier owner knew the job and may have started runs of it without a record.
	restored bool
	// dirty reports whether the job is listed in Cell.dirty.
	dirty bool
	// due is when the job should end. worthlessAfter is when its result has lost most of its value.
	due, worthlessAfter fold.Instant
	// acceptedAt is when the job was accepted, by the steady clock.
	acceptedAt fold.Instant
	// ratioSum and ratioWeight are the weighted sum and the weight of the ratios of run times to estimates in finished steps.
	ratioSum, ratioWeight float64
	// queueFactor is the factor of the job's queue, or nil before its first use. It saves a lookup for each decision.
	queueFactor *runTimeFactor
	// overRate reports whether the team had exceeded its rate when the job was accepted.
	overRate bool
	// team is the team of the job.
	team *team
}

// part is one step of one occurrence of a job.
type part struct {
	job        *job
	step       *flow.Step
	occurrence int
	index      int
	tasks      []task
	// doneTasks counts the tasks that are done. waitingTasks counts those that wait for a host.
	doneTasks, waitingTasks int
	// blockers counts the unfinished parts that this one depends on.
	blockers int
	// successors lists the parts that depend on this one.
	successors []*part
	// begun reports whether a run of any task was ever planned.
	begun bool
	// active reports whether the part was added to the active or the scheduled parts of the cell.
	active bool
	// rank is its rank in the last round of decisions. setBack is the past use by which it was ordered within the rank.
	rank    int
	setBack float64
	// remaining is the last result of jobRemaining for the part.
	remaining time.Duration
	// speedPreference is the weight of the speed of a host in the score of the part's tasks, see speedWeight.
	speedPreference float64
	// samples lists completed runs whose run times were not compared yet, at most maxStepSamples.
	samples []runSample
	times   stepTimes
	// leaseEnded reports whether a run of the part was lost because its lease had ended.
	leaseEnded bool
	// gangFailures counts failed runs of the gang. failedRuns lists the numbers of the last ones, at most maxFailedRuns. Each
	// member may report the failure of a run, also to a later owner and after the failure of a later run.
	gangFailures int
	failedRuns   []int
	perHost      map[*host]int
	// failingTasks counts the tasks that have failed without a success since, on the hosts in failedOn. steadyRuns counts the
	// runs that have worked for steadyTime.
	failingTasks, steadyRuns int
	failedOn                 failingHosts
	// faultLogged reports whether the log tells that failures of the part are put down to its job.
	faultLogged bool
	// reservations lists the room that is kept for waiting tasks of the part.
	reservations []reservation
	advice       approvals
	// readyAt is when the part became ready to start.
	readyAt fold.Instant
}

type task struct {
	part     *part
	index    int
	done     bool
	failures int
	// lastRun is the highest run number.
	lastRun int
	// checkpoint is the newest checkpoint, or empty.
	checkpoint string
	// lastRecorded is the highest run number that an earlier owner recorded. firstOwnRun is the number of the first run that
	// this owner planned. Runs between them were started without a record.
	lastRecorded, firstOwnRun int
	// countedFailures lists the failed runs among those without a record.
	countedFailures []int
	// failedOn lists the hosts on which the task has failed without a success since.
	failedOn failingHosts
	// numberSkipped reports whether run numbers were skipped, see nextRunNumber.
	numberSkipped bool
	// runs lists the live runs. There is more than one only for a step with speculative copies.
	runs []*run
	// copied reports whether the task ever had a speculative copy.
	copied bool
	// notBefore is the earliest time of the next start.
	notBefore fold.Instant
	// lostAt is when the last live run ended.
	lostAt fold.Instant
}

// phase is the progress of a run from plan to confirmation.
type phase int

const (
	// phasePlanned is the phase of a run whose record is not durable yet.
	phasePlanned phase = iota
	// phaseOrdered is the phase of a run whose start was sent or is about to be sent. The run may be on the host.
	phaseOrdered
	// phaseRunning is the phase of a run that the host has confirmed.
	phaseRunning
)

// run is one start of a task on one incarnation of a host.
type run struct {
	task *task
	// id is the name of the task.
	id          string
	number      int
	host        *host
	incarnation int64
	phase       phase
	ticket      string
	// detached reports whether the run was removed from its host. A plan that still waits for its record is then dropped.
	detached bool
	// inherited reports whether an earlier owner started the run.
	inherited bool
	// stopping reports whether the run must be stopped.
	stopping bool
	// steady reports whether the run of a long-running task has been at work for steadyTime.
	steady bool
	// stopSentAt is when the stop was last sent. stopAckedAt is when the host first confirmed it.
	stopSentAt, stopAckedAt fold.Instant
	// unconfirmed is true while the run counts among the unconfirmed starts of its host.
	unconfirmed bool
	// firstOrderedAt and orderedAt are when the start was first and last sent. startedAt is when it was confirmed.
	firstOrderedAt, orderedAt, startedAt fold.Instant
	// startSeenLate reports whether a report, instead of the answer to the start, confirmed the run. resumed reports whether it
	// may have resumed from a checkpoint.
	startSeenLate, resumed bool
	// tries counts how often the start was sent.
	tries int
	// percent is the last reported progress. firstPercent is the progress in the first report.
	percent, firstPercent int
	// progressedAt is when the progress last grew. reportedAt is when it was last reported.
	progressedAt, reportedAt fold.Instant
	// load is the last reported load, see fold.HostRun.
	load int64
	// pace is the share of full speed, in percent, that was last ordered. ackedPace is the share that the host has
	// confirmed.
	pace, ackedPace int
	// pacedAt is when the pace was last ordered.
	pacedAt fold.Instant
}

func newRun(t *task, number int, h *host, incarnation int64, now fold.Instant) *run {
	return &run{task: t, id: t.name().String(), number: number, host: h, incarnation: incarnation, pace: 100, ackedPace: 100, progressedAt: now}
}

func (t *task) name() flow.TaskName {
	return flow.TaskName{Job: t.part.job.spec.ID, Occurrence: t.part.occurrence, Step: t.part.index, Index: t.index}
}

// stepName returns the name of the step in calls to the adviser.
func (p *part) stepName() string {
	return flow.TaskName{Job: p.job.spec.ID, Occurrence: p.occurrence, Step: p.index}.StepName()
}

// begin records that a run of the part was planned.
func (p *part) begin() {
	if p.begun {
		return
	}
	p.begun = true
	if p.doneTasks < len(p.tasks) {
		p.job.openTasks += len(p.tasks)
	}
}

// maxOpenTasks limits the open tasks of a job, so that its record fits into a commit. Occurrences may overlap, and each has up
// to flow.MaxTasks.
const maxOpenTasks = 3 * flow.MaxTasks

// fitsRecord reports whether the record of the job has space for the tasks of the part.
func (p *part) fitsRecord() bool {
	return p.begun || p.job.openTasks == 0 || p.job.openTasks+len(p.tasks) <= maxOpenTasks
}

// urgent reports whether the part belongs to an unscheduled job of the highest priority and is not long-running.
func (p *part) urgent() bool {
	return p.job.queue.Priority == 0 && !p.step.LongRunning && p.job.spec.Times == 0
}

// waiting reports whether the task has no live run and is not done.
func (t *task) waiting() bool {
	return !t.done && len(t.runs) == 0
}

// RestoreJob adds a job of an earlier owner with its recorded progress.
func (c *Cell) RestoreJob(spec flow.Job, rec flow.Record) {
	j := &job{spec: spec, restored: len(c.awaited) > 0}
	c.addJob(j, rec)
}

// AddJob adds a job that was accepted at the given version of the table, after this owner took over. Jobs that the cell
// already holds stay unchanged.
func (c *Cell) AddJob(spec flow.Job, version int64) {
	c.addJob(&job{spec: spec, tableVersion: version}, flow.Record{})
}

func (c *Cell) addJob(j *job, rec flow.Record) {
	spec := j.spec
	if _, ok := c.jobs[spec.ID]; ok {
		return
	}
	j.queue, j.state, j.recordedState = spec.Queue, flow.Queued, flow.Queued
	if q, ok := c.queues[spec.Queue.Name]; ok {
		j.queue = q
	}
	c.jobs[spec.ID] = j
	j.parts = make([][]*part, j.spec.Occurrences())
	j.partsLeft = len(j.parts) * len(j.spec.Steps)
	c.setDeadlines(j)
	if rec.State != "" {
		c.restore(j, rec)
	}
	if j.state.Final() {
		c.updateState(j)
		return
	}
	if !c.activateOccurrences(j) {
		c.scheduledJobs = append(c.scheduledJobs, j)
	}
	c.updateState(j)
}

// activateOccurrences activates the occurrences of a job that have become due, in order, and reports whether none is left. A job
// with maxOpenTasks built tasks waits until some of them are done.
func (c *Cell) activateOccurrences(j *job) bool {
	for ; j.nextOccurrence < len(j.parts); j.nextOccurrence++ {
		occ := j.nextOccurrence
		full := j.parts[occ] == nil && j.builtTasks > 0 && j.builtTasks+j.spec.Tasks() > maxOpenTasks
		if j.state.Final() || j.spec.Due(occ) > c.wall || full {
			break
		}
		for _, p := range j.occurrence(occ) {
			c.activate(p)
		}
	}
	return j.nextOccurrence == len(j.parts)
}

// occurrence returns the parts of an occurrence, and builds them first if necessary. Occurrences are built when they are due,
// because all tasks of a schedule together may take more memory than a process has.
func (j *job) occurrence(occ int) []*part {
	if j.parts[occ] != nil {
		return j.parts[occ]
	}
	steps := make([]*part, len(j.spec.Steps))
	for i := range steps {
		step := &j.spec.Steps[i]
		p := &part{job: j, step: step, occurrence: occ, index: i, waitingTasks: step.Count, blockers: len(step.After)}
		p.tasks = make([]task, step.Count)
		for k := range p.tasks {
			p.tasks[k] = task{part: p, index: k}
		}
		for _, a := range step.After {
			steps[a].successors = append(steps[a].successors, p)
		}
		steps[i] = p
		j.builtTasks += step.Count
	}
	j.parts[occ] = steps
	return steps
}

// release frees the tasks of a part that are all done and have no runs. A part without tasks counts as done.
func (p *part) release() {
	if p.doneTasks == len(p.tasks) && p.liveRunCount() == 0 {
		p.tasks, p.doneTasks = nil, 0
	}
}

// worthlessFactor is the multiple of its objective after which a job is worthless.
const worthlessFactor = 3

// setDeadlines computes when the job should end and whether its team had exceeded its rate.
func (c *Cell) setDeadlines(j *job) {
	age := time.Duration(max(0, c.wall-j.spec.Accepted)) * time.Millisecond
	j.acceptedAt = c.now.Add(-age)
	j.setObjective(j.spec.CriticalPath(), c.runTimeFactor(j.queue.Name).factor())
	j.team = c.team(j.spec.Team)
	j.overRate = !j.team.rate.allow(j.team.rule.Weight, j.spec.Accepted)
}

// setObjective computes when the job should end from the length of its critical path and a factor by which run times differ
// from it.
func (j *job) setObjective(criticalPath time.Duration, factor float64) {
	objective := time.Duration(j.queue.SlackFactor*float64(criticalPath)*factor) + j.queue.Target
	if j.queue.Advice != nil {
		objective += time.Duration(j.queue.SlackFactor*float64(len(j.spec.Steps))) * (j.queue.Advice.CallTime + usualCallHosts*j.queue.Advice.TimePerHost)
	}
	j.due = j.acceptedAt.Add(objective)
	j.worthlessAfter = j.acceptedAt.Add(worthlessFactor * objective)
}

// usualCallHosts is the number of hosts per call that the objective of a job assumes.
const usualCallHosts = 30

// activate adds a part without unfinished predecessors to the active parts, or to the scheduled ones if it is not due.
func (c *Cell) activate(p *part) {
	if p.active || p.blockers > 0 || p.doneTasks == len(p.tasks) || p.job.state.Final() {
		return
	}
	p.active = true
	if due := p.job.spec.Due(p.occurrence); due > c.wall {
		c.scheduled = append(c.scheduled, p)
		return
	}
	p.readyAt = c.now
	c.active = append(c.active, p)
}

// activateDue activates the occurrences that have become due, and moves parts that have become due from the scheduled to the
// active ones.
func (c *Cell) activateDue() {
	c.scheduledJobs = slices.DeleteFunc(c.scheduledJobs, func(j *job) bool { return j.state.Final() || c.activateOccurrences(j) })
	kept := c.scheduled[:0]
	for _, p := range c.scheduled {
		switch {
		case p.job.state.Final():
		case p.job.spec.Due(p.occurrence) <= c.wall:
			p.readyAt = c.now
			c.active = append(c.active, p)
		default:
			kept = append(kept, p)
		}
	}
	clear(c.scheduled[len(kept):])
	c.scheduled = kept
}

// Cancel applies a cancellation request. It returns false for an unknown job.
func (c *Cell) Cancel(id string) bool {
	j, ok := c.jobs[id]
	if !ok {
		return false
	}
	c.finishJob(j, flow.Cancelled)
	return true
}

// finishJob moves a job to a final state and stops its runs.
func (c *Cell) finishJob(j *job, state flow.State) {
	if j.state.Final() {
		return
	}
	j.state, j.endedAt = state, c.wall
	c.markDirty(j)
	for _, steps := range j.parts {
		for _, p := range steps {
			p.samples = nil
			for i := range p.tasks {
				for _, r := range p.tasks[i].runs {
					c.stopRun(r)
				}
			}
		}
	}
	c.log.Info("Job ended.", "job", j.spec.ID, "state", string(state), "live", j.liveRuns)
	c.updateState(j)
}

// updateState derives the state of a job from its parts.
func (c *Cell) updateState(j *job) {
	defer c.countWaitingJob(j)
	if !j.state.Final() {
		if j.partsLeft == 0 {
			c.finishJob(j, flow.Completed)
			return
		}
		if j.state == flow.Queued && j.started {
			j.state = flow.Running
			c.markDirty(j)
		}
	}
}

// markDirty adds a job to those whose record must be written.
func (c *Cell) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// completeTask marks a task as done, stops its other runs and activates the parts that depend on it.
func (c *Cell) completeTask(t *task) {
	if t.done {
		return
	}
	p := t.part
	t.done, t.checkpoint = true, ""
	t.clearFailures()
	p.doneTasks++
	c.countWaitingTasks(t)
	c.markDirty(p.job)
	for _, r := range t.runs {
		c.stopRun(r)
	}
	if p.doneTasks < len(p.tasks) {
		return
	}
	c.learnSpeeds(p)
	c.finishStep(p)
	if p.begun {
		p.job.openTasks -= len(p.tasks)
	}
	p.begun = true
	p.job.builtTasks -= len(p.tasks)
	p.job.partsLeft--
	for _, n := range p.successors {
		n.blockers--
		c.activate(n)
	}
	p.release()
	c.updateState(p.job)
}

// countWaitingTasks recomputes the number of waiting tasks of the task's part.
func (c *Cell) countWaitingTasks(t *task) {
	p := t.part
	p.waitingTasks = 0
	for i := range p.tasks {
		if p.tasks[i].waiting() {
			p.waitingTasks++
		}
	}
}
