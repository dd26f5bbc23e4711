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
	// retryDelay is the shortest delay between two attempts to carry out a request. Jitter at most doubles it.
	retryDelay = 40 * time.Millisecond
	// answerReserve is the part of a caller's time budget that is reserved for the delivery of the answer.
	answerReserve = 150 * time.Millisecond
	// maxAgeToRefuse is the greatest age of a configuration on the basis of which a request is refused. An older configuration
	// is first read again.
	maxAgeToRefuse = 900 * time.Millisecond
	// maxAgeToAccept is the greatest age of a configuration on the basis of which a request is admitted. An older configuration
	// is first read again.
	maxAgeToAccept = 3 * time.Second
	// ownerTimeout limits a call for the state of a job, which the owner answers from memory.
	ownerTimeout = 400 * time.Millisecond
	// probeTimeout limits the read that precedes a write to the table for a caller. It is twenty times the usual time of a
	// read; if the read takes longer, the outcome of the write could remain unknown.
	probeTimeout = 80 * time.Millisecond
	// minRetryAfter is the shortest retry time that refused callers receive.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest retry time that refused callers receive.
	maxRetryAfter = 8 * time.Second
	// refuseAfter is how long this entry attempts to submit a job before it refuses it, unless an attempt may still take effect.
	// Callers then use another entry or retry later.
	refuseAfter = 200 * time.Millisecond
)

// Owner is the entry that owns the pool. It commits the requests of callers together with its own records.
type Owner interface {
	// Submit makes a job durable; known reports whether it was durable before. A Conflict error means that the check failed.
	Submit(ctx context.Context, job flow.Job, check fold.Check) (known bool, err error)
	// Cancel makes the request of a team to cancel a job durable. The job need not be known: it is cancelled if its submission takes effect
	// later.
	Cancel(ctx context.Context, id, team string, check fold.Check) error
	// State returns the recorded state of a job and its team, or a Gone error when the owner does not know the job.
	State(ctx context.Context, id string) (flow.State, string, error)
}

// Caller holds what a request says about its caller.
type Caller struct {
	// Key is the API key of the request, or "".
	Key string
	// Host and Path are the host and the path of the request; they identify the queue and the job.
	Host, Path string
	// Budget is how long the caller waits for the answer.
	Budget time.Duration
}

// Front answers the requests of callers.
type Front struct {
	table       fold.Table
	rules       *Rules
	rulesSource fold.RulesSource
	clock       fold.Clock
	log         hclog.Logger
	// waiting returns how many jobs of a queue have not begun, and false if that is not known.
	waiting func(queue string) (int, bool)
	// owner returns the owner of the pool, or nil when none can be reached.
	owner func() Owner
	// maxRow is the longest value of a row of the table in bytes.
	maxRow int
}

// New returns a Front. The function waiting returns how many jobs of a queue have not begun, and false if that is not known.
// The function owner returns the owner of the pool, or nil when none can be reached. Rows of the table hold at most maxRow bytes.
func New(table fold.Table, rules *Rules, rulesSource fold.RulesSource, clock fold.Clock, log hclog.Logger, waiting func(string) (int, bool), owner func() Owner, maxRow int) *Front {
	return &Front{table: table, rules: rules, rulesSource: rulesSource, clock: clock, log: log.Named("front"), waiting: waiting, owner: owner, maxRow: maxRow}
}

// access is the result of checking a request against the configuration.
type access struct {
	// queue is the queue that the request addresses.
	queue fold.Queue
	// team is the team of the key; it is empty for a caller without a key on an open queue.
	team string
	// jobID is the part of the path after the queue's prefix; it is empty if the request names no job.
	jobID string
	// version is the version of the configuration's row.
	version int64
	// revision is the revision of the configuration.
	revision int64
	// maxBody is the largest body of a request in bytes.
	maxBody int64
}

