package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/plat"
)

// Guards against an entry that forgets that the owner may have started runs without records, because announcements and
// revocations overtake each other or come from several owners. Each is repeated and delivered in a random order.
func TestAnnouncementsOvertakeEachOther(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var sent []announcement
		for epoch := int64(1); epoch <= 3; epoch++ {
			for number := int64(1); number <= 3; number++ {
				for range 1 + random.IntN(2) {
					sent = append(sent, announcement{Epoch: epoch, Number: number, On: true})
				}
				if number < 3 {
					sent = append(sent, announcement{Epoch: epoch, Number: number})
				}
			}
		}
		random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		n := &Node{incarnation: "a-1", log: hclog.NewNullLogger()}
		for _, a := range sent {
			if recorded, err := n.recordAnnouncement(a, false); err != nil || !recorded {
				t.Errorf("seed %d: announcement %+v: recorded %v, error %v", seed, a, recorded, err)
			}
		}
		// The last owner has not revoked its last announcement. The row lists the entry.
		if !n.unrecordedRunsPossible(lead.Owner{Entry: "b", Epoch: 3, Entries: []string{"a-1"}}) || !n.answerClose(3).Announced {
			t.Errorf("seed %d: the entry does not know of the runs of the last owner after %+v", seed, sent)
		}
		if _, err := n.recordAnnouncement(announcement{Epoch: 3, Number: 4, On: true}, false); !errorx.IsOfType(err, fold.Fenced) {
			t.Errorf("seed %d: error %v for an announcement in a closed epoch", seed, err)
		}
	}
}

// Guards against an entry that was told by an owner, failed to take over from it, and takes the word of that owner for the
// word of a later one, or the other way round.
func TestAnnouncementOfOtherOwner(t *testing.T) {
	listed := []string{"a-1"}
	cases := []struct {
		name  string
		told  announcement
		owner lead.Owner
		want  bool
	}{
		{"told by this owner", announcement{Epoch: 3, Number: 1, On: true}, lead.Owner{Entry: "b", Epoch: 3, Entries: listed}, true},
		{"told by this owner, not listed", announcement{Epoch: 3, Number: 1, On: true}, lead.Owner{Entry: "b", Epoch: 3}, true},
		{"told by this owner before it handed over", announcement{Epoch: 3, Number: 1, On: true}, lead.Owner{Epoch: 3, Entries: listed}, true},
		{"told by an earlier owner", announcement{Epoch: 2, Number: 1, On: true}, lead.Owner{Entry: "b", Epoch: 3, Entries: listed}, false},
		{"told by an earlier owner, not listed", announcement{Epoch: 2, Number: 1, On: true}, lead.Owner{Entry: "b", Epoch: 3}, true},
		{"told by a later owner, not listed", announcement{Epoch: 4, Number: 1, On: true}, lead.Owner{Entry: "b", Epoch: 3}, true},
		{"not told", announcement{}, lead.Owner{Entry: "b", Epoch: 3, Entries: listed}, false},
		{"no owner yet", announcement{}, lead.Owner{}, false},
	}
	for _, c := range cases {
		n := &Node{incarnation: "a-1", log: hclog.NewNullLogger()}
		if c.told.Epoch > 0 {
			if _, err := n.recordAnnouncement(c.told, false); err != nil {
				t.Fatal(err)
			}
		}
		// The takeover from the owner that told it has failed.
		n.closeEpoch(c.told.Epoch)
		if got := n.unrecordedRunsPossible(c.owner); got != c.want {
			t.Errorf("%s: unrecorded runs possible: %v, want %v", c.name, got, c.want)
		}
	}
}

// announcingTable calls announce when a commit arrives.
type announcingTable struct {
	*plat.Table
	announce func()
}

func (a *announcingTable) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	if a.announce != nil {
		a.announce()
	}
	return a.Table.Commit(ctx, t)
}

// Guards against an owner that starts runs without records because an entry records its announcement while the entry's own
// takeover is on its way.
func TestEntryClosesEpochBeforeTakeover(t *testing.T) {
	table := &announcingTable{Table: plat.NewTable()}
	first, err := lead.TakeOver(t.Context(), table, virtualClock{}, lead.Owner{}, 0, lead.Owner{Entry: "b", Incarnation: "b-1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Commit(t.Context(), fold.Txn{}, lead.PoolState{Entries: []string{"a-1"}, FitCount: 1}); err != nil {
		t.Fatal(err)
	}
	owner, version, err := lead.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	rules := front.NewRules(simulatedRules{}, virtualClock{}, hclog.NewNullLogger(), func(fold.Rules) {})
	if err := rules.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	n := &Node{settings: Settings{Name: "a", Cores: 1}, incarnation: "a-1", clock: virtualClock{}, log: hclog.NewNullLogger(), rules: rules, parts: Parts{Table: table}}
	answer := "none"
	table.announce = func() {
		recorded, err := n.recordAnnouncement(announcement{Epoch: owner.Epoch, Number: 1, On: true}, false)
		answer = fmt.Sprintf("recorded %v, error %v", recorded, err)
		if !errorx.IsOfType(err, fold.Fenced) {
			t.Errorf("announcement during the takeover: %s; want Fenced", answer)
		}
	}
	if _, err := n.takeOver(t.Context(), owner, version); err != nil {
		t.Fatal(err)
	}
	if answer == "none" {
		t.Error("the takeover made no commit")
	}
}
