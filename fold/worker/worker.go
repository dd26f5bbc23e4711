package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"plantainfold.example/fold"
)

// SessionTimeout is how long a session lasts after the last heartbeat with BeatRequest.MayStart.
const SessionTimeout = 3 * time.Second

// maxEndedAttempts limits the ended attempts that a session remembers; at the limit the worker opens a new session.
const maxEndedAttempts = 1 << 16

// MaxRuns limits the runs that a worker keeps for checks.
const MaxRuns = 1 << 20

// Run is one execution of a task, recorded for checks.
type Run struct {
	Worker  string      `json:"worker"`
	Task    fold.TaskID `json:"task"`
	Attempt int         `json:"attempt"`
	// Resources is the capacity that the run used.
	Resources fold.Resources `json:"resources"`
	Begin     fold.Instant   `json:"begin"`
	// End is 0 while the task runs.
	End   fold.Instant `json:"end"`
	State fold.Outcome `json:"state"`
}

// running is a running task, which uses capacity.
type running struct {
	task     fold.WorkerTask
	begin    fold.Instant
	endsAt   fold.Instant
	leaseEnd fold.Instant
	// cpu is the CPU that the task gets, in thousandths of a core.
	cpu int64
	// saves is set if the task writes a checkpoint before it stops.
	saves bool
}

// Worker runs tasks under leases and accepts commands of the newest epoch and session only.
type Worker struct {
	name     string
	capacity fold.Resources
	clock    fold.Clock
	fails    func(fold.TaskID) bool

	mu       sync.Mutex
	used     fold.Resources
	owner    string
	epoch    int64
	boot     string
	session  int64
	renewed  fold.Instant
	tasks    map[fold.TaskID]running
	events   []fold.TaskEvent
	sequence int64
	runs     []Run
	// endedAttempts holds, by task, the attempt that ended in this session, so that a duplicate start call does not run
	// again.
	endedAttempts map[fold.TaskID]int
}

var _ fold.Worker = &Worker{}

// Option configures a Worker.
type Option func(*Worker)

// WithFailures makes tasks fail for which fails returns true.
func WithFailures(fails func(fold.TaskID) bool) Option {
	return func(w *Worker) { w.fails = fails }
}

// New returns an idle worker.
func New(name string, capacity fold.Resources, clock fold.Clock, opts ...Option) *Worker {
	w := &Worker{
		name:          name,
		capacity:      capacity,
		clock:         clock,
		boot:          uuid.NewString(),
		fails:         func(fold.TaskID) bool { return false },
		tasks:         make(map[fold.TaskID]running),
		endedAttempts: make(map[fold.TaskID]int),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.session = minSession(clock.Now())
	return w
}

// Adopt makes the caller the owner and opens a new session.
func (w *Worker) Adopt(_ context.Context, owner string, epoch int64) (fold.Adoption, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return fold.Adoption{}, err
	}
	w.owner = owner
	w.epoch = epoch
	w.openSession()
	w.renewed = now
	adoption := fold.Adoption{Session: w.session, Boot: w.boot, Capacity: w.capacity, Events: slices.Clone(w.events)}
	for _, run := range w.tasks {
		adoption.Tasks = append(adoption.Tasks, run.task)
	}
	return adoption, nil
}

// Beat renews the leases, and also the session if r.MayStart is set.
func (w *Worker) Beat(_ context.Context, r fold.BeatRequest) (fold.BeatReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if err := w.checkEpoch(r.Epoch); err != nil {
		return fold.BeatReply{}, err
	}
	if r.Epoch > w.epoch || r.Owner != w.owner {
		return fold.BeatReply{}, fold.Refuse(fold.Fenced, "adopt the worker first", "worker %s has another owner", w.name)
	}
	if r.MayStart {
		if now.Sub(w.renewed) > SessionTimeout || len(w.endedAttempts) >= maxEndedAttempts {
			w.openSession()
		}
		w.renewed = now
	}
	w.renewLeases(now)
	w.acknowledge(r.Acked)
	return fold.BeatReply{Session: w.session, Events: slices.Clone(w.events)}, nil
}

// Start starts the tasks that fit into the free capacity.
func (w *Worker) Start(_ context.Context, epoch, session int64, tasks []fold.WorkerTask) ([]fold.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if epoch != w.epoch || session != w.session || now.Sub(w.renewed) > SessionTimeout {
		return nil, fold.Refuse(fold.Fenced, "renew the session or give up the pool",
			"worker %s is at epoch %d, session %d", w.name, w.epoch, w.session)
	}
	results := make([]fold.StartResult, 0, len(tasks))
	for _, task := range tasks {
		results = append(results, w.start(now, task))
	}
	return results, nil
}

