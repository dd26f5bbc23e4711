package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

// Decide plans what can start now. The plans become orders once their records are durable.
func (c *Cell) Decide() {
	c.lapse()
	c.release()
	c.resend()
	c.evacuate()
	c.sortActive()
	c.openHosts()
	c.heard()
	for _, p := range c.active {
		if !c.held(p) {
			c.plan(p)
		}
	}
	c.makeRoom()
	c.startUnrecorded()
	c.pace()
	c.explain()
}

// sortActive orders the active parts by what their jobs are still worth and drops those that are done.
func (c *Cell) sortActive() {
	c.active = slices.DeleteFunc(c.active, func(p *part) bool {
		gone := p.done == len(p.tasks) || p.job.state.Final()
		if gone {
			p.active = false
		}
		return gone
	})
	for _, p := range c.active {
		p.rank = c.rank(p)
	}
	slices.SortStableFunc(c.active, func(a, b *part) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.job.due, b.job.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
}

// Ranks of work by what it is still worth; within a rank the priority of the queue counts first.
const (
	rankLasting = iota
	rankTimely
	rankLate
	rankExcess
	rankLost
)

// rankSpan is more than the priorities within a rank.
const rankSpan = 16

// class says what the job of a part is still worth: it lasts, can still end in time, is late, is beyond the rate of its
// team, or has lost its worth.
func (c *Cell) class(p *part) int {
	j := p.job
	switch {
	case p.step.LongRunning:
		return rankLasting
	case j.spec.Times > 0:
		return rankTimely
	case c.now > j.late:
		return rankLost
	case j.excess:
		return rankExcess
	case c.now.Add(c.remaining(p)) > j.due:
		return rankLate
	default:
		return rankTimely
	}
}

// rank orders parts by class and priority. Urgent jobs that are late come behind those that are not, but before long jobs
// that can still end in time: those lose nothing by a short wait, while the urgent ones soon have lost all their worth.
func (c *Cell) rank(p *part) int {
	class, priority := c.class(p), min(max(p.job.queue.Priority, 0), rankSpan/2-1)
	if class == rankLate && p.urgent() {
		return rankTimely*rankSpan + 1
	}
	return class*rankSpan + 2*priority
}

// remaining is the least time until the job of a part can end.
func (c *Cell) remaining(p *part) time.Duration {
	var longest int64
	for _, n := range p.next {
		longest = max(longest, n.step.Estimate)
	}
	return time.Duration(float64(p.step.Estimate+longest)*c.gauge(p.job.queue.Name).factor()) * time.Millisecond
}

// openHosts lists the hosts that take new work, by service.
func (c *Cell) openHosts() {
	for service, hosts := range c.open {
		c.open[service] = hosts[:0]
	}
	clear(c.largest)
	clear(c.room)
	for _, h := range c.ranked {
		if !h.open(c.now) {
			continue
		}
		service := h.info.Service
		c.open[service] = append(c.open[service], h)
		free, largest := h.info.Capacity.Sub(h.used), c.largest[service]
		c.room[service] = room{free: c.room[service].free.Add(free), capacity: c.room[service].capacity.Add(h.info.Capacity)}
		c.largest[service] = fold.Resources{CPU: max(largest.CPU, free.CPU), Memory: max(largest.Memory, free.Memory), Accel: max(largest.Accel, free.Accel)}
	}
}

// openFor returns the hosts that take new work of the part's service.
func (c *Cell) openFor(p *part) []*host {
	return c.open[p.job.queue.Service]
}

// plan places the waiting tasks of a part.
func (c *Cell) plan(p *part) {
	if p.free == 0 && !p.step.Copies {
		return
	}
	hosts := c.candidates(p)
	if p.free > 0 && p.step.Gang {
		c.planGang(p, hosts)
		return
	}
	for i := range p.tasks {
		if p.free == 0 {
			break
		}
		t := &p.tasks[i]
		if !t.waiting() || t.after > c.now {
			continue
		}
		if c.giveUpJob(t) {
			// Its last copy was lost after the others had failed.
			return
		}
		h := c.choose(p, t, hosts, nil)
		if h == nil {
			break
		}
		c.start(t, h, c.next(t))
	}
	if p.step.Copies {
		c.copies(p, hosts)
	}
}

// start plans a run.
func (c *Cell) start(t *task, h *host, number int) {
	p := t.part
	t.run = number
	if t.own == 0 {
		t.own = number
	}
	r := newRun(t, number, h, h.info.Incarnation, c.now)
	if g, ok := p.advice.grants[h]; ok {
		r.ticket = g.ticket
	}
	c.attach(r)
	c.planned = append(c.planned, r)
	c.mark(p.job)
	if !p.job.begun {
		p.job.begun = true
		c.settle(p.job)
	}
}

// planGang places all tasks of a gang or none.
func (c *Cell) planGang(p *part, hosts []*host) {
	if p.free < len(p.tasks) {
		return
	}
	number := 0
	saved := ""
	for i := range p.tasks {
		number = max(number, c.next(&p.tasks[i]))
		if p.tasks[i].saved != "" {
			saved = p.tasks[i].saved
		}
		if p.tasks[i].after > c.now {
			return
		}
	}
	chosen := c.chooseGang(p, hosts)
	if chosen == nil {
		return
	}
	for i := range p.tasks {
		p.tasks[i].saved = saved
		c.start(&p.tasks[i], chosen[i], number)
	}
}

// chooseGang returns a host for each task of a gang: within one rack if that is faster, else anywhere.
func (c *Cell) chooseGang(p *part, hosts []*host) []*host {
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
			if chosen := c.seatGang(p, racks[name]); chosen != nil {
				return chosen
			}
		}
	}
	return c.seatGang(p, hosts)
}

