package audit

import (
	"time"

	"plantainfold.example/fold"
)

// Times that the invariants allow.
const (
	// Spread is how long a withdrawn key, a limit or a configuration may take to be in force everywhere.
	Spread = 4 * time.Second
	// LeaveTime is how long a leaving endpoint may still receive new requests.
	LeaveTime = 5 * time.Second
)

// History is what was recorded of a cell; all instants are of one clock. What was not recorded is not checked.
type History struct {
	// Capacity is the capacity of each worker by name.
	Capacity map[string]fold.Resources
	// Limits are the team limits over time, in order of time.
	Limits []Limit
	Jobs   []Job
	Runs   []Run
	Tries  []Try
	// Served are the requests that endpoints ran.
	Served []Served
	// Leaves are the endpoints that began to leave.
	Leaves []Leave
	// Withdrawals are the answered withdrawals of keys.
	Withdrawals []Withdrawal
	// Stops are the planned stops of entries.
	Stops []Stop
	// Accepted are the configurations whose change was answered.
	Accepted []Accepted
	// Seen are the revisions that entries reported.
	Seen []Seen
	// Ended says that all jobs were to have ended, so that a task without a finished run is lost.
	Ended bool
}

// Limit is the limit of a team from an instant on.
type Limit struct {
	Team  string
	Limit fold.Resources
	From  fold.Instant
}

// Job is a submitted job.
type Job struct {
	Job fold.Job
	// Key is the key that came with it, KeyTeam the team of the key and Open whether the queue is open to all.
	Key     string
	KeyTeam string
	Open    bool
	// At is when the answer came.
	At fold.Instant
	// Accepted says that a caller was told that the job is accepted.
	Accepted bool
	// NotRun says that every submit of the job was refused as not run.
	NotRun bool
	// Cancelled says that a caller cancelled the job, and Unknown how many of its tasks were reported as unknown.
	Cancelled bool
	Unknown   int
}

// Run is one execution of a task; End is 0 while it runs.
type Run struct {
	Worker    string
	Task      fold.TaskID
	Resources fold.Resources
	Begin     fold.Instant
	End       fold.Instant
	State     fold.Outcome
}

// Try is one synchronous request as its caller saw it; a retry is another Try with the same ID.
type Try struct {
	ID         string
	Entry      string
	Key        string
	KeyTeam    string
	Idempotent bool
	Begin      fold.Instant
	End        fold.Instant
	// Want is the whole answer due to the request, AnswerID and Answer are what came; AnswerID is empty if none came.
	Want     string
	AnswerID string
	Answer   string
	// NotRun says that the try was refused as not run.
	NotRun bool
	// Cut says that the connection ended before an answer.
	Cut bool
}

// Served says how often an endpoint ran a request; Begin is that of the last time, or 0 if it is not known.
type Served struct {
	ID       string
	Endpoint string
	Count    int
	Begin    fold.Instant
}

// Leave is when an endpoint began to leave.
type Leave struct {
	Endpoint string
	At       fold.Instant
}

// Withdrawal is when the withdrawal of a key was answered.
type Withdrawal struct {
	Key string
	At  fold.Instant
}

// Stop is a planned stop of an entry.
type Stop struct {
	Entry string
	Begin fold.Instant
	End   fold.Instant
}

// Accepted is when the change to a revision was answered.
type Accepted struct {
	Revision int64
	At       fold.Instant
}

// Seen is a revision that an entry reported while it accepted keyed work.
type Seen struct {
	Entry    string
	Revision int64
	At       fold.Instant
}
