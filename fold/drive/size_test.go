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
	// platformRow is the longest value that the platform accepts in a row, in bytes.
	platformRow = 64 << 10
	// platformEntries is the largest number of entries that the platform accepts in a transaction.
	platformEntries = 100
)

// Guards against a row or transaction that the platform rejects for its size, so that no owner could ever commit it. Jobs
// with the largest number of tasks run on all hosts of a large pool.
func TestRowsFitThePlatform(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		tasks int
	}{
		{"current size", 48, 100},
		{"large", 1100, 500},
		{"four times the large size", 4400, flow.MaxTasks},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, hosts := newSlowTable(3*time.Millisecond), newFakeHosts(c.hosts, 100*time.Millisecond)
				d := startDriver(t, table, table, hosts)
				time.Sleep(5 * time.Second)
				for n := range 3 {
					if _, err := d.Submit(t.Context(), testJob(n, c.tasks), fold.Check{}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Duration(c.tasks/80+20) * time.Second)
				for n := range 3 {
					if state, _, _ := d.State(testJob(n, c.tasks).ID); state != flow.Completed {
						t.Errorf("job %d has state %q, want completed", n, state)
					}
				}
				rows, err := table.Scan(t.Context(), drive.UsedTable, "", 0)
				if err != nil || len(rows) == 0 {
					t.Errorf("got %d rows of used hosts, error %v; want some", len(rows), err)
				}
				table.mu.Lock()
				defer table.mu.Unlock()
				if table.maxValue > platformRow || table.maxRows > platformEntries {
					t.Errorf("the longest value has %d bytes, the largest transaction %d entries; the platform takes %d and %d", table.maxValue, table.maxRows, platformRow, platformEntries)
				}
			})
		})
	}
}

// Guards against one undecodable row that keeps every owner from taking the pool over, and against a job that runs again
// from its beginning because its record cannot be decoded.
func TestUnreadableRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := newSlowTable(0), newFakeHosts(4, time.Second)
		garbage := []byte{1, 0xff, 0x00}
		puts := []fold.Put{
			{Key: drive.UsedTable + "0000", Value: garbage},
			{Key: drive.BacklogTable + "000000000001-000001", Value: garbage},
			{Key: drive.JobPrefix + testJob(3, 1).ID, Value: garbage},
			encoded(t, drive.JobPrefix+testJob(1, 1).ID, testJob(1, 1)),
			{Key: drive.StatePrefix + testJob(1, 1).ID, Value: garbage},
			encoded(t, drive.JobPrefix+testJob(2, 1).ID, testJob(2, 1)),
		}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		d := startDriver(t, table, table, hosts)
		time.Sleep(10 * time.Second)
		if state, _, _ := d.State(testJob(2, 1).ID); state != flow.Completed {
			t.Errorf("the job beside the undecodable rows has state %q, want completed", state)
		}
		hosts.mu.Lock()
		defer hosts.mu.Unlock()
		if _, ok := hosts.started[flow.TaskName{Job: testJob(1, 1).ID}.String()]; ok {
			t.Error("a job whose record cannot be decoded was started")
		}
	})
}

// Guards against rows of ended jobs that pile up because they are deleted more slowly than they are written; the next owner
// would have to read all of them. Sixty short jobs a second are submitted, as in the large deployment.
func TestRowsOfEndedJobsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, perSecond = 20, 60
		table := newSlowTable(3 * time.Millisecond)
		d := startDriver(t, table, table, newFakeHosts(40, 200*time.Millisecond))
		time.Sleep(time.Second)
		for n := range seconds * perSecond {
			go func() {
				if _, err := d.Submit(t.Context(), testJob(n, 2), fold.Check{}); err != nil {
					t.Error(err)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
		if rows, _ := table.Scan(t.Context(), drive.JobPrefix, "", 0); len(rows) > 2*perSecond {
			t.Errorf("%d rows of jobs left after %d s of %d jobs per second that each take less than a second", len(rows), seconds, perSecond)
		}
		time.Sleep(5 * time.Second)
		if rows, _ := table.Scan(t.Context(), drive.JobPrefix, "", 0); len(rows) != 0 {
			t.Errorf("%d rows of ended jobs are left", len(rows))
		}
	})
}

// Guards against a job of another entry that the owner misses, and against a row of such a job that is never deleted.
func TestJobsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSlowTable(3 * time.Millisecond)
		firstJob, cancelKey := encoded(t, drive.InboxPrefix+testJob(1, 1).ID, testJob(1, 1)), drive.InboxPrefix+testJob(2, 1).ID+drive.CancelMark
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{firstJob, {Key: cancelKey}}}); err != nil {
			t.Fatal(err)
		}
		d := startDriver(t, table, table, newFakeHosts(4, 200*time.Millisecond))
		time.Sleep(time.Second)
		later := []fold.Put{encoded(t, drive.InboxPrefix+testJob(2, 1).ID, testJob(2, 1)), encoded(t, drive.InboxPrefix+testJob(3, 1).ID, testJob(3, 1))}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: later}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		for n, want := range map[int]flow.State{1: flow.Completed, 2: flow.Cancelled, 3: flow.Completed} {
			if state, _, _ := d.State(testJob(n, 1).ID); state != want {
				t.Errorf("job %d has state %q, want %s", n, state, want)
			}
		}
		if rows, _ := table.Scan(t.Context(), drive.InboxPrefix, "", 0); len(rows) != 0 {
			t.Errorf("%d rows of the inbox are left", len(rows))
		}
	})
}
