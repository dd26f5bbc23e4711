package owner

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
)

// proc is one simulated process of an entry. It drives a Machine with the steps of package entry, written as callbacks.
type proc struct {
	world        *world
	name         string
	m            *Machine
	incarnations int
	startedAt    fold.Instant
	alive        bool
	paused       bool
	deferred     []func()
	// clockError is the error of the process's wall clock.
	clockError    time.Duration
	revision      int64
	heartbeatSent map[string]fold.Instant
	opened        map[string]opening
	handedClaims  map[string]claimRecord
	stepping      bool
	stopping      bool
}

// opening is a unit that the process uses at one epoch since an instant.
type opening struct {
	epoch int64
	at    fold.Instant
	book  *once.Book
	pool  *simPool
}

type claimRecord struct {
	epoch int64
	book  once.Record
}

func (w *world) start(name string) *proc {
	p := &proc{
		world: w, name: name, alive: true, startedAt: w.now, clockError: w.between(-2500*time.Millisecond, 2500*time.Millisecond),
		heartbeatSent: make(map[string]fold.Instant), opened: make(map[string]opening), handedClaims: make(map[string]claimRecord),
	}
	p.m = New(Entry{ID: name, Incarnation: fmt.Sprintf("%s#%d.0", name, len(w.procs)), Address: name, State: StateLive})
	p.m.SetSpecs(w.specs)
	w.procs = append(w.procs, p)
	w.names[name] = p
	w.at(w.between(0, 4*time.Second), func() { w.listed[name] = w.names[name] != nil })
	p.after(w.between(0, time.Second), p.membershipStep)
	p.every(500*time.Millisecond, p.beat)
	p.every(2*time.Second, p.readInstances)
	p.every(250*time.Millisecond, p.act)
	return p
}

func (w *world) kill(p *proc) {
	p.alive = false
	p.deferred = nil
	if w.names[p.name] == p {
		w.names[p.name] = nil
		w.at(w.between(time.Second, 5*time.Second), func() { w.listed[p.name] = w.names[p.name] != nil })
	}
}

// deliver runs fn at the process, or when the process resumes if it is paused.
func (p *proc) deliver(fn func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.deferred = append(p.deferred, fn)
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
	backlog := p.deferred
	p.deferred = nil
	for _, fn := range backlog {
		p.deliver(fn)
	}
}

func (p *proc) now() fold.Instant { return p.world.now }

func (p *proc) wall() time.Time {
	return time.Unix(0, int64(p.world.now)).Add(p.clockError)
}

// call makes one call to the table. The reply may be lost, and a slow request may take effect after the caller timed out.
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
		if !w.tableReachable(p.name, write) {
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

// commit is a CAS that resolves a lost reply by reading the first row back, as package store does.
func (p *proc) commit(key string, checks map[string]int64, puts map[string]any, then func(int64, error)) {
	var version int64
	ended := p.world.history.begin(p.now(), key).swap(checks[key], &version, len(checks) > 1)
	p.call(true, func() (err error) {
		if version, err = p.world.commit(checks, puts); err == nil {
			p.world.injectAfterCommit(p, key)
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

// membershipStep runs one membership step. The next one starts a second after its end.
func (p *proc) membershipStep() {
	p.stepping = true
	p.scanEntries(func(err error) {
		next := func() { p.readAll(p.plan) }
		if err != nil {
			next()
			return
		}
		p.renew(next)
	})
}

func (p *proc) endStep() {
	p.stepping = false
	if !p.stopping {
		p.sync()
		p.after(time.Second, p.membershipStep)
	}
}

func (p *proc) scanEntries(then func(error)) {
	p.scan(EntryPrefix, func(rows map[string]row, err error) {
		if err == nil {
			p.m.RecordEntries(p.now(), seenAll[Entry](rows))
		}
		then(err)
	})
}

func (p *proc) renew(then func()) {
	if p.m.IncarnationLost() {
		p.incarnations++
		p.m.RestartAs(fmt.Sprintf("%s.%d", strings.Split(p.m.Self().Incarnation, ".")[0], p.incarnations))
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
			p.m.RecordRenewal(sent, r.Row, version)
			then()
		case errors.Is(err, errConflict):
			p.scanEntries(func(error) { then() })
		default:
			then()
		}
	})
}

// readAll reads the configuration, the view and the owners of units.
func (p *proc) readAll(then func()) {
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
			p.m.RecordHeadRead(sent)
		}
		then()
	})
}

func (p *proc) readView(then func()) {
	sent := p.now()
	p.get(ViewKey, func(r row, err error) {
		if err == nil {
			p.m.RecordView(sent, seen[View](ViewKey, r))
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
				p.m.RecordUnits(append(seenAll[Unit](pools), seenAll[Unit](ranges)...))
			}
			then()
		})
	})
}
