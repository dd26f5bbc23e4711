package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
)

// Durations of workers and pools.
const (
	sessionTime = 3 * time.Second
	maxTask     = 8 * time.Second
	// lostTime is the time after which a task has certainly ended, from the last message that could cause its start.
	lostTime = 16 * time.Second
	// holdTime is the wait before pending tasks start after a takeover: keep, task lease, two sessions and the age of
	// evidence (design section 4.3).
	holdTime = 38 * time.Second
)

// simWorker is a simulated worker that accepts starts by the rules of epochs and sessions.
type simWorker struct {
	world          *world
	name           string
	pool           string
	epoch          int64
	session        int64
	sessionRenewed fold.Instant
	ends           map[int]fold.Instant
}

func (w *simWorker) adopt(epoch int64) (int64, map[int]fold.Instant, bool) {
	if epoch < w.epoch && !w.world.ruleFaults.ignoreEpoch {
		return 0, nil, false
	}
	if epoch < w.epoch {
		w.world.fail("worker %s went back from epoch %d to %d", w.name, w.epoch, epoch)
	}
	w.epoch = epoch
	w.session++
	w.sessionRenewed = w.world.now
	return w.session, maps.Clone(w.ends), true
}

func (w *simWorker) beat(epoch int64, starts bool) (int64, map[int]fold.Instant, bool) {
	if epoch != w.epoch {
		return 0, nil, false
	}
	if starts {
		if w.world.now.Sub(w.sessionRenewed) > sessionTime {
			w.session++
		}
		w.sessionRenewed = w.world.now
	}
	return w.session, maps.Clone(w.ends), true
}

func (w *simWorker) start(epoch, session int64, number int, d time.Duration) bool {
	now := w.world.now
	fits := epoch == w.epoch && session == w.session && now.Sub(w.sessionRenewed) <= sessionTime
	if !fits && !(w.world.ruleFaults.ignoreSession && epoch == w.epoch) {
		w.world.counts["starts refused"]++
		return false
	}
	if _, ok := w.ends[number]; ok {
		return true
	}
	for _, other := range w.world.workers {
		if other.pool == w.pool && other != w && other.ends[number] > now {
			w.world.fail("task %d of %s runs on %s and %s", number, w.pool, other.name, w.name)
		}
	}
	w.ends[number] = now.Add(d)
	w.world.counts["starts accepted"]++
	return true
}

// task is the next task of a pool. It is durable.
type task struct {
	number int
}

// simLink is an owner's state of one worker.
type simLink struct {
	adopted bool
	session int64
	// lastSent is when the last message was sent that could make the worker accept a start.
	lastSent fold.Instant
	nextCall fold.Instant
}

// simPool starts the tasks of one pool, one after the other.
type simPool struct {
	p          *proc
	unit       string
	epoch      int64
	openedAt   fold.Instant
	links      map[string]*simLink
	taskNumber int
	placedOn   string
}

func newSimPool(p *proc, unit string, epoch int64) *simPool {
	s := &simPool{p: p, unit: unit, epoch: epoch, openedAt: p.now(), links: make(map[string]*simLink)}
	for name, w := range p.world.workers {
		if w.pool == unit {
			s.links[name] = &simLink{lastSent: never, nextCall: never}
		}
	}
	s.taskNumber = p.world.pending[unit].number
	return s
}

func (s *simPool) step(standing bool) {
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[name]
		if l.nextCall > s.p.now() || (!standing && !l.adopted) {
			continue
		}
		l.nextCall = s.p.now().Add(time.Second)
		s.contact(name, l, standing)
	}
	if standing {
		s.place()
	}
}

// call calls a worker and runs the returned function with the answer, or failed after a second without one.
func (s *simPool) call(name string, delay time.Duration, do func(*simWorker) func(), failed func()) {
	w, answered := s.p.world, false
	w.transmit(s.p.name, name, func() {
		w.at(delay, func() {
			then := do(w.workers[name])
			w.transmit(name, s.p.name, func() {
				s.p.deliver(func() {
					if !answered && s.isOpen() {
						answered = true
						then()
					}
				})
			})
		})
	})
	s.p.after(callTime, func() {
		if !answered {
			answered = true
			failed()
		}
	})
}

