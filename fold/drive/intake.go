package drive

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

const (
	// maxRequests bounds the requests in one commit; each takes a row of the 100 that the platform takes, and the rest is
	// left for the progress of jobs.
	maxRequests = 48
	// maxQueue bounds the requests that wait for a commit; more are refused at once.
	maxQueue = 400
	// queueTime is how long a request may wait for a commit before it is refused: callers then use the rest of their time
	// for another try.
	queueTime = 800 * time.Millisecond
	// stuckTime is how long a commit may take before new requests are refused at once. Both times are longer where the
	// table is slow: stuckCommits times a usual commit.
	stuckTime    = 800 * time.Millisecond
	stuckCommits = 2
)

// request is a wish of a caller that becomes durable with a commit.
type request struct {
	job   string
	check fold.Check
	// value is the row of a new job, or nil for a wish to cancel.
	value []byte
	spec  flow.Job
	since fold.Instant
	done  chan result
}

// result is what became of a request.
type result struct {
	// known says that the job was accepted before.
	known bool
	err   error
}

// intake holds the requests that wait for a commit.
type intake struct {
	mu      sync.Mutex
	waiting []*request
	// stuck is when the commit under way was begun, or 0.
	stuck fold.Instant
	// usual is how long a commit usually takes.
	usual time.Duration
	// rejected is since when the table turns commits away, or 0.
	rejected fold.Instant
}

// Submit makes a job durable together with the next commit; known reports that it was accepted before. An error with
// the NotRun trait proves that it was not accepted. A Conflict error means that the check failed.
func (d *Driver) Submit(ctx context.Context, job flow.Job, check fold.Check) (known bool, err error) {
	if _, _, known := d.State(job.ID); known {
		return true, nil
	}
	value, err := codec.Encode(job)
	if err != nil {
		return false, err
	}
	r := d.request(ctx, &request{job: job.ID, check: check, value: value, spec: job})
	return r.known, r.err
}

// Cancel makes the wish to cancel a job durable together with the next commit.
func (d *Driver) Cancel(ctx context.Context, id string, check fold.Check) error {
	return d.request(ctx, &request{job: id, check: check}).err
}

// request queues r and waits for its commit.
func (d *Driver) request(ctx context.Context, r *request) result {
	now := d.parts.Clock.Now()
	r.since, r.done = now, make(chan result, 1)
	d.intake.mu.Lock()
	stuck := d.intake.stuck != 0 && now.Sub(d.intake.stuck) > max(stuckTime, stuckCommits*d.intake.usual)
	end, bounded := ctx.Deadline()
	if stuck || len(d.intake.waiting) >= maxQueue || bounded && time.Until(end) < d.intake.usual {
		d.intake.mu.Unlock()
		return result{err: fold.Refuse(fold.Overload, "retry later", "the table does not take records now; the request has not run")}
	}
	d.intake.waiting = append(d.intake.waiting, r)
	usual := d.intake.usual
	d.intake.mu.Unlock()
	poke(d.record)
	select {
	case out := <-r.done:
		return out
	case <-d.parts.Clock.After(max(queueTime, stuckCommits*usual)):
	case <-ctx.Done():
	}
	if d.withdraw(r) {
		return result{err: fold.Refuse(fold.Overload, "retry later", "the table is too slow for the request; it has not run")}
	}
	select {
	case out := <-r.done:
		return out
	case <-ctx.Done():
		return result{err: fold.Unknown.Wrap(ctx.Err(), "the commit of the request has no answer yet")}
	}
}

// withdraw takes a request back and reports whether it was not in a commit yet.
func (d *Driver) withdraw(r *request) bool {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	at := slices.Index(d.intake.waiting, r)
	if at < 0 {
		return false
	}
	d.intake.waiting = slices.Delete(d.intake.waiting, at, at+1)
	return true
}