// checkAccess finds the queue and the team of a request. It refuses a request only on the basis of a recent configuration; if
// that cannot be read, it returns an Unavailable error.
func (f *Front) checkAccess(ctx context.Context, c Caller) (access, error) {
	a, err := f.lookUp(c)
	_, _, age := f.rules.Current()
	// A result that rests on a recent enough configuration is final.
	if err == nil && age < maxAgeToAccept || err != nil && age < maxAgeToRefuse && !errorx.IsOfType(err, fold.Unavailable) {
		return a, err
	}
	if refreshErr := f.rules.Refresh(ctx); refreshErr != nil {
		return access{}, f.withRetryAfter(fold.Unavailable.Wrap(refreshErr, "cannot read the configuration; the request was not carried out"))
	}
	a, err = f.lookUp(c)
	// The read may have begun long before this request.
	_, _, age = f.rules.Current()
	if err == nil && age >= maxAgeToAccept || err != nil && age >= maxAgeToRefuse {
		return access{}, f.withRetryAfter(fold.Refuse(fold.Unavailable, "retry later", "reading the configuration took too long; the request was not carried out"))
	}
	return a, err
}

func (f *Front) lookUp(c Caller) (access, error) {
	index, version, _ := f.rules.Current()
	if index == nil {
		return access{}, fold.Refuse(fold.Unavailable, "retry later", "this entry has not read the configuration yet")
	}
	queue, jobID, ok := index.Queue(c.Host, c.Path)
	if !ok {
		return access{}, fold.Refuse(fold.NotFound, "check the host and the path of the URL", "no queue has this host and path")
	}
	team, known := index.Team(c.Key)
	if !known && !queue.Anonymous {
		return access{}, fold.Refuse(fold.Unauthorized, "use a valid key", "the key is missing or unknown")
	}
	return access{queue: queue, team: team, jobID: jobID, version: version, revision: index.Rules().Revision, maxBody: index.Rules().MaxBody}, nil
}

// Admit checks a request before its body is read, and returns the largest allowed body in bytes.
func (f *Front) Admit(ctx context.Context, c Caller) (int64, error) {
	a, err := f.checkAccess(ctx, c)
	return a.maxBody, err
}

// Submit accepts a job. When it returns nil the job is durable. An error with the NotRun trait means that this submission
// neither is nor will be recorded.
func (f *Front) Submit(ctx context.Context, c Caller, job flow.Job) error {
	ctx, cancel := context.WithTimeout(ctx, c.Budget-answerReserve)
	defer cancel()
	began := f.clock.Now()
	a, err := f.checkAccess(ctx, c)
	if err != nil {
		return err
	}
	job.ID = a.jobID
	if !validID(job.ID) {
		return fold.Refuse(fold.Invalid, "use an id of 16 hexadecimal digits", "%q is not a valid job id", job.ID)
	}
	if err := job.Validate(); err != nil {
		return err
	}
	tries, unsure := 0, false
	var w ownWrites
	for {
		tries++
		var known bool
		known, err = f.accept(ctx, a, job, &w)
		if err == nil {
			f.log.Info("Job accepted.", "job", job.ID, "queue", a.queue.Name, "team", a.team, "steps", len(job.Steps),
				"revision", a.revision, "tries", tries, "known", known, "ownWrites", w.count, "ownerError", w.ownerErr, "took", f.clock.Now().Sub(began).String())
			return nil
		}
		unsure = unsure || !fold.DidNotRun(err)
		if errorx.IsOfType(err, fold.Conflict) {
			// The configuration has changed since it was read.
			if a, err = f.refreshAccess(ctx, c); err != nil {
				break
			}
			continue
		}
		if errorx.IsOfType(err, fold.TooLarge) || !unsure && f.clock.Now().Sub(began) > refuseAfter || !f.pause(ctx) {
			break
		}
	}
	if !unsure {
		err = f.withRetryAfter(err)
	} else {
		// An attempt without an answer may still take effect.
		err = fold.Unknown.Wrap(err, "the job may have been accepted; read its state or submit it again with the same id")
	}
	// If unsure is true, the job may have been accepted.
	f.log.Warn("Job was not accepted.", "job", job.ID, "queue", a.queue.Name, "tries", tries, "unsure", unsure, "ownWrites", w.count, "ownerError", w.ownerErr, "took", f.clock.Now().Sub(began).String(), "error", err)
	return err
}