// seatGang tries to place every task of the gang on the hosts.
func (c *Cell) seatGang(p *part, hosts []*host) []*host {
	if !c.within(p.job.spec.Team, p.step.Size.Times(int64(len(p.tasks)))) {
		return nil
	}
	taken := make(map[*host]int)
	chosen := make([]*host, len(p.tasks))
	for i := range p.tasks {
		h := c.choose(p, &p.tasks[i], hosts, taken)
		if h == nil {
			return nil
		}
		taken[h]++
		chosen[i] = h
	}
	return chosen
}

const (
	// copyAfter is how many times the expected run time a run may take before a copy is started.
	copyAfter = 1.6
	// copySilence is how long a host may not answer before its tasks get copies.
	copySilence = 400 * time.Millisecond
	// copyStill is how long a run may make no progress before it gets a copy.
	copyStill = 700 * time.Millisecond
)

// copies starts second runs of tasks that seem to be held up.
func (c *Cell) copies(p *part, hosts []*host) {
	for i := range p.tasks {
		t := &p.tasks[i]
		if t.done || len(t.runs) != 1 || !c.wantsCopy(t) {
			continue
		}
		h := c.choose(p, t, hosts, map[*host]int{})
		if h == nil || h == t.runs[0].host {
			continue
		}
		c.stats.Copies++
		c.log.Info("Started a copy.", "task", t.name().String(), "held", t.runs[0].host.info.ID, "host", h.info.ID, "percent", t.runs[0].percent)
		c.start(t, h, c.next(t))
	}
}

// wantsCopy reports whether a second run of a task is worth its while: the first one seems to be held up, or it is the
// last one that may fail.
func (c *Cell) wantsCopy(t *task) bool {
	r := t.runs[0]
	if r.stopping {
		return false
	}
	limit := t.part.job.queue.Attempts
	if t.fails >= limit {
		// The run that is left decides.
		return false
	}
	if t.fails > 0 && t.fails == limit-1 {
		return true
	}
	return r.phase == phaseRunning && c.heldUp(r)
}

// heldUp reports whether a run is on a host that does not answer, stands still or is much slower than expected.
func (c *Cell) heldUp(r *run) bool {
	h := r.host
	if h.silent != 0 && c.now.Sub(h.silent) > copySilence {
		return true
	}
	if h.info.Draining && c.left(r) > h.health.leaves.Sub(c.now) {
		return true
	}
	if r.began == 0 {
		return false
	}
	expected := c.expected(r.task)
	if c.now.Sub(r.moved) > max(copyStill, expected/4) && r.percent < 100 {
		return true
	}
	ran := c.now.Sub(r.began)
	return float64(ran) > copyAfter*float64(expected) && c.left(r) > expected/2
}