// Stop ends tasks after their grace periods.
func (w *Worker) Stop(_ context.Context, epoch int64, stops []fold.StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	for _, stop := range stops {
		run, ok := w.tasks[stop.Task]
		if !ok {
			continue
		}
		end := now.Add(time.Duration(stop.Grace) * time.Millisecond)
		if run.endsAt == 0 || end < run.endsAt {
			run.endsAt = end
			run.task.State = fold.Stopped
			run.saves = stop.Checkpoint
			w.tasks[stop.Task] = run
		}
	}
	w.advance()
	return nil
}

// Runs returns all runs so far. End is 0 for those that are still running.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	runs := append([]Run(nil), w.runs...)
	for _, run := range w.tasks {
		runs = append(runs, w.runOf(run, 0, fold.Running))
	}
	return runs
}

func (w *Worker) checkEpoch(epoch int64) error {
	if epoch < w.epoch {
		return fold.Refuse(fold.Fenced, "give up the pool; it has a newer owner", "worker %s is at epoch %d, not %d", w.name, w.epoch, epoch)
	}
	return nil
}

func (w *Worker) start(now fold.Instant, task fold.WorkerTask) fold.StartResult {
	result := fold.StartResult{Task: task.Task}
	if run, ok := w.tasks[task.Task]; ok {
		result.Started = run.task.Attempt == task.Attempt
		result.Reason = "already runs"
		return result
	}
	if attempt, ended := w.endedAttempts[task.Task]; ended && attempt >= task.Attempt {
		result.Started = attempt == task.Attempt
		result.Reason = "already ran"
		return result
	}
	if !task.Resources.Fits(w.capacity.Sub(w.used)) {
		result.Reason = "no capacity"
		return result
	}
	run := running{task: task, begin: now, leaseEnd: now.Add(leaseOf(task)), cpu: task.Resources.CPU}
	run.task.State = fold.Running
	if task.Duration > 0 {
		run.endsAt = now.Add(time.Duration(task.Duration) * time.Millisecond)
	}
	w.tasks[task.Task] = run
	w.used = w.used.Add(task.Resources)
	result.Started = true
	return result
}

// advance ends the tasks whose run time or lease has ended and returns the current instant.
func (w *Worker) advance() fold.Instant {
	now := w.clock.Now()
	for id, run := range w.tasks {
		lapsed := run.leaseEnd <= now && (run.endsAt == 0 || run.leaseEnd < run.endsAt)
		switch {
		case lapsed:
			w.end(id, run, run.leaseEnd, fold.Stopped)
		case run.endsAt != 0 && run.endsAt <= now:
			w.end(id, run, run.endsAt, w.outcome(run))
		}
	}
	return now
}

func (w *Worker) outcome(run running) fold.Outcome {
	switch {
	case run.task.State == fold.Stopped:
		return fold.Stopped
	case w.fails(run.task.Task):
		return fold.Failed
	default:
		return fold.Done
	}
}

func (w *Worker) end(id fold.TaskID, run running, at fold.Instant, state fold.Outcome) {
	delete(w.tasks, id)
	w.endedAttempts[id] = run.task.Attempt
	w.used = w.used.Sub(run.task.Resources)
	w.sequence++
	event := fold.TaskEvent{
		Sequence: w.sequence,
		Task:     id,
		Attempt:  run.task.Attempt,
		State:    state,
		Usage:    run.task.Resources,
		Ran:      at.Sub(run.begin).Milliseconds(),
	}
	if run.saves && state == fold.Stopped {
		event.Saved = event.Ran
	}
	w.events = append(w.events, event)
	w.record(run, at, state)
}

// openSession opens a new session, so that start calls of earlier sessions are refused.
func (w *Worker) openSession() {
	w.session++
	clear(w.endedAttempts)
}

// record keeps a run for checks.
func (w *Worker) record(run running, at fold.Instant, state fold.Outcome) {
	if len(w.runs) < MaxRuns {
		w.runs = append(w.runs, w.runOf(run, at, state))
	}
}

func (w *Worker) runOf(run running, at fold.Instant, state fold.Outcome) Run {
	return Run{
		Worker:    w.name,
		Task:      run.task.Task,
		Attempt:   run.task.Attempt,
		Resources: run.task.Resources,
		Begin:     run.begin,
		End:       at,
		State:     state,
	}
}

func (w *Worker) renewLeases(now fold.Instant) {
	for id, run := range w.tasks {
		run.leaseEnd = now.Add(leaseOf(run.task))
		w.tasks[id] = run
	}
}

func (w *Worker) acknowledge(acked int64) {
	kept := w.events[:0]
	for _, event := range w.events {
		if event.Sequence > acked {
			kept = append(kept, event)
		}
	}
	w.events = kept
}

// minSession returns a number that no session before a restart has reached, because sessions last longer than 1 ms.
func minSession(now fold.Instant) int64 {
	return int64(now) / int64(time.Millisecond)
}

func leaseOf(task fold.WorkerTask) time.Duration {
	return time.Duration(task.Lease) * time.Millisecond
}