// withRetryAfter adds a retry time to a refusal because of an outage or overload. The time is the age of the configuration,
// limited by minRetryAfter and maxRetryAfter. The age tells how long the table has not answered, and an outage is expected
// to last as long again.
func (f *Front) withRetryAfter(err error) error {
	e := errorx.Cast(err)
	if e == nil || !errorx.IsOfType(err, fold.Unavailable) && !errorx.IsOfType(err, fold.Overload) {
		return err
	}
	_, _, age := f.rules.Current()
	return fold.WithRetry(e, min(maxRetryAfter, max(minRetryAfter, age)))
}

// refreshAccess reads the configuration and checks the request again, after a conflict with the configuration.
func (f *Front) refreshAccess(ctx context.Context, c Caller) (access, error) {
	if err := f.rules.Refresh(ctx); err != nil {
		return access{}, fold.Unavailable.Wrap(err, "cannot read the changed configuration; the request was not carried out")
	}
	return f.lookUp(c)
}

// ownWrites counts the attempts to carry out a request that this entry made without the owner of the pool. ownerErr is the last error
// of the owner because of which it did so, or nil if it could call no owner.
type ownWrites struct {
	count    int
	ownerErr error
}

func (w *ownWrites) add(ownerErr error) {
	w.count++
	w.ownerErr = ownerErr
}

// accept makes the job durable unless it is known; known reports whether an earlier submission with the job's id was accepted.
// The owner of the pool records jobs in batches. If it cannot be reached or fails with an error other than Conflict, Overload
// and TooLarge, this entry writes the job itself while ctx lasts.
func (f *Front) accept(ctx context.Context, a access, job flow.Job, w *ownWrites) (known bool, err error) {
	job.Team, job.Queue, job.Accepted = a.team, a.queue, time.Now().UnixMilli()
	check := f.rulesSource.Check(a.version)
	owner := f.owner()
	if owner == nil {
		w.add(nil)
		return f.write(ctx, job, check)
	}
	known, err = owner.Submit(ctx, job, check)
	// An Overload error is returned, because additional writes by every entry would make an overloaded table even slower.
	if err == nil || errorx.IsOfType(err, fold.Conflict) || errorx.IsOfType(err, fold.Overload) || errorx.IsOfType(err, fold.TooLarge) || ctx.Err() != nil {
		return known, err
	}
	unsure := !fold.DidNotRun(err)
	w.add(err)
	known, err = f.write(ctx, job, check)
	if err != nil && unsure {
		return false, fold.Unknown.Wrap(err, "the owner of the pool did not confirm the job")
	}
	return known, err
}

