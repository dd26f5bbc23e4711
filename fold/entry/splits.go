package entry

import (
	"context"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/store"
)

// splitTries bounds how often an allotment is changed again after a conflict with another pool.
const splitTries = 4

// loadSplits reads what the pool holds of each team's limit.
func (p *pool) loadSplits(ctx context.Context) error {
	rows, err := store.Scan[quota.Split](ctx, p.entry.table, store.LimitPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		team := row.Key[len(store.LimitPrefix):]
		p.setSplit(team, row.Value.Held[p.id])
	}
	return nil
}

func (p *pool) setSplit(team string, held fold.Resources) {
	p.splits[team] = held
	share := 1
	if t, ok := p.entry.current.Load().manifest.Team(team); ok {
		share = t.Share
	}
	p.sched.SetTeam(sched.Team{Name: team, Share: share, Allotment: held})
}

// adjustSplits takes allotment for teams that need more and returns what is not needed.
func (p *pool) adjustSplits(ctx context.Context) {
	p.mu.Lock()
	p.sched.SetPolicy(p.entry.current.Load().manifest.Policy)
	needs := p.sched.Needs()
	wanted := make(map[string]fold.Resources)
	for team, need := range needs {
		if need != p.splits[team] {
			wanted[team] = need
		}
	}
	p.mu.Unlock()
	for team, need := range wanted {
		if err := p.adjustSplit(ctx, team, need); err != nil {
			p.log.Debug("Cannot change an allotment.", "team", team, "error", err)
		}
	}
}

func (p *pool) adjustSplit(ctx context.Context, team string, need fold.Resources) error {
	p.mu.Lock()
	held := p.splits[team]
	lowered := need.Min(held).Max(p.sched.Used(team))
	p.setSplit(team, lowered.Min(held))
	p.mu.Unlock()
	for range splitTries {
		row, err := store.Get[quota.Split](ctx, p.entry.table, store.LimitPrefix+team)
		if err != nil {
			return err
		}
		next := row.Value.WithHeld(p.id, need)
		if next.Held[p.id] == row.Value.Held[p.id] {
			p.confirmSplit(team, next.Held[p.id])
			return nil
		}
		err = p.commitSplit(ctx, row.Key, row.Version, next)
		if err == nil {
			p.confirmSplit(team, next.Held[p.id])
			return nil
		}
		if !errorx.IsOfType(err, fold.Conflict) {
			return err
		}
	}
	return nil
}

func (p *pool) commitSplit(ctx context.Context, key string, version int64, next quota.Split) error {
	put, err := store.PutOf(key, next)
	if err != nil {
		return err
	}
	_, err = p.entry.table.Commit(ctx, fold.Txn{
		Checks: []fold.Check{{Key: key, Version: version}, {Key: store.PoolPrefix + p.id, Version: p.epoch}},
		Puts:   []fold.Put{put},
	})
	return err
}

func (p *pool) confirmSplit(team string, held fold.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setSplit(team, held)
}