func (s *simPool) isOpen() bool {
	o, ok := s.p.opened[s.unit]
	return ok && o.pool == s
}

func (s *simPool) contact(name string, l *simLink, standing bool) {
	w := s.p.world
	if !l.adopted {
		delay := time.Duration(0)
		if w.faulty && w.chance(0.06) {
			delay = w.between(5*time.Second, 30*time.Second)
		}
		s.call(name, delay, func(k *simWorker) func() {
			begin := w.now
			session, ends, ok := k.adopt(s.epoch)
			w.history.worker(k.name, begin, workerOp{kind: "adopt", epoch: s.epoch, session: session, ok: ok})
			return func() {
				if ok {
					l.adopted, l.session = true, session
					s.applyAdoption(name, ends)
				}
			}
		}, func() {})
		return
	}
	if standing {
		l.lastSent = s.p.now()
	}
	s.call(name, 0, func(k *simWorker) func() {
		session, ends, ok := k.beat(s.epoch, standing)
		return func() {
			if !ok || session != l.session {
				l.adopted = false
				return
			}
			s.recordEnd(name, ends)
		}
	}, func() {})
}

// applyAdoption records whether the task runs on an adopted worker. The new session refuses starts still in flight.
func (s *simPool) applyAdoption(name string, ends map[int]fold.Instant) {
	if _, ok := ends[s.taskNumber]; ok {
		s.placedOn = name
	} else if s.placedOn == name {
		s.placedOn = ""
	}
	s.recordEnd(name, ends)
}

// recordEnd records the end of the task. The table accepts it only from the owner at the current epoch.
func (s *simPool) recordEnd(name string, ends map[int]fold.Instant) {
	w := s.p.world
	end, ok := ends[s.taskNumber]
	if !ok {
		return
	}
	s.placedOn = name
	if end <= s.p.now() && w.rows[s.unit].version == s.epoch && w.pending[s.unit].number == s.taskNumber {
		w.pending[s.unit].number++
		s.taskNumber++
		s.placedOn = ""
		w.counts["tasks done"]++
	}
}

// place starts the task on a worker, unless the task may still run on another one or under an earlier owner.
func (s *simPool) place() {
	if s.placedOn != "" {
		if l := s.links[s.placedOn]; !l.adopted && s.p.now().Sub(l.lastSent) > lostTime {
			s.placedOn = ""
		}
		return
	}
	free := make([]string, 0, len(s.links))
	for name, l := range s.links {
		if l.adopted {
			free = append(free, name)
		}
	}
	first := s.taskNumber == 1 || len(free) == len(s.links)
	if len(free) == 0 || (!first && s.p.now().Sub(s.openedAt) < holdTime && !s.p.world.ruleFaults.startWithoutWait) {
		return
	}
	slices.Sort(free)
	w := s.p.world
	name := free[w.rand.IntN(len(free))]
	l, number, session, d := s.links[name], s.taskNumber, s.links[name].session, w.between(time.Second, maxTask)
	s.placedOn, l.lastSent = name, s.p.now()
	delay := time.Duration(0)
	if w.faulty && w.chance(0.03) {
		delay = w.between(2*time.Second, 60*time.Second)
	}
	s.call(name, delay, func(k *simWorker) func() {
		begin := w.now
		ok := k.start(s.epoch, session, number, d)
		w.history.worker(k.name, begin, workerOp{kind: "start", epoch: s.epoch, session: session, ok: ok})
		return func() {
			if !ok {
				l.adopted = false
			}
		}
	}, func() { l.adopted = false })
}