// write makes the job durable without the owner, by writing a row under drive.InboxPrefix. The owner reads these rows.
func (f *Front) write(ctx context.Context, job flow.Job, check fold.Check) (known bool, err error) {
	inboxKey, jobKey, stateKey := drive.InboxPrefix+job.ID, drive.JobPrefix+job.ID, drive.StatePrefix+job.ID
	// This read tests whether the table answers, because a write without an answer would leave the outcome unknown.
	probe, cancelProbe := context.WithTimeout(ctx, probeTimeout)
	_, err = f.table.Get(probe, stateKey)
	cancelProbe()
	if err == nil {
		return true, nil
	}
	if !errorx.IsOfType(err, fold.NotFound) {
		return false, fold.Unavailable.Wrap(err, "the table did not answer a read; the job was not written")
	}
	value, err := drive.EncodeJob(job, f.maxRow)
	if err != nil {
		return false, err
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = f.table.Commit(call, fold.Txn{
		Checks: []fold.Check{{Key: inboxKey}, {Key: jobKey}, {Key: stateKey}, check},
		Puts:   []fold.Put{{Key: inboxKey, Value: value}},
	})
	if conflict := fold.ConflictKey(err); conflict == inboxKey || conflict == jobKey || conflict == stateKey {
		return true, nil
	}
	return false, err
}

// Read returns the state of a job, or a Gone error if there is none. For a request that names no job it returns how many
// jobs of the queue have not begun.
func (f *Front) Read(ctx context.Context, c Caller) (flow.State, int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Budget-answerReserve)
	defer cancel()
	a, err := f.checkAccess(ctx, c)
	if err != nil {
		return "", 0, err
	}
	if a.jobID == "" {
		n, ok := f.waiting(a.queue.Name)
		if !ok {
			return "", 0, fold.Refuse(fold.Unavailable, "retry later", "the number of the queue's waiting jobs is currently not known")
		}
		return "", n, nil
	}
	state, err := retry(ctx, f, func(ctx context.Context) (flow.State, error) {
		return f.state(ctx, a)
	})
	return state, 0, err
}

// state asks the owner for the state of a job, and reads it from the table if there is no owner or the owner does not
// return the state.
func (f *Front) state(ctx context.Context, a access) (flow.State, error) {
	if owner := f.owner(); owner != nil {
		call, cancel := context.WithTimeout(ctx, ownerTimeout)
		state, team, err := owner.State(call, a.jobID)
		cancel()
		if err == nil {
			return state, f.checkTeam(a, team)
		}
	}
	state, err := f.recordedState(ctx, a)
	if !errorx.IsOfType(err, fold.NotFound) {
		return state, err
	}
	row, err := f.table.Get(ctx, drive.JobPrefix+a.jobID)
	if errorx.IsOfType(err, fold.NotFound) {
		row, err = f.table.Get(ctx, drive.InboxPrefix+a.jobID)
	}
	if errorx.IsOfType(err, fold.NotFound) {
		// The job may have ended between the reads, which deletes its row after its record got one.
		state, err = f.recordedState(ctx, a)
		if !errorx.IsOfType(err, fold.NotFound) {
			return state, err
		}
		return "", fold.Refuse(fold.Gone, "check the id", "no job has the id %q", a.jobID)
	}
	if err != nil {
		return "", err
	}
	job, err := codec.Decode[flow.Job](row.Value)
	if err != nil {
		return "", err
	}
	return flow.Queued, f.checkTeam(a, job.Team)
}

// recordedState returns the state in the record of a job, or a NotFound error if the record has no row of its own.
func (f *Front) recordedState(ctx context.Context, a access) (flow.State, error) {
	rec, err := drive.ReadRecord(ctx, f.table, a.jobID)
	if err != nil {
		return "", err
	}
	return rec.State, f.checkTeam(a, rec.Team)
}

// checkTeam returns a Forbidden error if the caller and the job both have a team and these differ.
func (f *Front) checkTeam(a access, team string) error {
	if !flow.SameTeam(team, a.team) {
		return fold.Refuse(fold.Forbidden, "use a key of the job's team", "the job belongs to another team")
	}
	return nil
}

