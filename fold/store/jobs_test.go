package store_test

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/store"
)

// newOwned returns a table in which the pool a-0 has an owner, and the pool's epoch.
func newOwned(t *testing.T) (*scriptTable, int64) {
	t.Helper()
	table := &scriptTable{Table: plat.NewTable()}
	epoch, err := table.Commit(context.Background(), fold.Txn{Puts: []fold.Put{{Key: store.PoolPrefix + "a-0"}}})
	if err != nil {
		t.Fatal(err)
	}
	return table, epoch
}

// Guards against a retried submit that is refused as not run although the first one was accepted.
func TestRetriedAcceptDoesNotDenyTheJob(t *testing.T) {
	table, epoch := newOwned(t)
	x := store.JobIndex{Job: fold.Job{ID: "j", Count: 1}, Parts: []fold.Part{{Pool: "a-0", Count: 1}}}
	epochs := map[string]int64{"a-0": epoch}
	if _, fresh, err := store.Accept(context.Background(), table, x, epochs); err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	table.script = []outcome{fails, works}
	_, _, err := store.Accept(context.Background(), table, x, epochs)
	if !errorx.IsOfType(err, fold.Unknown) || fold.DidNotRun(err) {
		t.Errorf("retry without a readable index: %v", err)
	}
	table.script = nil
	index, fresh, err := store.Accept(context.Background(), table, x, epochs)
	if err != nil || fresh || index.Job.ID != "j" {
		t.Errorf("retry: %+v, %v, %v", index, fresh, err)
	}
}
