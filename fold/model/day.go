package model

import (
	"time"

	"plantainfold.example/fold"
)

// Class describes a kind of job and how often such jobs arrive.
type Class struct {
	Name string
	// Rate is the number of jobs that arrive per second.
	Rate float64
	// LongRunning is set for long-running jobs, whose tasks run until the job is cancelled.
	LongRunning bool
	// CancelAfter is the mean time after which a long-running job is cancelled.
	CancelAfter time.Duration
	Queue       fold.Queue
	// Steps is the mean number of steps of a job, and Width is the mean number of tasks of a step.
	Steps, Width float64
	// MaxWidth is the maximum number of tasks of a step, and WidthDeviation is the standard deviation of the logarithm of this
	// number. If MaxWidth is 0, both have default values.
	MaxWidth       int
	WidthDeviation float64
	// RunTime is the mean run time of a task.
	RunTime time.Duration
	// CPU and Memory are the mean size of a task.
	CPU, Memory int64
	// RunTimeDeviation is the deviation of the run times within a step, and EstimateDeviation is the deviation of the
	// estimates from the mean run time. Both are standard deviations of the logarithm.
	RunTimeDeviation, EstimateDeviation float64
	// FailedRunShare is the share of runs that fail because of the task itself, and FailingJobShare is the share of jobs
	// that always fail.
	FailedRunShare, FailingJobShare float64
	// CheckpointShare, CopyShare, GangShare and PerHostShare are the shares of steps that write checkpoints, allow
	// speculative copies, are gangs, and limit their tasks per host.
	CheckpointShare, CopyShare, GangShare, PerHostShare float64
	// CancelShare is the share of jobs that their callers cancel early.
	CancelShare float64
	// ApprovedShare is the share of hosts that the adviser approves.
	ApprovedShare float64
	// Value is the value of a job of mean size that ends in time, and LateValue is its value when it ends late.
	Value, LateValue float64
}

// Burst multiplies the rate of a class for a while.
type Burst struct {
	Class    int
	From, To time.Duration
	Factor   float64
}

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Share is the share of hosts that the fault affects, and Factor is its strength, whose meaning depends on Kind.
	Share, Factor float64
}

// FaultKind is the kind of a fault.
type FaultKind int

// Kinds of faults.
const (
	// HostCrash crashes hosts; they restart with the same ids after Duration.
	HostCrash FaultKind = iota
	// HostLost crashes hosts that never restart.
	HostLost
	// HostDisconnected disconnects hosts from the network; their tasks continue to run.
	HostDisconnected
	// HostSlow makes hosts Factor times slower.
	HostSlow
	// HostFails makes every task fail that is started on the hosts, except long-running ones.
	HostFails
	// HostHangs stops the progress of tasks on hosts.
	HostHangs
	// HostLeaves drains hosts and removes them after Duration.
	HostLeaves
	// OrdersLate executes a share (Factor) of the orders 2 to 12 s late and does not answer them.
	OrdersLate
	// OwnerDies stops the owner; another one takes over after Duration.
	OwnerDies
	// OwnerDisconnected disconnects the owner from the table; it continues to run while another one takes over.
	OwnerDisconnected
	// TableDown makes the table unavailable for commits until Duration has passed.
	TableDown
	// FaultKinds is the number of kinds.
	FaultKinds
)

// Day describes a simulation.
type Day struct {
	Seed   uint64
	Length time.Duration
	// SettleTime is the time after the last job within which all jobs must end.
	SettleTime time.Duration
	Hosts      int
	Size       fold.Resources
	Racks      int
	Classes    []Class
	Teams      []fold.TeamRule
	Bursts     []Burst
	Faults     []Fault
	// Entries is the number of entries that can own the pool. If it is 0, there is one owner that is replaced after faults of
	// its own.
	Entries int
	// Partitions are faults of the entries; Entries must not be 0.
	Partitions []Partition
	// AdviceCallers is the number of entries that call the adviser, which limits concurrent calls.
	AdviceCallers int
}

