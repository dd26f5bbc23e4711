package sched

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// minReserveWait is the least wait for capacity before a job gets a reservation. Between minReserveWait and
	// maxReserveWait, the wait is half of its run time: with immediate reservations, small tasks would wait for a large
	// task that would soon have started anyway.
	minReserveWait = time.Second
	// maxReserveWait is the longest wait for capacity before a job gets a reservation.
	maxReserveWait = 30 * time.Second
	// maxReservationDelay is how long after the estimated start a reservation is dropped, because run times were wrong.
	maxReservationDelay = 10 * time.Second
	// maxReservations bounds the reservations at one time.
	maxReservations = 32
	// reservedWorkersDivisor divides the number of workers to bound those that reservations keep, except for the first
	// one.
	reservedWorkersDivisor = 8
	// sampleSize bounds the workers that are compared for a reservation or a preemption.
	sampleSize = 64
	// maxGangCandidates bounds the workers that are considered for a gang that fits on no rack.
	maxGangCandidates = 1024
	// never is the estimated end of tasks that run until they are stopped, and exceeds all other estimates.
	never = fold.Instant(1 << 62)
)

// reservation keeps workers free for the first job of a lane.
type reservation struct {
	team *team
	// key identifies the lane within the team's queue.
	key laneKey
	// workers holds the names of the reserved workers.
	workers []string
	// slots holds for how many tasks each worker is reserved.
	slots map[string]int
	// preemptedOn holds the workers on which tasks were preempted for the lane.
	preemptedOn map[string]bool
	// estimatedStart is the estimated start of the first job.
	estimatedStart fold.Instant
	urgent         bool
}

// contains reports whether the worker is reserved; a nil reservation contains no worker.
func (res *reservation) contains(name string) bool {
	return res != nil && slices.Contains(res.workers, name)
}

func keyOf(j *job) laneKey {
	key := laneKey{size: j.spec.Resources}
	if j.spec.Kind == fold.Gang {
		key.gang = j.spec.ID
	}
	return key
}

func (p *Pool) reservationOf(j *job) *reservation {
	for _, res := range p.reservations {
		if res.team.name == j.spec.Team && res.key == keyOf(j) {
			return res
		}
	}
	return nil
}

// dropReservation ends a reservation and opens its workers; nil is allowed.
func (p *Pool) dropReservation(res *reservation) {
	if res == nil {
		return
	}
	for _, name := range res.workers {
		p.index.Open(name, place.Reserved)
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(other *reservation) bool { return other == res })
}

// dropStaleReservations drops reservations that are overdue, have no startable job or lost a worker.
func (p *Pool) dropStaleReservations() {
	for _, res := range slices.Clone(p.reservations) {
		l, ok := res.team.queue.byKey[res.key]
		valid := ok && p.startable(l.jobs[0]) && res.team.allows(res.key.size) && p.now <= res.estimatedStart.Add(maxReservationDelay)
		for _, name := range res.workers {
			valid = valid && p.index.Closed(name) == place.Reserved
		}
		if !valid {
			p.dropReservation(res)
		}
	}
}

// useReservation returns a worker reserved for the lane of the job on which a task fits now, and ends its reservation.
func (p *Pool) useReservation(j *job) (string, bool) {
	res := p.reservationOf(j)
	if res == nil {
		return "", false
	}
	for i, name := range res.workers {
		n, ok := p.index.Node(name)
		if !ok || !j.spec.Resources.Fits(n.Free()) {
			continue
		}
		res.workers = slices.Delete(res.workers, i, i+1)
		delete(res.preemptedOn, name)
		p.index.Open(name, place.Reserved)
		if len(res.workers) == 0 {
			p.dropReservation(res)
		}
		return name, true
	}
	return "", false
}

// backfill returns a worker reserved for another lane on which a task of the job does not delay that lane, because it
// ends before the estimated start or fits beside the first job. An urgent job may delay lanes that are not urgent.
func (p *Pool) backfill(j *job) (string, bool) {
	runTime := p.estimator.Estimate(j.spec, &j.usage)
	avoidAccel := p.index.MustAvoidAccel(j.spec.Resources)
	examined := 0
	for _, res := range p.reservations {
		mayDelay := (runTime > 0 && p.now.Add(runTime) <= res.estimatedStart) || (j.urgent() && !res.urgent)
		for _, name := range res.workers {
			if examined++; examined > sampleSize {
				return "", false
			}
			n, ok := p.index.Node(name)
			if !ok || (avoidAccel && n.Capacity.Accel > 0) || p.index.Closed(name) != place.Reserved || !j.spec.Resources.Fits(n.Free()) {
				continue
			}
			if mayDelay || j.spec.Resources.Fits(p.spareCapacity(res, n)) {
				return name, true
			}
		}
	}
	return "", false
}

