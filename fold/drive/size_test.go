package drive_test

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
)

const (
	// platformRow and platformEntries are what the platform takes in a row, in bytes, and in a transaction.
	platformRow     = 64 << 10
	platformEntries = 100
)

// Pattern: a pool of many hosts, and jobs of as many tasks as are accepted, spread over all of them. Guards against a row or a
// transaction that the platform refuses for its size, which no owner could ever commit.
func TestRowsFitThePlatform(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		tasks int
	}{
		{"today", 48, 100},
		{"large", 1100, 500},
		{"four times that", 4400, flow.MaxTasks},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, hosts := newPart(3*time.Millisecond), newPool(c.hosts, 100*time.Millisecond)
				d := run(t, table, table, hosts)
				time.Sleep(5 * time.Second)
				for n := range 3 {
					if _, err := d.Submit(t.Context(), check(n, c.tasks), fold.Check{}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Duration(c.tasks/80+20) * time.Second)
				for n := range 3 {
					if state, _, _ := d.State(check(n, c.tasks).ID); state != flow.Completed {
						t.Errorf("job %d is %s", n, state)
					}
				}
				rows, err := table.Scan(t.Context(), drive.UsedTable, "", 0)
				if err != nil || len(rows) == 0 {
					t.Errorf("%d rows of hosts, error %v", len(rows), err)
				}
				table.mu.Lock()
				defer table.mu.Unlock()
				if table.bytes > platformRow || table.rows > platformEntries {
					t.Errorf("the longest value has %d bytes, the largest transaction %d entries; the platform takes %d and %d", table.bytes, table.rows, platformRow, platformEntries)
				}
			})
		})
	}
}

// Guards against one row that cannot be read, which keeps every owner from taking the pool over, and against a job that runs
// again from its beginning because its progress cannot be read.
func TestUnreadableRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := newPart(0), newPool(4, time.Second)
		garbage := []byte{1, 0xff, 0x00}
		puts := []fold.Put{
			{Key: drive.UsedTable + "0000", Value: garbage},
			{Key: drive.BacklogTable + "000000000001-000001", Value: garbage},
			{Key: drive.JobTable + check(3, 1).ID, Value: garbage},
			encoded(t, drive.JobTable+check(1, 1).ID, check(1, 1)),
			{Key: drive.StateTable + check(1, 1).ID, Value: garbage},
			encoded(t, drive.JobTable+check(2, 1).ID, check(2, 1)),
		}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		d := run(t, table, table, hosts)
		time.Sleep(10 * time.Second)
		if state, _, _ := d.State(check(2, 1).ID); state != flow.Completed {
			t.Errorf("the job beside the garbage is %q", state)
		}
		hosts.mu.Lock()
		defer hosts.mu.Unlock()
		if _, ok := hosts.started[flow.TaskName{Job: check(1, 1).ID}.String()]; ok {
			t.Error("a job without its progress was started")
		}
	})
}
