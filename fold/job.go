package fold

import (
	"strconv"
	"strings"
	"time"
)

// Kind is the sort of work a job is.
type Kind string

// Kinds of jobs.
const (
	Batch   Kind = "batch"
	Gang    Kind = "gang"
	Service Kind = "service"
)

// Job is accepted work: count equal tasks of one team.
type Job struct {
	ID        string    `json:"job"`
	Team      string    `json:"team"`
	Queue     string    `json:"queue"`
	Kind      Kind      `json:"kind"`
	Count     int       `json:"count"`
	Resources Resources `json:"resources"`
	// Duration is the declared run time of a task in milliseconds; 0 for services.
	Duration int64 `json:"duration"`
	// Deadline is when the job should have ended, in milliseconds since the Unix epoch, or 0.
	Deadline int64 `json:"deadline,omitempty"`
	// Priority orders jobs of a team; UrgentPriority and above start first of all.
	Priority   int  `json:"priority"`
	Retries    int  `json:"retries"`
	Idempotent bool `json:"idempotent"`
	// Accepted is when the job became durable, in milliseconds since the Unix epoch.
	Accepted int64 `json:"accepted"`
	// FirstTask is the index of the first task held by this part of the job.
	FirstTask int `json:"from"`
}

// UrgentPriority is the least priority of urgent work.
const UrgentPriority = 100

// WithPart returns the part of j with count tasks from the given index on.
func (j Job) WithPart(from, count int) Job {
	j.FirstTask = from
	j.Count = count
	return j
}

// RunTime returns the declared run time of one task.
func (j Job) RunTime() time.Duration {
	return time.Duration(j.Duration) * time.Millisecond
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String formats the id as job.index.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Index)
}

// MarshalText formats the id as job.index.
func (t TaskID) MarshalText() ([]byte, error) {
	return []byte(t.String()), nil
}

// UnmarshalText parses job.index.
func (t *TaskID) UnmarshalText(b []byte) error {
	s := string(b)
	dot := strings.LastIndexByte(s, '.')
	if dot < 1 {
		return Refuse(Invalid, "write the task as job.index", "task id %q has no index", s)
	}
	n, err := strconv.Atoi(s[dot+1:])
	if err != nil || n < 0 {
		return Refuse(Invalid, "write the task as job.index", "task id %q has a bad index", s)
	}
	t.Job = s[:dot]
	t.Index = n
	return nil
}

// Outcome says how a task or job ended, or that it has not.
type Outcome string

// Outcomes and states of tasks and jobs.
const (
	Waiting        Outcome = "waiting"
	Running        Outcome = "running"
	Done           Outcome = "done"
	Failed         Outcome = "failed"
	Stopped        Outcome = "stopped"
	Cancelled      Outcome = "cancelled"
	Parked         Outcome = "parked"
	UnknownOutcome Outcome = "unknown"
)

// Ended reports whether o is final for a job.
func (o Outcome) Ended() bool {
	switch o {
	case Done, Failed, Cancelled, UnknownOutcome:
		return true
	default:
		return false
	}
}

// Part is the range of a job's tasks that one pool runs.
type Part struct {
	Pool      string `json:"pool"`
	FirstTask int    `json:"from"`
	Count     int    `json:"count"`
	// Job is the id under which the pool runs the part; empty is the id of the job itself.
	Job string `json:"job,omitempty"`
}

// partMark stands between the id of a job and the token of a part that was moved, so that one pool can run several
// parts of a job.
const partMark = "~"

// MovedID returns the id under which a part of a job runs after it was moved; the token is of that move alone.
func MovedID(job, token string) string {
	return BaseID(job) + partMark + token
}

// BaseID returns the id of the job to which the part with the id belongs.
func BaseID(part string) string {
	base, _, _ := strings.Cut(part, partMark)
	return base
}

// IDOf returns the id under which the pool runs the part of the job.
func (p Part) IDOf(job string) string {
	if p.Job != "" {
		return p.Job
	}
	return job
}
