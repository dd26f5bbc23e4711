package drive

import (
	"context"
	"sync"
	"time"
)

const (
	// noticeTime bounds the announcement to the other entries, which answer within a message and back.
	noticeTime = 250 * time.Millisecond
	// inviteAfter is how long records are held up before another entry, which the table serves, is asked to take over; it
	// is less than the time after which the others would do so by themselves.
	inviteAfter = 500 * time.Millisecond
)

// notice is what the other entries know of runs without records.
type notice struct {
	mu sync.Mutex
	// entries are those that the row of the owner names.
	entries []string
	// number counts announcements, on says that all entries noted the last one, asking that one is under way.
	number     int64
	on, asking bool
	// clear says that the announcement is to be taken back.
	clear bool
}

// mayStartUnrecorded reports whether runs may start before they are recorded: records are held up, this entry still
// owns the pool, and each entry that could take over knows that it has to look for such runs. The caller holds the lock
// of the cell.
func (d *Driver) mayStartUnrecorded(ctx context.Context) bool {
	if !d.heldUp() || !d.renewable() {
		return false
	}
	n := &d.notice
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.on || n.asking {
		return n.on
	}
	n.asking, n.clear = true, true
	n.number++
	number, entries := n.number, n.entries
	d.spawn(func() {
		call, cancel := context.WithTimeout(ctx, noticeTime)
		noted := d.parts.Announce(call, entries, d.term.Epoch(), number, true)
		cancel()
		if !noted && d.heldUpFor() > inviteAfter {
			d.parts.Invite(ctx, d.term.Epoch())
		}
		n.mu.Lock()
		n.asking, n.on = false, noted
		n.mu.Unlock()
		if noted {
			poke(d.wake)
		}
	})
	return false
}

// recordedAll notes that a commit has succeeded whose row named the entries. The announcement ends once everything that
// was started without a record is in a later commit.
func (d *Driver) recordedAll(ctx context.Context, entries []string) {
	n := &d.notice
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries = entries
	if n.on {
		n.on = false
		poke(d.record)
		return
	}
	if !n.clear || n.asking {
		return
	}
	n.clear = false
	number := n.number
	d.spawn(func() {
		call, cancel := context.WithTimeout(ctx, noticeTime)
		defer cancel()
		d.parts.Announce(call, entries, d.term.Epoch(), number, false)
	})
}
