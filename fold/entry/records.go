package entry

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/store"
)

const (
	// flushPeriod is the time between two records of changed jobs, in steps of the membership loop of all pools.
	flushPeriod = roundPeriod
	// maxChanges bounds the records of one write.
	maxChanges = 64
)

// exchange reads and writes the pool's rows in the table service. Reading new parts and deleting ended ones happen here
// one after the other, so that a part that was read before its end is not taken as new after it.
func (p *pool) exchange(ctx context.Context) {
	p.takeParts(ctx)
	p.adjustSplits(ctx)
	p.poke()
	if now := p.entry.clock.Now(); now.Sub(p.flushed) >= flushPeriod {
		p.flushed = now
		p.flush(ctx)
	}
}

// flush records changed jobs, then lets workers forget the events behind them.
func (p *pool) flush(ctx context.Context) {
	p.mu.Lock()
	changes := p.sched.Changes(maxChanges)
	seen := make(map[*link]int64, len(p.links))
	for _, l := range p.links {
		seen[l] = l.seen
	}
	p.mu.Unlock()
	if len(changes) == 0 {
		p.acknowledge(seen)
		return
	}
	err := store.Record(ctx, p.entry.table, p.id, p.epoch, changes)
	p.mu.Lock()
	for _, c := range changes {
		if err != nil {
			p.sched.Touch(c.Status.Job.ID)
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

func (p *pool) acknowledge(seen map[*link]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l, sequence := range seen {
		l.acked = max(l.acked, sequence)
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
	p.setRecorded(l.workersOf(p.id))
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

// setRecorded sets the workers that must be adopted before work of an earlier owner may start.
func (p *pool) setRecorded(recorded []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = recorded
}

// holds reports whether the pool still counts on a worker.
func (p *pool) holds(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.links[name]
	return ok
}
