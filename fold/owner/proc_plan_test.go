package owner

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
)

// plan writes what the machine plans.
func (p *proc) plan() {
	p.m.Tick(p.now())
	p.world.ruleFaults.beforePlan(p)
	plan := p.m.Plan(p.now())
	switch {
	case plan.Change != nil:
		p.changeView(*plan.Change)
	case len(plan.TakeOvers) > 0:
		self := p.m.Self()
		checks, puts := make(map[string]int64), make(map[string]any)
		for _, t := range plan.TakeOvers {
			checks[t.Unit], puts[t.Unit] = t.Version, t.RowOf(self)
		}
		p.commit(plan.TakeOvers[0].Unit, checks, puts, func(int64, error) { p.readUnits(p.endStep) })
	case len(plan.HandOvers) > 0:
		p.handOver(plan.HandOvers, func(error) { p.readUnits(p.endStep) })
	case len(plan.Deletions) > 0:
		key := plan.Deletions[0].Key
		p.commit(key, map[string]int64{key: plan.Deletions[0].Version}, map[string]any{key: nil}, func(int64, error) { p.endStep() })
	default:
		p.endStep()
	}
}

func (p *proc) changeView(c Change) {
	checks, puts := map[string]int64{ViewKey: c.Version}, map[string]any{ViewKey: c.View}
	for _, f := range c.Fences {
		checks[f.Key], puts[f.Key] = f.Version, f.Value.WithState(StateFenced)
	}
	p.commit(ViewKey, checks, puts, func(int64, error) { p.readView(p.endStep) })
}

// handOver ends the use of units, sends their claims to the next owners and writes the rows.
func (p *proc) handOver(gives []HandOver, then func(error)) {
	p.m.Release(gives)
	checks, puts := make(map[string]int64), make(map[string]any)
	for _, g := range gives {
		checks[g.Unit], puts[g.Unit] = g.Version, g.RowOf()
		if o, ok := p.opened[g.Unit]; ok && o.book != nil {
			record := o.book.Record()
			p.world.send(p.name, g.To.ID, func(to *proc) { to.handedClaims[g.Unit] = claimRecord{epoch: g.Version, book: record} })
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

// stop stops the process as planned, with a hand-over of its units.
func (p *proc) stop() {
	p.stopping = true
	if p.stepping {
		p.after(50*time.Millisecond, p.stop)
		return
	}
	p.m.Leave()
	p.handOverClaims(p.now())
}

// handOverClaims hands over all units. It waits up to 7 s for a peer that can own them.
func (p *proc) handOverClaims(begin fold.Instant) {
	gives := p.m.HandOvers(p.now())
	switch {
	case len(gives) == 0 && len(p.m.Owned()) > 0 && p.m.SuccessorExpected(p.now()) && p.now().Sub(begin) < 7*time.Second:
		p.scanEntries(func(error) {
			p.renew(func() {
				p.readView(func() { p.after(500*time.Millisecond, func() { p.handOverClaims(begin) }) })
			})
		})
		return
	case len(gives) == 0:
		p.leave()
		return
	}
	p.handOver(gives, func(err error) {
		if err != nil && !errors.Is(err, errConflict) {
			p.world.kill(p)
			return
		}
		p.leave()
	})
}

func (p *proc) leave() {
	r := p.m.Renewal(p.now())
	p.m.RecordLeft()
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
	old, ok := p.handedClaims[unit]
	delete(p.handedClaims, unit)
	switch {
	case ok && h.HandedOverAt != 0 && old.epoch == h.HandedOverAt:
		p.world.counts["claims inherited"]++
		return once.Restore(old.book)
	case h.First || p.world.ruleFaults.emptyBookAfterTakeover:
		return once.New(time.Time{})
	default:
		return once.New(p.wall().Add(MaxHeartbeatAge))
	}
}

// beat sends heartbeats to the peers that have no heartbeat in flight.
func (p *proc) beat() {
	p.m.Tick(p.now())
	mine := p.m.Beat(p.now(), p.revision)
	peers := p.m.Peers(p.now())
	slices.SortFunc(peers, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	for _, to := range peers {
		if at, ok := p.heartbeatSent[to.ID]; ok && p.now().Sub(at) < callTime {
			continue
		}
		sent := p.now()
		p.heartbeatSent[to.ID] = sent
		p.world.send(p.name, to.ID, func(q *proc) {
			q.world.ruleFaults.onRequest(q, mine)
			q.m.RecordRequest(q.now(), mine)
			q.readNewerHead(mine)
			answer := q.m.Beat(q.now(), q.revision)
			q.world.ruleFaults.onAnswer(&answer)
			q.world.transmit(q.name, p.name, func() {
				p.deliver(func() {
					delete(p.heartbeatSent, to.ID)
					if p.world.ruleFaults.countFromArrival {
						sent = p.now()
					}
					p.m.RecordAnswer(sent, answer)
					p.readNewerHead(answer)
				})
			})
		})
	}
}

func (p *proc) readNewerHead(b Beat) {
	if b.KnownRevision > p.revision && !p.stepping {
		p.readHead(func() {})
	}
}

func (p *proc) readInstances() {
	w := p.world
	if w.listDown > 0 {
		return
	}
	var names []string
	for name, ok := range w.listed {
		if ok && w.unlisted[name] <= 0 {
			names = append(names, name)
		}
	}
	p.m.RecordInstances(p.now(), names)
}

func (p *proc) standing() Mode {
	if p.world.ruleFaults.outageWithoutMajority && p.m.registered && p.now().Sub(p.m.newestRenewal.at) > TTL {
		return ModeOutage
	}
	return p.m.Standing(p.now())
}

func (p *proc) fresh() Mode {
	if mode := p.m.ConfigMode(p.now(), p.revision); mode != ModeNone {
		return mode
	}
	if p.world.ruleFaults.outageWithoutMajority && p.standing() == ModeOutage {
		return ModeOutage
	}
	return ModeNone
}

// changeConfig commits a configuration change. It is accepted when a majority knows its revision.
func (p *proc) changeConfig() {
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
			p.m.highestRevision = max(p.m.highestRevision, p.revision)
			p.announce(number+1, p.now())
		})
	})
}

func (p *proc) announce(number int64, begin fold.Instant) {
	if p.m.KnownByMajority(p.now(), number) || p.world.ruleFaults.acceptOnCommit {
		p.world.accepted = append(p.world.accepted, acceptance{revision: number, at: p.now()})
		p.world.counts["configurations accepted"]++
		return
	}
	if p.now().Sub(begin) < 3*time.Second {
		p.beat()
		p.after(20*time.Millisecond, func() { p.announce(number, begin) })
	}
}
