package model

import (
	"fmt"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

const (
	// cancelTime is how long after a durable cancellation request a task is still permitted to start.
	cancelTime = 3 * time.Second
	// limitExcess is the share by which a team is permitted to exceed its limit.
	limitExcess = 0.1
)

// checkStart checks a start against the rules.
func (w *World) checkStart(h *host, t *taskTruth, s fold.StartRequest) {
	w.counts.Starts++
	w.log.Debug("Host starts a run.", "task", t.id, "run", s.Run, "host", h.info.ID, "saved", s.Checkpoint)
	claim := t.step.Claim()
	used := claim
	beside := 0
	for _, r := range h.runs {
		used = used.Add(r.task.step.Claim())
		if r.task.step == t.step {
			beside++
		}
	}
	if !used.Fits(h.info.Capacity) {
		w.addViolation("LIMIT", "%s holds %s of %s with %s", h.info.ID, used, h.info.Capacity, t.id)
	}
	if t.step.PerHost > 0 && beside >= t.step.PerHost {
		w.addViolation("ROUTE", "%s runs %d tasks of a step with at most %d", h.info.ID, beside+1, t.step.PerHost)
	}
	if len(t.live) > 0 && !t.step.Copies {
		w.addViolation("TWICE", "run %d of %s on %s while another one runs", s.Run, t.id, h.info.ID)
	}
	for _, end := range t.doneEnds {
		end.startedAgain = !t.step.Copies
	}
	w.checkJob(t, s)
	w.checkTeamLimit(t)
	w.checkEvacuated(h, t, s)
}

func (w *World) checkJob(t *taskTruth, s fold.StartRequest) {
	for _, a := range t.step.After {
		for _, other := range t.job.tasks[a] {
			if !other.done {
				w.addViolation("ORDER", "%s starts before %s is done", t.id, other.id)
				return
			}
		}
	}
	if c := t.job.cancelled; c != 0 && w.now.Sub(c) > cancelTime && !((w.realTime || w.day.Entries > 0) && w.hadFault()) {
		w.addViolation("UNASKED", "run %d of %s starts %s after its job was cancelled", s.Run, t.id, w.now.Sub(c))
	}
	budgetUsed := t.ackedFailures >= t.job.class.Queue.Attempts && (!t.step.Copies || !w.lateOrder && w.now.Sub(t.ackedFailureAt) > time.Second)
	if !t.step.LongRunning && budgetUsed {
		w.addViolation("BUDGET", "run %d of %s starts after %d failures", s.Run, t.id, t.ackedFailures)
	}
}

func (w *World) checkTeamLimit(t *taskTruth) {
	team := t.job.spec.Team
	var limit fold.Resources
	for _, rule := range w.day.Teams {
		if rule.Name == team {
			limit = rule.Limit
		}
	}
	if limit.CPU == 0 {
		return
	}
	used := w.teamUse[team]
	if float64(used) > float64(limit.CPU)*(1+limitExcess) {
		w.addViolation("QUOTA", "team %s runs %d of %d thousandths of a core", team, used, limit.CPU)
	}
}

// recordEnd records the end of a run.
func (w *World) recordEnd(h *host, r *run, how fold.EndKind, number int64) {
	w.counts.Ends++
	if how == fold.EndFailed {
		r.task.failures++
	}
	w.log.Debug("Run ended on a host.", "task", r.task.id, "run", r.number, "host", h.info.ID, "how", string(how), "number", number)
	t := r.task
	spent := (t.work - max(0, r.remaining) - r.restored).Seconds() * float64(t.step.Size.CPU) / 1000
	switch how {
	case fold.EndDone:
		t.doneEnds = append(t.doneEnds, &doneEnd{host: h, incarnation: h.incarnation, number: number})
		if t.done {
			w.counts.Wasted += spent
			return
		}
		t.done, t.doneAt = true, w.now
		if t.step.Gang {
			w.gangDone(t)
		}
	case fold.EndGangIncomplete:
		if !w.hadFault() {
			w.addViolation("GANG", "run %d of %s ended alone", r.number, t.id)
		}
	case fold.EndFailed, fold.EndStopped, fold.EndLeaseExpired, fold.EndGangBroken:
		if !t.step.LongRunning && !t.step.Checkpoints {
			w.counts.Wasted += max(0, spent)
		}
	}
}

// gangDone marks all tasks of a gang as done and ends the runs of its other members.
func (w *World) gangDone(t *taskTruth) {
	for _, other := range t.job.tasks[t.name.Step] {
		other.done, other.doneAt = true, w.now
	}
	for _, other := range t.job.tasks[t.name.Step] {
		for r := range other.live {
			host := r.host
			w.after(0, func() {
				if host.runs[r.task.id] == r {
					host.end(r, fold.EndDone)
				}
			})
		}
	}
}

// recordAck records that the owner acknowledged an end.
func (w *World) recordAck(h *host, e fold.HostEnd) {
	t := w.tasks[e.Task]
	switch e.Kind {
	case fold.EndDone:
		for _, end := range t.doneEnds {
			if end.host == h && end.incarnation == h.incarnation && end.number == e.Number && end.startedAgain && e.Number > h.lapsedEnd {
				w.addViolation("TWICE", "%s started again after it was done on %s", t.id, h.info.ID)
			}
		}
		w.checkDurable(t)
	case fold.EndFailed:
		if e.Number > h.lapsedEnd {
			t.ackedFailures++
			t.ackedFailureAt = w.now
		}
	default:
	}
}

// checkDurable checks that an acknowledged end is durable, because the host deletes an end when it is acknowledged.
func (w *World) checkDurable(t *taskTruth) {
	rec := w.store.records[t.job.spec.ID]
	if rec.State.Final() || recordedDone(rec, t) {
		return
	}
	w.addViolation("LOST", "the end of %s was acknowledged before it was recorded", t.id)
}

func recordedDone(rec flow.Record, t *taskTruth) bool {
	for _, p := range rec.Parts {
		if p.Step != t.name.Step || p.Occurrence != t.name.Occurrence {
			continue
		}
		i := t.name.Index
		return p.AllDone || i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0
	}
	return false
}

// idleTime is how long a job may have nothing running although it would fit.
const idleTime = 3 * time.Second

// idle reports whether the job has no run although every step of it fits on hosts with free capacity and under the limit of its
// team.
func (w *World) idle(j *jobTruth) bool {
	for s := range j.spec.Steps {
		for _, t := range j.tasks[s] {
			if len(t.live) > 0 {
				return false
			}
		}
	}
	used, limit := w.use().teams[j.spec.Team], w.limitOf(j.spec.Team)
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		if j.tasks[s][0].done && step.Gang {
			continue
		}
		need := step.Size
		if step.Gang {
			need = need.Times(int64(step.Count))
		}
		if exceeds(used.Add(need), limit) {
			return false
		}
		slots := 0
		for _, h := range w.hosts {
			if h.up && !h.info.Draining && approves(j.tasks[s][0].name.StepName(), h.info.ID, j.class.ApprovedShare) {
				slots += slotsOn(step, h.free())
			}
		}
		if slots == 0 || step.Gang && slots < step.Count {
			return false
		}
	}
	return true
}

