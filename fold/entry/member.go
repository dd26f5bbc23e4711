package entry

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/store"
)

const (
	// membershipPeriod is the time between two steps of the membership loop.
	membershipPeriod = time.Second
	// heartbeatPeriod is the time between two heartbeats to a peer.
	heartbeatPeriod = 500 * time.Millisecond
	// fleetPeriod is the time between two reads of the instance list.
	fleetPeriod = 2 * time.Second
	// peerTimeout is the timeout of a call to a peer.
	peerTimeout = time.Second
	// closeTimeout is the timeout for handing over all units in a planned stop.
	closeTimeout = 10 * time.Second
	// maxUnitsPerTxn is the maximum number of units in one transaction that changes owners.
	maxUnitsPerTxn = 32
	// maxPeerCalls is the maximum number of concurrent calls to peers for one purpose.
	maxPeerCalls = 32
	// maxHeartbeats is the maximum number of heartbeats under way.
	maxHeartbeats = 256
	// majorityTimeout is the maximum time to wait until a majority of the entries knows a new revision.
	majorityTimeout = 3 * time.Second
	// successorTimeout is the maximum time to wait for a peer that can receive units. A peer needs contact for TTL and a
	// membership view that names it.
	successorTimeout = 7 * time.Second
	// majorityPollPeriod is the time between two checks whether a majority knows a new revision.
	majorityPollPeriod = 20 * time.Millisecond
)

// membershipStep reads the rows of the entries, the configuration, the membership view and the owners of units, renews the
// row of this entry and carries out the changes of owners that follow.
func (e *Entry) membershipStep(ctx context.Context) {
	e.flushPools()
	if err := e.scanEntries(ctx); err != nil {
		e.logError("Cannot read the rows of the entries.", err)
	} else {
		e.logError("Cannot renew the row of the entry.", e.renew(ctx))
	}
	e.logError("Cannot read the configuration.", e.readHead(ctx))
	e.logError("Cannot read the membership view.", e.readView(ctx))
	e.logError("Cannot read the owners of units.", e.scanUnits(ctx))
	e.withMachine(func(m *owner.Machine) { m.Tick(e.clock.Now()) })
	e.logError("Cannot change the owners of units.", e.executePlan(ctx))
	e.syncUnits()
}

// withMachine calls fn with machineMu held.
func (e *Entry) withMachine(fn func(*owner.Machine)) {
	e.machineMu.Lock()
	defer e.machineMu.Unlock()
	fn(e.machine)
}

// scanEntries reads the rows of all entries.
func (e *Entry) scanEntries(ctx context.Context) error {
	rows, err := store.Scan[owner.Entry](ctx, e.table, store.EntryPrefix)
	if err != nil {
		return err
	}
	e.withMachine(func(m *owner.Machine) { m.RecordEntries(e.clock.Now(), rows) })
	return nil
}

// renew writes the row of this entry when that is due. It replaces the row of an earlier incarnation only once that row
// has not changed for TTL.
func (e *Entry) renew(ctx context.Context) error {
	var plan owner.Renewal
	var lost bool
	e.withMachine(func(m *owner.Machine) {
		if lost = m.IncarnationLost(); lost {
			m.RestartAs(uuid.NewString())
		}
		plan = m.Renewal(e.clock.Now())
	})
	if lost {
		// The units of the fenced incarnation are closed before the new incarnation gets standing.
		e.log.Warn("Another entry fenced this entry. Joining with a new incarnation.")
		e.syncUnits()
	}
	if !plan.Due {
		return nil
	}
	sent := e.clock.Now()
	version, err := store.Replace(ctx, e.table, store.EntryPrefix+plan.Row.ID, plan.Version, plan.Row)
	if errorx.IsOfType(err, fold.Conflict) {
		// Reading the row shows whether another entry wrote it or an earlier renewal by this entry arrived late.
		return e.scanEntries(ctx)
	}
	if err != nil {
		return err
	}
	e.withMachine(func(m *owner.Machine) { m.RecordRenewal(sent, plan.Row, version) })
	return nil
}

// readView reads the membership view.
func (e *Entry) readView(ctx context.Context) error {
	sent := e.clock.Now()
	row, err := store.Get[owner.View](ctx, e.table, owner.ViewKey)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		return err
	}
	e.withMachine(func(m *owner.Machine) { m.RecordView(sent, row) })
	return nil
}

