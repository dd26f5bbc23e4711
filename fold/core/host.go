package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// host is what the owner knows of a host that runs tasks. It is kept when the host restarts: info describes the current
// incarnation, and runs holds the runs that may exist there.
type host struct {
	info fold.Host
	// listed reports whether the last roster contained the host. described reports whether it described this incarnation, which
	// may have another capacity than the one before.
	listed, described bool
	// unlistedSince is when the host's current absence from the roster began.
	unlistedSince fold.Instant
	// seenAt is when the current incarnation was last known to be the newest one: the sending of the last request that it has
	// answered, or the change of the roster that named it. It is 0 before that.
	seenAt fold.Instant
	// rosterIncarnation is the incarnation in the last roster.
	rosterIncarnation int64
	// endedIncarnations lists earlier incarnations, at most maxEndedIncarnations.
	endedIncarnations []int64
	// enforcesFence reports whether this incarnation has answered a request that carries this owner's fence. From then on,
	// the host refuses orders of earlier owners.
	enforcesFence bool
	// compared reports whether a complete report of this incarnation was compared with the runs that may exist there.
	compared bool
	// moreEnds reports whether the last report left out ends. A run that it does not list may then have ended.
	moreEnds bool
	runs     map[runKey]*run
	// runList holds the runs in the order in which they were planned.
	runList []*run
	// used is the capacity that live runs claim, including planned ones.
	used fold.Resources
	// fillCPU is the processor time that live fill tasks declare. Fill tasks get only the processor time that others
	// leave.
	fillCPU int64
	// serving counts live runs with a latency target. filling counts live runs of fill tasks.
	serving, filling int
	// lastUnknownRun is when the host last reported a run that this owner does not know.
	lastUnknownRun fold.Instant

	// unconfirmedStarts lists start orders that the host has not answered and may still carry out.
	unconfirmedStarts []unconfirmedStart
	// forbiddenStarts lists unconfirmed starts of earlier incarnations. The host is told to refuse them before it gets
	// work.
	forbiddenStarts []unconfirmedStart

	// foreignLeaseEnd is the time by which all leases of earlier owners have expired. ownLeaseEnd is the time by which
	// those of this owner have expired.
	foreignLeaseEnd, ownLeaseEnd fold.Instant
	// sentMaxWait is the limit, as last sent to the host, on its wait before it reports.
	sentMaxWait time.Duration
	// runsChanged reports whether runs of the host were added or removed since the last call of Orders.
	runsChanged bool
	// evacuated reports whether the operator has evacuated the failure domain of the host. Runs that are there go on.
	evacuated bool
	// silentSince is when the host stopped answering, or 0 if it answers.
	silentSince fold.Instant

	// lastEnd is the number of the last reported end of a run that was applied. lastAck is the highest number that may be
	// acknowledged to the host. nextAck becomes lastAck when the records now being written are durable.
	lastEnd, nextAck, lastAck int64

	// speed is the speed of this incarnation.
	speed hostSpeed
	// endsDelayedUntil is when the host last reported ends that it had held back, because it was silent or had too many.
	endsDelayedUntil fold.Instant

	// starts limits the unconfirmed starts, and unconfirmed counts them.
	starts      startWindow
	unconfirmed int
	health      health
}

// runKey identifies a run on a host.
type runKey struct {
	task string
	run  int
}

func (r *run) key() runKey {
	return runKey{task: r.id, run: r.number}
}

// unconfirmedStart is a start order that the host has not answered.
type unconfirmedStart struct {
	key runKey
	// failedAt is when the call failed. stopSentAt is when a stop was last sent, which makes the host refuse the run.
	failedAt, stopSentAt fold.Instant
}

// maxOrderDelay is how long an unanswered order may still be carried out after its call failed.
const maxOrderDelay = 13 * time.Second

