package fold

import "context"

// WorkerTask is an attempt of a task on a worker.
type WorkerTask struct {
	Task      TaskID    `json:"task"`
	Attempt   int       `json:"attempt"`
	Resources Resources `json:"resources"`
	// Duration is the run time in milliseconds. A task with 0 runs until it is stopped.
	Duration int64 `json:"duration"`
	// Lease is the time that the task may run without a renewal, in milliseconds.
	Lease int64   `json:"lease"`
	State Outcome `json:"state,omitempty"`
}

// TaskEvent reports that an attempt of a task ended. The worker repeats it until the owner acknowledges it.
type TaskEvent struct {
	Sequence int64   `json:"sequence"`
	Task     TaskID  `json:"task"`
	Attempt  int     `json:"attempt"`
	State    Outcome `json:"state"`
	// Usage is the observed peak usage. The observation may lag behind the real use.
	Usage Resources `json:"usage"`
	// Ran is the observed run time in milliseconds.
	Ran int64 `json:"ran"`
	// Saved is the run time that the last checkpoint covers, in milliseconds. It is 0 if there is no checkpoint.
	Saved int64 `json:"saved,omitempty"`
}

// Adoption is a worker's answer to Worker.Adopt.
type Adoption struct {
	Session int64 `json:"session"`
	// Boot changes with each restart of the worker. While it stays the same, a task that the worker neither runs nor
	// reports as ended was never started there. An empty value proves nothing.
	Boot     string       `json:"boot"`
	Capacity Resources    `json:"capacity"`
	Tasks    []WorkerTask `json:"tasks"`
	// Events reports the ended tasks that no owner has acknowledged.
	Events []TaskEvent `json:"events,omitempty"`
}

// BeatRequest is a heartbeat that renews the owner's session and the leases of all tasks on a worker.
type BeatRequest struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// MayStart is true if the owner is permitted to start tasks. The worker renews the session only if it is true.
	MayStart bool `json:"starts"`
	// Acked is the highest TaskEvent.Sequence that the owner has recorded.
	Acked int64 `json:"acked"`
}

// BeatReply holds the current session and the events that are not acknowledged yet.
type BeatReply struct {
	Session int64       `json:"session"`
	Events  []TaskEvent `json:"events,omitempty"`
}

// StartResult tells whether one task was started, or why not.
type StartResult struct {
	Task    TaskID `json:"task"`
	Started bool   `json:"started"`
	Reason  string `json:"reason,omitempty"`
}

// StopRequest orders the graceful stop of one task.
type StopRequest struct {
	Task       TaskID `json:"task"`
	Checkpoint bool   `json:"checkpoint"`
	// Grace is the time that the task has to end by itself, in milliseconds.
	Grace int64 `json:"grace"`
}

// Worker is a client for one worker of the platform. Its calls return a Fenced error if the worker has seen a newer epoch or
// session.
type Worker interface {
	// Adopt makes the caller the owner, unless the worker has seen a newer epoch. It opens a new session, so that the worker
	// refuses delayed starts of older sessions, and returns the worker's tasks. It renews no lease.
	Adopt(ctx context.Context, owner string, epoch int64) (Adoption, error)
	// Beat sends a heartbeat, which renews the session and the leases, and returns events.
	Beat(ctx context.Context, r BeatRequest) (BeatReply, error)
	// Start starts tasks under the epoch and session. Starting an attempt that already runs has no effect.
	Start(ctx context.Context, epoch, session int64, tasks []WorkerTask) ([]StartResult, error)
	// Stop stops tasks gracefully.
	Stop(ctx context.Context, epoch int64, tasks []StopRequest) error
}

// Workers returns clients for workers.
type Workers interface {
	// Worker returns a client for the worker at the address.
	Worker(address string) Worker
}
