package worker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"plantainfold.example/fold"
)

const (
	// maxLateCalls limits the pending late start calls of one worker.
	maxLateCalls = 256
	// maxLateTime limits the delay after which a start call is repeated, in seconds.
	maxLateTime = 60
	// failTime is the run time of a task that a failing worker starts, in milliseconds.
	failTime = 1
)

// Fault describes how a worker fails. The zero value is a worker without faults.
type Fault struct {
	// Unreachable drops every call to the worker and its endpoint. Its tasks continue to run until their leases lapse.
	Unreachable bool `json:"unreachable,omitempty"`
	// Fails makes every task that is started fail after failTime.
	Fails bool `json:"fails,omitempty"`
	// Late is the delay in seconds after which every start call is delivered a second time.
	Late float64 `json:"late,omitempty"`
}

// Faults holds the fault of one worker, which can be changed at any time.
type Faults struct {
	clock     fold.Clock
	lateCalls chan struct{}

	mu      sync.Mutex
	fault   Fault
	failing map[fold.TaskID]bool
}

// NewFaults returns the faults of a worker, initially none.
func NewFaults(clock fold.Clock) *Faults {
	return &Faults{clock: clock, lateCalls: make(chan struct{}, maxLateCalls), failing: make(map[fold.TaskID]bool)}
}

// Set replaces the fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Fault returns the current fault.
func (f *Faults) Fault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// Fails reports whether the task was started while Fault.Fails was set. It is meant for WithFailures.
func (f *Faults) Fails(id fold.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := f.failing[id]
	delete(f.failing, id)
	return failing
}

// markFailing marks tasks as failing and returns copies of them that run for failTime.
func (f *Faults) markFailing(tasks []fold.WorkerTask) []fold.WorkerTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	marked := make([]fold.WorkerTask, 0, len(tasks))
	for _, task := range tasks {
		f.failing[task.Task] = true
		task.Duration = failTime
		marked = append(marked, task)
	}
	return marked
}

func (f *Faults) checkReachable() error {
	if f.Fault().Unreachable {
		return fold.Unknown.New("worker does not answer")
	}
	return nil
}

// dropUnreachable drops the connection if the worker is unreachable before or after the call.
func (f *Faults) dropUnreachable(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.checkReachable() != nil {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
		if f.checkReachable() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// Faulty is a fold.Worker with faults.
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
	return callWithFault(w.faults, func() (fold.Adoption, error) { return w.worker.Adopt(ctx, owner, epoch) })
}

// Beat renews session and leases and returns events.
func (w *Faulty) Beat(ctx context.Context, r fold.BeatRequest) (fold.BeatReply, error) {
	return callWithFault(w.faults, func() (fold.BeatReply, error) { return w.worker.Beat(ctx, r) })
}

// Start runs tasks under the epoch and session.
func (w *Faulty) Start(ctx context.Context, epoch, session int64, tasks []fold.WorkerTask) ([]fold.StartResult, error) {
	return callWithFault(w.faults, func() ([]fold.StartResult, error) {
		fault := w.faults.Fault()
		if fault.Fails {
			tasks = w.faults.markFailing(tasks)
		}
		if fault.Late > 0 {
			w.repeatStart(fault.Late, epoch, session, tasks)
		}
		return w.worker.Start(ctx, epoch, session, tasks)
	})
}

// Stop stops tasks gracefully.
func (w *Faulty) Stop(ctx context.Context, epoch int64, tasks []fold.StopRequest) error {
	_, err := callWithFault(w.faults, func() (struct{}, error) { return struct{}{}, w.worker.Stop(ctx, epoch, tasks) })
	return err
}

// repeatStart delivers a start call again later, as a network that delays and duplicates messages does.
func (w *Faulty) repeatStart(after float64, epoch, session int64, tasks []fold.WorkerTask) {
	select {
	case w.faults.lateCalls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-w.faults.lateCalls }()
		<-w.faults.clock.After(time.Duration(min(after, maxLateTime) * float64(time.Second)))
		_, _ = w.worker.Start(context.Background(), epoch, session, tasks)
	}()
}

// callWithFault makes a call unless the worker is unreachable, and drops the reply if it is unreachable afterwards.
func callWithFault[T any](f *Faults, call func() (T, error)) (T, error) {
	var zero T
	if err := f.checkReachable(); err != nil {
		return zero, err
	}
	v, err := call()
	if lost := f.checkReachable(); lost != nil {
		return zero, lost
	}
	return v, err
}