// Cancel makes the request to cancel a job durable. It returns a Gone error if there is no such job; the request is durable then too,
// because a submission of the job that has got no answer may still take effect. Cancelling a job that has ended changes nothing.
// An error with the NotRun trait, except Gone, means that this request neither is nor will be recorded.
func (f *Front) Cancel(ctx context.Context, c Caller) error {
	ctx, cancel := context.WithTimeout(ctx, c.Budget-answerReserve)
	defer cancel()
	began := f.clock.Now()
	a, err := f.checkAccess(ctx, c)
	if err != nil {
		return err
	}
	if !validID(a.jobID) {
		return fold.Refuse(fold.Gone, "check the id", "no job has the id %q", a.jobID)
	}
	unsure := false
	var w ownWrites
	_, err = retry(ctx, f, func(ctx context.Context) (struct{}, error) {
		state, err := f.state(ctx, a)
		unknown := errorx.IsOfType(err, fold.Gone)
		if err != nil && !unknown || state.Final() {
			return struct{}{}, err
		}
		if sendErr := f.sendCancel(ctx, a, unknown, &w); sendErr != nil {
			unsure = unsure || !fold.DidNotRun(sendErr)
			return struct{}{}, sendErr
		}
		return struct{}{}, err
	})
	if unsure && errorx.IsOfType(err, fold.Unavailable) {
		err = fold.Unknown.Wrap(err, "the request to cancel the job may have been recorded; read the job's state or cancel it again")
	}
	f.log.Info("Handled a request to cancel a job.", "job", a.jobID, "queue", a.queue.Name, "team", a.team, "ownWrites", w.count, "ownerError", w.ownerErr, "took", f.clock.Now().Sub(began).String(), "error", err)
	return err
}

// sendCancel sends the cancellation request of a job to the owner. It writes the request to the table if the owner returns an
// error, or if there is no owner afterwards. If the job is not known, it leaves an overloaded owner and table alone.
func (f *Front) sendCancel(ctx context.Context, a access, unknown bool, w *ownWrites) error {
	check := f.rulesSource.Check(a.version)
	var ownerErr error
	if owner := f.owner(); owner != nil {
		ownerErr = owner.Cancel(ctx, a.jobID, a.team, check)
	}
	// The owner is looked up again, because it may have gone meanwhile.
	if laterOwner := f.owner(); laterOwner != nil && ownerErr == nil {
		return nil
	}
	if unknown && errorx.IsOfType(ownerErr, fold.Overload) {
		return ownerErr
	}
	w.add(ownerErr)
	err := f.writeCancel(ctx, a, check)
	if err != nil && ownerErr != nil && !fold.DidNotRun(ownerErr) {
		return fold.Unknown.Wrap(err, "the owner of the pool did not confirm the request to cancel the job")
	}
	return err
}

// writeCancel makes the cancellation request durable without the owner, by writing a row under drive.InboxPrefix. The owner
// reads these rows. If the configuration has changed, the request is written without the check, because the key was valid
// when the request arrived.
func (f *Front) writeCancel(ctx context.Context, a access, check fold.Check) error {
	value, err := drive.EncodeCancellation(a.team)
	if err != nil {
		return err
	}
	put := fold.Put{Key: drive.InboxPrefix + a.jobID + drive.CancelMark, Value: value}
	_, err = f.table.Commit(ctx, fold.Txn{Checks: []fold.Check{check}, Puts: []fold.Put{put}})
	if errorx.IsOfType(err, fold.Conflict) {
		_, err = f.table.Commit(ctx, fold.Txn{Puts: []fold.Put{put}})
	}
	return err
}

// retry calls fn until it succeeds, returns a permanent error or ctx ends.
func retry[Out any](ctx context.Context, f *Front, fn func(context.Context) (Out, error)) (Out, error) {
	for {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		out, err := fn(call)
		cancel()
		if err == nil || errorx.IsOfType(err, fold.Gone) || errorx.IsOfType(err, fold.Forbidden) || errorx.IsOfType(err, fold.Invalid) {
			return out, err
		}
		if !f.pause(ctx) {
			return out, f.withRetryAfter(fold.Unavailable.Wrap(err, "neither the owner nor the table completed the request in time"))
		}
	}
}

// pause waits before the next attempt and returns false if ctx has ended.
func (f *Front) pause(ctx context.Context) bool {
	jitter := time.Duration(rand.Int64N(int64(retryDelay)))
	select {
	case <-ctx.Done():
		return false
	case <-f.clock.After(retryDelay + jitter):
		return true
	}
}

// idDigits is the number of hexadecimal digits in a job id.
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
