package drive

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
)

// Tables of the jobs.
const (
	// JobTable holds the accepted jobs that have not ended and the wishes to cancel them, as the owner wrote them; InboxTable
	// holds those that other entries wrote. The owner follows only the latter: its own rows would come back to it.
	JobTable   = "job/"
	InboxTable = "inbox/"
	// StateTable holds the progress of jobs, for a while after their end, too.
	StateTable = "state/"
	// CancelMark follows the id of a job in the key of a wish to cancel it.
	CancelMark = "~cancel"
)

const (
	// maxRows and maxBytes keep a commit below what the platform takes in a call, 100 rows and 1 MB.
	maxRows  = 80
	maxBytes = 500 << 10
	// sweepEvery is how often the states of jobs that ended long ago are looked for, sweepRows how many rows of ended jobs a
	// commit removes beside what it writes.
	sweepEvery = 2 * time.Second
	sweepRows  = 30
	// heldUpAfter is how long a commit may take before runs are started without their records; the table usually takes
	// a few milliseconds.
	heldUpAfter = 60 * time.Millisecond
	// finishTime bounds how long a commit goes on after the driver was told to stop.
	finishTime = time.Second
	// gather is how long a commit waits for more decisions of the same moment. Commits begin at least commitEvery apart, so
	// that under load each of them carries more: calls to the table have a price, and each commit wakes the relays.
	gather      = 4 * time.Millisecond
	commitEvery = 20 * time.Millisecond
)

// commit writes the records of the cell, one commit at a time, and renews the ownership in between.
func (d *Driver) commit(ctx context.Context) {
	swept := d.parts.Clock.Now()
	// A commit under way is finished after the end of ctx, so that its outcome is known when the pool is handed over.
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finishTime, cancel) })()
	began := swept
	for {
		renew := d.parts.Clock.After(lead.RenewInterval)
		select {
		case <-ctx.Done():
			return
		case <-renew:
		case <-d.record:
			if !d.pause(ctx, max(gather, commitEvery-d.parts.Clock.Now().Sub(began))) {
				return
			}
		}
		due := d.parts.Clock.Now().Sub(d.committed) >= lead.RenewInterval
		began = d.parts.Clock.Now()
		if began.Sub(swept) >= sweepEvery {
			swept = began
			d.with(func(*core.Cell) { d.forget() })
		}
		if err := d.commitOnce(call, due); err != nil {
			if ctx.Err() == nil {
				d.depose(err)
			}
			return
		}
	}
}

// commitOnce writes what has changed and what callers wish, or only renews when that is due.
func (d *Driver) commitOnce(ctx context.Context, due bool) error {
	var b batch
	d.with(func(c *core.Cell) {
		b.writes = c.Snapshot()
		b.planned = c.SnapshotPending()
		b.waiting = c.Waiting()
		b.hosts, b.hostsChanged = c.HostsToRecord()
	})
	if b.hostsChanged {
		var err error
		if b.used, b.stale, err = d.used.changes(d.term.Epoch(), b.hosts); err != nil {
			return err
		}
	}
	b.requests = olderChecks(d.takeRequests(maxRows - len(b.used) - len(b.stale)))
	if len(b.writes) == 0 && len(b.requests) == 0 && !due && !b.planned {
		return nil
	}
	room := maxRows - len(b.requests) - len(b.writes) - len(b.used) - len(b.stale)
	var done []string
	b.moved, done = d.backlog.take(room, b.writes)
	if d.term.UsualCommitTime() < heldUpAfter {
		d.with(func(*core.Cell) { b.deletes = d.rows[:max(0, min(len(d.rows), sweepRows, room-len(b.moved)))] })
	}
	if err := d.write(ctx, b); err != nil {
		return err
	}
	var orders core.Orders
	var over []string
	d.with(func(c *core.Cell) {
		c.SnapshotRecorded(b.writes)
		if b.hostsChanged {
			c.SetRecordedHosts(b.hosts)
			d.used.note(b.used, b.stale)
		}
		orders = c.Orders()
		d.rows = append(d.rows[len(b.deletes):], done...)
		over = d.finished(b.writes)
		d.finished(b.moved)
	})
	d.backlog.keys = d.backlog.keys[len(done):]
	d.send(orders)
	d.forgetTexts(over)
	return nil
}

// finished notes and returns the jobs that have ended; their rows are removed once the final record has a row of its own.
// The caller holds the lock.
func (d *Driver) finished(writes []core.Write) (jobs []string) {
	for _, w := range writes {
		if !w.Record.State.Final() || len(w.Record.Parts) > 0 {
			continue
		}
		d.ended[w.Job] = ended{state: w.Record.State, team: w.Record.Team, at: d.parts.Clock.Now()}
		if _, shared := d.backlog.records[w.Job]; !shared {
			d.discard(w.Job, w.Record.State)
		}
		jobs = append(jobs, w.Job)
	}
	return jobs
}

