package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

// Decide makes the decisions that are due. Among other things, it detaches expired runs, stops runs on draining hosts, plans
// the runs that can start now, and preempts. A planned run is ordered once its record is durable, or at once while runs may
// start without a record (startUnrecorded).
func (c *Cell) Decide() {
	c.loseExpiredRuns()
	c.activateDue()
	c.resendStops()
	c.moveFromDrainingHosts()
	c.sortActive()
	c.updateOpenHosts()
	c.updateAwaited()
	c.dropReservations()
	var held heldRoom
	for _, p := range c.active {
		if !c.awaitsHosts(p) {
			c.planPart(p)
		}
		held.add(p)
	}
	held.release()
	c.preempt()
	c.startUnrecorded()
	c.adjustPaces()
	c.logWaiting()
	c.logSpeeds()
	c.logPastUse()
}

// sortActive removes finished parts from the active ones and sorts the rest by rank, past use, due time and job id.
func (c *Cell) sortActive() {
	c.active = slices.DeleteFunc(c.active, func(p *part) bool {
		finished := p.doneTasks == len(p.tasks) || p.job.state.Final()
		if finished {
			p.active = false
		}
		return finished
	})
	for _, p := range c.active {
		c.rankPart(p)
	}
	slices.SortStableFunc(c.active, compareParts)
}

// rankPart computes what the order of the part and its preference for fast or slow hosts depend on.
func (c *Cell) rankPart(p *part) {
	p.rank = c.rank(p)
	if c.options.Speeds {
		p.speedPreference = p.speedWeight(p.rank/classSpan, c.now)
	}
	p.setBack = c.setBack(p)
}

