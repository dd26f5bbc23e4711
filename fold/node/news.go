package node

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
)

// newsTime bounds the question for news.
const newsTime = 300 * time.Millisecond

// news is what an entry tells another one that does not reach the table. Ages say how long ago the table confirmed it.
type news struct {
	// Rules are set when they are newer than what the other entry knows; Version is that of their row.
	Rules    *fold.Rules   `json:"rules,omitempty"`
	Version  int64         `json:"version"`
	RulesAge time.Duration `json:"rulesage"`
	// Owner and OwnerVersion are the row of the owner.
	Owner        lead.Owner    `json:"owner"`
	OwnerVersion int64         `json:"ownerversion"`
	OwnerAge     time.Duration `json:"ownerage"`
}

// tellNews returns what this entry knows; known is the version of the rules that the other entry has.
func (n *Node) tellNews(known int64) news {
	b, version, age := n.rules.Current()
	out := news{Version: version, RulesAge: age}
	if b != nil && version > known {
		rules := b.Rules()
		out.Rules = &rules
	}
	n.mu.Lock()
	out.Owner, out.OwnerVersion, out.OwnerAge = n.seat.owner, n.seat.version, n.clock.Now().Sub(n.seat.read)
	n.mu.Unlock()
	if d := n.owning(); d != nil {
		out.Owner.Entry, out.Owner.Address, out.Owner.Epoch = n.settings.Name, n.settings.Peers, d.Epoch()
		out.Owner.Waiting, out.OwnerAge = d.Waiting(), 0
	}
	return out
}

// askNews asks the owner of the pool for what the table would tell.
func (n *Node) askNews(ctx context.Context, known int64) (rules *fold.Rules, version int64, age time.Duration, err error) {
	n.mu.Lock()
	s := n.seat
	n.mu.Unlock()
	node := n.peers.link()
	if node == nil || s.owner.Address == "" || s.owner.Entry == n.settings.Name {
		return nil, 0, 0, fold.Refuse(fold.Unavailable, "wait for the table", "no other entry is known")
	}
	ctx, cancel := context.WithTimeout(ctx, newsTime)
	defer cancel()
	sent := n.clock.Now()
	told, err := peer.Call[int64, news](ctx, node, s.owner.Address, newsCall, known)
	if err != nil {
		return nil, 0, 0, err
	}
	n.mu.Lock()
	if read := sent.Add(-told.OwnerAge); told.Owner.Epoch >= n.seat.owner.Epoch && read > n.seat.read {
		n.seat.owner, n.seat.read = told.Owner, read
	}
	n.mu.Unlock()
	return told.Rules, told.Version, told.RulesAge, nil
}
