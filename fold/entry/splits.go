package entry

import (
	"context"
	"strings"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/store"
)

// splitTries bounds how often an allotment is changed again after a conflict with another pool.
const splitTries = 4

// allotment is what the pool holds of one team's limit.
type allotment struct {
	holder *quota.Holder
	// ceiling is less than what is held while the limit was lowered below what all pools hold.
	ceiling fold.Resources
	lowered bool
	// since is when the pool learned of the lowered limit.
	since fold.Instant
	// fair is what the pool may take while other pools lack allotment of the team.
	fair fold.Resources
	// contended is until when the pool returns what it does not need at once, because another pool lacks allotment.
	contended fold.Instant
}

// usable returns what the team may use in the pool.
func (a *allotment) usable() fold.Resources {
	if a.lowered {
		return a.holder.Held().Min(a.ceiling)
	}
	return a.holder.Held()
}

// loadSplits reads what the pool holds of each team's limit.
func (p *pool) loadSplits(ctx context.Context) error {
	rows, err := store.Scan[quota.Split](ctx, p.entry.table, store.LimitPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		team := strings.TrimPrefix(row.Key, store.LimitPrefix)
		p.allot(team).holder = quota.NewHolder(row.Value.Held[p.id])
		p.sawSplit(team, row.Value)
	}
	return nil
}

// limitsChanged brings new limits of teams into force in the pool.
func (p *pool) limitsChanged(rows []owner.Seen[quota.Split]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		p.sawSplit(strings.TrimPrefix(row.Key, store.LimitPrefix), row.Value)
	}
	p.wakeDecisions()
}

// sawSplit tells the scheduler what a team may use; p.mu is held, or the pool has not started.
func (p *pool) sawSplit(team string, s quota.Split) {
	a := p.allot(team)
	lowered := !s.Sum().Fits(s.Limit)
	if lowered && !a.lowered {
		a.since = p.entry.clock.Now()
	}
	a.lowered = lowered
	a.ceiling = s.Part(p.id)
	a.fair = s.Fair()
	p.setTeam(team)
}

func (p *pool) setTeam(team string) {
	share := 1
	if t, ok := p.entry.current.Load().manifest.Team(team); ok {
		share = t.Share
	}
	p.sched.SetTeam(sched.Team{Name: team, Weight: share, Allotment: p.allot(team).usable()})
}

func (p *pool) allot(team string) *allotment {
	a, ok := p.allotments[team]
	if !ok {
		a = &allotment{holder: quota.NewHolder(fold.Resources{})}
		p.allotments[team] = a
	}
	return a
}

// splitChange is an allotment that the pool should ask for.
type splitChange struct {
	team string
	want fold.Resources
	need fold.Resources
}

// adjustSplits takes allotment for teams that need more and returns what is not needed.
func (p *pool) adjustSplits(ctx context.Context) {
	for _, c := range p.dueSplits() {
		if err := p.adjustSplit(ctx, c); err != nil {
			p.log.Debug("Cannot change an allotment.", "team", c.team, "error", err)
			p.failedSplit(c)
		}
	}
}

// dueSplits lowers what is to be returned at once; what is to be taken has to be written first.
func (p *pool) dueSplits() []splitChange {
	contended := p.entry.contended(p)
	now := p.entry.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.SetPolicy(p.entry.current.Load().manifest.Policy)
	needs := p.sched.Needs()
	var due []splitChange
	for team, need := range needs {
		a := p.allot(team)
		switch used := p.sched.Used(team); {
		case a.lowered:
			need = need.Min(a.ceiling.Max(used))
		case contended[team]:
			// Only a lack that lasts until the next heartbeats divides the limit; a short one ends when unneeded
			// allotment comes back.
			need = need.Min(a.fair.Max(used))
		}
		want, ask := a.holder.Want(now, need, contended[team] || a.lowered || now < a.contended)
		if !ask {
			continue
		}
		a.holder.Lower(want)
		p.setTeam(team)
		due = append(due, splitChange{team: team, want: want, need: need})
	}
	return due
}

func (p *pool) adjustSplit(ctx context.Context, c splitChange) error {
	for range splitTries {
		row, err := store.Get[quota.Split](ctx, p.entry.table, store.LimitPrefix+c.team)
		if err != nil {
			return err
		}
		next := row.Value.WithHeld(p.id, c.want)
		if next.Held[p.id] != row.Value.Held[p.id] {
			err = p.commitSplit(ctx, row.Key, row.Version, next)
		}
		if err == nil {
			p.gotSplit(c, next)
			return nil
		}
		if !errorx.IsOfType(err, fold.Conflict) {
			return err
		}
	}
	return fold.Refuse(fold.Unavailable, "wait", "other pools changed the limit of team %s %d times", c.team, splitTries)
}

func (p *pool) failedSplit(c splitChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allot(c.team).holder.Failed(p.entry.clock.Now())
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

func (p *pool) gotSplit(c splitChange, s quota.Split) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.allot(c.team)
	a.holder.Got(p.entry.clock.Now(), s.Held[p.id], c.need)
	p.sawSplit(c.team, s)
	if !a.holder.Short() {
		return
	}
	p.running.Go(func() {
		p.tellShort(c.team, s)
		select {
		case <-p.entry.clock.After(shortRetry):
			wake(p.records)
		case <-p.ctx.Done():
		}
	})
}
