package core

import (
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// attach puts a run on its host and charges the capacity and the team.
func (c *Cell) attach(r *run) {
	p := r.task.part
	r.task.runs = append(r.task.runs, r)
	r.host.runs[r.key()] = r
	r.host.order = append(r.host.order, r)
	r.host.used = r.host.used.Add(p.step.Claim())
	r.host.weigh(p.step, 1)
	c.touch(r.host)
	if p.perHost == nil {
		p.perHost = make(map[*host]int)
	}
	p.perHost[r.host]++
	p.job.live++
	t := c.team(p.job.spec.Team)
	t.used = t.used.Add(p.step.Size)
	c.count(r.task)
}

// touch notes that the runs of a host have changed.
func (c *Cell) touch(h *host) {
	if !h.touched {
		h.touched = true
		c.touched = append(c.touched, h)
	}
}

// weigh counts n more runs of the step among those that disturb each other on the host.
func (h *host) weigh(s *flow.Step, n int) {
	if s.Fill {
		h.soft += int64(n) * s.Size.CPU
		h.filling += n
	}
	if s.Target > 0 {
		h.serving += n
	}
}

// drop takes a run off its host once nothing of it is left there.
func (c *Cell) drop(r *run) {
	if _, ok := r.host.runs[r.key()]; !ok {
		return
	}
	p := r.task.part
	r.gone = true
	delete(r.host.runs, r.key())
	at := slices.Index(r.host.order, r)
	r.host.order = slices.Delete(r.host.order, at, at+1)
	for i, o := range r.task.runs {
		if o == r {
			r.task.runs = append(r.task.runs[:i:i], r.task.runs[i+1:]...)
			break
		}
	}
	r.host.used = r.host.used.Sub(p.step.Claim())
	r.host.weigh(p.step, -1)
	c.touch(r.host)
	if p.perHost[r.host]--; p.perHost[r.host] == 0 {
		delete(p.perHost, r.host)
	}
	p.job.live--
	t := c.team(p.job.spec.Team)
	t.used = t.used.Sub(p.step.Size)
	if len(r.task.runs) == 0 {
		r.task.lost = c.now
	}
	c.count(r.task)
	c.mark(p.job)
}

// lose drops a run that ended without being done or failed.
func (c *Cell) lose(r *run, why string) {
	c.stats.Lost++
	c.log.Info("Run lost.", "task", r.key().task, "run", r.number, "host", r.host.info.ID, "why", why)
	c.drop(r)
	c.breakGang(r)
}

// breakGang stops the other members of a run of a gang.
func (c *Cell) breakGang(r *run) {
	p := r.task.part
	if !p.step.Gang {
		return
	}
	for i := range p.tasks {
		for _, o := range p.tasks[i].runs {
			if o.number == r.number {
				c.stop(o)
			}
		}
	}
}

// ended takes the end of a run.
func (c *Cell) ended(h *host, e fold.HostEnd) {
	name, ok := flow.ParseTaskName(e.Task)
	if !ok {
		c.log.Warn("Ignored the end of a task with a malformed name.", "task", e.Task, "host", h.info.ID)
		return
	}
	r := h.runs[runKey{task: e.Task, run: e.Run}]
	t := c.task(name)
	if t == nil {
		return
	}
	c.log.Debug("Run ended.", "task", e.Task, "run", e.Run, "host", h.info.ID, "how", string(e.Kind))
	began := fold.Instant(0)
	if r != nil {
		began = r.began
		c.drop(r)
	}
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	switch e.Kind {
	case fold.EndDone:
		h.health.good(c.now)
		c.stats.Done++
		if r != nil && began != 0 && !r.inherited {
			c.learn(t, c.now.Sub(began))
		}
		c.doneRun(t)
	case fold.EndFailed:
		c.failedEnd(h, t, e.Run, r != nil)
	case fold.EndGangIncomplete, fold.EndGangBroken, fold.EndLeaseExpired, fold.EndStopped:
		c.stats.Lost++
	}
	if e.Run > t.run {
		t.run = e.Run
		c.mark(t.part.job)
	}
	if r != nil && e.Kind != fold.EndDone {
		c.breakGang(r)
	}
}

// failedEnd counts the failure of a run. One that is not live was counted before, by an earlier owner, or its lease had
// lapsed, unless it was started without a record.
func (c *Cell) failedEnd(h *host, t *task, number int, live bool) {
	if h.health.bad(c.now, t.part.job.spec.ID) {
		c.log.Warn("Host barred after failures.", "host", h.info.ID, "job", t.part.job.spec.ID)
	}
	c.stats.Failed++
	found := !live && t.unrecorded(number) && !slices.Contains(t.counted, number)
	if found {
		t.counted = append(t.counted, number)
	}
	if live || found {
		c.failedRun(t, number)
	}
}

// task returns the task with the name, or nil.
func (c *Cell) task(n flow.TaskName) *task {
	j, ok := c.jobs[n.Job]
	if !ok || n.Occurrence >= len(j.parts) || n.Step >= len(j.spec.Steps) || n.Index >= len(j.parts[0][n.Step].tasks) {
		return nil
	}
	return &j.parts[n.Occurrence][n.Step].tasks[n.Index]
}

// doneRun notes that a run was done; one run of a gang stands for all of them.
func (c *Cell) doneRun(t *task) {
	if t.part.job.state.Final() || t.part.step.LongRunning {
		return
	}
	if !t.part.step.Gang {
		c.taskDone(t)
		return
	}
	for i := range t.part.tasks {
		c.taskDone(&t.part.tasks[i])
	}
}

// failedRun counts a failure and gives the job up when a task has failed too often.
func (c *Cell) failedRun(t *task, number int) {
	p := t.part
	c.mark(p.job)
	if p.job.state.Final() || t.done {
		return
	}
	if p.step.Gang {
		if number == p.failedRun {
			return
		}
		p.failedRun = number
		p.fails++
		t.fails = p.fails
	} else {
		t.fails++
	}
	c.giveUpJob(t)
}

// giveUpJob ends the job when a task has failed too often and no other copy of it is at work.
func (c *Cell) giveUpJob(t *task) bool {
	limit := max(1, t.part.job.queue.Attempts)
	if t.part.step.LongRunning || t.fails < limit || t.working() {
		return false
	}
	c.log.Info("Task failed too often.", "task", t.name().String(), "failures", t.fails, "limit", limit)
	c.finish(t.part.job, flow.Failed)
	return true
}

// working reports whether another copy of the task may still be done.
func (t *task) working() bool {
	for _, r := range t.runs {
		if !r.stopping {
			return true
		}
	}
	return false
}

// gauge learns how long the tasks of a queue take, as a factor of their estimates; both are in seconds.
type gauge struct {
	took, estimated float64
}

const (
	// gaugePrior weighs the estimates themselves against what was observed, in seconds of work.
	gaugePrior = 20
	// gaugeMemory bounds the weight of what was observed, in seconds of work, so that the factor follows changes.
	gaugeMemory = 2000
)

func (g *gauge) factor() float64 {
	return (g.took + gaugePrior) / (g.estimated + gaugePrior)
}

func (c *Cell) gauge(queue string) *gauge {
	g, ok := c.gauges[queue]
	if !ok {
		g = &gauge{}
		c.gauges[queue] = g
	}
	return g
}

func (c *Cell) learn(t *task, took time.Duration) {
	estimate := t.part.step.Estimate
	if estimate <= 0 {
		return
	}
	g := c.gauge(t.part.job.queue.Name)
	if g.estimated >= gaugeMemory {
		g.took, g.estimated = g.took/2, g.estimated/2
	}
	g.took += took.Seconds()
	g.estimated += float64(estimate) / 1000
}
