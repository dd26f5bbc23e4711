package fold

import "context"

// WorkerTask is a task as a worker holds it.
type WorkerTask struct {
	Task      TaskID    `json:"task"`
	Attempt   int       `json:"attempt"`
	Resources Resources `json:"resources"`
	// Duration is the run time in milliseconds; 0 runs until stopped.
	Duration int64 `json:"duration"`
	// Lease is how long the task may run without a renewal, in milliseconds.
	Lease int64   `json:"lease"`
	State Outcome `json:"state,omitempty"`
}

// TaskEvent is an end of a task that the owner has not acknowledged yet.
type TaskEvent struct {
	Sequence int64   `json:"sequence"`
	Task     TaskID  `json:"task"`
	Attempt  int     `json:"attempt"`
	State    Outcome `json:"state"`
	// Usage is the observed peak usage; it may lag.
	Usage Resources `json:"usage"`
	// Ran is the observed run time in milliseconds.
	Ran int64 `json:"ran"`
	// Saved is the run time that a checkpoint preserved, in milliseconds; 0 means that there is no checkpoint.
	Saved int64 `json:"saved,omitempty"`
}

// Adoption is a worker's answer to a new owner.
type Adoption struct {
	Session int64 `json:"session"`
	// Boot is a new value after each restart of the worker. While it stays the same, a task that the worker neither runs
	// nor reports as ended was never started there. Empty proves nothing.
	Boot     string       `json:"boot"`
	Capacity Resources    `json:"capacity"`
	Tasks    []WorkerTask `json:"tasks"`
	// Events are the ends of tasks that no owner has acknowledged.
	Events []TaskEvent `json:"events,omitempty"`
}

// BeatRequest renews the owner's session and the leases of all tasks on a worker.
type BeatRequest struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// MayStart says that the owner has standing to start tasks; only then the session is renewed.
	MayStart bool `json:"starts"`
	// Acked is the highest event sequence that the owner has recorded.
	Acked int64 `json:"acked"`
}

// BeatReply carries the current session and the events that are not acknowledged.
type BeatReply struct {
	Session int64       `json:"session"`
	Events  []TaskEvent `json:"events,omitempty"`
}

// StartResult says for one task whether it runs.
type StartResult struct {
	Task    TaskID `json:"task"`
	Started bool   `json:"started"`
	Reason  string `json:"reason,omitempty"`
}

// StopRequest asks for a graceful stop of one task.
type StopRequest struct {
	Task       TaskID `json:"task"`
	Checkpoint bool   `json:"checkpoint"`
	// Grace is the time a task has to end by itself, in milliseconds.
	Grace int64 `json:"grace"`
}

// Worker is one worker of the platform; a Fenced error names a newer epoch or session.
type Worker interface {
	// Adopt makes the caller the owner if the epoch is not older than the last one seen. It opens a new session,
	// so that starts still under way in an older session are refused, and returns all that runs. It renews no lease.
	Adopt(ctx context.Context, owner string, epoch int64) (Adoption, error)
	// Beat renews session and leases and returns events.
	Beat(ctx context.Context, r BeatRequest) (BeatReply, error)
	// Start runs tasks under the epoch and session; starting a running attempt again changes nothing.
	Start(ctx context.Context, epoch, session int64, tasks []WorkerTask) ([]StartResult, error)
	// Stop stops tasks gracefully.
	Stop(ctx context.Context, epoch int64, tasks []StopRequest) error
}

// Workers connects to workers by address.
type Workers interface {
	// Worker returns the worker at an address.
	Worker(address string) Worker
}
