package fold

import (
	"context"
	"slices"
)

// Caller identifies the sender of a request by the key that the request carried.
type Caller struct {
	// KeyID is the public identifier of the key; it is not secret.
	KeyID string
	// Team is the team that the key belongs to. It is empty for a caller without a key.
	Team    string
	Account string
	// Operator is true if the key permits changes of the configuration.
	Operator bool
	// Queues lists the queues that the key permits. An empty list permits all queues of the team.
	Queues []string
}

// MaySubmit reports whether the key permits submitting to the queue.
func (c Caller) MaySubmit(queue string) bool {
	if len(c.Queues) == 0 {
		return true
	}
	for _, q := range c.Queues {
		if q == queue {
			return true
		}
	}
	return false
}

// JobStatus is the state of a job with the number of its tasks in each state.
type JobStatus struct {
	Job     Job     `json:"job"`
	Pool    string  `json:"pool"`
	State   Outcome `json:"state"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Done    int     `json:"done"`
	Failed  int     `json:"failed"`
	Unknown int     `json:"unknown"`
	// Placements lists the placements of tasks, newest last. It holds at most MaxPlacements elements.
	Placements []Placement `json:"places,omitempty"`
}

// MaxPlacements is the maximum number of placements in a JobStatus.
const MaxPlacements = 64

// statePrecedence lists states in the order in which the state of one part decides the state of the whole job.
var statePrecedence = []Outcome{Running, Waiting, Parked, UnknownOutcome, Failed, Cancelled, Done}

// Tasks returns the number of tasks in all states.
func (s JobStatus) Tasks() int {
	return s.Waiting + s.Running + s.Done + s.Failed + s.Unknown
}

// WithPart merges the status o of another part of the job into s.
func (s JobStatus) WithPart(o JobStatus) JobStatus {
	s.Waiting += o.Waiting
	s.Running += o.Running
	s.Done += o.Done
	s.Failed += o.Failed
	s.Unknown += o.Unknown
	if s.Pool != "" {
		s.Pool += ","
	}
	s.Pool += o.Pool
	places := append(slices.Clone(s.Placements), o.Placements...)
	s.Placements = places[:min(len(places), MaxPlacements)]
	for _, state := range statePrecedence {
		if s.State == state || o.State == state {
			s.State = state
			break
		}
	}
	return s
}

// Placement records on which worker one attempt of a task was started, how long the task had waited and why that worker
// was chosen.
type Placement struct {
	Task    TaskID `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	Domain  string `json:"domain"`
	// Waited is the time from the acceptance of the job to the start of the task, in milliseconds.
	Waited int64  `json:"waited"`
	Reason string `json:"reason"`
}

// Explanation tells why a job is in its state. Remedy is an action that would change that state.
type Explanation struct {
	Job      string   `json:"job"`
	State    Outcome  `json:"state"`
	Reason   string   `json:"reason"`
	Evidence []string `json:"evidence,omitempty"`
	Remedy   string   `json:"remedy,omitempty"`
}

// Commands are the calls by which callers and operators change the state of the cell.
type Commands interface {
	// Serve runs one synchronous request on a queue.
	Serve(ctx context.Context, c Caller, queue string, r Request) (Reply, error)
	// Submit stores a job durably and returns its status. A repeated submission of the same job returns the status of the
	// job that was stored first.
	Submit(ctx context.Context, c Caller, j Job) (JobStatus, error)
	// Cancel stops a job gracefully.
	Cancel(ctx context.Context, c Caller, job string) (JobStatus, error)
	// Apply replaces the manifest. It fails if the current revision differs from the given one.
	Apply(ctx context.Context, c Caller, revision int64, manifest []byte) (Revision, error)
	// Grant issues a key. The secret is in this answer only and cannot be read again.
	Grant(ctx context.Context, c Caller, g KeyGrant) (IssuedKey, error)
	// Withdraw revokes a key.
	Withdraw(ctx context.Context, c Caller, keyID string) (Revision, error)
}

// Queries are the calls that read the state of the cell.
type Queries interface {
	// Identify authenticates a caller by its key. An empty key returns a caller without a team.
	Identify(ctx context.Context, key string) (Caller, error)
	// Job returns the status of a job of the caller's team.
	Job(ctx context.Context, c Caller, job string) (JobStatus, error)
	// Explain returns the reason for the state of a job.
	Explain(ctx context.Context, c Caller, job string) (Explanation, error)
	// Manifest returns the manifest in force and its revision.
	Manifest(ctx context.Context, c Caller) (Revision, []byte, error)
	// Keys lists keys without their secrets.
	Keys(ctx context.Context, c Caller) ([]KeyGrant, error)
	// Status returns the state of this entry and its view of the cell.
	Status(ctx context.Context) Status
}

// Revision is a version of the configuration with the entries that have put it in force.
type Revision struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who"`
	// InForce lists the entries that have reported the revision as in force.
	InForce []string `json:"force,omitempty"`
	// Missing lists the registered entries that have not reported the revision as in force.
	Missing []string `json:"missing,omitempty"`
}

// KeyGrant describes a key without its secret.
type KeyGrant struct {
	ID       string   `json:"id"`
	Team     string   `json:"team"`
	Account  string   `json:"account,omitempty"`
	Queues   []string `json:"queues,omitempty"`
	Operator bool     `json:"operator,omitempty"`
	// Expiry is the end of the key's validity in milliseconds since the Unix epoch. A key with 0 never expires.
	Expiry    int64  `json:"expiry,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	Who       string `json:"who,omitempty"`
}

// IssuedKey is a new key with its secret, which is returned only when the key is issued.
type IssuedKey struct {
	Grant KeyGrant `json:"grant"`
	Key   string   `json:"key"`
}

// Status describes one entry and its view of the cell.
type Status struct {
	Entry    string `json:"entry"`
	Domain   string `json:"domain"`
	Standing bool   `json:"standing"`
	// Current is true if the configuration in force counts as current. Otherwise the entry refuses work under API keys.
	Current bool `json:"current"`
	// Leaving is true if the entry is shutting down and callers should use another one.
	Leaving  bool         `json:"leaving,omitempty"`
	Mode     string       `json:"mode"`
	Revision int64        `json:"revision"`
	Entries  []string     `json:"entries"`
	Pools    []PoolStatus `json:"pools"`
	Measures Measures     `json:"measures"`
}

// PoolStatus is the state of one pool that the entry owns.
type PoolStatus struct {
	Pool     string    `json:"pool"`
	Epoch    int64     `json:"epoch"`
	Workers  int       `json:"workers"`
	Adopted  int       `json:"adopted"`
	Capacity Resources `json:"capacity"`
	Used     Resources `json:"used"`
	Waiting  int       `json:"waiting"`
	Running  int       `json:"running"`
}
