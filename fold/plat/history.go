package plat

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
)

const (
	// maxHistoryChanges is how many changes a table keeps for its change feed.
	maxHistoryChanges = 10000
	// maxExcessChanges is how many more changes may wait to be discarded together.
	maxExcessChanges = 1000
)

// history keeps the latest changes of a table in the order of their versions.
type history struct {
	changes []fold.RowChange
	// discarded is the version up to which changes may have been discarded.
	discarded int64
	// changed is closed and replaced at each commit.
	changed chan struct{}
}

var _ fold.ChangeFeed = &Table{}

// add appends a change. The caller must hold the lock of the table.
func (h *history) add(change fold.RowChange) {
	h.changes = append(h.changes, change)
	if excess := len(h.changes) - maxHistoryChanges; excess > maxExcessChanges {
		h.discarded = h.changes[excess-1].Version
		h.changes = slices.Delete(h.changes, 0, excess)
	}
}

// notify wakes the callers that wait for changes. The caller must hold the lock of the table.
func (h *history) notify() {
	if h.changed != nil {
		close(h.changed)
	}
	h.changed = make(chan struct{})
}

// DiscardHistory discards all kept changes, so that users of the change feed need a new snapshot.
func (t *Table) DiscardHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.changes, t.history.discarded = nil, t.version
}

// Snapshot returns all rows of a table and a version. It reads the version first, so that the rows contain every change up
// to it.
func (t *Table) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	t.mu.RLock()
	version := t.version
	t.mu.RUnlock()
	rows, err := t.Scan(ctx, table, "", 0)
	return rows, version, err
}

// Changes returns the changes of a table after the version, and the version to pass to the next call. If there are no
// changes, it waits for them, at most for the time wait.
func (t *Table) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	timeout := time.After(wait)
	for {
		found, version, changed, err := t.changesSince(table, after)
		if err != nil || len(found) > 0 {
			return found, version, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, fold.Unknown.Wrap(ctx.Err(), "wait for changes of %s", table)
		case <-timeout:
			return nil, max(after, version), nil
		case <-changed:
		}
	}
}

// changesSince returns the changes of a table after a version, the current version, and a channel that is closed at the next
// commit.
func (t *Table) changesSince(table string, after int64) ([]fold.RowChange, int64, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.history.discarded {
		return nil, 0, nil, fold.Refuse(fold.Outdated, "read the table again", "changes up to version %d are no longer kept", t.history.discarded)
	}
	var found []fold.RowChange
	first, _ := slices.BinarySearchFunc(t.history.changes, after+1, func(c fold.RowChange, version int64) int { return cmp.Compare(c.Version, version) })
	for _, change := range t.history.changes[first:] {
		if strings.HasPrefix(change.Key, table) {
			found = append(found, change)
		}
	}
	if t.history.changed == nil {
		t.history.changed = make(chan struct{})
	}
	return found, t.version, t.history.changed, nil
}
