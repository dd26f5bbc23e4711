package route

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"plantainfold.example/fold"
)

// choices is how many random endpoints are compared for each request.
const choices = 2

// Table holds the endpoints of one service. It is not safe for concurrent use.
type Table struct {
	domain  string
	random  *rand.Rand
	targets map[string]*target
	// near and far list the endpoints that have a free place.
	near, far []*target
	paused    pauses
	live      int
	ejected   int
	inflight  int
	times     times
	// usual is the mean load by other entries that endpoints report.
	usual float64
}

// New returns a table without endpoints for an entry in the failure domain.
func New(domain string, random *rand.Rand) *Table {
	return &Table{targets: make(map[string]*target), domain: domain, random: random}
}

// Update replaces the endpoints; those that are not live get no new requests.
func (t *Table) Update(now fold.Instant, instances []fold.Instance) {
	present := make(map[string]bool, len(instances))
	for _, in := range instances {
		if in.State != fold.Live {
			continue
		}
		present[in.Name] = true
		known, ok := t.targets[in.Name]
		if !ok {
			known = &target{limit: startLimit, index: -1}
			t.targets[in.Name] = known
		}
		t.shelve(known)
		known.instance, known.near, known.gone = in, in.Domain == t.domain, false
		t.place(now, known)
	}
	t.live = len(present)
	for name, known := range t.targets {
		if !present[name] {
			known.gone = true
			t.shelve(known)
			t.drop(known)
		}
	}
}

// Live returns the number of endpoints that the instance list names as live.
func (t *Table) Live() int {
	return t.live
}

// Free reports whether Acquire would find a place.
func (t *Table) Free(now fold.Instant) bool {
	t.resume(now)
	return len(t.near)+len(t.far) > 0
}

// Next returns when the next paused endpoint may be tried again.
func (t *Table) Next() (fold.Instant, bool) {
	if len(t.paused) == 0 {
		return 0, false
	}
	return t.paused[0].until, true
}

// Acquire takes a place at an endpoint. It takes an avoided endpoint only if no other has a free place.
func (t *Table) Acquire(now fold.Instant, avoid map[string]bool) (fold.Instance, bool) {
	t.resume(now)
	chosen := t.choose(now, avoid)
	if chosen == nil && len(avoid) > 0 {
		chosen = t.choose(now, nil)
	}
	if chosen == nil {
		return fold.Instance{}, false
	}
	chosen.inflight++
	t.inflight++
	t.place(now, chosen)
	return chosen.instance, true
}

// choose prefers a near endpoint unless a far one has clearly less load.
func (t *Table) choose(now fold.Instant, avoid map[string]bool) *target {
	near := t.pick(now, t.near, avoid)
	far := t.pick(now, t.far, avoid)
	if near == nil || far == nil {
		if near == nil {
			return far
		}
		return near
	}
	if far.load(now, t.usual)+farCost < near.load(now, t.usual) {
		return far
	}
	return near
}

// pick returns the less loaded of two random endpoints of the list.
func (t *Table) pick(now fold.Instant, list []*target, avoid map[string]bool) *target {
	if len(list) == 0 {
		return nil
	}
	var best *target
	for range choices {
		c := list[t.random.IntN(len(list))]
		if !avoid[c.instance.Name] && (best == nil || c.load(now, t.usual) < best.load(now, t.usual)) {
			best = c
		}
	}
	if best != nil {
		return best
	}
	for _, c := range list {
		if !avoid[c.instance.Name] {
			return c
		}
	}
	return nil
}

// Release returns a place and takes note of how the request went.
func (t *Table) Release(now fold.Instant, name string, r Report) {
	done, ok := t.targets[name]
	if !ok {
		return
	}
	done.inflight--
	t.inflight--
	t.note(now, done, r)
	t.place(now, done)
	t.drop(done)
}

func (t *Table) note(now fold.Instant, done *target, r Report) {
	switch r.Outcome {
	case Served:
		t.times.add(r.Took)
		done.observe(now, r.Running, r.Slots)
		if r.Slots > 0 {
			t.usual += weight * (done.others - t.usual)
		}
		t.heal(now, done)
	case Refused:
		done.refuse(now, t.pause(done.refusals))
		if done.until > now {
			t.sleep(done)
		}
	case Failed:
		t.fail(now, done)
	case Expired:
		if t.times.expired(r.Took) {
			t.fail(now, done)
		}
	case Abandoned:
	}
}

func (t *Table) heal(now fold.Instant, done *target) {
	before := done.health.stage
	done.health = done.health.served(now)
	if before == probation && done.health.stage == healthy {
		t.ejected--
	}
}

func (t *Table) fail(now fold.Instant, done *target) {
	next, eject := done.health.failed()
	done.health = next
	if !eject || (next.stage == healthy && t.ejected >= t.maxEjected()) {
		return
	}
	if next.stage == healthy {
		t.ejected++
	}
	var pause time.Duration
	done.health, pause = done.health.eject(now)
	done.until = now.Add(t.jitter(pause))
	t.sleep(done)
}

// maxEjected returns how many endpoints may be ejected or on probation at once.
func (t *Table) maxEjected() int {
	if t.live < 2 {
		return 0
	}
	return max(t.live/maxEjectedShare, 1)
}

// pause returns how long an endpoint is left alone after refusals in a row, while no request is in flight there. The
// longest pause is two runs: with pauses up to 1 s, entries without a slot at full endpoints tried too seldom to get
// their part of the slots.
func (t *Table) pause(refusals int) time.Duration {
	base := max(t.times.Mean()/4, time.Millisecond)
	return t.jitter(base << min(refusals, 3))
}

// jitter spreads d over half to one and a half of it.
func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(d))
}

// sleep makes resume look at the endpoint when its pause is over.
func (t *Table) sleep(known *target) {
	heap.Push(&t.paused, pause{until: known.until, target: known})
}

// resume opens endpoints whose pause is over.
func (t *Table) resume(now fold.Instant) {
	for len(t.paused) > 0 && t.paused[0].until <= now {
		p, _ := heap.Pop(&t.paused).(pause)
		if p.target.health.stage == ejected && now >= p.target.until {
			p.target.health.stage = probation
		}
		t.place(now, p.target)
	}
}

// place puts the endpoint on the list of those with a free place, or takes it off.
func (t *Table) place(now fold.Instant, known *target) {
	open := known.open(now)
	if open == (known.index >= 0) {
		return
	}
	if !open {
		t.shelve(known)
		return
	}
	list := t.list(known)
	known.index = len(*list)
	*list = append(*list, known)
}

func (t *Table) shelve(known *target) {
	if known.index < 0 {
		return
	}
	list := t.list(known)
	last := (*list)[len(*list)-1]
	(*list)[known.index] = last
	last.index = known.index
	*list = (*list)[:len(*list)-1]
	known.index = -1
}

func (t *Table) list(known *target) *[]*target {
	if known.near {
		return &t.near
	}
	return &t.far
}

// drop forgets an endpoint that has left and has no request in flight.
func (t *Table) drop(known *target) {
	if !known.gone || known.inflight > 0 {
		return
	}
	if known.health.stage != healthy {
		t.ejected--
	}
	delete(t.targets, known.instance.Name)
}
