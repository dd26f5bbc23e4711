package sched

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// minReserveWait is the least wait for capacity before a job gets a reservation, unless it is urgent or its team is
	// below its share. Between minReserveWait and maxReserveWait, the wait is half of the job's estimated run time. An
	// immediate reservation would hold back small tasks for a large one that would soon have started anyway.
	minReserveWait = time.Second
	// maxReserveWait is the longest wait for capacity before a job gets a reservation.
	maxReserveWait = 30 * time.Second
	// maxReservationDelay is how long after the estimated start of its job a reservation is dropped, because the estimated
	// run times have proved wrong.
	maxReservationDelay = 10 * time.Second
	// maxReservations bounds the reservations at one time.
	maxReservations = 32
	// reservedWorkersDivisor bounds the reserved workers: at most one worker in this many. A new reservation counts as one
	// worker. The first reservation and those of urgent jobs are not bounded.
	reservedWorkersDivisor = 8
	// sampleSize bounds the workers that are compared for a reservation or a preemption, and the reserved workers that
	// backfill examines.
	sampleSize = 64
	// maxGangCandidates bounds the workers that are considered for a gang that fits on no rack.
	maxGangCandidates = 1024
	// never is the estimated end of tasks that run until they are stopped, and exceeds all other estimates.
	never = fold.Instant(1 << 62)
)

// reservation keeps workers free for the first job of a lane. A lane holds those jobs of a team whose tasks have the same
// size; each gang has a lane of its own.
type reservation struct {
	team *team
	// key identifies the lane within the team's queue.
	key laneKey
	// workers holds the names of the reserved workers.
	workers []string
	// slots maps each worker to the number of tasks for which it is reserved.
	slots map[string]int
	// preemptedOn holds the workers on which tasks were preempted for the lane.
	preemptedOn map[string]bool
	// estimatedStart is the estimated start of the first job.
	estimatedStart fold.Instant
	// urgent is set if the job was urgent when the reservation was made.
	urgent bool
}

// contains reports whether the worker is reserved; a nil reservation contains no worker.
func (res *reservation) contains(name string) bool {
	return res != nil && slices.Contains(res.workers, name)
}

func laneKeyOf(j *job) laneKey {
	key := laneKey{size: j.spec.Resources}
	if j.spec.Kind == fold.Gang {
		key.gang = j.spec.ID
	}
	return key
}

// reservationOf returns the reservation for the lane of a job, or nil.
func (p *Pool) reservationOf(j *job) *reservation {
	for _, res := range p.reservations {
		if res.team.name == j.spec.Team && res.key == laneKeyOf(j) {
			return res
		}
	}
	return nil
}

// dropReservation ends a reservation and makes its workers available to other jobs. It does nothing if res is nil.
func (p *Pool) dropReservation(res *reservation) {
	if res == nil {
		return
	}
	for _, name := range res.workers {
		p.index.Open(name, place.Reserved)
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(other *reservation) bool { return other == res })
}

// dropStaleReservations drops reservations that are overdue, have no startable job, lost a worker, or are of a team whose
// allotment has no room for a task of the lane.
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