// takeRequests removes the requests for one commit with room for some rows from the queue.
func (d *Driver) takeRequests(room int) []*request {
	d.intake.mu.Lock()
	defer d.intake.mu.Unlock()
	n := max(0, min(len(d.intake.waiting), maxRequests, room))
	taken := slices.Clone(d.intake.waiting[:n])
	d.intake.waiting = slices.Delete(d.intake.waiting, 0, n)
	return taken
}

// addRequests puts the requests into a transaction. A job has no condition of its own: this owner knows all jobs, and one
// that another entry has just written under the same id is the same job.
func addRequests(txn *fold.Txn, requests []*request) {
	checks := make(map[string]bool)
	jobs := make(map[string]bool)
	for _, r := range requests {
		if !checks[r.check.Key] {
			checks[r.check.Key] = true
			txn.Checks = append(txn.Checks, r.check)
		}
		key := JobTable + r.job
		if r.value == nil {
			txn.Puts = append(txn.Puts, fold.Put{Key: key + CancelMark})
			continue
		}
		if jobs[key] {
			continue
		}
		jobs[key] = true
		txn.Puts = append(txn.Puts, fold.Put{Key: key, Value: r.value})
	}
}

// conflicted answers the requests whose conditions failed and returns the others.
func conflicted(requests []*request, err error) []*request {
	key := fold.ConflictKey(err)
	return slices.DeleteFunc(requests, func(r *request) bool {
		failed := key == r.check.Key || key == ""
		if failed {
			r.done <- result{err: err}
		}
		return failed
	})
}

// olderChecks answers the requests that were made under another version of a row than the last one.
func olderChecks(requests []*request) []*request {
	newest := make(map[string]int64)
	for _, r := range requests {
		newest[r.check.Key] = max(newest[r.check.Key], r.check.Version)
	}
	return slices.DeleteFunc(requests, func(r *request) bool {
		if r.check.Version == newest[r.check.Key] {
			return false
		}
		r.done <- result{err: fold.ConflictOn(r.check.Key)}
		return true
	})
}

// accepted gives committed requests to the cell and answers them.
func (d *Driver) accepted(requests []*request) {
	if len(requests) == 0 {
		return
	}
	d.update(func(c *core.Cell) {
		for _, r := range requests {
			if r.value != nil {
				c.AddJob(r.spec, d.term.Version())
				d.cancelEarly(c, r.job)
			}
		}
		for _, r := range requests {
			if r.value == nil && !d.cancel(c, r.job) {
				d.rows = append(d.rows, JobTable+r.job+CancelMark)
			}
		}
	})
	for _, r := range requests {
		r.done <- result{}
	}
}

// expired answers the requests that have waited too long for a commit, which none of them has reached, and returns the
// others.
func (d *Driver) expired(requests []*request, err error) []*request {
	now := d.parts.Clock.Now()
	return slices.DeleteFunc(requests, func(r *request) bool {
		old := now.Sub(r.since) > queueTime
		if old {
			r.done <- result{err: err}
		}
		return old
	})
}

// fail answers requests whose commit failed.
func fail(requests []*request, err error) {
	if !errorx.IsOfType(err, fold.Fenced) {
		err = fold.Unknown.Wrap(err, "the outcome of the commit is not known")
	}
	for _, r := range requests {
		r.done <- result{err: err}
	}
}

// ended is the state of a job that the cell holds no more.
type ended struct {
	state flow.State
	team  string
	at    fold.Instant
}

// State returns the recorded state of a job and its team, if this owner knows it.
func (d *Driver) State(id string) (state flow.State, team string, ok bool) {
	d.with(func(c *core.Cell) {
		state, team, ok = c.RecordedState(id)
		if e, found := d.ended[id]; !ok && found {
			state, team, ok = e.state, e.team, true
		}
	})
	return state, team, ok
}

// forget drops the states of jobs that ended long ago and lists their rows for removal.
func (d *Driver) forget() {
	now := d.parts.Clock.Now()
	for id, e := range d.ended {
		if now.Sub(e.at) > keepEnded {
			delete(d.ended, id)
			d.rows = append(d.rows, StateTable+id)
		}
	}
}
