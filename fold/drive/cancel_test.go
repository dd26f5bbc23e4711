package drive_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
)

// lateSubmission is a submission of an entry that got no answer. The table performs it while its conditions hold.
func lateSubmission(t *testing.T, job flow.Job) fold.Txn {
	t.Helper()
	key := drive.InboxPrefix + job.ID
	return fold.Txn{
		Checks: []fold.Check{{Key: key}, {Key: drive.JobPrefix + job.ID}, {Key: drive.StatePrefix + job.ID}},
		Puts:   []fold.Put{encoded(t, key, job)},
	}
}

// cancelRows returns the keys of the rows of cancellation requests.
func cancelRows(t *testing.T, table fold.Table) []string {
	t.Helper()
	var keys []string
	for _, prefix := range []string{drive.JobPrefix, drive.InboxPrefix} {
		rows, err := table.Scan(t.Context(), prefix, "", 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			if strings.HasSuffix(row.Key, drive.CancelMark) {
				keys = append(keys, row.Key)
			}
		}
	}
	return keys
}

// cancelledBy returns a request of a team to cancel a job, as another entry writes it.
func cancelledBy(t *testing.T, team, id string) fold.Put {
	t.Helper()
	value, err := drive.EncodeCancellation(team)
	if err != nil {
		t.Fatal(err)
	}
	return fold.Put{Key: drive.InboxPrefix + id + drive.CancelMark, Value: value}
}

// Guards against a job that runs although its cancellation was acknowledged: its submission got no answer and is performed after the
// cancellation found no job, possibly under the next owner.
func TestLateSubmissionOfCancelledJob(t *testing.T) {
	cases := []struct {
		name string
		// team is the team of the caller that cancels.
		team string
		// byEntry is true if another entry writes the request, false if the owner does.
		byEntry, takeover bool
		// late is the time from the request to the submission.
		late time.Duration
		want flow.State
	}{
		{"recorded by the owner", "crews", false, false, 6 * time.Second, flow.Cancelled},
		{"recorded by the owner, then a takeover", "crews", false, true, 6 * time.Second, flow.Cancelled},
		{"recorded by an entry", "crews", true, false, 6 * time.Second, flow.Cancelled},
		{"recorded by an entry, then a takeover", "crews", true, true, 6 * time.Second, flow.Cancelled},
		{"by a caller without a key", "", false, true, 6 * time.Second, flow.Cancelled},
		{"after a submission that went on for a minute", "crews", false, true, 70 * time.Second, flow.Cancelled},
		{"by another team", "others", false, true, 6 * time.Second, flow.Completed},
		{"long ago", "crews", false, false, 5 * time.Minute, flow.Completed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, hosts := newSlowTable(3*time.Millisecond), newFakeHosts(4, 200*time.Millisecond)
				d := startDriver(t, table, table, hosts)
				time.Sleep(time.Second)
				job := testJob(1, 1)
				if c.byEntry {
					if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{cancelledBy(t, c.team, job.ID)}}); err != nil {
						t.Fatal(err)
					}
				} else if err := d.Cancel(t.Context(), job.ID, c.team, fold.Check{}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if c.takeover {
					d = startDriver(t, table, table, hosts)
				}
				time.Sleep(c.late - time.Second)
				if _, err := table.Table.Commit(t.Context(), lateSubmission(t, job)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
				if state, _, _ := d.State(job.ID); state != c.want {
					t.Errorf("the job has state %q, want %s", state, c.want)
				}
				if c.want == flow.Cancelled && hosts.startCount() > 0 {
					t.Errorf("%d runs started", hosts.startCount())
				}
				if rows := cancelRows(t, table.Table); len(rows) > 0 {
					t.Errorf("rows %q are left", rows)
				}
			})
		})
	}
}

