package core

import (
	"fmt"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// RecordedHost is a host in the record that an owner writes about its hosts.
type RecordedHost struct {
	fold.Host
	// Awaited reports whether an earlier owner used the host and this one has not received a complete report from it.
	Awaited bool
}

// SetAwaited sets the hosts that an earlier owner recorded as its own. It may have started runs there without a record. Jobs
// of that owner therefore start nothing until each host has sent a complete report or its leases have ended.
func (c *Cell) SetAwaited(hosts []fold.Host) {
	c.awaited = make(map[string]bool)
	for _, info := range hosts {
		h := c.host(info.ID)
		c.awaited[info.ID] = true
		if info.Incarnation > h.info.Incarnation {
			c.handleRestart(h, info.Incarnation)
		}
		if h.info.Address == "" {
			h.info.Address = info.Address
		}
	}
}

// Awaited returns the ids of hosts of an earlier owner that have not sent a complete report yet.
func (c *Cell) Awaited() []string {
	ids := make([]string, 0, len(c.awaited))
	for id := range c.awaited {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateAwaited removes awaited hosts that have sent a complete report or whose leases have ended. A host that has started
// again is still awaited, because its new incarnation may have executed a start that was sent to the earlier one, but not for
// longer than such a start may arrive.
func (c *Cell) updateAwaited() {
	for id := range c.awaited {
		h, ok := c.hosts[id]
		switch {
		case !ok || h.compared:
			delete(c.awaited, id)
			c.hostsChanged = true
		case h.leasesExpired(c.now), c.now > c.foreignLeaseEnd().Add(maxOrderDelay):
			// The run numbers used there are unknown.
			c.runNumberGap = maxUnrecordedRuns
			delete(c.awaited, id)
			c.hostsChanged = true
		}
	}
	c.awaitedUse = c.maxAwaitedUse()
}

// maxAwaitedUse returns an upper bound of the use by runs without a record on awaited hosts: each awaited host counts as
// the largest known one.
func (c *Cell) maxAwaitedUse() fold.Resources {
	if len(c.awaited) == 0 {
		return fold.Resources{}
	}
	var largest fold.Resources
	for _, h := range c.hostsByID {
		size := h.info.Capacity
		largest = fold.Resources{CPU: max(largest.CPU, size.CPU), Memory: max(largest.Memory, size.Memory), Accel: max(largest.Accel, size.Accel)}
	}
	return largest.Times(int64(len(c.awaited)))
}

// awaitsHosts reports whether the part's job may have runs of an earlier owner on awaited hosts.
func (c *Cell) awaitsHosts(p *part) bool {
	return p.job.restored && len(c.awaited) > 0
}

// maxUnrecordedRuns is above the number of runs of a task that an earlier owner can have started without a record.
const maxUnrecordedRuns = 20

// nextRunNumber returns the number of the next run of the task. It skips numbers that an earlier owner may have used.
func (c *Cell) nextRunNumber(t *task) int {
	if c.runNumberGap > 0 && t.part.job.restored && !t.numberSkipped {
		t.numberSkipped = true
		return t.lastRun + 1 + c.runNumberGap
	}
	return t.lastRun + 1
}

// HostsToRecord returns the hosts that may get runs of this owner and the awaited ones, and whether they differ from the
// recorded ones. If they do, the caller must record them. It then also limits runs without a record to the hosts in both
// the old and the new record, until SetRecordedHosts.
func (c *Cell) HostsToRecord() (hosts []RecordedHost, changed bool) {
	c.updateAwaited()
	if !c.hostsChanged {
		return nil, false
	}
	used := 0
	for _, h := range c.hostsByID {
		switch {
		case c.awaited[h.info.ID]:
			hosts = append(hosts, RecordedHost{Host: h.info, Awaited: true})
		case h.enforcesFence && h.silentSince == 0 && !h.info.Draining:
			used++
			hosts = append(hosts, RecordedHost{Host: h.info})
			changed = changed || c.recordedIncarnations[h.info.ID] != h.info.Incarnation
		}
	}
	changed = changed || !c.hostsRecorded || used != len(c.recordedIncarnations) || len(c.awaited) != c.recordedAwaited
	c.hostsChanged = changed
	if changed {
		both := make(map[string]int64, len(hosts))
		for _, h := range hosts {
			if !h.Awaited && c.recordedIncarnations[h.ID] == h.Incarnation {
				both[h.ID] = h.Incarnation
			}
		}
		c.recordedIncarnations = both
	}
	return hosts, changed
}

// SetRecordedHosts sets the hosts that are recorded for this owner.
func (c *Cell) SetRecordedHosts(hosts []RecordedHost) {
	clear(c.recordedIncarnations)
	c.hostsRecorded, c.recordedAwaited = true, 0
	for _, h := range hosts {
		if h.Awaited {
			c.recordedAwaited++
			continue
		}
		c.recordedIncarnations[h.ID] = h.Incarnation
	}
}

// AllowUnrecorded sets whether runs may start before they are recorded, because the table accepts no records. A later owner
// finds such runs on the hosts.
func (c *Cell) AllowUnrecorded(unrecorded bool) {
	if unrecorded != c.allowUnrecorded {
		c.log.Debug("Changed whether runs start without a record.", "unrecorded", unrecorded, "planned", len(c.planned)+len(c.recording))
	}
	c.allowUnrecorded = unrecorded
}

// maxLoggedRuns limits the runs that a log line names.
const maxLoggedRuns = 50

// startUnrecorded orders the planned runs before their records are written. A later owner expects such runs only for jobs
// that it loads. It loads the table as of our last commit at least, so a job newer than that may be unknown to it.
func (c *Cell) startUnrecorded() {
	if !c.allowUnrecorded {
		return
	}
	var started []string
	for _, plans := range [][]*run{c.recording, c.planned} {
		for _, r := range plans {
			// A later owner may have renewed the lease of a run that counts as lost here. Only a commit excludes this.
			if r.task.part.leaseEnded {
				continue
			}
			if r.phase == phasePlanned && !r.detached && !r.stopping && c.recordedIncarnations[r.host.info.ID] == r.incarnation && r.task.part.job.tableVersion <= c.lastCommit {
				r.phase = phaseOrdered
				started = append(started, fmt.Sprintf("%s/%d@%s", r.id, r.number, r.host.info.ID))
				c.orderStart(r)
			}
		}
	}
	if len(started) > 0 {
		c.log.Info("Started runs without records.", "runs", len(started), "tasks", strings.Join(started[:min(len(started), maxLoggedRuns)], " "))
	}
}

// mayBeUnrecorded reports whether an earlier owner may have started a run of this number without a record.
func (t *task) mayBeUnrecorded(run int) bool {
	return run > t.lastRecorded && (t.firstOwnRun == 0 || run < t.firstOwnRun)
}

// adoptRun takes over a run that an earlier owner started without a record. It returns false for any other run.
func (c *Cell) adoptRun(h *host, t *task, hr fold.HostRun) bool {
	if t == nil || !t.mayBeUnrecorded(hr.Run) {
		return false
	}
	r := newRun(t, hr.Run, h, h.info.Incarnation, c.now)
	r.inherited, r.phase, r.ackedPace = true, phaseOrdered, unknownPace
	t.lastRun = max(t.lastRun, hr.Run)
	t.part.begin()
	t.part.job.started = true
	c.attach(r)
	c.markDirty(t.part.job)
	c.updateState(t.part.job)
	c.log.Info("Adopted a run that an earlier owner started without a record.", "task", r.id, "run", r.number, "host", h.info.ID)
	c.updateProgress(r, hr)
	if t.done || t.part.job.state.Final() {
		c.stopRun(r)
	}
	return true
}
