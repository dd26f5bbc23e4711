package fold

import (
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a job.
type Kind string

// Kinds of jobs.
const (
	Batch   Kind = "batch"
	Gang    Kind = "gang"
	Service Kind = "service"
)

// Job is accepted work of one team that consists of Count equal tasks.
type Job struct {
	ID        string    `json:"job"`
	Team      string    `json:"team"`
	Queue     string    `json:"queue"`
	Kind      Kind      `json:"kind"`
	Count     int       `json:"count"`
	Resources Resources `json:"resources"`
	// Duration is the declared run time of a task in milliseconds. It is 0 for services.
	Duration int64 `json:"duration"`
	// Deadline is the time by which the job should end, in milliseconds since the Unix epoch. It is 0 if there is none.
	Deadline int64 `json:"deadline,omitempty"`
	// Priority orders the jobs of a team. Jobs with UrgentPriority or more start before the other jobs of all teams.
	Priority   int  `json:"priority"`
	Retries    int  `json:"retries"`
	Idempotent bool `json:"idempotent"`
	// Accepted is the time at which the job was stored durably, in milliseconds since the Unix epoch.
	Accepted int64 `json:"accepted"`
	// FirstTask is the index of the first task of this part of the job.
	FirstTask int `json:"from"`
}

// UrgentPriority is the lowest priority of urgent jobs.
const UrgentPriority = 100

// WithPart returns the part of j that consists of count tasks starting at index from.
func (j Job) WithPart(from, count int) Job {
	j.FirstTask = from
	j.Count = count
	return j
}

// RunTime returns the declared run time of one task.
func (j Job) RunTime() time.Duration {
	return time.Duration(j.Duration) * time.Millisecond
}

// TaskID identifies one task of a job by its index.
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
		return Refuse(Invalid, "write the task as job.index", "the index of task id %q is not a number of 0 or more", s)
	}
	t.Job = s[:dot]
	t.Index = n
	return nil
}

// Outcome is the state of a task or job.
type Outcome string

// States of tasks and jobs.
const (
	Waiting   Outcome = "waiting"
	Running   Outcome = "running"
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Stopped   Outcome = "stopped"
	Cancelled Outcome = "cancelled"
	// Parked means that the job failed on several workers and is not started again.
	Parked Outcome = "parked"
	// UnknownOutcome means that it is not known whether the task ran.
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

// Part is a range of a job's tasks that one pool runs.
type Part struct {
	Pool string `json:"pool"`
	// FirstTask is the index of the first task.
	FirstTask int `json:"from"`
	Count     int `json:"count"`
	// Job is the id under which the pool runs the part. If it is empty, the pool uses the id of the job.
	Job string `json:"job,omitempty"`
}

// partMark separates the id of a job from the token of a moved part. The token lets one pool run several parts of a job
// under different ids.
const partMark = "~"

// MovedID returns the id under which a part of a job runs after a move. Each move has its own token.
func MovedID(job, token string) string {
	return BaseID(job) + partMark + token
}

// BaseID returns the id of the job that the part belongs to.
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
