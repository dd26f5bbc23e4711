package plat

import (
	"context"
	"sort"
	"strings"
	"sync"

	"plantainfold.example/fold"
)

// Table is an in-memory table service.
type Table struct {
	mu      sync.Mutex
	rows    map[string]fold.Row
	version int64
	stats   Stats
}

// Stats counts calls of a table.
type Stats struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Rows    int64 `json:"rows"`
}

var _ fold.Table = &Table{}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]fold.Row)}
}

// Get returns a row, or a NotFound error.
func (t *Table) Get(_ context.Context, key string) (fold.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	row, ok := t.rows[key]
	if !ok {
		return fold.Row{}, fold.Refuse(fold.NotFound, "check the key", "no row %q", key)
	}
	return row, nil
}

// Scan returns rows with the prefix after a key, in key order.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	var found []fold.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit applies t as a whole, or returns a Conflict error.
func (t *Table) Commit(_ context.Context, txn fold.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return 0, fold.Refuse(fold.Conflict, "read the row again and retry", "row %q changed", check.Key)
		}
	}
	t.version++
	t.stats.Commits++
	t.stats.Rows += int64(len(txn.Puts) + len(txn.Deletes))
	for _, put := range txn.Puts {
		t.rows[put.Key] = fold.Row{Key: put.Key, Value: append([]byte(nil), put.Value...), Version: t.version}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	return t.version, nil
}

// Stats returns the counts so far.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}
