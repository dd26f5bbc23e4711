package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/store"
)

const (
	// partSearchPeriod is the time between two searches of the table service for parts of which the owner was not notified.
	partSearchPeriod = 5 * time.Second
	// maxIncoming is the maximum number of announced parts that wait to be read; a search finds the others.
	maxIncoming = 1024
	// maxSingleReads is the maximum number of parts that are read one by one rather than by a search.
	maxSingleReads = 16
)

// announce queues a part that an entry has accepted for the pool. The loop that deletes the rows of ended parts also reads
// the row of the part, so that a late announcement cannot bring back a part that has ended.
func (p *pool) announce(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announceLocked(id)
}

// announceLocked queues a part whose row is to be read by the pool's loop; the caller holds p.mu.
func (p *pool) announceLocked(id string) {
	if len(p.incoming) >= maxIncoming {
		return
	}
	p.incoming[id] = true
	wake(p.exchangeWake)
}

// readNewParts reads the announced parts and passes them to the scheduler.
func (p *pool) readNewParts(ctx context.Context) {
	now := p.entry.clock.Now()
	p.mu.Lock()
	ids := p.incoming
	p.incoming = make(map[string]bool)
	due := now.Sub(p.lastPartSearch) >= partSearchPeriod || len(ids) > maxSingleReads
	p.mu.Unlock()
	if due {
		p.searchParts(ctx, now)
		return
	}
	for id := range ids {
		part, err := store.Get[store.JobPart](ctx, p.entry.table, store.JobKey(p.id, id))
		if errorx.IsOfType(err, fold.NotFound) {
			continue
		}
		if err != nil {
			p.log.Warn("Cannot read a new part. Searching for it later.", "job", id, "error", err)
			continue
		}
		p.submitPart(now, part)
	}
}

// searchParts reads all parts of the pool and passes them to the scheduler.
func (p *pool) searchParts(ctx context.Context, now fold.Instant) {
	parts, err := store.ReadParts(ctx, p.entry.table, p.id)
	if err != nil {
		p.log.Warn("Cannot search for new parts.", "error", err)
		return
	}
	for _, part := range parts {
		p.submitPart(now, part)
	}
	p.lastPartSearch = now
}

// ageOf returns the time since a job was accepted. It uses the wall clock, so entries may differ by their clock error.
func ageOf(j fold.Job) time.Duration {
	return max(time.Since(time.UnixMilli(j.Accepted)), 0)
}

// submitPart passes a part that was accepted in this epoch to the scheduler, which ignores a part that it holds already.
func (p *pool) submitPart(now fold.Instant, part owner.Versioned[store.JobPart]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if part.Version > p.epoch {
		p.sched.Receive(now.Add(-ageOf(part.Value.Job)), part.Value.Job, part.Value.Progress)
	}
}
