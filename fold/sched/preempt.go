package sched

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// maxUrgentWait is the longest estimated wait of an urgent job for which no task is preempted.
	maxUrgentWait = 1200 * time.Millisecond
	// urgentWeight is how many seconds of lost run time one gained second of an urgent task is worth.
	urgentWeight = 4
	// serviceLoss is the run time counted as lost when a service task is stopped, for its restart and the effect on
	// clients.
	serviceLoss = 5 * time.Minute
	// serviceRemaining is the remaining run time assumed for a service task.
	serviceRemaining = 10 * time.Minute
	// maxPreemptWorkers bounds the workers on which tasks are preempted for one lane at the same time.
	maxPreemptWorkers = 16
	// belowShareFactor times its fair share is the use under which a team counts as below its share.
	belowShareFactor = 0.98
	// aboveShareFactor times its fair share is the use over which tasks of a team may be preempted.
	aboveShareFactor = 1.02
	// wideBelowShareFactor replaces belowShareFactor if waiting time outweighs fairness.
	wideBelowShareFactor = 0.5
	// wideAboveShareFactor replaces aboveShareFactor if waiting time outweighs fairness.
	wideAboveShareFactor = 1.5
	// fullPoolFraction is the used fraction of the pool from which shares are enforced.
	fullPoolFraction = 0.9
	// belowShareDelay is how long a team must be below its share before tasks of other teams are preempted for it.
	belowShareDelay = 2 * time.Second
	// preemptingWorkersDivisor divides the number of workers to bound the tasks that are preempted for shares at once.
	preemptingWorkersDivisor = 8
)

// preemptForReservations preempts tasks for reservations of urgent jobs that cannot start in time, and tasks of teams
// above their share for reservations of teams below theirs.
func (p *Pool) preemptForReservations() {
	p.recordBelowShare()
	for _, res := range slices.Clone(p.reservations) {
		l, ok := res.team.queue.byKey[res.key]
		if !ok || len(l.jobs) == 0 {
			continue
		}
		j := l.jobs[0]
		urgentLate := j.urgent() && res.estimatedStart > j.accepted.Add(maxUrgentWait) && res.estimatedStart > p.now.Add(preemptGrace)
		switch {
		case urgentLate && res.key.gang != "":
			p.preemptForGang(res)
		case urgentLate:
			p.preemptForTasks(res, j, preemptibleForUrgent, urgentWeight, "urgent work cannot start in time", maxPreemptWorkers)
		case res.team.belowSince != 0 && p.now.Sub(res.team.belowSince) >= belowShareDelay && res.key.gang == "":
			eligible := func(t *task) bool { return preemptibleForShare(t, p) }
			remaining := max(1, p.index.Len()/preemptingWorkersDivisor) - p.preempting
			p.preemptForTasks(res, j, eligible, 1, "the team is far above its share", min(remaining, maxPreemptWorkers))
		default:
		}
	}
}

// computeFairShares sets the fair share of each team.
func (p *Pool) computeFairShares() {
	total := 0
	for _, t := range p.teamList {
		if !t.used.IsZero() || !t.waitingSize.IsZero() {
			total += t.weight
		}
	}
	for _, t := range p.teamList {
		t.fairShare = float64(t.weight) / float64(max(total, 1))
	}
}

// recordBelowShare records since when each team is below its share while it has a startable job that its allotment
// allows.
func (p *Pool) recordBelowShare() {
	capacity, used := p.index.Totals()
	belowFactor := belowShareFactor
	if !p.strict() {
		belowFactor = wideBelowShareFactor
	}
	for _, t := range p.teamList {
		l := t.queue.firstStartable(p.startable)
		switch {
		case used.Dominant(capacity) < fullPoolFraction || l == nil || t.used.Dominant(capacity) >= belowFactor*t.fairShare || !t.allows(l.key.size):
			t.belowSince = 0
		case t.belowSince == 0:
			t.belowSince = p.now
		default:
		}
	}
}

// preemptible reports whether a task can be stopped and run again.
func preemptible(t *task) bool {
	spec := t.job.spec
	return t.phase == phaseRunning && !t.stopSent && t.preemptReason == "" && !t.job.halted() && spec.Kind != fold.Gang &&
		(spec.Idempotent || spec.Kind == fold.Service)
}

// preemptibleForUrgent reports whether a task may be preempted for an urgent job.
func preemptibleForUrgent(t *task) bool {
	return preemptible(t) && !t.job.urgent()
}

