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
	// EndedPrefix is the prefix of the rows that list the ended jobs of a pool, ordered by end time.
	EndedPrefix = "ended/"
	// IndexRetention is how long the index row of an ended job is kept. During this time a retried submission finds the job
	// instead of running it again, and callers can read its outcome.
	IndexRetention = 48 * time.Hour
	// cleanRows bounds the jobs removed in one cleanup step. With one step per minute in each of 8 pools this removes
	// 184,000 jobs a day, more than the 130,000 a day expected in two years.
	cleanRows = 16
	// CleanupInterval is the time between two cleanup steps of a pool.
	CleanupInterval = time.Minute
)

// endedRow is the value of the row ended/<pool>/<time>/<id>. It schedules the cleanup of an ended job part.
type endedRow struct {
	ID       string `json:"id"`
	Accepted int64  `json:"accepted"`
	EndedAt  int64  `json:"endedat"`
}

func endedKey(pool string, ms int64, id string) string {
	return fmt.Sprintf("%s%s/%016x/%s", EndedPrefix, pool, ms, id)
}

// CleanEnded runs one cleanup step: it removes the rows of a few jobs of a pool that ended more than IndexRetention before
// now. The commit fails with a Conflict unless the pool is still at the epoch. CleanEnded returns the number of listed rows
// that it handled.
func CleanEnded(ctx context.Context, t fold.Table, pool string, epoch int64, now time.Time) (int, error) {
	rows, err := t.Scan(ctx, EndedPrefix+pool+"/", "", cleanRows)
	if err != nil {
		return 0, err
	}
	limit := endedKey(pool, now.Add(-IndexRetention).UnixMilli(), "")
	c := cleanup{table: t, pool: pool, now: now.UnixMilli()}
	c.txn.Checks = []fold.Check{{Key: PoolPrefix + pool, Version: epoch}}
	handled := 0
	for _, row := range rows {
		if row.Key >= limit {
			break
		}
		if err := c.addRow(ctx, row); err != nil {
			return 0, err
		}
		handled++
	}
	if handled == 0 {
		return 0, nil
	}
	if _, err := t.Commit(ctx, c.txn); err != nil {
		return 0, err
	}
	return handled, nil
}

// cleanup collects the writes of one cleanup step.
type cleanup struct {
	table fold.Table
	pool  string
	now   int64
	txn   fold.Txn
}

// addRow adds the writes that remove a listed job part. If the end of the part was recorded again, a later row lists it
// and this row is dropped alone.
func (c *cleanup) addRow(ctx context.Context, row fold.Row) error {
	listed, err := codec.Decode[endedRow](row.Value)
	if err != nil {
		return err
	}
	c.txn.Deletes = append(c.txn.Deletes, row.Key)
	job := fold.Job{ID: listed.ID, Accepted: listed.Accepted}
	outcome, err := Get[JobOutcome](ctx, c.table, OutcomeKey(job, c.pool))
	if errorx.IsOfType(err, fold.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if outcome.Value.EndedAt != listed.EndedAt {
		return nil
	}
	removable, err := c.outcomeRemovable(ctx, job)
	if err != nil {
		return err
	}
	if removable {
		c.txn.Deletes = append(c.txn.Deletes, outcome.Key)
		return nil
	}
	// The outcome is still needed. List it again at the current time, so that it does not block the rows behind it.
	put, err := EncodePut(endedKey(c.pool, c.now, listed.ID), listed)
	c.txn.Puts = append(c.txn.Puts, put)
	return err
}

// outcomeRemovable reports whether the outcome of this pool's part is no longer needed, which is when the index row is
// removed or replaced. The pool of the first part removes the index row after all parts have ended.
func (c *cleanup) outcomeRemovable(ctx context.Context, j fold.Job) (bool, error) {
	row, err := Get[JobIndex](ctx, c.table, IndexPrefix+fold.BaseID(j.ID))
	if errorx.IsOfType(err, fold.NotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	if row.Value.Job.Accepted != j.Accepted {
		return true, nil
	}
	ended, err := ReadOutcomes(ctx, c.table, j)
	if err != nil {
		return false, err
	}
	if row.Value.Parts[0].Pool != c.pool || j.ID != row.Value.Job.ID || len(ended) < len(row.Value.Parts) {
		return false, nil
	}
	c.txn.Checks = append(c.txn.Checks, fold.Check{Key: row.Key, Version: row.Version})
	c.txn.Deletes = append(c.txn.Deletes, row.Key)
	return true, nil
}
