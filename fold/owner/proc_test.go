package owner

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
)

// proc is one process of an entry. It drives a Machine with the steps of package entry, as callbacks.
type proc struct {
	world   *world
	name    string
	m       *Machine
	joins   int
	born    fold.Instant
	alive   bool
	paused  bool
	backlog []func()
	// clock is the error of its wall clock.
	clock    time.Duration
	revision int64
	beating  map[string]fold.Instant
	opened   map[string]opening
	handed   map[string]handed
	stepping bool
	stopping bool
}

// opening is a unit in use since an instant, at one epoch.
type opening struct {
	epoch int64
	at    fold.Instant
	book  *once.Book
	pool  *simPool
}

type handed struct {
	epoch int64
	book  once.Record
}

func (w *world) start(name string) *proc {
	p := &proc{
		world: w, name: name, alive: true, born: w.now, clock: w.between(-2500*time.Millisecond, 2500*time.Millisecond),
		beating: make(map[string]fold.Instant), opened: make(map[string]opening), handed: make(map[string]handed),
	}
	p.m = New(Entry{ID: name, Incarnation: fmt.Sprintf("%s#%d.0", name, len(w.procs)), Address: name, State: StateLive})
	p.m.SetSpecs(w.specs)
	w.procs = append(w.procs, p)
	w.names[name] = p
	w.at(w.between(0, 4*time.Second), func() { w.listed[name] = w.names[name] != nil })
	p.after(w.between(0, time.Second), p.member)
	p.every(500*time.Millisecond, p.beat)
	p.every(2*time.Second, p.fleet)
	p.every(250*time.Millisecond, p.act)
	return p
}

func (w *world) kill(p *proc) {
	p.alive = false
	p.backlog = nil
	if w.names[p.name] == p {
		w.names[p.name] = nil
		w.at(w.between(time.Second, 5*time.Second), func() { w.listed[p.name] = w.names[p.name] != nil })
	}
}

// deliver runs fn at the process, or once it is no longer paused.
func (p *proc) deliver(fn func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.backlog = append(p.backlog, fn)
	default:
		fn()
	}
}

func (p *proc) after(d time.Duration, fn func()) {
	p.world.at(d, func() { p.deliver(fn) })
}

func (p *proc) every(period time.Duration, fn func()) {
	p.after(period, func() {
		fn()
		p.every(period, fn)
	})
}

func (p *proc) resume() {
	p.paused = false
	p.act()
	backlog := p.backlog
	p.backlog = nil
	for _, fn := range backlog {
		p.deliver(fn)
	}
}

func (p *proc) now() fold.Instant { return p.world.now }

func (p *proc) wall() time.Time {
	return time.Unix(0, int64(p.world.now)).Add(p.clock)
}

// call makes one call to the table. The reply may be lost, and a slow request may take effect after the caller gave up.
func (p *proc) call(write bool, apply func() error, then func(error)) {
	w := p.world
	done := false
	finish := func(err error) {
		if !done {
			done = true
			then(err)
		}
	}
	delay := w.latency()
	if w.faulty && w.chance(0.003) {
		delay = w.between(time.Second, 8*time.Second)
	}
	if delay >= callTime {
		p.after(callTime, func() { finish(errLost) })
	}
	w.at(delay, func() {
		if !w.reaches(p.name, write) {
			p.after(max(0, callTime-delay), func() { finish(errLost) })
			return
		}
		err := apply()
		back := w.latency()
		if delay+back >= callTime || (w.faulty && w.chance(0.01)) {
			p.after(max(0, callTime-delay), func() { finish(errLost) })
			return
		}
		p.after(back, func() { finish(err) })
	})
}

