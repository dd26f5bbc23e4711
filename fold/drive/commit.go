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

// Key prefixes of the rows of jobs in the table.
const (
	// JobPrefix begins the keys of the accepted jobs that have not ended, and of the requests to cancel them, as written by
	// the owner.
	JobPrefix = "job/"
	// InboxPrefix begins the keys of the jobs and cancellation requests that other entries wrote. The owner follows only
	// this prefix, because a feed of JobPrefix would return its own rows.
	InboxPrefix = "inbox/"
	// StatePrefix begins the keys of the progress of jobs until some minutes after their end.
	StatePrefix = "state/"
	// CancelMark is appended to the job id in the key of a cancellation request.
	CancelMark = "~cancel"
)

const (
	// maxRows limits the rows in a commit; the platform accepts 100.
	maxRows = 80
	// maxBytes limits the values in a commit. The platform accepts 1 MB with the encoding, which lengthens them by a third. The
	// last record and a shared row may exceed the limit by up to two rows.
	maxBytes = 560 << 10
	// sweepInterval is how often expired states of ended jobs are searched for.
	sweepInterval = 2 * time.Second
	// maxSweepRows limits how many rows of ended jobs a commit deletes in addition to its writes.
	maxSweepRows = 30
	// stalledAfter is how long a commit may take before runs are started without records. The table usually takes a few
	// milliseconds.
	stalledAfter = 60 * time.Millisecond
	// finishTimeout limits how long a commit may go on after the driver was stopped.
	finishTimeout = time.Second
	// commitDelay is how long a commit waits so that decisions made at the same time share it.
	commitDelay = 4 * time.Millisecond
	// commitInterval is the shortest time between the starts of two commits. Under load each commit then carries more rows,
	// which saves calls to the table and wakeups of the relays.
	commitInterval = 20 * time.Millisecond
)

// runCommits writes the cell's records, one commit at a time, and renews the ownership when no commit is due.
func (d *Driver) runCommits(ctx context.Context) {
	lastSweep := d.parts.Clock.Now()
	// A commit in progress may finish after ctx ends, so that its outcome is known when the pool is handed over.
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finishTimeout, cancel) })()
	began := lastSweep
	for {
		renew := d.parts.Clock.After(lead.RenewInterval)
		select {
		case <-ctx.Done():
			return
		case <-renew:
		case <-d.commitWake:
			if !d.pause(ctx, max(commitDelay, commitInterval-d.parts.Clock.Now().Sub(began))) {
				return
			}
		}
		renewDue := d.parts.Clock.Now().Sub(d.lastCommit) >= lead.RenewInterval
		began = d.parts.Clock.Now()
		if began.Sub(lastSweep) >= sweepInterval {
			lastSweep = began
			d.withCell(func(*core.Cell) { d.forgetEnded() })
		}
		if err := d.commitOnce(call, renewDue); err != nil {
			if ctx.Err() == nil {
				d.endTerm(err)
			}
			return
		}
	}
}

// commitOnce commits changed records and the requests of callers. Without any, it commits only if renewDue is set, to renew
// the ownership.
func (d *Driver) commitOnce(ctx context.Context, renewDue bool) error {
	announced, revocable := d.announcement.beginBatch()
	var b batch
	d.withCell(func(c *core.Cell) {
		b.writes = c.Snapshot()
		b.ordersPending = c.SnapshotPending()
		b.waiting = c.Waiting()
		b.hosts, b.hostsChanged = c.HostsToRecord()
	})
	if b.hostsChanged {
		var err error
		if b.hostRows, b.staleHostRows, err = d.usedRows.changes(d.term.Epoch(), b.hosts); err != nil {
			return err
		}
	}
	useEntries := d.useEntriesDue()
	b.requests = answerOutdated(d.takeRequests(maxRows - useEntries - len(b.hostRows) - len(b.staleHostRows)))
	if len(b.writes) == 0 && len(b.requests) == 0 && !renewDue && !b.ordersPending {
		return nil
	}
	if useEntries > 0 {
		b.useRows = d.useRows()
	}
	headroom := maxRows - len(b.useRows) - len(b.requests) - len(b.writes) - len(b.hostRows) - len(b.staleHostRows)
	var emptiedRows []string
	b.ownRows, emptiedRows = d.backlog.nextOwnRows(headroom, b.writes)
	if d.term.UsualCommitTime() < stalledAfter {
		d.withCell(func(*core.Cell) {
			b.deletes = d.staleRows[:max(0, min(len(d.staleRows), maxSweepRows, headroom-len(b.ownRows)))]
		})
	}
	if err := d.writeBatch(ctx, b); err != nil {
		return err
	}
	var orders core.Orders
	var endedJobs []string
	d.withCell(func(c *core.Cell) {
		c.SnapshotRecorded(b.writes)
		if b.hostsChanged {
			c.SetRecordedHosts(b.hosts)
			d.usedRows.recordCommit(b.hostRows, b.staleHostRows)
		}
		orders = c.Orders()
		d.staleRows = append(d.staleRows[len(b.deletes):], emptiedRows...)
		endedJobs = d.recordEnded(b.writes)
		d.recordEnded(b.ownRows)
	})
	if revocable {
		d.revoke(ctx, announced)
	}
	d.backlog.keys = d.backlog.keys[len(emptiedRows):]
	d.send(orders)
	d.dropSpecs(endedJobs)
	return nil
}

