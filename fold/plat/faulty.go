package plat

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

// FaultyTable is a Table with injected faults.
type FaultyTable struct {
	table  fold.Table
	faults *Faults
}

var _ fold.Table = &FaultyTable{}

// NewFaultyTable returns a Table that passes calls to t with the given faults.
func NewFaultyTable(t fold.Table, faults *Faults) *FaultyTable {
	return &FaultyTable{table: t, faults: faults}
}

// Get returns a row.
func (t *FaultyTable) Get(ctx context.Context, key string) (fold.Row, error) {
	return callWithFault(ctx, t.faults, false, func(ctx context.Context) (fold.Row, error) { return t.table.Get(ctx, key) })
}

// Scan returns up to limit rows with the prefix whose keys are greater than after.
func (t *FaultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	return callWithFault(ctx, t.faults, false, func(ctx context.Context) ([]fold.Row, error) {
		return t.table.Scan(ctx, prefix, after, limit)
	})
}

// Commit applies a transaction.
func (t *FaultyTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	return callWithFault(ctx, t.faults, true, func(ctx context.Context) (int64, error) { return t.table.Commit(ctx, txn) })
}

// FaultyObjects is an object store with injected faults.
type FaultyObjects struct {
	objects fold.Objects
	faults  *Faults
}

var _ fold.Objects = &FaultyObjects{}

// NewFaultyObjects returns an object store that passes calls to o with the given faults.
func NewFaultyObjects(o fold.Objects, faults *Faults) *FaultyObjects {
	return &FaultyObjects{objects: o, faults: faults}
}

// Put writes a whole object.
func (o *FaultyObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := callWithFault(ctx, o.faults, true, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Put(ctx, key, body)
	})
	return err
}

// Get returns a whole object.
func (o *FaultyObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return callWithFault(ctx, o.faults, false, func(ctx context.Context) ([]byte, error) { return o.objects.Get(ctx, key) })
}

// List returns the keys with the prefix.
func (o *FaultyObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return callWithFault(ctx, o.faults, false, func(ctx context.Context) ([]string, error) { return o.objects.List(ctx, prefix) })
}

// Delete removes an object.
func (o *FaultyObjects) Delete(ctx context.Context, key string) error {
	_, err := callWithFault(ctx, o.faults, true, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Delete(ctx, key)
	})
	return err
}

// FaultyChangeFeed is a change feed with injected faults.
type FaultyChangeFeed struct {
	feed   fold.ChangeFeed
	faults *Faults
}

var _ fold.ChangeFeed = &FaultyChangeFeed{}

// NewFaultyChangeFeed returns a change feed that passes calls to feed with the given faults.
func NewFaultyChangeFeed(feed fold.ChangeFeed, faults *Faults) *FaultyChangeFeed {
	return &FaultyChangeFeed{feed: feed, faults: faults}
}

// feedResult holds the rows or changes that a call of a change feed returned, and their version.
type feedResult[T any] struct {
	items   []T
	version int64
}

// Snapshot returns all rows of a table and a version such that the rows contain every change up to it.
func (f *FaultyChangeFeed) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	out, err := callWithFault(ctx, f.faults, false, func(ctx context.Context) (feedResult[fold.Row], error) {
		rows, version, err := f.feed.Snapshot(ctx, table)
		return feedResult[fold.Row]{rows, version}, err
	})
	return out.items, out.version, err
}

// Changes returns the changes of a table after the version. If there are none, it waits for them, at most for the time wait.
func (f *FaultyChangeFeed) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	out, err := callWithFault(ctx, f.faults, false, func(ctx context.Context) (feedResult[fold.RowChange], error) {
		changes, version, err := f.feed.Changes(ctx, table, after, wait)
		return feedResult[fold.RowChange]{changes, version}, err
	})
	return out.items, out.version, err
}