// act does the work of a process with standing, and checks that it is permitted.
func (p *proc) act() {
	standing := p.standing() != ModeNone
	p.checkFresh()
	for _, unit := range slices.Sorted(maps.Keys(p.opened)) {
		o := p.opened[unit]
		if standing && p.m.EpochOf(unit) == o.epoch {
			p.checkOverlap(unit, o)
		}
		if o.pool != nil {
			o.pool.step(standing && p.m.EpochOf(unit) == o.epoch)
		}
	}
}

// checkFresh fails when work under API keys is accepted more than TTL after a newer revision was accepted.
func (p *proc) checkFresh() {
	if p.fresh() == ModeNone {
		return
	}
	p.world.counts["keyed work, mode "+string(p.fresh())]++
	for _, a := range p.world.accepted {
		if a.revision > p.revision && p.now().Sub(a.at) > TTL {
			p.world.fail("%s takes keyed work by mode %s at revision %d, %v after revision %d was accepted", p.name, p.fresh(), p.revision, p.now().Sub(a.at), a.revision)
		}
	}
}

// checkOverlap fails when another entry acts for the unit too. With table contact this is never permitted. In outage mode
// the evidence of the earlier owner may remain valid for MaxHeartbeatAge.
func (p *proc) checkOverlap(unit string, o opening) {
	w := p.world
	p.world.counts["acting, mode "+string(p.standing())]++
	if current := w.rows[unit].version; p.standing() == ModeTable && current != o.epoch {
		w.fail("%s acts for %s at epoch %d, but the row is at %d", p.m.Self().Incarnation, unit, o.epoch, current)
	}
	for _, q := range w.alive() {
		other, ok := q.opened[unit]
		if q == p || !ok || q.paused || q.standing() == ModeNone || q.m.EpochOf(unit) != other.epoch {
			continue
		}
		newer := max(o.at, other.at)
		if p.now().Sub(newer) > MaxHeartbeatAge {
			w.fail("%s at epoch %d and %s at epoch %d act for %s", p.m.Self().Incarnation, o.epoch, q.m.Self().Incarnation, other.epoch, unit)
		}
	}
}

// checkEpoch fails when two incarnations use the same epoch of a unit.
func (w *world) checkEpoch(unit string, epoch int64, p *proc) {
	r, ok := w.rows[unit].value.(Unit)
	if ok && w.rows[unit].version == epoch && r.Incarnation != p.m.Self().Incarnation {
		w.fail("%s uses epoch %d of %s, which belongs to %s", p.m.Self().Incarnation, epoch, unit, r.Incarnation)
	}
}

// callers sends requests that must run at most once, and sends each again a few times.
func (w *world) callers() {
	id := fmt.Sprintf("r%d", w.seq)
	unit := fmt.Sprintf("once/%02d", w.rand.IntN(4))
	issued := time.Unix(0, int64(w.now)).Add(w.between(-2500*time.Millisecond, 2500*time.Millisecond))
	try := func() {
		if p := w.pick(); p != nil {
			p.claim(unit, id, issued)
		}
	}
	try()
	for range 3 {
		w.at(w.between(50*time.Millisecond, 25*time.Second), try)
	}
	w.at(150*time.Millisecond, w.callers)
}

func (p *proc) claim(unit, id string, issued time.Time) {
	at, ok := p.m.OwnerOf(unit)
	switch {
	case !ok:
	case at.ID == p.name:
		p.grant(unit, id, issued)
	default:
		p.world.send(p.name, at.ID, func(q *proc) { q.grant(unit, id, issued) })
	}
}

func (p *proc) grant(unit, id string, issued time.Time) {
	w := p.world
	o, ok := p.opened[unit]
	if p.standing() == ModeNone || !ok || p.m.EpochOf(unit) != o.epoch {
		return
	}
	verdict := o.book.Claim(p.wall(), id, issued)
	w.counts["claims "+string(verdict)]++
	if verdict != once.Granted {
		return
	}
	if earlier, ok := w.grants[id]; ok {
		w.fail("claim %s of %s was granted by %s and by %s", id, unit, earlier, p.m.Self().Incarnation)
	}
	w.grants[id] = p.m.Self().Incarnation
}
