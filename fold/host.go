package fold

import (
	"context"
	"time"
)

// Host is one incarnation of a worker that runs the tasks of steps, as the platform's roster describes it.
type Host struct {
	ID      string
	Address string
	// Incarnation identifies the incarnation by its start time in milliseconds since the Unix epoch. A worker may restart
	// under the same ID.
	Incarnation int64
	Service     string
	Domain      string
	// Labels holds the worker's kind followed by its rack.
	Labels   []string
	Capacity Resources
	// Draining is true if the worker is leaving and accepts no new work.
	Draining bool
	// Remaining is the minimum time until a draining worker leaves. It is 0 if that time is not known.
	Remaining time.Duration
	// Machine is the name of the machine that the worker runs on. It is "" if the platform does not name it.
	Machine string
}

// Rack returns the rack of the host, or "" if the host has no rack label.
func (h Host) Rack() string {
	if len(h.Labels) < 2 {
		return ""
	}
	return h.Labels[len(h.Labels)-1]
}

// HasLabel reports whether the host has the label.
func (h Host) HasLabel(label string) bool {
	for _, l := range h.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// HoldRequest renews the leases on a host and asks for its runs and the runs that ended.
type HoldRequest struct {
	// Fence is the fencing token of the owner. The host rejects a token that is older than one it has seen.
	Fence int64
	// LeaseEnd is the new end of the lease of all runs on the host, in milliseconds of the host's clock. With 0 no lease is
	// renewed.
	LeaseEnd int64
	// Acked is the highest HostEnd.Number that the owner has stored durably.
	Acked int64
	// Wait is the maximum time that the host waits for a run to end before it answers.
	Wait time.Duration
}

// HostRun is the state of a run as reported by its host.
type HostRun struct {
	Task string
	Run  int
	// Checkpoint is the last checkpoint, or "".
	Checkpoint string `json:"Saved"`
	// Percent has two meanings: for a task that ends by itself, its progress; for a long-running task, the share of its full
	// speed.
	Percent int
	// Load has two meanings: for a task that serves requests, its tail latency in milliseconds; for other tasks, the
	// processor use in thousandths of a core.
	Load int64
}

// EndKind is the way in which a run ended.
type EndKind string

// Ways in which a run ends.
const (
	// EndDone means that the task completed.
	EndDone EndKind = "done"
	// EndFailed means that the task failed.
	EndFailed EndKind = "failed"
	// EndStopped means that the run was ordered to stop.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease of the host expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended early.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
)

// HostEnd reports that a run ended. The host repeats it until it is acknowledged.
type HostEnd struct {
	// Number counts the ends of one incarnation of the host from 1.
	Number int64
	Task   string
	Run    int
	Kind   EndKind `json:"How"`
	// Checkpoint is the last checkpoint, or "".
	Checkpoint string `json:"Saved"`
}

// HoldReply is a host's answer to a HoldRequest.
type HoldReply struct {
	// Clock is the host's monotonic clock in milliseconds at the time of the answer.
	Clock int64
	// Incarnation is the incarnation of the host that answered.
	Incarnation int64 `json:"Born"`
	// Runs lists all runs that have not ended.
	Runs []HostRun
	// Ends lists the unacknowledged ends with the lowest numbers.
	Ends []HostEnd
	// MoreEnds is true if there may be unacknowledged ends that Ends does not list.
	MoreEnds bool `json:"MoreEnds,omitempty"`
}

// StartRequest starts a run of a task.
type StartRequest struct {
	Task string
	Run  int
	Spec string
	// LeaseEnd is the end of the run's lease in milliseconds of the host's clock.
	LeaseEnd int64
	// Fence is the fencing token of the owner.
	Fence int64
	// Checkpoint is the checkpoint from which the run resumes, or "".
	Checkpoint string
	// Ticket is the adviser's approval, or "" if the queue needs none.
	Ticket string
}

// Error kinds of orders that a host rejected without acting on them.
var (
	// HostFenced means that the host has seen a newer owner.
	HostFenced = Errors.NewType("host fenced", NotRun)
	// RunStale means that this run or a later run of the task has already been stopped or has ended on the host.
	RunStale = Errors.NewType("run is old", NotRun)
	// OrderLate means that the order arrived after the end of its lease.
	OrderLate = Errors.NewType("order is late", NotRun)
	// HostFull means that the host lacks the capacity for the run.
	HostFull = Errors.NewType("host full", NotRun)
	// HostUnhealthy means that the host is unhealthy.
	HostUnhealthy = Errors.NewType("host unhealthy", NotRun, Retryable)
	// HostRestarted means that another incarnation of the worker answered at the address.
	HostRestarted = Errors.NewType("host reborn", NotRun)
	// BadTicket means that the host rejected the adviser's ticket as invalid or expired.
	BadTicket = Errors.NewType("ticket refused", NotRun)
)

// Runner sends orders to hosts. An order reaches only the incarnation that the Host names: another one that has taken its place is
// sent nothing, and the error is HostRestarted. After an error without the NotRun trait the order may have been carried out.
type Runner interface {
	// Hold renews the leases on a host and returns its runs and ends. Leases are renewed and ends acknowledged only in the
	// incarnation that h names, but any incarnation returns its runs and ends.
	Hold(ctx context.Context, h Host, r HoldRequest) (HoldReply, error)
	// Start starts a run of a task.
	Start(ctx context.Context, h Host, r StartRequest) error
	// Stop stops a run. A run that has not started yet is rejected when its start arrives.
	Stop(ctx context.Context, h Host, task string, run int, fence int64) error
	// Pace limits the speed of a run to a percentage of its full speed.
	Pace(ctx context.Context, h Host, task string, run, percent int, fence int64) error
	// Disconnect closes the connections to hosts that no call uses. Hosts accept a limited number of connections.
	Disconnect()
}

// HostDialer opens connections to hosts.
type HostDialer interface {
	// Dial opens a connection to the host at h.Address. The host need not run in the incarnation that h names. After an error
	// nothing was sent.
	Dial(ctx context.Context, h Host) (HostConn, error)
}

// HostConn is a connection to a host. It ends with the incarnation of the host that accepted it, so all answers on it are of the same
// incarnation, and no later one receives what is sent on it. Calls must not be concurrent. After an error without the NotRun
// trait the order may have been carried out.
type HostConn interface {
	// Hold renews the leases on the host and returns its runs and ends.
	Hold(ctx context.Context, r HoldRequest) (HoldReply, error)
	// Start starts a run of a task.
	Start(ctx context.Context, r StartRequest) error
	// Stop stops a run. A run that has not started yet is rejected when its start arrives.
	Stop(ctx context.Context, task string, run int, fence int64) error
	// Pace limits the speed of a run to a percentage of its full speed.
	Pace(ctx context.Context, task string, run, percent int, fence int64) error
	// Usable reports whether further calls can be sent. A call whose context has ended makes the connection unusable.
	Usable() bool
	// Close closes the connection.
	Close() error
}

// ConnStats describes the connections of an instance to hosts.
type ConnStats struct {
	// Open is the number of open connections to all hosts, and Most the highest number to one host.
	Open, Most int
	// Refused is the number of connections that hosts have turned away since the start of the process, and Failed the number
	// that could not be opened for other reasons, such as no answer in time.
	Refused, Failed int64
}

// Approval is the adviser's approval to run a step on a host.
type Approval struct {
	Host   string `json:"host"`
	Ticket string `json:"ticket"`
}

// Advice is the adviser's answer to one call.
type Advice struct {
	Approvals []Approval `json:"grants"`
	// Validity is how long the tickets are valid. If it is 0, AdvicePolicy.Validity applies.
	Validity time.Duration `json:"valid"`
}

// Adviser approves the placement of steps on hosts.
type Adviser interface {
	// Advise returns which of the hosts may run the step. A call may name at most 100 hosts. An Overload error means that
	// too many calls are waiting at the adviser.
	Advise(ctx context.Context, step string, hosts []string) (Advice, error)
}

// Roster is the list of hosts that the platform keeps.
type Roster interface {
	// Hosts returns all hosts and the version to pass to the first call of Changes.
	Hosts(ctx context.Context) ([]Host, int64, error)
	// Changes waits up to wait for changes after the version. It returns them and the version to pass to the next call. An
	// Outdated error means that the history no longer reaches back to the version and Hosts must be called again.
	Changes(ctx context.Context, after int64, wait time.Duration) (RosterChanges, int64, error)
}

// RosterChanges holds the changes of a Roster.
type RosterChanges struct {
	// Hosts are the hosts that were added or changed.
	Hosts []Host
	// Gone are the IDs of the hosts that were removed or whose rows cannot be decoded.
	Gone []string
}
