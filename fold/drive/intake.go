package drive

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

const (
	// maxRequests limits the requests in a commit. Each needs a row, and the platform accepts 100 rows in a commit; the
	// remaining rows are left for the progress of jobs.
	maxRequests = 48
	// maxRequestBytes limits the values of the requests in a commit. With a record of maxRecord bytes they fit into maxBytes.
	maxRequestBytes = 160 << 10
	// maxWaiting limits the requests that wait for a commit. Further ones are refused at once.
	maxWaiting = 400
	// maxRequestWait is how long a request may wait for a commit before it is refused. It is short enough to leave
	// the caller time for another try.
	maxRequestWait = 800 * time.Millisecond
	// maxCommitTime is how long a commit may take before new requests are refused at once.
	maxCommitTime = 800 * time.Millisecond
	// If slowTableFactor times the usual duration of a commit is longer than maxCommitTime or maxRequestWait, it replaces
	// that limit in awaitCommit.
	slowTableFactor = 2
)

// request is a caller's request that a commit writes to the table.
type request struct {
	job   string
	check fold.Check
	// value is the encoded row of a new job or a cancellation request.
	value []byte
	// newJob is the new job, or nil for a cancellation request by a caller of the team.
	newJob   *flow.Job
	team     string
	queuedAt fold.Instant
	reply    chan result
}

// result is the outcome of a request.
type result struct {
	// known means that the job was accepted before this request. No commit sets it; Submit itself detects known jobs.
	known bool
	err   error
}

// intake holds the requests that wait for a commit.
type intake struct {
	mu      sync.Mutex
	waiting []*request
	// commitStart is when the commit in progress began, or 0.
	commitStart fold.Instant
	// usualCommit is how long a commit usually takes.
	usualCommit time.Duration
	// rejectedSince is when the table began to reject commits, or 0, and rejections counts the rejected ones since then.
	rejectedSince fold.Instant
	rejections    int
}

// Submit writes a job to the table with the next commit, unless this owner knows the job already, which known reports. An
// error with the NotRun trait proves that the job was not accepted. A Conflict error means that the check failed.
func (d *Driver) Submit(ctx context.Context, job flow.Job, check fold.Check) (known bool, err error) {
	if _, _, known := d.State(job.ID); known {
		return true, nil
	}
	// Another entry may run a build that checks less.
	if err := job.Check(); err != nil {
		return false, err
	}
	value, err := EncodeJob(job, d.backlog.maxRow)
	if err != nil {
		return false, err
	}
	r := d.awaitCommit(ctx, &request{job: job.ID, check: check, value: value, newJob: &job})
	return r.known, r.err
}

// Cancel writes a request of a team to cancel a job to the table with the next commit. The job need not be known: a submission that
// has got no answer may still take effect, and the job is then cancelled.
func (d *Driver) Cancel(ctx context.Context, id, team string, check fold.Check) error {
	if err := d.refuseEarlyCancel(id); err != nil {
		return err
	}
	value, err := EncodeCancellation(team)
	if err != nil {
		return err
	}
	return d.awaitCommit(ctx, &request{job: id, check: check, value: value, team: team}).err
}

// awaitCommit queues a request and waits for its commit.
func (d *Driver) awaitCommit(ctx context.Context, r *request) result {
	now := d.parts.Clock.Now()
	r.queuedAt, r.reply = now, make(chan result, 1)
	d.intake.mu.Lock()
	stalled := d.intake.commitStart != 0 && now.Sub(d.intake.commitStart) > max(maxCommitTime, slowTableFactor*d.intake.usualCommit)
	deadline, hasDeadline := ctx.Deadline()
	// The table is also too slow for the request if the caller's deadline would pass before a usual commit ends.
	if stalled || len(d.intake.waiting) >= maxWaiting || hasDeadline && time.Until(deadline) < d.intake.usualCommit {
		d.intake.mu.Unlock()
		return result{err: fold.Refuse(fold.Overload, "retry later", "too many requests wait for the table, or it is too slow; the request was not recorded")}
	}
	d.intake.waiting = append(d.intake.waiting, r)
	usual := d.intake.usualCommit
	d.intake.mu.Unlock()
	notify(d.commitWake)
	select {
	case out := <-r.reply:
		return out
	case <-d.parts.Clock.After(max(maxRequestWait, slowTableFactor*usual)):
	case <-ctx.Done():
	}
	if d.withdraw(r) {
		return result{err: fold.Refuse(fold.Overload, "retry later", "the request waited too long for a commit to the table; it was not recorded")}
	}
	select {
	case out := <-r.reply:
		return out
	case <-ctx.Done():
		return result{err: fold.Unknown.Wrap(ctx.Err(), "the outcome of the commit was not known when the call ended")}
	}
}

// sizeOfRequests returns the length of the values of requests in bytes.
func sizeOfRequests(requests []*request) int {
	size := 0
	for _, r := range requests {
		size += len(r.value)
	}
	return size
}

// withdraw removes a request from the queue. It returns false if the request has already been taken for a commit.
func (d *Driver) withdraw(r *request) bool {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	index := slices.Index(d.intake.waiting, r)
	if index < 0 {
		return false
	}
	d.intake.waiting = slices.Delete(d.intake.waiting, index, index+1)
	return true
}

