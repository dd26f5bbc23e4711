package flow

import (
	"strconv"
	"strings"
	"time"

	"plantainfold.example/fold"
)

// Limits of a job. Requests that exceed them are rejected.
const (
	// MaxSteps is the maximum number of steps.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks per occurrence.
	MaxTasks = 2000
	// MaxParts is the maximum number of steps of all occurrences together. With MaxTasks it limits the record of a job, which is
	// written in a single commit.
	MaxParts = 8000
	// MaxSpec is the maximum size of the specification in bytes.
	MaxSpec = 4000
	// MaxTimes is the maximum number of occurrences of a scheduled job.
	MaxTimes = 1000
	// MaxTime is the latest start and the longest interval of a schedule: the end of the year 9999 in Unix milliseconds.
	MaxTime = 253402300799999
	// MaxEstimate is the longest estimated run time of a task in milliseconds: a year.
	MaxEstimate = 366 * 24 * 3600 * 1000
	// MaxAmount is the largest amount of a resource that a task may declare. Sums over the tasks of a team do not overflow.
	MaxAmount = 1 << 40
)

// Step is a set of equal tasks that start once all steps in After are done.
type Step struct {
	Count int            `json:"n"`
	Size  fold.Resources `json:"size"`
	// Estimate is the approximate run time of a task, as declared by the caller, in milliseconds.
	Estimate int64 `json:"est,omitempty"`
	// After lists the indexes of the steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints reports whether tasks write checkpoints.
	Checkpoints bool `json:"saves,omitempty"`
	// Gang reports whether the tasks run either all together or not at all.
	Gang bool `json:"gang,omitempty"`
	// OneRack reports whether a gang is slower across several racks.
	OneRack bool `json:"onerack,omitempty"`
	// Label is a label that the host must have, or empty.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the data of the step, or empty. Tasks are slower on other racks.
	Rack string `json:"rack,omitempty"`
	// PerHost is the maximum number of tasks of the step on one host; 0 sets no limit.
	PerHost int `json:"perhost,omitempty"`
	// Copies reports whether a task may have a speculative copy, so that two runs of it overlap.
	Copies bool `json:"copies,omitempty"`
	// LongRunning reports whether the step is long-running: its tasks run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// Target is the target for the tail latency of a serving task in milliseconds; 0 sets no target.
	Target int64 `json:"target,omitempty"`
	// Fill reports whether the tasks use only processor time that other tasks leave. They claim no processors of the host.
	Fill bool `json:"fill,omitempty"`
	// MaxUnavailable is the maximum number of tasks of a long-running step that the scheduler may make unavailable at a
	// time; 0 sets no limit.
	MaxUnavailable int `json:"away,omitempty"`
}

// Claim returns the resources of a host that a task reserves.
func (s Step) Claim() fold.Resources {
	if s.Fill {
		return fold.Resources{Memory: s.Size.Memory, Accel: s.Size.Accel}
	}
	return s.Size
}

// Job is an accepted job.
type Job struct {
	ID    string     `json:"id"`
	Team  string     `json:"team,omitempty"`
	Queue fold.Queue `json:"queue"`
	Spec  string     `json:"spec"`
	Steps []Step     `json:"steps"`
	// Start is when the first occurrence is due, in milliseconds since the Unix epoch.
	Start int64 `json:"start,omitempty"`
	// Every is the interval between occurrences in milliseconds.
	Every int64 `json:"every,omitempty"`
	// Times is the number of occurrences, or 0 for a job without a schedule.
	Times int `json:"times,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since the Unix epoch.
	Accepted int64 `json:"accepted"`
}

// Occurrences returns how often the steps of the job run.
func (j *Job) Occurrences() int {
	return max(1, j.Times)
}

// Tasks returns the number of tasks of an occurrence.
func (j *Job) Tasks() int {
	total := 0
	for _, s := range j.Steps {
		total += s.Count
	}
	return total
}

// Due returns when an occurrence may start, in milliseconds since the Unix epoch. It returns 0 for a job without a
// schedule.
func (j *Job) Due(occurrence int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.Start + int64(occurrence)*j.Every
}

// CriticalPath returns the length of the critical path by the estimated run times.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]int64, len(j.Steps))
	var longest int64
	for i, s := range j.Steps {
		for _, predecessor := range s.After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// LongRunning reports whether any step of the job is long-running.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

const remedy = "correct the job and submit it again"

// Validate returns an error for a job that must not be accepted.
func (j *Job) Validate() error {
	if len(j.Spec) > MaxSpec {
		return fold.Refuse(fold.TooLarge, remedy, "the specification has %d bytes, more than %d", len(j.Spec), MaxSpec)
	}
	if err := j.Check(); err != nil {
		return err
	}
	if parts := j.Occurrences() * len(j.Steps); parts > MaxParts {
		return fold.Refuse(fold.TooLarge, remedy, "a job has at most %d steps in all its occurrences, this one has %d", MaxParts, parts)
	}
	return nil
}

// Check returns an error for a job that could not be run, whether or not it was accepted.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fold.Refuse(fold.Invalid, remedy, "a job has 1 to %d steps, this one has %d", MaxSteps, len(j.Steps))
	}
	if j.Times < 0 || j.Times > MaxTimes || (j.Times > 1 && j.Every <= 0) {
		return fold.Refuse(fold.Invalid, remedy, "a schedule needs 1 to %d occurrences and a positive interval", MaxTimes)
	}
	if j.Start < 0 || j.Start > MaxTime || j.Every < 0 || j.Every > MaxTime {
		return fold.Refuse(fold.Invalid, remedy, "the start or the interval of the schedule is negative or above %d ms", MaxTime)
	}
	total := 0
	for i, s := range j.Steps {
		// Each count is checked before it is added, so that the sum cannot overflow.
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Count
	}
	if total > MaxTasks {
		return fold.Refuse(fold.TooLarge, remedy, "a job has at most %d tasks, this one has %d", MaxTasks, total)
	}
	return nil
}

// check returns an error if the step with the given index in its job is invalid.
func (s Step) check(index int) error {
	if s.Count < 1 || s.Size.Negative() || s.Estimate < 0 || s.PerHost < 0 || s.MaxUnavailable < 0 || s.Target < 0 {
		return fold.Refuse(fold.Invalid, remedy, "step %d has a count below 1 or a negative field", index)
	}
	if s.Count > MaxTasks {
		return fold.Refuse(fold.TooLarge, remedy, "a job has at most %d tasks, step %d alone has %d", MaxTasks, index, s.Count)
	}
	if max(s.Size.CPU, s.Size.Memory, s.Size.Accel) > MaxAmount || s.Estimate > MaxEstimate {
		return fold.Refuse(fold.Invalid, remedy, "step %d asks for more than %d of a resource, or its estimate is above %d ms", index, MaxAmount, MaxEstimate)
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return fold.Refuse(fold.Invalid, remedy, "step %d waits for step %d, which is not an earlier one", index, predecessor)
		}
	}
	return nil
}

// TaskName identifies a task across all jobs.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the parts of the name separated by dots.
func (n TaskName) String() string {
	return n.StepName() + "." + strconv.Itoa(n.Index)
}

// StepName returns the name of the task's step.
func (n TaskName) StepName() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// ParseTaskName parses a name written by String and reports whether it is valid.
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

// SameTeam reports whether a caller of a team may read or cancel a job of a team. Callers without a key on an open queue, and jobs that they
// submitted, have the team "".
func SameTeam(job, caller string) bool {
	return job == "" || caller == "" || job == caller
}
