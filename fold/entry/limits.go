package entry

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/store"
)

// loweredLimitGrace is how long work above a lowered limit may continue before it is checkpointed and stopped.
const loweredLimitGrace = 10 * time.Second

// refreshLimits makes the pools of this entry read the limits of teams after a new manifest.
func (e *Entry) refreshLimits() {
	for _, p := range e.allPools() {
		p.limitsStale.Store(true)
		wake(p.exchangeWake)
	}
}

// readLimits reads the limits of teams after a new manifest. The old limits apply until it succeeds.
func (p *pool) readLimits(ctx context.Context) {
	if !p.limitsStale.CompareAndSwap(true, false) {
		return
	}
	rows, err := store.Scan[quota.Split](ctx, p.entry.table, store.LimitPrefix)
	if err != nil {
		p.limitsStale.Store(true)
		p.log.Warn("Cannot read the limits of teams. Trying again.", "error", err)
		return
	}
	p.limitsChanged(rows)
}

// stopExcess stops work that has been above a lowered limit for loweredLimitGrace; the caller holds p.mu.
func (p *pool) stopExcess(now fold.Instant) {
	for team, a := range p.allotments {
		if !a.lowered || now.Sub(a.loweredSince) < loweredLimitGrace {
			continue
		}
		if n := p.sched.Shed(team); n > 0 {
			p.log.Info("Stopping tasks above a lowered team limit.", "team", team, "tasks", n)
		}
	}
}
