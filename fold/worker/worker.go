package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"plantainfold.example/fold"
)

// SessionTime is how long a session lasts without a heartbeat that may start tasks.
const SessionTime = 3 * time.Second

// maxPast bounds the ended attempts of a session; a new session begins when there are more.
const maxPast = 1 << 16

// MaxRuns bounds the runs that a worker keeps for checks.
const MaxRuns = 1 << 20

// Run is one execution of a task, for checks of what ran where and when.
type Run struct {
	Worker  string      `json:"worker"`
	Task    fold.TaskID `json:"task"`
	Attempt int         `json:"attempt"`
	// Resources are what the run held.
	Resources fold.Resources `json:"resources"`
	Begin     fold.Instant   `json:"begin"`
	// End is 0 while the task runs.
	End   fold.Instant `json:"end"`
	State fold.Outcome `json:"state"`
}

// running is a task that holds capacity.
type running struct {
	task  fold.WorkerTask
	begin fold.Instant
	ends  fold.Instant
	lapse fold.Instant
	// cpu is the processor time the task gets, in thousandths of a core.
	cpu int64
	// saves says that the task writes a checkpoint before it stops.
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
	// past holds the attempts that ended in this session, so that a start call delivered twice runs once.
	past map[fold.TaskID]int
}

var _ fold.Worker = &Worker{}

// Option changes how a Worker behaves.
type Option func(*Worker)

// WithFailures makes the tasks for which fails returns true end as failed.
func WithFailures(fails func(fold.TaskID) bool) Option {
	return func(w *Worker) { w.fails = fails }
}

// New returns an idle worker.
func New(name string, capacity fold.Resources, clock fold.Clock, opts ...Option) *Worker {
	w := &Worker{
		name:     name,
		capacity: capacity,
		clock:    clock,
		boot:     uuid.NewString(),
		fails:    func(fold.TaskID) bool { return false },
		tasks:    make(map[fold.TaskID]running),
		past:     make(map[fold.TaskID]int),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.session = sessionBase(clock.Now())
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
	for _, held := range w.tasks {
		adoption.Tasks = append(adoption.Tasks, held.task)
	}
	return adoption, nil
}

// Beat renews the leases, and the session when r.Starts is set.
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
		if now.Sub(w.renewed) > SessionTime || len(w.past) >= maxPast {
			w.openSession()
		}
		w.renewed = now
	}
	w.renewLeases(now)
	w.acknowledge(r.Acked)
	return fold.BeatReply{Session: w.session, Events: slices.Clone(w.events)}, nil
}

// Start runs tasks that fit into the free capacity.
func (w *Worker) Start(_ context.Context, epoch, session int64, tasks []fold.WorkerTask) ([]fold.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if epoch != w.epoch || session != w.session || now.Sub(w.renewed) > SessionTime {
		return nil, fold.Refuse(fold.Fenced, "renew the session or give up the pool",
			"worker %s is at epoch %d, session %d", w.name, w.epoch, w.session)
	}
	results := make([]fold.StartResult, 0, len(tasks))
	for _, task := range tasks {
		results = append(results, w.start(now, task))
	}
	return results, nil
}

// Stop ends tasks after their grace.
func (w *Worker) Stop(_ context.Context, epoch int64, stops []fold.StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	for _, stop := range stops {
		held, ok := w.tasks[stop.Task]
		if !ok {
			continue
		}
		end := now.Add(time.Duration(stop.Grace) * time.Millisecond)
		if held.ends == 0 || end < held.ends {
			held.ends = end
			held.task.State = fold.Stopped
			held.saves = stop.Checkpoint
			w.tasks[stop.Task] = held
		}
	}
	w.advance()
	return nil
}

// Runs returns what ran so far, including what still runs with End 0.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	runs := append([]Run(nil), w.runs...)
	for _, held := range w.tasks {
		runs = append(runs, w.runOf(held, 0, fold.Running))
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
	if held, ok := w.tasks[task.Task]; ok {
		result.Started = held.task.Attempt == task.Attempt
		result.Reason = "already runs"
		return result
	}
	if attempt, ended := w.past[task.Task]; ended && attempt >= task.Attempt {
		result.Started = attempt == task.Attempt
		result.Reason = "already ran"
		return result
	}
	if !task.Resources.Fits(w.capacity.Sub(w.used)) {
		result.Reason = "no capacity"
		return result
	}
	held := running{task: task, begin: now, lapse: now.Add(leaseOf(task)), cpu: task.Resources.CPU}
	held.task.State = fold.Running
	if task.Duration > 0 {
		held.ends = now.Add(time.Duration(task.Duration) * time.Millisecond)
	}
	w.tasks[task.Task] = held
	w.used = w.used.Add(task.Resources)
	result.Started = true
	return result
}

// advance ends the tasks whose run time or lease has passed and returns the current instant.
func (w *Worker) advance() fold.Instant {
	now := w.clock.Now()
	for id, held := range w.tasks {
		lapsed := held.lapse <= now && (held.ends == 0 || held.lapse < held.ends)
		switch {
		case lapsed:
			w.end(id, held, held.lapse, fold.Stopped)
		case held.ends != 0 && held.ends <= now:
			w.end(id, held, held.ends, w.outcome(held))
		}
	}
	return now
}

func (w *Worker) outcome(held running) fold.Outcome {
	switch {
	case held.task.State == fold.Stopped:
		return fold.Stopped
	case w.fails(held.task.Task):
		return fold.Failed
	default:
		return fold.Done
	}
}

func (w *Worker) end(id fold.TaskID, held running, at fold.Instant, state fold.Outcome) {
	delete(w.tasks, id)
	w.past[id] = held.task.Attempt
	w.used = w.used.Sub(held.task.Resources)
	w.sequence++
	event := fold.TaskEvent{
		Sequence: w.sequence,
		Task:     id,
		Attempt:  held.task.Attempt,
		State:    state,
		Usage:    held.task.Resources,
		Ran:      at.Sub(held.begin).Milliseconds(),
	}
	if held.saves && state == fold.Stopped {
		event.Saved = event.Ran
	}
	w.events = append(w.events, event)
	w.record(held, at, state)
}

// openSession makes starts of earlier sessions fail.
func (w *Worker) openSession() {
	w.session++
	clear(w.past)
}

// record keeps a run for checks.
func (w *Worker) record(held running, at fold.Instant, state fold.Outcome) {
	if len(w.runs) < MaxRuns {
		w.runs = append(w.runs, w.runOf(held, at, state))
	}
}

func (w *Worker) runOf(held running, at fold.Instant, state fold.Outcome) Run {
	return Run{
		Worker:    w.name,
		Task:      held.task.Task,
		Attempt:   held.task.Attempt,
		Resources: held.task.Resources,
		Begin:     held.begin,
		End:       at,
		State:     state,
	}
}

func (w *Worker) renewLeases(now fold.Instant) {
	for id, held := range w.tasks {
		held.lapse = now.Add(leaseOf(held.task))
		w.tasks[id] = held
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

// sessionBase returns a number that no session before a restart has reached, as sessions last longer than 1 ms.
func sessionBase(now fold.Instant) int64 {
	return int64(now) / int64(time.Millisecond)
}

func leaseOf(task fold.WorkerTask) time.Duration {
	return time.Duration(task.Lease) * time.Millisecond
}
