package model

import (
	"time"

	"plantainfold.example/fold"
)

// Class is a kind of jobs.
type Class struct {
	Name string
	// Rate is jobs a second, Lasting says that tasks run until the job is cancelled after Stay.
	Rate    float64
	Lasting bool
	Stay    time.Duration
	Queue   fold.Queue
	// Steps and Width are the mean numbers of steps and of tasks in a step.
	Steps, Width float64
	// Work is the mean run time of a task, CPU and Memory its mean size.
	Work        time.Duration
	CPU, Memory int64
	// Uneven spreads the run times within a step, Off the estimates around them, both as the deviation of the logarithm.
	Uneven, Off float64
	// Errors is the share of runs that fail by their own fault, Poison the share of jobs that always fail.
	Errors, Poison float64
	// Saves, Copies, Gangs and Apart are the shares of steps that write checkpoints, allow copies, are gangs and are
	// bounded on a host.
	Saves, Copies, Gangs, Apart float64
	// Cancel is the share of jobs that their callers cancel early.
	Cancel float64
	// Good is the share of hosts that the adviser approves of.
	Good float64
	// Worth is what a job of mean size is worth, Late what it is worth when it is late.
	Worth, Late float64
}

// Burst multiplies the rate of a class for a while.
type Burst struct {
	Class    int
	From, To time.Duration
	Factor   float64
}

// Fault is something that goes wrong.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Share is the share of hosts that are struck, Factor how strongly.
	Share, Factor float64
}

// FaultKind says what goes wrong.
type FaultKind int

// Kinds of faults.
const (
	// HostCrash takes hosts down; they start again under their ids after For.
	HostCrash FaultKind = iota
	// HostGone takes hosts down for good.
	HostGone
	// HostCut cuts hosts off; they run on.
	HostCut
	// HostSlow makes hosts Factor times slower.
	HostSlow
	// HostFails makes hosts fail all that they start.
	HostFails
	// HostHangs lets tasks on hosts stand still.
	HostHangs
	// HostLeaves drains hosts and takes them away.
	HostLeaves
	// OrdersLate leaves a share of orders unanswered and carries them out 2 to 12 s later.
	OrdersLate
	// OwnerDies ends the owner; another one takes over after For.
	OwnerDies
	// OwnerCut cuts the owner off from the table; it runs on while another one takes over.
	OwnerCut
	// TableDown lets commits take effect only once For has passed.
	TableDown
	// FaultKinds is the number of kinds.
	FaultKinds
)

// Day is what is played.
type Day struct {
	Seed   uint64
	Length time.Duration
	// Rest is the time after the last job, in which all must come to an end.
	Rest    time.Duration
	Hosts   int
	Size    fold.Resources
	Racks   int
	Classes []Class
	Teams   []fold.TeamRule
	Bursts  []Burst
	Faults  []Fault
	// Askers is the number of entries that call the adviser.
	Askers int
}

// Visits is a day like those of a planning service with urgent checks, long rebuilds and lasting watchers.
func Visits(seed uint64) Day {
	return Day{
		Seed: seed, Length: 30 * time.Second, Rest: 30 * time.Second, Hosts: 48, Racks: 6, Askers: 7,
		Size: fold.Resources{CPU: 64000, Memory: 131072},
		Classes: []Class{
			{
				Name: "check", Rate: 12.4, Steps: 1.6, Width: 6, Work: 800 * time.Millisecond, CPU: 5000, Memory: 7200,
				Uneven: 0.3, Off: 0.9, Errors: 0.05, Poison: 0.03, Copies: 0.3, Apart: 0.15, Good: 0.7, Worth: 0.718, Late: 0.144,
				Queue: fold.Queue{
					Name: "check", Priority: 0, Attempts: 2, SlackFactor: 1.5, Target: 250 * time.Millisecond,
					Advice: &fold.AdvicePolicy{CallTime: 23 * time.Millisecond, TimePerHost: 320 * time.Microsecond, Validity: 2500 * time.Millisecond},
				},
			},
			{
				Name: "rebuild", Rate: 1.51, Steps: 2, Width: 8, Work: 6 * time.Second, CPU: 11000, Memory: 16000,
				Uneven: 0.15, Off: 0.5, Errors: 0.005, Poison: 0.01, Saves: 0.8, Gangs: 0.08, Cancel: 0.05, Good: 0.35, Worth: 3.38, Late: 0.676,
				Queue: fold.Queue{
					Name: "rebuild", Priority: 2, Attempts: 2, SlackFactor: 2.2, Target: 1200 * time.Millisecond,
					Advice: &fold.AdvicePolicy{CallTime: 370 * time.Millisecond, TimePerHost: 5300 * time.Microsecond, Validity: 2500 * time.Millisecond},
				},
			},
			{
				Name: "watch", Rate: 0.134, Lasting: true, Stay: 45 * time.Second, Steps: 1, Width: 8, Work: 400 * time.Millisecond,
				CPU: 13000, Memory: 14000, Uneven: 0.15, Errors: 0.1, Apart: 0.7, Good: 0.35, Worth: 1.62, Late: 0.324,
				Queue: fold.Queue{
					Name: "watch", Priority: 1, Attempts: 3, SlackFactor: 2.2, Target: 2500 * time.Millisecond, Anonymous: true,
					Advice: &fold.AdvicePolicy{CallTime: 450 * time.Millisecond, TimePerHost: 6500 * time.Microsecond, Validity: 2500 * time.Millisecond},
				},
			},
		},
		Teams: []fold.TeamRule{
			{Name: "north", Weight: 6, Limit: fold.Resources{CPU: 1900000, Memory: 4000000}},
			{Name: "centre", Weight: 5, Limit: fold.Resources{CPU: 1600000, Memory: 3400000}},
			{Name: "south", Weight: 4, Limit: fold.Resources{CPU: 1200000, Memory: 2600000}},
		},
	}
}