// compareParts orders parts by rank, past use, due time and job id.
func compareParts(a, b *part) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.setBack != b.setBack {
		return cmp.Compare(a.setBack, b.setBack)
	}
	return cmp.Or(cmp.Compare(a.job.due, b.job.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
}

// Classes of parts, highest precedence first. Within a class, parts are ordered by the priority of the queue.
const (
	// classLongRunning is the class of long-running steps.
	classLongRunning = iota
	// classTimely is the class of jobs that can still end in time.
	classTimely
	// classLate is the class of jobs that will end late.
	classLate
	// classOverRate is the class of jobs beyond the rate of their team.
	classOverRate
	// classWorthless is the class of jobs whose result has lost its value.
	classWorthless
)

// classSpan is the distance between the ranks of two classes. It exceeds twice the largest priority value that rank uses.
const classSpan = 16

// class returns the class of a part: whether the job is long-running, can still end in time, is late,
// exceeds the rate of its team, or is worthless.
func (c *Cell) class(p *part) int {
	j := p.job
	switch {
	case p.step.LongRunning:
		return classLongRunning
	case j.spec.Times > 0:
		// A job with a schedule is always timely, whatever its due time, its value and the rate of its team.
		return classTimely
	case c.now > j.worthlessAfter:
		return classWorthless
	case j.overRate:
		return classOverRate
	case c.now.Add(c.jobRemaining(p)) > j.due:
		return classLate
	default:
		return classTimely
	}
}

// rank combines class and priority; parts of lower rank come first. Late urgent parts come right after timely parts of
// priority 0, the highest, and before all other timely parts: a short wait costs long jobs nothing, while urgent jobs soon
// become worthless.
func (c *Cell) rank(p *part) int {
	class, priority := c.class(p), min(max(p.job.queue.Priority, 0), classSpan/2-1)
	if class == classLate && p.urgent() {
		// Odd ranks lie between two priorities; this one comes right after priority 0 of the timely jobs.
		return classTimely*classSpan + 1
	}
	return class*classSpan + 2*priority
}

// jobRemaining estimates how long the job of a part still takes as the whole run time of the part plus that of its longest
// direct successor. It ignores later steps and the progress of running tasks.
func (c *Cell) jobRemaining(p *part) time.Duration {
	if c.options.Speeds {
		p.remaining = c.predictRemaining(p)
		return p.remaining
	}
	var longest int64
	for _, n := range p.successors {
		longest = max(longest, n.step.Estimate)
	}
	p.remaining = time.Duration(float64(p.step.Estimate+longest)*c.runTimeFactor(p.job.queue.Name).factor()) * time.Millisecond
	return p.remaining
}

// updateOpenHosts recomputes the open hosts, which accept new work, and their capacity, by service.
func (c *Cell) updateOpenHosts() {
	for service, hosts := range c.open {
		c.open[service] = hosts[:0]
	}
	clear(c.maxFree)
	clear(c.openCapacity)
	for _, h := range c.hostsByID {
		if !h.acceptsWork(c.now) {
			continue
		}
		service := h.info.Service
		c.open[service] = append(c.open[service], h)
		free, largest := h.info.Capacity.Sub(h.used), c.maxFree[service]
		c.openCapacity[service] = openCapacity{free: c.openCapacity[service].free.Add(free), capacity: c.openCapacity[service].capacity.Add(h.info.Capacity)}
		c.maxFree[service] = fold.Resources{CPU: max(largest.CPU, free.CPU), Memory: max(largest.Memory, free.Memory), Accel: max(largest.Accel, free.Accel)}
	}
}

// openHostsFor returns the open hosts of the part's service.
func (c *Cell) openHostsFor(p *part) []*host {
	return c.open[p.job.queue.Service]
}

// planPart plans runs of the waiting tasks of a part, and speculative copies of running ones. It fails the job if a waiting
// task has used up its attempts.
func (c *Cell) planPart(p *part) {
	if p.waitingTasks == 0 && !p.step.Copies || !p.fitsRecord() {
		return
	}
	hosts := c.candidates(p)
	if p.waitingTasks > 0 && p.step.Gang {
		c.planGang(p, hosts)
		return
	}
	for i := range p.tasks {
		if p.waitingTasks == 0 {
			break
		}
		t := &p.tasks[i]
		if !t.waiting() || t.notBefore > c.now {
			continue
		}
		if c.failExhaustedJob(t) {
			// The last run of the task was lost after its other runs had failed.
			return
		}
		h := c.chooseHost(p, t, hosts, nil)
		if h == nil {
			break
		}
		c.planStart(t, h, c.nextRunNumber(t))
	}
	if p.step.Copies {
		c.planCopies(p, hosts)
	}
}

// planStart plans a run of the task on the host.
func (c *Cell) planStart(t *task, h *host, number int) {
	p := t.part
	p.begin()
	p.useReservation(h)
	t.lastRun = number
	if t.firstOwnRun == 0 {
		t.firstOwnRun = number
	}
	r := newRun(t, number, h, h.info.Incarnation, c.now)
	if held, ok := p.advice.tickets[h]; ok {
		r.ticket = held.value
	}
	c.attach(r)
	r.countUnconfirmed()
	c.planned = append(c.planned, r)
	c.markDirty(p.job)
	if !p.job.started {
		p.job.started = true
		c.updateState(p.job)
	}
}

// planGang places either all tasks of a gang or none.
func (c *Cell) planGang(p *part, hosts []*host) {
	if p.waitingTasks < len(p.tasks) {
		return
	}
	number := 0
	// All tasks of a gang resume from one checkpoint, that of the last task that has one.
	checkpoint := ""
	for i := range p.tasks {
		number = max(number, c.nextRunNumber(&p.tasks[i]))
		if p.tasks[i].checkpoint != "" {
			checkpoint = p.tasks[i].checkpoint
		}
		if p.tasks[i].notBefore > c.now {
			return
		}
	}
	chosen := c.chooseGangHosts(p, hosts)
	if chosen == nil {
		return
	}
	for i := range p.tasks {
		p.tasks[i].checkpoint = checkpoint
		c.planStart(&p.tasks[i], chosen[i], number)
	}
}

// chooseGangHosts returns a host for each task of a gang. It prefers a single rack if the step is slower across racks.
func (c *Cell) chooseGangHosts(p *part, hosts []*host) []*host {
	if p.step.OneRack {
		racks := make(map[string][]*host)
		var names []string
		for _, h := range hosts {
			rack := h.info.Rack()
			if racks[rack] == nil {
				names = append(names, rack)
			}
			racks[rack] = append(racks[rack], h)
		}
		for _, name := range names {
			if chosen := c.placeGang(p, racks[name]); chosen != nil {
				return chosen
			}
		}
	}
	return c.placeGang(p, hosts)
}

// placeGang returns a host for each task of the gang, or nil if they do not all fit on the given hosts.
func (c *Cell) placeGang(p *part, hosts []*host) []*host {
	if !c.withinLimit(p.job.spec.Team, p.step.Size.Times(int64(len(p.tasks)))) {
		return nil
	}
	chosenPerHost := make(map[*host]int)
	chosen := make([]*host, len(p.tasks))
	for i := range p.tasks {
		h := c.chooseHost(p, &p.tasks[i], hosts, chosenPerHost)
		if h == nil {
			return nil
		}
		chosenPerHost[h]++
		chosen[i] = h
	}
	return chosen
}

const (
	// copySlowFactor is the multiple of the expected run time after which a run gets a speculative copy, if it will still
	// take more than half of the expected time.
	copySlowFactor = 1.6
	// copySilence is how long a host may be silent before its tasks get copies.
	copySilence = 400 * time.Millisecond
	// copyStallTime is how long a run may report no progress before it gets a copy. A quarter of the expected run time
	// applies instead if it is longer.
	copyStallTime = 700 * time.Millisecond
)

// planCopies plans speculative copies of the unfinished tasks that have exactly one run and need a copy.
func (c *Cell) planCopies(p *part, hosts []*host) {
	for i := range p.tasks {
		t := &p.tasks[i]
		if t.done || len(t.runs) != 1 || !c.needsCopy(t) {
			continue
		}
		h := c.chooseHost(p, t, hosts, map[*host]int{})
		if h == nil || h == t.runs[0].host {
			continue
		}
		c.stats.Copies++
		t.copied = true
		// The copy is only planned here; its start is sent as described at Decide. The key "stalled" holds the host of the
		// other run, which may be making progress.
		c.log.Info("Started a copy.", "task", t.name().String(), "stalled", t.runs[0].host.info.ID, "host", h.info.ID, "percent", t.runs[0].percent)
		c.planStart(t, h, c.nextRunNumber(t))
	}
}

// needsCopy reports whether a task should get a speculative copy: its run is at risk, or one more failure would fail the
// job.
func (c *Cell) needsCopy(t *task) bool {
	r := t.runs[0]
	if r.stopping {
		return false
	}
	limit := t.part.job.queue.Attempts
	if t.failures >= limit {
		// The attempts are used up; the remaining run decides the outcome.
		return false
	}
	if t.failures > 0 && t.failures == limit-1 {
		return true
	}
	return r.phase == phaseRunning && c.atRisk(r)
}

// atRisk reports whether the host of a run is silent or will leave before the run ends, or whether the run makes no
// progress or is much slower than expected.
func (c *Cell) atRisk(r *run) bool {
	h := r.host
	if h.silentSince != 0 && c.now.Sub(h.silentSince) > copySilence {
		return true
	}
	if h.info.Draining && c.runRemaining(r) > h.health.leavesAt.Sub(c.now) {
		return true
	}
	if r.startedAt == 0 {
		return false
	}
	expected := c.expectedRunTime(r)
	if c.now.Sub(r.progressedAt) > max(copyStallTime, expected/4) && r.percent < 100 {
		return true
	}
	ran := c.now.Sub(r.startedAt)
	return float64(ran) > copySlowFactor*float64(expected) && c.runRemaining(r) > expected/2
}

// expectedRunTime returns the estimate of the run's task corrected by the run times observed for its queue, or, if the options
// ask for it, predictRunTime.
func (c *Cell) expectedRunTime(r *run) time.Duration {
	if c.options.Speeds {
		return c.predictRunTime(r)
	}
	t := r.task
	return time.Duration(float64(t.part.step.Estimate)*c.runTimeFactor(t.part.job.queue.Name).factor()) * time.Millisecond
}

// runRemaining returns how long a run will still take, extrapolated from its progress, or computed from the estimate of
// its task before it has made progress.
func (c *Cell) runRemaining(r *run) time.Duration {
	ran := c.now.Sub(r.startedAt)
	if r.phase != phaseRunning || r.percent <= r.firstPercent || r.reportedAt <= r.startedAt {
		return max(0, c.expectedRunTime(r)-ran)
	}
	speed := float64(r.percent-r.firstPercent) / float64(r.reportedAt.Sub(r.startedAt))
	return max(0, time.Duration(float64(100-r.percent)/speed)-c.now.Sub(r.reportedAt))
}

// moveFromDrainingHosts stops runs on draining hosts so that they resume elsewhere: long-running tasks outside gangs at once,
// others shortly before the host leaves if they will not end by then.
func (c *Cell) moveFromDrainingHosts() {
	for _, h := range c.hostsByID {
		if !h.info.Draining || len(h.runs) == 0 {
			continue
		}
		untilLeave := h.health.leavesAt.Sub(c.now)
		for _, r := range h.copyRuns() {
			if r.phase != phaseRunning || r.stopping {
				continue
			}
			s := r.task.part.step
			// The stop is sent early enough for the host to report the end before it leaves.
			stopDue := untilLeave < c.times.Stop+drainSlack
			if s.LongRunning && !s.Gang || stopDue && c.runRemaining(r) > max(0, untilLeave) {
				// Only the stop is requested here; the task resumes elsewhere after its run has ended.
				c.log.Info("Moved a task off a leaving host.", "task", r.key().task, "run", r.number, "host", h.info.ID, "left", untilLeave.String())
				c.stopRun(r)
				c.stopGang(r)
			}
		}
	}
}

// drainSlack is the time for a stop order to reach the host and for its report to come back.
const drainSlack = 300 * time.Millisecond

// allowed reports whether the host has the label that the step requires.
func (p *part) allowed(h *host) bool {
	return p.step.Label == "" || h.info.HasLabel(p.step.Label)
}

// chooseHost returns the host with the best score for a task, or nil. chosenPerHost counts the tasks of the same gang for
// which each host was already chosen; it is nil or empty if the task is placed alone.
func (c *Cell) chooseHost(p *part, t *task, hosts []*host, chosenPerHost map[*host]int) *host {
	if !c.withinLimit(p.job.spec.Team, p.step.Size) {
		return nil
	}
	claim := p.step.Claim()
	if !claim.Fits(c.maxFree[p.job.queue.Service]) {
		return nil
	}
	var best *host
	var bestScore float64
	c.stats.Considered += int64(len(hosts))
	for _, h := range hosts {
		if !p.allowed(h) {
			continue
		}
		chosen := chosenPerHost[h]
		if p.step.PerHost > 0 && p.perHost[h]+chosen >= p.step.PerHost {
			continue
		}
		need := claim
		if chosen > 0 {
			need = claim.Times(int64(chosen + 1))
		}
		if !need.Fits(h.info.Capacity.Sub(h.used)) || t.runsOn(h) || h.startsWait(c.now, chosen) {
			continue
		}
		score := c.score(p, t, h, need)
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// runsOn reports whether the task has a run on the host.
func (t *task) runsOn(h *host) bool {
	for _, r := range t.runs {
		if r.host == h {
			return true
		}
	}
	return false
}

// Penalties that score adds for a host. Without them and the speed of the host, a task that is not a fill task gets a score of
// at most 1, which is that of a host whose processors all stay free.
const (
	// penaltyRemote applies to hosts outside the rack that holds the data.
	penaltyRemote = 3.0
	// penaltySuspect applies to hosts with recent failures, and to those on which the task has failed.
	penaltySuspect = 2.0
	// penaltyLastAttempt is added to penaltySuspect if the task has failed before, is not long-running, and one more failure
	// would fail the job.
	penaltyLastAttempt = 8.0
	// penaltyInterference applies if a fill task and a task with a latency target would share the host.
	penaltyInterference = 1.5
)

// score rates a host for a task; the lowest score is the best.
func (c *Cell) score(p *part, t *task, h *host, need fold.Resources) float64 {
	capacity := h.info.Capacity
	score := 0.0
	free := capacity.Sub(h.used).Sub(need)
	if p.step.Fill {
		// A fill task gets only the processor time that other tasks leave.
		score += float64(h.fillCPU+p.step.Size.CPU) / float64(max(1, capacity.CPU-h.used.CPU))
	} else {
		score += float64(free.CPU) / float64(max(1, capacity.CPU))
	}
	if p.step.Rack != "" && h.info.Rack() != p.step.Rack {
		score += penaltyRemote
	}
	if h.health.suspect(c.now) || slices.Contains(t.failedOn, h) {
		score += penaltySuspect
		if !p.step.LongRunning && t.failures+1 >= p.job.queue.Attempts && t.failures > 0 {
			score += penaltyLastAttempt
		}
	}
	score += p.speedPreference * h.speed.placement
	hasTargets, hasFill := h.runKinds()
	if p.step.Fill && hasTargets || p.step.Target > 0 && hasFill {
		score += penaltyInterference
	}
	return score
}
