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
	acceptTime = 3 * time.Second
	// acceptTries bounds how often a job is homed again because a pool got another owner meanwhile.
	acceptTries = 3
	// partCalls bounds the calls to owners of the parts of one job at the same time.
	partCalls = 8
	// askTries bounds how often the parts of a job are asked again because tasks moved between them.
	askTries = 3
)

// Submit accepts a job durably; the same id of the same team always names the same job.
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
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for range acceptTries {
		status, err := e.accept(ctx, j)
		if !errors.Is(err, store.ErrPoolMoved) {
			return status, err
		}
		if err := e.scanUnits(ctx); err != nil {
			return fold.JobStatus{}, err
		}
	}
	return fold.JobStatus{}, fold.Refuse(fold.Unavailable, "send the job again", "pools changed owners %d times", acceptTries)
}

// accept divides a job over pools, makes it durable and tells the owners of the pools.
func (e *Entry) accept(ctx context.Context, j fold.Job) (fold.JobStatus, error) {
	rooms := e.rooms()
	if len(rooms) == 0 {
		return fold.JobStatus{}, fold.Refuse(fold.Unavailable, "retry in a second", "no pool has an owner yet")
	}
	parts := spread.Plan(j, rooms)
	if len(parts) == 0 {
		return fold.JobStatus{}, fold.Refuse(fold.NeverFits, "ask for less, or for fewer tasks at once", "no pool can hold the work")
	}
	epochs := e.epochsOf(parts)
	index, fresh, err := store.Accept(ctx, e.table, store.JobIndex{Job: j, Parts: parts}, epochs)
	if err != nil {
		return fold.JobStatus{}, err
	}
	if !fresh {
		answer, err := e.askParts(ctx, index, kindLookup)
		return answer.Status, err
	}
	status := fold.JobStatus{Job: j, State: fold.Waiting, Waiting: j.Count}
	for _, part := range parts {
		call := assignCall{Pool: part.Pool, Epoch: epochs[part.Pool], Job: j.ID}
		if err := e.assign(ctx, call); err != nil {
			// The owner finds the part in the table service a little later.
			e.log.Debug("Cannot tell the owner of a new part.", "pool", part.Pool, "error", err)
		}
		status.Pool = strings.TrimPrefix(status.Pool+","+part.Pool, ",")
	}
	return status, nil
}

// Job returns the status of a job of the caller's team.
func (e *Entry) Job(ctx context.Context, c fold.Caller, id string) (fold.JobStatus, error) {
	answer, err := e.ask(ctx, c, id, kindLookup)
	return answer.Status, err
}

// Explain says why a job is in its state.
func (e *Entry) Explain(ctx context.Context, c fold.Caller, id string) (fold.Explanation, error) {
	answer, err := e.ask(ctx, c, id, kindLookup)
	return answer.Explanation, err
}

// Cancel stops a job gracefully.
func (e *Entry) Cancel(ctx context.Context, c fold.Caller, id string) (fold.JobStatus, error) {
	if err := e.requireFresh(); err != nil {
		return fold.JobStatus{}, err
	}
	answer, err := e.ask(ctx, c, id, kindCancel)
	return answer.Status, err
}

// rooms returns what the pools of this entry and of peers advertise, as far as their owners are known.
func (e *Entry) rooms() []spread.Room {
	all := e.headroom()
	for _, b := range e.heartbeats() {
		all = append(all, b.Pools...)
	}
	seen := make(map[string]bool, len(all))
	rooms := make([]spread.Room, 0, len(all))
	for _, r := range all {
		_, owned := e.ownerOf(store.PoolPrefix + r.Pool)
		if owned && !seen[r.Pool] {
			seen[r.Pool] = true
			rooms = append(rooms, r)
		}
	}
	return rooms
}

func (e *Entry) heartbeats() []owner.Beat {
	var beats []owner.Beat
	e.member(func(m *owner.Machine) { beats = m.Heartbeats(e.clock.Now()) })
	return beats
}

func (e *Entry) ownerOf(unit string) (owner.Entry, bool) {
	var at owner.Entry
	var ok bool
	e.member(func(m *owner.Machine) { at, ok = m.OwnerOf(unit) })
	return at, ok
}

func (e *Entry) epochsOf(parts []fold.Part) map[string]int64 {
	epochs := make(map[string]int64, len(parts))
	e.member(func(m *owner.Machine) {
		for _, part := range parts {
			epochs[part.Pool] = m.VersionOf(store.PoolPrefix + part.Pool)
		}
	})
	return epochs
}

