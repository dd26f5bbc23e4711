package fold

import "time"

// AdvicePolicy restricts the steps of a queue to hosts that the adviser has approved.
type AdvicePolicy struct {
	// CallTime is the time that the adviser needs for a call, without the time for its hosts.
	CallTime time.Duration `json:"decide"`
	// TimePerHost is the additional time that the adviser needs for each host in a call.
	TimePerHost time.Duration `json:"each"`
	// Validity is how long a ticket is valid.
	Validity time.Duration `json:"valid"`
}

// Queue is a declared queue.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority orders the queues. Queues with priority 0 come first and may preempt the others.
	Priority int `json:"priority"`
	// Attempts is the maximum number of failures of a task.
	Attempts int `json:"attempts"`
	// SlackFactor is the factor by which the longest chain of a job's steps is multiplied for the job's target time.
	SlackFactor float64 `json:"slack"`
	// Target is added to the product of SlackFactor and the longest chain. The sum is the time in which a job should end.
	Target time.Duration `json:"target"`
	// Advice is nil if the queue needs no approval by the adviser.
	Advice *AdvicePolicy `json:"advice,omitempty"`
	// Anonymous is true if callers need no key.
	Anonymous bool `json:"open,omitempty"`
}

// TeamRule holds the keys, the weight and the limit of a team.
type TeamRule struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit is the maximum amount that the team's running tasks may use together. A dimension of 0 has no limit.
	Limit Resources
}

// Rules is one revision of the declared configuration.
type Rules struct {
	Revision int64
	Queues   []Queue
	Teams    []TeamRule
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// Evacuated lists, in order, the failure domains whose hosts get no new work.
	Evacuated []string `json:"evacuated,omitempty"`
	// CapacityChecked maps the name of a service to true if its hosts reject runs that exceed their capacity.
	CapacityChecked map[string]bool `json:"Guarded"`
}

// Declared is what the operator has declared, as of one version of the table.
type Declared struct {
	Rules Rules
	// Version is the version of the row of the configuration, which commits check.
	Version int64
	// Position is the version of the whole table at which the state held. The feed of changes continues from it, and of two
	// states the one with the higher position is newer.
	Position int64
}

// RowChange is the state of a row after a change. The row does not exist any more if Deleted is true.
type RowChange struct {
	Row
	Deleted bool
}
