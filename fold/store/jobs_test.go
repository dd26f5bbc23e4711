package store_test

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/store"
)

// newOwnedPool returns a table with the row of the pool a-0, and the pool's epoch.
func newOwnedPool(t *testing.T) (*scriptTable, int64) {
	t.Helper()
	table := &scriptTable{Table: plat.NewTable()}
	epoch, err := table.Commit(context.Background(), fold.Txn{Puts: []fold.Put{{Key: store.PoolPrefix + "a-0"}}})
	if err != nil {
		t.Fatal(err)
	}
	return table, epoch
}

// Guards against a retried submission that reports the job as not accepted although the first submission was accepted.
// It happens when the index row cannot be read after the conflict.
func TestRetriedAcceptDoesNotDenyTheJob(t *testing.T) {
	table, epoch := newOwnedPool(t)
	x := store.JobIndex{Job: fold.Job{ID: "j", Count: 1}, Parts: []fold.Part{{Pool: "a-0", Count: 1}}}
	epochs := map[string]int64{"a-0": epoch}
	if _, fresh, err := store.Accept(context.Background(), table, x, epochs); err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	table.script = []callResult{dropsCall, succeeds}
	_, _, err := store.Accept(context.Background(), table, x, epochs)
	if !errorx.IsOfType(err, fold.Unknown) || fold.DidNotRun(err) {
		t.Errorf("retry without a readable index returned %v, want an Unknown error", err)
	}
	table.script = nil
	index, fresh, err := store.Accept(context.Background(), table, x, epochs)
	if err != nil || fresh || index.Job.ID != "j" {
		t.Errorf("retry returned %+v, %v, %v, want the earlier index", index, fresh, err)
	}
}
