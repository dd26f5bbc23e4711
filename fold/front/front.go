package front

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
)

const (
	// retryPause separates tries on behalf of a caller.
	retryPause = 40 * time.Millisecond
	// answerReserve is the part of a caller's time that is kept for the answer to arrive.
	answerReserve = 150 * time.Millisecond
	// freshEnough is how old the configuration may be when a request is refused because of it.
	freshEnough = 900 * time.Millisecond
	// trustRules is how old the configuration may be when a key is accepted by it without asking the table again.
	trustRules = 3 * time.Second
	// ownerTime bounds a question to the owner, who answers it from memory.
	ownerTime = 400 * time.Millisecond
	// probeTime bounds the read before an entry writes to the table on behalf of a caller. A table that takes longer, which
	// is twenty times its usual time, would leave the outcome of the write unknown.
	probeTime = 80 * time.Millisecond
	// leastRetry and mostRetry bound the time after which refused callers are to come back.
	leastRetry = time.Second
	mostRetry  = 8 * time.Second
	// refuseAfter is how long the table is tried before a job is refused: callers use another entry or come back.
	refuseAfter = 200 * time.Millisecond
)

// Owner is the entry that owns the pool; it records what callers wish together with its own records.
type Owner interface {
	// Submit makes a job durable; known reports that it was before. A Conflict error means that the check failed.
	Submit(ctx context.Context, job flow.Job, check fold.Check) (known bool, err error)
	// Cancel makes the wish to cancel a job durable.
	Cancel(ctx context.Context, id string, check fold.Check) error
	// State returns the recorded state of a job and its team, or a Gone error when the owner does not know the job.
	State(ctx context.Context, id string) (flow.State, string, error)
}

// Caller is who calls, by the key that came with the request.
type Caller struct {
	Key string
	// Host and Path name the queue and the job.
	Host, Path string
	// Budget is how long the caller waits for the answer.
	Budget time.Duration
}

// Front serves callers.
type Front struct {
	table fold.Table
	rules *Rules
	rows  fold.RulesSource
	clock fold.Clock
	log   hclog.Logger
	// waiting tells how many jobs of a queue wait, as the owner counted them.
	waiting func(queue string) (int, bool)
	// owner returns the owner of the pool, or nil when none can be reached.
	owner func() Owner
}

// New returns a front; waiting tells how many jobs of a queue have not begun, if that is known, and owner returns the
// owner of the pool, or nil when none can be reached.
func New(table fold.Table, rules *Rules, rows fold.RulesSource, clock fold.Clock, log hclog.Logger, waiting func(string) (int, bool), owner func() Owner) *Front {
	return &Front{table: table, rules: rules, rows: rows, clock: clock, log: log.Named("front"), waiting: waiting, owner: owner}
}

// access is what a request may use.
type access struct {
	queue fold.Queue
	// team is empty for a caller without a key on an open queue.
	team string
	rest string
	// version is that of the configuration which gave the access.
	version  int64
	revision int64
	body     int64
}

// admit finds the queue and the team of a request. A refusal is given only by a configuration that is fresh.
func (f *Front) admit(ctx context.Context, c Caller) (access, error) {
	a, err := f.look(c)
	_, _, age := f.rules.Current()
	if err == nil && age < trustRules || err != nil && age < freshEnough && !errorx.IsOfType(err, fold.Unavailable) {
		return a, err
	}
	if refreshed := f.rules.Refresh(ctx); refreshed != nil {
		return access{}, f.retryable(fold.Unavailable.Wrap(refreshed, "the configuration is not known; the request has not run"))
	}
	return f.look(c)
}

func (f *Front) look(c Caller) (access, error) {
	b, version, _ := f.rules.Current()
	if b == nil {
		return access{}, fold.Refuse(fold.Unavailable, "retry later", "the configuration is not known yet")
	}
	queue, rest, ok := b.Queue(c.Host, c.Path)
	if !ok {
		return access{}, fold.Refuse(fold.NotFound, "check host and path", "no queue has this host and path")
	}
	team, known := b.Team(c.Key)
	if !known && !queue.Anonymous {
		return access{}, fold.Refuse(fold.Unauthorized, "use a valid key", "the key is missing or not known")
	}
	return access{queue: queue, team: team, rest: rest, version: version, revision: b.Rules().Revision, body: b.Rules().MaxBody}, nil
}

// Admit reports whether a request may be made at all, before its body is read; it returns the bound of the body in bytes.
func (f *Front) Admit(ctx context.Context, c Caller) (int64, error) {
	a, err := f.admit(ctx, c)
	return a.body, err
}

