package core

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// job is accepted work.
type job struct {
	spec  flow.Job
	queue fold.Queue
	state flow.State
	// shown is the state that is recorded.
	shown flow.State
	ended int64
	// parts are the steps of all occurrences, by occurrence and step.
	parts [][]*part
	// left counts the parts that are not done, live the runs that may be on a host.
	left, live int
	begun      bool
	// waits says that the job is counted among those that wait for their first start.
	waits bool
	// seq numbers the records.
	seq int64
	// version is the version of the table with which the job was accepted, or 0 for a job that this owner has loaded.
	version int64
	// restored says that an earlier owner knew the job and may have started runs of it without a record.
	restored bool
	dirty    bool
	// due is when the job should end, late when it has lost most of its worth.
	due, late fold.Instant
	// excess says that the team had sent more than its rate.
	excess bool
}

// part is one step of one occurrence.
type part struct {
	job        *job
	step       *flow.Step
	occurrence int
	index      int
	tasks      []task
	// done counts tasks that are done, free the tasks that wait for a host.
	done, free int
	// blocked counts the parts before this one that are not done.
	blocked int
	next    []*part
	// active says that the part is in the list of active parts, rank is its place there as of the last round.
	active bool
	rank   int
	// fails counts failed runs of a gang, failedRun is the last one counted.
	fails, failedRun int
	// perHost counts live runs by host.
	perHost map[*host]int
	advice  approvals
	readyAt fold.Instant
}

// task is one task of a part.
type task struct {
	part  *part
	index int
	done  bool
	fails int
	// run is the highest run number.
	run   int
	saved string
	// recorded is the highest run number that an earlier owner recorded, own the first one of this owner: runs between
	// them were started without a record. counted are those of them that have failed.
	recorded, own int
	counted       []int
	// skipped says that run numbers were skipped, see next.
	skipped bool
	// runs are the live runs, more than one only for a step with copies.
	runs []*run
	// after is when the task may start again.
	after fold.Instant
	// lost is when the last live run of a lasting task ended.
	lost fold.Instant
}

// phase is where a run stands.
type phase int

const (
	// phasePlanned waits for its record.
	phasePlanned phase = iota
	// phaseOrdered was sent or is about to be; it may be on the host.
	phaseOrdered
	// phaseRunning was confirmed by the host.
	phaseRunning
)

// run is one start of a task on one life of a host.
type run struct {
	task *task
	// id is the name of the task.
	id     string
	number int
	host   *host
	born   int64
	phase  phase
	ticket string
	// gone says that the run was taken off its host; a plan that waits for its record is then not carried out.
	gone bool
	// inherited says that an earlier owner started the run.
	inherited bool
	// stopping says that the run is to be stopped; stopAsked is when the order was last sent and stopAcked when the host
	// confirmed one.
	stopping             bool
	stopAsked, stopAcked fold.Instant
	// ordered is when the start was last sent, began when it was confirmed.
	ordered, began fold.Instant
	tries          int
	// percent is the last reported progress and moved when it last grew; first is the progress at the first report.
	percent, first int
	moved, seen    fold.Instant
	load           int64
	// pace is the share of full speed in percent that the host was told.
	pace, paced int
	paceAt      fold.Instant
}

func newRun(t *task, number int, h *host, born int64, now fold.Instant) *run {
	return &run{task: t, id: t.name().String(), number: number, host: h, born: born, pace: 100, paced: 100, moved: now}
}

func (t *task) name() flow.TaskName {
	return flow.TaskName{Job: t.part.job.spec.ID, Occurrence: t.part.occurrence, Step: t.part.index, Index: t.index}
}

// stepName names the step of the part for the adviser.
func (p *part) stepName() string {
	return flow.TaskName{Job: p.job.spec.ID, Occurrence: p.occurrence, Step: p.index}.StepName()
}

// urgent reports whether the part belongs to work that comes first and ends soon.
func (p *part) urgent() bool {
	return p.job.queue.Priority == 0 && !p.step.LongRunning && p.job.spec.Times == 0
}

// waiting reports whether the task has no live run and is not done.
func (t *task) waiting() bool {
	return !t.done && len(t.runs) == 0
}

// RestoreJob takes a job of an earlier owner with the progress that was recorded.
func (c *Cell) RestoreJob(spec flow.Job, rec flow.Record) {
	j := &job{spec: spec, restored: len(c.awaited) > 0}
	c.addJob(j, rec)
}

// AddJob takes a job that was accepted with the given version of the table, after this owner took over. Jobs that are
// known already are left as they are.
func (c *Cell) AddJob(spec flow.Job, version int64) {
	c.addJob(&job{spec: spec, version: version}, flow.Record{})
}

