package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/store"
)

const (
	// maxHistory is the maximum number of changes that the table service keeps.
	maxHistory = 1000
	// maxListedChanges is the maximum number of changes that a refusal lists.
	maxListedChanges = 8
	// maxSummary is the maximum length of the summary of one change in bytes.
	maxSummary = 512
	// dropTimeout is the timeout for the deletion of an old change.
	dropTimeout = 5 * time.Second
)

// historyRow is the row config/rev/<n>, which records who made the change of a revision and what it changed.
type historyRow struct {
	Change fold.Change `json:"change"`
	// Writer is the Writer of the headRow of the revision.
	Writer string `json:"writer"`
	// Object is the object key of the revision's manifest if the manifest is in the object store.
	Object string `json:"object,omitempty"`
}

// historyKey returns the key of a revision's row. It has a fixed width, so that keys sort by revision.
func historyKey(n int64) string {
	return fmt.Sprintf("%s%016d", store.RevPrefix, n)
}

// History lists the changes of the configuration that are kept, newest last.
func (e *Entry) History(ctx context.Context, c fold.Caller) ([]fold.Change, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	return e.changesSince(ctx, 0, maxHistory)
}

// changesSince lists up to limit changes after revision n, oldest first.
func (e *Entry) changesSince(ctx context.Context, n int64, limit int) ([]fold.Change, error) {
	rows, err := e.table.Scan(ctx, store.RevPrefix, historyKey(n), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]fold.Change, 0, len(rows))
	for _, row := range rows {
		past, err := codec.Decode[historyRow](row.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, past.Change)
	}
	return changes, nil
}

// outdatedError returns the refusal for an operator whose manifest is based on an older revision.
func (e *Entry) outdatedError(ctx context.Context, expected int64, head headRow) error {
	var details []string
	changes, err := e.changesSince(ctx, expected, maxListedChanges)
	if err != nil {
		details = append(details, "the changes cannot be read now")
	}
	for _, c := range changes {
		details = append(details, fmt.Sprintf("revision %d by %s at %s: %s", c.Revision, c.Who,
			time.UnixMilli(c.Time).UTC().Format(time.RFC3339), c.Summary))
	}
	if more := head.Revision - expected - int64(len(changes)); more > 0 && err == nil {
		details = append(details, fmt.Sprintf("and %d more", more))
	}
	return fold.Refuse(fold.Outdated, "read the manifest again and repeat the change",
		"the revision is %d by %s, not %d; since then: %s", head.Revision, head.Who, expected, strings.Join(details, "; "))
}

// trimHistory deletes the change that exceeds maxHistory after a new one. After a failure, one row more remains.
func (e *Entry) trimHistory(head headRow) {
	old := head.Revision - maxHistory
	if old < 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	row, err := store.Get[historyRow](ctx, e.table, historyKey(old))
	if err != nil {
		return
	}
	body, err := store.Get[manifestRow](ctx, e.table, manifestKey)
	if err != nil {
		return
	}
	if object := row.Value.Object; object != "" && object != body.Value.Object {
		if err := e.platform.Objects.Delete(ctx, object); err != nil {
			e.log.Warn("Cannot delete an old manifest. It stays in the object store.", "object", object, "error", err)
		}
	}
	if _, err := e.table.Commit(ctx, fold.Txn{Deletes: []string{row.Key}}); err != nil {
		e.log.Warn("Cannot delete the row of an old change. It stays in the table service.", "row", row.Key, "error", err)
	}
}