// recordEnded records the jobs that have ended and returns their ids. Their rows are listed for deletion once the final
// record has a row of its own. The caller holds the lock.
func (d *Driver) recordEnded(writes []core.Write) (jobs []string) {
	for _, w := range writes {
		if !w.Record.State.Final() || len(w.Record.Parts) > 0 {
			continue
		}
		d.ended[w.Job] = endedJob{state: w.Record.State, team: w.Record.Team, at: d.parts.Clock.Now()}
		if _, shared := d.backlog.records[w.Job]; !shared {
			d.discardRows(w.Job, w.Record.State)
		}
		jobs = append(jobs, w.Job)
	}
	return jobs
}

// discardRows lists the rows of an ended job for deletion. The caller holds the lock.
func (d *Driver) discardRows(id string, state flow.State) {
	d.staleRows = append(d.staleRows, JobPrefix+id)
	if state == flow.Cancelled {
		d.staleRows = append(d.staleRows, JobPrefix+id+CancelMark)
	}
	if d.inbox[id] {
		delete(d.inbox, id)
		d.staleRows = append(d.staleRows, InboxPrefix+id, InboxPrefix+id+CancelMark)
	}
}

// batch is the content of one or more commits. Under load, several records share a row (the backlog); later each gets a row
// of its own.
type batch struct {
	writes []core.Write
	// ownRows are records of the backlog that are now written to rows of their own.
	ownRows  []core.Write
	requests []*request
	deletes  []string
	waiting  map[string]int
	// hosts are the hosts that this owner uses or from which it awaits a report.
	hosts        []core.RecordedHost
	hostsChanged bool
	// hostRows are the changed rows of used hosts.
	hostRows []fold.Put
	// staleHostRows are the keys of rows of used hosts that are no longer needed.
	staleHostRows []string
	// useRows is the row of past use if it is due.
	useRows []fold.Put
	// ordersPending is true if orders wait for a commit although no record has changed.
	ordersPending bool
}

// hostsFit reports whether the rows of used hosts fit into a commit beside the packed records, or whether there are none.
func (b *batch) hostsFit(packed recordRows, limit, space int) bool {
	for _, put := range b.hostRows {
		space -= len(put.Value)
	}
	limit -= len(b.hostRows) + len(b.staleHostRows)
	return packed.entries() == 0 || packed.entries() <= limit && packed.size <= space
}

// writeBatch writes the batch, split into as many commits as necessary. The rows of used hosts are written last: until the
// runs are recorded that were started or adopted without a record, a later owner must look for them on the hosts of the
// previous rows.
func (d *Driver) writeBatch(ctx context.Context, b batch) error {
	writes := slices.Concat(b.writes, b.ownRows)
	hostsPending := len(b.hostRows)+len(b.staleHostRows) > 0
	// whole is set if the next commit is reserved for a record that did not fit beside other rows.
	whole := false
	for first := true; first || len(writes) > 0 || hostsPending; first = false {
		if !first {
			b.requests = nil
		}
		if !first && !whole {
			b.requests = answerOutdated(d.takeRequests(maxRows - len(b.hostRows) - len(b.staleHostRows)))
		}
		txn := fold.Txn{Deletes: d.deletable(b.deletes)}
		limit, space := maxRows-len(txn.Deletes)-len(b.requests)-len(b.useRows), maxBytes-sizeOfRequests(b.requests)-sizeOfPuts(b.useRows)
		packed, rest, err := d.pack(writes, limit, space)
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, packed.rows...)
		txn.Deletes = append(slices.Clone(txn.Deletes), packed.stale...)
		if hostsPending && len(rest) == 0 && b.hostsFit(packed, limit, space) {
			txn.Puts = append(txn.Puts, b.hostRows...)
			txn.Deletes = append(txn.Deletes, b.staleHostRows...)
			hostsPending = false
		}
		// The rows of used hosts alone may take all the space; the row of past use then waits for the next batch.
		if sizeOfRequests(b.requests)+sizeOfPuts(txn.Puts)+sizeOfPuts(b.useRows) > maxBytes+2*d.backlog.maxRow {
			b.useRows = nil
		}
		txn.Puts = append(txn.Puts, b.useRows...)
		if err := d.commitTxn(ctx, txn, b.requests, b.waiting); err != nil {
			return err
		}
		d.recordUseCommit(b.useRows)
		d.backlog.recordCommit(packed)
		whole = packed.entries() == 0 && len(rest) > 0
		writes, b.deletes, b.useRows = rest, nil, nil
	}
	return nil
}

