package node

import (
	"context"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
)

// announcement says that the owner of an epoch starts runs without records, or no longer does.
type announcement struct {
	Epoch  int64 `json:"epoch"`
	Number int64 `json:"number"`
	On     bool  `json:"on"`
}

// announced notes an announcement; one that was overtaken by a later one changes nothing. It is refused once this entry
// has begun to take over from that owner, or knows of a newer one. While the table serves this entry well it is not noted,
// which the answer tells: the owner then should not go on without the table.
func (n *Node) announced(a announcement, served bool) (noted bool, err error) {
	if served {
		return false, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Epoch <= n.taking || a.Epoch < n.seat.owner.Epoch {
		return false, fold.Refuse(fold.Fenced, "let the newer owner go on", "epoch %d has ended", a.Epoch)
	}
	last := n.announcement
	if a.Epoch > last.Epoch || a.Epoch == last.Epoch && (a.Number > last.Number || a.Number == last.Number && !a.On) {
		n.announcement = a
		n.log.Debug("Runs without records.", "epoch", a.Epoch, "on", a.On)
	}
	return true, nil
}

// servedTime is how long the table takes at most for a read when it serves an entry well.
const servedTime = 50 * time.Millisecond

// served reports whether the table serves this entry well now.
func (n *Node) served(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, servedTime)
	defer cancel()
	_, _, err := lead.Read(ctx, n.parts.Table)
	return err == nil
}

// invited makes this entry take over from the owner of the epoch at once.
func (n *Node) invited(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving.Load() {
		return false
	}
	n.invitation = epoch
	select {
	case n.invitedNow <- struct{}{}:
	default:
	}
	return true
}

// closeEpoch refuses later announcements of an epoch from which this entry is about to take over.
func (n *Node) closeEpoch(epoch int64) {
	n.mu.Lock()
	n.taking = max(n.taking, epoch)
	n.mu.Unlock()
}

// mustAwait reports whether an owner may have started runs without records, as far as this entry knows.
func (n *Node) mustAwait(owner lead.Owner) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case owner.Epoch == 0:
		return false
	case n.announcement.Epoch == owner.Epoch && n.announcement.On:
		return true
	case owner.Entry == "":
		// It has handed over.
		return false
	default:
		return !slices.Contains(owner.Entries, n.incarnation)
	}
}
