package drive

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// announceTimeout limits an announcement to the other entries, which answer within one round trip.
	announceTimeout = 250 * time.Millisecond
	// inviteAfter is how long a commit may be stalled before another entry, which the table serves, is asked to take over.
	// It is shorter than the time after which the others take over by themselves.
	inviteAfter = 500 * time.Millisecond
	// minInviteAge is how old a term must be before its owner invites another entry. If the table leaves commits of all entries without an
	// answer, the pool would otherwise change its owner about once a second.
	minInviteAge = 3 * time.Second
)

// announcement holds what the other entries know about runs without records. An entry that the owner's row lists takes over
// without looking for such runs, unless it was told of them; an entry that the row does not list always looks for them.
type announcement struct {
	mu sync.Mutex
	// listed are the entries that the owner's row may list: those of the last successful commit and those of the attempts
	// since then, which may have been applied.
	listed []string
	// told are the entries to which the last announcement was sent.
	told []string
	// number counts the announcements.
	number int64
	// on is true if all entries in told have recorded the last announcement. sending is true while one is being sent.
	on, sending bool
	// clearDue is true if the announcement has to be revoked.
	clearDue bool
}

// mayStartUnrecorded reports whether runs may start before they are recorded. This requires that a commit is stalled, that
// this entry still owns the pool, and that each entry that could take over knows that such runs may exist. The caller holds
// the lock of the cell.
func (d *Driver) mayStartUnrecorded(ctx context.Context) bool {
	if !d.stalled() || !d.mayRenewLocked() {
		return false
	}
	n := &d.announcement
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.on || n.sending {
		return n.on
	}
	n.sending, n.clearDue = true, true
	n.number++
	n.told = n.listed
	number, entries := n.number, n.told
	d.spawn(func() {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		recorded := d.parts.Announce(call, entries, d.term.Epoch(), number, true)
		cancel()
		if !recorded && d.stalledFor() > inviteAfter && d.parts.Clock.Now().Sub(d.term.Began()) > minInviteAge {
			d.parts.Invite(ctx, d.term.Epoch())
		}
		n.mu.Lock()
		n.sending, n.on = false, recorded
		n.mu.Unlock()
		if recorded {
			notify(d.decideWake)
		}
	})
	return false
}

// beginCommit returns the entries that the next attempt to commit may list, out of the given ones. Until an announcement is
// revoked, only entries that were told of it are listed.
func (n *announcement) beginCommit(entries []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clearDue {
		entries = slices.DeleteFunc(slices.Clone(entries), func(e string) bool { return !slices.Contains(n.told, e) })
	}
	listed := slices.Clone(n.listed)
	for _, e := range entries {
		if !slices.Contains(listed, e) {
			listed = append(listed, e)
		}
	}
	n.listed = listed
	return entries
}

// afterCommit handles a successful commit whose owner row lists the given entries.
func (d *Driver) afterCommit(entries []string) {
	n := &d.announcement
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listed = entries
	if n.on {
		n.on = false
		notify(d.commitWake)
	}
}

// beginBatch reports whether the announcement can be revoked once a batch of records is written that is taken from the cell
// afterwards: no further run starts without a record. It returns the number of the announcement.
func (n *announcement) beginBatch() (number int64, revocable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.number, n.clearDue && !n.on && !n.sending
}

// revoke revokes the announcement with the number, unless another one was sent meanwhile.
func (d *Driver) revoke(ctx context.Context, number int64) {
	n := &d.announcement
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.number != number || !n.clearDue {
		return
	}
	n.clearDue = false
	entries := n.told
	d.spawn(func() {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		d.parts.Announce(call, entries, d.term.Epoch(), number, false)
	})
}
