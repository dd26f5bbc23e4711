package core

import (
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// attach adds a run to its host and task and charges its resources to the host and the team.
func (c *Cell) attach(r *run) {
	p := r.task.part
	r.task.runs = append(r.task.runs, r)
	r.host.runs[r.key()] = r
	r.host.runList = append(r.host.runList, r)
	c.claim(p, r.host)
	c.markRunsChanged(r.host)
	p.job.liveRuns++
	c.countWaitingTasks(r.task)
}

// claim charges the resources of one task of the part to the host and to the team.
func (c *Cell) claim(p *part, h *host) {
	h.used = h.used.Add(p.step.Claim())
	h.countInterfering(p.step, 1)
	if p.perHost == nil {
		p.perHost = make(map[*host]int)
	}
	p.perHost[h]++
	t := c.team(p.job.spec.Team)
	t.used = t.used.Add(p.step.Size)
	c.claimCores(t, p.step.Claim().CPU)
}

// markRunsChanged records that the runs of a host have changed.
func (c *Cell) markRunsChanged(h *host) {
	if !h.runsChanged {
		h.runsChanged = true
		c.changedHosts = append(c.changedHosts, h)
	}
}

// countInterfering adds n runs of the step to the host's counts of fill tasks and of tasks with a latency target.
func (h *host) countInterfering(s *flow.Step, n int) {
	if s.Fill {
		h.fillCPU += int64(n) * s.Size.CPU
		h.filling += n
	}
	if s.Target > 0 {
		h.serving += n
	}
}

// detach removes a run from its host and task and frees its resources.
func (c *Cell) detach(r *run) {
	if _, ok := r.host.runs[r.key()]; !ok {
		return
	}
	p := r.task.part
	r.detached = true
	r.confirm()
	if r.phase == phaseRunning {
		p.times.end(r.startedAt)
	}
	delete(r.host.runs, r.key())
	at := slices.Index(r.host.runList, r)
	r.host.runList = slices.Delete(r.host.runList, at, at+1)
	for i, o := range r.task.runs {
		if o == r {
			r.task.runs = append(r.task.runs[:i:i], r.task.runs[i+1:]...)
			break
		}
	}
	r.host.used = r.host.used.Sub(p.step.Claim())
	r.host.countInterfering(p.step, -1)
	c.markRunsChanged(r.host)
	if p.perHost[r.host]--; p.perHost[r.host] == 0 {
		delete(p.perHost, r.host)
	}
	p.job.liveRuns--
	if r.steady {
		p.steadyRuns--
	}
	t := c.team(p.job.spec.Team)
	t.used = t.used.Sub(p.step.Size)
	c.claimCores(t, -p.step.Claim().CPU)
	if len(r.task.runs) == 0 {
		r.task.lostAt = c.now
	}
	c.countWaitingTasks(r.task)
	c.markDirty(p.job)
	p.release()
}

// loseRun detaches a run that ended without a reported result.
func (c *Cell) loseRun(r *run, why string) {
	c.stats.Lost++
	h := r.host
	c.log.Info("Run lost.", "task", r.key().task, "run", r.number, "host", h.info.ID, "why", why, "inherited", r.inherited, "answered", h.enforcesFence,
		"listed", h.listed, "silence", c.since(h.silentSince), "foreignLease", c.leaseLeft(h.foreignLeaseEnd), "ownLease", c.leaseLeft(h.ownLeaseEnd))
	c.detach(r)
	c.stopGang(r)
}

// since returns the time since an instant for a log line, or "" if the instant is not set.
func (c *Cell) since(at fold.Instant) string {
	if at == 0 {
		return ""
	}
	return c.now.Sub(at).String()
}

// leaseLeft returns the time until the end of a lease for a log line, or "" if there is none. It is negative after the end.
func (c *Cell) leaseLeft(end fold.Instant) string {
	if end == 0 {
		return ""
	}
	return end.Sub(c.now).String()
}

// stopGang stops the other members of the run's gang.
func (c *Cell) stopGang(r *run) {
	p := r.task.part
	if !p.step.Gang {
		return
	}
	for i := range p.tasks {
		for _, o := range p.tasks[i].runs {
			if o.number == r.number {
				c.stopRun(o)
			}
		}
	}
}

// handleEnd applies the end of a run that a host has reported.
func (c *Cell) handleEnd(h *host, e fold.HostEnd) {
	name, ok := flow.ParseTaskName(e.Task)
	if !ok {
		c.log.Warn("Ignored the end of a run: the task name is malformed.", "task", e.Task, "host", h.info.ID)
		return
	}
	r := h.runs[runKey{task: e.Task, run: e.Run}]
	t := c.findTask(name)
	if t == nil {
		return
	}
	c.confirmBegin(t.part.job)
	c.log.Debug("Run ended.", "task", e.Task, "run", e.Run, "host", h.info.ID, "how", string(e.Kind))
	startedAt := fold.Instant(0)
	if r != nil {
		startedAt = r.startedAt
		c.detach(r)
		if e.Kind == fold.EndDone {
			c.observeRun(r)
		}
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch e.Kind {
	case fold.EndDone:
		h.health.recordDone(c.now)
		c.stats.Done++
		if r != nil && startedAt != 0 && !r.inherited {
			c.learnRunTime(t, c.now.Sub(startedAt))
		}
		c.recordDone(t)
	case fold.EndFailed:
		c.handleFailedEnd(h, t, e.Run, r)
	case fold.EndGangIncomplete, fold.EndGangBroken, fold.EndLeaseExpired, fold.EndStopped:
		c.stats.Lost++
	}
	if e.Run > t.lastRun {
		t.part.begin()
		t.lastRun = e.Run
		c.markDirty(t.part.job)
	}
	if r != nil && e.Kind != fold.EndDone {
		c.stopGang(r)
	}
}

// handleFailedEnd counts a reported failure against the task and against the host or the job. r is nil if the run is not live.
// Its failure was then counted by an earlier owner or when the lease ended, unless the run was started without a record.
func (c *Cell) handleFailedEnd(h *host, t *task, number int, r *run) {
	// A run that was steady shows that the host can run the task.
	if r == nil || !r.steady {
		c.judgeFailure(h, t, number)
	}
	c.stats.Failed++
	unrecorded := r == nil && t.mayBeUnrecorded(number) && !slices.Contains(t.countedFailures, number)
	if unrecorded {
		t.countedFailures = append(t.countedFailures, number)
	}
	if r != nil || unrecorded {
		c.recordFailure(t, number)
	}
}

// findTask returns the task with the name, or nil if there is none or all tasks of its step are done.
func (c *Cell) findTask(n flow.TaskName) *task {
	j, ok := c.jobs[n.Job]
	if !ok || n.Occurrence >= len(j.parts) || n.Step >= len(j.spec.Steps) {
		return nil
	}
	p := j.occurrence(n.Occurrence)[n.Step]
	if n.Index >= len(p.tasks) {
		return nil
	}
	return &p.tasks[n.Index]
}

// recordDone completes the task of a run that was done. For a gang, one run completes all of its tasks.
func (c *Cell) recordDone(t *task) {
	if t.part.job.state.Final() || t.part.step.LongRunning {
		return
	}
	if !t.part.step.Gang {
		c.completeTask(t)
		return
	}
	// The last task releases the list.
	tasks := t.part.tasks
	for i := range tasks {
		c.completeTask(&tasks[i])
	}
}

// recordFailure counts a failed run of the task, once for all members of a gang, and fails the job if its attempts are used
// up.
func (c *Cell) recordFailure(t *task, number int) {
	p := t.part
	c.markDirty(p.job)
	if p.job.state.Final() || t.done {
		return
	}
	if p.step.Gang {
		if slices.Contains(p.failedRuns, number) {
			return
		}
		p.failedRuns = append(p.failedRuns, number)
		p.failedRuns = p.failedRuns[max(0, len(p.failedRuns)-maxFailedRuns):]
		p.gangFailures++
		t.failures = p.gangFailures
	} else {
		t.failures++
	}
	c.log.Debug("Counted a failed run.", "task", t.name().String(), "run", number, "failures", t.failures, "recorded", t.lastRecorded, "failedRuns", p.failedRuns)
	c.failExhaustedJob(t)
}

// maxFailedRuns limits the failed runs of a gang whose numbers are stored.
const maxFailedRuns = 16

// failExhaustedJob fails the job and returns true if the task has used up its attempts and has no other active run.
func (c *Cell) failExhaustedJob(t *task) bool {
	limit := max(1, t.part.job.queue.Attempts)
	if t.part.step.LongRunning || t.failures < limit || t.hasActiveRun() {
		return false
	}
	c.log.Info("Task failed too often.", "task", t.name().String(), "failures", t.failures, "limit", limit, "failedRuns", t.part.failedRuns)
	c.finishJob(t.part.job, flow.Failed)
	return true
}

// hasActiveRun reports whether the task has a run that is not being stopped.
func (t *task) hasActiveRun() bool {
	for _, r := range t.runs {
		if !r.stopping {
			return true
		}
	}
	return false
}

// runTimeFactor accumulates the actual and the estimated run times of a queue's tasks, in seconds.
type runTimeFactor struct {
	actual, estimated float64
}

const (
	// factorPrior is the weight of the estimates against the observations, in seconds of run time.
	factorPrior = 20
	// maxFactorWeight is the maximum weight of the observations, in seconds of run time, so that the factor follows
	// changes.
	maxFactorWeight = 2000
)

// factor returns the ratio of actual to estimated run times.
func (g *runTimeFactor) factor() float64 {
	return (g.actual + factorPrior) / (g.estimated + factorPrior)
}

func (c *Cell) runTimeFactor(queue string) *runTimeFactor {
	g, ok := c.runTimeFactors[queue]
	if !ok {
		g = &runTimeFactor{}
		c.runTimeFactors[queue] = g
	}
	return g
}

func (c *Cell) learnRunTime(t *task, took time.Duration) {
	estimate := t.part.step.Estimate
	if estimate <= 0 {
		return
	}
	g := c.runTimeFactor(t.part.job.queue.Name)
	if g.estimated >= maxFactorWeight {
		g.actual, g.estimated = g.actual/2, g.estimated/2
	}
	g.actual += took.Seconds()
	g.estimated += float64(estimate) / 1000
}
