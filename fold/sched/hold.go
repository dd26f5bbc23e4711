package sched

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

const (
	// minPatience and maxPatience bound how long work waits for room before it gets a reservation: half of its run
	// time. A reservation at once makes small work wait for large work that would have started soon anyway.
	minPatience = time.Second
	maxPatience = 30 * time.Second
	// holdLate is how long after its estimated start a reservation is made anew, because run times were wrong.
	holdLate = 10 * time.Second
	// maxHolds bounds the reservations at the same time.
	maxHolds = 32
	// holdShare is the inverse of the part of the workers that reservations may keep, except for the first one.
	holdShare = 8
	// sample bounds the workers that are compared for a reservation or a preemption.
	sample = 64
	// maxSpread bounds the workers that are considered for a gang that no rack can hold.
	maxSpread = 1024
	// never is the estimated end of tasks that run until they are stopped.
	never = fold.Instant(1 << 62)
)

// hold keeps workers free for the first jobs of a lane.
type hold struct {
	team *team
	key  laneKey
	// names are the workers kept; rooms is for how many tasks of a gang each is kept.
	names []string
	rooms map[string]int
	// making marks the workers on which tasks were preempted for the lane.
	making map[string]bool
	// start is the estimated start of the job.
	start  fold.Instant
	urgent bool
}

// keeps reports whether the hold keeps the worker; a nil hold keeps none.
func (h *hold) keeps(name string) bool {
	return h != nil && slices.Contains(h.names, name)
}

func keyOf(j *job) laneKey {
	key := laneKey{size: j.spec.Resources}
	if j.spec.Kind == fold.Gang {
		key.gang = j.spec.ID
	}
	return key
}

func (p *Pool) holdOf(j *job) *hold {
	for _, h := range p.holds {
		if h.team.name == j.spec.Team && h.key == keyOf(j) {
			return h
		}
	}
	return nil
}

// dropHold opens the workers of a hold.
func (p *Pool) dropHold(h *hold) {
	if h == nil {
		return
	}
	for _, name := range h.names {
		p.index.Open(name, place.Reserved)
	}
	p.holds = slices.DeleteFunc(p.holds, func(o *hold) bool { return o == h })
}

// checkHolds drops reservations that are void or late.
func (p *Pool) checkHolds() {
	for _, h := range slices.Clone(p.holds) {
		l, ok := h.team.queue.byKey[h.key]
		valid := ok && p.startable(l.jobs[0]) && h.team.allows(h.key.size) && p.now <= h.start.Add(holdLate)
		for _, name := range h.names {
			valid = valid && p.index.Closed(name) == place.Reserved
		}
		if !valid {
			p.dropHold(h)
		}
	}
}

// useHold returns a reserved worker of the job's lane that has room now, and gives up the reservation of it.
func (p *Pool) useHold(j *job) (string, bool) {
	h := p.holdOf(j)
	if h == nil {
		return "", false
	}
	for i, name := range h.names {
		n, ok := p.index.Node(name)
		if !ok || !j.spec.Resources.Fits(n.Free()) {
			continue
		}
		h.names = slices.Delete(h.names, i, i+1)
		delete(h.making, name)
		p.index.Open(name, place.Reserved)
		if len(h.names) == 0 {
			p.dropHold(h)
		}
		return name, true
	}
	return "", false
}

// backfill finds room on a worker that is reserved for other work, for a task that ends before that work can start.
func (p *Pool) backfill(j *job) (string, bool) {
	runs := p.book.Estimate(j.spec, &j.usage)
	apart := p.index.MustAvoidAccel(j.spec.Resources)
	looked := 0
	for _, h := range p.holds {
		early := (runs > 0 && p.now.Add(runs) <= h.start) || (j.urgent() && !h.urgent)
		for _, name := range h.names {
			if looked++; looked > sample {
				return "", false
			}
			n, ok := p.index.Node(name)
			if !ok || (apart && n.Capacity.Accel > 0) || p.index.Closed(name) != place.Reserved || !j.spec.Resources.Fits(n.Free()) {
				continue
			}
			if early || j.spec.Resources.Fits(p.spare(h, n)) {
				return name, true
			}
		}
	}
	return "", false
}

