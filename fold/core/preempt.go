package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

const (
	// preemptAfter is how long a long-running task waits before other runs are stopped for it.
	preemptAfter = 400 * time.Millisecond
	// preemptUrgentAfter is the same for an urgent task, which becomes late after a fraction of a second.
	preemptUrgentAfter = 60 * time.Millisecond
	// minRemaining is how much longer a run must take to be stopped for an urgent task. A shorter one soon frees its
	// resources by itself.
	minRemaining = 700 * time.Millisecond
	// preemptPause is the delay between two rounds of stops for one part that reserves no room, so that the stopped runs can
	// end first.
	preemptPause = 1300 * time.Millisecond
	// preemptRetry is the delay after a search for runs to stop. A search examines all runs.
	preemptRetry = 120 * time.Millisecond
	// reservationSlack is how long room stays reserved after the stopped runs should have ended.
	reservationSlack = 600 * time.Millisecond
	// maxPreemptions is the maximum number of runs stopped in one round of decisions.
	maxPreemptions = 16
)

// reservation is room on a host for a waiting task of a part. It appears when stopped runs end, or needs a ticket first.
type reservation struct {
	host  *host
	until fold.Instant
}

// reservedOn returns the number of tasks for which the part has reserved room on the host.
func (p *part) reservedOn(h *host) int {
	n := 0
	for _, r := range p.reservations {
		if r.host == h {
			n++
		}
	}
	return n
}

// useReservation removes a reservation of the part on the host, if there is one, because a task starts there.
func (p *part) useReservation(h *host) {
	if at := slices.IndexFunc(p.reservations, func(r reservation) bool { return r.host == h }); at >= 0 {
		p.reservations = slices.Delete(p.reservations, at, at+1)
	}
}

// dropReservations removes the reservations that have expired, whose host takes no work, or that exceed the waiting tasks.
func (c *Cell) dropReservations() {
	for _, p := range c.active {
		p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return r.until < c.now || !r.host.acceptsWork(c.now) })
		p.reservations = p.reservations[:min(len(p.reservations), p.waitingTasks)]
	}
}

// heldClaim is reserved room for one task.
type heldClaim struct {
	host  *host
	claim fold.Resources
}

// heldRoom lists reserved room that is charged to its hosts while decisions about later parts are made.
type heldRoom []heldClaim

// add charges the room that is reserved for the part.
func (s *heldRoom) add(p *part) {
	for _, r := range p.reservations {
		s.charge(r.host, p.step.Claim())
	}
}

// charge charges reserved room for one task to the host.
func (s *heldRoom) charge(h *host, claim fold.Resources) {
	h.used = h.used.Add(claim)
	*s = append(*s, heldClaim{host: h, claim: claim})
}

// release takes back all charges.
func (s *heldRoom) release() {
	for _, held := range *s {
		held.host.used = held.host.used.Sub(held.claim)
	}
	*s = nil
}

// preempt stops runs of other jobs for long-running and urgent tasks that wait although hosts are approved for them.
func (c *Cell) preempt() {
	budget := maxPreemptions
	var held heldRoom
	defer held.release()
	for _, p := range c.active {
		if budget <= 0 {
			return
		}
		if !p.step.Gang && p.readyTasks(c.now) > 0 && p.fitsRecord() && !c.awaitsHosts(p) && c.now >= p.preemptionTime(c.now) && c.mayPreempt(p) {
			budget -= c.preemptFor(p, c.openHostsFor(p), budget)
		}
		held.add(p)
	}
}

// preemptibleCapacity returns the resources on the host that preemption for the part could free.
func (c *Cell) preemptibleCapacity(p *part, h *host) fold.Resources {
	var sum fold.Resources
	for _, r := range h.runList {
		if c.preemptible(r, p) {
			sum = sum.Add(r.task.part.step.Claim())
		}
	}
	return sum
}

// mayPreempt reports whether other runs may be stopped for the part: it is long-running, or it is urgent and can still end
// in time.
func (c *Cell) mayPreempt(p *part) bool {
	return p.step.LongRunning || p.job.queue.Priority == 0 && c.class(p) <= classTimely
}

