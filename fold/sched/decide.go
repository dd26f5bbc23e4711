package sched

import (
	"math"
	"slices"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// maxBlockedLanes bounds the failed placements of a round, so that a long queue that fits nowhere costs little.
	maxBlockedLanes = 512
	// maxTeamBlockedLanes bounds the failed placements of one team in a round.
	maxTeamBlockedLanes = 128
	// aheadFactor bounds the weighted use of a team, as a multiple of that of the lowest blocked team. Each team must be
	// within 5% of its share, and one large task is up to 4% of a small team's share.
	aheadFactor = 1.02
	// maxBlockedGangs bounds the failed gang placements of a round, each of which examines every rack.
	maxBlockedGangs = 8
)

// These texts give the reason of a placement.
const (
	reasonFit      = "least free capacity left after the task"
	reasonBackfill = "ends before the start of the larger job that the worker is reserved for"
	reasonReserved = "the worker was reserved for the job"
	reasonGang     = "all tasks at once on the fewest racks"
)

// Start is a decision to run a task on a worker. The capacity for it is already committed.
type Start struct {
	Worker string
	Task   fold.WorkerTask
}

// round is the state of one call of Decide.
type round struct {
	pool *Pool
	// capacity is the total capacity of the pool.
	capacity fold.Resources
	// teams holds the teams that may still have startable jobs.
	teams []*team
	// deferred holds the lanes whose first job was blocked.
	deferred []deferredLane
	// blockedOfTeam counts the failed placements of each team.
	blockedOfTeam map[*team]int
	// blockedCount counts the failed placements.
	blockedCount int
	// blockedGangs counts the failed placements of gangs.
	blockedGangs int
	// strict is set if a team above its share must yield to a blocked team below its share.
	strict bool
	// lowest holds the lowest blocked team for work without accelerators, then for work with them. There are two because
	// capacity that becomes free for one kind does not serve the other.
	lowest [2]lowestTeam
}

// lowestTeam is the team with the least weighted use among those blocked by capacity in this round.
type lowestTeam struct {
	team        *team
	weightedUse float64
}

// deferredLane is a lane whose first job could not be placed in this round.
type deferredLane struct {
	team *team
	lane *lane
}

// Decide returns at most limit starts, or more if the last of them belong to one gang. Each started task holds its
// capacity until Confirm or Adopt says whether it runs.
func (p *Pool) Decide(now fold.Instant, limit int) []Start {
	p.advanceClock(now)
	p.endBackoffs()
	for _, name := range p.guard.EndQuarantines(p.now) {
		p.refreshWorkerByName(name)
	}
	p.stopSplitGangs()
	p.dropStaleReservations()
	p.computeFairShares()
	capacity, used := p.index.Totals()
	r := &round{
		pool: p, capacity: capacity, teams: slices.Clone(p.teamList), blockedOfTeam: make(map[*team]int),
		strict: used.Dominant(capacity) >= fullPoolFraction && p.strict(), lowest: [2]lowestTeam{{weightedUse: math.Inf(1)}, {weightedUse: math.Inf(1)}},
	}
	var starts []Start
	for len(starts) < limit {
		t, l := r.nextLane()
		if l == nil {
			break
		}
		var placed []Start
		if r.worthTrying(l) {
			placed = p.placeNext(l.jobs[0])
		}
		if len(placed) == 0 {
			r.deferLane(t, l)
		}
		starts = append(starts, placed...)
	}
	r.restoreLanes()
	p.index.SetReserveAccel(r.lowest[1].team != nil)
	p.preemptForReservations()
	return starts
}

// nextLane returns the lane whose first job is placed next: urgent jobs first, then those of the team with the least
// weighted use.
func (r *round) nextLane() (*team, *lane) {
	var best *team
	var bestLane *lane
	var bestUse float64
	kept := r.teams[:0]
	for _, t := range r.teams {
		l := t.queue.firstStartable(r.pool.startable)
		if l == nil || r.blockedCount >= maxBlockedLanes || r.blockedOfTeam[t] >= maxTeamBlockedLanes {
			continue
		}
		kept = append(kept, t)
		if r.mustYield(t, l.jobs[0]) {
			continue
		}
		use := t.weightedUse(r.capacity)
		if best == nil || goesFirst(l.jobs[0], use, bestLane.jobs[0], bestUse) {
			best, bestLane, bestUse = t, l, use
		}
	}
	r.teams = kept
	return best, bestLane
}

