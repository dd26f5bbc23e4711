package worker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"plantainfold.example/fold"
)

const (
	// maxLate bounds the late start calls of one worker that are under way.
	maxLate = 256
	// maxLateTime bounds how late a start call is repeated, in seconds.
	maxLateTime = 60
	// failTime is the run time of a task that a failing worker starts, in milliseconds.
	failTime = 1
)

// Fault says how a worker misbehaves; the zero value works normally.
type Fault struct {
	// Unreachable drops every call to the worker and its endpoint; tasks go on running until their leases lapse.
	Unreachable bool `json:"unreachable,omitempty"`
	// Fails ends every task that is started meanwhile as failed at once.
	Fails bool `json:"fails,omitempty"`
	// Late delivers every start call a second time after so many seconds.
	Late float64 `json:"late,omitempty"`
}

// Faults holds the fault of one worker, which may be changed at any time.
type Faults struct {
	clock fold.Clock
	slots chan struct{}

	mu    sync.Mutex
	fault Fault
	bad   map[fold.TaskID]bool
}

// NewFaults returns the faults of a worker that works.
func NewFaults(clock fold.Clock) *Faults {
	return &Faults{clock: clock, slots: make(chan struct{}, maxLate), bad: make(map[fold.TaskID]bool)}
}

// Set replaces the fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Fault returns the present fault.
func (f *Faults) Fault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// Fails reports whether the task was started while the worker failed everything, for WithFailures.
func (f *Faults) Fails(id fold.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	bad := f.bad[id]
	delete(f.bad, id)
	return bad
}

// spoil marks tasks as failing and returns them with a short run time.
func (f *Faults) spoil(tasks []fold.WorkerTask) []fold.WorkerTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	spoiled := make([]fold.WorkerTask, 0, len(tasks))
	for _, task := range tasks {
		f.bad[task.Task] = true
		task.Duration = failTime
		spoiled = append(spoiled, task)
	}
	return spoiled
}

func (f *Faults) reach() error {
	if f.Fault().Unreachable {
		return fold.Unknown.New("worker does not answer")
	}
	return nil
}

// reached drops the connection while the worker is unreachable, also if it became so during the call.
func (f *Faults) reached(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.reach() != nil {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
		if f.reach() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// Faulty is a Worker with faults.
type Faulty struct {
	worker fold.Worker
	faults *Faults
}

var _ fold.Worker = &Faulty{}

// NewFaulty returns w with the faults of f.
func NewFaulty(w fold.Worker, f *Faults) *Faulty {
	return &Faulty{worker: w, faults: f}
}

// Adopt makes the caller the owner.
func (w *Faulty) Adopt(ctx context.Context, owner string, epoch int64) (fold.Adoption, error) {
	return through(w.faults, func() (fold.Adoption, error) { return w.worker.Adopt(ctx, owner, epoch) })
}

// Beat renews session and leases and returns events.
func (w *Faulty) Beat(ctx context.Context, r fold.BeatRequest) (fold.BeatReply, error) {
	return through(w.faults, func() (fold.BeatReply, error) { return w.worker.Beat(ctx, r) })
}

// Start runs tasks under the epoch and session.
func (w *Faulty) Start(ctx context.Context, epoch, session int64, tasks []fold.WorkerTask) ([]fold.StartResult, error) {
	return through(w.faults, func() ([]fold.StartResult, error) {
		fault := w.faults.Fault()
		if fault.Fails {
			tasks = w.faults.spoil(tasks)
		}
		if fault.Late > 0 {
			w.repeat(fault.Late, epoch, session, tasks)
		}
		return w.worker.Start(ctx, epoch, session, tasks)
	})
}

// Stop stops tasks gracefully.
func (w *Faulty) Stop(ctx context.Context, epoch int64, tasks []fold.StopRequest) error {
	_, err := through(w.faults, func() (struct{}, error) { return struct{}{}, w.worker.Stop(ctx, epoch, tasks) })
	return err
}

// repeat delivers a start call again later, as a network that holds and doubles messages does.
func (w *Faulty) repeat(after float64, epoch, session int64, tasks []fold.WorkerTask) {
	select {
	case w.faults.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-w.faults.slots }()
		<-w.faults.clock.After(time.Duration(min(after, maxLateTime) * float64(time.Second)))
		_, _ = w.worker.Start(context.Background(), epoch, session, tasks)
	}()
}

// through makes a call unless the worker is unreachable before it, and loses the reply if it is unreachable after it.
func through[T any](f *Faults, call func() (T, error)) (T, error) {
	var zero T
	if err := f.reach(); err != nil {
		return zero, err
	}
	v, err := call()
	if lost := f.reach(); lost != nil {
		return zero, lost
	}
	return v, err
}