// readyTasks counts the waiting tasks whose start is not delayed.
func (p *part) readyTasks(now fold.Instant) int {
	if p.waitingTasks == 0 {
		return 0
	}
	n := 0
	for i := range p.tasks {
		if t := &p.tasks[i]; t.waiting() && t.notBefore <= now {
			n++
		}
	}
	return n
}

// preemptionTime returns the earliest time at which runs may be stopped for the ready tasks of the part.
func (p *part) preemptionTime(now fold.Instant) fold.Instant {
	if !p.step.LongRunning {
		return max(p.readyAt.Add(preemptUrgentAfter), p.advice.nextPreemption)
	}
	at := p.readyAt.Add(preemptAfter)
	for i := range p.tasks {
		if t := &p.tasks[i]; t.waiting() && t.lostAt != 0 && t.notBefore <= now {
			at = max(at, t.lostAt.Add(preemptAfter))
		}
	}
	return max(at, p.advice.nextPreemption)
}

// preemptFor stops runs that block the ready tasks of the part, at most about budget runs, and returns the number of stopped
// runs.
func (c *Cell) preemptFor(p *part, hosts []*host, budget int) int {
	p.advice.nextPreemption = c.now.Add(preemptRetry)
	if !c.withinLimit(p.job.spec.Team, p.step.Size) {
		return c.preemptInTeam(p, hosts)
	}
	if !p.step.LongRunning {
		return c.preemptUnreserved(p, hosts)
	}
	approved := hosts
	var unticketed []*host
	if p.job.queue.Advice != nil {
		// Stopped runs end in time for a ticket that stays valid for Stop. Other hosts need a new ticket.
		approved = nil
		for _, h := range c.openApproved(p) {
			if p.permitted(h, c.now.Add(c.times.Stop)) {
				approved = append(approved, h)
			} else {
				unticketed = append(unticketed, h)
			}
		}
	}
	stopped, ready := 0, p.readyTasks(c.now)
	for len(p.reservations) < ready && stopped < budget && c.withinLimit(p.job.spec.Team, p.step.Size.Times(int64(len(p.reservations)+1))) {
		until := c.now.Add(c.times.Stop + reservationSlack)
		h, victims := c.cheapestVictims(p, approved)
		if h == nil {
			h, victims = c.cheapestVictims(p, unticketed)
			if h == nil {
				break
			}
			until = until.Add(p.job.queue.Advice.CallTime + usualCallHosts*p.job.queue.Advice.TimePerHost)
		}
		p.reservations = append(p.reservations, reservation{host: h, until: until})
		c.stopFor(p, victims, false)
		stopped += len(victims)
	}
	return stopped
}

// preemptUnreserved stops runs for urgent tasks and returns their number. Urgent tasks are short, so holding the room of the
// stopped runs back from other tasks would cost more than it gains.
func (c *Cell) preemptUnreserved(p *part, hosts []*host) int {
	approved := hosts
	if p.job.queue.Advice != nil {
		approved = c.openApproved(p)
	}
	stopped := 0
	for need := p.readyTasks(c.now); need > 0; need-- {
		_, victims := c.cheapestVictims(p, approved)
		if len(victims) == 0 {
			break
		}
		c.stopFor(p, victims, false)
		stopped += len(victims)
	}
	if stopped > 0 {
		p.advice.nextPreemption = c.now.Add(preemptPause)
	}
	return stopped
}

// preemptInTeam stops runs of the part's own team, which has reached its limit, and returns their number.
func (c *Cell) preemptInTeam(p *part, hosts []*host) int {
	stopped := 0
	for need := p.readyTasks(c.now); need > 0; need-- {
		victims := c.victimOfTeam(p, hosts)
		if victims == nil {
			break
		}
		c.stopFor(p, victims, true)
		stopped += len(victims)
	}
	if stopped > 0 {
		p.advice.nextPreemption = c.now.Add(preemptPause)
	}
	return stopped
}

