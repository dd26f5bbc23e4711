package entry

import (
	"context"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

// give stops units here before their rows name the next owners. Each pool has a commit of its own, so that it waits for
// no other; claim ranges share one.
func (e *Entry) give(ctx context.Context, gives []owner.Give) error {
	e.member(func(m *owner.Machine) { m.Release(gives) })
	ranges, pools := splitGives(gives)
	for some := range slices.Chunk(ranges, maxTakes) {
		e.handClaims(ctx, some)
		if err := e.commitGives(ctx, some); err != nil {
			return err
		}
	}
	renewed := e.clock.Now()
	for one := range slices.Chunk(pools, 1) {
		if e.clock.Now().Sub(renewed) > memberPeriod {
			renewed = e.clock.Now()
			e.report("Cannot renew the entry.", e.renew(ctx))
		}
		e.stopPool(ctx, strings.TrimPrefix(one[0].Unit, store.PoolPrefix))
		if err := e.commitGives(ctx, one); err != nil {
			return err
		}
	}
	return nil
}

func splitGives(gives []owner.Give) (ranges, pools []owner.Give) {
	for _, g := range gives {
		if strings.HasPrefix(g.Unit, store.PoolPrefix) {
			pools = append(pools, g)
		} else {
			ranges = append(ranges, g)
		}
	}
	return ranges, pools
}

func (e *Entry) commitGives(ctx context.Context, gives []owner.Give) error {
	var txn fold.Txn
	for _, g := range gives {
		put, err := store.PutOf(g.Unit, g.RowOf())
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: g.Unit, Version: g.Version})
		txn.Puts = append(txn.Puts, put)
	}
	_, err := e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	e.log.Info("Handed units over.", "count", len(gives), "first", gives[0].Unit, "to", gives[0].To.ID)
	e.tellOwners(ctx, gives)
	return nil
}

// tellOwners makes the new owners read their units at once. A lost message costs them one period.
func (e *Entry) tellOwners(ctx context.Context, gives []owner.Give) {
	told := make(map[string]bool)
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for _, g := range gives {
		if told[g.To.ID] || g.To.ID == e.settings.Name {
			continue
		}
		told[g.To.ID] = true
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTime)
			defer cancel()
			_, err := peer.Call[ownerCall, ownerAnswer](callCtx, e.node, g.To.Address, kindOwner, ownerCall{})
			e.report("Cannot tell the new owner.", err)
			return nil
		})
	}
	_ = calls.Wait()
}

// handOver gives all units away and marks the entry as left, for a planned stop. The membership loop must have ended.
func (e *Entry) handOver(ctx context.Context) {
	e.member(func(m *owner.Machine) { m.Leave() })
	if err := e.give(ctx, e.awaitHeirs(ctx)); err != nil {
		e.log.Warn("Cannot hand over all units. They are taken once this entry is fenced.", "error", err)
		return
	}
	var plan owner.Renewal
	e.member(func(m *owner.Machine) { plan = m.Renewal(e.clock.Now()) })
	if !plan.Due {
		return
	}
	e.member(func(m *owner.Machine) { m.Left() })
	e.syncUnits()
	left := plan.Row.WithState(owner.StateLeft)
	if _, err := store.Replace(ctx, e.table, store.EntryPrefix+left.ID, plan.Version, left); err != nil {
		e.log.Warn("Cannot mark the entry as left.", "error", err)
	}
}

// awaitHeirs returns the hand-over of all units. When no peer can take them yet, as just after the start of the cell, it
// waits for one while any answers.
func (e *Entry) awaitHeirs(ctx context.Context) []owner.Give {
	begin := e.clock.Now()
	for {
		var gives []owner.Give
		var wait bool
		e.member(func(m *owner.Machine) {
			now := e.clock.Now()
			gives = m.Gives(now)
			wait = len(gives) == 0 && len(m.Owned()) > 0 && m.Heirs(now)
		})
		if !wait || e.clock.Now().Sub(begin) > heirTime {
			return gives
		}
		e.report("Cannot read the entries.", e.scanEntries(ctx))
		e.report("Cannot renew the entry.", e.renew(ctx))
		e.report("Cannot read the view.", e.readView(ctx))
		select {
		case <-e.clock.After(beatPeriod):
		case <-ctx.Done():
			return gives
		}
	}
}
