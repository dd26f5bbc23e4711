package flow

// State is the state of a job as its caller sees it.
type State string

// States of jobs.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Record is the durable progress of a job. It is written before any action that depends on it: a run is recorded before it
// is started, and an end before it is acknowledged.
type Record struct {
	State State `json:"state"`
	// Seq increases with each record of a job; the record with the highest number is the newest.
	Seq int64 `json:"seq,omitempty"`
	// Ended is when the state became final, in milliseconds since the Unix epoch.
	Ended int64 `json:"ended,omitempty"`
	// Team is stored so that keys can be checked after the job itself was removed.
	Team string `json:"team,omitempty"`
	// Begun reports whether a host has confirmed a run of the job. It is false in records of versions without this field.
	Begun bool `json:"begun,omitempty"`
	// Hosts lists the incarnations of hosts that live runs refer to.
	Hosts []LiveHost `json:"hosts,omitempty"`
	// Parts holds the progress of the steps of which a task was ever started.
	Parts []Part `json:"parts,omitempty"`
}

// LiveHost is one incarnation of a host.
type LiveHost struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// Part is the progress of one step of one occurrence. Numbers replace the field names in the encoding because records are
// written often.
type Part struct {
	Occurrence int `cbor:"0,keyasint,omitempty"`
	Step       int `cbor:"1,keyasint,omitempty"`
	// Done has a bit for each task that is done.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// AllDone reports that all tasks are done; the other fields are then empty.
	AllDone bool `cbor:"3,keyasint,omitempty"`
	// Runs holds the highest run number of each task. It is empty if all are 0.
	Runs []uint32 `cbor:"4,keyasint,omitempty"`
	// Fails holds the number of recorded failures of each task. It is empty if all are 0.
	Fails []uint32 `cbor:"5,keyasint,omitempty"`
	// Saved holds the newest checkpoints, by index of the task.
	Saved map[int]string `cbor:"6,keyasint,omitempty"`
	// Live lists the runs that may be on a host.
	Live []LiveRun `cbor:"7,keyasint,omitempty"`
	// FailedRuns lists the numbers of the last failed runs of a gang. A run counts once, whichever members report its failure.
	FailedRuns []uint32 `cbor:"8,keyasint,omitempty"`
}

// LiveRun is a run that may be on a host.
type LiveRun struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Run   int
	// Host is the index of the host in Record.Hosts.
	Host int
	// Stopped reports whether a stop was requested.
	Stopped bool
}
