package node

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
)

// rejectingTable is a table that answers each commit with the error.
type rejectingTable struct {
	fold.Table
	err error
}

func (r *rejectingTable) Commit(context.Context, fold.Txn) (int64, error) {
	return 0, r.err
}

// Guards against a table that turns calls away without a line in the log, and against a line for each call.
func TestFailedTableCallsAreLogged(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want string
	}{
		{"overload", fold.Refuse(fold.Overload, "", "429"), "commitsOverloaded=100"},
		{"not carried out", fold.Refuse(fold.Unavailable, "", "503"), "commitsUnavailable=100"},
		{"no answer", fold.Unknown.New("lost"), "commitsUnknown=100"},
		{"failed condition", fold.ConflictOn("a/b"), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				log := hclog.New(&hclog.LoggerOptions{Output: &out})
				clock := virtualClock{}
				table := newObservedTable(&rejectingTable{Table: plat.NewTable(), err: c.err}, clock, log)
				for range 99 {
					_, _ = table.Commit(t.Context(), fold.Txn{})
				}
				<-clock.After(tableReportInterval)
				_, _ = table.Commit(t.Context(), fold.Txn{})
				lines := strings.Count(out.String(), "Calls to the table failed.")
				if c.want == "" && lines != 0 || c.want != "" && (lines != 1 || !strings.Contains(out.String(), c.want)) {
					t.Errorf("%d lines, want one with %q: %s", lines, c.want, out.String())
				}
			})
		})
	}
}