// takeRequests removes at most limit requests from the queue for one commit.
func (d *Driver) takeRequests(limit int) []*request {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	n, size := 0, 0
	for n < min(len(d.intake.waiting), maxRequests, limit) {
		if size += len(d.intake.waiting[n].value); n > 0 && size > maxRequestBytes {
			break
		}
		n++
	}
	taken := slices.Clone(d.intake.waiting[:n])
	d.intake.waiting = slices.Delete(d.intake.waiting, 0, n)
	return taken
}

// addRequests adds the requests to a transaction. It does not check that a job is new, because this owner knows all jobs,
// and a row that another entry has just written under the same id counts as the same job.
func addRequests(txn *fold.Txn, requests []*request) {
	checks := make(map[string]bool)
	rows := make(map[string]bool)
	for _, r := range requests {
		if !checks[r.check.Key] {
			checks[r.check.Key] = true
			txn.Checks = append(txn.Checks, r.check)
		}
		if key := r.key(); !rows[key] {
			rows[key] = true
			txn.Puts = append(txn.Puts, fold.Put{Key: key, Value: r.value})
		}
	}
	// The row of a request that has expired may be deleted by the same transaction.
	txn.Deletes = slices.DeleteFunc(slices.Clone(txn.Deletes), func(key string) bool { return rows[key] })
}

// key returns the key of the row of the request.
func (r *request) key() string {
	if r.newJob == nil {
		return JobPrefix + r.job + CancelMark
	}
	return JobPrefix + r.job
}

// answerConflicted answers the requests whose checks failed, or all if the error names no row, and returns the others.
func answerConflicted(requests []*request, err error) []*request {
	key := fold.ConflictKey(err)
	return slices.DeleteFunc(requests, func(r *request) bool {
		failed := key == r.check.Key || key == ""
		if failed {
			r.reply <- result{err: err}
		}
		return failed
	})
}

// answerOutdated answers requests that check an older version of a row than another of the given requests, and returns the
// others.
func answerOutdated(requests []*request) []*request {
	newest := make(map[string]int64)
	for _, r := range requests {
		newest[r.check.Key] = max(newest[r.check.Key], r.check.Version)
	}
	return slices.DeleteFunc(requests, func(r *request) bool {
		if r.check.Version == newest[r.check.Key] {
			return false
		}
		r.reply <- result{err: fold.ConflictOn(r.check.Key)}
		return true
	})
}

// applyRequests passes committed requests to the cell and answers them.
func (d *Driver) applyRequests(requests []*request) {
	if len(requests) == 0 {
		return
	}
	d.updateCell(func(c *core.Cell) {
		for _, r := range requests {
			if r.newJob != nil {
				c.AddJob(*r.newJob, d.term.Version())
				d.applyEarlyCancel(c, r.job)
			}
		}
		for _, r := range requests {
			if r.newJob == nil {
				d.applyCancel(c, cancelRequest{Cancellation: Cancellation{Team: r.team, At: time.Now().UnixMilli()}, job: r.job, key: r.key()})
			}
		}
	})
	for _, r := range requests {
		r.reply <- result{}
	}
}

// answerExpired answers the requests that were queued more than maxRequestWait ago (slowTableFactor does not apply), and
// returns the others. It may only be called if no attempt to commit them has reached the table.
func (d *Driver) answerExpired(requests []*request, err error) []*request {
	now := d.parts.Clock.Now()
	return slices.DeleteFunc(requests, func(r *request) bool {
		expired := now.Sub(r.queuedAt) > maxRequestWait
		if expired {
			r.reply <- result{err: err}
		}
		return expired
	})
}

// failRequests answers requests after a failed commit. The commit's outcome is unknown unless a Fenced error proves that
// another entry took over first.
func failRequests(requests []*request, err error) {
	if !errorx.IsOfType(err, fold.Fenced) {
		err = fold.Unknown.Wrap(err, "the outcome of the commit is not known")
	}
	for _, r := range requests {
		r.reply <- result{err: err}
	}
}

// endedJob is the state of a job that is no longer in the cell.
type endedJob struct {
	state flow.State
	team  string
	at    fold.Instant
}

// State returns the recorded state of a job and its team, if this owner knows the job.
func (d *Driver) State(id string) (state flow.State, team string, ok bool) {
	d.withCell(func(c *core.Cell) {
		state, team, ok = c.RecordedState(id)
		if e, found := d.ended[id]; !ok && found {
			state, team, ok = e.state, e.team, true
		}
	})
	return state, team, ok
}

// forgetEnded drops the states of jobs that ended long ago, and expired requests to cancel unknown jobs, and adds the keys of their
// rows to staleRows.
func (d *Driver) forgetEnded() {
	now := d.parts.Clock.Now()
	for id, e := range d.ended {
		if now.Sub(e.at) > endedRetention {
			delete(d.ended, id)
			d.staleRows = append(d.staleRows, StatePrefix+id)
		}
	}
	d.expireCancels()
}
