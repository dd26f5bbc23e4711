package front_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/bubble"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/plat"
)

// clock returns the time of a synctest bubble.
type clock struct{}

func (clock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (clock) After(d time.Duration) <-chan time.Time { return bubble.After(d) }

// slowTable is a table that delays reads and counts commits.
type slowTable struct {
	*plat.Table
	readTime time.Duration
	commits  atomic.Int64
	// commitErr is the error of all commits, or nil.
	commitErr error
}

func (s *slowTable) Get(ctx context.Context, key string) (fold.Row, error) {
	select {
	case <-ctx.Done():
		return fold.Row{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	case <-bubble.After(s.readTime):
	}
	return s.Table.Get(ctx, key)
}

func (s *slowTable) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	s.commits.Add(1)
	if s.commitErr != nil {
		return 0, s.commitErr
	}
	return s.Table.Commit(ctx, t)
}

// maxRow is the longest value of a row in bytes.
const maxRow = 64 << 10

// rules is a rules source whose configuration never changes.
type rules struct{}

func (rules) Read(context.Context) (fold.Declared, error) {
	return fold.Declared{Rules: fold.Rules{Revision: 1, Queues: []fold.Queue{{Name: "q", Host: "h", Prefix: "/p/"}}, Teams: []fold.TeamRule{{Name: "t", Keys: []string{"k"}}}}}, nil
}

func (rules) Next(_ context.Context, known fold.Declared, _ time.Duration) (fold.Declared, bool, error) {
	return known, false, nil
}

func (rules) Check(version int64) fold.Check { return fold.Check{Key: "op/rules", Version: version} }

// owner is an owner that fails each call with err.
type owner struct{ err error }

func (o owner) Submit(context.Context, flow.Job, fold.Check) (bool, error) { return false, o.err }
func (o owner) Cancel(context.Context, string, string, fold.Check) error   { return o.err }
func (o owner) State(context.Context, string) (flow.State, string, error)  { return "", "", o.err }

// The table is slow for all entries. Guards against entries that add writes to the load and leave their outcome unknown to
// callers, and against refusals without a retry time.
func TestNoWritesToASlowTable(t *testing.T) {
	cases := []struct {
		name  string
		reads time.Duration
		owner front.Owner
		// accepted is whether the entry writes the job itself.
		accepted bool
	}{
		{"no owner, fast table", 4 * time.Millisecond, nil, true},
		{"no owner, slow table", 200 * time.Millisecond, nil, false},
		{"owner unavailable, fast table", 4 * time.Millisecond, owner{err: fold.Unavailable.New("unavailable")}, true},
		{"owner finds the table overloaded", 4 * time.Millisecond, owner{err: fold.Overload.New("busy")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{Table: plat.NewTable(), readTime: c.reads}
				followed := front.NewRules(rules{}, clock{}, hclog.NewNullLogger(), func(fold.Rules) {})
				if err := followed.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				f := front.New(table, followed, rules{}, clock{}, hclog.NewNullLogger(), func(string) (int, bool) { return 0, false }, func() front.Owner { return c.owner }, maxRow)
				caller := front.Caller{Key: "k", Host: "h", Path: "/p/0123456789abcdef", Budget: 3 * time.Second}
				err := f.Submit(t.Context(), caller, flow.Job{Steps: []flow.Step{{Count: 1}}})
				if (err == nil) != c.accepted || (table.commits.Load() > 0) != c.accepted {
					t.Fatalf("error %v, %d commits", err, table.commits.Load())
				}
				refused := errorx.IsOfType(err, fold.Unavailable) || errorx.IsOfType(err, fold.Overload)
				if err != nil && (!refused || !fold.DidNotRun(err) || fold.RetryAfter(err) <= 0) {
					t.Errorf("error %v, retry after %s; want a refusal with the NotRun trait and a retry time", err, fold.RetryAfter(err))
				}
			})
		})
	}
}

// cancelTable is a table with one running job whose commits fail with err.
type cancelTable struct {
	*plat.Table
	err error
}

func (c *cancelTable) Commit(context.Context, fold.Txn) (int64, error) { return 0, c.err }

// Guards against a caller that is told that its request to cancel a job was not recorded, although an attempt had no answer.
func TestCancelWithoutAnswer(t *testing.T) {
	lost, refused := fold.Unknown.New("no answer"), fold.Unavailable.New("unavailable")
	cases := []struct {
		name         string
		owner, table error
		notRun       bool
	}{
		{"both refuse", refused, refused, true},
		{"the owner does not answer", lost, refused, false},
		{"the table does not answer", refused, lost, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := plat.NewTable()
				value, err := codec.Encode(flow.Record{State: flow.Running, Team: "t"})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := rows.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: drive.StatePrefix + "0123456789abcdef", Value: value}}}); err != nil {
					t.Fatal(err)
				}
				followed := front.NewRules(rules{}, clock{}, hclog.NewNullLogger(), func(fold.Rules) {})
				if err := followed.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				f := front.New(&cancelTable{Table: rows, err: c.table}, followed, rules{}, clock{}, hclog.NewNullLogger(), func(string) (int, bool) { return 0, false }, func() front.Owner { return owner{err: c.owner} }, maxRow)
				err = f.Cancel(t.Context(), front.Caller{Key: "k", Host: "h", Path: "/p/0123456789abcdef", Budget: 3 * time.Second})
				if err == nil || fold.DidNotRun(err) != c.notRun {
					t.Errorf("error %v, want one with the NotRun trait: %v", err, c.notRun)
				}
			})
		})
	}
}

// outdatedRules is a rules source whose feed no longer reaches back to the last read.
type outdatedRules struct {
	rules
	revision, reads atomic.Int64
}