// spareCapacity estimates the free capacity of a reserved worker at the start of the job beyond what the job needs there.
func (p *Pool) spareCapacity(res *reservation, n place.Worker) fold.Resources {
	spare := n.Free().Sub(res.key.size.Times(int64(res.slots[n.Name])))
	for _, t := range p.workers[n.Name].tasks {
		if p.estimatedEnd(t) <= res.estimatedStart {
			spare = spare.Add(t.size)
		}
	}
	return spare
}

// blockOrReserve records that a job does not fit now, and reserves workers for it if it is urgent, has waited for long or
// belongs to a team that is below its share.
func (p *Pool) blockOrReserve(j *job) {
	size, count := j.spec.Resources, 1
	if j.spec.Kind == fold.Gang {
		count = j.readyCount
	}
	if p.index.IdleSlots(size, count) < count {
		j.blockage = blockage{reason: blockedBySize, need: size, count: count}
		return
	}
	if j.blockage.reason != blockedByCapacity {
		j.blockage = blockage{reason: blockedByCapacity, need: size, count: count, since: p.now}
	}
	j.blockage.growCount = p.index.GrowCount()
	reserveAfter := min(max(p.estimator.Estimate(j.spec, &j.usage)/2, minReserveWait), maxReserveWait)
	waitedLong := p.now.Sub(j.blockage.since) >= reserveAfter
	belowShare := p.team(j.spec.Team).belowSince != 0
	if (waitedLong || j.urgent() || belowShare) && p.reservationOf(j) == nil {
		p.reserve(j, count)
	}
}

// reserve reserves the workers on which the job can start earliest, unless too many are reserved already.
func (p *Pool) reserve(j *job, count int) {
	reservedWorkers := 0
	for _, res := range p.reservations {
		reservedWorkers += len(res.workers)
		if res.key.size.Accel > 0 && j.spec.Resources.Accel > 0 && !j.urgent() {
			// Few workers have accelerators. Several reservations of them would leave too many idle.
			return
		}
	}
	if len(p.reservations) >= maxReservations || (len(p.reservations) > 0 && !j.urgent() && (reservedWorkers+1)*reservedWorkersDivisor > p.index.Len()) {
		return
	}
	res := &reservation{team: p.team(j.spec.Team), key: keyOf(j), preemptedOn: make(map[string]bool), urgent: j.urgent()}
	if count > 1 {
		res.slots, res.estimatedStart = p.earliestGang(j.spec.Resources, count)
	} else {
		res.slots, res.estimatedStart = p.earliestWorker(j.spec.Resources)
	}
	if len(res.slots) == 0 {
		return
	}
	for name := range res.slots {
		res.workers = append(res.workers, name)
		p.index.Close(name, place.Reserved)
	}
	slices.Sort(res.workers)
	p.reservations = append(p.reservations, res)
}

// capacityRelease is capacity that becomes free on a worker when a task ends.
type capacityRelease struct {
	// at is the estimated end of the task.
	at   fold.Instant
	name string
	size fold.Resources
}

// appendReleases appends the capacity that each task on a worker will free.
func (p *Pool) appendReleases(list []capacityRelease, name string) []capacityRelease {
	w, ok := p.workers[name]
	if !ok {
		return list
	}
	for _, t := range w.tasks {
		list = append(list, capacityRelease{at: p.estimatedEnd(t), name: name, size: t.size})
	}
	return list
}

func sortReleases(list []capacityRelease) {
	slices.SortFunc(list, func(a, b capacityRelease) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name))
	})
}

// estimatedEnd estimates the end of a running task. If the task has run longer than estimated, it assumes that a quarter
// of the run time so far remains.
func (p *Pool) estimatedEnd(t *task) fold.Instant {
	if t.stopSent {
		return p.now.Add(preemptGrace)
	}
	runTime := p.estimator.Estimate(t.job.spec, &t.job.usage)
	if runTime <= 0 {
		return never
	}
	if end := t.startedAt.Add(runTime); end > p.now {
		return end
	}
	return p.now.Add(p.now.Sub(t.startedAt) / 4)
}

