package core

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// Times are the time limits of the platform's hosts and of the owner.
type Times struct {
	// Lease is the longest lease that a host grants.
	Lease time.Duration
	// Stop is the maximum time that a host takes to stop a run.
	Stop time.Duration
	// Restore is the time that a run takes to resume from a checkpoint.
	Restore time.Duration
	// CheckpointInterval is the time between checkpoints.
	CheckpointInterval time.Duration
	// Early is how long before its due time an occurrence may start.
	Early time.Duration
	// RenewWithoutTable is how long an owner that cannot reach the table continues to renew leases.
	RenewWithoutTable time.Duration
}

// Cell is the state of all hosts and jobs of one pool. It is not safe for concurrent use.
type Cell struct {
	times   Times
	log     hclog.Logger
	options Options

	// now is the current time of the steady clock. startedAt is the first time that was set; no earlier owner has
	// committed after it.
	now, startedAt fold.Instant
	// foreignLeases bounds the leases of earlier owners, counted from startedAt.
	foreignLeases lease.Bounds
	// wall is the time of day in milliseconds since the Unix epoch.
	wall int64

	rules  fold.Rules
	queues map[string]fold.Queue
	teams  map[string]*team

	jobs map[string]*job
	// waiting counts, by queue, the jobs whose first run has not been planned.
	waiting map[string]int
	hosts   map[string]*host
	// hostsByID lists the hosts in the order of their ids, so that decisions do not depend on the order of a map.
	hostsByID []*host
	// active lists the unfinished parts whose predecessors are done and that are due.
	active []*part
	// scheduledJobs lists the jobs with occurrences that were not activated yet.
	scheduledJobs []*job
	// scheduled lists the parts of built occurrences that are not due, because the time of day went back.
	scheduled []*part

	// dirty lists the jobs whose record has changed since the last snapshot.
	dirty []*job
	// orders collects the orders that the driver will send.
	orders Orders
	// changedHosts lists the hosts whose runs have changed since the last call of Orders.
	changedHosts []*host
	// planned lists runs that wait for the next snapshot. recording lists runs whose record is being written.
	planned, recording []*run
	// pendingStops lists live runs with an order to stop.
	pendingStops []*run
	// hostsWithForbiddenStarts holds the ids of hosts that must be told to refuse starts sent to an earlier incarnation.
	hostsWithForbiddenStarts map[string]bool
	// runTimeFactors holds the ratio of actual to estimated run times, by queue.
	runTimeFactors map[string]*runTimeFactor
	// approvalRates holds the share of hosts that the adviser approves, by queue.
	approvalRates map[string]float64
	// open lists the hosts that accepted new work in the last round of decisions, by service.
	open map[string][]*host
	// openCapacity is the total capacity of the open hosts, by service.
	openCapacity map[string]openCapacity
	// callsInFlight lists the calls to the adviser for whose answers parts wait.
	callsInFlight []AdviceCall
	// lastCall is the number of the last call to the adviser.
	lastCall uint64
	// requestedShare is the capacity that calls to the adviser in flight ask for, by service, as a share of the whole.
	requestedShare map[string]float64
	// candidateBuffer is reused for the result of candidates.
	candidateBuffer []*host
	// maxFree is an upper bound of the free resources of each open host, by service, as of the last round of decisions. It is
	// the maximum of each dimension, so possibly of different hosts.
	maxFree map[string]fold.Resources
	// nextCallStart is the position among the open hosts at which the search for the next call to the adviser starts.
	nextCallStart int
	// recordedIncarnations holds the hosts named by the last record of hosts. Only these may get a run before it is
	// recorded, because a later owner queries them before it starts anything.
	recordedIncarnations map[string]int64
	// awaited holds the ids of hosts on which an earlier owner may have started runs without a record.
	awaited map[string]bool
	// awaitedUse is an upper bound of the resources that such runs use. It counts against the limit of each team.
	awaitedUse fold.Resources
	// hostsChanged reports whether hosts were added, were removed, answered or became silent since the last comparison with
	// the record of hosts.
	hostsChanged bool
	// hostsRecorded reports whether this owner has recorded its hosts.
	hostsRecorded bool
	// recordedAwaited is the number of awaited hosts in that record.
	recordedAwaited int
	// lastCommit is the version of the table after the last commit of this owner.
	lastCommit int64
	// runNumberGap is added once to the run numbers of an earlier owner's jobs if that owner may have started runs that
	// were not found. It is 0 otherwise.
	runNumberGap int
	// allowUnrecorded reports whether runs start before they are recorded because the table accepts no records.
	allowUnrecorded bool
	// lastExplained is the time at which the log last listed the reasons for waiting tasks.
	lastExplained fold.Instant
	// speedsLoggedAt is when the speeds of hosts were last logged.
	speedsLoggedAt fold.Instant
	// lastPastUseLog is the time of the last log about past use.
	lastPastUseLog fold.Instant
	stats          Stats
}

// Stats counts events since the cell was created.
type Stats struct {
	// Lost counts runs that ended without a result. Refused counts failed starts, Copies speculative copies.
	Starts, Stops, Lost, Refused, Done, Failed, Preempted, Copies int64
	// Considered counts the hosts examined to place tasks.
	Considered int64
	// Compared counts the runs that were compared with others of their step to learn the speeds of hosts.
	Compared int64
}

