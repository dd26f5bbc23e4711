package entry

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/spec"
	"plantainfold.example/fold/store"
)

// Apply replaces the manifest if the revision in force is still the expected one.
func (e *Entry) Apply(ctx context.Context, c fold.Caller, expected int64, text []byte) (fold.Revision, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, err
	}
	manifest, err := spec.Parse("manifest", text)
	if err != nil {
		return fold.Revision{}, err
	}
	return e.commitChange(ctx, c, func(head headRow) (edit, error) {
		if head.Revision != expected {
			return edit{}, e.outdatedError(ctx, expected, head)
		}
		return e.manifestEdit(ctx, c, head, manifest, text)
	})
}

// manifestEdit returns the edit that puts the manifest in force.
func (e *Entry) manifestEdit(ctx context.Context, c fold.Caller, head headRow, manifest spec.Manifest, text []byte) (edit, error) {
	if e.current.Load().number < head.Revision {
		if err := e.readHead(ctx); err != nil {
			return edit{}, err
		}
	}
	current := e.current.Load()
	if err := manifest.CheckChange(current.manifest); err != nil {
		return edit{}, err
	}
	changes, err := spec.Diff(current.manifest, manifest)
	if err != nil {
		return edit{}, err
	}
	limits, err := e.limitWrites(ctx, manifest)
	if err != nil {
		return edit{}, err
	}
	ed := edit{delta: delta{Text: text}, summary: spec.Summary(changes, maxSummary), writes: []fold.Txn{limits}}
	return ed, retireWrites(&ed, c, current, manifest)
}

// limitWrites returns the transaction that sets the limits of all teams. Teams that are no longer declared get a zero limit.
func (e *Entry) limitWrites(ctx context.Context, m spec.Manifest) (fold.Txn, error) {
	rows, err := store.Scan[quota.Split](ctx, e.table, store.LimitPrefix)
	if err != nil {
		return fold.Txn{}, err
	}
	old := make(map[string]owner.Versioned[quota.Split], len(rows))
	for _, row := range rows {
		old[row.Key] = row
	}
	var txn fold.Txn
	write := func(key string, limit fold.Resources) error {
		row := old[key]
		delete(old, key)
		if row.Version != 0 && row.Value.Limit == limit {
			return nil
		}
		put, err := store.EncodePut(key, row.Value.WithLimit(limit))
		txn.Checks = append(txn.Checks, fold.Check{Key: key, Version: row.Version})
		txn.Puts = append(txn.Puts, put)
		return err
	}
	for _, t := range m.Teams {
		if err := write(store.LimitPrefix+t.Name, t.Limit); err != nil {
			return fold.Txn{}, err
		}
	}
	for key := range old {
		if err := write(key, fold.Resources{}); err != nil {
			return fold.Txn{}, err
		}
	}
	return txn, nil
}
