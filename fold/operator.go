package fold

import "context"

// Drain takes a worker, endpoint, service, queue, team or entry out of use as planned.
type Drain struct {
	// Kind is one of the drain kinds, such as DrainWorker.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Grace is the time that running work has to end before it is checkpointed and stopped, in milliseconds.
	Grace int64 `json:"grace"`
	// Who is the key ID of the operator that requested the drain.
	Who string `json:"who,omitempty"`
	// Began is the start of the drain in milliseconds since the Unix epoch.
	Began int64 `json:"began,omitempty"`
	// Manifest is true if the drain comes from the retire list of the manifest.
	Manifest bool `json:"manifest,omitempty"`
}

// Kinds of drains.
const (
	DrainWorker   = "worker"
	DrainEndpoint = "endpoint"
	DrainService  = "service"
	DrainQueue    = "queue"
	DrainTeam     = "team"
	DrainEntry    = "entry"
)

// ID returns the kind and the name of the drain, separated by a slash.
func (d Drain) ID() string {
	return d.Kind + "/" + d.Name
}

// DrainStatus is the progress of a drain.
type DrainStatus struct {
	Drain Drain `json:"drain"`
	// Done is true if no work remains.
	Done bool `json:"done"`
	// Remaining is the number of tasks, requests or units that remain.
	Remaining int `json:"left"`
	// Details lists the work that remains, or why the amount is not known. Its length is limited.
	Details []string `json:"holding,omitempty"`
	// ObservedAt is the time of this observation in milliseconds since the Unix epoch. It is 0 before the first one.
	ObservedAt int64 `json:"seen"`
}

// Event is an action that the system took on its own, with its reason.
type Event struct {
	// Time is the time of the event in milliseconds since the Unix epoch.
	Time  int64  `json:"time"`
	Entry string `json:"entry"`
	// Number counts the events of an entry since its process started.
	Number int64 `json:"number"`
	// Kind is the part of the entry that took the action.
	Kind string `json:"kind"`
	// Subject is the object of the action.
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
}

// Change is an entry in the history of the configuration.
type Change struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who"`
	// Time is the time of the change in milliseconds since the Unix epoch.
	Time    int64  `json:"time"`
	Summary string `json:"summary"`
}

// Operations are the operator calls other than those for the manifest and for keys.
type Operations interface {
	// Drain starts a drain. If the drain has already started, its grace is changed.
	Drain(ctx context.Context, c Caller, d Drain) (DrainStatus, error)
	// Undrain ends a drain and puts its subject back into use.
	Undrain(ctx context.Context, c Caller, kind, name string) (Revision, error)
	// Drains returns all drains with their progress.
	Drains(ctx context.Context, c Caller) ([]DrainStatus, error)
	// Events returns the events of all entries that answer, newest last.
	Events(ctx context.Context, c Caller) ([]Event, error)
	// History returns earlier changes of the configuration, newest last.
	History(ctx context.Context, c Caller) ([]Change, error)
	// Cell returns the status of each entry that answers.
	Cell(ctx context.Context, c Caller) ([]Status, error)
	// Samples returns the measures of this entry over the last minutes, newest last.
	Samples(ctx context.Context) []Sample
	// Spread returns the newest revision that this entry knows, with the entries that have put it in force.
	Spread(ctx context.Context) Revision
}

// Measures are the waiting time, packing, control cost and team shares of the pools that one entry owns.
type Measures struct {
	Waiting WaitingMeasure `json:"waiting"`
	// Packing is the used fraction of the capacity in the dominant dimension.
	Packing float64        `json:"packing"`
	Control ControlMeasure `json:"control"`
	Shares  []ShareMeasure `json:"shares,omitempty"`
	// TeamsOverLimit is the number of teams that use more than the portion of their limit that the pools hold. It must be 0.
	TeamsOverLimit int `json:"over"`
	// OvercommittedWorkers is the number of workers with more work assigned than their capacity. It must be 0.
	OvercommittedWorkers int `json:"excess"`
}

// WaitingMeasure is the time from the acceptance of a job to the start of a task, in milliseconds, over the last starts.
type WaitingMeasure struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	// Starts is the number of starts since the entry began.
	Starts int64 `json:"starts"`
}

// ControlMeasure is the resource use of the entry itself.
type ControlMeasure struct {
	// CPU is the processor time over the last period as a fraction of one core.
	CPU float64 `json:"cpu"`
	// Memory is the peak resident memory in bytes.
	Memory int64 `json:"memory"`
	// Decision is the 99th percentile of the time for one scheduling round, in microseconds.
	Decision int64 `json:"decision"`
}

// ShareMeasure compares the use of a team with its share.
type ShareMeasure struct {
	Team string `json:"team"`
	// Used is the fraction of the capacity that the team uses.
	Used float64 `json:"used"`
	// Entitled is the fraction of the capacity that the team is entitled to among the teams that request capacity.
	Entitled float64 `json:"due"`
	Waiting  int     `json:"waiting"`
}

// Sample is the measures at one time.
type Sample struct {
	// Time is the time of the sample in milliseconds since the Unix epoch.
	Time     int64    `json:"time"`
	Measures Measures `json:"measures"`
}
