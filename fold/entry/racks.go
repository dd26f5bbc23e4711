package entry

import (
	"context"
	"slices"
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
	if err := e.pruneWorkers(ctx, layout); err != nil {
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

// pruneWorkers removes workers that are gone from the rows of pools that this entry owns.
func (e *Entry) pruneWorkers(ctx context.Context, l *layout) error {
	e.noteUnlisted(l)
	for _, p := range e.allPools() {
		for _, rack := range l.pools[p.id] {
			kept := slices.DeleteFunc(slices.Clone(rack.Workers), func(name string) bool {
				return e.isGone(name) && !p.holds(name)
			})
			if len(kept) == len(rack.Workers) {
				continue
			}
			rack.Workers = kept
			if err := e.writeRack(ctx, l, rack); err != nil {
				return err
			}
		}
	}
	return nil
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
		for _, name := range rack.Workers {
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
