package entry

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/store"
)

// limitGrace is how long work above a lowered limit may go on before it is checkpointed and stopped.
const limitGrace = 10 * time.Second

// refreshLimits makes the pools of this entry read the limits of a new revision.
func (e *Entry) refreshLimits() {
	for _, p := range e.allPools() {
		p.stale.Store(true)
		wake(p.records)
	}
}

// readLimits reads the limits again after a new revision; until it succeeds the pool keeps to the old ones.
func (p *pool) readLimits(ctx context.Context) {
	if !p.stale.CompareAndSwap(true, false) {
		return
	}
	rows, err := store.Scan[quota.Split](ctx, p.entry.table, store.LimitPrefix)
	if err != nil {
		p.stale.Store(true)
		p.log.Warn("Cannot read the limits of teams. Trying again.", "error", err)
		return
	}
	p.limitsChanged(rows)
}

// shed stops work above lowered limits that has not ended by itself; p.mu is held.
func (p *pool) shed(now fold.Instant) {
	for team, a := range p.allotments {
		if !a.lowered || now.Sub(a.since) < limitGrace {
			continue
		}
		if n := p.sched.Shed(team); n > 0 {
			p.log.Info("Stopping work above a lowered limit.", "team", team, "tasks", n)
		}
	}
}