// PlanningDay returns a day of a planning service with urgent checks, long rebuilds and long-running watchers.
func PlanningDay(seed uint64) Day {
	return Day{
		Seed: seed, Length: 30 * time.Second, SettleTime: 30 * time.Second, Hosts: 48, Racks: 6, AdviceCallers: 7,
		Size: fold.Resources{CPU: 64000, Memory: 131072},
		Classes: []Class{
			{
				Name: "check", Rate: 12.4, Steps: 1.6, Width: 6, RunTime: 800 * time.Millisecond, CPU: 5000, Memory: 7200,
				RunTimeDeviation: 0.3, EstimateDeviation: 0.9, FailedRunShare: 0.05, FailingJobShare: 0.03, CopyShare: 0.3, PerHostShare: 0.15, ApprovedShare: 0.7, Value: 0.718, LateValue: 0.144,
				Queue: fold.Queue{
					Name: "check", Priority: 0, Attempts: 2, SlackFactor: 1.5, Target: 250 * time.Millisecond,
					Advice: &fold.AdvicePolicy{CallTime: 23 * time.Millisecond, TimePerHost: 320 * time.Microsecond, Validity: 2500 * time.Millisecond},
				},
			},
			{
				Name: "rebuild", Rate: 1.51, Steps: 2, Width: 8, RunTime: 6 * time.Second, CPU: 11000, Memory: 16000,
				RunTimeDeviation: 0.15, EstimateDeviation: 0.5, FailedRunShare: 0.005, FailingJobShare: 0.01, CheckpointShare: 0.8, GangShare: 0.08, CancelShare: 0.05, ApprovedShare: 0.35, Value: 3.38, LateValue: 0.676,
				Queue: fold.Queue{
					Name: "rebuild", Priority: 2, Attempts: 2, SlackFactor: 2.2, Target: 1200 * time.Millisecond,
					Advice: &fold.AdvicePolicy{CallTime: 370 * time.Millisecond, TimePerHost: 5300 * time.Microsecond, Validity: 2500 * time.Millisecond},
				},
			},
			{
				Name: "watch", Rate: 0.134, LongRunning: true, CancelAfter: 45 * time.Second, Steps: 1, Width: 8, RunTime: 400 * time.Millisecond,
				CPU: 13000, Memory: 14000, RunTimeDeviation: 0.15, FailedRunShare: 0.1, PerHostShare: 0.7, ApprovedShare: 0.35, Value: 1.62, LateValue: 0.324,
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

// planningHosts is the number of hosts for which the limits of the teams of PlanningDay are meant.
const planningHosts = 48

// ScaleLimits raises the limits of the teams of PlanningDay for a larger pool, so that the room and not the limits decides
// what runs.
func (d *Day) ScaleLimits(hosts int) {
	factor := max(1, float64(hosts)/planningHosts)
	for i := range d.Teams {
		limit := &d.Teams[i].Limit
		limit.CPU, limit.Memory = int64(factor*float64(limit.CPU)), int64(factor*float64(limit.Memory))
	}
}

// largePoolHosts is the number of hosts for which the rates of LargePoolDay are meant.
const largePoolHosts = 350

// LargePoolDay returns a day with the classes of PlanningDay as they are on a pool of hundreds of hosts: wider steps of larger
// tasks, slower advice, and long-running jobs that are not cancelled soon. The rates are those for the given number of hosts.
func LargePoolDay(seed uint64, hosts int) Day {
	d := PlanningDay(seed)
	d.Hosts, d.Racks = hosts, max(1, hosts/8)
	d.ScaleLimits(hosts)
	share := float64(hosts) / largePoolHosts
	check, rebuild, watch := &d.Classes[0], &d.Classes[1], &d.Classes[2]
	check.Rate, check.Width, check.MaxWidth, check.WidthDeviation, check.CPU, check.Memory = 32*share, 9.5, 57, 0.8, 8900, 13000
	rebuild.Rate, rebuild.Width, rebuild.MaxWidth, rebuild.WidthDeviation, rebuild.CPU, rebuild.Memory = 4.1*share, 14, 68, 0.6, 18000, 26000
	watch.Rate, watch.Width, watch.MaxWidth, watch.WidthDeviation, watch.CPU, watch.Memory = share, 20, 120, 0.8, 18000, 18000
	watch.CancelAfter = 30 * time.Second
	check.Queue.Advice.CallTime, check.Queue.Advice.TimePerHost = 25*time.Millisecond, 360*time.Microsecond
	rebuild.Queue.Advice.CallTime, rebuild.Queue.Advice.TimePerHost = 390*time.Millisecond, 5600*time.Microsecond
	for i := range d.Teams {
		// Teams that use half of their limit may have to wait.
		d.Teams[i].Limit = d.Teams[i].Limit.Times(2)
	}
	return d
}
