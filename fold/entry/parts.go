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
	// partPeriod is how often an owner searches the table service for parts that it was not told of.
	partPeriod = 5 * time.Second
	// maxIncoming bounds the parts that wait to be read; beyond it the owner searches for them.
	maxIncoming = 1024
	// maxGets is the number of parts that are read one by one rather than by a search.
	maxGets = 16
)

// announce notes a part that an entry has accepted for the pool. The row itself is read by the pool's own loop, which
// also deletes rows of ended parts: so a late announcement cannot bring back a part that has ended.
func (p *pool) announce(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect(id)
}

// expect makes the pool's loop read the row of a part; p.mu is held.
func (p *pool) expect(id string) {
	if len(p.incoming) >= maxIncoming {
		return
	}
	p.incoming[id] = true
	wake(p.records)
}

// takeParts schedules parts that were accepted for this epoch.
func (p *pool) takeParts(ctx context.Context) {
	now := p.entry.clock.Now()
	p.mu.Lock()
	ids := p.incoming
	p.incoming = make(map[string]bool)
	due := now.Sub(p.searched) >= partPeriod || len(ids) > maxGets
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
		p.submit(now, part)
	}
}

// searchParts schedules all parts of this epoch that the pool does not hold yet.
func (p *pool) searchParts(ctx context.Context, now fold.Instant) {
	parts, err := store.Parts(ctx, p.entry.table, p.id)
	if err != nil {
		p.log.Warn("Cannot search for new parts.", "error", err)
		return
	}
	for _, part := range parts {
		p.submit(now, part)
	}
	p.searched = now
}

// ageOf returns how long ago a job was accepted by the wall clock; entries may differ by their clock error.
func ageOf(j fold.Job) time.Duration {
	return max(time.Since(time.UnixMilli(j.Accepted)), 0)
}

// submit schedules a part; one that the pool holds already is left as it is.
func (p *pool) submit(now fold.Instant, part owner.Seen[store.JobPart]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if part.Version > p.epoch {
		p.sched.Receive(now.Add(-ageOf(part.Value.Job)), part.Value.Job, part.Value.Progress)
	}
}
