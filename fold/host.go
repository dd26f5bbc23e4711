package fold

import (
	"context"
	"time"
)

// Host is what the platform says of one life of a worker that runs tasks of steps.
type Host struct {
	ID      string
	Address string
	// Incarnation is the start of this life, in milliseconds since the Unix epoch; a worker may start again under its id.
	Incarnation int64
	Service     string
	Domain      string
	// Labels are the worker's kind and its rack, in this order.
	Labels   []string
	Capacity Resources
	// Draining says that the worker leaves and takes no new work.
	Draining bool
	// Remaining is the least time that a draining worker is left; 0 when it is not known.
	Remaining time.Duration
	// Machine names the machine that the worker is a life of, or is "".
	Machine string
}

// Rack returns the rack of the host, or "".
func (h Host) Rack() string {
	if len(h.Labels) < 2 {
		return ""
	}
	return h.Labels[len(h.Labels)-1]
}

// HasLabel reports whether the host carries the label.
func (h Host) HasLabel(label string) bool {
	for _, l := range h.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// HoldRequest renews the leases on a host and reads its runs.
type HoldRequest struct {
	Fence int64
	// LeaseEnd is the lease of everything that runs there, in milliseconds of the host's clock; 0 renews nothing.
	LeaseEnd int64
	// Acked is the highest number of an end that is recorded durably.
	Acked int64
	// Wait is how long the host may wait for an end before it answers.
	Wait time.Duration
}

// HostRun is a run as its host reports it.
type HostRun struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of a task that ends, and the share of full work of one that lasts.
	Percent int
	// Load is the tail latency in milliseconds of a task that serves, and the processor use in thousandths of a core of
	// any other.
	Load int64
}

// EndKind says how a run ended.
type EndKind string

// Ends of runs.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed"
	EndGangBroken     EndKind = "broken"
	EndGangIncomplete EndKind = "alone"
)

// HostEnd is the end of a run that is not acknowledged yet; Number counts the ends of one life of the host from 1.
type HostEnd struct {
	Number     int64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// HoldReply is a host's report.
type HoldReply struct {
	// Clock is the host's steady clock in milliseconds when it answered.
	Clock       int64
	Incarnation int64
	Runs        []HostRun
	Ends        []HostEnd
}

// StartRequest starts a run of a task.
type StartRequest struct {
	Task       string
	Run        int
	Spec       string
	LeaseEnd   int64
	Fence      int64
	Checkpoint string
	// Ticket is the adviser's approval, or "".
	Ticket string
}

// Reasons for which a host refuses a run without having done anything.
var (
	// HostFenced means that a newer owner has spoken to the host.
	HostFenced = Errors.NewType("host fenced", NotRun)
	// RunStale means that this run or a later one was stopped or has ended there.
	RunStale = Errors.NewType("run is old", NotRun)
	// OrderLate means that the lease of the order had passed.
	OrderLate = Errors.NewType("order is late", NotRun)
	// HostFull means that the run does not fit.
	HostFull = Errors.NewType("host full", NotRun)
	// HostUnhealthy means that the host is unhealthy.
	HostUnhealthy = Errors.NewType("host unhealthy", NotRun, Retryable)
	// HostRestarted means that another life of the worker answers at the address.
	HostRestarted = Errors.NewType("host reborn", NotRun)
	// BadTicket means that the approval of the adviser does not hold or no longer holds.
	BadTicket = Errors.NewType("ticket refused", NotRun)
)

// Runner gives orders to hosts; an error without the NotRun trait leaves the outcome unknown.
type Runner interface {
	Hold(ctx context.Context, h Host, r HoldRequest) (HoldReply, error)
	Start(ctx context.Context, h Host, r StartRequest) error
	Stop(ctx context.Context, h Host, task string, run int, fence int64) error
	// Pace lets a run work at a share of its speed, in percent.
	Pace(ctx context.Context, h Host, task string, run, percent int, fence int64) error
}

// Approval is the adviser's approval of a host for a step.
type Approval struct {
	Host   string `json:"host"`
	Ticket string `json:"ticket"`
}

// Advice is the adviser's answer.
type Advice struct {
	Approvals []Approval `json:"grants"`
	// Validity is how long the tickets hold, or 0 where the queue's policy says it.
	Validity time.Duration `json:"valid"`
}

// Adviser says which hosts may run a step.
type Adviser interface {
	// Advise asks about at most 100 hosts. It returns an Overload error when too many calls are waiting.
	Advise(ctx context.Context, step string, hosts []string) (Advice, error)
}

// Roster lists the hosts that the platform knows.
type Roster interface {
	// Hosts returns all hosts, and the version from which changes follow.
	Hosts(ctx context.Context) ([]Host, int64, error)
	// Changes waits up to wait for changes after the version and returns them with the version to go on from; an Outdated
	// error means that the history is gone and all hosts must be read.
	Changes(ctx context.Context, after int64, wait time.Duration) (RosterChanges, int64, error)
}

// RosterChanges are hosts that have come or changed, and the ids of those that have left or whose entries cannot be read.
type RosterChanges struct {
	Hosts []Host
	Gone  []string
}