// spare is what a reserved worker is estimated to have free at the start of the job beyond what the job needs there.
func (p *Pool) spare(h *hold, n place.Node) fold.Resources {
	room := n.Free().Sub(h.key.size.Times(int64(h.rooms[n.Name])))
	for _, t := range p.workers[n.Name].tasks {
		if p.endOf(t) <= h.start {
			room = room.Add(t.size)
		}
	}
	return room
}

// block notes that a job does not fit now, and reserves workers for it if it is urgent, has waited for long or belongs
// to a team that is below its share.
func (p *Pool) block(j *job) {
	size, count := j.spec.Resources, 1
	if j.spec.Kind == fold.Gang {
		count = j.nready
	}
	if p.index.IdleSlots(size, count) < count {
		j.wait = wait{why: whyNever, need: size, count: count}
		return
	}
	if j.wait.why != whyRoom {
		j.wait = wait{why: whyRoom, need: size, count: count, since: p.now}
	}
	j.wait.grown = p.index.GrowCount()
	patience := min(max(p.book.Estimate(j.spec, &j.usage)/2, minPatience), maxPatience)
	late := p.now.Sub(j.wait.since) >= patience
	starved := p.team(j.spec.Team).low != 0
	if (late || j.urgent() || starved) && p.holdOf(j) == nil {
		p.reserve(j, count)
	}
}

// reserve keeps the workers on which the job can start first.
func (p *Pool) reserve(j *job, count int) {
	kept := 0
	for _, h := range p.holds {
		kept += len(h.names)
		if h.key.size.Accel > 0 && j.spec.Resources.Accel > 0 && !j.urgent() {
			// Few workers have accelerators; several reservations of them leave too many idle.
			return
		}
	}
	if len(p.holds) >= maxHolds || (len(p.holds) > 0 && !j.urgent() && (kept+1)*holdShare > p.index.Len()) {
		return
	}
	h := &hold{team: p.team(j.spec.Team), key: keyOf(j), making: make(map[string]bool), urgent: j.urgent()}
	if count > 1 {
		h.rooms, h.start = p.earliestGang(j.spec.Resources, count)
	} else {
		h.rooms, h.start = p.earliestWorker(j.spec.Resources)
	}
	if len(h.rooms) == 0 {
		return
	}
	for name := range h.rooms {
		h.names = append(h.names, name)
		p.index.Close(name, place.Reserved)
	}
	slices.Sort(h.names)
	p.holds = append(p.holds, h)
}

// free is capacity that comes free on a worker when a task ends.
type free struct {
	at   fold.Instant
	name string
	size fold.Resources
}

// ends lists when the capacity of a worker comes free, soonest first.
func (p *Pool) ends(list []free, name string) []free {
	w, ok := p.workers[name]
	if !ok {
		return list
	}
	for _, t := range w.tasks {
		list = append(list, free{at: p.endOf(t), name: name, size: t.size})
	}
	return list
}

func sortEnds(list []free) {
	slices.SortFunc(list, func(a, b free) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name))
	})
}

// endOf estimates the end of a running task. One that runs longer than planned is taken to run a quarter longer still.
func (p *Pool) endOf(t *task) fold.Instant {
	if t.stopped {
		return p.now.Add(preemptGrace)
	}
	runs := p.book.Estimate(t.job.spec, &t.job.usage)
	if runs <= 0 {
		return never
	}
	if end := t.began.Add(runs); end > p.now {
		return end
	}
	return p.now.Add(p.now.Sub(t.began) / 4)
}

