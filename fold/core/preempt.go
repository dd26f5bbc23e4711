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
	// preemptPause is the delay between two rounds of stops for one part, so that the stopped runs can end first.
	preemptPause = 1300 * time.Millisecond
	// preemptRetry is the delay after a search that found no run to stop. A search examines all runs.
	preemptRetry = 120 * time.Millisecond
	// maxPreemptions is the maximum number of runs stopped in one round of decisions.
	maxPreemptions = 16
)

// preempt stops runs of other jobs for long-running and urgent tasks that wait although hosts are approved for them.
func (c *Cell) preempt() {
	budget := maxPreemptions
	for _, p := range c.active {
		if budget <= 0 {
			return
		}
		if p.waitingTasks == 0 || p.step.Gang || !p.fitsRecord() || c.awaitsHosts(p) || c.now < p.preemptionTime() || !c.mayPreempt(p) {
			continue
		}
		budget -= c.preemptFor(p, c.openHostsFor(p))
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

// preemptionTime returns the earliest time at which runs may be stopped for the part.
func (p *part) preemptionTime() fold.Instant {
	if !p.step.LongRunning {
		return max(p.readyAt.Add(preemptUrgentAfter), p.advice.nextPreemption)
	}
	at := p.readyAt.Add(preemptAfter)
	for i := range p.tasks {
		if t := &p.tasks[i]; t.waiting() && t.lostAt != 0 {
			at = max(at, t.lostAt.Add(preemptAfter))
		}
	}
	return max(at, p.advice.nextPreemption)
}

// preemptFor stops runs that block the waiting tasks of the part and returns the number of stopped runs.
func (c *Cell) preemptFor(p *part, hosts []*host) int {
	limited := !c.withinLimit(p.job.spec.Team, p.step.Size)
	approved := hosts
	if p.job.queue.Advice != nil {
		approved = c.openApproved(p)
	}
	stopped := 0
	for need := p.waitingTasks; need > 0; need-- {
		var victims []*run
		if limited {
			victims = c.victimOfTeam(p, hosts)
		} else {
			victims = c.cheapestVictims(p, approved)
		}
		if victims == nil {
			break
		}
		for _, v := range victims {
			c.log.Info("Stopped a task for a more urgent one.", "task", v.id, "run", v.number, "host", v.host.info.ID, "for", p.stepName(), "limit", limited)
			c.stats.Preempted++
			c.stopRun(v)
			stopped++
		}
	}
	if stopped > 0 {
		p.advice.nextPreemption = c.now.Add(preemptPause)
	} else {
		p.advice.nextPreemption = c.now.Add(preemptRetry)
	}
	return stopped
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

// cheapestVictims returns the runs on one host that free room for a task with the least loss of work, or nil.
func (c *Cell) cheapestVictims(p *part, hosts []*host) []*run {
	var best []*run
	var bestLoss float64
	c.stats.Considered += int64(len(hosts))
	for _, h := range hosts {
		if !p.allowed(h) {
			continue
		}
		if p.step.PerHost > 0 && p.perHost[h] >= p.step.PerHost {
			continue
		}
		runs, loss := c.victimsOn(p, h)
		if runs != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = runs, loss
		}
	}
	return best
}

// victimsOn returns preemptible runs on the host that free enough resources for a task, and the core-seconds of work lost.
func (c *Cell) victimsOn(p *part, h *host) ([]*run, float64) {
	free := h.info.Capacity.Sub(h.used)
	claim := p.step.Claim()
	var eligible []*run
	for _, r := range h.runList {
		if c.preemptible(r, p) {
			eligible = append(eligible, r)
		}
	}
	slices.SortFunc(eligible, func(a, b *run) int {
		return cmp.Or(cmp.Compare(c.lostWork(a), c.lostWork(b)), cmp.Compare(a.id, b.id))
	})
	var chosen []*run
	loss := 0.0
	for _, r := range eligible {
		if claim.Fits(free) {
			break
		}
		free = free.Add(r.task.part.step.Claim())
		loss += c.lostWork(r)
		chosen = append(chosen, r)
	}
	if !claim.Fits(free) || len(chosen) == 0 {
		return nil, 0
	}
	return chosen, loss
}

// lostWork returns the work in core-seconds that is lost if the run is stopped.
func (c *Cell) lostWork(r *run) float64 {
	lost := c.now.Sub(r.startedAt)
	if r.task.part.step.Checkpoints {
		lost = min(lost, c.times.CheckpointInterval/2+c.times.Restore)
	}
	return lost.Seconds() * float64(r.task.part.step.Size.CPU) / 1000
}
