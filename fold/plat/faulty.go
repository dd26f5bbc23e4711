package plat

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

// FaultyTable is a Table with the faults of a switch.
type FaultyTable struct {
	table  fold.Table
	faults *Switch
}

var _ fold.Table = &FaultyTable{}

// NewFaultyTable returns t with the faults of s.
func NewFaultyTable(t fold.Table, s *Switch) *FaultyTable {
	return &FaultyTable{table: t, faults: s}
}

// Get returns a row.
func (t *FaultyTable) Get(ctx context.Context, key string) (fold.Row, error) {
	return through(ctx, t.faults, false, func(ctx context.Context) (fold.Row, error) { return t.table.Get(ctx, key) })
}

// Scan returns rows with the prefix.
func (t *FaultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	return through(ctx, t.faults, false, func(ctx context.Context) ([]fold.Row, error) {
		return t.table.Scan(ctx, prefix, after, limit)
	})
}

// Commit applies a transaction.
func (t *FaultyTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	return through(ctx, t.faults, true, func(ctx context.Context) (int64, error) { return t.table.Commit(ctx, txn) })
}

// FaultyObjects is an object store with the faults of a switch.
type FaultyObjects struct {
	objects fold.Objects
	faults  *Switch
}

var _ fold.Objects = &FaultyObjects{}

// NewFaultyObjects returns o with the faults of s.
func NewFaultyObjects(o fold.Objects, s *Switch) *FaultyObjects {
	return &FaultyObjects{objects: o, faults: s}
}

// Put writes a whole object.
func (o *FaultyObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := through(ctx, o.faults, true, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Put(ctx, key, body)
	})
	return err
}

// Get returns a whole object.
func (o *FaultyObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return through(ctx, o.faults, false, func(ctx context.Context) ([]byte, error) { return o.objects.Get(ctx, key) })
}

// List returns the keys with the prefix.
func (o *FaultyObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return through(ctx, o.faults, false, func(ctx context.Context) ([]string, error) { return o.objects.List(ctx, prefix) })
}

// Delete removes an object.
func (o *FaultyObjects) Delete(ctx context.Context, key string) error {
	_, err := through(ctx, o.faults, true, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.objects.Delete(ctx, key)
	})
	return err
}

// FaultyLog is the history of a table with faults.
type FaultyLog struct {
	log    fold.ChangeFeed
	faults *Switch
}

var _ fold.ChangeFeed = &FaultyLog{}

// NewFaultyLog returns the history with the faults of the switch.
func NewFaultyLog(l fold.ChangeFeed, s *Switch) *FaultyLog {
	return &FaultyLog{log: l, faults: s}
}

// followed is the result of a call to a history.
type followed[T any] struct {
	rows    []T
	version int64
}

// Snapshot returns all rows of a table and the version of the whole.
func (l *FaultyLog) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	out, err := through(ctx, l.faults, false, func(ctx context.Context) (followed[fold.Row], error) {
		rows, version, err := l.log.Snapshot(ctx, table)
		return followed[fold.Row]{rows, version}, err
	})
	return out.rows, out.version, err
}

// Changes waits for changes of a table after the version.
func (l *FaultyLog) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	out, err := through(ctx, l.faults, false, func(ctx context.Context) (followed[fold.RowChange], error) {
		rows, version, err := l.log.Changes(ctx, table, after, wait)
		return followed[fold.RowChange]{rows, version}, err
	})
	return out.rows, out.version, err
}
