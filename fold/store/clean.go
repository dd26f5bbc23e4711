package store

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
)

const (
	// EndedPrefix is the prefix of the rows that list the ended jobs of a pool in order of their end.
	EndedPrefix = "ended/"
	// IndexAge is how long the index of an ended job stays. Until then a retried submit finds the job instead of
	// running it again, and its outcome can be read.
	IndexAge = 48 * time.Hour
	// cleanRows bounds the jobs of one step. With a step a minute and 8 pools this is 184,000 jobs a day, more than
	// the 130,000 of the two-year size.
	cleanRows = 16
	// CleanPeriod is the time between two steps of a pool.
	CleanPeriod = time.Minute
)

// endedRow is the row ended/<pool>/<time>/<id>.
type endedRow struct {
	ID      string `json:"id"`
	EndedAt int64  `json:"endedat"`
}

func endedKey(pool string, ms int64, id string) string {
	return fmt.Sprintf("%s%s/%016x/%s", EndedPrefix, pool, ms, id)
}

// CleanEnded removes the index rows of a few jobs of a pool that ended more than IndexAge before now, for the owner of
// the pool at the epoch. It returns how many rows of the list it removed; a full step may be followed by another.
func CleanEnded(ctx context.Context, t fold.Table, pool string, epoch int64, now time.Time) (int, error) {
	prefix := EndedPrefix + pool + "/"
	rows, err := t.Scan(ctx, prefix, "", cleanRows)
	if err != nil {
		return 0, err
	}
	limit := endedKey(pool, now.Add(-IndexAge).UnixMilli(), "")
	txn := fold.Txn{Checks: []fold.Check{{Key: PoolPrefix + pool, Version: epoch}}}
	removed := 0
	for _, row := range rows {
		if row.Key >= limit {
			break
		}
		if err := cleanIndex(ctx, t, &txn, row); err != nil {
			return 0, err
		}
		txn.Deletes = append(txn.Deletes, row.Key)
		removed++
	}
	if removed == 0 {
		return 0, nil
	}
	if _, err := t.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return removed, nil
}

// cleanIndex adds the removal of the index that the row lists. A job whose end was recorded again has a later row, and
// one accepted again under the same id has no end yet; their index stays.
func cleanIndex(ctx context.Context, t fold.Table, txn *fold.Txn, row fold.Row) error {
	listed, err := codec.Decode[endedRow](row.Value)
	if err != nil {
		return err
	}
	key := IndexPrefix + listed.ID
	index, err := Get[JobIndex](ctx, t, key)
	switch {
	case errorx.IsOfType(err, fold.NotFound):
		return nil
	case err != nil:
		return err
	case index.Value.Ended == "" || index.Value.EndedAt != listed.EndedAt:
		return nil
	}
	txn.Checks = append(txn.Checks, fold.Check{Key: key, Version: index.Version})
	txn.Deletes = append(txn.Deletes, key)
	return nil
}
