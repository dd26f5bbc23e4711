package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
)

// JobIndex is the row jobid/<id>: where a job is homed and, once it has ended, how.
type JobIndex struct {
	Pool   string           `json:"pool"`
	Job    fold.Job         `json:"job"`
	Ended  fold.Outcome     `json:"ended,omitempty"`
	Done   int              `json:"done,omitempty"`
	Failed int              `json:"failed,omitempty"`
	Lost   int              `json:"lost,omitempty"`
	Places []fold.Placement `json:"places,omitempty"`
	// EndedAt is when the end was recorded, in milliseconds since the Unix epoch.
	EndedAt int64 `json:"endedat,omitempty"`
}

// JobPart is the row job/<pool>/<id>: the part of a job that the pool runs.
type JobPart struct {
	Job      fold.Job       `json:"job"`
	Progress sched.Progress `json:"progress"`
}

// JobKey returns the key of a job part.
func JobKey(pool, id string) string {
	return JobPrefix + pool + "/" + id
}

// Accept makes a job durable in a pool that the caller owns at the epoch. It returns false with the index of the
// earlier job if the id is taken.
func Accept(ctx context.Context, t fold.Table, pool string, epoch int64, j fold.Job) (JobIndex, bool, error) {
	index := JobIndex{Pool: pool, Job: j}
	indexPut, err := PutOf(IndexPrefix+j.ID, index)
	if err != nil {
		return index, false, err
	}
	partPut, err := PutOf(JobKey(pool, j.ID), JobPart{Job: j})
	if err != nil {
		return index, false, err
	}
	_, err = t.Commit(ctx, fold.Txn{
		Checks: []fold.Check{{Key: PoolPrefix + pool, Version: epoch}, {Key: IndexPrefix + j.ID, Version: 0}},
		Puts:   []fold.Put{indexPut, partPut},
	})
	if !errorx.IsOfType(err, fold.Conflict) {
		return index, err == nil, err
	}
	earlier, getErr := Get[JobIndex](ctx, t, IndexPrefix+j.ID)
	if errorx.IsOfType(getErr, fold.NotFound) {
		return index, false, fold.Refuse(fold.Unavailable, "send the job again", "pool %s has a new owner", pool)
	}
	if getErr != nil {
		// The conflict may come from the same job, accepted before, so the refusal must not say that it does not run.
		return index, false, fold.Unknown.Wrap(getErr, "read the earlier job %s", j.ID)
	}
	return earlier.Value, false, nil
}

// Record writes what changed of the jobs of a pool that the caller owns at the epoch. The part of an ended job is
// deleted and its outcome moves to the index.
func Record(ctx context.Context, t fold.Table, pool string, epoch int64, changes []sched.Change) error {
	now := time.Now()
	txn := fold.Txn{Checks: []fold.Check{{Key: PoolPrefix + pool, Version: epoch}}}
	for _, c := range changes {
		if c.Status.State.Ended() {
			puts, err := endedRows(pool, c.Status, now)
			if err != nil {
				return err
			}
			txn.Puts = append(txn.Puts, puts...)
			txn.Deletes = append(txn.Deletes, JobKey(pool, c.Status.Job.ID))
			continue
		}
		put, err := PutOf(JobKey(pool, c.Status.Job.ID), JobPart{Job: c.Status.Job, Progress: c.Progress})
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, put)
	}
	_, err := t.Commit(ctx, txn)
	return err
}

// endedRows returns the index row of an ended job and the row by which it is cleaned up later.
func endedRows(pool string, s fold.JobStatus, now time.Time) ([]fold.Put, error) {
	index, err := PutOf(IndexPrefix+s.Job.ID, JobIndex{
		Pool: pool, Job: s.Job, Ended: s.State, Done: s.Done, Failed: s.Failed, Lost: s.Unknown, Places: s.Places, EndedAt: now.UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	old, err := PutOf(endedKey(pool, now.UnixMilli(), s.Job.ID), endedRow{ID: s.Job.ID, EndedAt: now.UnixMilli()})
	return []fold.Put{index, old}, err
}

// Status returns the status of a job that has ended.
func (x JobIndex) Status() fold.JobStatus {
	return fold.JobStatus{Job: x.Job, Pool: x.Pool, State: x.Ended, Done: x.Done, Failed: x.Failed, Unknown: x.Lost, Places: x.Places}
}
