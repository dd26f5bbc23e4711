package sched

import (
	"math"
	"slices"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// maxRefused bounds the placements that fail in one round, so that a long queue that fits nowhere costs little.
	maxRefused = 512
	// teamRefused bounds those of one team.
	teamRefused = 128
	// aheadPart is how far, in parts of its use, a team may be ahead of one with less of its share while that one waits
	// for room. Each team is to be within 5% of its share, and one large task is up to 4% of a small team's share.
	aheadPart = 1.02
	// maxGangs bounds the gangs that fail in one round; each looks at every rack.
	maxGangs = 8
)

// Reasons of placements.
const (
	reasonFit      = "least free capacity left after the task"
	reasonBackfill = "ends before the start of the larger job that the worker is reserved for"
	reasonReserved = "the worker was reserved for the job"
	reasonGang     = "all tasks at once on the fewest racks"
)

// Start is a decision to run a task on a worker; the capacity is already committed.
type Start struct {
	Worker string
	Task   fold.WorkerTask
}

// round is one call of Decide.
type round struct {
	pool     *Pool
	capacity fold.Resources
	teams    []*team
	aside    []aside
	refused  map[*team]int
	total    int
	gangs    int
	// strict says that shares apply strictly; lowest is the least ratio of the teams whose work fits nowhere now, for
	// work without accelerators and with them: neither fits what comes free for the other.
	strict bool
	lowest [2]behind
}

// behind is the team with the least ratio among those whose work fits nowhere now. It does not wait for itself.
type behind struct {
	team  *team
	ratio float64
}

// aside is a lane whose first job could not be placed in this round.
type aside struct {
	team *team
	lane *lane
}

// Decide returns at most limit starts, or more if the last of them belong to one gang. Their tasks wait for Confirm or
// Adopt.
func (p *Pool) Decide(now fold.Instant, limit int) []Start {
	p.advance(now)
	p.endDelays()
	for _, name := range p.guard.Due(p.now) {
		p.reopen(name)
	}
	p.joinGangs()
	p.checkHolds()
	p.setFair()
	capacity, used := p.index.Totals()
	r := &round{
		pool: p, capacity: capacity, teams: slices.Clone(p.order), refused: make(map[*team]int),
		strict: used.Dominant(capacity) >= fullPart && p.strict(), lowest: [2]behind{{ratio: math.Inf(1)}, {ratio: math.Inf(1)}},
	}
	var starts []Start
	for len(starts) < limit {
		t, l := r.next()
		if l == nil {
			break
		}
		var placed []Start
		if r.worthTrying(l) {
			placed = p.place(l.jobs[0])
		}
		if len(placed) == 0 {
			r.refuse(t, l)
		}
		starts = append(starts, placed...)
	}
	r.close()
	p.index.SetReserveAccel(r.lowest[1].team != nil)
	p.makeRoom()
	return starts
}

// next returns the lane to place from: urgent work first, then the team that is furthest below its share.
func (r *round) next() (*team, *lane) {
	var best *team
	var bestLane *lane
	var bestRatio float64
	kept := r.teams[:0]
	for _, t := range r.teams {
		l := t.queue.first(r.pool.startable)
		if l == nil || r.total >= maxRefused || r.refused[t] >= teamRefused {
			continue
		}
		kept = append(kept, t)
		if r.waits(t, l.jobs[0]) {
			continue
		}
		ratio := t.ratio(r.capacity)
		if best == nil || ahead(l.jobs[0], ratio, bestLane.jobs[0], bestRatio) {
			best, bestLane, bestRatio = t, l, ratio
		}
	}
	r.teams = kept
	return best, bestLane
}

// worthTrying reports whether the first job of the lane may fit; gangs look at every rack, so they are tried again only
// when capacity came free, and few of them in a round.
func (r *round) worthTrying(l *lane) bool {
	if l.key.gang == "" {
		return true
	}
	w := l.jobs[0].wait
	return r.gangs < maxGangs && (w.why != whyRoom || w.grown != r.pool.index.GrowCount())
}

// waits reports whether a team leaves what comes free to a team that has less of its share. Otherwise its small tasks
// would take every gap before a larger one of that team fits.
func (r *round) waits(t *team, j *job) bool {
	low := r.lowest[min(j.spec.Resources.Accel, 1)]
	return r.strict && !j.urgent() && low.team != t && t.ratio(r.capacity) > aheadPart*low.ratio
}

// refuse sets a lane aside until the end of the round.
func (r *round) refuse(t *team, l *lane) {
	t.queue.putAside(l)
	r.aside = append(r.aside, aside{team: t, lane: l})
	r.refused[t]++
	if l.key.gang != "" {
		r.gangs++
	}
	if l.jobs[0].wait.why == whyRoom {
		low := &r.lowest[min(l.key.size.Accel, 1)]
		if ratio := t.ratio(r.capacity); ratio < low.ratio {
			*low = behind{team: t, ratio: ratio}
		}
	}
	r.total++
}

// close puts the lanes that were set aside back.
func (r *round) close() {
	for _, a := range r.aside {
		a.team.queue.putBack(a.lane)
	}
}

func ahead(a *job, ratioA float64, b *job, ratioB float64) bool {
	switch {
	case a.urgent() != b.urgent():
		return a.urgent()
	case ratioA != ratioB:
		return ratioA < ratioB
	default:
		return compare(a, b) < 0
	}
}

// place starts the next task of a job, or all tasks of a gang.
func (p *Pool) place(j *job) []Start {
	if j.spec.Kind == fold.Gang {
		return p.placeGang(j)
	}
	t := j.first()
	size := j.spec.Resources
	if !p.team(j.spec.Team).allows(size) {
		j.wait = wait{why: whyAllotment, need: size}
		return nil
	}
	if name, ok := p.useHold(j); ok {
		return []Start{p.commit(t, name, reasonReserved)}
	}
	if name, ok := p.choose(j); ok {
		p.dropHold(p.holdOf(j))
		return []Start{p.commit(t, name, reasonFit)}
	}
	if name, ok := p.backfill(j); ok {
		return []Start{p.commit(t, name, reasonBackfill)}
	}
	p.block(j)
	return nil
}

// choose prefers workers on which the job did not fail. Urgent work may take workers with accelerators.
func (p *Pool) choose(j *job) (string, bool) {
	if j.urgent() {
		p.index.SetReserveAccel(false)
	}
	failing := p.guard.Failing(j.spec.ID)
	if len(failing) > 0 {
		name, ok := p.index.Choose(j.spec.Resources, func(n place.Node) bool { return !slices.Contains(failing, n.Name) })
		if ok {
			return name, true
		}
	}
	return p.index.Choose(j.spec.Resources, nil)
}

// commit starts a task on a worker that has room for it.
func (p *Pool) commit(t *task, name, reason string) Start {
	spec := t.job.spec
	w := p.workers[name]
	t.attempt++
	t.evicted = false
	t.began = p.now
	p.hold(w, t, spec.Resources)
	p.move(t, phaseStarting)
	p.openWorker(w)
	t.job.wait = wait{}
	node, _ := p.index.Node(name)
	t.job.remember(fold.Placement{
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