// host returns the host with the id. If the id is unknown, it adds a host that is not listed.
func (c *Cell) host(id string) *host {
	h, ok := c.hosts[id]
	if !ok {
		h = &host{info: fold.Host{ID: id}, sentMaxWait: idleWait, runs: make(map[runKey]*run), foreignLeaseEnd: c.startedAt.Add(c.foreignLeases.For(id)), unlistedSince: c.now}
		c.hosts[id] = h
		at, _ := slices.BinarySearchFunc(c.hostsByID, id, func(o *host, id string) int { return cmp.Compare(o.info.ID, id) })
		c.hostsByID = slices.Insert(c.hostsByID, at, h)
	}
	return h
}

// foreignLeaseEnd returns the time by which all leases of earlier owners have expired on a host that does not enforce the
// fence of this owner. An earlier owner that did not hand over may renew leases for RenewWithoutTable after its last commit.
func (c *Cell) foreignLeaseEnd() fold.Instant {
	return c.startedAt.Add(c.foreignLeases.Others)
}

// SetForeignLeases sets bounds of the leases of earlier owners, which the previous one knew when it handed over. They are counted from the
// first time that was set. It must be called before any host is known.
func (c *Cell) SetForeignLeases(bounds lease.Bounds) {
	c.foreignLeases = bounds
	for id := range bounds.Hosts {
		// An owner that hands over at once passes the bounds on.
		c.host(id)
	}
}

// LeaseBounds returns bounds of the leases of this owner and earlier ones, counted from now. granted returns how long the leases may
// last that the present supervisor of a host has granted. Hosts that do not answer and on which runs may exist have bounds of their own,
// at most maxHosts of them.
func (c *Cell) LeaseBounds(granted func(host string) time.Duration, maxHosts int) lease.Bounds {
	bounds := lease.Bounds{Others: max(0, c.foreignLeaseEnd().Sub(c.now)), Hosts: make(map[string]time.Duration)}
	for _, h := range c.hostsByID {
		left := max(0, h.leaseEnd().Sub(c.now), granted(h.info.ID))
		bounds.Others = max(bounds.Others, left)
		mayHaveRuns, answers := len(h.runs) > 0 || c.awaited[h.info.ID], h.silentSince == 0 && h.enforcesFence
		if mayHaveRuns && !answers && len(bounds.Hosts) < maxHosts {
			bounds.Hosts[h.info.ID] = left
		}
	}
	return bounds
}

// SetHosts applies a complete list of the hosts in the roster.
func (c *Cell) SetHosts(hosts []fold.Host) {
	inRoster := make(map[string]bool, len(hosts))
	for _, info := range hosts {
		inRoster[info.ID] = true
		c.applyRosterRow(info)
	}
	c.hostsByID = slices.DeleteFunc(c.hostsByID, func(h *host) bool {
		if inRoster[h.info.ID] {
			return false
		}
		if h.listed {
			h.listed, h.unlistedSince = false, c.now
			c.log.Info("Host is no longer in the roster.", "host", h.info.ID, "runs", len(h.runs))
		}
		forget := len(h.runs) == 0 && !h.awaitsStarts(c.now) && c.now.Sub(h.unlistedSince) > forgetHostAfter
		if forget {
			delete(c.hosts, h.info.ID)
			c.hostsChanged = true
		}
		return forget
	})
}

// applyRosterRow applies what the roster says about a host, unless it describes another incarnation than the newest one.
func (c *Cell) applyRosterRow(info fold.Host) {
	h := c.host(info.ID)
	changed := h.rosterIncarnation != 0 && info.Incarnation != h.rosterIncarnation
	h.rosterIncarnation = info.Incarnation
	if info.Incarnation != h.info.Incarnation {
		if !h.mayHaveRestarted(info.Incarnation, changed) {
			c.askListedHost(h, info.Address, changed)
			return
		}
		c.handleRestart(h, info.Incarnation)
		h.seenAt = c.now
	}
	if info.Draining && !h.info.Draining {
		c.log.Info("Host is draining.", "host", info.ID, "remaining", info.Remaining.String(), "runs", len(h.runs))
	}
	c.hostsChanged = c.hostsChanged || !h.listed || info.Draining != h.info.Draining || info.Address != h.info.Address
	if info.Draining && info.Remaining > 0 && (!h.info.Draining || info.Remaining != h.info.Remaining) {
		h.health.leavesAt = c.now.Add(info.Remaining)
	}
	h.info = info
	h.listed, h.described, h.evacuated = true, true, slices.Contains(c.rules.Evacuated, info.Domain)
}