// useReservation returns a worker that is reserved for the job's lane and has room for one of its tasks now, and removes the
// worker from the reservation.
func (p *Pool) useReservation(j *job) (string, bool) {
	res := p.reservationOf(j)
	if res == nil {
		return "", false
	}
	for i, name := range res.workers {
		w, ok := p.index.Node(name)
		if !ok || !j.spec.Resources.Fits(w.Free()) {
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

// backfill returns a worker reserved for another lane on which a task of the job does not delay that lane, because the task
// ends before the estimated start or leaves enough capacity for the first job of that lane. An urgent job may delay lanes
// that are not urgent.
func (p *Pool) backfill(j *job) (string, bool) {
	runTime := p.estimator.Estimate(j.spec, &j.usage)
	avoidAccel := p.index.MustAvoidAccel(j.spec.Resources)
	examined := 0
	for _, res := range p.reservations {
		allowed := (runTime > 0 && p.now.Add(runTime) <= res.estimatedStart) || (j.urgent() && !res.urgent)
		for _, name := range res.workers {
			if examined++; examined > sampleSize {
				return "", false
			}
			w, ok := p.index.Node(name)
			if !ok || (avoidAccel && w.Capacity.Accel > 0) || p.index.Closed(name) != place.Reserved || !j.spec.Resources.Fits(w.Free()) {
				continue
			}
			if allowed || j.spec.Resources.Fits(p.spareCapacity(res, w)) {
				return name, true
			}
		}
	}
	return "", false
}

// spareCapacity estimates how much capacity of a reserved worker will still be free when the reserving job has started.
func (p *Pool) spareCapacity(res *reservation, w place.Worker) fold.Resources {
	spare := w.Free().Sub(res.key.size.Times(int64(res.slots[w.Name])))
	for _, t := range p.workers[w.Name].tasks {
		if p.estimatedEnd(t) <= res.estimatedStart {
			spare = spare.Add(t.size)
		}
	}
	return spare
}

// recordBlockage records that a job does not fit now, and reserves workers for it if it is urgent, has waited long or
// belongs to a team that is below its share.
func (p *Pool) recordBlockage(j *job) {
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

// reserve reserves those of the considered workers on which the job can start earliest. It does nothing if there are too many
// reservations or reserved workers already, or if the job needs accelerators, is not urgent, and another reservation needs
// accelerators too.
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
	res := &reservation{team: p.team(j.spec.Team), key: laneKeyOf(j), preemptedOn: make(map[string]bool), urgent: j.urgent()}
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

// estimatedEnd estimates the end of a running task: preemptGrace from now if its stop was sent, and never if it has no
// estimate. For a task that has run longer than estimated, a quarter of the run time so far is assumed to remain.
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

// visitSample calls visit for each open worker in the next sample that has enough capacity for a task of the size.
// Each sample continues where the last one ended.
func (p *Pool) visitSample(size fold.Resources, visit func(place.Worker)) {
	total := p.index.Len()
	count := min(total, sampleSize)
	for i := range count {
		w, closed := p.index.At((p.sampleStart + i) % total)
		if closed == 0 && size.Fits(w.Capacity) {
			visit(w)
		}
	}
	p.sampleStart += count
}

// earliestWorker estimates on which sampled worker a task can start earliest. A task without accelerators gets a worker
// with accelerators only if no other worker fits.
func (p *Pool) earliestWorker(size fold.Resources) (map[string]int, fold.Instant) {
	best, bestStart, bestWastesAccel := "", never, false
	p.visitSample(size, func(w place.Worker) {
		start, ok := p.earliestStartOn(w, size)
		wastesAccel := size.Accel == 0 && w.Capacity.Accel > 0
		if wastesAccel && p.index.MustAvoidAccel(size) {
			return
		}
		if ok && (best == "" || (wastesAccel == bestWastesAccel && start < bestStart) || (!wastesAccel && bestWastesAccel)) {
			best, bestStart, bestWastesAccel = w.Name, start, wastesAccel
		}
	})
	if best == "" {
		return nil, 0
	}
	return map[string]int{best: 1}, bestStart
}

// earliestStartOn estimates when a task of the size fits on a worker, and reports false if it never fits.
func (p *Pool) earliestStartOn(w place.Worker, size fold.Resources) (fold.Instant, bool) {
	free := w.Free()
	if size.Fits(free) {
		return p.now, true
	}
	list := p.appendReleases(nil, w.Name)
	sortReleases(list)
	for _, release := range list {
		free = free.Add(release.size)
		if size.Fits(free) {
			return release.at, true
		}
	}
	return 0, false
}

// earliestGang estimates on which rack of the sampled workers all tasks can start earliest. If they fit on none of these
// racks, it considers up to maxGangCandidates workers.
func (p *Pool) earliestGang(size fold.Resources, count int) (map[string]int, fold.Instant) {
	var best map[string]int
	start := never
	seenRacks := make(map[string]bool)
	p.visitSample(size, func(w place.Worker) {
		if seenRacks[w.Rack] {
			return
		}
		seenRacks[w.Rack] = true
		slots, at := p.earliestGangOn(p.index.Rack(w.Rack), size, count)
		if slots != nil && (best == nil || at < start) {
			best, start = slots, at
		}
	})
	if best != nil {
		return best, start
	}
	names := make([]string, 0, maxGangCandidates)
	for i := 0; i < p.index.Len() && len(names) < maxGangCandidates; i++ {
		w, _ := p.index.At((p.sampleStart + i) % p.index.Len())
		names = append(names, w.Name)
	}
	p.sampleStart += len(names)
	return p.earliestGangOn(names, size, count)
}

// earliestGangOn estimates when all tasks fit on the workers, and how many of them each worker then holds.
func (p *Pool) earliestGangOn(names []string, size fold.Resources, count int) (map[string]int, fold.Instant) {
	workers := make(map[string]place.Worker, len(names))
	var list []capacityRelease
	slots := 0
	for _, name := range names {
		w, ok := p.index.Node(name)
		if !ok || p.index.Closed(name) != 0 {
			continue
		}
		workers[name] = w
		slots += int(w.Slots(size))
		list = p.appendReleases(list, name)
	}
	sortReleases(list)
	at := p.now
	for _, release := range list {
		if slots >= count {
			break
		}
		w := workers[release.name]
		slots -= int(w.Slots(size))
		w.Used = w.Used.Sub(release.size)
		slots += int(w.Slots(size))
		workers[release.name] = w
		at = release.at
	}
	if slots < count {
		return nil, 0
	}
	return fillLargest(workers, names, size, count), at
}

// fillLargest assigns the tasks to workers, first to those with room for the most tasks.
func fillLargest(workers map[string]place.Worker, names []string, size fold.Resources, count int) map[string]int {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(workers[b].Slots(size), workers[a].Slots(size)), cmp.Compare(a, b))
	})
	perWorker := make(map[string]int)
	for _, name := range sorted {
		n := min(count, int(workers[name].Slots(size)))
		if n == 0 {
			break
		}
		perWorker[name] = n
		count -= n
	}
	return perWorker
}
