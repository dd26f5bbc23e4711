package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/sched"
)

// OutcomePrefix is the prefix of the rows outcome/<job>/<accepted>/<pool>/<part>.
const OutcomePrefix = "outcome/"

// JobIndex is the value of the row jobid/<id>. It holds the job and the pools that run its parts.
type JobIndex struct {
	Job   fold.Job    `json:"job"`
	Parts []fold.Part `json:"parts"`
}

// JobPart is the value of the row job/<pool>/<id>. It holds the part of a job that the pool runs.
type JobPart struct {
	Job      fold.Job       `json:"job"`
	Progress sched.Progress `json:"progress"`
}

// JobKey returns the key of the row of a job part.
func JobKey(pool, id string) string {
	return JobPrefix + pool + "/" + id
}

// JobOutcome is the value of the row outcome/<id>/<accepted>/<pool>/<part>. It holds the final status of a job part.
type JobOutcome struct {
	Status fold.JobStatus `json:"status"`
	// EndedAt is the time when the end was recorded, in milliseconds since the Unix epoch.
	EndedAt int64 `json:"endedat"`
}

// OutcomeKey returns the key of the outcome of a job part. The acceptance time distinguishes jobs that reuse an ID.
func OutcomeKey(j fold.Job, pool string) string {
	return outcomesOf(fold.BaseID(j.ID), j.Accepted) + partKey(pool, j.ID)
}

// partKey returns the suffix of an outcome key that is unique among the parts of a job.
func partKey(pool, part string) string {
	return pool + "/" + part
}

func outcomesOf(id string, accepted int64) string {
	return fmt.Sprintf("%s%s/%016x/", OutcomePrefix, id, accepted)
}

// ErrPoolMoved is returned when a write was refused because the pool has a new owner.
var ErrPoolMoved = errors.New("pool has another owner")

// Accept stores a new job in pools that are still at the given epochs. If the ID is in use, it returns the index of the
// earlier job and false.
func Accept(ctx context.Context, t fold.Table, x JobIndex, epochs map[string]int64) (JobIndex, bool, error) {
	txn, err := acceptTxn(x, epochs)
	if err != nil {
		return x, false, err
	}
	_, err = t.Commit(ctx, txn)
	if !errorx.IsOfType(err, fold.Conflict) {
		return x, err == nil, err
	}
	earlier, err := Get[JobIndex](ctx, t, IndexPrefix+x.Job.ID)
	switch {
	case errorx.IsOfType(err, fold.NotFound):
		return x, false, fold.Unavailable.Wrap(ErrPoolMoved, "accept job %s", x.Job.ID)
	case err != nil:
		// An earlier attempt may have accepted this job, so the error must not claim that the job was not accepted.
		return x, false, fold.Unknown.Wrap(err, "read the earlier job %s", x.Job.ID)
	default:
		return earlier.Value, false, nil
	}
}

func acceptTxn(x JobIndex, epochs map[string]int64) (fold.Txn, error) {
	put, err := EncodePut(IndexPrefix+x.Job.ID, x)
	if err != nil {
		return fold.Txn{}, err
	}
	txn := fold.Txn{Checks: []fold.Check{{Key: IndexPrefix + x.Job.ID}}, Puts: []fold.Put{put}}
	for _, part := range x.Parts {
		put, err := EncodePut(JobKey(part.Pool, x.Job.ID), JobPart{Job: x.Job.WithPart(part.FirstTask, part.Count)})
		if err != nil {
			return fold.Txn{}, err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: PoolPrefix + part.Pool, Version: epochs[part.Pool]})
		txn.Puts = append(txn.Puts, put)
	}
	return txn, nil
}

// Record stores changes to the jobs of a pool that the caller owns at the epoch. It replaces the row of an ended part by
// its outcome.
func Record(ctx context.Context, t fold.Table, pool string, epoch int64, changes []sched.Change) error {
	now := time.Now().UnixMilli()
	txn := fold.Txn{Checks: []fold.Check{{Key: PoolPrefix + pool, Version: epoch}}}
	for _, c := range changes {
		id := c.Status.Job.ID
		if c.Status.State.Ended() {
			puts, err := endedRows(pool, c.Status, now)
			if err != nil {
				return err
			}
			txn.Puts = append(txn.Puts, puts...)
			txn.Deletes = append(txn.Deletes, JobKey(pool, id))
			continue
		}
		put, err := EncodePut(JobKey(pool, id), JobPart{Job: c.Status.Job, Progress: c.Progress})
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, put)
	}
	_, err := t.Commit(ctx, txn)
	return err
}

// endedRows returns the outcome row of an ended part and the row that schedules its cleanup.
func endedRows(pool string, s fold.JobStatus, now int64) ([]fold.Put, error) {
	outcome, err := EncodePut(OutcomeKey(s.Job, pool), JobOutcome{Status: s, EndedAt: now})
	if err != nil {
		return nil, err
	}
	listed, err := EncodePut(endedKey(pool, now, s.Job.ID), endedRow{ID: s.Job.ID, Accepted: s.Job.Accepted, EndedAt: now})
	return []fold.Put{outcome, listed}, err
}

// Outcomes holds the final statuses of the ended parts of a job, by pool and part.
type Outcomes map[string]fold.JobStatus

// Of returns the final status of a part, and false if the part has not ended.
func (o Outcomes) Of(job string, part fold.Part) (fold.JobStatus, bool) {
	s, ok := o[partKey(part.Pool, part.IDOf(job))]
	return s, ok
}

// ReadOutcomes reads the outcomes of the ended parts of a job.
func ReadOutcomes(ctx context.Context, t fold.Table, j fold.Job) (Outcomes, error) {
	rows, err := Scan[JobOutcome](ctx, t, outcomesOf(fold.BaseID(j.ID), j.Accepted))
	if err != nil {
		return nil, err
	}
	ended := make(Outcomes, len(rows))
	for _, row := range rows {
		s := row.Value.Status
		ended[partKey(s.Pool, s.Job.ID)] = s
	}
	return ended, nil
}

// ReadParts reads all job parts of a pool.
func ReadParts(ctx context.Context, t fold.Table, pool string) ([]owner.Versioned[JobPart], error) {
	return Scan[JobPart](ctx, t, JobPrefix+pool+"/")
}

// MoveTxn returns the transaction that moves tasks of a job to another pool, where they run under the given ID. The index
// row comes first, because a commit with a lost reply is resolved by it.
func MoveTxn(index owner.Versioned[JobIndex], from string, fromEpoch int64, to string, toEpoch int64, id string, m sched.Move) (fold.Txn, error) {
	x := index.Value
	rest := m.Part
	rest.ID = id
	x.Parts = append(slices.Clone(x.Parts), fold.Part{Pool: to, FirstTask: rest.FirstTask, Count: rest.Count, Job: rest.ID})
	txn := fold.Txn{Checks: []fold.Check{
		{Key: index.Key, Version: index.Version},
		{Key: PoolPrefix + from, Version: fromEpoch},
		{Key: PoolPrefix + to, Version: toEpoch},
		{Key: JobKey(to, rest.ID)},
	}}
	indexPut, err := EncodePut(index.Key, x)
	if err != nil {
		return txn, err
	}
	leftPut, err := EncodePut(JobKey(from, m.Part.ID), JobPart{Job: m.Part, Progress: m.OldProgress})
	if err != nil {
		return txn, err
	}
	restPut, err := EncodePut(JobKey(to, rest.ID), JobPart{Job: rest, Progress: m.NewProgress})
	txn.Puts = []fold.Put{indexPut, leftPut, restPut}
	return txn, err
}
