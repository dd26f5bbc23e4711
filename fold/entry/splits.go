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

// maxSplitTries is the maximum number of attempts to change an allotment that conflicts with changes by other pools.
const maxSplitTries = 4

// allotment is the part of one team's limit that the pool holds.
type allotment struct {
	holder *quota.Holder
	// ceiling bounds what the team may use in the pool while lowered is set.
	ceiling fold.Resources
	// lowered is set while the limit of the team is less than the sum that all pools hold.
	lowered bool
	// loweredSince is when the pool learned of the lowered limit.
	loweredSince fold.Instant
	// fairPart is the maximum that the pool asks for while other pools lack allotment of the team.
	fairPart fold.Resources
	// contendedUntil is the time until which the pool returns unneeded allotment at once, because another pool lacks
	// allotment.
	contendedUntil fold.Instant
}

// usable returns what the team may use in the pool.
func (a *allotment) usable() fold.Resources {
	if a.lowered {
		return a.holder.Held().Min(a.ceiling)
	}
	return a.holder.Held()
}

// loadSplits reads the pool's allotments of all teams from the table service.
func (p *pool) loadSplits(ctx context.Context) error {
	rows, err := store.Scan[quota.Split](ctx, p.entry.table, store.LimitPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		team := strings.TrimPrefix(row.Key, store.LimitPrefix)
		p.allotmentOf(team).holder = quota.NewHolder(row.Value.Held[p.id])
		p.applySplit(team, row.Value)
	}
	return nil
}

// limitsChanged applies new limits of teams in the pool.
func (p *pool) limitsChanged(rows []owner.Versioned[quota.Split]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		p.applySplit(strings.TrimPrefix(row.Key, store.LimitPrefix), row.Value)
	}
	p.wakeDecisions()
}

// applySplit applies a team's limit row to the allotment and the scheduler; the caller holds p.mu, or the
// pool has not started.
func (p *pool) applySplit(team string, s quota.Split) {
	a := p.allotmentOf(team)
	lowered := !s.Sum().Fits(s.Limit)
	if lowered && !a.lowered {
		a.loweredSince = p.entry.clock.Now()
	}
	a.lowered = lowered
	a.ceiling = s.ProportionalShare(p.id)
	a.fairPart = s.FairShare()
	p.setTeam(team)
}

// setTeam passes the share and the usable allotment of a team to the scheduler.
func (p *pool) setTeam(team string) {
	share := 1
	if t, ok := p.entry.current.Load().manifest.Team(team); ok {
		share = t.Share
	}
	p.sched.SetTeam(sched.Team{Name: team, Weight: share, Allotment: p.allotmentOf(team).usable()})
}

// allotmentOf returns the allotment of a team, which is created if needed.
func (p *pool) allotmentOf(team string) *allotment {
	a, ok := p.allotments[team]
	if !ok {
		a = &allotment{holder: quota.NewHolder(fold.Resources{})}
		p.allotments[team] = a
	}
	return a
}

// splitChange is a change of the pool's allotment of a team that is to be written.
type splitChange struct {
	team string
	// want is the new allotment.
	want fold.Resources
	// need is the amount that the team's work can use.
	need fold.Resources
}

// adjustSplits acquires allotment for teams that need more and returns unneeded allotment.
func (p *pool) adjustSplits(ctx context.Context) {
	for _, c := range p.dueSplits() {
		if err := p.adjustSplit(ctx, c); err != nil {
			p.log.Debug("Cannot change an allotment.", "team", c.team, "error", err)
			p.splitFailed(c)
		}
	}
}

// dueSplits returns the changes of allotments that are due. Reductions apply in the pool at once; increases apply only
// after they are written.
func (p *pool) dueSplits() []splitChange {
	contended := p.entry.contendedTeams(p)
	now := p.entry.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.SetPolicy(p.entry.current.Load().manifest.Policy)
	needs := p.sched.Needs()
	var due []splitChange
	for team, need := range needs {
		a := p.allotmentOf(team)
		switch used := p.sched.Used(team); {
		case a.lowered:
			need = need.Min(a.ceiling.Max(used))
		case contended[team]:
			// Peers report a lack of allotment in heartbeats, so only a lack that lasts until then reduces this pool to its
			// fair part; a shorter lack ends when other pools return unneeded allotment.
			need = need.Min(a.fairPart.Max(used))
		}
		if p.recordedBoots != nil {
			// Tasks of an earlier owner may run on workers that are not adopted yet, so none of the allotment is unneeded.
			need = need.Max(a.holder.Held())
		}
		want, ask := a.holder.Want(now, need, contended[team] || a.lowered || now < a.contendedUntil)
		if !ask {
			continue
		}
		a.holder.Lower(want)
		p.setTeam(team)
		due = append(due, splitChange{team: team, want: want, need: need})
	}
	return due
}

// adjustSplit writes one change of an allotment.
func (p *pool) adjustSplit(ctx context.Context, c splitChange) error {
	for range maxSplitTries {
		row, err := store.Get[quota.Split](ctx, p.entry.table, store.LimitPrefix+c.team)
		if err != nil {
			return err
		}
		next := row.Value.WithRequest(p.id, c.want)
		if next.Held[p.id] != row.Value.Held[p.id] {
			err = p.commitSplit(ctx, row.Key, row.Version, next)
		}
		if err == nil {
			p.splitWritten(c, next)
			return nil
		}
		if !errorx.IsOfType(err, fold.Conflict) {
			return err
		}
	}
	return fold.Refuse(fold.Unavailable, "wait", "other pools changed the limit of team %s %d times", c.team, maxSplitTries)
}

// splitFailed records that a change could not be written.
func (p *pool) splitFailed(c splitChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allotmentOf(c.team).holder.RecordFailure(p.entry.clock.Now())
}

// commitSplit writes the limit row of a team if the pool is still owned at its epoch.
func (p *pool) commitSplit(ctx context.Context, key string, version int64, next quota.Split) error {
	put, err := store.EncodePut(key, next)
	if err != nil {
		return err
	}
	_, err = p.entry.table.Commit(ctx, fold.Txn{
		Checks: []fold.Check{{Key: key, Version: version}, {Key: store.PoolPrefix + p.id, Version: p.epoch}},
		Puts:   []fold.Put{put},
	})
	return err
}

// splitWritten applies a written change. If the allotment is still short, it asks other pools to return some and tries again
// after returnRetryDelay.
func (p *pool) splitWritten(c splitChange, s quota.Split) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.allotmentOf(c.team)
	a.holder.RecordGrant(p.entry.clock.Now(), s.Held[p.id], c.need)
	p.applySplit(c.team, s)
	if !a.holder.Short() {
		return
	}
	p.running.Go(func() {
		p.requestReturns(c.team, s)
		select {
		case <-p.entry.clock.After(returnRetryDelay):
			wake(p.exchangeWake)
		case <-p.ctx.Done():
		}
	})
}