func (o *outdatedRules) Read(context.Context) (fold.Declared, error) {
	o.reads.Add(1)
	revision := o.revision.Load()
	return fold.Declared{Rules: fold.Rules{Revision: revision}, Version: revision, Position: revision}, nil
}

func (*outdatedRules) Next(context.Context, fold.Declared, time.Duration) (fold.Declared, bool, error) {
	return fold.Declared{}, false, fold.Refuse(fold.Outdated, "read the table again", "the history is gone")
}

// Guards against a configuration, for example a lowered limit or a withdrawn key, that never comes into force because the feed
// no longer reaches back to the last read, and against calls without a pause.
func TestRulesAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &outdatedRules{}
		source.revision.Store(1)
		var applied atomic.Int64
		followed := front.NewRules(source, clock{}, hclog.NewNullLogger(), func(r fold.Rules) { applied.Store(r.Revision) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			followed.Run(ctx)
		}()
		time.Sleep(time.Second)
		source.revision.Store(2)
		time.Sleep(2 * time.Second)
		if applied.Load() != 2 {
			t.Errorf("revision %d is in force 2 s after the change, want 2", applied.Load())
		}
		if reads := source.reads.Load(); reads > 6 {
			t.Errorf("the configuration was read %d times in 3 s", reads)
		}
		cancel()
		<-done
	})
}

// endingTable is a table on which a job ends right before its row is read.
type endingTable struct {
	*plat.Table
	t *testing.T
}

func (e endingTable) Get(ctx context.Context, key string) (fold.Row, error) {
	if key == drive.JobPrefix+endingJob {
		value, err := codec.Encode(flow.Record{State: flow.Completed, Team: "t"})
		if err != nil {
			e.t.Error(err)
		}
		if _, err := e.Commit(ctx, fold.Txn{Puts: []fold.Put{{Key: drive.StatePrefix + endingJob, Value: value}}, Deletes: []string{key}}); err != nil {
			e.t.Error(err)
		}
	}
	return e.Table.Get(ctx, key)
}

const endingJob = "0123456789abcdef"

// Guards against the answer that there is no such job for a job that ends while an entry without an owner reads its rows.
func TestStateOfAJobThatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		followed := front.NewRules(rules{}, clock{}, hclog.NewNullLogger(), func(fold.Rules) {})
		if err := followed.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		table := endingTable{Table: plat.NewTable(), t: t}
		f := front.New(table, followed, rules{}, clock{}, hclog.NewNullLogger(), func(string) (int, bool) { return 0, false }, func() front.Owner { return nil }, maxRow)
		state, _, err := f.Read(t.Context(), front.Caller{Key: "k", Host: "h", Path: "/p/" + endingJob, Budget: 3 * time.Second})
		if err != nil || state != flow.Completed {
			t.Errorf("state %q, error %v; want completed", state, err)
		}
	})
}

// countingOwner is an owner that knows no job and counts the requests to cancel one, which fail with err.
type countingOwner struct {
	owner
	cancels *atomic.Int64
	err     error
}

func (o countingOwner) Cancel(context.Context, string, string, fold.Check) error {
	o.cancels.Add(1)
	return o.err
}

// Guards against the answer that there is no such job before the request to cancel it is durable: a submission without an answer may
// still take effect. Guards also against entries that write such requests to a table that has too much to write.
func TestCancelOfUnknownJob(t *testing.T) {
	unavailable, overload, lost := fold.Unavailable.New("unavailable"), fold.Overload.New("busy"), fold.Unknown.New("no answer")
	cases := []struct {
		name     string
		hasOwner bool
		// owner and table are the results of the owner and of the table.
		owner, table error
		want         *errorx.Type
		// writes is true if this entry writes the request.
		writes bool
	}{
		{"recorded by the owner", true, nil, nil, fold.Gone, false},
		{"no owner", false, nil, nil, fold.Gone, true},
		{"the owner is not available", true, unavailable, nil, fold.Gone, true},
		{"the owner does not answer", true, lost, nil, fold.Gone, true},
		{"the owner refuses for lack of room", true, overload, nil, fold.Unavailable, false},
		{"neither records it", true, unavailable, unavailable, fold.Unavailable, true},
		{"no owner, and the table does not answer", false, nil, lost, fold.Unknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{Table: plat.NewTable(), readTime: 4 * time.Millisecond, commitErr: c.table}
				followed := front.NewRules(rules{}, clock{}, hclog.NewNullLogger(), func(fold.Rules) {})
				if err := followed.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				var cancels atomic.Int64
				reached := func() front.Owner {
					if !c.hasOwner {
						return nil
					}
					return countingOwner{owner: owner{err: fold.Gone.New("unknown")}, cancels: &cancels, err: c.owner}
				}
				f := front.New(table, followed, rules{}, clock{}, hclog.NewNullLogger(), func(string) (int, bool) { return 0, false }, reached, maxRow)
				err := f.Cancel(t.Context(), front.Caller{Key: "k", Host: "h", Path: "/p/0123456789abcdef", Budget: 3 * time.Second})
				if !errorx.IsOfType(err, c.want) || table.commits.Load() > 0 != c.writes || cancels.Load() > 0 != c.hasOwner {
					t.Errorf("error %v, %d commits, %d requests to the owner; want %v, commits %v", err, table.commits.Load(), cancels.Load(), c.want, c.writes)
				}
				if _, err := table.Table.Get(t.Context(), drive.InboxPrefix+"0123456789abcdef"+drive.CancelMark); (err == nil) != (c.writes && c.table == nil) {
					t.Errorf("reading the request from the table: %v", err)
				}
			})
		})
	}
}