// preemptibleForShare reports whether a task may be preempted because its team stays above its share without it.
func preemptibleForShare(t *task, p *Pool) bool {
	teamState := p.team(t.job.spec.Team)
	capacity, _ := p.index.Totals()
	aboveFactor := aboveShareFactor
	if !p.strict() {
		aboveFactor = wideAboveShareFactor
	}
	return preemptible(t) && !t.job.urgent() && t.job.spec.Kind != fold.Service &&
		teamState.used.Dominant(capacity) > aboveFactor*teamState.fairShare &&
		teamState.used.Sub(teamState.preemptedSize).Sub(t.size).Dominant(capacity) >= teamState.fairShare
}

// preemptForTasks preempts tasks on the workers where the least run time is lost, for at most limit tasks of the lane.
func (p *Pool) preemptForTasks(res *reservation, j *job, eligible func(*task) bool, weight float64, reason string, limit int) {
	for len(res.preemptedOn) < min(j.readyCount, limit) {
		var best []*task
		leastLoss, worker := 0.0, ""
		p.visitCandidates(res, func(w place.Worker) {
			chosen, gain, loss := p.chooseVictims(w, res.key.size, eligible)
			if len(chosen) > 0 && gain*weight > loss && (worker == "" || loss < leastLoss) {
				best, leastLoss, worker = chosen, loss, w.Name
			}
		})
		if worker == "" {
			return
		}
		for _, t := range best {
			p.preempt(t, reason)
		}
		if !res.contains(worker) {
			res.workers = append(res.workers, worker)
			res.slots[worker] = 1
			p.index.Close(worker, place.Reserved)
		}
		res.preemptedOn[worker] = true
		res.estimatedStart = max(res.estimatedStart, p.now.Add(preemptGrace))
	}
}

// visitCandidates calls visit for a sample of the workers and for the reserved ones on which no task was preempted yet.
func (p *Pool) visitCandidates(res *reservation, visit func(place.Worker)) {
	for _, name := range res.workers {
		if w, ok := p.index.Node(name); ok && !res.preemptedOn[name] {
			visit(w)
		}
	}
	p.visitSample(res.key.size, visit)
}

// preemptForGang preempts tasks on all workers reserved for an urgent gang, or none if the loss outweighs the gain.
func (p *Pool) preemptForGang(res *reservation) {
	var chosen []*task
	var gain, loss float64
	for _, name := range res.workers {
		w, ok := p.index.Node(name)
		need := res.key.size.Times(int64(res.slots[name]))
		if !ok || res.preemptedOn[name] {
			return
		}
		if need.Fits(w.Free()) {
			continue
		}
		tasks, g, l := p.chooseVictims(w, need, preemptibleForUrgent)
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
		res.preemptedOn[t.worker] = true
		p.preempt(t, "an urgent gang cannot start in time")
	}
}

// chooseVictims returns the tasks to preempt so that size fits on a worker, the remaining run time that this frees and
// the run time that it loses. Both times are in seconds, weighted by the fraction of the worker that each task holds.
func (p *Pool) chooseVictims(w place.Worker, size fold.Resources, eligible func(*task) bool) ([]*task, float64, float64) {
	free := w.Free()
	if size.Fits(free) {
		return nil, 0, 0
	}
	var candidates []*task
	for _, t := range p.workers[w.Name].tasks {
		if t.preemptReason != "" {
			return nil, 0, 0
		}
		if eligible(t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(cmp.Compare(p.lostRunTime(a), p.lostRunTime(b)), cmp.Compare(a.job.spec.ID, b.job.spec.ID), cmp.Compare(a.index, b.index))
	})
	var chosen []*task
	var gain, loss float64
	for _, t := range candidates {
		if size.Fits(free) {
			break
		}
		free = free.Add(t.size)
		chosen = append(chosen, t)
		fraction := t.size.Dominant(w.Capacity)
		gain += fraction * p.remainingRunTime(t).Seconds()
		loss += fraction * p.lostRunTime(t).Seconds()
	}
	if !size.Fits(free) {
		return nil, 0, 0
	}
	return chosen, gain, loss
}

// lostRunTime returns the run time that may have to be repeated if the task is preempted.
func (p *Pool) lostRunTime(t *task) time.Duration {
	if t.job.spec.Kind == fold.Service {
		return serviceLoss
	}
	return p.now.Sub(t.startedAt)
}

// remainingRunTime returns how long the task would still run.
func (p *Pool) remainingRunTime(t *task) time.Duration {
	if t.job.spec.Kind == fold.Service {
		return serviceRemaining
	}
	return p.estimatedEnd(t).Sub(p.now)
}

// preempt requests that a task saves its state and stops, so that it runs again later.
func (p *Pool) preempt(t *task, reason string) {
	t.preemptReason = reason
	t.job.preemptReason = reason
	t.job.preemptions++
	p.preempting++
	teamState := p.team(t.job.spec.Team)
	teamState.preemptedSize = teamState.preemptedSize.Add(t.size)
	p.pendingStops = append(p.pendingStops, stopRequest{task: t, attempt: t.attempt})
}