// assign tells the owner of a pool about a part that is durable already.
func (e *Entry) assign(ctx context.Context, call assignCall) error {
	at, ok := e.ownerOf(store.PoolPrefix + call.Pool)
	if !ok {
		return fold.Refuse(fold.Unavailable, "wait", "pool %s has no owner", call.Pool)
	}
	if at.ID == e.settings.Name {
		_, err := e.assignHere(ctx, at.ID, call)
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	_, err := peer.Call[assignCall, done](callCtx, e.node, at.Address, kindAssign, call)
	return err
}

// assignHere announces a part that was accepted under the present epoch of the pool.
func (e *Entry) assignHere(_ context.Context, _ string, call assignCall) (done, error) {
	p := e.pool(call.Pool)
	if p == nil || p.epoch != call.Epoch {
		return done{}, fold.Refuse(fold.Unavailable, "wait", "pool %s has another owner", call.Pool)
	}
	p.announce(call.Job)
	return done{}, nil
}

// ask finds the parts of a job by its index row and passes the call on to their owners.
func (e *Entry) ask(ctx context.Context, c fold.Caller, id, kind string) (jobAnswer, error) {
	for range askTries {
		row, err := store.Get[store.JobIndex](ctx, e.table, store.IndexPrefix+id)
		if errorx.IsOfType(err, fold.NotFound) || (err == nil && !mayRead(c, row.Value.Job)) {
			return jobAnswer{}, fold.Refuse(fold.NotFound, "check the id and the key", "no job %q of this team", id)
		}
		if err != nil {
			return jobAnswer{}, err
		}
		answer, err := e.askParts(ctx, row.Value, kind)
		if err != nil || answer.Status.Tasks() == row.Value.Job.Count {
			return answer, err
		}
		// Tasks moved to a part that the index did not list yet when it was read.
	}
	return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry", "tasks of job %s are being moved", id)
}

// askParts collects the answers of the owners of all parts. The outcomes of ended parts are read last, because a part
// may end between the two.
func (e *Entry) askParts(ctx context.Context, x store.JobIndex, kind string) (jobAnswer, error) {
	answers := make([]jobAnswer, len(x.Parts))
	failed := make([]error, len(x.Parts))
	var calls errgroup.Group
	calls.SetLimit(partCalls)
	for i, part := range x.Parts {
		calls.Go(func() error {
			answers[i], failed[i] = e.askPart(ctx, jobCall{Pool: part.Pool, Job: part.IDOf(x.Job.ID)}, kind)
			return nil
		})
	}
	_ = calls.Wait()
	if slices.ContainsFunc(failed, func(err error) bool { return err != nil }) {
		ended, err := store.Ended(ctx, e.table, x.Job)
		if err != nil {
			return jobAnswer{}, err
		}
		for i, part := range x.Parts {
			answers[i], failed[i] = settlePart(x.Job, part, ended, answers[i], failed[i])
		}
	}
	if err := errors.Join(failed...); err != nil {
		return jobAnswer{}, fold.Unavailable.Wrap(err, "ask for job %s", x.Job.ID)
	}
	return merge(x.Job, answers), nil
}

// settlePart replaces a failed answer by the outcome of the part. A part that its owner does not hold and that has not
// ended is durable and waits to be read by the owner.
func settlePart(j fold.Job, part fold.Part, ended store.Outcomes, a jobAnswer, failed error) (jobAnswer, error) {
	if status, ok := ended.Of(j.ID, part); ok {
		return endedAnswer(status), nil
	}
	if !errorx.IsOfType(failed, fold.NotFound) {
		return a, failed
	}
	status := fold.JobStatus{Job: j.WithPart(part.FirstTask, part.Count), Pool: part.Pool, State: fold.Waiting, Waiting: part.Count}
	return jobAnswer{Status: status, Explanation: fold.Explanation{Job: j.ID, State: fold.Waiting, Reason: "the owner of the pool has not read it yet"}}, nil
}

func (e *Entry) askPart(ctx context.Context, call jobCall, kind string) (jobAnswer, error) {
	at, ok := e.ownerOf(store.PoolPrefix + call.Pool)
	if !ok {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has no owner yet", call.Pool)
	}
	if at.ID == e.settings.Name && kind == kindCancel {
		return e.cancelHere(call)
	}
	if at.ID == e.settings.Name {
		return e.lookupHere(call)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	return peer.Call[jobCall, jobAnswer](callCtx, e.node, at.Address, kind, call)
}

// merge joins the answers for the parts of a job.
func merge(j fold.Job, answers []jobAnswer) jobAnswer {
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

func endedAnswer(s fold.JobStatus) jobAnswer {
	return jobAnswer{Status: s, Explanation: fold.Explanation{Job: s.Job.ID, State: s.State, Reason: "the work has ended"}}
}

func mayRead(c fold.Caller, j fold.Job) bool {
	return c.Operator || c.Team == j.Team
}

func (e *Entry) lookupHere(call jobCall) (jobAnswer, error) {
	p := e.pool(call.Pool)
	if p == nil {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has another owner", call.Pool)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	status, ok := p.sched.Job(call.Job)
	if !ok {
		// The part may be durable although the entry that wrote it could not tell.
		p.expect(call.Job)
		return jobAnswer{}, fold.Refuse(fold.NotFound, "retry in a second", "pool %s does not hold job %s", call.Pool, call.Job)
	}
	explanation, _ := p.sched.Explain(call.Job)
	return jobAnswer{Status: status, Explanation: explanation}, nil
}

func (e *Entry) cancelHere(call jobCall) (jobAnswer, error) {
	if p := e.pool(call.Pool); p != nil {
		p.mu.Lock()
		p.sched.Cancel(call.Job)
		p.mu.Unlock()
		p.wakeDecisions()
	}
	return e.lookupHere(call)
}
