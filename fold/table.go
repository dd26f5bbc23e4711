package fold

import (
	"context"
	"time"
)

// Row is one record of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is set by the table service and grows with every commit.
	Version int64 `json:"version"`
}

// Check is a condition of a transaction: the row has this version, or is absent when Version is 0.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction that applies as a whole or not at all.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, or a NotFound error.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with the prefix and a key after the given one, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t and returns the version of its writes; a Conflict error means nothing was applied,
	// any other error leaves the outcome unknown.
	Commit(ctx context.Context, t Txn) (int64, error)
}

// ChangeFeed follows the changes of a Table. The first part of a key, up to a slash, is followed as a whole.
type ChangeFeed interface {
	// Snapshot returns all rows of a table and the version that they have at least.
	Snapshot(ctx context.Context, table string) ([]Row, int64, error)
	// Changes waits up to wait for changes after the version and returns them with the version to go on from; an Outdated
	// error means that the history is gone and a snapshot is needed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]RowChange, int64, error)
}