// stopFor stops runs for a part. limited reports whether the reason is the limit of the team.
func (c *Cell) stopFor(p *part, victims []*run, limited bool) {
	for _, v := range victims {
		c.log.Info("Stopped a task for a more urgent one.", "task", v.id, "run", v.number, "host", v.host.info.ID, "for", p.stepName(), "limit", limited)
		c.stats.Preempted++
		c.stopRun(v)
	}
}

// victimOfTeam returns the run of the part's own team that loses the least work when stopped, or nil. It is used when the
// team has reached its limit.
func (c *Cell) victimOfTeam(p *part, hosts []*host) []*run {
	var best *run
	c.stats.Considered += int64(len(hosts))
	for _, h := range hosts {
		for _, r := range h.runList {
			if r.task.part.job.spec.Team != p.job.spec.Team || !c.preemptible(r, p) || !p.step.Size.Fits(r.task.part.step.Size) {
				continue
			}
			if best == nil || c.lostWork(r) < c.lostWork(best) {
				best = r
			}
		}
	}
	if best == nil {
		return nil
	}
	return []*run{best}
}

// preemptible reports whether the run may be stopped for the part. Long-running tasks may also stop runs of equal priority.
func (c *Cell) preemptible(r *run, p *part) bool {
	s, other := r.task.part.step, r.task.part.job.queue.Priority
	if r.stopping || r.phase != phaseRunning || s.LongRunning || s.Gang {
		return false
	}
	if p.step.LongRunning {
		return other >= p.job.queue.Priority
	}
	return other > p.job.queue.Priority && s.Checkpoints && c.runRemaining(r) > minRemaining
}

// cheapestVictims returns the host on which room for a task can be made with the least loss of work, and the runs to stop
// there. It returns nil if there is no such host.
func (c *Cell) cheapestVictims(p *part, hosts []*host) (*host, []*run) {
	var best *host
	var bestRuns []*run
	var bestLoss float64
	c.stats.Considered += int64(len(hosts))
	for _, h := range hosts {
		if !p.allowed(h) {
			continue
		}
		if p.step.PerHost > 0 && p.perHost[h]+p.reservedOn(h) >= p.step.PerHost {
			continue
		}
		runs, loss, ok := c.victimsOn(p, h)
		if ok && (best == nil || loss < bestLoss) {
			best, bestRuns, bestLoss = h, runs, loss
			if len(runs) == 0 {
				break
			}
		}
	}
	return best, bestRuns
}

// victimsOn returns preemptible runs on the host that free enough resources for a task, and the core-seconds of work lost. For
// a long-running task it returns no runs if the room is free or becomes free when runs that are being stopped have ended.
func (c *Cell) victimsOn(p *part, h *host) (chosen []*run, loss float64, ok bool) {
	claim := p.step.Claim()
	free := h.info.Capacity.Sub(h.used).Sub(claim.Times(int64(p.reservedOn(h))))
	var eligible []*run
	for _, r := range h.runList {
		switch {
		case r.stopping && p.step.LongRunning:
			free = free.Add(r.task.part.step.Claim())
		case c.preemptible(r, p):
			eligible = append(eligible, r)
		}
	}
	slices.SortFunc(eligible, func(a, b *run) int {
		return cmp.Or(cmp.Compare(c.lostWork(a), c.lostWork(b)), cmp.Compare(a.id, b.id))
	})
	for _, r := range eligible {
		if claim.Fits(free) {
			break
		}
		free = free.Add(r.task.part.step.Claim())
		loss += c.lostWork(r)
		chosen = append(chosen, r)
	}
	return chosen, loss, claim.Fits(free) && (p.step.LongRunning || len(chosen) > 0)
}

// lostWork returns the work in core-seconds that is lost if the run is stopped.
func (c *Cell) lostWork(r *run) float64 {
	lost := c.now.Sub(r.startedAt)
	if r.task.part.step.Checkpoints {
		lost = min(lost, c.times.CheckpointInterval/2+c.times.Restore)
	}
	return lost.Seconds() * float64(r.task.part.step.Size.CPU) / 1000
}
