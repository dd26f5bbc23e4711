package sched

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// urgentWait is how long urgent work may wait before other work makes room for it.
	urgentWait = 1200 * time.Millisecond
	// urgentWeight is what a second of an urgent task is worth in seconds of other tasks.
	urgentWeight = 4
	// serviceLoss is the run time that a stopped service task counts as losing, for the restart and its clients.
	serviceLoss = 5 * time.Minute
	// serviceLeft is the remaining run time that a service task counts as having.
	serviceLeft = 10 * time.Minute
	// maxMaking bounds the workers on which tasks are preempted for one lane at the same time.
	maxMaking = 16
	// lowPart and highPart, in parts of the fair share, bound the teams that others make room for and that make room;
	// the wide bounds hold where waiting time outweighs fairness.
	lowPart      = 0.98
	highPart     = 1.02
	wideLowPart  = 0.5
	wideHighPart = 1.5
	// fullPart is the part of the pool in use from which shares apply.
	fullPart = 0.9
	// lowTime is how long a team must be below its share before others make room for it.
	lowTime = 2 * time.Second
	// preemptShare is the inverse of the part of the workers on which work makes room for shares at the same time.
	preemptShare = 8
)

// makeRoom stops other work for urgent work that cannot start in time, and work of teams far above their share for
// teams below theirs.
func (p *Pool) makeRoom() {
	p.noteLow()
	for _, h := range slices.Clone(p.holds) {
		l, ok := h.team.queue.byKey[h.key]
		if !ok || len(l.jobs) == 0 {
			continue
		}
		j := l.jobs[0]
		late := j.urgent() && h.start > j.accepted.Add(urgentWait) && h.start > p.now.Add(preemptGrace)
		switch {
		case late && h.key.gang != "":
			p.makeGangRoom(h)
		case late:
			p.makeTaskRoom(h, j, urgentVictim, urgentWeight, "urgent work cannot start in time", maxMaking)
		case h.team.low != 0 && p.now.Sub(h.team.low) >= lowTime && h.key.gang == "":
			victim := func(t *task) bool { return shareVictim(t, p) }
			left := max(1, p.index.Len()/preemptShare) - p.preempts
			p.makeTaskRoom(h, j, victim, 1, "the team is far above its share", min(left, maxMaking))
		default:
		}
	}
}

// setFair computes the fair parts of all teams.
func (p *Pool) setFair() {
	total := 0
	for _, t := range p.order {
		if !t.used.IsZero() || !t.wanted.IsZero() {
			total += t.share
		}
	}
	for _, t := range p.order {
		t.fair = float64(t.share) / float64(max(total, 1))
	}
}

// noteLow notes since when teams with waiting work that the allotment allows are below their share.
func (p *Pool) noteLow() {
	capacity, used := p.index.Totals()
	low := lowPart
	if !p.strict() {
		low = wideLowPart
	}
	for _, t := range p.order {
		l := t.queue.first(p.startable)
		switch {
		case used.Dominant(capacity) < fullPart || l == nil || t.used.Dominant(capacity) >= low*t.fair || !t.allows(l.key.size):
			t.low = 0
		case t.low == 0:
			t.low = p.now
		default:
		}
	}
}

// movable reports whether a task can be stopped and run again.
func movable(t *task) bool {
	spec := t.job.spec
	return t.phase == phaseRunning && !t.stopped && t.preempted == "" && !t.job.halted() && spec.Kind != fold.Gang &&
		(spec.Idempotent || spec.Kind == fold.Service)
}

func urgentVictim(t *task) bool {
	return movable(t) && !t.job.urgent()
}

func shareVictim(t *task, p *Pool) bool {
	owner := p.team(t.job.spec.Team)
	capacity, _ := p.index.Totals()
	high := highPart
	if !p.strict() {
		high = wideHighPart
	}
	return movable(t) && !t.job.urgent() && t.job.spec.Kind != fold.Service &&
		owner.used.Dominant(capacity) > high*owner.fair &&
		owner.used.Sub(owner.leaving).Sub(t.size).Dominant(capacity) >= owner.fair
}

