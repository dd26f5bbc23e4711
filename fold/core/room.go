package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

const (
	// roomAfter is how long a task that lasts waits before others are stopped for it, urgentAfter how long an urgent one
	// waits: it has a fraction of a second until it is late.
	roomAfter   = 400 * time.Millisecond
	urgentAfter = 60 * time.Millisecond
	// nearEnd is how much of a run must be left for it to be stopped; a shorter one is about to make room by itself.
	nearEnd = 700 * time.Millisecond
	// roomPause separates two rounds of stops for one part: what was stopped must have ended first.
	roomPause = 1300 * time.Millisecond
	// roomRetry separates two searches for runs to stop that found none; they look at all runs.
	roomRetry = 120 * time.Millisecond
	// roomStops bounds the runs that are stopped in one round of decisions.
	roomStops = 16
)

// makeRoom stops work of lower rank for tasks that last and for urgent jobs that wait although hosts are approved.
func (c *Cell) makeRoom() {
	stops := roomStops
	for _, p := range c.active {
		if stops <= 0 {
			return
		}
		if p.free == 0 || p.step.Gang || c.held(p) || c.now < p.roomAt() || !c.pressing(p) {
			continue
		}
		stops -= c.roomFor(p, c.openFor(p))
	}
}

// yielding is the capacity on the host that runs would give up for the part.
func (c *Cell) yielding(p *part, h *host) fold.Resources {
	var sum fold.Resources
	for _, r := range h.order {
		if c.mayStop(r, p) {
			sum = sum.Add(r.task.part.step.Claim())
		}
	}
	return sum
}

// pressing reports whether other work is stopped for the part: it lasts, or it is urgent and can still end in time.
func (c *Cell) pressing(p *part) bool {
	return p.step.LongRunning || p.job.queue.Priority == 0 && c.class(p) <= rankTimely
}

func (p *part) roomAt() fold.Instant {
	if !p.step.LongRunning {
		return max(p.readyAt.Add(urgentAfter), p.advice.room)
	}
	at := p.readyAt.Add(roomAfter)
	for i := range p.tasks {
		if t := &p.tasks[i]; t.waiting() && t.lost != 0 {
			at = max(at, t.lost.Add(roomAfter))
		}
	}
	return max(at, p.advice.room)
}

// roomFor stops what holds the room for the waiting tasks of the part and returns how many runs it stopped.
func (c *Cell) roomFor(p *part, hosts []*host) int {
	limited := !c.within(p.job.spec.Team, p.step.Size)
	approved := hosts
	if p.job.queue.Advice != nil {
		approved = c.approvedOpen(p)
	}
	stopped := 0
	for need := p.free; need > 0; need-- {
		var victims []*run
		if limited {
			victims = c.ofTeam(p, hosts)
		} else {
			victims = c.cheapest(p, approved)
		}
		if victims == nil {
			break
		}
		for _, v := range victims {
			c.log.Info("Stopped a task for a more urgent one.", "task", v.id, "run", v.number, "host", v.host.info.ID, "for", p.stepName(), "limit", limited)
			c.stats.Preempted++
			c.stop(v)
			stopped++
		}
	}
	if stopped > 0 {
		p.advice.room = c.now.Add(roomPause)
	} else {
		p.advice.room = c.now.Add(roomRetry)
	}
	return stopped
}

// ofTeam returns the run of the part's own team, which is at its limit, that loses least when it is stopped, or nil.
func (c *Cell) ofTeam(p *part, hosts []*host) []*run {
	var best *run
	c.stats.Considered += int64(len(hosts))
	for _, h := range hosts {
		for _, r := range h.order {
			if r.task.part.job.spec.Team != p.job.spec.Team || !c.mayStop(r, p) || !p.step.Size.Fits(r.task.part.step.Size) {
				continue
			}
			if best == nil || c.loss(r) < c.loss(best) {
				best = r
			}
		}
	}
	if best == nil {
		return nil
	}
	return []*run{best}
}

// mayStop reports whether a run gives way to the part.
func (c *Cell) mayStop(r *run, p *part) bool {
	s, other := r.task.part.step, r.task.part.job.queue.Priority
	if r.stopping || r.phase != phaseRunning || s.LongRunning || s.Gang {
		return false
	}
	if p.step.LongRunning {
		return other >= p.job.queue.Priority
	}
	return other > p.job.queue.Priority && s.Checkpoints && c.left(r) > nearEnd
}

// cheapest returns the runs on one host whose end makes room for a task at the least loss of work, or nil.
func (c *Cell) cheapest(p *part, hosts []*host) []*run {
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
		runs, loss := c.victims(p, h)
		if runs != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = runs, loss
		}
	}
	return best
}

// victims returns runs of lower rank on the host that free the claim of the step, and the core-seconds that are lost.
func (c *Cell) victims(p *part, h *host) ([]*run, float64) {
	free := h.info.Capacity.Sub(h.used)
	claim := p.step.Claim()
	var able []*run
	for _, r := range h.order {
		if c.mayStop(r, p) {
			able = append(able, r)
		}
	}
	slices.SortFunc(able, func(a, b *run) int {
		return cmp.Or(cmp.Compare(c.loss(a), c.loss(b)), cmp.Compare(a.id, b.id))
	})
	var chosen []*run
	loss := 0.0
	for _, r := range able {
		if claim.Fits(free) {
			break
		}
		free = free.Add(r.task.part.step.Claim())
		loss += c.loss(r)
		chosen = append(chosen, r)
	}
	if !claim.Fits(free) || len(chosen) == 0 {
		return nil, 0
	}
	return chosen, loss
}

// loss is the work in core-seconds that is lost when the run is stopped.
func (c *Cell) loss(r *run) float64 {
	lost := c.now.Sub(r.began)
	if r.task.part.step.Checkpoints {
		lost = min(lost, c.times.CheckpointInterval/2+c.times.Restore)
	}
	return lost.Seconds() * float64(r.task.part.step.Size.CPU) / 1000
}