// Submit takes a job. When it returns nil the job is durable; an error with the NotRun trait proves that it never runs
// under this submission.
func (f *Front) Submit(ctx context.Context, c Caller, job flow.Job) error {
	ctx, cancel := context.WithTimeout(ctx, c.Budget-answerReserve)
	defer cancel()
	began := f.clock.Now()
	a, err := f.admit(ctx, c)
	if err != nil {
		return err
	}
	job.ID = a.rest
	if !validID(job.ID) {
		return fold.Refuse(fold.Invalid, "name the job by 16 hexadecimal digits", "%q is no id of a job", job.ID)
	}
	if err := job.Validate(); err != nil {
		return err
	}
	tries, unsure := 0, false
	for {
		tries++
		var known bool
		known, err = f.accept(ctx, a, job)
		if err == nil {
			f.log.Info("Job accepted.", "job", job.ID, "queue", a.queue.Name, "team", a.team, "steps", len(job.Steps),
				"revision", a.revision, "tries", tries, "known", known, "took", f.clock.Now().Sub(began).String())
			return nil
		}
		unsure = unsure || !fold.DidNotRun(err)
		if errorx.IsOfType(err, fold.Conflict) {
			// The configuration has changed since it was read.
			if a, err = f.again(ctx, c); err != nil {
				break
			}
			continue
		}
		if !unsure && f.clock.Now().Sub(began) > refuseAfter || !f.pause(ctx) {
			break
		}
	}
	if !unsure {
		err = f.retryable(err)
	} else {
		// A try that got no answer may still be carried out.
		err = fold.Unknown.Wrap(err, "the job may have been accepted; ask for its state or submit it again under its id")
	}
	f.log.Warn("Job not accepted.", "job", job.ID, "queue", a.queue.Name, "tries", tries, "unsure", unsure, "took", f.clock.Now().Sub(began).String(), "error", err)
	return err
}

// retryable tells when a caller who was refused should come back: an outage that has lasted for a while is expected to
// last as long again.
func (f *Front) retryable(err error) error {
	e := errorx.Cast(err)
	if e == nil || !errorx.IsOfType(err, fold.Unavailable) && !errorx.IsOfType(err, fold.Overload) {
		return err
	}
	_, _, age := f.rules.Current()
	return fold.WithRetry(e, min(mostRetry, max(leastRetry, age)))
}

// again reads the configuration after a conflict with it.
func (f *Front) again(ctx context.Context, c Caller) (access, error) {
	if err := f.rules.Refresh(ctx); err != nil {
		return access{}, fold.Unavailable.Wrap(err, "the configuration has changed and cannot be read; the request has not run")
	}
	return f.look(c)
}

// accept makes the job durable unless it is known; known reports that an earlier submission under its id was accepted.
// The owner of the pool records it together with others; without an answer of the owner the entry writes it itself.
func (f *Front) accept(ctx context.Context, a access, job flow.Job) (known bool, err error) {
	job.Team, job.Queue, job.Accepted = a.team, a.queue, time.Now().UnixMilli()
	check := f.rows.Check(a.version)
	owner := f.owner()
	if owner == nil {
		return f.write(ctx, job, check)
	}
	known, err = owner.Submit(ctx, job, check)
	// Where the owner finds the table overloaded, writes of all entries beside it would make it slower still.
	if err == nil || errorx.IsOfType(err, fold.Conflict) || errorx.IsOfType(err, fold.Overload) || ctx.Err() != nil {
		return known, err
	}
	unsure := !fold.DidNotRun(err)
	known, err = f.write(ctx, job, check)
	if err != nil && unsure {
		return false, fold.Unknown.Wrap(err, "the owner of the pool did not answer")
	}
	return known, err
}

// write makes the job durable without the owner, who finds it in the table.
func (f *Front) write(ctx context.Context, job flow.Job, check fold.Check) (known bool, err error) {
	key, own, state := drive.InboxTable+job.ID, drive.JobTable+job.ID, drive.StateTable+job.ID
	// A read tells whether the table answers: a write without an answer would leave the outcome unknown.
	probe, cancelProbe := context.WithTimeout(ctx, probeTime)
	_, err = f.table.Get(probe, state)
	cancelProbe()
	if err == nil {
		return true, nil
	}
	if !errorx.IsOfType(err, fold.NotFound) {
		return false, fold.Unavailable.Wrap(err, "the table does not answer; the request has not run")
	}
	value, err := codec.Encode(job)
	if err != nil {
		return false, err
	}
	call, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	_, err = f.table.Commit(call, fold.Txn{
		Checks: []fold.Check{{Key: key}, {Key: own}, {Key: state}, check},
		Puts:   []fold.Put{{Key: key, Value: value}},
	})
	if conflict := fold.ConflictKey(err); conflict == key || conflict == own || conflict == state {
		return true, nil
	}
	return false, err
}

