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
	// maxHistory bounds the changes that the table service remembers.
	maxHistory = 1000
	// maxNamed bounds the changes that a refusal names.
	maxNamed = 8
	// maxSummary bounds the summary of one change, in bytes.
	maxSummary = 512
	dropTime   = 5 * time.Second
)

// revRow is the row config/rev/<n>: who changed what.
type revRow struct {
	Change fold.Change `json:"change"`
	Writer string      `json:"writer"`
	// Object holds the manifest of the revision if it is large.
	Object string `json:"object,omitempty"`
}

// revKey has a fixed width, so that keys are in the order of revisions.
func revKey(n int64) string {
	return fmt.Sprintf("%s%016d", store.RevPrefix, n)
}

// History lists earlier changes of the configuration, newest last.
func (e *Entry) History(ctx context.Context, c fold.Caller) ([]fold.Change, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	return e.changesSince(ctx, 0, maxHistory)
}

func (e *Entry) changesSince(ctx context.Context, n int64, limit int) ([]fold.Change, error) {
	rows, err := e.table.Scan(ctx, store.RevPrefix, revKey(n), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]fold.Change, 0, len(rows))
	for _, row := range rows {
		past, err := codec.Decode[revRow](row.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, past.Change)
	}
	return changes, nil
}

// outdated returns the refusal for an operator whose manifest is based on an older revision.
func (e *Entry) outdated(ctx context.Context, expected int64, head headRow) error {
	var told []string
	changes, err := e.changesSince(ctx, expected, maxNamed)
	if err != nil {
		told = append(told, "what changed cannot be read now")
	}
	for _, c := range changes {
		told = append(told, fmt.Sprintf("revision %d by %s at %s: %s", c.Revision, c.Who,
			time.UnixMilli(c.Time).UTC().Format(time.RFC3339), c.Summary))
	}
	if more := head.Revision - expected - int64(len(changes)); more > 0 && err == nil {
		told = append(told, fmt.Sprintf("and %d more", more))
	}
	return fold.Refuse(fold.Outdated, "read the manifest again and repeat the change",
		"the revision is %d by %s, not %d; since then: %s", head.Revision, head.Who, expected, strings.Join(told, "; "))
}

// dropHistory removes the change that a new one pushes out of the bounded history. A failure leaves one row more.
func (e *Entry) dropHistory(head headRow) {
	old := head.Revision - maxHistory
	if old < 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTime)
	defer cancel()
	row, err := store.Get[revRow](ctx, e.table, revKey(old))
	if err != nil {
		return
	}
	body, err := store.Get[bodyRow](ctx, e.table, bodyKey)
	if err != nil {
		return
	}
	if object := row.Value.Object; object != "" && object != body.Value.Object {
		if err := e.platform.Objects.Delete(ctx, object); err != nil {
			e.log.Warn("Cannot remove an old manifest. It stays in the object store.", "object", object, "error", err)
		}
	}
	if _, err := e.table.Commit(ctx, fold.Txn{Deletes: []string{row.Key}}); err != nil {
		e.log.Warn("Cannot remove an old change. It stays in the table service.", "row", row.Key, "error", err)
	}
}
