package lead_test

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/lease"
	"plantainfold.example/fold/plat"
)

// faultyTable is a table that refuses commits or loses their answers.
type faultyTable struct {
	fold.Table
	// before runs before each commit; its error refuses the commit. after runs after each successful commit; its error
	// replaces the answer.
	before, after func() error
}

func (f *faultyTable) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	if f.before != nil {
		if err := f.before(); err != nil {
			return 0, err
		}
	}
	version, err := f.Table.Commit(ctx, t)
	if err == nil && f.after != nil {
		if lost := f.after(); lost != nil {
			return 0, lost
		}
	}
	return version, err
}

func takeOver(t *testing.T, table fold.Table, entry string) *lead.Term {
	t.Helper()
	owner, version, err := lead.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	term, err := lead.TakeOver(t.Context(), table, fold.BootClock{}, owner, version, lead.Owner{Entry: entry, Incarnation: entry + "-1"})
	if err != nil {
		t.Fatal(err)
	}
	return term
}

// Guards against an owner that treats a commit as failed although it took effect, writes it twice, or continues after
// another entry has taken over.
func TestTerm(t *testing.T) {
	row := fold.Txn{Puts: []fold.Put{{Key: "state/a", Value: []byte("x")}}}
	cases := []struct {
		name string
		run  func(t *testing.T, table *faultyTable, term *lead.Term) error
		want *errorx.Type
	}{
		{"successful commit", func(t *testing.T, _ *faultyTable, term *lead.Term) error {
			return term.Commit(t.Context(), row, lead.PoolState{})
		}, nil},
		{"lost answer", func(t *testing.T, table *faultyTable, term *lead.Term) error {
			lost := false
			table.after = func() error {
				if lost {
					return nil
				}
				lost = true
				return fold.Unknown.New("the answer was lost")
			}
			return term.Commit(t.Context(), row, lead.PoolState{})
		}, nil},
		{"table not reached", func(t *testing.T, table *faultyTable, term *lead.Term) error {
			table.before = func() error { return fold.Refuse(fold.Unavailable, "", "the table is busy") }
			err := term.Commit(t.Context(), row, lead.PoolState{})
			table.before = nil
			return err
		}, fold.Unavailable},
		{"another entry took over", func(t *testing.T, table *faultyTable, term *lead.Term) error {
			takeOver(t, table, "two")
			return term.Commit(t.Context(), row, lead.PoolState{})
		}, fold.Fenced},
		{"failed check of a request", func(t *testing.T, _ *faultyTable, term *lead.Term) error {
			txn := row
			txn.Checks = []fold.Check{{Key: "job/a", Version: 7}}
			return term.Commit(t.Context(), txn, lead.PoolState{})
		}, fold.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &faultyTable{Table: plat.NewTable()}
			term := takeOver(t, table, "one")
			err := c.run(t, table, term)
			if c.want == nil && err != nil || c.want != nil && !errorx.IsOfType(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			_, err = table.Get(t.Context(), "state/a")
			if written := err == nil; written != (c.want == nil) {
				t.Errorf("row written: %v, although the commit returned %v", written, c.want)
			}
			if c.want == fold.Fenced {
				return
			}
			if err := term.Commit(t.Context(), fold.Txn{}, lead.PoolState{}); err != nil {
				t.Errorf("the next commit failed: %v", err)
			}
		})
	}
}

// Guards against an owner that takes a commit without an answer for one that was not applied, because the row of the next
// owner no longer shows it.
func TestTakeoverHidesACommit(t *testing.T) {
	cases := []struct {
		name string
		// applied reports whether the attempt without an answer reaches the table.
		applied bool
	}{
		{"applied before the takeover", true},
		{"lost on its way", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &faultyTable{Table: plat.NewTable()}
			term := takeOver(t, table, "one")
			lost := false
			fail := func() error {
				if lost {
					return nil
				}
				lost = true
				takeOver(t, table.Table, "two")
				return fold.Unknown.New("the answer was lost")
			}
			if c.applied {
				table.after = fail
			} else {
				table.before = fail
			}
			err := term.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: "state/a", Value: []byte("x")}}}, lead.PoolState{})
			if err == nil || fold.DidNotRun(err) {
				t.Errorf("error %v, want one that leaves open whether the commit was applied", err)
			}
			if _, err := table.Get(t.Context(), "state/a"); (err == nil) != c.applied {
				t.Errorf("row written: %v, want %v", err == nil, c.applied)
			}
		})
	}
}

// Guards against an epoch that does not increase with a takeover, and against a row that still names an owner after it
// handed over.
func TestHandOver(t *testing.T) {
	table := plat.NewTable()
	first := takeOver(t, table, "one")
	if err := first.Commit(t.Context(), fold.Txn{}, lead.PoolState{Waiting: map[string]int{"q": 3}, Entries: []string{"two-1"}, FitCount: 1}); err != nil {
		t.Fatal(err)
	}
	if err := first.Release(t.Context(), lease.Bounds{}); err != nil {
		t.Fatal(err)
	}
	owner, _, err := lead.Read(t.Context(), table)
	if err != nil || owner.Entry != "" || owner.Waiting["q"] != 3 {
		t.Errorf("owner %+v after the hand-over, error %v; want no entry and the waiting jobs", owner, err)
	}
	if second := takeOver(t, table, "two"); second.Epoch() <= first.Epoch() {
		t.Errorf("epoch %d follows epoch %d; want a higher one", second.Epoch(), first.Epoch())
	}
}