// visitSample calls visit for the open workers of the next sample that are large enough. Each sample continues where the
// last one ended.
func (p *Pool) visitSample(size fold.Resources, visit func(place.Worker)) {
	total := p.index.Len()
	count := min(total, sampleSize)
	for i := range count {
		n, closed := p.index.At((p.sampleStart + i) % total)
		if closed == 0 && size.Fits(n.Capacity) {
			visit(n)
		}
	}
	p.sampleStart += count
}

// earliestWorker estimates on which sampled worker a task can start earliest. A task without accelerators gets a worker
// with accelerators only if no other worker fits.
func (p *Pool) earliestWorker(size fold.Resources) (map[string]int, fold.Instant) {
	best, bestStart, bestWastes := "", never, false
	p.visitSample(size, func(n place.Worker) {
		start, ok := p.earliestStartOn(n, size)
		wastesAccel := size.Accel == 0 && n.Capacity.Accel > 0
		if wastesAccel && p.index.MustAvoidAccel(size) {
			return
		}
		if ok && (best == "" || (wastesAccel == bestWastes && start < bestStart) || (!wastesAccel && bestWastes)) {
			best, bestStart, bestWastes = n.Name, start, wastesAccel
		}
	})
	if best == "" {
		return nil, 0
	}
	return map[string]int{best: 1}, bestStart
}

// earliestStartOn estimates when a task of the size fits on a worker; it reports false if it never does.
func (p *Pool) earliestStartOn(n place.Worker, size fold.Resources) (fold.Instant, bool) {
	freed := n.Free()
	if size.Fits(freed) {
		return p.now, true
	}
	list := p.appendReleases(nil, n.Name)
	sortReleases(list)
	for _, release := range list {
		freed = freed.Add(release.size)
		if size.Fits(freed) {
			return release.at, true
		}
	}
	return 0, false
}

// earliestGang estimates on which rack all tasks can start earliest. If they fit on none of the racks, it considers up to
// maxGangCandidates workers.
func (p *Pool) earliestGang(size fold.Resources, count int) (map[string]int, fold.Instant) {
	var best map[string]int
	start := never
	seenRacks := make(map[string]bool)
	p.visitSample(size, func(n place.Worker) {
		if seenRacks[n.Rack] {
			return
		}
		seenRacks[n.Rack] = true
		slots, at := p.earliestGangOn(p.index.Rack(n.Rack), size, count)
		if slots != nil && (best == nil || at < start) {
			best, start = slots, at
		}
	})
	if best != nil {
		return best, start
	}
	names := make([]string, 0, maxGangCandidates)
	for i := 0; i < p.index.Len() && len(names) < maxGangCandidates; i++ {
		n, _ := p.index.At((p.sampleStart + i) % p.index.Len())
		names = append(names, n.Name)
	}
	p.sampleStart += len(names)
	return p.earliestGangOn(names, size, count)
}

// earliestGangOn estimates when all tasks fit on the workers, and how many of them each worker then holds.
func (p *Pool) earliestGangOn(names []string, size fold.Resources, count int) (map[string]int, fold.Instant) {
	nodes := make(map[string]place.Worker, len(names))
	var list []capacityRelease
	slots := 0
	for _, name := range names {
		n, ok := p.index.Node(name)
		if !ok || p.index.Closed(name) != 0 {
			continue
		}
		nodes[name] = n
		slots += int(n.Slots(size))
		list = p.appendReleases(list, name)
	}
	sortReleases(list)
	at := p.now
	for _, release := range list {
		if slots >= count {
			break
		}
		n := nodes[release.name]
		slots -= int(n.Slots(size))
		n.Used = n.Used.Sub(release.size)
		slots += int(n.Slots(size))
		nodes[release.name] = n
		at = release.at
	}
	if slots < count {
		return nil, 0
	}
	return fillLargest(nodes, names, size, count), at
}

// fillLargest divides the tasks over the workers with the most free capacity.
func fillLargest(nodes map[string]place.Worker, names []string, size fold.Resources, count int) map[string]int {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(nodes[b].Slots(size), nodes[a].Slots(size)), cmp.Compare(a, b))
	})
	perWorker := make(map[string]int)
	for _, name := range sorted {
		n := min(count, int(nodes[name].Slots(size)))
		if n == 0 {
			break
		}
		perWorker[name] = n
		count -= n
	}
	return perWorker
}
