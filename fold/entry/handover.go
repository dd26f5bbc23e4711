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

// handOverUnits hands units over. It stops each unit at this entry before the unit's row names the next owner. Each pool is
// committed on its own, so that it does not wait for others; claim ranges share a commit.
func (e *Entry) handOverUnits(ctx context.Context, handovers []owner.HandOver) error {
	e.withMachine(func(m *owner.Machine) { m.Release(handovers) })
	ranges, pools := splitByKind(handovers)
	for batch := range slices.Chunk(ranges, maxUnitsPerTxn) {
		e.handOverClaims(ctx, batch)
		if err := e.commitHandover(ctx, batch); err != nil {
			return err
		}
	}
	renewed := e.clock.Now()
	for one := range slices.Chunk(pools, 1) {
		if e.clock.Now().Sub(renewed) > membershipPeriod {
			renewed = e.clock.Now()
			e.logError("Cannot renew the row of the entry.", e.renew(ctx))
		}
		e.stopPool(ctx, strings.TrimPrefix(one[0].Unit, store.PoolPrefix))
		if err := e.commitHandover(ctx, one); err != nil {
			return err
		}
	}
	return nil
}

// splitByKind separates claim ranges from pools.
func splitByKind(handovers []owner.HandOver) (ranges, pools []owner.HandOver) {
	for _, g := range handovers {
		if strings.HasPrefix(g.Unit, store.PoolPrefix) {
			pools = append(pools, g)
		} else {
			ranges = append(ranges, g)
		}
	}
	return ranges, pools
}

// commitHandover writes the next owners into the rows of units. A Conflict means that another entry changed a row; the
// membership loop reads the rows again then.
func (e *Entry) commitHandover(ctx context.Context, handovers []owner.HandOver) error {
	var txn fold.Txn
	for _, g := range handovers {
		put, err := store.EncodePut(g.Unit, g.RowOf())
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
	e.log.Info("Handed units over to another entry.", "count", len(handovers), "first", handovers[0].Unit, "to", handovers[0].To.ID)
	e.notifyOwners(ctx, handovers)
	return nil
}

// notifyOwners notifies the new owners to read the rows of units at once. If a message is lost, the owner reads them a
// period later.
func (e *Entry) notifyOwners(ctx context.Context, handovers []owner.HandOver) {
	notified := make(map[string]bool)
	var calls errgroup.Group
	calls.SetLimit(maxPeerCalls)
	for _, g := range handovers {
		if notified[g.To.ID] || g.To.ID == e.settings.Name {
			continue
		}
		notified[g.To.ID] = true
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			_, err := peer.Call[ownerCall, ownerAnswer](callCtx, e.node, g.To.Address, kindOwner, ownerCall{})
			e.logError("Cannot notify the new owner of units.", err)
			return nil
		})
	}
	_ = calls.Wait()
}

// handOverAll hands all units over and marks the entry as left, for a planned stop. The membership loop must have ended.
func (e *Entry) handOverAll(ctx context.Context) {
	e.withMachine(func(m *owner.Machine) { m.Leave() })
	if err := e.handOverUnits(ctx, e.awaitSuccessors(ctx)); err != nil {
		e.log.Warn("Cannot hand over all units. Other entries take them over once this entry is fenced.", "error", err)
		return
	}
	var plan owner.Renewal
	e.withMachine(func(m *owner.Machine) { plan = m.Renewal(e.clock.Now()) })
	if !plan.Due {
		return
	}
	e.withMachine(func(m *owner.Machine) { m.RecordLeft() })
	e.syncUnits()
	left := plan.Row.WithState(owner.StateLeft)
	if _, err := store.Replace(ctx, e.table, store.EntryPrefix+left.ID, plan.Version, left); err != nil {
		e.log.Warn("Cannot mark the entry as left.", "error", err)
	}
}

// awaitSuccessors returns the handover of all units. If no peer can receive them yet, as just after the start of the
// cell, it waits for one, up to successorTimeout, while any peer answers that could become one.
func (e *Entry) awaitSuccessors(ctx context.Context) []owner.HandOver {
	begin := e.clock.Now()
	for {
		var handovers []owner.HandOver
		var wait bool
		e.withMachine(func(m *owner.Machine) {
			now := e.clock.Now()
			handovers = m.HandOvers(now)
			wait = len(handovers) == 0 && len(m.Owned()) > 0 && m.SuccessorExpected(now)
		})
		if !wait || e.clock.Now().Sub(begin) > successorTimeout {
			return handovers
		}
		e.logError("Cannot read the rows of the entries.", e.scanEntries(ctx))
		e.logError("Cannot renew the row of the entry.", e.renew(ctx))
		e.logError("Cannot read the membership view.", e.readView(ctx))
		select {
		case <-e.clock.After(heartbeatPeriod):
		case <-ctx.Done():
			return handovers
		}
	}
}