// makeTaskRoom stops tasks on the workers where least is lost, for at most limit waiting tasks of the lane.
func (p *Pool) makeTaskRoom(h *hold, j *job, victim func(*task) bool, weight float64, why string, limit int) {
	for len(h.making) < min(j.nready, limit) {
		var best []*task
		least, worker := 0.0, ""
		p.sampledFor(h, func(n place.Node) {
			chosen, gain, loss := p.victims(n, h.key.size, victim)
			if len(chosen) > 0 && gain*weight > loss && (worker == "" || loss < least) {
				best, least, worker = chosen, loss, n.Name
			}
		})
		if worker == "" {
			return
		}
		for _, t := range best {
			p.preempt(t, why)
		}
		if !h.keeps(worker) {
			h.names = append(h.names, worker)
			h.rooms[worker] = 1
			p.index.Close(worker, place.Reserved)
		}
		h.making[worker] = true
		h.start = max(h.start, p.now.Add(preemptGrace))
	}
}

// sampledFor visits sampled workers and those of the hold on which nothing was stopped yet.
func (p *Pool) sampledFor(h *hold, visit func(place.Node)) {
	for _, name := range h.names {
		if n, ok := p.index.Node(name); ok && !h.making[name] {
			visit(n)
		}
	}
	p.sampled(h.key.size, visit)
}

// makeGangRoom stops tasks on all workers reserved for an urgent gang, or on none if that is not worth it.
func (p *Pool) makeGangRoom(h *hold) {
	var chosen []*task
	var gain, loss float64
	for _, name := range h.names {
		n, ok := p.index.Node(name)
		need := h.key.size.Times(int64(h.rooms[name]))
		if !ok || h.making[name] {
			return
		}
		if need.Fits(n.Free()) {
			continue
		}
		tasks, g, l := p.victims(n, need, urgentVictim)
		if len(tasks) == 0 {
			return
		}
		chosen = append(chosen, tasks...)
		gain, loss = gain+g, loss+l
	}
	if gain*urgentWeight <= loss {
		return
	}
	for _, t := range chosen {
		h.making[t.worker] = true
		p.preempt(t, "an urgent gang cannot start in time")
	}
}

// victims picks the tasks whose end makes room for size on a worker, with the remaining run time that they free and
// the run time that they lose, in parts of the worker times seconds.
func (p *Pool) victims(n place.Node, size fold.Resources, victim func(*task) bool) ([]*task, float64, float64) {
	room := n.Free()
	if size.Fits(room) {
		return nil, 0, 0
	}
	var order []*task
	for _, t := range p.workers[n.Name].tasks {
		if t.preempted != "" {
			return nil, 0, 0
		}
		if victim(t) {
			order = append(order, t)
		}
	}
	slices.SortFunc(order, func(a, b *task) int {
		return cmp.Or(cmp.Compare(p.lossOf(a), p.lossOf(b)), cmp.Compare(a.job.spec.ID, b.job.spec.ID), cmp.Compare(a.index, b.index))
	})
	var chosen []*task
	var gain, loss float64
	for _, t := range order {
		if size.Fits(room) {
			break
		}
		room = room.Add(t.size)
		chosen = append(chosen, t)
		part := t.size.Dominant(n.Capacity)
		gain += part * p.leftOf(t).Seconds()
		loss += part * p.lossOf(t).Seconds()
	}
	if !size.Fits(room) {
		return nil, 0, 0
	}
	return chosen, gain, loss
}

// lossOf is the run time that may have to be repeated.
func (p *Pool) lossOf(t *task) time.Duration {
	if t.job.spec.Kind == fold.Service {
		return serviceLoss
	}
	return p.now.Sub(t.began)
}

// leftOf is the run time for which the task would go on.
func (p *Pool) leftOf(t *task) time.Duration {
	if t.job.spec.Kind == fold.Service {
		return serviceLeft
	}
	return p.endOf(t).Sub(p.now)
}

// preempt stops a task so that it runs again later.
func (p *Pool) preempt(t *task, why string) {
	t.preempted = why
	t.job.preempted = why
	t.job.preemptions++
	p.preempts++
	owner := p.team(t.job.spec.Team)
	owner.leaving = owner.leaving.Add(t.size)
	p.ending = append(p.ending, ending{task: t, attempt: t.attempt})
}
