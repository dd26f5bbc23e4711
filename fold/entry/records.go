package entry

import (
	"context"
	"maps"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/store"
)

const (
	// flushPeriod is the time between two writes of changed jobs. All pools of an entry write when the entry renews its row,
	// so that one commit holds all of these writes.
	flushPeriod = 5 * time.Second
	// maxChanges is the maximum number of jobs in one write.
	maxChanges = 64
)

// exchange reads and writes the pool's rows in the table service. It reads new parts and deletes ended parts one after the
// other, so that a part which was read before it ended is not treated as new afterwards.
func (p *pool) exchange(ctx context.Context) {
	p.readLimits(ctx)
	p.readNewParts(ctx)
	p.moveParts(ctx)
	p.adjustSplits(ctx)
	p.wakeDecisions()
	if p.flushDue.CompareAndSwap(true, false) {
		p.flush(ctx)
	}
	if now := p.entry.clock.Now(); now.Sub(p.lastClean) >= store.CleanupInterval {
		p.lastClean = now
		p.cleanEnded(ctx)
	}
}

// flushPools makes all pools record their changed jobs every flushPeriod. The membership loop calls it before it renews the
// row of the entry.
func (e *Entry) flushPools() {
	now := e.clock.Now()
	if now.Sub(e.lastFlush) < flushPeriod {
		return
	}
	e.lastFlush = now
	for _, p := range e.allPools() {
		p.flushDue.Store(true)
		wake(p.exchangeWake)
	}
}

// cleanEnded deletes the rows of jobs that ended long ago.
func (p *pool) cleanEnded(ctx context.Context) {
	if _, err := store.CleanEnded(ctx, p.entry.table, p.id, p.epoch, time.Now()); err != nil {
		p.log.Warn("Cannot delete the rows of ended jobs. Trying again later.", "error", err)
	}
}

// flush records changed jobs, then acknowledges the events that caused the changes, so that workers may delete them.
func (p *pool) flush(ctx context.Context) {
	p.mu.Lock()
	changes := p.sched.Changes(maxChanges)
	processed := p.processedEvents()
	p.mu.Unlock()
	if len(changes) == 0 {
		p.acknowledge(processed)
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
		p.acknowledge(processed)
	}
}

// processedEvent is the last event of a worker in a session that the scheduler has processed.
type processedEvent struct {
	link     *link
	session  int64
	sequence int64
}

// processedEvents returns the last processed event of each worker; the caller holds p.mu.
func (p *pool) processedEvents() []processedEvent {
	processed := make([]processedEvent, 0, len(p.links))
	for _, l := range p.links {
		processed = append(processed, processedEvent{link: l, session: l.session, sequence: l.lastProcessed})
	}
	return processed
}

// acknowledge acknowledges events to workers. It skips workers that were adopted again since, because a new session may
// number its events from the beginning.
func (p *pool) acknowledge(processed []processedEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range processed {
		if s.link.session == s.session {
			s.link.lastAcked = max(s.link.lastAcked, s.sequence)
		}
	}
}

// loadMembers reads the workers of the pool. It is called after this entry became the owner, so that it does not miss a
// worker which an earlier owner could use.
func (p *pool) loadMembers(ctx context.Context) error {
	rows, err := store.Scan[rackRow](ctx, p.entry.table, store.RackPrefix)
	if err != nil {
		return err
	}
	l := newLayout(rows, 1)
	p.setMembers(membersOf(l, *p.entry.instances.Load())[p.id])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordedBoots = l.workersOf(p.id)
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

// setStates applies the states of the instances to the workers of the pool. Queued starts on leaving workers are withdrawn.
func (p *pool) setStates(instances []fold.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range instances {
		l, ok := p.links[in.Name]
		if !ok || in.Role != fold.RoleWorker {
			continue
		}
		// The next heartbeat opens a worker that is not leaving any more.
		l.instance.State = in.State
		if in.State == fold.Leaving {
			p.sched.SetLeaving(in.Name, true)
			l.withdrawStarts()
		}
	}
}

// dropRemoved deletes removed workers from recorded, so that the pool does not wait for them.
func (p *pool) dropRemoved(gone func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.recordedBoots, func(name, _ string) bool { return gone(name) })
}

// boot returns the boot id that a worker reported when it was adopted, and whether the pool has a link to the worker.
func (p *pool) boot(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[name]
	if !ok {
		return "", false
	}
	return l.boot, true
}
