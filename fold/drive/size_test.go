package drive_test

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
)

const (
	// platformRow is the longest value that the platform accepts in a row, in bytes.
	platformRow = 64 << 10
	// platformEntries is the largest number of entries that the platform accepts in a transaction.
	platformEntries = 100
	// platformCommit is the largest transaction that the platform accepts, in bytes of encoded values.
	platformCommit = 1_000_000
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

// scheduledJob returns a job with overlapping occurrences whose first one is due in a second.
func scheduledJob(n, tasks, occurrences int) flow.Job {
	j := testJob(n, tasks)
	j.Times, j.Start, j.Every = occurrences, time.Now().UnixMilli()+1000, 2000
	j.Steps[0].Checkpoints = true
	return j
}

// Guards against a job whose record is longer than a row, so that no owner can commit and all jobs stand still: its
// occurrences overlap, and its tasks have checkpoints. Also guards against a next owner that restores only a part of the
// record and starts tasks again.
func TestRecordLongerThanARow(t *testing.T) {
	cases := []struct {
		name               string
		tasks, occurrences int
		checkpoint         string
		newOwner           bool
		// rows is the smallest number of rows that the record takes while occurrences overlap.
		rows int
	}{
		{"three occurrences", 1500, 3, "00000bb87a21d94b", false, 2},
		{"three occurrences and a new owner", 1500, 3, "00000bb87a21d94b", true, 2},
		{"as many occurrences as may run", flow.MaxTasks, 5, "00000bb87a21d94b", true, 2},
		{"checkpoints that do not fit into a commit", flow.MaxTasks, 5, strings.Repeat("c", 160), true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, hosts := newSlowTable(3*time.Millisecond), newFakeHosts(100, 40*time.Millisecond)
				hosts.checkpoint = c.checkpoint
				d := startDriver(t, table, table, hosts)
				time.Sleep(time.Second)
				wide := scheduledJob(0, c.tasks, c.occurrences)
				if _, err := d.Submit(t.Context(), wide, fold.Check{}); err != nil {
					t.Fatal(err)
				}
				longest := 0
				for deadline := time.Now().Add(20 * time.Second); longest < c.rows; time.Sleep(100 * time.Millisecond) {
					rows, err := table.Scan(t.Context(), drive.StatePrefix+wide.ID, "", 0)
					if longest = max(longest, len(rows)); err != nil || time.Now().After(deadline) {
						t.Fatalf("the record takes at most %d rows, error %v; want %d", longest, err, c.rows)
					}
				}
				if c.newOwner {
					d = startDriver(t, table, table, hosts)
				}
				if _, err := d.Submit(t.Context(), testJob(1, 3), fold.Check{}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
				if state, _, _ := d.State(testJob(1, 3).ID); state != flow.Completed {
					t.Errorf("the other job has state %q, want completed", state)
				}
				time.Sleep(2 * time.Minute)
				if rec, err := drive.ReadRecord(t.Context(), table, wide.ID); err == nil && rec.State != flow.Completed {
					t.Errorf("the scheduled job has state %q, want completed", rec.State)
				}
				if rows, _ := table.Scan(t.Context(), drive.StatePrefix+wide.ID, "", 0); len(rows) > 1 {
					t.Errorf("%d rows of the record are left, want at most one", len(rows))
				}
				hosts.mu.Lock()
				defer hosts.mu.Unlock()
				if want := c.tasks*c.occurrences + 3; hosts.starts != want {
					t.Errorf("%d starts of %d tasks", hosts.starts, want)
				}
			})
		})
	}
}

// Guards against a job that is accepted although its row is too long for the table, so that no owner could commit it.
func TestJobLongerThanARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSlowTable(3 * time.Millisecond)
		d := startDriver(t, table, table, newFakeHosts(2, 100*time.Millisecond))
		time.Sleep(time.Second)
		long := testJob(1, 1)
		long.Steps[0].Image = strings.Repeat("i", platformRow)
		if _, err := d.Submit(t.Context(), long, fold.Check{}); !errorx.IsOfType(err, fold.TooLarge) {
			t.Errorf("error %v, want too large", err)
		}
		if _, err := d.Submit(t.Context(), testJob(2, 1), fold.Check{}); err != nil {
			t.Errorf("the next job: %v", err)
		}
	})
}

// Guards against a commit that the table refuses because many long jobs arrive at the same time.
func TestManyLongJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSlowTable(20 * time.Millisecond)
		d := startDriver(t, table, table, newFakeHosts(40, 100*time.Millisecond))
		time.Sleep(time.Second)
		for n := range 60 {
			go func() {
				long := testJob(n, 1)
				long.Steps[0].Image = strings.Repeat("i", platformRow*3/4)
				// Under this load a refusal is in order, but the commit must not fail.
				if _, err := d.Submit(t.Context(), long, fold.Check{}); err != nil && !errorx.IsOfType(err, fold.Overload) {
					t.Error(err)
				}
			}()
		}
		time.Sleep(5 * time.Second)
		if _, err := d.Submit(t.Context(), testJob(100, 1), fold.Check{}); err != nil {
			t.Errorf("a job after the long ones: %v", err)
		}
	})
}

// Guards against one undecodable row, or one job that nobody could run, that keeps every owner from taking the pool over, and
// against a job that runs again from its beginning because its record cannot be decoded.
func TestUnreadableRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := newSlowTable(0), newFakeHosts(4, time.Second)
		garbage := []byte{1, 0xff, 0x00}
		endless := testJob(4, math.MaxInt64)
		endless.Steps = append(endless.Steps, endless.Steps[0])
		puts := []fold.Put{
			{Key: drive.UsedTable + "0000", Value: garbage},
			{Key: drive.BacklogTable + "000000000001-000001", Value: garbage},
			{Key: drive.JobPrefix + testJob(3, 1).ID, Value: garbage},
			encoded(t, drive.JobPrefix+testJob(1, 1).ID, testJob(1, 1)),
			{Key: drive.StatePrefix + testJob(1, 1).ID, Value: garbage},
			encoded(t, drive.JobPrefix+testJob(2, 1).ID, testJob(2, 1)),
			encoded(t, drive.JobPrefix+endless.ID, endless),
			encoded(t, drive.InboxPrefix+endless.ID, endless),
		}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		d := startDriver(t, table, table, hosts)
		if _, err := d.Submit(t.Context(), endless, fold.Check{}); !fold.DidNotRun(err) {
			t.Errorf("job that cannot be run: error %v, want a refusal", err)
		}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{encoded(t, drive.InboxPrefix+"ffffffffffffffff", endless)}}); err != nil {
			t.Fatal(err)
		}
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
