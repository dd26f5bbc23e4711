package model

import (
	"fmt"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

const (
	// idleSampleInterval is the time between two samples of the idle judge.
	idleSampleInterval = 250 * time.Millisecond
	// calmTime is how long before an idle time no fault may have been active.
	calmTime = 4 * time.Second
	// restartTime is how long a long-running task may be without a run after its last one.
	restartTime = 6 * time.Second
	// finishTime is how long after the end of the traffic the rule begins to apply to jobs without long-running steps.
	finishTime = 14 * time.Second
	// maxSampleDelay is the delay of a sample from which on it is logged, because the machine may have held up this process.
	maxSampleDelay = 500 * time.Millisecond
)

// idleJudge checks that no work waits whose turn has come and for which there is room.
type idleJudge struct {
	world *World
	// began is when the world started.
	began time.Time
	// active is set once sampling has begun.
	active bool
	// calmFrom is when the last fault ended or will end, as far as this was reported.
	calmFrom fold.Instant
	// finished is when the traffic and all faults had ended, or 0.
	finished fold.Instant
	// jobs are the accepted jobs that have not ended and that nobody has cancelled.
	jobs []*judgedJob
	// started holds the tasks that were started since the last sample.
	started map[*taskTruth]bool
}

// judgedJob is what the judge knows about a job.
type judgedJob struct {
	*jobTruth
	// approved holds, by step, the hosts that the adviser approves.
	approved [][]*host
	// wait is about the whole job, and taskWaits is about each task of a long-running step.
	wait      waitState
	taskWaits []waitState
}

// waitState describes a time in which a job or a task could run but does not.
type waitState struct {
	// since is when this began, or 0.
	since fold.Instant
	// ran is when the last run was seen, or 0.
	ran fold.Instant
	// reported is set if a violation was recorded.
	reported bool
}

// poolUse is the use of the hosts at one moment.
type poolUse struct {
	teams          map[string]fold.Resources
	used, capacity fold.Resources
	// free is the free capacity of the hosts that may get work.
	free map[*host]fold.Resources
}

// room is the number of tasks of a step that fit, and the number of hosts that have room for one.
type room struct {
	places, hosts int
}

// JudgeIdle begins to check that work does not wait. Work that waits during the first seconds is excused as after a fault.
func (l *Live) JudgeIdle() {
	l.update(func(w *World) {
		l.judge.calmFrom = max(l.judge.calmFrom, w.now)
		if !l.judge.active {
			l.judge.active = true
			l.judge.sample()
		}
	})
}

// RecordAccepted records that the submission of a job was acknowledged.
func (l *Live) RecordAccepted(id string) {
	l.update(func(w *World) { l.judge.add(w.byID[id]) })
}

// RecordFaultEnd records that a fault has ended now, which can be later than the duration that was given to RecordFault.
func (l *Live) RecordFaultEnd() {
	l.ExcuseWaiting(0)
}

// ExcuseWaiting excuses work that waits for d, as during a fault. It excuses no other violation.
func (l *Live) ExcuseWaiting(d time.Duration) {
	l.update(func(w *World) { l.judge.calmFrom = max(l.judge.calmFrom, w.now.Add(d)) })
}

// RecordTrafficEnd records that no more jobs arrive and that all faults have ended.
func (l *Live) RecordTrafficEnd() {
	l.update(func(w *World) { l.judge.finished = w.now })
}

func (j *idleJudge) add(job *jobTruth) {
	judged := &judgedJob{jobTruth: job, approved: make([][]*host, len(job.spec.Steps)), taskWaits: make([]waitState, len(job.tasks[0]))}
	for s := range job.spec.Steps {
		for _, h := range j.world.hosts {
			if approves(job.tasks[s][0].name.StepName(), h.info.ID, job.class.ApprovedShare) {
				judged.approved[s] = append(judged.approved[s], h)
			}
		}
	}
	j.jobs = append(j.jobs, judged)
}

// sample looks at all jobs and schedules the next sample.
func (j *idleJudge) sample() {
	if delay := time.Since(j.began) - j.world.now.Sub(j.world.start); delay > maxSampleDelay {
		j.world.log.Warn("A sample of the waiting work is late.", "delay", delay.String())
	}
	use := j.world.use()
	calmFrom := j.lastFault().Add(calmTime)
	open := j.jobs[:0]
	for _, job := range j.jobs {
		if job.cancelSent || job.cancelled != 0 || job.shown.Final() {
			continue
		}
		open = append(open, job)
		if job.class.LongRunning {
			j.checkTasks(job, use, calmFrom)
		} else {
			j.checkJob(job, use)
		}
	}
	clear(j.jobs[len(open):])
	j.jobs = open
	clear(j.started)
	j.world.after(idleSampleInterval, j.sample)
}

// lastFault returns when the last fault ended or will end.
func (j *idleJudge) lastFault() fold.Instant {
	last := j.calmFrom
	for _, f := range j.world.day.Faults {
		last = max(last, j.world.start.Add(f.At+f.Duration))
	}
	return last
}

// checkTasks checks each task of a long-running job.
func (j *idleJudge) checkTasks(job *judgedJob, use poolUse, calmFrom fold.Instant) {
	var found *room
	var since fold.Instant
	waiting, unstarted := 0, 0
	for i, t := range job.tasks[0] {
		state := &job.taskWaits[i]
		if len(t.live) > 0 || j.started[t] {
			*state = waitState{ran: j.world.now}
			continue
		}
		if found == nil {
			r := use.roomFor(job, 0)
			found = &r
		}
		if !use.underHalf(j.world, job.spec.Team) || found.places < 2 {
			state.since, state.reported = 0, false
			continue
		}
		if state.since == 0 {
			state.since = j.world.now
		}
		begin := max(state.since, calmFrom)
		if state.ran != 0 {
			begin = max(begin, state.ran.Add(restartTime))
		}
		if !state.reported && j.world.now.Sub(begin) >= idleTime {
			state.reported = true
			waiting, since = waiting+1, begin
			if state.ran == 0 {
				unstarted++
			}
		}
	}
	if waiting > 0 {
		j.report(job, 0, fmt.Sprintf("%d of %d long-running tasks (%d of them never ran) of", waiting, len(job.tasks[0]), unstarted), since, *found, use)
	}
}

// checkJob checks a job without long-running steps.
func (j *idleJudge) checkJob(job *judgedJob, use poolUse) {
	step, found, waits := j.waitingStep(job, use)
	if !waits {
		job.wait = waitState{}
		return
	}
	if job.wait.since == 0 {
		job.wait.since = j.world.now
	}
	begin := max(job.wait.since, j.finished.Add(finishTime))
	if j.finished != 0 && !job.wait.reported && j.world.now.Sub(begin) >= idleTime {
		job.wait.reported = true
		j.report(job, step, "all tasks of", begin, found, use)
	}
}

// waitingStep returns a step whose turn has come and for which there is room, if no task of the job runs.
func (j *idleJudge) waitingStep(job *judgedJob, use poolUse) (step int, found room, waits bool) {
	for _, tasks := range job.tasks {
		for _, t := range tasks {
			if len(t.live) > 0 || j.started[t] {
				return 0, room{}, false
			}
		}
	}
	if j.finished == 0 || job.hasFailed() || !use.underHalf(j.world, job.spec.Team) || !underHalf(use.used, use.capacity) {
		return 0, room{}, false
	}
	for s := range job.spec.Steps {
		if !job.turn(s) {
			continue
		}
		needed := 2
		if job.spec.Steps[s].Gang {
			needed = 2 * job.spec.Steps[s].Count
		}
		if found = use.roomFor(job, s); found.places >= needed {
			return s, found, true
		}
	}
	return 0, room{}, false
}

// report records a violation. What names the tasks that wait.
func (j *idleJudge) report(job *judgedJob, step int, what string, since fold.Instant, found room, use poolUse) {
	others := 0
	for _, other := range j.jobs {
		if other != job && (other.wait.since != 0 || other.tasksWait()) {
			others++
		}
	}
	w := j.world
	w.addViolation("LOST", "%s job %s of %s, step %d, have nothing running since %.3f s: room for %d tasks of %s on %d of %d approved hosts, team %s uses %s of %s, %s of %s in use, %d other jobs wait",
		what, job.spec.ID, job.class.Name, step, since.Sub(w.start).Seconds(), found.places, job.spec.Steps[step].Claim(), found.hosts, len(job.approved[step]),
		job.spec.Team, use.teams[job.spec.Team], w.limitOf(job.spec.Team), use.used, use.capacity, others)
}

// tasksWait reports whether a task of a long-running job waits.
func (job *judgedJob) tasksWait() bool {
	return slices.ContainsFunc(job.taskWaits, func(state waitState) bool { return state.since != 0 })
}

// turn reports whether a step has tasks to run and all steps before it are done.
func (job *judgedJob) turn(step int) bool {
	for _, a := range job.spec.Steps[step].After {
		if !allDone(job.tasks[a]) {
			return false
		}
	}
	return !allDone(job.tasks[step])
}

func allDone(tasks []*taskTruth) bool {
	return !slices.ContainsFunc(tasks, func(t *taskTruth) bool { return !t.done })
}

// hasFailed reports whether a task or a gang of the job has used all its attempts.
func (job *judgedJob) hasFailed() bool {
	for s, tasks := range job.tasks {
		sum := 0
		for _, t := range tasks {
			sum += t.failures
			if t.failures >= job.class.Queue.Attempts {
				return true
			}
		}
		if job.spec.Steps[s].Gang && sum >= job.class.Queue.Attempts {
			return true
		}
	}
	return false
}

// use computes the use of the hosts.
func (w *World) use() poolUse {
	use := poolUse{teams: make(map[string]fold.Resources), free: make(map[*host]fold.Resources, len(w.hosts))}
	for _, h := range w.hosts {
		if !h.up {
			continue
		}
		free := h.info.Capacity
		for _, r := range h.runs {
			team := r.task.job.spec.Team
			use.teams[team] = use.teams[team].Add(r.task.step.Size)
			free = free.Sub(r.task.step.Claim())
		}
		use.capacity = use.capacity.Add(h.info.Capacity)
		use.used = use.used.Add(h.info.Capacity.Sub(free))
		if !h.cut && !h.info.Draining && !h.fails && !h.hangs && h.slowdown <= 1 && h.unlisted == 0 && h.evacuatedAt == 0 {
			use.free[h] = free
		}
	}
	return use
}

// roomFor returns the room for a step on the hosts that the adviser approves.
func (u poolUse) roomFor(job *judgedJob, index int) room {
	found := room{}
	step := job.tasks[index][0].step
	for _, h := range job.approved[index] {
		free, ok := u.free[h]
		if !ok {
			continue
		}
		if n := placesOn(step, h, free); n > 0 {
			found.places += n
			found.hosts++
		}
	}
	return found
}

// placesOn returns how many more tasks of a step fit on a host with the free capacity.
func placesOn(step *flow.Step, h *host, free fold.Resources) int {
	claim := step.Claim()
	n := 2 * int64(step.Count)
	if claim.CPU > 0 {
		n = min(n, free.CPU/claim.CPU)
	}
	if claim.Memory > 0 {
		n = min(n, free.Memory/claim.Memory)
	}
	if step.PerHost > 0 && n > 0 {
		n = min(n, int64(step.PerHost))
		for _, r := range h.runs {
			if r.task.step == step {
				n--
			}
		}
	}
	return int(max(0, n))
}

// underHalf reports whether a team uses under half of its limit.
func (u poolUse) underHalf(w *World, team string) bool {
	return underHalf(u.teams[team], w.limitOf(team))
}

// underHalf reports whether under half of the limit is used. A limit of 0 is none.
func underHalf(used, limit fold.Resources) bool {
	return (limit.CPU == 0 || 2*used.CPU < limit.CPU) && (limit.Memory == 0 || 2*used.Memory < limit.Memory)
}

func (w *World) limitOf(team string) fold.Resources {
	for _, rule := range w.day.Teams {
		if rule.Name == team {
			return rule.Limit
		}
	}
	return fold.Resources{}
}