// forgetHostAfter is how long a host without runs is kept after it left the roster. Otherwise a short absence from the roster
// would lose the number of the last applied end.
const forgetHostAfter = 30 * time.Second

// awaitsStarts reports whether starts that the host has not answered may still be carried out there.
func (h *host) awaitsStarts(now fold.Instant) bool {
	recent := func(u unconfirmedStart) bool { return now.Sub(u.failedAt) < maxOrderDelay }
	return slices.ContainsFunc(h.unconfirmedStarts, recent) || slices.ContainsFunc(h.forbiddenStarts, recent)
}

// copyRuns returns a copy of the list of runs, so that callers may change the list during iteration.
func (h *host) copyRuns() []*run {
	return slices.Clone(h.runList)
}

// acceptsWork reports whether the host takes new runs.
func (h *host) acceptsWork(now fold.Instant) bool {
	return h.whyClosed(now) == ""
}

// whyClosed returns the reason for which the host takes no new runs, or "" if it takes them.
func (h *host) whyClosed(now fold.Instant) string {
	switch {
	case !h.listed:
		return "not in the roster"
	case h.evacuated:
		return "evacuated"
	case h.info.Draining:
		return "draining"
	case h.silentSince != 0:
		return "silent"
	case h.health.quarantined(now):
		return "quarantined"
	case h.startsWait(now, 0):
		return "starts wait"
	case !h.described || !h.enforcesFence:
		return "no answer yet"
	case len(h.forbiddenStarts) > 0:
		return "restarted"
	case h.lastUnknownRun != 0 && now.Sub(h.lastUnknownRun) <= unknownRunPause:
		return "unknown run"
	default:
		return ""
	}
}

// unknownRunPause is how long a host gets no work after it reported a run that this owner does not know. It is longer
// than it takes a stop to reach the host and a report to come back.
const unknownRunPause = 2 * time.Second

// leaseEnd returns the time by which every run on the host has ended if no lease is renewed.
func (h *host) leaseEnd() fold.Instant {
	return max(h.foreignLeaseEnd, h.ownLeaseEnd)
}

// Contact is a host that must be asked for reports.
type Contact struct {
	Host fold.Host
	// Acked is the highest number of an end of this incarnation that is durably recorded.
	Acked int64
	// MaxWait is the maximum time that the host waits for an end before it reports.
	MaxWait time.Duration
}

// Contacts lists the hosts to ask for reports: those of the roster, and others that may have runs.
func (c *Cell) Contacts() []Contact {
	contacts := make([]Contact, 0, len(c.hostsByID))
	for _, h := range c.hostsByID {
		if c.needsContact(h) {
			contacts = append(contacts, Contact{Host: h.info, Acked: h.lastAck, MaxWait: h.sentMaxWait})
		}
	}
	return contacts
}

func (c *Cell) needsContact(h *host) bool {
	return h.info.Address != "" && (h.listed || len(h.runs) > 0 || c.awaited[h.info.ID])
}

// Contact returns the contact of the host with the id if the host must be asked for reports.
func (c *Cell) Contact(id string) (Contact, bool) {
	h, ok := c.hosts[id]
	if !ok || !c.needsContact(h) {
		return Contact{}, false
	}
	return Contact{Host: h.info, Acked: h.lastAck, MaxWait: h.sentMaxWait}, true
}

// Unused reports whether no run may exist on the host, so that nothing waits for the end of its leases.
func (c *Cell) Unused(id string) bool {
	h, ok := c.hosts[id]
	return !ok || len(h.runs) == 0 && !c.awaited[id]
}

// Maximum times between reports of a host. All of them stay well below a lease.
const (
	// busyWait is the maximum time between reports of a host with runs. Reports carry progress and load.
	busyWait = time.Second
	// idleWait is the maximum time between reports of a host without runs.
	idleWait = 1500 * time.Millisecond
	// urgentWait is the maximum time between reports of a host with urgent tasks. It limits the delay that a lost report
	// causes for these tasks.
	urgentWait = 400 * time.Millisecond
	// sharedHostWait is the maximum time between reports of a host that runs both fill tasks and tasks with a latency
	// target.
	sharedHostWait = 500 * time.Millisecond
)

