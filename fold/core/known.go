package core

import (
	"slices"

	"plantainfold.example/fold"
)

// UsedHost is a host in the record of an owner.
type UsedHost struct {
	fold.Host
	// Awaited says that an earlier owner used the host and that this one has not heard from it.
	Awaited bool
}

// SetAwaited names the hosts that an earlier owner recorded as its own. Until each of them has answered, has started again
// or has lapsed, nothing of the jobs of that owner is started: it may have started runs there that it could not record.
func (c *Cell) SetAwaited(hosts []fold.Host) {
	c.awaited = make(map[string]int64)
	for _, info := range hosts {
		h := c.host(info.ID)
		if h.info.Incarnation > info.Incarnation {
			continue
		}
		if info.Incarnation > h.info.Incarnation {
			c.reborn(h, info.Incarnation)
		}
		if h.info.Address == "" {
			h.info = info
		}
		c.awaited[info.ID] = info.Incarnation
	}
}

// Awaited returns the ids of the hosts of an earlier owner that have yet to answer.
func (c *Cell) Awaited() []string {
	ids := make([]string, 0, len(c.awaited))
	for id := range c.awaited {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// heard drops the hosts of an earlier owner that have answered, started again or lapsed.
func (c *Cell) heard() {
	for id, born := range c.awaited {
		h, ok := c.hosts[id]
		switch {
		case !ok || h.adopted || h.info.Incarnation > born:
			delete(c.awaited, id)
			c.moved = true
		case c.now > h.foreign:
			// Nobody knows how the runs there were numbered.
			c.gap = runGap
			delete(c.awaited, id)
			c.moved = true
		}
	}
	c.hidden = c.unheard()
}

// unheard is the most that runs without a record may take on the hosts that have yet to answer.
func (c *Cell) unheard() fold.Resources {
	if len(c.awaited) == 0 {
		return fold.Resources{}
	}
	var largest fold.Resources
	for _, h := range c.ranked {
		size := h.info.Capacity
		largest = fold.Resources{CPU: max(largest.CPU, size.CPU), Memory: max(largest.Memory, size.Memory), Accel: max(largest.Accel, size.Accel)}
	}
	return largest.Times(int64(len(c.awaited)))
}

// held reports whether the job of the part may have runs of an earlier owner on hosts that have yet to answer.
func (c *Cell) held(p *part) bool {
	return p.job.restored && len(c.awaited) > 0
}

// runGap is more than the starts of a task that an earlier owner may have made without a record.
const runGap = 20

// next returns the number of the next run of the task.
func (c *Cell) next(t *task) int {
	if c.gap > 0 && t.part.job.restored && !t.skipped {
		t.skipped = true
		return t.run + 1 + c.gap
	}
	return t.run + 1
}

// HostsToRecord returns the hosts that may get runs of this owner, those that it awaits, and whether they differ from those that
// are recorded. If they do, the set is to be recorded; until then only hosts in both sets get runs without a record.
func (c *Cell) HostsToRecord() (hosts []UsedHost, changed bool) {
	c.heard()
	if !c.moved {
		return nil, false
	}
	used := 0
	for _, h := range c.ranked {
		_, awaited := c.awaited[h.info.ID]
		switch {
		case awaited:
			hosts = append(hosts, UsedHost{Host: h.info, Awaited: true})
		case h.adopted && h.silent == 0 && !h.info.Draining:
			used++
			hosts = append(hosts, UsedHost{Host: h.info})
			changed = changed || c.known[h.info.ID] != h.info.Incarnation
		}
	}
	changed = changed || !c.recordedHosts || used != len(c.known) || len(c.awaited) != c.knownAwaited
	c.moved = changed
	if changed {
		both := make(map[string]int64, len(hosts))
		for _, h := range hosts {
			if !h.Awaited && c.known[h.ID] == h.Incarnation {
				both[h.ID] = h.Incarnation
			}
		}
		c.known = both
	}
	return hosts, changed
}

// SetRecordedHosts notes that the hosts are recorded as this owner's.
func (c *Cell) SetRecordedHosts(hosts []UsedHost) {
	clear(c.known)
	c.recordedHosts, c.knownAwaited = true, 0
	for _, h := range hosts {
		if h.Awaited {
			c.knownAwaited++
			continue
		}
		c.known[h.ID] = h.Incarnation
	}
}

// AllowUnrecorded says whether runs may start before they are recorded, because the table does not take records. A later
// owner finds them on the hosts.
func (c *Cell) AllowUnrecorded(unrecorded bool) {
	if unrecorded != c.unrecorded {
		c.log.Debug("Starts and their records.", "unrecorded", unrecorded, "planned", len(c.planned)+len(c.recorded))
	}
	c.unrecorded = unrecorded
}

// startUnrecorded sends the plans that wait for their records. A later owner expects such runs only of jobs that it
// loads, so a job must have been accepted before the last commit of this owner.
func (c *Cell) startUnrecorded() {
	if !c.unrecorded {
		return
	}
	for _, plans := range [][]*run{c.recorded, c.planned} {
		for _, r := range plans {
			if r.phase == phasePlanned && !r.gone && !r.stopping && c.known[r.host.info.ID] == r.born && r.task.part.job.version <= c.committed {
				r.phase = phaseOrdered
				c.order(r)
			}
		}
	}
}

// unrecorded reports whether an earlier owner started the run without a record.
func (t *task) unrecorded(run int) bool {
	return run > t.recorded && (t.own == 0 || run < t.own)
}

// find takes over a run that an earlier owner started without a record; it reports false for one that nobody wants.
func (c *Cell) find(h *host, t *task, hr fold.HostRun) bool {
	if t == nil || !t.unrecorded(hr.Run) {
		return false
	}
	r := newRun(t, hr.Run, h, h.info.Incarnation, c.now)
	r.inherited, r.phase = true, phaseOrdered
	t.run = max(t.run, hr.Run)
	t.part.job.begun = true
	c.attach(r)
	c.mark(t.part.job)
	c.settle(t.part.job)
	c.log.Info("Found a run without a record.", "task", r.id, "run", r.number, "host", h.info.ID)
	c.progress(r, hr)
	if t.done || t.part.job.state.Final() {
		c.stop(r)
	}
	return true
}
