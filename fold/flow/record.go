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
	// Parts holds the steps of occurrences that have begun.
	Parts []Part `json:"parts,omitempty"`
}

// Part is the progress of one step of one occurrence.
type Part struct {
	Occurrence int `json:"occ,omitempty"`
	Step       int `json:"step"`
	// Done has a bit for each task; All stands for all of them.
	Done []byte `json:"done,omitempty"`
	All  bool   `json:"all,omitempty"`
	// Runs is the highest run number of each task, Fails the failed runs that were recorded. Both are empty when 0
	// throughout.
	Runs  []uint32 `json:"runs,omitempty"`
	Fails []uint32 `json:"fails,omitempty"`
	// Saved is the newest checkpoint of each task.
	Saved map[int]string `json:"saved,omitempty"`
	// Live lists the runs that may be on a host.
	Live []Live `json:"live,omitempty"`
}

// Live is a run that may be on a host.
type Live struct {
	Index int    `json:"i"`
	Run   int    `json:"run"`
	Host  string `json:"host"`
	Born  int64  `json:"born"`
	// Stopped says that the run was told to stop.
	Stopped bool `json:"stopped,omitempty"`
}