// maxWait returns the maximum time that the host may wait for an end before it reports.
func (c *Cell) maxWait(h *host) time.Duration {
	if len(h.runs) == 0 {
		return idleWait
	}
	hasTargets, hasFill := h.runKinds()
	if hasTargets && hasFill {
		return sharedHostWait
	}
	for _, r := range h.runList {
		if r.task.part.urgent() {
			return urgentWait
		}
	}
	return busyWait
}

// runKinds reports whether the host runs tasks with a latency target and whether it runs fill tasks.
func (h *host) runKinds() (hasTargets, hasFill bool) {
	return h.serving > 0, h.filling > 0
}

// RecordLease records that leases on a host may last for the given time from now.
func (c *Cell) RecordLease(id string, remaining time.Duration) {
	if h, ok := c.hosts[id]; ok && remaining > 0 {
		h.ownLeaseEnd = max(h.ownLeaseEnd, c.now.Add(remaining))
	}
}

// RecordSilence records that a host did not answer and that its leases last for the given time unless they are renewed.
func (c *Cell) RecordSilence(id string, incarnation int64, remaining time.Duration) {
	h, ok := c.hosts[id]
	if !ok || h.info.Incarnation != incarnation {
		return
	}
	c.RecordLease(id, remaining)
	if h.silentSince == 0 {
		h.silentSince = c.now
		c.hostsChanged = true
		if len(h.runs) > 0 || h.listed {
			c.log.Warn("Host stopped answering.", "host", id, "runs", len(h.runs))
		}
	}
}

// ApplyReport applies a host's answer to a request. sent is a time no later than the sending of the request.
// remaining is how long the leases on the host last unless they are renewed.
func (c *Cell) ApplyReport(id string, sent fold.Instant, reply fold.HoldReply, remaining time.Duration) {
	h, ok := c.hosts[id]
	if !ok {
		return
	}
	if reply.Incarnation != h.info.Incarnation {
		if !h.answeredByNewer(reply.Incarnation, sent) {
			c.log.Info("Ignored a report of an earlier incarnation of a host.", "host", id, "born", reply.Incarnation, "current", h.info.Incarnation, "age", c.since(sent), "sinceCurrent", c.since(h.seenAt))
			return
		}
		h.endedIncarnations = append(h.endedIncarnations, h.info.Incarnation)
		h.endedIncarnations = h.endedIncarnations[max(0, len(h.endedIncarnations)-maxEndedIncarnations):]
		c.handleRestart(h, reply.Incarnation)
	}
	h.seenAt = max(h.seenAt, sent)
	if h.silentSince != 0 {
		c.log.Info("Host answers again.", "host", id, "silence", c.now.Sub(h.silentSince).String())
		h.silentSince, h.endsDelayedUntil = 0, c.now
		c.hostsChanged = true
	}
	c.RecordLease(id, remaining)
	if !h.enforcesFence {
		c.hostsChanged = true
		// The host now enforces the fence of this owner, so earlier owners can renew no lease.
		h.enforcesFence, h.foreignLeaseEnd = true, c.now.Add(lease.MaxDuration(c.times.Lease))
	}
	if reply.MoreEnds || h.moreEnds {
		h.endsDelayedUntil = c.now
	}
	if reply.MoreEnds != h.moreEnds {
		h.moreEnds = reply.MoreEnds
		c.log.Info("Changed whether the host reports all ended runs; until it does, no run counts as lost.", "host", id, "complete", !reply.MoreEnds, "runs", len(h.runs), "acked", h.lastAck)
	}
	c.applyEnds(h, reply.Ends)
	c.compareRuns(h, sent, reply)
}

// applyEnds applies the ends that were not applied before, in order.
func (c *Cell) applyEnds(h *host, ends []fold.HostEnd) {
	for _, e := range ends {
		if e.Number <= h.lastEnd {
			continue
		}
		h.lastEnd = e.Number
		c.handleEnd(h, e)
	}
}

