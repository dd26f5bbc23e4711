package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
)

// Times of workers and pools.
const (
	sessionTime = 3 * time.Second
	maxTask     = 8 * time.Second
	// lostTime is how long after the last message that could let a worker start a task the task has certainly ended.
	lostTime = 16 * time.Second
	// holdTime is the wait of design section 4.3: keep, task lease, two sessions and the age of evidence.
	holdTime = 38 * time.Second
)

// simWorker accepts starts by the rules of epoch and session.
type simWorker struct {
	world   *world
	name    string
	pool    string
	epoch   int64
	session int64
	renewed fold.Instant
	ends    map[int]fold.Instant
}

func (w *simWorker) adopt(epoch int64) (int64, map[int]fold.Instant, bool) {
	if epoch < w.epoch && !w.world.broken.noEpoch {
		return 0, nil, false
	}
	if epoch < w.epoch {
		w.world.fail("worker %s went back from epoch %d to %d", w.name, w.epoch, epoch)
	}
	w.epoch = epoch
	w.session++
	w.renewed = w.world.now
	return w.session, maps.Clone(w.ends), true
}

func (w *simWorker) beat(epoch int64, starts bool) (int64, map[int]fold.Instant, bool) {
	if epoch != w.epoch {
		return 0, nil, false
	}
	if starts {
		if w.world.now.Sub(w.renewed) > sessionTime {
			w.session++
		}
		w.renewed = w.world.now
	}
	return w.session, maps.Clone(w.ends), true
}

func (w *simWorker) start(epoch, session int64, number int, d time.Duration) bool {
	now := w.world.now
	fits := epoch == w.epoch && session == w.session && now.Sub(w.renewed) <= sessionTime
	if !fits && !(w.world.broken.noSession && epoch == w.epoch) {
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

// task is the work of a pool that is to run next; it is durable.
type task struct {
	number int
}

// simLink is an owner's view of one worker.
type simLink struct {
	adopted bool
	session int64
	// armed is the last time something was sent that could let the worker accept a start.
	armed fold.Instant
	next  fold.Instant
}

// simPool starts the tasks of one pool, one after the other.
type simPool struct {
	p      *proc
	unit   string
	epoch  int64
	began  fold.Instant
	links  map[string]*simLink
	number int
	placed string
}

func newSimPool(p *proc, unit string, epoch int64) *simPool {
	s := &simPool{p: p, unit: unit, epoch: epoch, began: p.now(), links: make(map[string]*simLink)}
	for name, w := range p.world.workers {
		if w.pool == unit {
			s.links[name] = &simLink{armed: never, next: never}
		}
	}
	s.number = p.world.pending[unit].number
	return s
}

func (s *simPool) step(standing bool) {
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[name]
		if l.next > s.p.now() || (!standing && !l.adopted) {
			continue
		}
		l.next = s.p.now().Add(time.Second)
		s.contact(name, l, standing)
	}
	if standing {
		s.place()
	}
}

// ask calls a worker; a call without an answer within a second ends with ok false.
func (s *simPool) ask(name string, delay time.Duration, do func(*simWorker) func(), failed func()) {
	w, answered := s.p.world, false
	w.carry(s.p.name, name, func() {
		w.at(delay, func() {
			then := do(w.workers[name])
			w.carry(name, s.p.name, func() {
				s.p.deliver(func() {
					if !answered && s.open() {
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

func (s *simPool) open() bool {
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
		s.ask(name, delay, func(k *simWorker) func() {
			begin := w.now
			session, ends, ok := k.adopt(s.epoch)
			w.history.worker(k.name, begin, workerOp{kind: "adopt", epoch: s.epoch, session: session, ok: ok})
			return func() {
				if ok {
					l.adopted, l.session = true, session
					s.settle(name, ends)
				}
			}
		}, func() {})
		return
	}
	if standing {
		l.armed = s.p.now()
	}
	s.ask(name, 0, func(k *simWorker) func() {
		session, ends, ok := k.beat(s.epoch, standing)
		return func() {
			if !ok || session != l.session {
				l.adopted = false
				return
			}
			s.learn(name, ends)
		}
	}, func() {})
}

// settle learns from an adoption whether the task runs there; a start still under way is refused by the new session.
func (s *simPool) settle(name string, ends map[int]fold.Instant) {
	if _, ok := ends[s.number]; ok {
		s.placed = name
	} else if s.placed == name {
		s.placed = ""
	}
	s.learn(name, ends)
}

// learn records the end of the task, which the table accepts from the owner of the epoch only.
func (s *simPool) learn(name string, ends map[int]fold.Instant) {
	w := s.p.world
	end, ok := ends[s.number]
	if !ok {
		return
	}
	s.placed = name
	if end <= s.p.now() && w.rows[s.unit].version == s.epoch && w.pending[s.unit].number == s.number {
		w.pending[s.unit].number++
		s.number++
		s.placed = ""
		w.counts["tasks done"]++
	}
}

// place starts the task on a worker, unless it may run under an earlier owner or somewhere else.
func (s *simPool) place() {
	if s.placed != "" {
		if l := s.links[s.placed]; !l.adopted && s.p.now().Sub(l.armed) > lostTime {
			s.placed = ""
		}
		return
	}
	free := make([]string, 0, len(s.links))
	for name, l := range s.links {
		if l.adopted {
			free = append(free, name)
		}
	}
	first := s.number == 1 || len(free) == len(s.links)
	if len(free) == 0 || (!first && s.p.now().Sub(s.began) < holdTime && !s.p.world.broken.noHold) {
		return
	}
	slices.Sort(free)
	w := s.p.world
	name := free[w.rand.IntN(len(free))]
	l, number, session, d := s.links[name], s.number, s.links[name].session, w.between(time.Second, maxTask)
	s.placed, l.armed = name, s.p.now()
	delay := time.Duration(0)
	if w.faulty && w.chance(0.03) {
		delay = w.between(2*time.Second, 60*time.Second)
	}
	s.ask(name, delay, func(k *simWorker) func() {
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

// act does what a process with standing does, and checks that it may.
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

// checkFresh fails when keyed work is taken more than TTL after a newer revision was accepted.
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

// checkOverlap fails when another entry acts for the unit too. By table contact none may; in outage mode the evidence
// of the earlier owner may last HeardTime longer.
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
		if p.now().Sub(newer) > HeardTime {
			w.fail("%s at epoch %d and %s at epoch %d act for %s", p.m.Self().Incarnation, o.epoch, q.m.Self().Incarnation, other.epoch, unit)
		}
	}
}

// checkEpoch fails when two incarnations take the same epoch for theirs.
func (w *world) checkEpoch(unit string, epoch int64, p *proc) {
	r, ok := w.rows[unit].value.(Unit)
	if ok && w.rows[unit].version == epoch && r.Incarnation != p.m.Self().Incarnation {
		w.fail("%s takes epoch %d of %s for its own, which is of %s", p.m.Self().Incarnation, epoch, unit, r.Incarnation)
	}
}

// callers send requests that must run at most once, and send each again a few times.
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