// Read returns the state of a job, or a Gone error; for a request that names no job it returns how many jobs of the
// queue have not begun.
func (f *Front) Read(ctx context.Context, c Caller) (flow.State, int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Budget-answerReserve)
	defer cancel()
	a, err := f.admit(ctx, c)
	if err != nil {
		return "", 0, err
	}
	if a.rest == "" {
		n, ok := f.waiting(a.queue.Name)
		if !ok {
			return "", 0, fold.Refuse(fold.Unavailable, "retry later", "the number of waiting jobs is not known now")
		}
		return "", n, nil
	}
	state, err := retry(ctx, f, func(ctx context.Context) (flow.State, error) {
		return f.state(ctx, a)
	})
	return state, 0, err
}

// state asks the owner for the state of a job, or reads it where the owner does not know.
func (f *Front) state(ctx context.Context, a access) (flow.State, error) {
	if owner := f.owner(); owner != nil {
		call, cancel := context.WithTimeout(ctx, ownerTime)
		state, team, err := owner.State(call, a.rest)
		cancel()
		if err == nil {
			return state, f.owns(a, team)
		}
	}
	row, err := f.table.Get(ctx, drive.StateTable+a.rest)
	if err == nil {
		rec, err := codec.Decode[flow.Record](row.Value)
		if err != nil {
			return "", err
		}
		return rec.State, f.owns(a, rec.Team)
	}
	if !errorx.IsOfType(err, fold.NotFound) {
		return "", err
	}
	row, err = f.table.Get(ctx, drive.JobTable+a.rest)
	if errorx.IsOfType(err, fold.NotFound) {
		row, err = f.table.Get(ctx, drive.InboxTable+a.rest)
	}
	if errorx.IsOfType(err, fold.NotFound) {
		return "", fold.Refuse(fold.Gone, "check the id", "no job has the id %q", a.rest)
	}
	if err != nil {
		return "", err
	}
	job, err := codec.Decode[flow.Job](row.Value)
	if err != nil {
		return "", err
	}
	return flow.Queued, f.owns(a, job.Team)
}

// owns refuses callers of another team.
func (f *Front) owns(a access, team string) error {
	if team != "" && a.team != "" && team != a.team {
		return fold.Refuse(fold.Forbidden, "use a key of the job's team", "the job belongs to another team")
	}
	return nil
}

// Cancel makes the wish to cancel a job durable, or returns a NotFound error. Cancelling a job that has ended changes
// nothing.
func (f *Front) Cancel(ctx context.Context, c Caller) error {
	ctx, cancel := context.WithTimeout(ctx, c.Budget-answerReserve)
	defer cancel()
	a, err := f.admit(ctx, c)
	if err != nil {
		return err
	}
	_, err = retry(ctx, f, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, f.cancel(ctx, a)
	})
	f.log.Info("Job to be cancelled.", "job", a.rest, "queue", a.queue.Name, "team", a.team, "error", err)
	return err
}

func (f *Front) cancel(ctx context.Context, a access) error {
	state, err := f.state(ctx, a)
	if err != nil || state.Final() {
		return err
	}
	check := f.rows.Check(a.version)
	if owner := f.owner(); owner != nil {
		err = owner.Cancel(ctx, a.rest, check)
	}
	if owner := f.owner(); owner == nil || err != nil {
		err = f.writeCancel(ctx, a.rest, check)
	}
	return err
}

// writeCancel makes the wish durable without the owner. The key was good by a revision that was in force when the
// request came, so a newer one does not matter.
func (f *Front) writeCancel(ctx context.Context, id string, check fold.Check) error {
	put := fold.Put{Key: drive.InboxTable + id + drive.CancelMark}
	_, err := f.table.Commit(ctx, fold.Txn{Checks: []fold.Check{check}, Puts: []fold.Put{put}})
	if errorx.IsOfType(err, fold.Conflict) {
		_, err = f.table.Commit(ctx, fold.Txn{Puts: []fold.Put{put}})
	}
	return err
}

// retry calls fn until it succeeds, fails for good or the caller's time ends.
func retry[Out any](ctx context.Context, f *Front, fn func(context.Context) (Out, error)) (Out, error) {
	for {
		call, cancel := context.WithTimeout(ctx, readTime)
		out, err := fn(call)
		cancel()
		if err == nil || errorx.IsOfType(err, fold.Gone) || errorx.IsOfType(err, fold.Forbidden) || errorx.IsOfType(err, fold.Invalid) {
			return out, err
		}
		if !f.pause(ctx) {
			return out, f.retryable(fold.Unavailable.Wrap(err, "the table does not answer; try again"))
		}
	}
}

// pause waits before another try and reports whether there is time for one.
func (f *Front) pause(ctx context.Context) bool {
	jitter := time.Duration(rand.Int64N(int64(retryPause)))
	select {
	case <-ctx.Done():
		return false
	case <-f.clock.After(retryPause + jitter):
		return true
	}
}

// idDigits is the length of the id of a job.
const idDigits = 16

func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}