// commit is a CAS that settles a lost reply by reading the first row back, as package store does.
func (p *proc) commit(key string, checks map[string]int64, puts map[string]any, then func(int64, error)) {
	var version int64
	ended := p.world.history.begin(p.now(), key).swap(checks[key], &version, len(checks) > 1)
	p.call(true, func() (err error) {
		if version, err = p.world.commit(checks, puts); err == nil {
			p.world.worst(p, key)
		}
		return err
	}, func(err error) {
		ended(p.now(), err)
		if errors.Is(err, errLost) {
			p.get(key, func(r row, readErr error) {
				if readErr == nil && fmt.Sprint(r.value) == fmt.Sprint(puts[key]) {
					then(r.version, nil)
					return
				}
				then(0, errLost)
			})
			return
		}
		then(version, err)
	})
}

func (p *proc) get(key string, then func(row, error)) {
	var r row
	op := p.world.history.begin(p.now(), key)
	p.call(false, func() error { r = p.world.read(key); return nil }, func(err error) {
		op.read(p.now(), r.version, err)
		then(r, err)
	})
}

func (p *proc) scan(prefix string, then func(map[string]row, error)) {
	var rows map[string]row
	op := p.world.history.begin(p.now(), prefix+"00")
	p.call(false, func() error { rows = p.world.scan(prefix); return nil }, func(err error) {
		op.read(p.now(), rows[prefix+"00"].version, err)
		then(rows, err)
	})
}

// member takes one membership step and the next one a second after its end.
func (p *proc) member() {
	p.stepping = true
	p.scanEntries(func(err error) {
		next := func() { p.reads(p.plan) }
		if err != nil {
			next()
			return
		}
		p.renew(next)
	})
}

func (p *proc) finish() {
	p.stepping = false
	if !p.stopping {
		p.sync()
		p.after(time.Second, p.member)
	}
}

func (p *proc) scanEntries(then func(error)) {
	p.scan(EntryPrefix, func(rows map[string]row, err error) {
		if err == nil {
			p.m.SawEntries(p.now(), seenAll[Entry](rows))
		}
		then(err)
	})
}

func (p *proc) renew(then func()) {
	if p.m.Lost() {
		p.joins++
		p.m.LostRow(fmt.Sprintf("%s.%d", strings.Split(p.m.Self().Incarnation, ".")[0], p.joins))
		p.sync()
	}
	r := p.m.Renewal(p.now())
	if !r.Due {
		then()
		return
	}
	key, sent := EntryPrefix+p.name, p.now()
	p.commit(key, map[string]int64{key: r.Version}, map[string]any{key: r.Row}, func(version int64, err error) {
		switch {
		case err == nil:
			p.m.Renewed(sent, r.Row, version)
			then()
		case errors.Is(err, errConflict):
			p.scanEntries(func(error) { then() })
		default:
			then()
		}
	})
}

// reads reads configuration, view and owners.
func (p *proc) reads(then func()) {
	p.readHead(func() {
		p.readView(func() {
			p.readUnits(then)
		})
	})
}

func (p *proc) readHead(then func()) {
	sent := p.now()
	p.get("config/head", func(r row, err error) {
		if err == nil {
			number, _ := r.value.(int64)
			p.revision = max(p.revision, number)
			p.m.Confirmed(sent)
		}
		then()
	})
}

func (p *proc) readView(then func()) {
	sent := p.now()
	p.get(ViewKey, func(r row, err error) {
		if err == nil {
			p.m.SawView(sent, seen[View](ViewKey, r))
		}
		then()
	})
}

func (p *proc) readUnits(then func()) {
	p.scan("pool/", func(pools map[string]row, err error) {
		if err != nil {
			then()
			return
		}
		p.scan("once/", func(ranges map[string]row, err error) {
			if err == nil {
				p.m.SawUnits(append(seenAll[Unit](pools), seenAll[Unit](ranges)...))
			}
			then()
		})
	})
}

