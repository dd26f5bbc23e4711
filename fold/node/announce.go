package node

import (
	"context"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
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

const (
	// servedTime is how long the table takes at most for a read when it serves an entry well.
	servedTime = 50 * time.Millisecond
	// servedFor is how long it must have done so: a commit to a slow table takes up to a few seconds.
	servedFor = 3 * time.Second
)

// served reports whether the table serves this entry well, now and for some time. Just after the table was slow for all,
// the answer to the owner's commit may be on its way.
func (n *Node) served(ctx context.Context) bool {
	n.mu.Lock()
	slow := n.seat.slow
	n.mu.Unlock()
	if slow != 0 && n.clock.Now().Sub(slow) < servedFor {
		return false
	}
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

// ended is what an entry answers to the question about the owner of an epoch that has ended.
type ended struct {
	Incarnation string `json:"incarnation"`
	// Told says that the owner has announced runs without records.
	Told bool `json:"told"`
}

// closed ends the epoch for this entry, which refuses its later announcements, and returns what the owner has announced.
func (n *Node) closed(epoch int64) ended {
	n.closeEpoch(epoch)
	n.mu.Lock()
	defer n.mu.Unlock()
	return ended{Incarnation: n.incarnation, Told: n.announcement.Epoch == epoch && n.announcement.On}
}

// othersDeny reports whether an entry that the last row of the owner names was not told of runs without records. The
// owner starts such runs only after all of them were told.
func (n *Node) othersDeny(ctx context.Context, owner lead.Owner) bool {
	node := n.peers.link()
	if node == nil || len(owner.Entries) == 0 {
		return false
	}
	rows, err := n.peers.registered(ctx)
	if err != nil {
		n.log.Debug("Could not read the entries.", "error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTime)
	defer cancel()
	answers := make(chan bool)
	asked := 0
	for _, entry := range rows {
		if !slices.Contains(owner.Entries, entry.Incarnation) {
			continue
		}
		asked++
		go func() {
			told, err := peer.Call[int64, ended](ctx, node, entry.Address, closeCall, owner.Epoch)
			answers <- err == nil && told.Incarnation == entry.Incarnation && !told.Told
		}()
	}
	denied := false
	for range asked {
		if <-answers {
			denied = true
			cancel()
		}
	}
	return denied
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
