package node

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
)

// snapshotTimeout bounds a request for a snapshot.
const snapshotTimeout = 300 * time.Millisecond

// snapshot is an entry's copy of the table's configuration and owner, for an entry that cannot reach the table.
type snapshot struct {
	// Declared is what the operator has declared. Its rules contain only the evacuated failure domains if the asking entry has
	// the same version of the configuration.
	Declared fold.Declared `json:"declared"`
	// RulesAge is the time since the table confirmed the configuration.
	RulesAge time.Duration `json:"rulesage"`
	// Owner is the owner's row.
	Owner lead.Owner `json:"owner"`
	// OwnerVersion is the version of the owner's row.
	OwnerVersion int64 `json:"ownerversion"`
	// OwnerAge is the time since the table confirmed the owner's row.
	OwnerAge time.Duration `json:"ownerage"`
}

// snapshotFor returns this entry's snapshot for an entry that has the given version of the configuration.
func (n *Node) snapshotFor(known int64) snapshot {
	_, _, age := n.rules.Current()
	out := snapshot{Declared: n.rules.Declared(), RulesAge: age}
	if out.Declared.Version == known {
		out.Declared.Rules = fold.Rules{Evacuated: out.Declared.Rules.Evacuated}
	}
	n.mu.Lock()
	out.Owner, out.OwnerVersion, out.OwnerAge = n.ownerRow.owner, n.ownerRow.version, n.clock.Now().Sub(n.ownerRow.readAt)
	n.mu.Unlock()
	if d := n.currentDriver(); d != nil {
		out.Owner.Entry, out.Owner.Address, out.Owner.Epoch = n.settings.Name, n.settings.Peers, d.Epoch()
	}
	if d, err := n.loadedDriver(); err == nil {
		out.Owner.Waiting, out.OwnerAge = d.Waiting(), 0
	}
	return out
}

// fetchSnapshot asks the owner of the pool for a snapshot and applies its owner's row.
func (n *Node) fetchSnapshot(ctx context.Context, known int64) (declared fold.Declared, age time.Duration, err error) {
	n.mu.Lock()
	s := n.ownerRow
	n.mu.Unlock()
	transport := n.peers.peerTransport()
	if transport == nil || s.owner.Address == "" || s.owner.Entry == n.settings.Name {
		return fold.Declared{}, 0, fold.Refuse(fold.Unavailable, "wait for the table", "cannot ask another entry for the configuration: no other owner is known")
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	sent := n.clock.Now()
	reply, err := peer.Call[int64, snapshot](ctx, transport, s.owner.Address, snapshotCall, known)
	if err != nil {
		return fold.Declared{}, 0, err
	}
	n.mu.Lock()
	if readAt := sent.Add(-reply.OwnerAge); reply.Owner.Epoch >= n.ownerRow.owner.Epoch && readAt > n.ownerRow.readAt {
		n.ownerRow.owner, n.ownerRow.readAt = reply.Owner, readAt
	}
	n.mu.Unlock()
	return reply.Declared, reply.RulesAge, nil
}
