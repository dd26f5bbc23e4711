package route

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"plantainfold.example/fold"
)

// candidatesPerRequest is the number of random endpoints that are compared for each request.
const candidatesPerRequest = 2

// Table holds the endpoints of one service. It is not safe for concurrent use.
type Table struct {
	domain  string
	random  *rand.Rand
	targets map[string]*target
	// local and remote list the open endpoints of the own failure domain and of other domains.
	local, remote []*target
	retries       retryHeap
	live          int
	ejected       int
	inflight      int
	times         latency
	// meanOtherLoad is the mean number of requests of other entries that endpoints report.
	meanOtherLoad float64
}

// New returns a table without endpoints, for an entry in the given failure domain.
func New(domain string, random *rand.Rand) *Table {
	return &Table{targets: make(map[string]*target), domain: domain, random: random}
}

// Update replaces the set of endpoints. Endpoints that are not live receive no new requests.
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
		t.close(known)
		known.instance, known.local, known.removed = in, in.Domain == t.domain, false
		t.updateOpen(now, known)
	}
	t.live = len(present)
	for name, known := range t.targets {
		if !present[name] {
			known.removed = true
			t.close(known)
			t.removeIfIdle(known)
		}
	}
}

// LiveCount returns the number of live endpoints in the last update.
func (t *Table) LiveCount() int {
	return t.live
}

// HasOpenEndpoint reports whether Acquire would find an open endpoint.
func (t *Table) HasOpenEndpoint(now fold.Instant) bool {
	t.reopenDue(now)
	return len(t.local)+len(t.remote) > 0
}

// NextRetry returns the time at which the next paused endpoint may be tried again.
func (t *Table) NextRetry() (fold.Instant, bool) {
	if len(t.retries) == 0 {
		return 0, false
	}
	return t.retries[0].at, true
}

// Acquire chooses an endpoint for a request and counts the request as in flight. It chooses an endpoint from avoid only if
// no other endpoint is open.
func (t *Table) Acquire(now fold.Instant, avoid map[string]bool) (fold.Instance, bool) {
	t.reopenDue(now)
	chosen := t.choose(now, avoid)
	if chosen == nil && len(avoid) > 0 {
		chosen = t.choose(now, nil)
	}
	if chosen == nil {
		return fold.Instance{}, false
	}
	chosen.inflight++
	t.inflight++
	t.updateOpen(now, chosen)
	return chosen.instance, true
}

// choose returns an open endpoint. It prefers one of the own failure domain unless one of another domain has clearly less
// load.
func (t *Table) choose(now fold.Instant, avoid map[string]bool) *target {
	local := t.pick(now, t.local, avoid)
	remote := t.pick(now, t.remote, avoid)
	if local == nil || remote == nil {
		if local == nil {
			return remote
		}
		return local
	}
	if remote.load(now, t.meanOtherLoad)+remoteCost < local.load(now, t.meanOtherLoad) {
		return remote
	}
	return local
}

// pick returns the less loaded of two random endpoints of the list that are not avoided.
func (t *Table) pick(now fold.Instant, list []*target, avoid map[string]bool) *target {
	if len(list) == 0 {
		return nil
	}
	var best *target
	for range candidatesPerRequest {
		c := list[t.random.IntN(len(list))]
		if !avoid[c.instance.Name] && (best == nil || c.load(now, t.meanOtherLoad) < best.load(now, t.meanOtherLoad)) {
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

// Release ends a request at an endpoint and applies its outcome.
func (t *Table) Release(now fold.Instant, name string, r Report) {
	released, ok := t.targets[name]
	if !ok {
		return
	}
	released.inflight--
	t.inflight--
	t.recordOutcome(now, released, r)
	t.updateOpen(now, released)
	t.removeIfIdle(released)
}

func (t *Table) recordOutcome(now fold.Instant, released *target, r Report) {
	switch r.Outcome {
	case Served:
		t.times.addSample(r.Took)
		released.recordLoad(now, r.Running, r.Slots)
		if r.Slots > 0 {
			t.meanOtherLoad += sampleWeight * (released.otherLoad - t.meanOtherLoad)
		}
		t.recordSuccess(now, released)
	case Refused:
		released.recordRefusal(now, t.refusalDelay(released.refusals))
		if released.retryAt > now {
			t.scheduleRetry(released)
		}
	case Failed:
		t.recordFailure(now, released)
	case Expired:
		if t.times.addExpired(r.Took) {
			t.recordFailure(now, released)
		}
	case Abandoned:
	}
}

func (t *Table) recordSuccess(now fold.Instant, released *target) {
	before := released.health.stage
	released.health = released.health.afterAnswer(now)
	if before == probation && released.health.stage == healthy {
		t.ejected--
	}
}

func (t *Table) recordFailure(now fold.Instant, released *target) {
	next, eject := released.health.afterFailure()
	released.health = next
	if !eject || (next.stage == healthy && t.ejected >= t.maxEjected()) {
		return
	}
	if next.stage == healthy {
		t.ejected++
	}
	var pause time.Duration
	released.health, pause = released.health.afterEjection(now)
	released.retryAt = now.Add(t.jitter(pause))
	t.scheduleRetry(released)
}

// maxEjected returns how many endpoints may be ejected or on probation at the same time.
func (t *Table) maxEjected() int {
	if t.live < 2 {
		return 0
	}
	return max(t.live/endpointsPerEjection, 1)
}

// refusalDelay returns how long an endpoint with no request in flight is not tried after consecutive refusals. The longest
// delay is two mean request durations. With delays of up to 1 s, entries without a slot at full endpoints tried too seldom
// to get their share of the slots.
func (t *Table) refusalDelay(refusals int) time.Duration {
	base := max(t.times.meanDuration()/4, time.Millisecond)
	return t.jitter(base << min(refusals, 3))
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(d))
}

// scheduleRetry schedules the endpoint to be reopened at its retryAt time.
func (t *Table) scheduleRetry(known *target) {
	heap.Push(&t.retries, retry{at: known.retryAt, target: known})
}

// reopenDue reopens endpoints whose retry time has passed. Ejected endpoints enter probation.
func (t *Table) reopenDue(now fold.Instant) {
	for len(t.retries) > 0 && t.retries[0].at <= now {
		p, _ := heap.Pop(&t.retries).(retry)
		if p.target.health.stage == ejected && now >= p.target.retryAt {
			p.target.health.stage = probation
		}
		t.updateOpen(now, p.target)
	}
}

// updateOpen adds the endpoint to the list of open endpoints or removes it from the list, as its state requires.
func (t *Table) updateOpen(now fold.Instant, known *target) {
	open := known.open(now)
	if open == (known.index >= 0) {
		return
	}
	if !open {
		t.close(known)
		return
	}
	list := t.list(known)
	known.index = len(*list)
	*list = append(*list, known)
}

func (t *Table) close(known *target) {
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
	if known.local {
		return &t.local
	}
	return &t.remote
}

// removeIfIdle deletes an endpoint that was removed from the instance list and has no request in flight.
func (t *Table) removeIfIdle(known *target) {
	if !known.removed || known.inflight > 0 {
		return
	}
	if known.health.stage != healthy {
		t.ejected--
	}
	delete(t.targets, known.instance.Name)
}
