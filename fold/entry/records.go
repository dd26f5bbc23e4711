package entry

import (
	"context"
	"maps"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/store"
)

const (
	// flushPeriod is the time between two records of changed jobs. All pools of an entry write at the same time as the
	// entry renews its row, so that one commit holds them all.
	flushPeriod = 5 * time.Second
	// maxChanges bounds the records of one write.
	maxChanges = 64
)

// exchange reads and writes the pool's rows in the table service. Reading new parts and deleting ended ones happen here
// one after the other, so that a part that was read before its end is not taken as new after it.
func (p *pool) exchange(ctx context.Context) {
	p.readLimits(ctx)
	p.takeParts(ctx)
	p.moveParts(ctx)
	p.adjustSplits(ctx)
	p.wakeDecisions()
	if p.flushDue.CompareAndSwap(true, false) {
		p.flush(ctx)
	}
	if now := p.entry.clock.Now(); now.Sub(p.cleaned) >= store.CleanPeriod {
		p.cleaned = now
		p.clean(ctx)
	}
}

// flushPools makes all pools record their changed jobs every flushPeriod; the membership loop calls it before it renews.
func (e *Entry) flushPools() {
	now := e.clock.Now()
	if now.Sub(e.flushed) < flushPeriod {
		return
	}
	e.flushed = now
	for _, p := range e.allPools() {
		p.flushDue.Store(true)
		wake(p.records)
	}
}

// clean removes the rows of jobs that ended long ago.
func (p *pool) clean(ctx context.Context) {
	if _, err := store.CleanEnded(ctx, p.entry.table, p.id, p.epoch, time.Now()); err != nil {
		p.log.Warn("Cannot remove the rows of ended jobs. Trying again later.", "error", err)
	}
}

// flush records changed jobs, then lets workers forget the events behind them.
func (p *pool) flush(ctx context.Context) {
	p.mu.Lock()
	changes := p.sched.Changes(maxChanges)
	seen := p.seenEvents()
	p.mu.Unlock()
	if len(changes) == 0 {
		p.acknowledge(seen)
		return
	}
	err := store.Record(ctx, p.entry.table, p.id, p.epoch, changes)
	p.mu.Lock()
	for _, c := range changes {
		if err != nil {
			p.sched.MarkChanged(c.Status.Job.ID)
			continue
		}
		if c.Status.State.Ended() {
			p.sched.Forget(c.Status.Job.ID)
		}
	}
	p.mu.Unlock()
	if err != nil {
		p.log.Warn("Cannot record the state of jobs.", "error", err)
		return
	}
	if len(changes) < maxChanges {
		p.acknowledge(seen)
	}
}

// seenEvent is the last event that was taken from a worker in a session.
type seenEvent struct {
	link     *link
	session  int64
	sequence int64
}

// seenEvents returns the last events taken from each worker; p.mu is held.
func (p *pool) seenEvents() []seenEvent {
	seen := make([]seenEvent, 0, len(p.links))
	for _, l := range p.links {
		seen = append(seen, seenEvent{link: l, session: l.session, sequence: l.seen})
	}
	return seen
}

// acknowledge lets workers forget events, unless they were adopted again since, which may have renumbered them.
func (p *pool) acknowledge(seen []seenEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range seen {
		if s.link.session == s.session {
			s.link.acked = max(s.link.acked, s.sequence)
		}
	}
}

// loadMembers reads the workers of the pool. They are read after the pool was taken, so that none is missed which an
// earlier owner could use.
func (p *pool) loadMembers(ctx context.Context) error {
	rows, err := store.Scan[rackRow](ctx, p.entry.table, store.RackPrefix)
	if err != nil {
		return err
	}
	l := newLayout(rows, 1)
	p.setMembers(membersOf(l, *p.entry.instances.Load())[p.id])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = l.workersOf(p.id)
	return nil
}

// setMembers records which workers belong to the pool by the instance list.
func (p *pool) setMembers(members map[string]fold.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	for name, in := range members {
		if l, ok := p.links[name]; ok {
			l.instance.State = in.State
			continue
		}
		p.links[name] = newLink(p, in)
	}
}

// dropGone stops waiting for workers that are gone.
func (p *pool) dropGone(gone func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.recorded, func(name, _ string) bool { return gone(name) })
}

// boot returns what a worker told when it was adopted, and whether the pool still counts on the worker.
func (p *pool) boot(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[name]
	if !ok {
		return "", false
	}
	return l.boot, true
}
