package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/store"
)

func rowsUnder(t *testing.T, table fold.Table, prefix string) int {
	t.Helper()
	rows, err := table.Scan(context.Background(), prefix, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// acceptAndEnd accepts a job with one task and records that it ended.
func acceptAndEnd(t *testing.T, table fold.Table, epoch int64, id string) {
	t.Helper()
	job := fold.Job{ID: id, Count: 1}
	accept(t, table, job, map[string]int64{"a-0": epoch})
	record(t, table, epoch, job)
}

// accept accepts a job with one task in each pool.
func accept(t *testing.T, table fold.Table, job fold.Job, epochs map[string]int64) {
	t.Helper()
	x := store.JobIndex{Job: job}
	for _, pool := range []string{"a-0", "b-0"} {
		if _, ok := epochs[pool]; ok {
			x.Parts = append(x.Parts, fold.Part{Pool: pool, FirstTask: len(x.Parts), Count: 1})
		}
	}
	if _, fresh, err := store.Accept(context.Background(), table, x, epochs); err != nil || !fresh {
		t.Fatal(fresh, err)
	}
}

func record(t *testing.T, table fold.Table, epoch int64, job fold.Job) {
	t.Helper()
	change := sched.Change{Status: fold.JobStatus{Job: job, Pool: "a-0", State: fold.Done, Done: 1}}
	if err := store.Record(context.Background(), table, "a-0", epoch, []sched.Change{change}); err != nil {
		t.Fatal(err)
	}
}

func clean(t *testing.T, table fold.Table, epoch int64) int {
	t.Helper()
	n, err := store.CleanEnded(context.Background(), table, "a-0", epoch, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against rows of ended jobs that are never removed, and against a cleanup that removes jobs before IndexRetention or
// too many in one step.
func TestEndedJobsAreCleaned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwnedPool(t)
		for n := range 20 {
			acceptAndEnd(t, table, epoch, fmt.Sprint(n))
		}
		time.Sleep(time.Hour)
		acceptAndEnd(t, table, epoch, "young")
		if n := clean(t, table, epoch); n != 0 {
			t.Errorf("%d jobs cleaned an hour after their end, want 0", n)
		}
		time.Sleep(store.IndexRetention - time.Minute)
		steps := []int{clean(t, table, epoch), clean(t, table, epoch), clean(t, table, epoch)}
		if steps[0] != 16 || steps[1] != 4 || steps[2] != 0 {
			t.Errorf("cleaned %v, want 16, 4 and 0", steps)
		}
		index, outcomes, list := rowsUnder(t, table, store.IndexPrefix), rowsUnder(t, table, store.OutcomePrefix), rowsUnder(t, table, store.EndedPrefix)
		if index != 1 || outcomes != 1 || list != 1 {
			t.Errorf("%d index rows, %d outcomes and %d listed, want 1 of each for the young job", index, outcomes, list)
		}
	})
}

// Guards against a cleanup that removes the index of a job because of an older end row, when the end of the job was
// recorded again later.
func TestCleaningKeepsNewerIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwnedPool(t)
		acceptAndEnd(t, table, epoch, "again")
		time.Sleep(time.Hour)
		record(t, table, epoch, fold.Job{ID: "again", Count: 1})
		time.Sleep(store.IndexRetention - time.Minute)
		if n := clean(t, table, epoch); n != 1 {
			t.Errorf("%d rows cleaned, want the older one of two", n)
		}
		if rowsUnder(t, table, store.IndexPrefix) != 1 {
			t.Error("the index was removed with the older row")
		}
	})
}

// Guards against a cleanup that removes the index of a job, or the outcome of one part, while another part still runs.
func TestCleaningWaitsForAllParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwnedPool(t)
		other, err := table.Commit(context.Background(), fold.Txn{Puts: []fold.Put{{Key: store.PoolPrefix + "b-0"}}})
		if err != nil {
			t.Fatal(err)
		}
		job := fold.Job{ID: "two", Count: 2}
		accept(t, table, job, map[string]int64{"a-0": epoch, "b-0": other})
		record(t, table, epoch, job)
		time.Sleep(store.IndexRetention + time.Minute)
		clean(t, table, epoch)
		if index, outcomes := rowsUnder(t, table, store.IndexPrefix), rowsUnder(t, table, store.OutcomePrefix); index != 1 || outcomes != 1 {
			t.Fatalf("%d index rows and %d outcomes while a part runs, want 1 and 1", index, outcomes)
		}
		change := sched.Change{Status: fold.JobStatus{Job: job, Pool: "b-0", State: fold.Done, Done: 1}}
		if err := store.Record(context.Background(), table, "b-0", other, []sched.Change{change}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(store.IndexRetention + time.Minute)
		clean(t, table, epoch)
		if _, err := store.CleanEnded(context.Background(), table, "b-0", other, time.Now()); err != nil {
			t.Fatal(err)
		}
		for _, prefix := range []string{store.IndexPrefix, store.OutcomePrefix, store.EndedPrefix} {
			if n := rowsUnder(t, table, prefix); n != 0 {
				t.Errorf("%d rows left under %s", n, prefix)
			}
		}
	})
}

// Guards against a former owner of a pool that still removes rows of the pool.
func TestFormerOwnerCleansNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwnedPool(t)
		acceptAndEnd(t, table, epoch, "j")
		time.Sleep(store.IndexRetention + time.Minute)
		if _, err := table.Commit(context.Background(), fold.Txn{Puts: []fold.Put{{Key: store.PoolPrefix + "a-0"}}}); err != nil {
			t.Fatal(err)
		}
		_, err := store.CleanEnded(context.Background(), table, "a-0", epoch, time.Now())
		if !errorx.IsOfType(err, fold.Conflict) || rowsUnder(t, table, store.IndexPrefix) != 1 {
			t.Errorf("cleanup by a former owner returned %v, want a conflict and the index row kept", err)
		}
	})
}