// deletable returns the keys of those rows that are still not needed. A request to cancel a job may have been made again since its
// row was listed for deletion.
func (d *Driver) deletable(keys []string) []string {
	keys = slices.Clone(keys)
	d.withCell(func(*core.Cell) { keys = slices.DeleteFunc(keys, d.keptCancel) })
	return keys
}

// commitTxn commits a transaction together with requests. A request whose own check fails gets an error, and the
// transaction is tried again without it.
func (d *Driver) commitTxn(ctx context.Context, records fold.Txn, requests []*request, waiting map[string]int) error {
	d.setCommitStart(d.parts.Clock.Now())
	defer func() {
		d.setCommitStart(0)
		d.intake.mu.Lock()
		d.intake.usualCommit = d.term.UsualCommitTime()
		d.intake.mu.Unlock()
	}()
	wake := time.AfterFunc(stalledAfter, func() { notify(d.decideWake) })
	defer wake.Stop()
	for {
		txn := records
		addRequests(&txn, requests)
		sent := d.parts.Clock.Now()
		entries, fitCount := d.entriesToList()
		err := d.term.Commit(ctx, txn, lead.PoolState{Waiting: waiting, Entries: entries, FitCount: fitCount})
		took := d.parts.Clock.Now().Sub(sent)
		d.parts.Meter.Commit(took, len(txn.Puts)+len(txn.Deletes))
		switch {
		case err == nil:
			if took > lead.RenewInterval {
				d.log.Warn("A commit to the table was slow.", "rows", len(txn.Puts), "took", took.String())
			}
			d.withCell(func(c *core.Cell) {
				d.lastCommit = sent
				c.SetCommitted(d.term.Version())
			})
			d.setRejected(nil)
			d.afterCommit(entries)
			d.applyRequests(requests)
			return nil
		case errorx.IsOfType(err, fold.Conflict) && len(requests) > 0:
			requests = answerConflicted(requests, err)
		case errorx.IsOfType(err, fold.Unavailable) && ctx.Err() == nil:
			// No attempt has reached the table, so none of them can take effect later.
			d.setRejected(err)
			for _, r := range requests {
				r.reply <- result{err: err}
			}
			requests = nil
			if !d.pause(ctx, retryDelay) {
				return err
			}
		case errorx.IsOfType(err, fold.Overload) && ctx.Err() == nil:
			// The table is overloaded and will accept a later attempt.
			d.setRejected(err)
			requests = d.answerExpired(requests, err)
			if !d.pause(ctx, retryDelay) {
				failRequests(requests, err)
				return err
			}
		default:
			if !errors.Is(err, context.Canceled) {
				d.log.Warn("A commit to the table failed; the term ends.", "rows", len(txn.Puts), "took", took.String(), "error", err)
			}
			failRequests(requests, err)
			return err
		}
	}
}

// entriesToList returns the entries that the next commit lists, the strongest first, and how many of them are fit to own the
// pool.
func (d *Driver) entriesToList() (entries []string, fitCount int) {
	all, fit := d.parts.Entries()
	entries = d.announcement.beginCommit(all)
	for _, e := range all[:fit] {
		if slices.Contains(entries, e) {
			fitCount++
		}
	}
	return entries, fitCount
}

// maxRejected is how long the table may reject this owner's commits before another entry, which can still write to the
// table, should take over.
const maxRejected = 350 * time.Millisecond

// setRejected records the error with which the table rejected a commit, or nil for a commit that it accepted.
func (d *Driver) setRejected(err error) {
	now := d.parts.Clock.Now()
	d.intake.mu.Lock()
	since, rejections := d.intake.rejectedSince, d.intake.rejections
	switch {
	case err == nil:
		d.intake.rejectedSince, d.intake.rejections = 0, 0
	case since == 0:
		d.intake.rejectedSince, d.intake.rejections = now, 1
	default:
		d.intake.rejections++
	}
	d.intake.mu.Unlock()
	switch {
	case err == nil && since != 0:
		d.log.Info("The table accepts commits of this owner again.", "after", now.Sub(since).String(), "rejections", rejections)
	case err != nil && since == 0:
		d.log.Warn("The table rejects the commits of this owner.", "sinceCommit", d.SinceCommit().String(), "error", err)
	}
}

// CanCommit reports whether the table accepts commits of this owner, or has rejected them for less than maxRejected.
func (d *Driver) CanCommit() bool {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	return d.intake.rejectedSince == 0 || d.parts.Clock.Now().Sub(d.intake.rejectedSince) < maxRejected
}

// stalled reports whether the commit in progress takes so long that runs should start without records.
func (d *Driver) stalled() bool {
	return d.stalledFor() >= stalledAfter
}

// stalledFor returns how long the commit in progress has been running, or 0.
func (d *Driver) stalledFor() time.Duration {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	if d.intake.commitStart == 0 {
		return 0
	}
	return d.parts.Clock.Now().Sub(d.intake.commitStart)
}

func (d *Driver) setCommitStart(at fold.Instant) {
	d.intake.mu.Lock()
	d.intake.commitStart = at
	d.intake.mu.Unlock()
}
