package core

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

const (
	// minFailingHosts is the number of other hosts on which a task must have failed before its failures are put down to its
	// job.
	minFailingHosts = 2
	// maxFailingHosts limits the hosts that are stored for a task and for a step.
	maxFailingHosts = 8
	// steadyTime is how long a run of a long-running task must have been at work before it counts as a success.
	steadyTime = 10 * time.Second
	// failingRestartDelay is the delay of the next start of a long-running task whose failure was put down to its job. Nothing
	// else limits its starts.
	failingRestartDelay = 2 * time.Second
)

// failingHosts lists the last hosts on which a task, or the tasks of a step, have failed without a success since, at most
// maxFailingHosts.
type failingHosts []*host

// with returns the list with the host added, without the oldest host if it is full.
func (f failingHosts) with(h *host) failingHosts {
	if slices.Contains(f, h) {
		return f
	}
	f = append(f, h)
	return f[max(0, len(f)-maxFailingHosts):]
}

// enoughOthers reports whether the list has minFailingHosts hosts other than h.
func (f failingHosts) enoughOthers(h *host) bool {
	others := len(f)
	if slices.Contains(f, h) {
		others--
	}
	return others >= minFailingHosts
}

// failsElsewhere reports whether a failure of the task on the host is put down to the job: the task has failed on other hosts
// too, or tasks of its step have, and more of them fail than work.
func (t *task) failsElsewhere(h *host) bool {
	p := t.part
	return t.failedOn.enoughOthers(h) || p.failedOn.enoughOthers(h) && p.failingTasks > p.doneTasks+p.steadyRuns
}

// judgeFailure records a failure of the task as evidence against the host, or against the job if the task fails on other hosts
// too.
func (c *Cell) judgeFailure(h *host, t *task, number int) {
	p := t.part
	if !t.done {
		t.addFailure(h)
	}
	if t.failsElsewhere(h) {
		if p.step.LongRunning {
			t.notBefore = c.now.Add(failingRestartDelay)
		}
		if !p.faultLogged {
			p.faultLogged = true
			c.log.Info("Tasks fail on several hosts; their failures do not count against hosts.", "step", p.stepName(), "task", t.index, "run", number, "host", h.info.ID,
				"failing", p.failingTasks, "done", p.doneTasks, "steady", p.steadyRuns, "taskHosts", len(t.failedOn), "stepHosts", len(p.failedOn))
		}
		return
	}
	if h.health.recordFailure(c.now, p.job.spec.ID) {
		c.log.Warn("Host quarantined because tasks failed there.", "host", h.info.ID, "job", p.job.spec.ID, "task", t.index, "run", number,
			"for", h.health.quarantinedUntil.Sub(c.now).String(), "quarantines", h.health.quarantines, "sinceDone", c.since(h.health.lastDone))
	}
}

// addFailure adds a host on which the task has failed.
func (t *task) addFailure(h *host) {
	p := t.part
	if len(t.failedOn) == 0 {
		p.failingTasks++
	}
	t.failedOn, p.failedOn = t.failedOn.with(h), p.failedOn.with(h)
}

// clearFailures forgets the failures of a task that has worked.
func (t *task) clearFailures() {
	if len(t.failedOn) == 0 {
		return
	}
	p := t.part
	t.failedOn = nil
	if p.failingTasks--; p.failingTasks == 0 {
		p.failedOn, p.faultLogged = nil, false
	}
}

// recordSteady records a success of a long-running task and its host once the run has been at work for steadyTime, at the pace
// that was ordered. Such a task is never done.
func (c *Cell) recordSteady(r *run, hr fold.HostRun) {
	if !r.task.part.step.LongRunning || r.steady || hr.Percent < max(1, r.pace) || c.now.Sub(r.startedAt) < steadyTime {
		return
	}
	r.steady = true
	r.task.part.steadyRuns++
	r.task.clearFailures()
	r.host.health.recordDone(c.now)
}
