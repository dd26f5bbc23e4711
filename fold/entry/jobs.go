package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/spread"
	"plantainfold.example/fold/store"
)

const (
	// acceptTimeout is the timeout for accepting a job.
	acceptTimeout = 3 * time.Second
	// maxAcceptTries is the maximum number of attempts to accept a job while its pools change owners.
	maxAcceptTries = 3
	// maxPartCalls is the maximum number of concurrent calls to the owners of the parts of one job.
	maxPartCalls = 8
	// maxQueryTries is the maximum number of queries for a job while its tasks move between parts.
	maxQueryTries = 3
)

// Submit accepts a job durably. Repeated submissions with the same id and team name the same job.
func (e *Entry) Submit(ctx context.Context, c fold.Caller, j fold.Job) (fold.JobStatus, error) {
	if err := e.requireFresh(); err != nil {
		return fold.JobStatus{}, err
	}
	if err := e.requireStanding(); err != nil {
		return fold.JobStatus{}, err
	}
	j, err := e.checkJob(c, j)
	if err != nil {
		return fold.JobStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for range maxAcceptTries {
		status, err := e.accept(ctx, j)
		if !errors.Is(err, store.ErrPoolMoved) {
			return status, err
		}
		if err := e.scanUnits(ctx); err != nil {
			return fold.JobStatus{}, err
		}
	}
	return fold.JobStatus{}, fold.Refuse(fold.Unavailable, "send the job again", "pools changed owners %d times", maxAcceptTries)
}

// accept divides a job over pools, writes it to the table service and notifies the owners of the pools.
func (e *Entry) accept(ctx context.Context, j fold.Job) (fold.JobStatus, error) {
	headroom := e.known()
	if len(headroom) == 0 {
		return fold.JobStatus{}, fold.Refuse(fold.Unavailable, "retry in a second", "no pool has an owner yet")
	}
	parts := spread.Plan(j, headroom)
	if len(parts) == 0 {
		return fold.JobStatus{}, fold.Refuse(fold.NeverFits, "ask for less, or for fewer tasks at once", "no pool can hold the work")
	}
	epochs := e.epochsOf(parts)
	index, fresh, err := store.Accept(ctx, e.table, store.JobIndex{Job: j, Parts: parts}, epochs)
	if err != nil {
		return fold.JobStatus{}, err
	}
	if !fresh {
		answer, err := e.queryParts(ctx, index, kindLookup)
		return answer.Status, err
	}
	status := fold.JobStatus{Job: j, State: fold.Waiting, Waiting: j.Count}
	for _, part := range parts {
		call := assignCall{Pool: part.Pool, Epoch: epochs[part.Pool], Job: j.ID}
		if err := e.announcePart(ctx, call); err != nil {
			// The owner finds the part by its next scan of the table service.
			e.log.Debug("Cannot notify the owner of a pool of a new part of a job.", "pool", part.Pool, "error", err)
		}
		status.Pool = strings.TrimPrefix(status.Pool+","+part.Pool, ",")
	}
	return status, nil
}

// Job returns the status of a job of the caller's team.
func (e *Entry) Job(ctx context.Context, c fold.Caller, id string) (fold.JobStatus, error) {
	answer, err := e.queryJob(ctx, c, id, kindLookup)
	return answer.Status, err
}

// Explain returns the reason for the state of a job.
func (e *Entry) Explain(ctx context.Context, c fold.Caller, id string) (fold.Explanation, error) {
	answer, err := e.queryJob(ctx, c, id, kindLookup)
	return answer.Explanation, err
}

// Cancel stops a job gracefully.
func (e *Entry) Cancel(ctx context.Context, c fold.Caller, id string) (fold.JobStatus, error) {
	if err := e.requireFresh(); err != nil {
		return fold.JobStatus{}, err
	}
	answer, err := e.queryJob(ctx, c, id, kindCancel)
	return answer.Status, err
}

// known returns the headroom that the pools of this entry and of peers advertise, for the pools whose owner is known.
func (e *Entry) known() []spread.PoolCapacity {
	all := e.headroom()
	for _, b := range e.heartbeats() {
		all = append(all, b.Pools...)
	}
	seen := make(map[string]bool, len(all))
	known := make([]spread.PoolCapacity, 0, len(all))
	for _, r := range all {
		_, owned := e.ownerOf(store.PoolPrefix + r.Pool)
		if owned && !seen[r.Pool] {
			seen[r.Pool] = true
			known = append(known, r)
		}
	}
	return known
}

// heartbeats returns the last heartbeat of each peer that counts as reachable.
func (e *Entry) heartbeats() []owner.Beat {
	var beats []owner.Beat
	e.withMachine(func(m *owner.Machine) { beats = m.Heartbeats(e.clock.Now()) })
	return beats
}

// ownerOf returns the entry that owns a unit, if known.
func (e *Entry) ownerOf(unit string) (owner.Entry, bool) {
	var at owner.Entry
	var ok bool
	e.withMachine(func(m *owner.Machine) { at, ok = m.OwnerOf(unit) })
	return at, ok
}

// epochsOf returns the versions of the rows of the parts' pools by the last scan.
func (e *Entry) epochsOf(parts []fold.Part) map[string]int64 {
	epochs := make(map[string]int64, len(parts))
	e.withMachine(func(m *owner.Machine) {
		for _, part := range parts {
			epochs[part.Pool] = m.VersionOf(store.PoolPrefix + part.Pool)
		}
	})
	return epochs
}

// announcePart notifies the owner of a pool of a part that is in the table service already.
func (e *Entry) announcePart(ctx context.Context, call assignCall) error {
	poolOwner, ok := e.ownerOf(store.PoolPrefix + call.Pool)
	if !ok {
		return fold.Refuse(fold.Unavailable, "wait", "pool %s has no owner", call.Pool)
	}
	if poolOwner.ID == e.settings.Name {
		_, err := e.handleAssign(ctx, poolOwner.ID, call)
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := peer.Call[assignCall, emptyAnswer](callCtx, e.node, poolOwner.Address, kindAssign, call)
	return err
}

// handleAssign handles an assignCall for a pool of this entry. It refuses a part that was accepted under another epoch.
func (e *Entry) handleAssign(_ context.Context, _ string, call assignCall) (emptyAnswer, error) {
	p := e.pool(call.Pool)
	if p == nil || p.epoch != call.Epoch {
		return emptyAnswer{}, fold.Refuse(fold.Unavailable, "wait", "pool %s has another owner", call.Pool)
	}
	p.announce(call.Job)
	return emptyAnswer{}, nil
}

// queryJob finds the parts of a job by its index row and sends the call to the owners of their pools.
func (e *Entry) queryJob(ctx context.Context, c fold.Caller, id, kind string) (jobAnswer, error) {
	for range maxQueryTries {
		row, err := store.Get[store.JobIndex](ctx, e.table, store.IndexPrefix+id)
		if errorx.IsOfType(err, fold.NotFound) || (err == nil && !canRead(c, row.Value.Job)) {
			return jobAnswer{}, fold.Refuse(fold.NotFound, "check the id and the key", "no job %q of this team", id)
		}
		if err != nil {
			return jobAnswer{}, err
		}
		answer, err := e.queryParts(ctx, row.Value, kind)
		if err != nil || answer.Status.Tasks() == row.Value.Job.Count {
			return answer, err
		}
		// Tasks moved to a part that the index did not list yet when it was read.
	}
	return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry", "tasks of job %s are being moved", id)
}

// queryParts collects the answers for all parts of a job. It reads the outcomes of ended parts after the owners answered,
// because a part may end in between.
func (e *Entry) queryParts(ctx context.Context, x store.JobIndex, kind string) (jobAnswer, error) {
	answers := make([]jobAnswer, len(x.Parts))
	failed := make([]error, len(x.Parts))
	var calls errgroup.Group
	calls.SetLimit(maxPartCalls)
	for i, part := range x.Parts {
		calls.Go(func() error {
			answers[i], failed[i] = e.queryPart(ctx, jobCall{Pool: part.Pool, Job: part.IDOf(x.Job.ID)}, kind)
			return nil
		})
	}
	_ = calls.Wait()
	if slices.ContainsFunc(failed, func(err error) bool { return err != nil }) {
		ended, err := store.ReadOutcomes(ctx, e.table, x.Job)
		if err != nil {
			return jobAnswer{}, err
		}
		for i, part := range x.Parts {
			answers[i], failed[i] = resolvePart(x.Job, part, ended, answers[i], failed[i])
		}
	}
	if err := errors.Join(failed...); err != nil {
		return jobAnswer{}, fold.Unavailable.Wrap(err, "ask for job %s", x.Job.ID)
	}
	return mergeAnswers(x.Job, answers), nil
}

// resolvePart replaces a failed answer by the recorded outcome of the part. A part that has not ended and that the owner
// does not hold is reported as waiting, because the owner has yet to read it from the table service.
func resolvePart(j fold.Job, part fold.Part, ended store.Outcomes, a jobAnswer, failed error) (jobAnswer, error) {
	if status, ok := ended.Of(j.ID, part); ok {
		return endedAnswer(status), nil
	}
	if !errorx.IsOfType(failed, fold.NotFound) {
		return a, failed
	}
	status := fold.JobStatus{Job: j.WithPart(part.FirstTask, part.Count), Pool: part.Pool, State: fold.Waiting, Waiting: part.Count}
	return jobAnswer{Status: status, Explanation: fold.Explanation{Job: j.ID, State: fold.Waiting, Reason: "the owner of the pool has not read it yet"}}, nil
}

// queryPart sends a call about one part to the owner of its pool.
func (e *Entry) queryPart(ctx context.Context, call jobCall, kind string) (jobAnswer, error) {
	poolOwner, ok := e.ownerOf(store.PoolPrefix + call.Pool)
	if !ok {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has no owner yet", call.Pool)
	}
	if poolOwner.ID == e.settings.Name && kind == kindCancel {
		return e.cancelLocal(call)
	}
	if poolOwner.ID == e.settings.Name {
		return e.lookupLocal(call)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[jobCall, jobAnswer](callCtx, e.node, poolOwner.Address, kind, call)
}

// mergeAnswers combines the answers for the parts of a job.
func mergeAnswers(j fold.Job, answers []jobAnswer) jobAnswer {
	out := jobAnswer{Status: fold.JobStatus{Job: j}, Explanation: fold.Explanation{Job: j.ID}}
	for _, a := range answers {
		out.Status = out.Status.WithPart(a.Status)
		out.Explanation.Evidence = append(out.Explanation.Evidence, a.Explanation.Evidence...)
		if out.Explanation.Reason == "" || a.Status.State == out.Status.State {
			out.Explanation.Reason = a.Explanation.Reason
			out.Explanation.Remedy = a.Explanation.Remedy
		}
	}
	out.Explanation.State = out.Status.State
	return out
}

// endedAnswer returns the answer for a part that ended with this status.
func endedAnswer(s fold.JobStatus) jobAnswer {
	return jobAnswer{Status: s, Explanation: fold.Explanation{Job: s.Job.ID, State: s.State, Reason: "the work has ended"}}
}

// canRead reports whether the caller has access to the job.
func canRead(c fold.Caller, j fold.Job) bool {
	return c.Operator || c.Team == j.Team
}

// lookupLocal answers for a part in a pool of this entry.
func (e *Entry) lookupLocal(call jobCall) (jobAnswer, error) {
	p := e.pool(call.Pool)
	if p == nil {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has another owner", call.Pool)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	status, ok := p.sched.Job(call.Job)
	if !ok {
		// The part may be in the table service although the entry that wrote it could not notify this one.
		p.announceLocked(call.Job)
		return jobAnswer{}, fold.Refuse(fold.NotFound, "retry in a second", "pool %s does not hold job %s", call.Pool, call.Job)
	}
	explanation, _ := p.sched.Explain(call.Job)
	return jobAnswer{Status: status, Explanation: explanation}, nil
}

// cancelLocal cancels a part in a pool of this entry and answers with its status.
func (e *Entry) cancelLocal(call jobCall) (jobAnswer, error) {
	if p := e.pool(call.Pool); p != nil {
		p.mu.Lock()
		p.sched.Cancel(call.Job)
		p.mu.Unlock()
		p.wakeDecisions()
	}
	return e.lookupLocal(call)
}