// plan carries out what the machine plans.
func (p *proc) plan() {
	p.m.Tick(p.now())
	p.world.broken.beforePlan(p)
	plan := p.m.Plan(p.now())
	switch {
	case plan.Change != nil:
		p.changeView(*plan.Change)
	case len(plan.Takes) > 0:
		self := p.m.Self()
		checks, puts := make(map[string]int64), make(map[string]any)
		for _, t := range plan.Takes {
			checks[t.Unit], puts[t.Unit] = t.Version, t.RowOf(self)
		}
		p.commit(plan.Takes[0].Unit, checks, puts, func(int64, error) { p.readUnits(p.finish) })
	case len(plan.Gives) > 0:
		p.give(plan.Gives, func(error) { p.readUnits(p.finish) })
	case len(plan.Drops) > 0:
		key := plan.Drops[0].Key
		p.commit(key, map[string]int64{key: plan.Drops[0].Version}, map[string]any{key: nil}, func(int64, error) { p.finish() })
	default:
		p.finish()
	}
}

func (p *proc) changeView(c Change) {
	checks, puts := map[string]int64{ViewKey: c.Version}, map[string]any{ViewKey: c.View}
	for _, f := range c.Fences {
		checks[f.Key], puts[f.Key] = f.Version, f.Value.WithState(StateFenced)
	}
	p.commit(ViewKey, checks, puts, func(int64, error) { p.readView(p.finish) })
}

// give ends the use of units, sends the claims to the next owners and writes the rows.
func (p *proc) give(gives []Give, then func(error)) {
	p.m.Release(gives)
	checks, puts := make(map[string]int64), make(map[string]any)
	for _, g := range gives {
		checks[g.Unit], puts[g.Unit] = g.Version, g.RowOf()
		if o, ok := p.opened[g.Unit]; ok && o.book != nil {
			record := o.book.Record()
			p.world.send(p.name, g.To.ID, func(to *proc) { to.handed[g.Unit] = handed{epoch: g.Version, book: record} })
		}
	}
	p.sync()
	p.after(20*time.Millisecond, func() {
		p.commit(gives[0].Unit, checks, puts, func(_ int64, err error) {
			for _, g := range gives {
				p.world.send(p.name, g.To.ID, func(to *proc) { to.readUnits(to.sync) })
			}
			then(err)
		})
	})
}

// stop is a planned stop.
func (p *proc) stop() {
	p.stopping = true
	if p.stepping {
		p.after(50*time.Millisecond, p.stop)
		return
	}
	p.m.Leave()
	p.bequeath(p.now())
}

// bequeath gives all units away, and waits while no peer can take them yet.
func (p *proc) bequeath(begin fold.Instant) {
	gives := p.m.Gives(p.now())
	switch {
	case len(gives) == 0 && len(p.m.Owned()) > 0 && p.m.Heirs(p.now()) && p.now().Sub(begin) < 7*time.Second:
		p.scanEntries(func(error) {
			p.renew(func() {
				p.readView(func() { p.after(500*time.Millisecond, func() { p.bequeath(begin) }) })
			})
		})
		return
	case len(gives) == 0:
		p.left()
		return
	}
	p.give(gives, func(err error) {
		if err != nil && !errors.Is(err, errConflict) {
			p.world.kill(p)
			return
		}
		p.left()
	})
}

func (p *proc) left() {
	r := p.m.Renewal(p.now())
	p.m.Left()
	p.sync()
	if !r.Due {
		p.world.kill(p)
		return
	}
	key := EntryPrefix + p.name
	p.commit(key, map[string]int64{key: r.Version}, map[string]any{key: r.Row.WithState(StateLeft)}, func(int64, error) { p.world.kill(p) })
}

