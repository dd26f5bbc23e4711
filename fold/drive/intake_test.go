package drive_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/lead"
)

// takenOverTable is a table on which another entry takes the pool over right after the first commit that contains a job. The
// answer to that commit is lost.
type takenOverTable struct {
	*slowTable
	t     *testing.T
	taken bool
}

func (o *takenOverTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	version, err := o.slowTable.Commit(ctx, txn)
	if err != nil || o.taken {
		return version, err
	}
	for _, put := range txn.Puts {
		o.taken = o.taken || strings.HasPrefix(put.Key, drive.JobPrefix)
	}
	if !o.taken {
		return version, nil
	}
	owner, at, err := lead.Read(ctx, o.Table)
	if err != nil {
		o.t.Error(err)
	}
	if _, err := lead.TakeOver(ctx, o.Table, clock{}, owner, at, lead.Owner{Entry: "b", Incarnation: "b-1"}); err != nil {
		o.t.Error(err)
	}
	return 0, fold.Unknown.New("the answer was lost")
}

// Guards against a caller that is told that its job will not run although the owner stored it: another entry takes the pool
// over before the owner learns that its commit was applied.
func TestSubmitDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &takenOverTable{slowTable: newSlowTable(3 * time.Millisecond), t: t}
		d := startDriver(t, table, table.Table, newFakeHosts(2, 100*time.Millisecond))
		time.Sleep(time.Second)
		_, err := d.Submit(t.Context(), testJob(1, 1), fold.Check{})
		if err == nil || fold.DidNotRun(err) {
			t.Errorf("error %v, want one that leaves open whether the job was stored", err)
		}
		if _, err := table.Get(t.Context(), drive.JobPrefix+testJob(1, 1).ID); err != nil {
			t.Errorf("the job was not stored: %v", err)
		}
	})
}