// Guards against rows that stay for good: each request to cancel a job that does not exist leaves one, and each owner counts its
// age anew.
func TestCancellationsOfUnknownJobsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := newSlowTable(3*time.Millisecond), newFakeHosts(2, 200*time.Millisecond)
		d := startDriver(t, table, table, hosts)
		const requests = 200
		for n := range requests {
			if err := d.Cancel(t.Context(), testJob(n, 1).ID, "crews", fold.Check{}); err != nil {
				t.Fatal(err)
			}
		}
		// One request is made twice, and one is recorded by two entries.
		if err := d.Cancel(t.Context(), testJob(0, 1).ID, "crews", fold.Check{}); err != nil {
			t.Fatal(err)
		}
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{cancelledBy(t, "crews", testJob(1, 1).ID)}}); err != nil {
			t.Fatal(err)
		}
		if rows := cancelRows(t, table.Table); len(rows) != requests+1 {
			t.Fatalf("%d rows for %d requests", len(rows), requests+1)
		}
		for range 4 {
			time.Sleep(25 * time.Second)
			d = startDriver(t, table, table, hosts)
		}
		time.Sleep(30 * time.Second)
		if rows := cancelRows(t, table.Table); len(rows) != 0 {
			t.Errorf("%d rows are left after 130 s", len(rows))
		}
		if _, err := d.Submit(t.Context(), testJob(0, 1), fold.Check{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if state, _, _ := d.State(testJob(0, 1).ID); state != flow.Completed {
			t.Errorf("a job that is submitted after its request has expired has state %q, want completed", state)
		}
	})
}

// Guards against a request that expires with an older one for the same job, which another entry has recorded and the next owner reads
// after it.
func TestNewestCancellationExpiresLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := newSlowTable(3*time.Millisecond), newFakeHosts(2, 200*time.Millisecond)
		d := startDriver(t, table, table, hosts)
		job := testJob(1, 1)
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{cancelledBy(t, "crews", job.ID)}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(80 * time.Second)
		if err := d.Cancel(t.Context(), job.ID, "crews", fold.Check{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		d = startDriver(t, table, table, hosts)
		time.Sleep(15 * time.Second)
		if _, err := table.Table.Commit(t.Context(), lateSubmission(t, job)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if state, _, _ := d.State(job.ID); state != flow.Cancelled {
			t.Errorf("the job has state %q, want cancelled", state)
		}
	})
}

// ambiguousTable counts the transactions that name a row twice. The platform does not say what becomes of such a row.
type ambiguousTable struct {
	*slowTable
	ambiguous atomic.Int64
}

func (a *ambiguousTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	named := make(map[string]bool)
	for _, put := range txn.Puts {
		if named[put.Key] {
			a.ambiguous.Add(1)
		}
		named[put.Key] = true
	}
	for _, key := range txn.Deletes {
		if named[key] {
			a.ambiguous.Add(1)
		}
	}
	return a.slowTable.Commit(ctx, txn)
}

// Guards against a request that is lost when it is made again just as its row is deleted, or twice for the same commit.
func TestCancellationMadeAgainAsItExpires(t *testing.T) {
	const requests, spacing = 500, 5 * time.Millisecond
	cases := []struct {
		name string
		// after is the time from the expiry of a request until it is made again.
		after time.Duration
	}{
		{"in the commit that would delete its row", 2 * spacing},
		{"in an earlier commit, because more rows expire than a commit deletes", 100 * spacing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, hosts := &ambiguousTable{slowTable: newSlowTable(3 * time.Millisecond)}, newFakeHosts(2, 200*time.Millisecond)
				d := startDriver(t, table, table, hosts)
				var running sync.WaitGroup
				requestAll := func() {
					for n := range requests {
						for range 2 {
							running.Go(func() {
								if err := d.Cancel(t.Context(), testJob(n, 1).ID, "crews", fold.Check{}); err != nil {
									t.Error(err)
								}
							})
						}
						time.Sleep(spacing)
					}
				}
				requestAll()
				time.Sleep(90*time.Second - requests*spacing + c.after)
				requestAll()
				running.Wait()
				time.Sleep(5 * time.Second)
				if rows := cancelRows(t, table.Table); len(rows) != requests {
					t.Errorf("%d rows, want those of the %d requests that were made again", len(rows), requests)
				}
				if n := table.ambiguous.Load(); n > 0 {
					t.Errorf("%d transactions name a row twice", n)
				}
			})
		})
	}
}
