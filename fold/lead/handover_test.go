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

// lastAnswerTable is a table that calls lost instead of answering commits while it is set.
type lastAnswerTable struct {
	*plat.Table
	lost func()
}

func (l *lastAnswerTable) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	version, err := l.Table.Commit(ctx, t)
	if err == nil && l.lost != nil {
		l.lost()
		return 0, fold.Unknown.New("the answer was lost")
	}
	return version, err
}

// Guards against an entry that believes that it has handed the pool over although the row still names it: its last commit was
// applied without an answer and has the same count as the hand-over. Other entries then wait until they find it gone.
func TestHandOverAfterCommitWithoutAnswer(t *testing.T) {
	table := &lastAnswerTable{Table: plat.NewTable()}
	term, err := lead.TakeOver(t.Context(), table, fold.BootClock{}, lead.Owner{}, 0, lead.Owner{Entry: "entry-0", Incarnation: "entry-0-1"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	table.lost = cancel
	if err := term.Commit(ctx, fold.Txn{}, lead.PoolState{Entries: []string{"entry-1-1"}, FitCount: 1}); !errorx.IsOfType(err, fold.Unknown) {
		t.Fatalf("error %v, want an unknown outcome", err)
	}
	table.lost = nil
	err = term.Release(t.Context(), lease.Bounds{})
	owner, _, readErr := lead.Read(t.Context(), table)
	if readErr != nil {
		t.Fatal(readErr)
	}
	if err != nil || owner.Entry != "" {
		t.Errorf("hand-over: error %v, and the row names %q; want neither", err, owner.Entry)
	}
}