// sampled calls visit for some workers that may be reserved; each call of sampled goes on where the last one ended.
func (p *Pool) sampled(size fold.Resources, visit func(place.Node)) {
	total := p.index.Len()
	count := min(total, sample)
	for i := range count {
		n, closed := p.index.At((p.cursor + i) % total)
		if closed == 0 && size.Fits(n.Capacity) {
			visit(n)
		}
	}
	p.cursor += count
}

// earliestWorker estimates where a task can start first. Work without accelerators takes workers with accelerators last.
func (p *Pool) earliestWorker(size fold.Resources) (map[string]int, fold.Instant) {
	best, bestStart, bestAccel := "", never, false
	p.sampled(size, func(n place.Node) {
		start, ok := p.startOn(n, size)
		accel := size.Accel == 0 && n.Capacity.Accel > 0
		if accel && p.index.MustAvoidAccel(size) {
			return
		}
		if ok && (best == "" || (accel == bestAccel && start < bestStart) || (!accel && bestAccel)) {
			best, bestStart, bestAccel = n.Name, start, accel
		}
	})
	if best == "" {
		return nil, 0
	}
	return map[string]int{best: 1}, bestStart
}

func (p *Pool) startOn(n place.Node, size fold.Resources) (fold.Instant, bool) {
	room := n.Free()
	if size.Fits(room) {
		return p.now, true
	}
	list := p.ends(nil, n.Name)
	sortEnds(list)
	for _, f := range list {
		room = room.Add(f.size)
		if size.Fits(room) {
			return f.at, true
		}
	}
	return 0, false
}

// earliestGang estimates on which rack all tasks can start first, or else on which workers.
func (p *Pool) earliestGang(size fold.Resources, count int) (map[string]int, fold.Instant) {
	var best map[string]int
	start := never
	seen := make(map[string]bool)
	p.sampled(size, func(n place.Node) {
		if seen[n.Rack] {
			return
		}
		seen[n.Rack] = true
		rooms, at := p.gangOn(p.index.Rack(n.Rack), size, count)
		if rooms != nil && (best == nil || at < start) {
			best, start = rooms, at
		}
	})
	if best != nil {
		return best, start
	}
	names := make([]string, 0, maxSpread)
	for i := 0; i < p.index.Len() && len(names) < maxSpread; i++ {
		n, _ := p.index.At((p.cursor + i) % p.index.Len())
		names = append(names, n.Name)
	}
	p.cursor += len(names)
	return p.gangOn(names, size, count)
}

// gangOn estimates when the workers have room for all tasks, and which of them then hold how many.
func (p *Pool) gangOn(names []string, size fold.Resources, count int) (map[string]int, fold.Instant) {
	nodes := make(map[string]place.Node, len(names))
	var list []free
	slots := 0
	for _, name := range names {
		n, ok := p.index.Node(name)
		if !ok || p.index.Closed(name) != 0 {
			continue
		}
		nodes[name] = n
		slots += int(n.Slots(size))
		list = p.ends(list, name)
	}
	sortEnds(list)
	at := p.now
	for _, f := range list {
		if slots >= count {
			break
		}
		n := nodes[f.name]
		slots -= int(n.Slots(size))
		n.Used = n.Used.Sub(f.size)
		slots += int(n.Slots(size))
		nodes[f.name] = n
		at = f.at
	}
	if slots < count {
		return nil, 0
	}
	return roomiest(nodes, names, size, count), at
}

// roomiest divides the tasks over the workers with the most room.
func roomiest(nodes map[string]place.Node, names []string, size fold.Resources, count int) map[string]int {
	order := slices.Clone(names)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(nodes[b].Slots(size), nodes[a].Slots(size)), cmp.Compare(a, b))
	})
	rooms := make(map[string]int)
	for _, name := range order {
		n := min(count, int(nodes[name].Slots(size)))
		if n == 0 {
			break
		}
		rooms[name] = n
		count -= n
	}
	return rooms
}
