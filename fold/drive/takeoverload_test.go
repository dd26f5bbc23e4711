package drive_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
)

// slowSnapshots is a change feed whose reads of a whole table take readTime.
type slowSnapshots struct {
	*plat.Table
	readTime time.Duration
}

func (s slowSnapshots) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	time.Sleep(s.readTime)
	return s.Table.Snapshot(ctx, table)
}

// Guards against a takeover that reads one table after the other: nothing is started and no end is taken note of until all of
// them are read, and the jobs in flight become late.
func TestTakeoverReadsTablesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := plat.NewTable()
		const readTime = 100 * time.Millisecond
		began := time.Now()
		startDriver(t, table, slowSnapshots{Table: table, readTime: readTime}, newFakeHosts(1, time.Second))
		if took := time.Since(began); took >= 2*readTime {
			t.Errorf("the takeover took %s with reads of %s each", took, readTime)
		}
	})
}
