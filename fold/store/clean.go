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
	ID       string `json:"id"`
	Accepted int64  `json:"accepted"`
	EndedAt  int64  `json:"endedat"`
}

func endedKey(pool string, ms int64, id string) string {
	return fmt.Sprintf("%s%s/%016x/%s", EndedPrefix, pool, ms, id)
}

// CleanEnded removes the rows of a few jobs of a pool that ended more than IndexAge before now, for the owner of the
// pool at the epoch. It returns how many rows of the list it handled; a full step may be followed by another.
func CleanEnded(ctx context.Context, t fold.Table, pool string, epoch int64, now time.Time) (int, error) {
	rows, err := t.Scan(ctx, EndedPrefix+pool+"/", "", cleanRows)
	if err != nil {
		return 0, err
	}
	limit := endedKey(pool, now.Add(-IndexAge).UnixMilli(), "")
	c := cleaning{table: t, pool: pool, now: now.UnixMilli()}
	c.txn.Checks = []fold.Check{{Key: PoolPrefix + pool, Version: epoch}}
	handled := 0
	for _, row := range rows {
		if row.Key >= limit {
			break
		}
		if err := c.handle(ctx, row); err != nil {
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

// cleaning collects the writes of one step.
type cleaning struct {
	table fold.Table
	pool  string
	now   int64
	txn   fold.Txn
}

// handle adds the removal of what a row lists. A part whose end was recorded again has a later row.
func (c *cleaning) handle(ctx context.Context, row fold.Row) error {
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
	free, err := c.index(ctx, job)
	if err != nil {
		return err
	}
	if free {
		c.txn.Deletes = append(c.txn.Deletes, outcome.Key)
		return nil
	}
	// The outcome is still needed; it is looked at again later and does not block the rows behind it.
	put, err := PutOf(endedKey(c.pool, c.now, listed.ID), listed)
	c.txn.Puts = append(c.txn.Puts, put)
	return err
}

// index reports whether the outcome of this pool's part is needed no more. The pool of the first part removes the index
// once all parts have ended; the others wait for that.
func (c *cleaning) index(ctx context.Context, j fold.Job) (bool, error) {
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
	ended, err := Ended(ctx, c.table, j)
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