// worthTrying reports whether to try to place the first job of the lane. Placing a gang examines every rack, so a blocked
// gang is tried again only after capacity became free, and only few gangs are tried in a round.
func (r *round) worthTrying(l *lane) bool {
	if l.key.gang == "" {
		return true
	}
	last := l.jobs[0].blockage
	return r.blockedGangs < maxBlockedGangs && (last.reason != blockedByCapacity || last.growCount != r.pool.index.GrowCount())
}

// mustYield reports whether a team must not start the job, so that capacity stays free for a blocked team that has less
// of its share. Otherwise small tasks of one team would fill every gap before a larger task of the other team fits.
func (r *round) mustYield(t *team, j *job) bool {
	lowest := r.lowest[min(j.spec.Resources.Accel, 1)]
	return r.strict && !j.urgent() && lowest.team != t && t.weightedUse(r.capacity) > aheadFactor*lowest.weightedUse
}

// deferLane removes a lane whose first job is blocked until the end of the round.
func (r *round) deferLane(t *team, l *lane) {
	t.queue.removeLane(l)
	r.deferred = append(r.deferred, deferredLane{team: t, lane: l})
	r.blockedOfTeam[t]++
	if l.key.gang != "" {
		r.blockedGangs++
	}
	if l.jobs[0].blockage.reason == blockedByCapacity {
		lowest := &r.lowest[min(l.key.size.Accel, 1)]
		if use := t.weightedUse(r.capacity); use < lowest.weightedUse {
			*lowest = lowestTeam{team: t, weightedUse: use}
		}
	}
	r.blockedCount++
}

// restoreLanes adds the deferred lanes to the queues again.
func (r *round) restoreLanes() {
	for _, d := range r.deferred {
		d.team.queue.addLane(d.lane)
	}
}

// goesFirst reports whether job a is placed before job b, given the weighted use of their teams.
func goesFirst(a *job, useA float64, b *job, useB float64) bool {
	switch {
	case a.urgent() != b.urgent():
		return a.urgent()
	case useA != useB:
		return useA < useB
	default:
		return compareJobs(a, b) < 0
	}
}

// placeNext starts the next task of a job, or all waiting tasks of a gang. If it cannot, it records why in j.blockage.
func (p *Pool) placeNext(j *job) []Start {
	if j.spec.Kind == fold.Gang {
		return p.placeGang(j)
	}
	t := j.nextReady()
	size := j.spec.Resources
	if !p.team(j.spec.Team).allows(size) {
		j.blockage = blockage{reason: blockedByAllotment, need: size}
		return nil
	}
	if name, ok := p.useReservation(j); ok {
		return []Start{p.commit(t, name, reasonReserved)}
	}
	if name, ok := p.chooseWorker(j); ok {
		p.dropReservation(p.reservationOf(j))
		return []Start{p.commit(t, name, reasonFit)}
	}
	if name, ok := p.backfill(j); ok {
		return []Start{p.commit(t, name, reasonBackfill)}
	}
	p.recordBlockage(j)
	return nil
}

// chooseWorker chooses a worker for a task of the job, if possible one on which the job has not failed. An urgent job
// without accelerators may use workers with accelerators.
func (p *Pool) chooseWorker(j *job) (string, bool) {
	if j.urgent() {
		p.index.SetReserveAccel(false)
	}
	failing := p.guard.FailedWorkers(j.spec.ID)
	if len(failing) > 0 {
		name, ok := p.index.Choose(j.spec.Resources, func(w place.Worker) bool { return !slices.Contains(failing, w.Name) })
		if ok {
			return name, true
		}
	}
	return p.index.Choose(j.spec.Resources, nil)
}

// commit starts a task on a worker that has enough free capacity.
func (p *Pool) commit(t *task, name, reason string) Start {
	spec := t.job.spec
	w := p.workers[name]
	t.attempt++
	t.evicted = false
	t.startedAt = p.now
	p.assign(w, t, spec.Resources)
	p.setPhase(t, phaseStarting)
	p.refreshWorker(w)
	t.job.blockage = blockage{}
	node, _ := p.index.Node(name)
	t.job.addPlacement(fold.Placement{
		Task:    t.id(),
		Attempt: t.attempt,
		Worker:  name,
		Domain:  node.Domain,
		Waited:  p.now.Sub(t.job.accepted).Milliseconds(),
		Reason:  reason,
	})
	return Start{Worker: name, Task: fold.WorkerTask{
		Task:      t.id(),
		Attempt:   t.attempt,
		Resources: spec.Resources,
		Duration:  spec.Duration,
		Lease:     TaskLease.Milliseconds(),
	}}
}