func (c *Cell) addJob(j *job, rec flow.Record) {
	spec := j.spec
	if _, ok := c.jobs[spec.ID]; ok {
		return
	}
	j.queue, j.state, j.shown = spec.Queue, flow.Queued, flow.Queued
	if q, ok := c.queues[spec.Queue.Name]; ok {
		j.queue = q
	}
	c.jobs[spec.ID] = j
	j.build()
	c.judge(j)
	if rec.State != "" {
		c.restore(j, rec)
	}
	if j.state.Final() {
		c.settle(j)
		return
	}
	for _, steps := range j.parts {
		for _, p := range steps {
			c.activate(p)
		}
	}
	c.settle(j)
}

// build makes the parts of all occurrences.
func (j *job) build() {
	j.parts = make([][]*part, j.spec.Occurrences())
	for occ := range j.parts {
		steps := make([]*part, len(j.spec.Steps))
		for i := range steps {
			step := &j.spec.Steps[i]
			p := &part{job: j, step: step, occurrence: occ, index: i, free: step.Count, blocked: len(step.After)}
			p.tasks = make([]task, step.Count)
			for k := range p.tasks {
				p.tasks[k] = task{part: p, index: k}
			}
			for _, a := range step.After {
				steps[a].next = append(steps[a].next, p)
			}
			steps[i] = p
		}
		j.parts[occ] = steps
	}
	j.left = len(j.parts) * len(j.spec.Steps)
}

// lateness is how many times its objective a job may take before it has lost its worth.
const lateness = 3

// judge works out when the job should end and whether its team had sent more than its rate.
func (c *Cell) judge(j *job) {
	age := time.Duration(max(0, c.wall-j.spec.Accepted)) * time.Millisecond
	accepted := c.now.Add(-age)
	objective := time.Duration(j.queue.SlackFactor*float64(j.spec.CriticalPath())*c.gauge(j.queue.Name).factor()) + j.queue.Target
	if j.queue.Advice != nil {
		objective += time.Duration(j.queue.SlackFactor*float64(len(j.spec.Steps))) * (j.queue.Advice.CallTime + adviceUsual*j.queue.Advice.TimePerHost)
	}
	j.due = accepted.Add(objective)
	j.late = accepted.Add(lateness * objective)
	t := c.team(j.spec.Team)
	j.excess = !t.rate.take(t.rule.Weight, j.spec.Accepted)
}

// adviceUsual is the number of hosts named in a call on which the objective of a job counts.
const adviceUsual = 30

// activate lists a part whose turn has come.
func (c *Cell) activate(p *part) {
	if p.active || p.blocked > 0 || p.done == len(p.tasks) || p.job.state.Final() {
		return
	}
	p.active = true
	if due := p.job.spec.Due(p.occurrence); due > c.wall {
		c.later = append(c.later, p)
		return
	}
	p.readyAt = c.now
	c.active = append(c.active, p)
}

// release moves occurrences that have become due to the active parts.
func (c *Cell) release() {
	kept := c.later[:0]
	for _, p := range c.later {
		switch {
		case p.job.state.Final():
		case p.job.spec.Due(p.occurrence) <= c.wall:
			p.readyAt = c.now
			c.active = append(c.active, p)
		default:
			kept = append(kept, p)
		}
	}
	clear(c.later[len(kept):])
	c.later = kept
}

// Cancel ends a job at its caller's wish; it reports false for a job that is not known.
func (c *Cell) Cancel(id string) bool {
	j, ok := c.jobs[id]
	if !ok {
		return false
	}
	c.finish(j, flow.Cancelled)
	return true
}

// finish puts a job into a final state and stops what still runs.
func (c *Cell) finish(j *job, state flow.State) {
	if j.state.Final() {
		return
	}
	j.state, j.ended = state, c.wall
	c.mark(j)
	for _, steps := range j.parts {
		for _, p := range steps {
			for i := range p.tasks {
				for _, r := range p.tasks[i].runs {
					c.stop(r)
				}
			}
		}
	}
	c.log.Info("Job ended.", "job", j.spec.ID, "state", string(state), "live", j.live)
	c.settle(j)
}

// settle derives the state of a job from its parts.
func (c *Cell) settle(j *job) {
	defer c.countWaiting(j)
	if !j.state.Final() {
		if j.left == 0 {
			c.finish(j, flow.Completed)
			return
		}
		if j.state == flow.Queued && j.begun {
			j.state = flow.Running
			c.mark(j)
		}
	}
}

// mark lists a job whose record has to be written.
func (c *Cell) mark(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// taskDone notes that a task is done and stops its other copies.
func (c *Cell) taskDone(t *task) {
	if t.done {
		return
	}
	p := t.part
	t.done, t.saved = true, ""
	p.done++
	c.count(t)
	c.mark(p.job)
	for _, r := range t.runs {
		c.stop(r)
	}
	if p.done < len(p.tasks) {
		return
	}
	p.job.left--
	for _, n := range p.next {
		n.blocked--
		c.activate(n)
	}
	c.settle(p.job)
}

// count recomputes how many tasks of the part wait.
func (c *Cell) count(t *task) {
	p := t.part
	p.free = 0
	for i := range p.tasks {
		if p.tasks[i].waiting() {
			p.free++
		}
	}
}
