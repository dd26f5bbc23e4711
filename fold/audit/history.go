package audit

import (
	"time"

	"plantainfold.example/fold"
)

// Time limits of the invariants.
const (
	// MaxSpreadTime is the maximum time until the withdrawal of a key, a limit or a configuration is in force everywhere.
	MaxSpreadTime = 4 * time.Second
	// LeaveTime is how long a leaving endpoint is permitted to receive new requests.
	LeaveTime = 5 * time.Second
)

// History is the recorded history of a cell. All instants are of one clock. Events that were not recorded are not checked.
type History struct {
	// Capacity is the capacity of each worker by name.
	Capacity map[string]fold.Resources
	// Limits holds the team limits, ordered by time.
	Limits []Limit
	Jobs   []Job
	Runs   []Run
	Tries  []Try
	// Served holds the requests that endpoints ran.
	Served []Served
	// Leaves holds the endpoints that began to leave.
	Leaves []Leave
	// Withdrawals holds the withdrawals of keys that were answered.
	Withdrawals []Withdrawal
	// Stops holds the planned stops of entries.
	Stops []Stop
	// Accepted holds the configuration changes that were answered.
	Accepted []Accepted
	// Seen holds the revisions that entries reported.
	Seen []Seen
	// Ended is set if all jobs should have ended, so that a task without a finished run is lost.
	Ended bool
}

// Limit is the limit of a team that applies from an instant on.
type Limit struct {
	Team  string
	Limit fold.Resources
	From  fold.Instant
}

// Job is a submitted job.
type Job struct {
	Job fold.Job
	// Key is the key of the submission, KeyTeam is the team of the key, and Open is set if the queue accepts any caller.
	Key     string
	KeyTeam string
	Open    bool
	// At is when the submission was answered.
	At fold.Instant
	// Accepted is set if a caller received the answer that the job is accepted.
	Accepted bool
	// NotRun is set if every submission of the job was refused as not run.
	NotRun bool
	// Cancelled is set if a caller cancelled the job, and Unknown is the number of its tasks that were reported as unknown.
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

// Try is one attempt of a synchronous request as its caller saw it. A retry is another Try with the same ID.
type Try struct {
	ID         string
	Entry      string
	Key        string
	KeyTeam    string
	Idempotent bool
	Begin      fold.Instant
	End        fold.Instant
	// Want is the expected answer. AnswerID and Answer are what the caller received; AnswerID is empty without an answer.
	Want     string
	AnswerID string
	Answer   string
	// NotRun is set if the attempt was refused as not run.
	NotRun bool
	// Cut is set if the connection ended before an answer.
	Cut bool
}

// Served is how often an endpoint ran a request. Begin is the start of the last run, or 0 if it is not known.
type Served struct {
	ID       string
	Endpoint string
	Count    int
	Begin    fold.Instant
}

// Leave records when an endpoint began to leave.
type Leave struct {
	Endpoint string
	At       fold.Instant
}

// Withdrawal records when the withdrawal of a key was answered.
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

// Accepted records when the change to a revision was answered.
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