// exceeds reports whether the use is above the limit. A limit of 0 is none.
func exceeds(use, limit fold.Resources) bool {
	return limit.CPU > 0 && use.CPU > limit.CPU || limit.Memory > 0 && use.Memory > limit.Memory || limit.Accel > 0 && use.Accel > limit.Accel
}

// free returns the capacity that no run uses.
func (h *host) free() fold.Resources {
	free := h.info.Capacity
	for _, r := range h.runs {
		free = free.Sub(r.task.step.Claim())
	}
	return free
}

func slotsOn(step *flow.Step, free fold.Resources) int {
	n := int64(step.Count)
	claim := step.Claim()
	if claim.CPU > 0 {
		n = min(n, free.CPU/claim.CPU)
	}
	if claim.Memory > 0 {
		n = min(n, free.Memory/claim.Memory)
	}
	if step.PerHost > 0 {
		n = min(n, int64(step.PerHost))
	}
	return int(n)
}

// joinGang adds a run to its gang, which works once all its members have started.
func (w *World) joinGang(r *run) {
	key := fmt.Sprintf("%s/%d", r.task.name.StepName(), r.number)
	w.gangs[key] = append(w.gangs[key], r)
	present := 0
	for _, o := range w.gangs[key] {
		if o.host.runs[o.task.id] == o {
			present++
		}
	}
	if present == r.task.step.Count {
		for _, o := range w.gangs[key] {
			if o.host.runs[o.task.id] == o {
				o.working, o.since = true, w.now
				o.host.resume(o)
			}
		}
		return
	}
	w.after(gangTime, func() {
		if !r.working && r.host.runs[r.task.id] == r && !r.stopping {
			r.host.end(r, fold.EndGangIncomplete)
		}
	})
}

// breakGang ends the other members of the gang of a run.
func (w *World) breakGang(r *run) {
	key := fmt.Sprintf("%s/%d", r.task.name.StepName(), r.number)
	members := w.gangs[key]
	delete(w.gangs, key)
	for _, o := range members {
		if o != r && o.host.runs[o.task.id] == o && !r.task.done {
			w.after(messageDelay, func() {
				if o.host.runs[o.task.id] == o {
					o.host.end(o, fold.EndGangBroken)
				}
			})
		}
	}
}