// sync opens and closes units to match what the entry owns.
func (p *proc) sync() {
	owned := p.m.Owned()
	for unit := range p.opened {
		if owned[unit].Epoch != p.opened[unit].epoch {
			delete(p.opened, unit)
		}
	}
	for _, unit := range slices.Sorted(maps.Keys(owned)) {
		h := owned[unit]
		if _, ok := p.opened[unit]; ok {
			continue
		}
		o := opening{epoch: h.Epoch, at: p.now()}
		if strings.HasPrefix(unit, "pool/") {
			o.pool = newSimPool(p, unit, h.Epoch)
		} else {
			o.book = p.openBook(unit, h)
		}
		p.opened[unit] = o
		p.world.checkEpoch(unit, h.Epoch, p)
	}
}

func (p *proc) openBook(unit string, h Holding) *once.Book {
	old, ok := p.handed[unit]
	delete(p.handed, unit)
	switch {
	case ok && h.Handed != 0 && old.epoch == h.Handed:
		p.world.counts["claims inherited"]++
		return once.Restore(old.book)
	case h.First || p.world.broken.trustful:
		return once.New(time.Time{})
	default:
		return once.New(p.wall().Add(HeardTime))
	}
}

// beat sends heartbeats to the peers that have no heartbeat under way.
func (p *proc) beat() {
	p.m.Tick(p.now())
	mine := p.m.Beat(p.now(), p.revision)
	peers := p.m.Peers(p.now())
	slices.SortFunc(peers, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	for _, to := range peers {
		if at, ok := p.beating[to.ID]; ok && p.now().Sub(at) < callTime {
			continue
		}
		sent := p.now()
		p.beating[to.ID] = sent
		p.world.send(p.name, to.ID, func(q *proc) {
			q.world.broken.told(q, mine)
			q.m.Told(q.now(), mine)
			q.behind(mine)
			answer := q.m.Beat(q.now(), q.revision)
			q.world.broken.answer(&answer)
			q.world.carry(q.name, p.name, func() {
				p.deliver(func() {
					delete(p.beating, to.ID)
					if p.world.broken.arrival {
						sent = p.now()
					}
					p.m.Heard(sent, answer)
					p.behind(answer)
				})
			})
		})
	}
}

func (p *proc) behind(b Beat) {
	if b.Known > p.revision && !p.stepping {
		p.readHead(func() {})
	}
}

func (p *proc) fleet() {
	w := p.world
	if w.noList > 0 {
		return
	}
	var names []string
	for name, ok := range w.listed {
		if ok && w.omitted[name] <= 0 {
			names = append(names, name)
		}
	}
	p.m.Listed(p.now(), names)
}

func (p *proc) standing() Mode {
	if p.world.broken.alone && p.m.registered && p.now().Sub(p.m.contact.at) > TTL {
		return ModeOutage
	}
	return p.m.Standing(p.now())
}

func (p *proc) fresh() Mode {
	if mode := p.m.Fresh(p.now(), p.revision); mode != ModeNone {
		return mode
	}
	if p.world.broken.alone && p.standing() == ModeOutage {
		return ModeOutage
	}
	return ModeNone
}

// change makes a configuration change; it is accepted once a majority knows its revision.
func (p *proc) change() {
	if !p.m.Eligible(p.now()) {
		return
	}
	p.get("config/head", func(r row, err error) {
		if err != nil {
			return
		}
		number, _ := r.value.(int64)
		p.commit("config/head", map[string]int64{"config/head": r.version}, map[string]any{"config/head": number + 1}, func(_ int64, err error) {
			if err != nil {
				return
			}
			p.revision = max(p.revision, number+1)
			p.m.revision = max(p.m.revision, p.revision)
			p.announce(number+1, p.now())
		})
	})
}

func (p *proc) announce(number int64, begin fold.Instant) {
	if p.m.KnownByMajority(p.now(), number) || p.world.broken.early {
		p.world.accepted = append(p.world.accepted, acceptance{revision: number, at: p.now()})
		p.world.counts["configurations accepted"]++
		return
	}
	if p.now().Sub(begin) < 3*time.Second {
		p.beat()
		p.after(20*time.Millisecond, func() { p.announce(number, begin) })
	}
}
