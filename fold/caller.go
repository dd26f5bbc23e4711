package fold

import (
	"context"
	"slices"
)

// Caller is who sent a request, as far as its key proves.
type Caller struct {
	// KeyID names the key; it is no secret.
	KeyID string
	// Team is empty for a caller without a key.
	Team    string
	Account string
	// Operator says that the key may change the configuration.
	Operator bool
	// Queues limits the queues of the key; empty allows all queues of its team.
	Queues []string
}

// MaySubmit reports whether the key covers the queue.
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

// JobStatus is what the system knows of a job.
type JobStatus struct {
	Job     Job     `json:"job"`
	Pool    string  `json:"pool"`
	State   Outcome `json:"state"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Done    int     `json:"done"`
	Failed  int     `json:"failed"`
	Unknown int     `json:"unknown"`
	// Placements says where tasks ran or run, newest last; it is bounded.
	Placements []Placement `json:"places,omitempty"`
}

// MaxPlacements bounds the placements in a status.
const MaxPlacements = 64

// precedence orders the states of parts: the first one found is the state of the whole job.
var precedence = []Outcome{Running, Waiting, Parked, UnknownOutcome, Failed, Cancelled, Done}

// Tasks returns the number of tasks that the status counts.
func (s JobStatus) Tasks() int {
	return s.Waiting + s.Running + s.Done + s.Failed + s.Unknown
}

// WithPart returns the status of the work of s and o together.
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
	for _, state := range precedence {
		if s.State == state || o.State == state {
			s.State = state
			break
		}
	}
	return s
}

// Placement says where, when and why one task was started.
type Placement struct {
	Task    TaskID `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	Domain  string `json:"domain"`
	// Waited is the time from accept to start, in milliseconds.
	Waited int64  `json:"waited"`
	Reason string `json:"reason"`
}

// Explanation says why a job is in its state and what changes it.
type Explanation struct {
	Job      string   `json:"job"`
	State    Outcome  `json:"state"`
	Reason   string   `json:"reason"`
	Evidence []string `json:"evidence,omitempty"`
	Remedy   string   `json:"remedy,omitempty"`
}

// Commands changes the state of the cell on behalf of callers and operators.
type Commands interface {
	// Serve runs one synchronous request on a queue.
	Serve(ctx context.Context, c Caller, queue string, r Request) (Reply, error)
	// Submit accepts a job durably and returns its status; submitting the same job again returns the first one.
	Submit(ctx context.Context, c Caller, j Job) (JobStatus, error)
	// Cancel stops a job gracefully.
	Cancel(ctx context.Context, c Caller, job string) (JobStatus, error)
	// Apply replaces the manifest if the revision is still the given one.
	Apply(ctx context.Context, c Caller, revision int64, manifest []byte) (Revision, error)
	// Grant issues a key and returns it once.
	Grant(ctx context.Context, c Caller, g KeyGrant) (IssuedKey, error)
	// Withdraw ends a key.
	Withdraw(ctx context.Context, c Caller, keyID string) (Revision, error)
}

// Queries reads the state of the cell.
type Queries interface {
	// Identify returns the caller that the key proves; an empty key gives a caller without a team.
	Identify(ctx context.Context, key string) (Caller, error)
	// Job returns the status of a job of the caller's team.
	Job(ctx context.Context, c Caller, job string) (JobStatus, error)
	// Explain says why a job is in its state.
	Explain(ctx context.Context, c Caller, job string) (Explanation, error)
	// Manifest returns the manifest in force and its revision.
	Manifest(ctx context.Context, c Caller) (Revision, []byte, error)
	// Keys lists keys without their secrets.
	Keys(ctx context.Context, c Caller) ([]KeyGrant, error)
	// Status describes the entry and what it sees of the cell.
	Status(ctx context.Context) Status
}

// Revision is a version of the configuration and how far it has spread.
type Revision struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who"`
	// InForce lists the entries that have told that the revision is in force there.
	InForce []string `json:"force,omitempty"`
	// Missing lists the registered entries that have not.
	Missing []string `json:"missing,omitempty"`
}

// KeyGrant describes a key without its secret.
type KeyGrant struct {
	ID       string   `json:"id"`
	Team     string   `json:"team"`
	Account  string   `json:"account,omitempty"`
	Queues   []string `json:"queues,omitempty"`
	Operator bool     `json:"operator,omitempty"`
	// Expiry is in milliseconds since the Unix epoch; 0 never expires.
	Expiry    int64  `json:"expiry,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	Who       string `json:"who,omitempty"`
}

// IssuedKey is a new key; the secret is shown once.
type IssuedKey struct {
	Grant KeyGrant `json:"grant"`
	Key   string   `json:"key"`
}

// Status describes one entry and its view of the cell.
type Status struct {
	Entry    string `json:"entry"`
	Domain   string `json:"domain"`
	Standing bool   `json:"standing"`
	// Leaving says that callers should use another entry.
	Leaving  bool         `json:"leaving,omitempty"`
	Mode     string       `json:"mode"`
	Revision int64        `json:"revision"`
	Entries  []string     `json:"entries"`
	Pools    []PoolStatus `json:"pools"`
	Measures Measures     `json:"measures"`
}

// PoolStatus describes one pool that the entry owns.
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
