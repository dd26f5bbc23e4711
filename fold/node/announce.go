package node

import (
	"context"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
)

// announcement tells an entry whether the owner of an epoch starts unrecorded runs: runs that the owner starts before the
// table has their records, because its commits are stalled.
type announcement struct {
	// Epoch is the epoch of the owner.
	Epoch int64 `json:"epoch"`
	// Number orders the announcements of an epoch.
	Number int64 `json:"number"`
	// On reports whether the owner starts unrecorded runs.
	On bool `json:"on"`
}

// recordAnnouncement stores an announcement unless a later one has arrived. It returns a Fenced error if this entry has
// begun to take over from that owner or knows a newer owner. It returns false if the table is healthy for this entry: the
// owner then must not start unrecorded runs.
func (n *Node) recordAnnouncement(a announcement, healthy bool) (recorded bool, err error) {
	if healthy {
		return false, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Epoch <= n.closedEpoch || a.Epoch < n.ownerRow.owner.Epoch {
		return false, fold.Refuse(fold.Fenced, "stop acting as the owner", "epoch %d has ended", a.Epoch)
	}
	last := n.announcement
	if a.Epoch > last.Epoch || a.Epoch == last.Epoch && (a.Number > last.Number || a.Number == last.Number && !a.On) {
		n.announcement = a
		n.log.Debug("The owner announced whether it starts unrecorded runs.", "epoch", a.Epoch, "on", a.On)
	}
	return true, nil
}

const (
	// healthyReadTime is the longest duration of a read from a healthy table.
	healthyReadTime = 50 * time.Millisecond
	// healthyPeriod is how long reads must have been fast. A commit to a slow table takes up to a few seconds.
	healthyPeriod = 3 * time.Second
)

// tableHealthy reports whether the table answers this entry's reads quickly and has done so for healthyPeriod. Shortly
// after the table was slow for all entries, the owner may still receive the answer to its commit.
func (n *Node) tableHealthy(ctx context.Context) bool {
	n.mu.Lock()
	lastSlowRead := n.ownerRow.lastSlowRead
	n.mu.Unlock()
	if lastSlowRead != 0 && n.clock.Now().Sub(lastSlowRead) < healthyPeriod {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthyReadTime)
	defer cancel()
	_, _, err := lead.Read(ctx, n.parts.Table)
	return err == nil
}

// acceptInvitation makes this entry take over from the owner of the epoch at once. It returns false if the entry is leaving.
func (n *Node) acceptInvitation(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving.Load() {
		return false
	}
	n.invitation = epoch
	select {
	case n.invited <- struct{}{}:
	default:
	}
	return true
}

// closeEpoch makes this entry refuse announcements of the epoch and of earlier ones, before it takes over from their owner.
func (n *Node) closeEpoch(epoch int64) {
	n.mu.Lock()
	n.closedEpoch = max(n.closedEpoch, epoch)
	n.mu.Unlock()
}

// closeReply is an entry's answer to a new owner that asks it to close an earlier epoch.
type closeReply struct {
	// Incarnation identifies the process of the entry that answers.
	Incarnation string `json:"incarnation"`
	// Announced reports whether the owner of that epoch announced unrecorded runs to the entry.
	Announced bool `json:"told"`
}

// answerClose closes the epoch at this entry and returns whether the owner of the epoch announced unrecorded runs.
func (n *Node) answerClose(epoch int64) closeReply {
	n.closeEpoch(epoch)
	n.mu.Lock()
	defer n.mu.Unlock()
	return closeReply{Incarnation: n.incarnation, Announced: n.announcement.Epoch == epoch && n.announcement.On}
}

// othersExcludeUnrecordedRuns reports whether an entry listed in the last owner's row received no announcement of unrecorded
// runs. The owner starts such runs only after all listed entries have recorded the announcement.
func (n *Node) othersExcludeUnrecordedRuns(ctx context.Context, owner lead.Owner) bool {
	transport := n.peers.peerTransport()
	if transport == nil || len(owner.Entries) == 0 {
		return false
	}
	rows, err := n.peers.readRegistrations(ctx)
	if err != nil {
		n.log.Debug("Could not read the registrations of the entries.", "error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answers := make(chan bool)
	asked := 0
	for _, entry := range rows {
		if !slices.Contains(owner.Entries, entry.Incarnation) {
			continue
		}
		asked++
		go func() {
			reply, err := peer.Call[int64, closeReply](ctx, transport, entry.Address, closeCall, owner.Epoch)
			answers <- err == nil && reply.Incarnation == entry.Incarnation && !reply.Announced
		}()
	}
	excluded := false
	for range asked {
		if <-answers {
			excluded = true
			cancel()
		}
	}
	return excluded
}

// unrecordedRunsPossible reports whether the owner may have started unrecorded runs, as far as this entry knows.
func (n *Node) unrecordedRunsPossible(owner lead.Owner) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case owner.Epoch == 0:
		return false
	case n.announcement.Epoch == owner.Epoch && n.announcement.On:
		return true
	default:
		// An owner that hands the pool over may leave such runs behind, too.
		return !slices.Contains(owner.Entries, n.incarnation)
	}
}
