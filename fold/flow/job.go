package flow

import (
	"strconv"
	"strings"
	"time"

	"plantainfold.example/fold"
)

// Bounds of a job; a request beyond them is refused.
const (
	MaxSteps = 64
	// MaxTasks bounds the tasks of one occurrence so that the record of a job stays within one row.
	MaxTasks = 2000
	// MaxSpec is in bytes.
	MaxSpec = 4000
	// MaxTimes bounds the occurrences of a scheduled job.
	MaxTimes = 1000
)

// Step is a number of equal tasks that run once the steps before them are done.
type Step struct {
	Count int            `json:"n"`
	Size  fold.Resources `json:"size"`
	// Estimate is the declared run time of a task in milliseconds; it is rough.
	Estimate int64 `json:"est,omitempty"`
	After    []int `json:"after,omitempty"`
	// Checkpoints says that tasks write checkpoints.
	Checkpoints bool `json:"saves,omitempty"`
	// Gang says that the tasks run together or not at all.
	Gang bool `json:"gang,omitempty"`
	// OneRack says that a gang is slower over several racks.
	OneRack bool `json:"onerack,omitempty"`
	// Label must be carried by the host.
	Label string `json:"label,omitempty"`
	// Rack is where the data of the step lies; tasks are slower elsewhere.
	Rack string `json:"rack,omitempty"`
	// PerHost bounds the tasks of the step on a host; 0 is no bound.
	PerHost int `json:"perhost,omitempty"`
	// Copies says that two runs of a task may overlap.
	Copies bool `json:"copies,omitempty"`
	// LongRunning says that tasks run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// Target bounds the tail latency of a task that serves, in milliseconds; 0 is no bound.
	Target int64 `json:"target,omitempty"`
	// Fill says that the tasks use the processors that others leave, and none of the host's capacity for them.
	Fill bool `json:"fill,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step the scheduler may make unavailable at a time; 0 sets no bound.
	MaxUnavailable int `json:"away,omitempty"`
}

// Claim returns the capacity of a host that a task takes.
func (s Step) Claim() fold.Resources {
	if s.Fill {
		return fold.Resources{Memory: s.Size.Memory, Accel: s.Size.Accel}
	}
	return s.Size
}

// Job is accepted work.
type Job struct {
	ID    string     `json:"id"`
	Team  string     `json:"team,omitempty"`
	Queue fold.Queue `json:"queue"`
	Spec  string     `json:"spec"`
	Steps []Step     `json:"steps"`
	// Start is when the first occurrence is due and Accepted when the job was taken, in milliseconds since the Unix epoch;
	// Every is the time between occurrences in milliseconds.
	Start    int64 `json:"start,omitempty"`
	Every    int64 `json:"every,omitempty"`
	Times    int   `json:"times,omitempty"`
	Accepted int64 `json:"accepted"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Times)
}

// Due returns when an occurrence may start, in milliseconds since the Unix epoch; 0 is at once.
func (j *Job) Due(occurrence int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.Start + int64(occurrence)*j.Every
}

// CriticalPath returns the longest chain of declared run times.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]int64, len(j.Steps))
	var longest int64
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// LongRunning reports whether any step lasts until the job is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

const remedy = "correct the job and submit it again"

// Validate refuses a job that could not be kept or run.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fold.Refuse(fold.Invalid, remedy, "a job has 1 to %d steps, this one has %d", MaxSteps, len(j.Steps))
	}
	if len(j.Spec) > MaxSpec {
		return fold.Refuse(fold.TooLarge, remedy, "the specification has %d bytes, more than %d", len(j.Spec), MaxSpec)
	}
	if j.Times < 0 || j.Times > MaxTimes || (j.Times > 1 && j.Every <= 0) {
		return fold.Refuse(fold.Invalid, remedy, "a schedule needs 1 to %d occurrences and a positive interval", MaxTimes)
	}
	total := 0
	for i, s := range j.Steps {
		total += s.Count
		if err := s.check(i); err != nil {
			return err
		}
	}
	if total > MaxTasks {
		return fold.Refuse(fold.TooLarge, remedy, "a job has at most %d tasks, this one has %d", MaxTasks, total)
	}
	return nil
}

// check refuses the step at the given place of its job.
func (s Step) check(place int) error {
	if s.Count < 1 || s.Size.Negative() || s.Estimate < 0 || s.PerHost < 0 || s.MaxUnavailable < 0 || s.Target < 0 {
		return fold.Refuse(fold.Invalid, remedy, "step %d has a count below 1 or a negative field", place)
	}
	for _, a := range s.After {
		if a < 0 || a >= place {
			return fold.Refuse(fold.Invalid, remedy, "step %d waits for step %d, which is not an earlier one", place, a)
		}
	}
	return nil
}

// TaskName identifies a task over all jobs.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String formats the name with dots.
func (n TaskName) String() string {
	return n.StepName() + "." + strconv.Itoa(n.Index)
}

// StepName formats the name of the task's step.
func (n TaskName) StepName() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// ParseTaskName reads what String wrote and reports whether it is one.
func ParseTaskName(s string) (TaskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}
