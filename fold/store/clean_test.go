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

// end accepts a job and records its end.
func end(t *testing.T, table fold.Table, epoch int64, id string) {
	t.Helper()
	job := fold.Job{ID: id, Count: 1}
	if _, fresh, err := store.Accept(context.Background(), table, "a-0", epoch, job); err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	record(t, table, epoch, job)
}

func record(t *testing.T, table fold.Table, epoch int64, job fold.Job) {
	t.Helper()
	change := sched.Change{Status: fold.JobStatus{Job: job, State: fold.Done, Done: 1}}
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

// Guards against ended jobs that fill the table for ever, and against a clean-up that removes jobs too early or too
// many at once.
func TestEndedJobsAreCleaned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwned(t)
		for n := range 20 {
			end(t, table, epoch, fmt.Sprint(n))
		}
		time.Sleep(time.Hour)
		end(t, table, epoch, "young")
		if n := clean(t, table, epoch); n != 0 {
			t.Errorf("%d jobs cleaned at once", n)
		}
		time.Sleep(store.IndexAge - time.Minute)
		steps := []int{clean(t, table, epoch), clean(t, table, epoch), clean(t, table, epoch)}
		if steps[0] != 16 || steps[1] != 4 || steps[2] != 0 {
			t.Errorf("cleaned %v, want 16, 4 and 0", steps)
		}
		if index, list := rowsUnder(t, table, store.IndexPrefix), rowsUnder(t, table, store.EndedPrefix); index != 1 || list != 1 {
			t.Errorf("%d index rows and %d listed, want those of the young job", index, list)
		}
	})
}

// Guards against a clean-up that removes the index of a job whose end was recorded later, or that was accepted again.
func TestCleaningKeepsNewerIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwned(t)
		end(t, table, epoch, "again")
		time.Sleep(time.Hour)
		record(t, table, epoch, fold.Job{ID: "again", Count: 1})
		time.Sleep(store.IndexAge - time.Minute)
		if n := clean(t, table, epoch); n != 1 {
			t.Errorf("%d rows cleaned, want the older one of two", n)
		}
		if rowsUnder(t, table, store.IndexPrefix) != 1 {
			t.Error("the index was removed with the older row")
		}
	})
}

// Guards against a former owner that cleans up a pool.
func TestFormerOwnerCleansNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, epoch := newOwned(t)
		end(t, table, epoch, "j")
		time.Sleep(store.IndexAge + time.Minute)
		if _, err := table.Commit(context.Background(), fold.Txn{Puts: []fold.Put{{Key: store.PoolPrefix + "a-0"}}}); err != nil {
			t.Fatal(err)
		}
		_, err := store.CleanEnded(context.Background(), table, "a-0", epoch, time.Now())
		if !errorx.IsOfType(err, fold.Conflict) || rowsUnder(t, table, store.IndexPrefix) != 1 {
			t.Errorf("clean-up by a former owner: %v", err)
		}
	})
}