// discard lists the rows of a job that has ended for removal; the caller holds the lock.
func (d *Driver) discard(id string, state flow.State) {
	d.rows = append(d.rows, JobTable+id)
	if state == flow.Cancelled {
		d.rows = append(d.rows, JobTable+id+CancelMark)
	}
	if d.inbox[id] {
		delete(d.inbox, id)
		d.rows = append(d.rows, InboxTable+id, InboxTable+id+CancelMark)
	}
}

// batch is what becomes durable together.
type batch struct {
	writes []core.Write
	// moved are records of the backlog that get rows of their own.
	moved    []core.Write
	requests []*request
	deletes  []string
	waiting  map[string]int
	// hosts are those that this owner uses, or for which it waits.
	hosts        []core.UsedHost
	hostsChanged bool
	// used are the rows of hosts that have changed, stale those that are needed no more.
	used  []fold.Put
	stale []string
	// planned says that orders wait for the commit although no record has changed.
	planned bool
}

// write commits the batch in as many commits as it needs.
func (d *Driver) write(ctx context.Context, b batch) error {
	writes := slices.Concat(b.writes, b.moved)
	for first := true; first || len(writes) > 0; first = false {
		if !first {
			b.requests = olderChecks(d.takeRequests(maxRows))
		}
		txn := fold.Txn{Deletes: b.deletes}
		if first {
			txn.Puts = append(txn.Puts, b.used...)
			txn.Deletes = append(slices.Clone(b.deletes), b.stale...)
		}
		packed, left, err := d.pack(writes, maxRows-len(txn.Deletes)-len(b.requests)-len(txn.Puts))
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, packed.rows...)
		if err := d.try(ctx, txn, b.requests, b.waiting); err != nil {
			return err
		}
		d.backlog.note(packed)
		writes, b.deletes = left, nil
	}
	return nil
}

// try commits a transaction with requests. Requests whose own conditions fail are answered, and the rest is tried again.
func (d *Driver) try(ctx context.Context, records fold.Txn, requests []*request, waiting map[string]int) error {
	d.setStuck(d.parts.Clock.Now())
	defer func() {
		d.setStuck(0)
		d.intake.mu.Lock()
		d.intake.usual = d.term.UsualCommitTime()
		d.intake.mu.Unlock()
	}()
	wake := time.AfterFunc(heldUpAfter, func() { poke(d.wake) })
	defer wake.Stop()
	for {
		txn := records
		addRequests(&txn, requests)
		sent := d.parts.Clock.Now()
		entries, strong := d.parts.Entries()
		err := d.term.Commit(ctx, txn, lead.PoolState{Waiting: waiting, Entries: entries, Strong: strong})
		took := d.parts.Clock.Now().Sub(sent)
		d.parts.Meter.Commit(took, len(txn.Puts)+len(txn.Deletes))
		switch {
		case err == nil:
			if took > lead.RenewInterval {
				d.log.Warn("Commit was slow.", "rows", len(txn.Puts), "took", took.String())
			}
			d.with(func(c *core.Cell) {
				d.committed = sent
				c.SetCommitted(d.term.Version())
			})
			d.setRejected(false)
			d.recordedAll(ctx, entries)
			d.accepted(requests)
			return nil
		case errorx.IsOfType(err, fold.Conflict) && len(requests) > 0:
			requests = conflicted(requests, err)
		case errorx.IsOfType(err, fold.Unavailable) && ctx.Err() == nil:
			// No try has reached the table, so nothing of it will take effect.
			d.setRejected(true)
			for _, r := range requests {
				r.done <- result{err: err}
			}
			requests = nil
			if !d.pause(ctx, pauseAfterError) {
				return err
			}
		case errorx.IsOfType(err, fold.Overload) && ctx.Err() == nil:
			// The table is busy and takes one of the next tries.
			d.setRejected(true)
			requests = d.expired(requests, err)
			if !d.pause(ctx, pauseAfterError) {
				fail(requests, err)
				return err
			}
		default:
			if !errors.Is(err, context.Canceled) {
				d.log.Warn("Commit failed.", "rows", len(txn.Puts), "took", took.String(), "error", err)
			}
			fail(requests, err)
			return err
		}
	}
}

// rejectedTime is how long the table may turn this owner away before another entry, which it serves, should take over.
const rejectedTime = 350 * time.Millisecond

func (d *Driver) setRejected(rejected bool) {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	switch {
	case !rejected:
		d.intake.rejected = 0
	case d.intake.rejected == 0:
		d.intake.rejected = d.parts.Clock.Now()
	}
}

// CanCommit reports whether the table has not turned this owner away for long.
func (d *Driver) CanCommit() bool {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	return d.intake.rejected == 0 || d.parts.Clock.Now().Sub(d.intake.rejected) < rejectedTime
}

// heldUp reports whether records are held up although this entry still owns the pool.
func (d *Driver) heldUp() bool {
	return d.heldUpFor() >= heldUpAfter
}

// heldUpFor returns how long the commit under way takes already.
func (d *Driver) heldUpFor() time.Duration {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	if d.intake.stuck == 0 {
		return 0
	}
	return d.parts.Clock.Now().Sub(d.intake.stuck)
}

func (d *Driver) setStuck(at fold.Instant) {
	d.intake.mu.Lock()
	d.intake.stuck = at
	d.intake.mu.Unlock()
}
