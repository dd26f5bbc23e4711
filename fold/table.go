package fold

import (
	"context"
	"time"
)

// Row is one record of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is set by the table service and increases with every commit.
	Version int64 `json:"version"`
}

// Check is a condition of a transaction. It requires that the row has this version, or does not exist if Version is 0.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is an atomic transaction. It is applied only if all its checks hold.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, or a NotFound error.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows in key order. Their keys have the prefix and are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t and returns the version of the written rows. A Conflict error proves that nothing was applied. After
	// any other error the transaction may have been applied.
	Commit(ctx context.Context, t Txn) (int64, error)
}

// ChangeFeed reads the changes of a Table. The part of a key up to its first slash, with the slash, names the table to
// follow.
type ChangeFeed interface {
	// Snapshot returns all rows of a table and a version such that the rows contain every change up to it.
	Snapshot(ctx context.Context, table string) ([]Row, int64, error)
	// Changes waits up to wait for changes after the version. It returns them and the version to pass to the next call. An
	// Outdated error means that the history no longer reaches back to the version and a new snapshot is needed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]RowChange, int64, error)
}
