package core

import (
	"maps"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Times are the bounds that the platform gives for its hosts.
type Times struct {
	// Lease is the longest lease that a host grants.
	Lease time.Duration
	// Stop is how long a host takes at most to stop a run.
	Stop time.Duration
	// Restore is how long a run takes to resume from a checkpoint.
	Restore time.Duration
	// CheckpointInterval is the time between checkpoints.
	CheckpointInterval time.Duration
	// Early is how much earlier than due an occurrence may start.
	Early time.Duration
	// RenewWithoutTable is how long an owner that cannot reach the table goes on renewing leases.
	RenewWithoutTable time.Duration
}

// Cell is the state of all hosts and jobs. It is not safe for concurrent use.
type Cell struct {
	times Times
	log   hclog.Logger

	now fold.Instant
	// wall is the time of day in milliseconds since the Unix epoch.
	wall int64

	rules  fold.Rules
	queues map[string]fold.Queue
	teams  map[string]*team

	jobs map[string]*job
	// waiting counts the jobs that wait for their first start, by queue.
	waiting map[string]int
	hosts   map[string]*host
	// ranked lists the hosts by id, so that decisions do not depend on the order of a map.
	ranked []*host
	// active lists the parts whose turn has come and that are not done.
	active []*part
	// later lists the occurrences that are not due.
	later []*part

	dirty []*job
	// orders collects what the driver is to send, touched the hosts whose runs have changed since.
	orders  Orders
	touched []*host
	// planned are runs that wait for their record, recorded those whose record is being written.
	planned, recorded []*run
	// stops are the live runs that are to be stopped, barring the hosts that are told to refuse starts to an earlier life.
	stops   []*run
	barring map[string]bool
	// gauges learns how long tasks of a queue take compared with their estimates.
	gauges map[string]*gauge
	// good is the share of hosts that the adviser approved of, by queue.
	good map[string]float64
	// open lists the hosts that took new work in the last round of decisions, by service.
	open map[string][]*host
	// room adds up the open hosts of a service, wanted what is waited for by calls to the adviser that are under way, as shares
	// of its capacity.
	room   map[string]room
	wanted map[string]float64
	// found is reused for the hosts on which one part may start.
	found []*host
	// largest is at least the largest room on an open host, by service, as of the last round of decisions.
	largest map[string]fold.Resources
	// askFrom is where among the open hosts the next call to the adviser looks first.
	askFrom int
	// known are the lives of hosts that the last record of hosts names. Only there a run may be started before it is
	// recorded, because a later owner looks there before it starts anything.
	known map[string]int64
	// awaited are lives of hosts on which an earlier owner may have started runs without a record.
	awaited map[string]int64
	// hidden is the most that such runs may take; it counts against the limit of each team.
	hidden fold.Resources
	// moved says that hosts have come, gone, answered or fallen silent since they were last compared with the record.
	moved bool
	// recordedHosts says that this owner has recorded its hosts, knownAwaited how many of them are awaited ones.
	recordedHosts bool
	knownAwaited  int
	// committed is the version of the table that the last commit of this owner made.
	committed int64
	// gap is added once to the run numbers of jobs of an earlier owner, if it may have started runs that nobody found.
	gap int
	// unrecorded says that records are held up and runs start without them.
	unrecorded bool
	// explained is when the log last said why tasks wait.
	explained fold.Instant
	// stats counts what happened since the start.
	stats Stats
}

// Stats counts decisions.
type Stats struct {
	Starts, Stops, Lost, Refused, Done, Failed, Preempted, Copies int64
	// Considered counts hosts that were looked at for a task.
	Considered int64
}

// room is the free and the whole capacity of hosts.
type room struct {
	free, capacity fold.Resources
}

// spare is the free share of the processors or of the memory, whichever is scarcer.
func (r room) spare() float64 {
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
}

// New returns a cell without hosts and jobs.
func New(times Times, log hclog.Logger) *Cell {
	return &Cell{
		times:  times,
		log:    log,
		queues: make(map[string]fold.Queue),
		teams:  make(map[string]*team),
		jobs:   make(map[string]*job),
		hosts:  make(map[string]*host),
		gauges: make(map[string]*gauge),
		good:   make(map[string]float64),
		known:  make(map[string]int64),
		moved:  true,

		barring: make(map[string]bool),
		waiting: make(map[string]int),

		open:    make(map[string][]*host),
		largest: make(map[string]fold.Resources),
		room:    make(map[string]room),
		wanted:  make(map[string]float64),
	}
}

// SetTime tells the steady clock and the time of day in milliseconds since the Unix epoch.
func (c *Cell) SetTime(now fold.Instant, wall int64) {
	c.now = max(c.now, now)
	c.wall = wall
}

// Now returns the time that the cell was last told.
func (c *Cell) Now() fold.Instant {
	return c.now
}

// SetRules puts a revision of the configuration in force.
func (c *Cell) SetRules(rules fold.Rules) {
	if rules.Revision < c.rules.Revision {
		return
	}
	c.rules = rules
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

// team returns the account of a team, also of one that the rules do not name.
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

// Waiting counts, for each queue, the jobs without times of which no task has started.
func (c *Cell) Waiting() map[string]int {
	return maps.Clone(c.waiting)
}

// countWaiting notes whether a job waits for its first start.
func (c *Cell) countWaiting(j *job) {
	waits := !j.begun && !j.state.Final() && j.spec.Times == 0
	if waits == j.waits {
		return
	}
	j.waits = waits
	queue := j.spec.Queue.Name
	if waits {
		c.waiting[queue]++
		return
	}
	if c.waiting[queue]--; c.waiting[queue] == 0 {
		delete(c.waiting, queue)
	}
}

// Usage returns the committed and the whole capacity of the hosts in use.
func (c *Cell) Usage() (used, capacity fold.Resources) {
	for _, h := range c.ranked {
		if h.open(c.now) {
			used, capacity = used.Add(h.used), capacity.Add(h.info.Capacity)
		}
	}
	return used, capacity
}

// within reports whether the team may use size more, beside what may run on hosts that have yet to answer.
func (c *Cell) within(name string, size fold.Resources) bool {
	t := c.team(name)
	limit, next := t.rule.Limit, t.used.Add(size).Add(c.hidden)
	return (limit.CPU == 0 || next.CPU <= limit.CPU) &&
		(limit.Memory == 0 || next.Memory <= limit.Memory) &&
		(limit.Accel == 0 || next.Accel <= limit.Accel)
}

// RecordedState returns the recorded state of a job and its team, if the cell holds it.
func (c *Cell) RecordedState(id string) (state flow.State, team string, ok bool) {
	j, ok := c.jobs[id]
	if !ok {
		return "", "", false
	}
	return j.shown, j.spec.Team, true
}
