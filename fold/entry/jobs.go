package entry

import (
	"context"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

// Bounds of jobs.
const (
	maxCount   = 10_000
	maxRetries = 100
	maxID      = 128
	acceptTime = 3 * time.Second
)

// Submit accepts a job durably; the same id of the same team always names the same job.
func (e *Entry) Submit(ctx context.Context, c fold.Caller, j fold.Job) (fold.JobStatus, error) {
	if err := e.requireFresh(); err != nil {
		return fold.JobStatus{}, err
	}
	j, err := e.checkJob(c, j)
	if err != nil {
		return fold.JobStatus{}, err
	}
	home, at, err := e.chooseHome(j)
	if err != nil {
		return fold.JobStatus{}, err
	}
	call := submitCall{Pool: home, Job: j}
	callCtx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	if at.ID == e.settings.Name {
		answer, err := e.acceptHere(callCtx, call)
		return answer.Status, err
	}
	answer, err := peer.Call[submitCall, jobAnswer](callCtx, e.node, at.Address, kindSubmit, call)
	return answer.Status, err
}

// Job returns the status of a job of the caller's team.
func (e *Entry) Job(ctx context.Context, c fold.Caller, id string) (fold.JobStatus, error) {
	answer, err := e.ask(ctx, c, id, kindLookup, e.lookupHere)
	return answer.Status, err
}

// Explain says why a job is in its state.
func (e *Entry) Explain(ctx context.Context, c fold.Caller, id string) (fold.Explanation, error) {
	answer, err := e.ask(ctx, c, id, kindLookup, e.lookupHere)
	return answer.Explanation, err
}

// Cancel stops a job gracefully.
func (e *Entry) Cancel(ctx context.Context, c fold.Caller, id string) (fold.JobStatus, error) {
	if err := e.requireFresh(); err != nil {
		return fold.JobStatus{}, err
	}
	answer, err := e.ask(ctx, c, id, kindCancel, e.cancelHere)
	return answer.Status, err
}

// checkJob completes a job from the caller's key and refuses what can never run.
func (e *Entry) checkJob(c fold.Caller, j fold.Job) (fold.Job, error) {
	m := e.current.Load().manifest
	q, ok := m.Queue(j.Queue)
	if !ok {
		return j, fold.Refuse(fold.NotFound, "name a queue of the manifest", "no queue %q", j.Queue)
	}
	j.Team = c.Team
	if q.Open && c.Team == "" {
		j.Team = q.Team
	}
	if !q.Allows(c.Team) || !c.MaySubmit(q.Name) {
		return j, fold.Refuse(fold.Forbidden, "use a key for this queue", "team %q may not use queue %s", c.Team, q.Name)
	}
	team, ok := m.Team(j.Team)
	if !ok {
		return j, fold.Refuse(fold.Forbidden, "use a key of a team in the manifest", "no team %q", j.Team)
	}
	if err := checkShape(j); err != nil {
		return j, err
	}
	need := j.Resources
	if j.Kind == fold.Gang {
		need = need.Times(int64(j.Count))
	}
	if !need.Fits(team.Limit) {
		return j, fold.Refuse(fold.NeverFits, "ask for less, or have the limit raised", "the work needs %s; team %s may hold %s", need, team.Name, team.Limit)
	}
	if !e.fitsAnywhere(j.Resources) {
		return j, fold.Refuse(fold.NeverFits, "ask for less per task", "no worker can hold a task of %s", j.Resources)
	}
	j.ID = jobID(j.Team, j.ID)
	j.Accepted = time.Now().UnixMilli()
	j.From = 0
	return j, nil
}

func checkShape(j fold.Job) error {
	switch {
	case j.ID == "" || len(j.ID) > maxID:
		return fold.Refuse(fold.Invalid, "give an id of 1 to 128 characters and repeat it on retries", "job has no usable id")
	case j.Kind != fold.Batch && j.Kind != fold.Gang && j.Kind != fold.Service:
		return fold.Refuse(fold.Invalid, "use batch, gang or service", "kind %q", j.Kind)
	case j.Count < 1 || j.Count > maxCount:
		return fold.Refuse(fold.Invalid, "give 1 to 10000 tasks", "count %d", j.Count)
	case j.Resources.Negative() || j.Resources.CPU == 0 || j.Resources.Memory == 0:
		return fold.Refuse(fold.Invalid, "give cpu in thousandths of a core and memory in MiB", "resources %s", j.Resources)
	case j.Duration < 0 || (j.Duration == 0 && j.Kind != fold.Service):
		return fold.Refuse(fold.Invalid, "give the run time in milliseconds", "duration %d", j.Duration)
	case j.Retries < 0 || j.Retries > maxRetries:
		return fold.Refuse(fold.Invalid, "give 0 to 100 retries", "retries %d", j.Retries)
	default:
		return nil
	}
}

// jobID makes the id of a job from its team and the caller's id, so that a retry through any entry finds it.
func jobID(team, id string) string {
	sum := xxhash.New()
	_, _ = sum.WriteString(strconv.Itoa(len(team)) + team + id)
	return hex.EncodeToString(sum.Sum(nil))
}

func (e *Entry) fitsAnywhere(r fold.Resources) bool {
	for _, in := range *e.instances.Load() {
		if in.Role == fold.RoleWorker && r.Fits(in.Capacity) {
			return true
		}
	}
	return false
}

// chooseHome picks the pool with the shortest queue for the job's size among those with an owner.
func (e *Entry) chooseHome(j fold.Job) (string, owner.Entry, error) {
	rooms := e.headroom()
	for _, b := range e.heartbeats() {
		rooms = append(rooms, b.Pools...)
	}
	best := ""
	var bestScore float64
	var bestOwner owner.Entry
	need := j.Resources.Times(int64(j.Count))
	for _, room := range rooms {
		at, ok := e.ownerOf(store.PoolPrefix + room.Pool)
		if !ok {
			continue
		}
		free := fold.Resources{CPU: room.CPU, Memory: room.Memory, Accel: room.Accel}
		score := need.Dominant(free) + float64(room.Waiting)
		if j.Resources.Accel > free.Accel {
			score += noAccelPenalty
		}
		if best == "" || score < bestScore {
			best, bestScore, bestOwner = room.Pool, score, at
		}
	}
	if best == "" {
		return "", owner.Entry{}, fold.Refuse(fold.Unavailable, "retry in a second", "no pool has an owner yet")
	}
	return best, bestOwner, nil
}

// noAccelPenalty keeps work that needs accelerators away from pools that have none free.
const noAccelPenalty = 1e6

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

// acceptHere makes a job durable in a pool of this entry and schedules it.
func (e *Entry) acceptHere(ctx context.Context, call submitCall) (jobAnswer, error) {
	p := e.pool(call.Pool)
	if p == nil {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has another owner", call.Pool)
	}
	if err := e.requireStanding(); err != nil {
		return jobAnswer{}, err
	}
	if e.doubts.full() {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry later", "%d accepts have no certain outcome", maxDoubts)
	}
	index, fresh, err := store.Accept(ctx, e.table, p.id, p.epoch, call.Job)
	if err != nil {
		e.doubts.note(p, call.Job.ID, err)
		return jobAnswer{}, err
	}
	if !fresh {
		return e.lookupIndex(ctx, index, kindLookup, e.lookupHere)
	}
	e.doubts.note(p, call.Job.ID, nil)
	p.mu.Lock()
	p.sched.Submit(e.clock.Now(), call.Job)
	status, _ := p.sched.Job(call.Job.ID)
	p.mu.Unlock()
	p.poke()
	return jobAnswer{Status: status}, nil
}

// ask finds the owner of a job by its index row and passes the call on.
func (e *Entry) ask(ctx context.Context, c fold.Caller, id, kind string, here func(jobCall) (jobAnswer, error)) (jobAnswer, error) {
	row, err := store.Get[store.JobIndex](ctx, e.table, store.IndexPrefix+id)
	if errorx.IsOfType(err, fold.NotFound) || (err == nil && !mayRead(c, row.Value.Job)) {
		return jobAnswer{}, fold.Refuse(fold.NotFound, "check the id and the key", "no job %q of this team", id)
	}
	if err != nil {
		return jobAnswer{}, err
	}
	return e.lookupIndex(ctx, row.Value, kind, here)
}

func (e *Entry) lookupIndex(ctx context.Context, x store.JobIndex, kind string, here func(jobCall) (jobAnswer, error)) (jobAnswer, error) {
	if x.Ended != "" {
		return endedAnswer(x), nil
	}
	at, ok := e.ownerOf(store.PoolPrefix + x.Pool)
	if !ok {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has no owner yet", x.Pool)
	}
	call := jobCall{Pool: x.Pool, Job: x.Job.ID}
	if at.ID == e.settings.Name {
		return here(call)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	return peer.Call[jobCall, jobAnswer](callCtx, e.node, at.Address, kind, call)
}

func endedAnswer(x store.JobIndex) jobAnswer {
	status := x.Status()
	return jobAnswer{Status: status, Explanation: fold.Explanation{Job: x.Job.ID, State: x.Ended, Reason: "the job has ended"}}
}

func mayRead(c fold.Caller, j fold.Job) bool {
	return c.Operator || c.Team == j.Team
}

func (e *Entry) lookupHere(call jobCall) (jobAnswer, error) {
	p := e.pool(call.Pool)
	if p == nil {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "pool %s has another owner", call.Pool)
	}
	e.settleDoubt(p, call.Job)
	p.mu.Lock()
	defer p.mu.Unlock()
	status, ok := p.sched.Job(call.Job)
	if !ok {
		return jobAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "job %s is being moved", call.Job)
	}
	explanation, _ := p.sched.Explain(call.Job)
	return jobAnswer{Status: status, Explanation: explanation}, nil
}

func (e *Entry) cancelHere(call jobCall) (jobAnswer, error) {
	if p := e.pool(call.Pool); p != nil {
		p.mu.Lock()
		p.sched.Cancel(call.Job)
		p.mu.Unlock()
		p.poke()
	}
	return e.lookupHere(call)
}
