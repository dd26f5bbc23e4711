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
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/plat"
)

// clock follows the time of a synctest bubble.
type clock struct{}

func (clock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// slow is a table that takes a while for reads and counts commits.
type slow struct {
	*plat.Table
	reads   time.Duration
	commits atomic.Int64
}

func (s *slow) Get(ctx context.Context, key string) (fold.Row, error) {
	select {
	case <-ctx.Done():
		return fold.Row{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	case <-time.After(s.reads):
	}
	return s.Table.Get(ctx, key)
}

func (s *slow) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	s.commits.Add(1)
	return s.Table.Commit(ctx, t)
}

// rules is a configuration that does not change.
type rules struct{}

func (rules) Read(context.Context) (fold.Rules, int64, error) {
	return fold.Rules{Revision: 1, Queues: []fold.Queue{{Name: "q", Host: "h", Prefix: "/p/"}}, Teams: []fold.TeamRule{{Name: "t", Keys: []string{"k"}}}}, 0, nil
}

func (r rules) Next(ctx context.Context, _ int64, _ time.Duration) (fold.Rules, int64, bool, error) {
	now, version, err := r.Read(ctx)
	return now, version, false, err
}

func (rules) Check(version int64) fold.Check { return fold.Check{Key: "op/rules", Version: version} }

// owner answers every submission with err.
type owner struct{ err error }

func (o owner) Submit(context.Context, flow.Job, fold.Check) (bool, error) { return false, o.err }
func (o owner) Cancel(context.Context, string, fold.Check) error           { return o.err }
func (o owner) State(context.Context, string) (flow.State, string, error)  { return "", "", o.err }

// Pattern: the table is slow for all entries. Guards against writes of single entries that crowd it, whose outcome callers
// are not told, and against refusals that name no time to come back.
func TestNoWritesToASlowTable(t *testing.T) {
	cases := []struct {
		name  string
		reads time.Duration
		owner front.Owner
		// accepted says that the entry writes the job itself.
		accepted bool
	}{
		{"no owner, quick table", 4 * time.Millisecond, nil, true},
		{"no owner, slow table", 200 * time.Millisecond, nil, false},
		{"owner turned away, quick table", 4 * time.Millisecond, owner{err: fold.Unavailable.New("turned away")}, true},
		{"owner finds the table overloaded", 4 * time.Millisecond, owner{err: fold.Overload.New("busy")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slow{Table: plat.NewTable(), reads: c.reads}
				followed := front.NewRules(rules{}, clock{}, hclog.NewNullLogger(), func(fold.Rules) {})
				if err := followed.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				f := front.New(table, followed, rules{}, clock{}, hclog.NewNullLogger(), func(string) (int, bool) { return 0, false }, func() front.Owner { return c.owner })
				caller := front.Caller{Key: "k", Host: "h", Path: "/p/0123456789abcdef", Budget: 3 * time.Second}
				err := f.Submit(t.Context(), caller, flow.Job{Steps: []flow.Step{{Count: 1}}})
				if (err == nil) != c.accepted || (table.commits.Load() > 0) != c.accepted {
					t.Fatalf("error %v, %d commits", err, table.commits.Load())
				}
				refused := errorx.IsOfType(err, fold.Unavailable) || errorx.IsOfType(err, fold.Overload)
				if err != nil && (!refused || !fold.DidNotRun(err) || fold.RetryAfter(err) <= 0) {
					t.Errorf("error %v, come back after %s; want a refusal as not run", err, fold.RetryAfter(err))
				}
			})
		})
	}
}
