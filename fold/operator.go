package fold

import "context"

// Drain is the planned end or emptying of a worker, endpoint, service, queue, team or entry.
type Drain struct {
	// Kind is one of the Drain kinds.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Grace is how long work may end by itself before it is checkpointed and stopped, in milliseconds.
	Grace int64  `json:"grace"`
	Who   string `json:"who,omitempty"`
	// Began is in milliseconds since the Unix epoch.
	Began int64 `json:"began,omitempty"`
	// Manifest says that the manifest's retire list holds the drain.
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

// ID names the drain.
func (d Drain) ID() string {
	return d.Kind + "/" + d.Name
}

// DrainStatus is a drain and how far it has come.
type DrainStatus struct {
	Drain Drain `json:"drain"`
	// Done says that nothing is left.
	Done bool `json:"done"`
	// Remaining counts the tasks, requests or units that are left.
	Remaining int `json:"left"`
	// Details says what is left or what keeps the count unknown; it is bounded.
	Details []string `json:"holding,omitempty"`
	// ObservedAt is when this progress was observed, in milliseconds since the Unix epoch; 0 means not yet.
	ObservedAt int64 `json:"seen"`
}

// Event is something that the system did by itself, and why.
type Event struct {
	// Time is in milliseconds since the Unix epoch.
	Time  int64  `json:"time"`
	Entry string `json:"entry"`
	// Number counts the events of one run of an entry.
	Number int64 `json:"number"`
	// Kind is one word for the sort of action.
	Kind string `json:"kind"`
	// Subject is what was acted on.
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
}

// Change is one earlier change of the configuration.
type Change struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who"`
	// Time is in milliseconds since the Unix epoch.
	Time    int64  `json:"time"`
	Summary string `json:"summary"`
}

// Operations are the commands and queries of operators beyond manifest and keys.
type Operations interface {
	// Drain begins a drain; beginning it again changes its grace.
	Drain(ctx context.Context, c Caller, d Drain) (DrainStatus, error)
	// Undrain returns what was drained to use.
	Undrain(ctx context.Context, c Caller, kind, name string) (Revision, error)
	// Drains lists drains and their progress.
	Drains(ctx context.Context, c Caller) ([]DrainStatus, error)
	// Events lists what the system did by itself, newest last, at all entries that answer.
	Events(ctx context.Context, c Caller) ([]Event, error)
	// History lists earlier changes of the configuration, newest last.
	History(ctx context.Context, c Caller) ([]Change, error)
	// Cell describes all entries that answer.
	Cell(ctx context.Context, c Caller) ([]Status, error)
	// Samples are the measures of this entry over the last minutes, newest last.
	Samples(ctx context.Context) []Sample
	// Spread says at which entries the newest revision known here is in force.
	Spread(ctx context.Context) Revision
}

// Measures are the four measures as one entry sees them, over its own pools.
type Measures struct {
	Waiting WaitingMeasure `json:"waiting"`
	// Packing is the used fraction of the capacity, in its dominant dimension.
	Packing float64        `json:"packing"`
	Control ControlMeasure `json:"control"`
	Shares  []ShareMeasure `json:"shares,omitempty"`
	// TeamsOverLimit counts teams that use more than the pools hold of their limit; it must be 0.
	TeamsOverLimit int `json:"over"`
	// OvercommittedWorkers counts workers on which more is committed than they have; it must be 0.
	OvercommittedWorkers int `json:"excess"`
}

// WaitingMeasure is the time from accept to start over the last starts, in milliseconds.
type WaitingMeasure struct {
	P50    int64 `json:"p50"`
	P99    int64 `json:"p99"`
	Starts int64 `json:"starts"`
}

// ControlMeasure is the cost of control.
type ControlMeasure struct {
	// CPU is the processor time of the entry as a fraction of one core, over the last period.
	CPU float64 `json:"cpu"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Decision is the p99 of the time for one round of decisions, in microseconds.
	Decision int64 `json:"decision"`
}

// ShareMeasure says how near a team is to its share.
type ShareMeasure struct {
	Team string `json:"team"`
	// Used and Due are fractions of the capacity; Due is the share among the teams that want capacity.
	Used     float64 `json:"used"`
	Entitled float64 `json:"due"`
	Waiting  int     `json:"waiting"`
}

// Sample is the four measures at one time.
type Sample struct {
	// Time is in milliseconds since the Unix epoch.
	Time     int64    `json:"time"`
	Measures Measures `json:"measures"`
}
