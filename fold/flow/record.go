package flow

// State is where a job stands for its caller.
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

// Record is the durable progress of a job. It is written before anything that depends on it: a run is recorded before
// it is started, an end before it is acknowledged.
type Record struct {
	State State `json:"state"`
	// Seq grows with each record of the job; of two records the one with the higher number is the newer one.
	Seq int64 `json:"seq,omitempty"`
	// Ended is when the state became final, in milliseconds since the Unix epoch.
	Ended int64 `json:"ended,omitempty"`
	// Team is kept for the check of keys after the job itself was removed.
	Team string `json:"team,omitempty"`
	// Hosts are the lives of hosts to which live runs refer.
	Hosts []LiveHost `json:"hosts,omitempty"`
	// Parts holds the steps of occurrences that have begun.
	Parts []Part `json:"parts,omitempty"`
}

// LiveHost is one life of a host.
type LiveHost struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// Part is the progress of one step of one occurrence. Its fields have numbers for names, because records are written often.
type Part struct {
	Occurrence int `cbor:"0,keyasint,omitempty"`
	Step       int `cbor:"1,keyasint,omitempty"`
	// Done has a bit for each task; All stands for all of them.
	Done    []byte `cbor:"2,keyasint,omitempty"`
	AllDone bool   `cbor:"3,keyasint,omitempty"`
	// Runs is the highest run number of each task, Fails the failed runs that were recorded. Both are empty when 0
	// throughout.
	Runs  []uint32 `cbor:"4,keyasint,omitempty"`
	Fails []uint32 `cbor:"5,keyasint,omitempty"`
	// Saved is the newest checkpoint of each task.
	Saved map[int]string `cbor:"6,keyasint,omitempty"`
	// Live lists the runs that may be on a host.
	Live []LiveRun `cbor:"7,keyasint,omitempty"`
}

// LiveRun is a run that may be on a host.
type LiveRun struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Run   int
	// Host is the place of the host's life in the record.
	Host int
	// Stopped says that the run was told to stop.
	Stopped bool
}
