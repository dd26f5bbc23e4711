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

// Pattern: sixty short jobs a second, as many as the large deployment has. Guards against rows of ended jobs that pile up,
// because they are removed more slowly than they come: the next owner reads all of them.
func TestRowsOfEndedJobsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, perSecond = 20, 60
		table := newPart(3 * time.Millisecond)
		d := run(t, table, table, newPool(40, 200*time.Millisecond))
		time.Sleep(time.Second)
		for n := range seconds * perSecond {
			go func() {
				if _, err := d.Submit(t.Context(), check(n, 2), fold.Check{}); err != nil {
					t.Error(err)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
		if rows, _ := table.Scan(t.Context(), drive.JobTable, "", 0); len(rows) > 2*perSecond {
			t.Errorf("%d rows of jobs after %d s of %d jobs a second that take less than a second", len(rows), seconds, perSecond)
		}
		time.Sleep(5 * time.Second)
		if rows, _ := table.Scan(t.Context(), drive.JobTable, "", 0); len(rows) != 0 {
			t.Errorf("%d rows of ended jobs are left", len(rows))
		}
	})
}

// Guards against a job that another entry has written and that the owner never sees, or of which a row is left for ever.
func TestJobsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newPart(3 * time.Millisecond)
		early, wish := encoded(t, drive.InboxTable+check(1, 1).ID, check(1, 1)), drive.InboxTable+check(2, 1).ID+drive.CancelMark
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{early, {Key: wish}}}); err != nil {
			t.Fatal(err)
		}
		d := run(t, table, table, newPool(4, 200*time.Millisecond))
		time.Sleep(time.Second)
		later := []fold.Put{encoded(t, drive.InboxTable+check(2, 1).ID, check(2, 1)), encoded(t, drive.InboxTable+check(3, 1).ID, check(3, 1))}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: later}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		for n, want := range map[int]flow.State{1: flow.Completed, 2: flow.Cancelled, 3: flow.Completed} {
			if state, _, _ := d.State(check(n, 1).ID); state != want {
				t.Errorf("job %d is %q, want %s", n, state, want)
			}
		}
		if rows, _ := table.Scan(t.Context(), drive.InboxTable, "", 0); len(rows) != 0 {
			t.Errorf("%d rows are left", len(rows))
		}
	})
}
