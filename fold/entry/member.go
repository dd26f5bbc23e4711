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

// Periods of the loops.
const (
	memberPeriod = time.Second
	beatPeriod   = 500 * time.Millisecond
	fleetPeriod  = 2 * time.Second
	peerTime     = time.Second
	closeTime    = 10 * time.Second
	// maxTakes bounds the units taken in one transaction.
	maxTakes = 32
	maxCalls = 32
	// maxBeats bounds the heartbeats under way.
	maxBeats     = 256
	announceTime = 3 * time.Second
	// heirTime bounds the wait for a peer that can take units; a peer needs TTL of contact and a view that names it.
	heirTime       = 7 * time.Second
	announcePeriod = 20 * time.Millisecond
)

// memberStep renews the entry's row, reads the rows of others and takes what is its own.
func (e *Entry) memberStep(ctx context.Context) {
	e.flushPools()
	if err := e.scanEntries(ctx); err != nil {
		e.report("Cannot read the entries.", err)
	} else {
		e.report("Cannot renew the entry.", e.renew(ctx))
	}
	e.report("Cannot read the configuration.", e.readHead(ctx))
	e.report("Cannot read the view.", e.readView(ctx))
	e.report("Cannot read the owners.", e.scanUnits(ctx))
	e.member(func(m *owner.Machine) { m.Tick(e.clock.Now()) })
	e.report("Cannot change the owners.", e.carryOut(ctx))
	e.syncUnits()
}

// member runs fn with the membership locked.
func (e *Entry) member(fn func(*owner.Machine)) {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	fn(e.machine)
}

func (e *Entry) scanEntries(ctx context.Context) error {
	rows, err := store.Scan[owner.Entry](ctx, e.table, store.EntryPrefix)
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) { m.SawEntries(e.clock.Now(), rows) })
	return nil
}

// renew writes the entry's row. A row of an earlier incarnation is replaced only once it has not changed for TTL.
func (e *Entry) renew(ctx context.Context) error {
	var plan owner.Renewal
	var lost bool
	e.member(func(m *owner.Machine) {
		if lost = m.Lost(); lost {
			m.LostRow(uuid.NewString())
		}
		plan = m.Renewal(e.clock.Now())
	})
	if lost {
		// What the lost incarnation owned is closed before the new one gets standing.
		e.log.Warn("Another entry fenced this one. Joining again.")
		e.syncUnits()
	}
	if !plan.Due {
		return nil
	}
	sent := e.clock.Now()
	version, err := store.Replace(ctx, e.table, store.EntryPrefix+plan.Row.ID, plan.Version, plan.Row)
	if errorx.IsOfType(err, fold.Conflict) {
		// The row shows whether another entry wrote it or a late renewal of this one.
		return e.scanEntries(ctx)
	}
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) { m.Renewed(sent, plan.Row, version) })
	return nil
}

func (e *Entry) readView(ctx context.Context) error {
	sent := e.clock.Now()
	row, err := store.Get[owner.View](ctx, e.table, owner.ViewKey)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		return err
	}
	e.member(func(m *owner.Machine) { m.SawView(sent, row) })
	return nil
}

func (e *Entry) scanUnits(ctx context.Context) error {
	if err := e.assignRacks(ctx); err != nil {
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
	e.member(func(m *owner.Machine) { m.SawUnits(append(pools, ranges...)) })
	return nil
}

// carryOut writes what the membership plans, then reads the owners again, because only the rows show who owns a unit.
func (e *Entry) carryOut(ctx context.Context) error {
	var plan owner.Plan
	var self owner.Entry
	e.member(func(m *owner.Machine) {
		plan = m.Plan(e.clock.Now())
		self = m.Self()
	})
	if plan.Change != nil {
		return e.changeView(ctx, *plan.Change)
	}
	if len(plan.Drops) > 0 {
		if err := e.dropRows(ctx, plan.Drops); err != nil {
			return err
		}
	}
	if len(plan.Takes)+len(plan.Gives) == 0 {
		return nil
	}
	for takes := range slices.Chunk(plan.Takes, maxTakes) {
		if err := e.take(ctx, self, takes); err != nil {
			return err
		}
	}
	if err := e.give(ctx, plan.Gives); err != nil {
		return err
	}
	return e.scanUnits(ctx)
}

// changeView replaces the view and fences the entries that leave it, in one transaction.
func (e *Entry) changeView(ctx context.Context, c owner.Change) error {
	put, err := store.PutOf(owner.ViewKey, c.View)
	if err != nil {
		return err
	}
	txn := fold.Txn{Checks: []fold.Check{{Key: owner.ViewKey, Version: c.Version}}, Puts: []fold.Put{put}}
	for _, f := range c.Fences {
		e.log.Info("Fencing an entry whose row has not changed.", "entry", f.Value.ID)
		put, err := store.PutOf(f.Key, f.Value.WithState(owner.StateFenced))
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

// dropRows deletes the rows of entries that ended long ago.
func (e *Entry) dropRows(ctx context.Context, rows []owner.Seen[owner.Entry]) error {
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

func (e *Entry) take(ctx context.Context, self owner.Entry, takes []owner.Take) error {
	var txn fold.Txn
	for _, t := range takes {
		put, err := store.PutOf(t.Unit, t.RowOf(self))
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
	e.log.Info("Took units.", "count", len(takes), "first", takes[0].Unit, "epoch", version)
	return nil
}

// syncUnits starts and stops pools and claim ranges to match what the entry owns.
func (e *Entry) syncUnits() {
	var owned map[string]owner.Holding
	e.member(func(m *owner.Machine) { owned = m.Owned() })
	e.syncPools(owned)
	e.claims.sync(owned)
}

// fleetStep reads the instance list.
func (e *Entry) fleetStep(ctx context.Context) {
	list, err := e.platform.Fleet.Instances(ctx)
	if err != nil {
		e.log.Warn("Cannot read the instance list. Using the last one.", "error", err)
		return
	}
	e.listed.Store(&list)
	var names []string
	for _, in := range list {
		if in.Role == fold.RoleEntry {
			names = append(names, in.Name)
		}
	}
	e.member(func(m *owner.Machine) { m.Listed(e.clock.Now(), names) })
	e.applyDrains()
}
