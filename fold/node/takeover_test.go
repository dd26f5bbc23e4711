package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/plat"
)

// other serves an entry that answers the question about an epoch, and registers it.
func other(t *testing.T, table fold.Table, key []byte, name string, answer ended) {
	t.Helper()
	side := peer.New(name, answer.Incarnation, key, hclog.NewNullLogger())
	peer.Handle(side, closeCall, func(context.Context, string, int64) (ended, error) { return answer, nil })
	mux := http.NewServeMux()
	mux.Handle(peer.Path, side)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		_ = side.Close()
		server.Close()
	})
	value := mustEncode(t, registration{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: answer.Incarnation})
	if _, err := table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: entryPrefix + name, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a new owner that waits for all hosts although another entry knows that no runs without records were
// started, and against one that does not wait because of an entry that cannot know.
func TestOthersDenyRunsWithoutRecords(t *testing.T) {
	cases := []struct {
		name   string
		others []ended
		want   bool
	}{
		{"nobody answers", nil, false},
		{"one was not told", []ended{{Incarnation: "b-1"}}, true},
		{"one was told", []ended{{Incarnation: "b-1", Told: true}}, false},
		{"only one of two was told", []ended{{Incarnation: "b-1", Told: true}, {Incarnation: "c-1"}}, true},
		{"started again since", []ended{{Incarnation: "b-2"}}, false},
		{"not named by the row", []ended{{Incarnation: "d-1"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := plat.NewTable()
			key := []byte("0123456789abcdef0123456789abcdef")
			for i, o := range c.others {
				other(t, table, key, "entry-"+string(rune('b'+i)), o)
			}
			side := peer.New("entry-a", "a-2", key, hclog.NewNullLogger())
			t.Cleanup(func() { _ = side.Close() })
			n := &Node{incarnation: "a-2", log: hclog.NewNullLogger(), peers: &peers{name: "entry-a", table: table, log: hclog.NewNullLogger(), node: side}}
			owner := lead.Owner{Entry: "entry-a", Incarnation: "a-1", Epoch: 3, Entries: []string{"b-1", "c-1"}}
			if got := n.othersDeny(t.Context(), owner); got != c.want {
				t.Errorf("denied %v, want %v", got, c.want)
			}
		})
	}
}

// Pattern: the table was slow for all entries and has just recovered. Guards against an entry that takes the pool over at
// the invitation of an owner whose commit is about to be answered.
func TestServedNowIsNotEnough(t *testing.T) {
	table := plat.NewTable()
	if _, err := table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: lead.Key, Value: mustEncode(t, lead.Owner{Entry: "b", Epoch: 1})}}}); err != nil {
		t.Fatal(err)
	}
	n := &Node{parts: Parts{Table: table}, clock: fold.BootClock{}}
	if !n.served(t.Context()) {
		t.Error("an entry that the table always answers at once is not served")
	}
	n.seat.slow = n.clock.Now().Add(-time.Second)
	if n.served(t.Context()) {
		t.Error("an entry that the table answered slowly a moment ago counts as served")
	}
}

func mustEncode[T any](t *testing.T, v T) []byte {
	t.Helper()
	value, err := codec.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against an entry that says that it does not own the pool while the answer to its takeover is on its way: others
// then take over from it.
func TestAttemptCountsAsOwned(t *testing.T) {
	n := &Node{}
	if got := n.owned(); got != 0 {
		t.Errorf("owned epoch %d, want 0", got)
	}
	n.setAttempt(7)
	if got := n.owned(); got != 7 {
		t.Errorf("owned epoch %d during a takeover, want 7", got)
	}
}
