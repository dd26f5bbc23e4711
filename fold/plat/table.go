package plat

import (
	"context"
	"strings"
	"sync"

	"github.com/google/btree"

	"plantainfold.example/fold"
)

// btreeDegree is the degree of the B-tree that indexes the rows by key.
const btreeDegree = 32

// Table is an in-memory table service with an ordered index.
type Table struct {
	mu      sync.RWMutex
	rows    *btree.BTreeG[fold.Row]
	version int64
	history history
}

var _ fold.Table = &Table{}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: btree.NewG(btreeDegree, func(a, b fold.Row) bool { return a.Key < b.Key })}
}

// Get returns a row, or a NotFound error.
func (t *Table) Get(_ context.Context, key string) (fold.Row, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows.Get(fold.Row{Key: key})
	if !ok {
		return fold.Row{}, fold.Refuse(fold.NotFound, "check the key", "no row %q", key)
	}
	return row, nil
}

// Scan returns up to limit rows in key order. Their keys have the prefix and are greater than after. A limit of 0 returns
// all such rows.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []fold.Row
	t.rows.AscendGreaterOrEqual(fold.Row{Key: max(prefix, after)}, func(row fold.Row) bool {
		if !strings.HasPrefix(row.Key, prefix) {
			return false
		}
		if row.Key != after {
			found = append(found, row)
		}
		return limit <= 0 || len(found) < limit
	})
	return found, nil
}

// Commit applies the whole transaction and returns the version of the written rows, or it applies nothing and returns a
// Conflict error.
func (t *Table) Commit(_ context.Context, txn fold.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range txn.Checks {
		row, _ := t.rows.Get(fold.Row{Key: check.Key})
		if row.Version != check.Version {
			return 0, fold.ConflictOn(check.Key)
		}
	}
	t.version++
	for _, put := range txn.Puts {
		row := fold.Row{Key: put.Key, Value: append([]byte(nil), put.Value...), Version: t.version}
		t.rows.ReplaceOrInsert(row)
		t.history.add(fold.RowChange{Row: row})
	}
	for _, key := range txn.Deletes {
		if _, found := t.rows.Delete(fold.Row{Key: key}); found {
			t.history.add(fold.RowChange{Row: fold.Row{Key: key, Version: t.version}, Deleted: true})
		}
	}
	t.history.notify()
	return t.version, nil
}

// Rows returns the number of rows.
func (t *Table) Rows() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.rows.Len()
}
