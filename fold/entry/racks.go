package entry

import (
	"context"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/store"
)

// removalDelay is how long a worker must be absent from the instance list before it counts as removed.
const removalDelay = 60 * time.Second

// updateRacks records racks and workers that are new in the instance list, and tells the membership machine which units
// exist. A worker is used only once it is recorded, so that the next owner of its pool knows of it even if the instance
// list of that owner is older.
func (e *Entry) updateRacks(ctx context.Context) error {
	e.racksMu.Lock()
	defer e.racksMu.Unlock()
	rows, err := store.Scan[rackRow](ctx, e.table, store.RackPrefix)
	if err != nil {
		return err
	}
	layout := newLayout(rows, e.current.Load().manifest.RacksPerPool())
	if err := e.recordWorkers(ctx, layout); err != nil {
		return err
	}
	if err := e.updateOwnedRacks(ctx, layout); err != nil {
		return err
	}
	specs := layout.specs()
	for n := range once.Ranges {
		specs = append(specs, owner.Spec{ID: claimUnit(n)})
	}
	e.withMachine(func(m *owner.Machine) { m.SetSpecs(specs) })
	e.setMembers(layout)
	return nil
}

// recordWorkers writes the rows of racks that have unrecorded workers. It does nothing before the first manifest, which
// sets the number of racks in a pool.
func (e *Entry) recordWorkers(ctx context.Context, l *layout) error {
	var eligible bool
	e.withMachine(func(m *owner.Machine) { eligible = m.Eligible(e.clock.Now()) })
	if !eligible || e.current.Load().number == 0 {
		return nil
	}
	for _, row := range l.unrecorded(*e.instances.Load()) {
		if err := e.writeRack(ctx, l, row); err != nil {
			return err
		}
	}
	return nil
}

// updateOwnedRacks updates the rack rows of the pools that this entry owns.
func (e *Entry) updateOwnedRacks(ctx context.Context, l *layout) error {
	e.trackUnlisted(l)
	for _, p := range e.allPools() {
		if err := e.updatePoolRacks(ctx, l, p); err != nil {
			return err
		}
	}
	return nil
}

// updatePoolRacks updates the rack rows of one pool.
func (e *Entry) updatePoolRacks(ctx context.Context, l *layout, p *pool) error {
	for _, rack := range l.pools[p.id] {
		next := e.updatedRack(p, rack)
		if maps.Equal(next.Workers, rack.Workers) {
			continue
		}
		if err := e.writeRack(ctx, l, next); err != nil {
			return err
		}
	}
	return nil
}

// recordBoots records the boot ids of the pool's workers, so that the next owner does not report tasks of this owner as
// unknown.
func (e *Entry) recordBoots(ctx context.Context, p *pool) error {
	e.racksMu.Lock()
	defer e.racksMu.Unlock()
	rows, err := store.Scan[rackRow](ctx, e.table, store.RackPrefix)
	if err != nil {
		return err
	}
	return e.updatePoolRacks(ctx, newLayout(rows, 1), p)
}

// updatedRack returns the row of a rack without removed workers and with the boot ids of adopted ones.
func (e *Entry) updatedRack(p *pool, rack rackRow) rackRow {
	next := rack
	for name, recorded := range rack.Workers {
		boot, held := p.boot(name)
		switch {
		case e.isRemoved(name) && !held:
			next = next.withoutWorker(name)
		case boot != "" && boot != recorded:
			next = next.withWorker(name, boot)
		}
	}
	return next
}

// writeRack replaces the row of a rack. If another entry has changed the row, the next call of updateRacks tries again.
func (e *Entry) writeRack(ctx context.Context, l *layout, row rackRow) error {
	version, err := store.Replace(ctx, e.table, row.key(), l.versions[row.key()], row)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	if err == nil {
		l.add(row, version)
	}
	return err
}

// trackUnlisted updates the times since which recorded workers are absent from the instance list.
func (e *Entry) trackUnlisted(l *layout) {
	now := e.clock.Now()
	listed := make(map[string]bool)
	for _, in := range *e.instances.Load() {
		listed[in.Name] = true
	}
	unlisted := make(map[string]fold.Instant)
	for _, rack := range l.racks {
		for name := range rack.Workers {
			if listed[name] {
				continue
			}
			since, known := e.unlistedSince[name]
			if !known {
				since = now
			}
			unlisted[name] = since
		}
	}
	e.unlistedSince = unlisted
}

// isRemoved reports whether a recorded worker has been absent from the instance list for removalDelay; e.racksMu is held.
func (e *Entry) isRemoved(name string) bool {
	since, absent := e.unlistedSince[name]
	return absent && e.clock.Now().Sub(since) >= removalDelay
}
