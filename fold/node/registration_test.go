package node

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/plat"
)

// lateTable is a table that answers no commits and performs them when the test does.
type lateTable struct {
	*plat.Table
	late []fold.Txn
}

func (l *lateTable) Commit(_ context.Context, txn fold.Txn) (int64, error) {
	l.late = append(l.late, txn)
	return 0, fold.Unknown.New("no answer")
}

// Guards against an entry that is never listed: a registration or its removal by an earlier process of the entry got no answer and
// is performed after the present process has registered.
func TestLateRegistrationOfEarlierProcess(t *testing.T) {
	cases := []struct {
		name string
		// call is what the earlier process does. registered is true if it has registered before.
		call       func(p *peers) error
		registered bool
	}{
		{"registration", func(p *peers) error { return p.register(t.Context()) }, false},
		{"second registration", func(p *peers) error { return p.register(t.Context()) }, true},
		{"removal", func(p *peers) error { return p.unregister(t.Context()) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := plat.NewTable()
			process := func(incarnation string, table fold.Table) *peers {
				return &peers{name: "entry-1", table: table, log: hclog.NewNullLogger(), self: registration{Address: incarnation, Incarnation: incarnation}}
			}
			if c.registered {
				if err := process("first", table).register(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			late := &lateTable{Table: table}
			if err := c.call(process("first", late)); !errorx.IsOfType(err, fold.Unknown) || len(late.late) != 1 {
				t.Fatalf("error %v, %d commits; want one without an answer", err, len(late.late))
			}
			if err := process("second", table).register(t.Context()); err != nil {
				t.Fatal(err)
			}
			_, err := table.Commit(t.Context(), late.late[0])
			if row, readErr := table.Get(t.Context(), entryPrefix+"entry-1"); readErr != nil {
				t.Errorf("no registration is left: %v; the late commit: %v", readErr, err)
			} else if found, decodeErr := codec.Decode[registration](row.Value); decodeErr != nil || found.Incarnation != "second" {
				t.Errorf("the registration is of process %q, error %v; the late commit: %v", found.Incarnation, decodeErr, err)
			}
		})
	}
}

// Guards against a registration that stays after its entry has stopped, because the entry got no answer to it.
func TestRegistrationIsRemoved(t *testing.T) {
	table := plat.NewTable()
	late := &lateTable{Table: table}
	p := &peers{name: "entry-1", table: late, log: hclog.NewNullLogger(), self: registration{Address: "a", Incarnation: "first"}}
	if err := p.register(t.Context()); err == nil {
		t.Fatal("the registration was answered")
	}
	if _, err := table.Commit(t.Context(), late.late[0]); err != nil {
		t.Fatal(err)
	}
	p.table = table
	for range 2 {
		if err := p.unregister(t.Context()); err != nil {
			t.Error(err)
		}
	}
	if _, err := table.Get(t.Context(), entryPrefix+"entry-1"); !errorx.IsOfType(err, fold.NotFound) {
		t.Errorf("the registration is left: %v", err)
	}
}
