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

// goneTime is how long a worker must be absent from the instance list before it counts as gone.
const goneTime = 60 * time.Second

// assignRacks records racks and workers that are new in the instance list, and tells the membership which units exist.
// A worker is used only once it is recorded, so that the next owner of its pool knows of it even if the list lags there.
func (e *Entry) assignRacks(ctx context.Context) error {
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
	if err := e.reviewWorkers(ctx, layout); err != nil {
		return err
	}
	specs := layout.specs()
	for n := range once.Ranges {
		specs = append(specs, owner.Spec{ID: claimUnit(n)})
	}
	e.member(func(m *owner.Machine) { m.SetSpecs(specs) })
	e.setMembers(layout)
	return nil
}

// recordWorkers writes the racks that have workers which are not recorded. Racks wait for the first manifest, which says
// how many of them form a pool.
func (e *Entry) recordWorkers(ctx context.Context, l *layout) error {
	var eligible bool
	e.member(func(m *owner.Machine) { eligible = m.Eligible(e.clock.Now()) })
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

// reviewWorkers brings the rows of pools that this entry owns up to date.
func (e *Entry) reviewWorkers(ctx context.Context, l *layout) error {
	e.noteUnlisted(l)
	for _, p := range e.allPools() {
		if err := e.reviewPool(ctx, l, p); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) reviewPool(ctx context.Context, l *layout, p *pool) error {
	for _, rack := range l.pools[p.id] {
		next := e.reviewRack(p, rack)
		if maps.Equal(next.Workers, rack.Workers) {
			continue
		}
		if err := e.writeRack(ctx, l, next); err != nil {
			return err
		}
	}
	return nil
}

// recordBoots writes what the pool knows of its workers, so that the next owner does not report work of this one as unknown.
func (e *Entry) recordBoots(ctx context.Context, p *pool) error {
	e.racksMu.Lock()
	defer e.racksMu.Unlock()
	rows, err := store.Scan[rackRow](ctx, e.table, store.RackPrefix)
	if err != nil {
		return err
	}
	return e.reviewPool(ctx, newLayout(rows, 1), p)
}

// reviewRack returns the row of a rack without workers that are gone and with the boots of those that are adopted.
func (e *Entry) reviewRack(p *pool, rack rackRow) rackRow {
	next := rack
	for name, recorded := range rack.Workers {
		boot, held := p.boot(name)
		switch {
		case e.isGone(name) && !held:
			next = next.withoutWorker(name)
		case boot != "" && boot != recorded:
			next = next.withWorker(name, boot)
		}
	}
	return next
}

// writeRack replaces the row of a rack; a row that another entry has changed is left to the next round.
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

// noteUnlisted remembers since when recorded workers are absent from the instance list.
func (e *Entry) noteUnlisted(l *layout) {
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
			since, known := e.unlisted[name]
			if !known {
				since = now
			}
			unlisted[name] = since
		}
	}
	e.unlisted = unlisted
}

// isGone reports whether a recorded worker has been absent from the instance list for goneTime; e.racksMu is held.
func (e *Entry) isGone(name string) bool {
	since, absent := e.unlisted[name]
	return absent && e.clock.Now().Sub(since) >= goneTime
}
