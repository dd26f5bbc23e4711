package entry

import (
	"context"
	"slices"
	"strings"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
)

// kindStatus is the kind of calls that ask a peer for its status.
const kindStatus = "status"

// statusCall asks a peer for its status.
type statusCall struct{}

// Status returns the status of this entry and its pools, and the peers from which it has heartbeats.
func (e *Entry) Status(context.Context) fold.Status {
	mode := e.standing()
	s := fold.Status{
		Entry:    e.settings.Name,
		Domain:   e.settings.Domain,
		Standing: mode != owner.ModeNone,
		Current:  e.requireFresh() == nil,
		Leaving:  e.isLeaving(),
		Mode:     string(mode),
		Revision: e.current.Load().number,
		Entries:  []string{e.settings.Name},
		Measures: e.measures.last(),
	}
	for _, b := range e.heartbeats() {
		s.Entries = append(s.Entries, b.ID)
	}
	slices.Sort(s.Entries)
	for _, p := range e.allPools() {
		s.Pools = append(s.Pools, p.status())
	}
	slices.SortFunc(s.Pools, func(a, b fold.PoolStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return s
}

// Cell returns the status of all entries that answer.
func (e *Entry) Cell(ctx context.Context, c fold.Caller) ([]fold.Status, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	all := []fold.Status{e.Status(ctx)}
	for _, p := range e.registeredPeers() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := peer.Call[statusCall, fold.Status](callCtx, e.node, p.Address, kindStatus, statusCall{})
		cancel()
		if err == nil {
			all = append(all, answer)
		}
	}
	slices.SortFunc(all, func(a, b fold.Status) int { return strings.Compare(a.Entry, b.Entry) })
	return all, nil
}