// compareRuns compares the runs that the host lists with the runs that were ordered.
func (c *Cell) compareRuns(h *host, sent fold.Instant, reply fold.HoldReply) {
	listed := make(map[runKey]bool, len(reply.Runs))
	for _, hr := range reply.Runs {
		key := runKey{task: hr.Task, run: hr.Run}
		listed[key] = true
		r, ok := h.runs[key]
		if !ok {
			// A run that an earlier owner started without a record is adopted until a complete report was compared.
			if name, valid := flow.ParseTaskName(hr.Task); h.compared || !valid || !c.adoptRun(h, c.findTask(name), hr) {
				c.handleUnknownRun(h, hr)
			}
			continue
		}
		c.updateProgress(r, hr)
	}
	if reply.MoreEnds {
		return
	}
	firstComplete := !h.compared
	if firstComplete {
		h.compared, c.hostsChanged = true, true
	}
	for _, r := range h.copyRuns() {
		if listed[r.key()] || r.phase == phasePlanned {
			continue
		}
		c.handleMissing(r, sent, firstComplete)
	}
}

// handleMissing handles a run that a complete report of its host does not list. firstComplete reports whether it is the
// first such report.
func (c *Cell) handleMissing(r *run, sent fold.Instant, firstComplete bool) {
	switch {
	case r.inherited && firstComplete:
		// The host now enforces the fence of this owner and refuses a late order of an earlier one.
		c.loseRun(r, "host does not know it")
	case firstComplete && r.phase == phaseRunning && r.reportedAt == 0 && r.tries == 1 && r.startedAt < sent:
		// An earlier incarnation confirmed the only order, so none is on its way.
		c.loseRun(r, "host started again")
	case r.stopAckedAt != 0 && r.stopAckedAt < sent:
		// The run may also have begun: all that is known is that the host does not list it after its stop.
		c.loseRun(r, "stopped before it began")
	case r.phase == phaseRunning && r.startedAt < sent && !r.stopping:
		// The run has ended, but its end was not reported. It counts as lost after the host has confirmed the stop.
		c.stopRun(r)
	}
}

// handleUnknownRun orders the stop of a run that this owner does not know. The host gets no work for a while, because the run
// uses capacity until it ends and its size is unknown.
func (c *Cell) handleUnknownRun(h *host, hr fold.HostRun) {
	h.lastUnknownRun = c.now
	c.orders.Stops = append(c.orders.Stops, Stop{Host: h.info, Task: hr.Task, Run: hr.Run})
	c.log.Warn("Stopped a run without a record.", "task", hr.Task, "run", hr.Run, "host", h.info.ID)
}

// updateProgress applies what a host reports about a run.
func (c *Cell) updateProgress(r *run, hr fold.HostRun) {
	if r.phase != phaseRunning {
		r.confirm()
		r.phase, r.startedAt = phaseRunning, c.now
		c.confirmBegin(r.task.part.job)
		r.progressedAt, r.firstPercent, r.startSeenLate = c.now, hr.Percent, true
		r.task.part.times.begin(c.now)
	}
	if hr.Percent > r.percent || r.reportedAt == 0 {
		r.progressedAt = c.now
	}
	r.percent, r.reportedAt, r.load = hr.Percent, c.now, hr.Load
	if hr.Checkpoint != "" {
		r.task.checkpoint = hr.Checkpoint
	}
	c.recordSteady(r, hr)
}

// loseExpiredRuns detaches the runs, except planned ones, on hosts on which all leases have expired. It skips hosts that have
// answered this owner and are not silent.
func (c *Cell) loseExpiredRuns() {
	for _, h := range c.hostsByID {
		if len(h.runs) == 0 || !h.leasesExpired(c.now) {
			continue
		}
		for _, r := range h.copyRuns() {
			if r.phase != phasePlanned {
				r.task.part.leaseEnded = true
				c.loseRun(r, "lease ended")
			}
		}
	}
}

// leasesExpired reports whether all leases on the host have expired. Those of a host that answers this owner are renewed.
func (h *host) leasesExpired(now fold.Instant) bool {
	return (h.silentSince != 0 || !h.enforcesFence) && now > h.leaseEnd()
}
