package plat

import (
	"context"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
)

// maxHistory bounds the changes that a table remembers for followers.
const maxHistory = 10000

// history remembers changes in the order of their versions; gone is the version up to which they are forgotten.
type history struct {
	changes []fold.RowChange
	gone    int64
	// next is closed and replaced with each change.
	next chan struct{}
}

var _ fold.ChangeFeed = &Table{}

// note adds a change; the caller holds the lock.
func (h *history) note(change fold.RowChange) {
	h.changes = append(h.changes, change)
	if len(h.changes) > maxHistory {
		h.gone = h.changes[0].Version
		h.changes = slices.Delete(h.changes, 0, 1)
	}
}

// tell wakes the followers; the caller holds the lock.
func (h *history) tell() {
	if h.next != nil {
		close(h.next)
	}
	h.next = make(chan struct{})
}

// Forget drops the history, so that followers have to read the table again.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.changes, t.history.gone = nil, t.version
}

// Snapshot returns all rows of a table and the version of the whole.
func (t *Table) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	t.mu.RLock()
	version := t.version
	t.mu.RUnlock()
	rows, err := t.Scan(ctx, table, "", 0)
	return rows, version, err
}

// Changes waits for changes of a table after the version.
func (t *Table) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	limit := time.After(wait)
	for {
		found, version, next, err := t.since(table, after)
		if err != nil || len(found) > 0 {
			return found, version, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, fold.Unknown.Wrap(ctx.Err(), "wait for changes of %s", table)
		case <-limit:
			return nil, max(after, version), nil
		case <-next:
		}
	}
}

// since returns the changes after a version and a channel that is closed with the next change.
func (t *Table) since(table string, after int64) ([]fold.RowChange, int64, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.history.gone {
		return nil, 0, nil, fold.Refuse(fold.Outdated, "read the table again", "the history before %d is gone", t.history.gone)
	}
	var found []fold.RowChange
	for _, change := range t.history.changes {
		if change.Version > after && strings.HasPrefix(change.Key, table) {
			found = append(found, change)
		}
	}
	if t.history.next == nil {
		t.history.next = make(chan struct{})
	}
	return found, t.version, t.history.next, nil
}
