package fold

import "time"

// AdvicePolicy says that only hosts approved by the adviser may run the steps of a queue.
type AdvicePolicy struct {
	// CallTime and Each are how long the adviser takes for a call and for each host in it.
	CallTime    time.Duration `json:"decide"`
	TimePerHost time.Duration `json:"each"`
	// Validity is how long a ticket holds.
	Validity time.Duration `json:"valid"`
}

// Queue is a declared queue.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int `json:"priority"`
	// Attempts is how often a task may fail.
	Attempts int `json:"attempts"`
	// SlackFactor times the longest chain of a job's work, plus Target, is the time in which the job should end.
	SlackFactor float64       `json:"slack"`
	Target      time.Duration `json:"target"`
	Advice      *AdvicePolicy `json:"advice,omitempty"`
	// Anonymous says that callers need no key.
	Anonymous bool `json:"open,omitempty"`
}

// TeamRule is what a team may use.
type TeamRule struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds what runs at a time; a dimension of 0 is not bounded.
	Limit Resources
}

// Rules is one revision of the declared configuration.
type Rules struct {
	Revision int64
	Queues   []Queue
	Teams    []TeamRule
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	// CapacityChecked names the services whose hosts refuse what does not fit.
	CapacityChecked map[string]bool
}

// RowChange is a row as a change left it.
type RowChange struct {
	Row
	Deleted bool
}