// scanUnits updates the rows of racks and reads the owners of all units.
func (e *Entry) scanUnits(ctx context.Context) error {
	if err := e.updateRacks(ctx); err != nil {
		return err
	}
	pools, err := store.Scan[owner.Unit](ctx, e.table, store.PoolPrefix)
	if err != nil {
		return err
	}
	ranges, err := store.Scan[owner.Unit](ctx, e.table, store.OncePrefix)
	if err != nil {
		return err
	}
	e.withMachine(func(m *owner.Machine) { m.RecordUnits(append(pools, ranges...)) })
	return nil
}

// executePlan carries out the plan of the membership machine. Afterwards it reads the owners again, because only the rows
// show who owns a unit.
func (e *Entry) executePlan(ctx context.Context) error {
	var plan owner.Plan
	var self owner.Entry
	e.withMachine(func(m *owner.Machine) {
		plan = m.Plan(e.clock.Now())
		self = m.Self()
	})
	if plan.Change != nil {
		return e.changeView(ctx, *plan.Change)
	}
	if len(plan.Deletions) > 0 {
		if err := e.deleteEntryRows(ctx, plan.Deletions); err != nil {
			return err
		}
	}
	if len(plan.TakeOvers)+len(plan.HandOvers) == 0 {
		return nil
	}
	for batch := range slices.Chunk(plan.TakeOvers, maxUnitsPerTxn) {
		if err := e.acquireUnits(ctx, self, batch); err != nil {
			return err
		}
	}
	if err := e.handOverUnits(ctx, plan.HandOvers); err != nil {
		return err
	}
	return e.scanUnits(ctx)
}

// changeView replaces the membership view and fences the entries that are dropped from it, in one transaction.
func (e *Entry) changeView(ctx context.Context, c owner.Change) error {
	put, err := store.EncodePut(owner.ViewKey, c.View)
	if err != nil {
		return err
	}
	txn := fold.Txn{Checks: []fold.Check{{Key: owner.ViewKey, Version: c.Version}}, Puts: []fold.Put{put}}
	for _, f := range c.Fences {
		e.log.Info("Fencing an entry that has stopped renewing its row.", "entry", f.Value.ID)
		put, err := store.EncodePut(f.Key, f.Value.WithState(owner.StateFenced))
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: f.Key, Version: f.Version})
		txn.Puts = append(txn.Puts, put)
	}
	if _, err := e.table.Commit(ctx, txn); err != nil && !errorx.IsOfType(err, fold.Conflict) {
		return err
	}
	return e.readView(ctx)
}

// deleteEntryRows deletes the rows of entries that ended long ago.
func (e *Entry) deleteEntryRows(ctx context.Context, rows []owner.Versioned[owner.Entry]) error {
	var txn fold.Txn
	for _, row := range rows {
		txn.Checks = append(txn.Checks, fold.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	_, err := e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	return err
}

// acquireUnits makes this entry the owner of units.
func (e *Entry) acquireUnits(ctx context.Context, self owner.Entry, units []owner.TakeOver) error {
	var txn fold.Txn
	for _, t := range units {
		put, err := store.EncodePut(t.Unit, t.RowOf(self))
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: t.Unit, Version: t.Version})
		txn.Puts = append(txn.Puts, put)
	}
	version, err := e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	e.log.Info("Became the owner of units.", "count", len(units), "first", units[0].Unit, "epoch", version)
	return nil
}

// syncUnits opens and closes pools and claim ranges so that they match the units that the entry owns.
func (e *Entry) syncUnits() {
	var owned map[string]owner.Holding
	e.withMachine(func(m *owner.Machine) { owned = m.Owned() })
	e.syncPools(owned)
	e.claims.syncBooks(owned)
}

// fleetStep reads the instance list from the platform.
func (e *Entry) fleetStep(ctx context.Context) {
	list, err := e.platform.Fleet.Instances(ctx)
	if err != nil {
		e.log.Warn("Cannot read the instance list. Keeping the last one.", "error", err)
		return
	}
	var names []string
	for _, in := range list {
		if in.Role == fold.RoleEntry {
			names = append(names, in.Name)
		}
	}
	e.withMachine(func(m *owner.Machine) { m.RecordInstances(e.clock.Now(), names) })
	e.revisionMu.Lock()
	defer e.revisionMu.Unlock()
	e.platformInstances.Store(&list)
	e.applyDrains(e.current.Load().drains)
}
