package entry

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
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
)

// memberStep renews the entry's row, reads the rows of others and takes what is its own.
func (e *Entry) memberStep(ctx context.Context) {
	if err := e.scanEntries(ctx); err != nil {
		e.log.Warn("Cannot read the entries.", "error", err)
	} else if err := e.renew(ctx); err != nil {
		e.log.Warn("Cannot renew the entry.", "error", err)
	}
	if err := e.readHead(ctx); err != nil {
		e.log.Warn("Cannot read the configuration.", "error", err)
	}
	if err := e.scanUnits(ctx); err != nil {
		e.log.Warn("Cannot read the owners.", "error", err)
	}
	e.member(func(m *owner.Machine) { m.Tick(e.clock.Now()) })
	if err := e.carryOut(ctx); err != nil {
		e.log.Warn("Cannot change the owners.", "error", err)
	}
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
	e.member(func(m *owner.Machine) { plan = m.Renewal(e.clock.Now()) })
	if !plan.Due {
		return nil
	}
	sent := e.clock.Now()
	version, err := store.Replace(ctx, e.table, store.EntryPrefix+plan.Row.ID, plan.Version, plan.Row)
	if errorx.IsOfType(err, fold.Conflict) {
		e.log.Warn("Another entry fenced this one. Joining again.")
		e.member(func(m *owner.Machine) { m.LostRow(uuid.NewString()) })
		return nil
	}
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) { m.Renewed(sent, plan.Row, version) })
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

// carryOut writes what the membership plans.
func (e *Entry) carryOut(ctx context.Context) error {
	var plan owner.Plan
	var self owner.Entry
	e.member(func(m *owner.Machine) {
		plan = m.Plan(e.clock.Now())
		self = m.Self()
	})
	for _, f := range plan.Fences {
		e.log.Info("Fencing an entry whose row has not changed.", "entry", f.Row.Value.ID)
		_, err := store.Replace(ctx, e.table, f.Row.Key, f.Row.Version, f.Row.Value.WithState(owner.StateFenced))
		if err != nil && !errorx.IsOfType(err, fold.Conflict) {
			return err
		}
	}
	for len(plan.Takes) > 0 {
		n := min(len(plan.Takes), maxTakes)
		if err := e.take(ctx, self, plan.Takes[:n]); err != nil {
			return err
		}
		plan.Takes = plan.Takes[n:]
	}
	return e.give(ctx, plan.Gives)
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
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) {
		for _, t := range takes {
			m.Took(t.Unit, t.RowOf(self), version)
		}
	})
	e.log.Info("Took units.", "count", len(takes), "first", takes[0].Unit, "epoch", version)
	return nil
}

// give stops each unit here before the row names the next owner.
func (e *Entry) give(ctx context.Context, gives []owner.Give) error {
	for _, g := range gives {
		e.stopUnit(ctx, g.Unit)
		next := owner.Unit{Owner: g.To.ID, Incarnation: g.To.Incarnation}
		version, err := store.Replace(ctx, e.table, g.Unit, g.Version, next)
		if err != nil && !errorx.IsOfType(err, fold.Conflict) {
			return err
		}
		if err == nil {
			e.member(func(m *owner.Machine) { m.Gave(g.Unit, next, version) })
			e.log.Info("Handed a unit over.", "unit", g.Unit, "to", g.To.ID)
		}
	}
	return nil
}

// handOver gives all units away and marks the entry as left, for a planned stop.
func (e *Entry) handOver(ctx context.Context) {
	var gives []owner.Give
	e.member(func(m *owner.Machine) {
		m.Leave()
		gives = m.Gives(e.clock.Now())
	})
	if err := e.give(ctx, gives); err != nil {
		e.log.Warn("Cannot hand over all units. They are taken once this entry is fenced.", "error", err)
		return
	}
	var plan owner.Renewal
	e.member(func(m *owner.Machine) { plan = m.Renewal(e.clock.Now()) })
	if !plan.Due {
		return
	}
	left := plan.Row.WithState(owner.StateLeft)
	if _, err := store.Replace(ctx, e.table, store.EntryPrefix+left.ID, plan.Version, left); err != nil {
		e.log.Warn("Cannot mark the entry as left.", "error", err)
	}
}

// syncUnits starts and stops pools and claim ranges to match what the entry owns.
func (e *Entry) syncUnits() {
	var owned map[string]owner.Holding
	e.member(func(m *owner.Machine) { owned = m.Owned() })
	e.syncPools(owned)
	e.claims.sync(owned)
}

func (e *Entry) stopUnit(ctx context.Context, unit string) {
	if id, ok := strings.CutPrefix(unit, store.PoolPrefix); ok {
		e.stopPool(ctx, id)
		return
	}
	e.claims.drop(unit)
}

// beatStep exchanges heartbeats with all registered peers.
func (e *Entry) beatStep(ctx context.Context) {
	var peers []owner.Entry
	e.member(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	beat := e.heartbeat()
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for _, p := range peers {
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTime)
			defer cancel()
			answer, err := peer.Call[owner.Beat, owner.Beat](callCtx, e.node, p.Address, kindBeat, beat)
			if err != nil {
				e.log.Debug("No heartbeat.", "peer", p.ID, "error", err)
				return nil
			}
			e.member(func(m *owner.Machine) { m.Heard(e.clock.Now(), answer) })
			return nil
		})
	}
	_ = calls.Wait()
}

func (e *Entry) heartbeat() owner.Beat {
	var beat owner.Beat
	e.member(func(m *owner.Machine) { beat = m.Beat(e.clock.Now(), e.current.Load().number) })
	beat.Pools = e.headroom()
	return beat
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

// assignRacks records the pool of each rack that has none yet and tells the membership which units exist.
func (e *Entry) assignRacks(ctx context.Context) error {
	rows, err := store.Scan[rackRow](ctx, e.table, store.RackPrefix)
	if err != nil {
		return err
	}
	layout := newLayout(rows, e.current.Load().manifest.RacksPerPool())
	for _, in := range *e.instances.Load() {
		if in.Role == fold.RoleWorker && layout.poolOf(in) == "" {
			if err := e.assignRack(ctx, layout, in); err != nil {
				return err
			}
		}
	}
	specs := layout.specs()
	for n := range once.Ranges {
		specs = append(specs, owner.Spec{ID: claimUnit(n)})
	}
	e.member(func(m *owner.Machine) { m.SetSpecs(specs) })
	e.setMembers(layout)
	return nil
}

func (e *Entry) assignRack(ctx context.Context, l *layout, in fold.Instance) error {
	var eligible bool
	e.member(func(m *owner.Machine) { eligible = m.Eligible(e.clock.Now()) })
	if !eligible {
		return nil
	}
	row := l.choose(in)
	_, err := store.Replace(ctx, e.table, row.key(), 0, row)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	if err == nil {
		l.add(row)
	}
	return err
}
