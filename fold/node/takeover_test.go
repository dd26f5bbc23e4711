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
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/plat"
)

// serveEntry starts and registers an entry that answers each close call with the given reply.
func serveEntry(t *testing.T, table fold.Table, key []byte, name string, answer closeReply) {
	t.Helper()
	transport := peer.New(name, answer.Incarnation, key, hclog.NewNullLogger())
	peer.Handle(transport, closeCall, func(context.Context, string, int64) (closeReply, error) { return answer, nil })
	mux := http.NewServeMux()
	mux.Handle(peer.Path, transport)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		_ = transport.Close()
		server.Close()
	})
	value := mustEncode(t, registration{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: answer.Incarnation})
	if _, err := table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: entryPrefix + name, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a new owner that waits for all hosts although a listed entry proves that there are no unrecorded runs, and
// against one that does not wait because of the reply of an entry that cannot prove it.
func TestOthersDenyRunsWithoutRecords(t *testing.T) {
	cases := []struct {
		name   string
		others []closeReply
		want   bool
	}{
		{"no entry answers", nil, false},
		{"one received no announcement", []closeReply{{Incarnation: "b-1"}}, true},
		{"one received the announcement", []closeReply{{Incarnation: "b-1", Announced: true}}, false},
		{"only one of two received the announcement", []closeReply{{Incarnation: "b-1", Announced: true}, {Incarnation: "c-1"}}, true},
		{"restarted since", []closeReply{{Incarnation: "b-2"}}, false},
		{"not listed in the row", []closeReply{{Incarnation: "d-1"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := plat.NewTable()
			key := []byte("0123456789abcdef0123456789abcdef")
			for i, reply := range c.others {
				serveEntry(t, table, key, "entry-"+string(rune('b'+i)), reply)
			}
			transport := peer.New("entry-a", "a-2", key, hclog.NewNullLogger())
			t.Cleanup(func() { _ = transport.Close() })
			n := &Node{incarnation: "a-2", log: hclog.NewNullLogger(), peers: &peers{name: "entry-a", table: table, log: hclog.NewNullLogger(), transport: transport}}
			owner := lead.Owner{Entry: "entry-a", Incarnation: "a-1", Epoch: 3, Entries: []string{"b-1", "c-1"}}
			if got := n.othersExcludeUnrecordedRuns(t.Context(), owner); got != c.want {
				t.Errorf("unrecorded runs excluded: %v, want %v", got, c.want)
			}
		})
	}
}

// The table was slow for all entries and has just recovered. Guards against an entry that accepts an invitation to take over
// from an owner whose commit is about to be answered.
func TestServedNowIsNotEnough(t *testing.T) {
	table := plat.NewTable()
	if _, err := table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: lead.OwnerKey, Value: mustEncode(t, lead.Owner{Entry: "b", Epoch: 1})}}}); err != nil {
		t.Fatal(err)
	}
	n := &Node{parts: Parts{Table: table}, clock: fold.BootClock{}}
	if !n.tableHealthy(t.Context()) {
		t.Error("a table that always answers at once is not healthy")
	}
	n.ownerRow.lastSlowRead = n.clock.Now().Add(-time.Second)
	if n.tableHealthy(t.Context()) {
		t.Error("a table that answered slowly a second ago is healthy")
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

// Guards against an entry that answers that it does not own the pool while it waits for the answer to its takeover commit:
// other entries would then take over from it.
func TestAttemptCountsAsOwned(t *testing.T) {
	n := &Node{}
	if got := n.ownedEpoch(); got != 0 {
		t.Errorf("owned epoch %d, want 0", got)
	}
	n.setAttemptedEpoch(7)
	if got := n.ownedEpoch(); got != 7 {
		t.Errorf("owned epoch %d during a takeover, want 7", got)
	}
}

// Guards against a new owner that tells callers that no job waits, because it has not loaded the jobs yet.
func TestWaitingBeforeLoad(t *testing.T) {
	table := plat.NewTable()
	term, err := lead.TakeOver(t.Context(), table, fold.BootClock{}, lead.Owner{}, 0, lead.Owner{Entry: "a", Incarnation: "a-1"})
	if err != nil {
		t.Fatal(err)
	}
	clock := fold.BootClock{}
	n := &Node{clock: clock, rules: front.NewRules(nil, clock, hclog.NewNullLogger(), nil)}
	n.ownerRow = ownerRowState{owner: lead.Owner{Entry: "b", Waiting: map[string]int{"q": 3}}, version: 1, readAt: clock.Now()}
	n.setDriver(drive.New(drive.Parts{Table: table, Clock: clock, Logger: hclog.NewNullLogger()}, term, fold.Rules{}))
	if waiting, ok := n.waiting("q"); !ok || waiting != 3 {
		t.Errorf("%d jobs wait, known %v; want the 3 of the last owner", waiting, ok)
	}
	if s := n.snapshotFor(0); s.Owner.Waiting["q"] != 3 || s.Owner.Entry != n.settings.Name {
		t.Errorf("snapshot of the owner %+v, want the 3 waiting jobs of the last owner", s.Owner)
	}
	n.ownerRow.readAt = clock.Now().Add(-2 * maxCountsAge)
	if _, ok := n.waiting("q"); ok {
		t.Error("counts that are too old are reported")
	}
}