// expected is how long a task should take.
func (c *Cell) expected(t *task) time.Duration {
	return time.Duration(float64(t.part.step.Estimate)*c.gauge(t.part.job.queue.Name).factor()) * time.Millisecond
}

// left is how long a run will still take by its progress, or by its estimate before there is any.
func (c *Cell) left(r *run) time.Duration {
	ran := c.now.Sub(r.began)
	if r.phase != phaseRunning || r.percent <= r.first || r.seen <= r.began {
		return max(0, c.expected(r.task)-ran)
	}
	speed := float64(r.percent-r.first) / float64(r.seen.Sub(r.began))
	return max(0, time.Duration(float64(100-r.percent)/speed)-c.now.Sub(r.seen))
}

// evacuate stops tasks on leaving hosts that go on elsewhere sooner.
func (c *Cell) evacuate() {
	for _, h := range c.ranked {
		if !h.info.Draining || len(h.runs) == 0 {
			continue
		}
		left := h.health.leaves.Sub(c.now)
		for _, r := range h.list() {
			if r.phase != phaseRunning || r.stopping {
				continue
			}
			s := r.task.part.step
			// A run is stopped early enough for the host to tell of its end before it leaves.
			last := left < c.times.Stop+evacuateSlack
			if s.LongRunning && !s.Gang || last && c.left(r) > max(0, left) {
				c.log.Info("Moved a task off a leaving host.", "task", r.key().task, "run", r.number, "host", h.info.ID, "left", left.String())
				c.stop(r)
				c.breakGang(r)
			}
		}
	}
}

// evacuateSlack is the time for an order and a report.
const evacuateSlack = 300 * time.Millisecond

// allowed reports whether the step may run on the host at all, room aside.
func (p *part) allowed(h *host) bool {
	return p.step.Label == "" || h.info.HasLabel(p.step.Label)
}

// choose returns the best of the candidates for a task, or nil. taken counts tasks that are about to be placed beside it.
func (c *Cell) choose(p *part, t *task, hosts []*host, taken map[*host]int) *host {
	if !c.within(p.job.spec.Team, p.step.Size) {
		return nil
	}
	claim := p.step.Claim()
	if !claim.Fits(c.largest[p.job.queue.Service]) {
		return nil
	}
	var best *host
	var bestScore float64
	c.stats.Considered += int64(len(hosts))
	for _, h := range hosts {
		if !p.allowed(h) {
			continue
		}
		beside := taken[h]
		if p.step.PerHost > 0 && p.perHost[h]+beside >= p.step.PerHost {
			continue
		}
		need := claim
		if beside > 0 {
			need = claim.Times(int64(beside + 1))
		}
		if !need.Fits(h.info.Capacity.Sub(h.used)) || t.on(h) {
			continue
		}
		score := c.score(p, t, h, need)
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// on reports whether a run of the task is on the host already.
func (t *task) on(h *host) bool {
	for _, r := range t.runs {
		if r.host == h {
			return true
		}
	}
	return false
}

// Weights of what speaks against a host, against the share of its capacity that stays free.
const (
	costRemote  = 3.0
	costSuspect = 2.0
	costLast    = 8.0
	costBeside  = 1.5
)

// score rates a host for a task; the least is best.
func (c *Cell) score(p *part, t *task, h *host, need fold.Resources) float64 {
	capacity := h.info.Capacity
	score := 0.0
	free := capacity.Sub(h.used).Sub(need)
	if p.step.Fill {
		// A filling task gets what is left of the processors.
		score += float64(h.soft+p.step.Size.CPU) / float64(max(1, capacity.CPU-h.used.CPU))
	} else {
		score += float64(free.CPU) / float64(max(1, capacity.CPU))
	}
	if p.step.Rack != "" && h.info.Rack() != p.step.Rack {
		score += costRemote
	}
	if h.health.suspect(c.now) {
		score += costSuspect
		if !p.step.LongRunning && t.fails+1 >= p.job.queue.Attempts && t.fails > 0 {
			score += costLast
		}
	}
	serves, fills := h.mix()
	if p.step.Fill && serves || p.step.Target > 0 && fills {
		score += costBeside
	}
	return score
}