// recordShown records the state of a job that callers see.
func (w *World) recordShown(id string, state flow.State) {
	j := w.byID[id]
	if j == nil || j.shown == state {
		return
	}
	if j.shown.Final() {
		w.addViolation("MIXED", "job %s was shown as %s, then as %s", id, j.shown, state)
		return
	}
	j.shown, j.shownAt = state, w.now
	switch state {
	case flow.Completed:
		for _, tasks := range j.tasks {
			for _, t := range tasks {
				if !t.done {
					w.addViolation("MIXED", "job %s is shown as completed although %s is not done", id, t.id)
					return
				}
			}
		}
	case flow.Failed:
		w.checkFailed(j)
	case flow.Cancelled:
		if j.cancelled == 0 && !j.cancelSent {
			w.addViolation("LOST", "job %s is shown as cancelled without a cancellation request", id)
		}
	default:
	}
}

// checkFailed checks that a task of a failed job has used all its attempts.
func (w *World) checkFailed(j *jobTruth) {
	for s, tasks := range j.tasks {
		sum := 0
		for _, t := range tasks {
			sum += t.failures
			if t.failures >= j.class.Queue.Attempts {
				return
			}
		}
		if j.spec.Steps[s].Gang && sum >= j.class.Queue.Attempts {
			return
		}
	}
	w.addViolation("LOST", "job %s is shown as failed although no task has used all its attempts", j.spec.ID)
}

// faultExcuseTime is how long after a fault hadFault still reports it.
const faultExcuseTime = 8 * time.Second

// hadFault reports whether a fault is active or ended less than faultExcuseTime ago.
func (w *World) hadFault() bool {
	t := w.now.Sub(w.start)
	for _, f := range w.day.Faults {
		if t >= f.At && t < f.At+f.Duration+faultExcuseTime {
			return true
		}
	}
	for _, p := range w.day.Partitions {
		if t >= p.At && t < p.At+p.Duration+faultExcuseTime {
			return true
		}
	}
	return false
}

// sampleEvery is the interval between samples of long-running jobs.
const sampleEvery = 500 * time.Millisecond

// sample adds the share of running tasks of each long-running job.
func (w *World) sample() {
	for _, j := range w.jobs {
		if !j.class.LongRunning || j.cancelled != 0 || w.now.Sub(j.submitted) < j.class.Queue.Target {
			continue
		}
		working := 0
		for _, t := range j.tasks[0] {
			if len(t.live) > 0 {
				working++
			}
		}
		j.runningShares += float64(working) / float64(len(j.tasks[0]))
		j.samples++
	}
	if w.now.Sub(w.start) > w.day.Length+w.day.SettleTime-2*idleTime {
		w.sampleIdle()
	}
	w.after(sampleEvery, w.sample)
}

// sampleIdle records since when open jobs have been idle.
func (w *World) sampleIdle() {
	for _, j := range w.jobs {
		switch {
		case j.shown.Final() || !w.idle(j):
			j.idleSince = 0
		case j.idleSince == 0:
			j.idleSince = w.now
		}
	}
}

// addTotals computes the results of the day.
func (w *World) addTotals() {
	mean := make(map[string]float64)
	number := make(map[string]float64)
	for _, j := range w.jobs {
		mean[j.class.Name] += j.size
		number[j.class.Name]++
	}
	for _, j := range w.jobs {
		w.counts.Jobs++
		worth := j.class.Value * min(4, 0.3+0.7*j.size*number[j.class.Name]/mean[j.class.Name])
		late := worth * j.class.LateValue / j.class.Value
		owed, earned := worth, 0.0
		took := j.shownAt.Sub(j.submitted)
		if j.class.LongRunning {
			owed, earned = worth*j.samples, worth*j.runningShares
		}
		switch j.shown {
		case flow.Completed:
			w.counts.Completed++
			earned = value(took, j.objective, worth, late)
		case flow.Failed:
			w.counts.Failed++
			if j.alwaysFails {
				earned = value(took, j.objective, worth, late)
			}
		case flow.Cancelled:
			w.counts.Cancelled++
			if !j.class.LongRunning {
				owed, earned = 0, 0
			}
		default:
			w.counts.Open++
			if !j.class.LongRunning && j.cancelled == 0 && w.idle(j) && j.idleSince != 0 && w.now.Sub(j.idleSince) >= idleTime {
				w.addViolation("LOST", "job %s of %s has not ended: %s", j.spec.ID, j.class.Name, j.shown)
			}
		}
		w.counts.Possible += owed
		w.counts.Earned += earned
		split := w.counts.ByClass[j.class.Name]
		w.counts.ByClass[j.class.Name] = [2]float64{split[0] + owed, split[1] + earned}
	}
}

// lateFactor times its objective is how long a job can take to be late and not lost.
const lateFactor = 3

func value(took, objective time.Duration, worth, late float64) float64 {
	switch {
	case took <= objective:
		return worth
	case took <= lateFactor*objective:
		return late
	default:
		return 0
	}
}