// openCapacity is the free and the total capacity of the open hosts of a service.
type openCapacity struct {
	free, capacity fold.Resources
}

// freeShare returns the free share of the processors or of the memory, whichever is lower.
func (r openCapacity) freeShare() float64 {
	if r.capacity.CPU <= 0 || r.capacity.Memory <= 0 {
		return 0
	}
	return min(float64(r.free.CPU)/float64(r.capacity.CPU), float64(r.free.Memory)/float64(r.capacity.Memory))
}

// team is a client account's use of the hosts.
type team struct {
	rule fold.TeamRule
	used fold.Resources
	rate rate
	use  use
}

// New returns a cell without hosts and jobs.
func New(times Times, log hclog.Logger) *Cell {
	return &Cell{
		times:                times,
		foreignLeases:        lease.Bounds{Others: times.RenewWithoutTable + lease.MaxDuration(times.Lease)},
		log:                  log,
		queues:               make(map[string]fold.Queue),
		teams:                make(map[string]*team),
		jobs:                 make(map[string]*job),
		hosts:                make(map[string]*host),
		runTimeFactors:       make(map[string]*runTimeFactor),
		approvalRates:        make(map[string]float64),
		recordedIncarnations: make(map[string]int64),
		hostsChanged:         true,

		hostsWithForbiddenStarts: make(map[string]bool),
		waiting:                  make(map[string]int),

		open:           make(map[string][]*host),
		maxFree:        make(map[string]fold.Resources),
		openCapacity:   make(map[string]openCapacity),
		requestedShare: make(map[string]float64),
	}
}

// SetTime sets the steady clock and the time of day, which is in milliseconds since the Unix epoch.
func (c *Cell) SetTime(now fold.Instant, wall int64) {
	c.now = max(c.now, now)
	c.wall = wall
	if c.startedAt == 0 {
		c.startedAt = c.now
	}
}

// Now returns the latest time passed to SetTime.
func (c *Cell) Now() fold.Instant {
	return c.now
}

// SetRules applies a revision of the configuration. Older revisions are ignored.
func (c *Cell) SetRules(rules fold.Rules) {
	if rules.Revision < c.rules.Revision {
		return
	}
	evacuationChanged := !slices.Equal(rules.Evacuated, c.rules.Evacuated)
	c.rules = rules
	if evacuationChanged {
		c.setEvacuated()
	}
	clear(c.queues)
	for _, q := range rules.Queues {
		c.queues[q.Name] = q
	}
	for _, t := range c.teams {
		t.rule.Limit = fold.Resources{}
	}
	for _, rule := range rules.Teams {
		c.team(rule.Name).rule = rule
	}
	for _, j := range c.jobs {
		if q, ok := c.queues[j.spec.Queue.Name]; ok {
			j.queue = q
		}
	}
}

// team returns the use of a team and creates it for a name that the rules do not contain.
func (c *Cell) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{rule: fold.TeamRule{Name: name}}
		c.teams[name] = t
	}
	return t
}

// Stats returns the counts since the start.
func (c *Cell) Stats() Stats {
	return c.stats
}

// Idle reports whether the cell has no job that has not ended.
func (c *Cell) Idle() bool {
	for _, j := range c.jobs {
		if !j.state.Final() {
			return false
		}
	}
	return true
}

// Waiting returns, by queue, the number of unscheduled jobs of which no task has started.
func (c *Cell) Waiting() map[string]int {
	return maps.Clone(c.waiting)
}

// confirmBegin records that a host has confirmed a run of the job.
func (c *Cell) confirmBegin(j *job) {
	if !j.begun {
		j.begun = true
		c.countWaitingJob(j)
	}
}

// countWaitingJob updates the count of waiting jobs of the job's queue.
func (c *Cell) countWaitingJob(j *job) {
	waits := !j.begun && !j.state.Final() && j.spec.Times == 0
	if waits == j.countedWaiting {
		return
	}
	j.countedWaiting = waits
	queue := j.spec.Queue.Name
	if waits {
		c.waiting[queue]++
		return
	}
	if c.waiting[queue]--; c.waiting[queue] == 0 {
		delete(c.waiting, queue)
	}
}

// Usage returns the used and the total capacity of the hosts that accept new work.
func (c *Cell) Usage() (used, capacity fold.Resources) {
	for _, h := range c.hostsByID {
		if h.acceptsWork(c.now) {
			used, capacity = used.Add(h.used), capacity.Add(h.info.Capacity)
		}
	}
	return used, capacity
}

// withinLimit reports whether the team may use the additional resources under its limit, given the possible use on awaited
// hosts.
func (c *Cell) withinLimit(name string, size fold.Resources) bool {
	t := c.team(name)
	limit, next := t.rule.Limit, t.used.Add(size).Add(c.awaitedUse)
	return (limit.CPU == 0 || next.CPU <= limit.CPU) &&
		(limit.Memory == 0 || next.Memory <= limit.Memory) &&
		(limit.Accel == 0 || next.Accel <= limit.Accel)
}

// RecordedState returns the recorded state of a job and its team if the cell holds the job.
func (c *Cell) RecordedState(id string) (state flow.State, team string, ok bool) {
	j, ok := c.jobs[id]
	if !ok {
		return "", "", false
	}
	return j.recordedState, j.spec.Team, true
}
