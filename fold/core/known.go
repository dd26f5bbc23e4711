package core

import (
	"slices"

	"plantainfold.example/fold"
)

// Await names the hosts that an earlier owner recorded as its own. Until each of them has answered, has started again
// or has lapsed, nothing is started: the earlier owner may have started runs there that it could not record.
func (c *Cell) Await(hosts []fold.Host) {
	c.awaited = make(map[string]int64)
	for _, info := range hosts {
		h := c.host(info.ID)
		if h.info.Born > info.Born {
			continue
		}
		if info.Born > h.info.Born {
			c.reborn(h, info.Born)
		}
		if h.info.Address == "" {
			h.info = info
		}
		c.awaited[info.ID] = info.Born
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

// waits reports whether hosts of an earlier owner have yet to answer.
func (c *Cell) waits() bool {
	for id, born := range c.awaited {
		h, ok := c.hosts[id]
		switch {
		case !ok || h.adopted || h.info.Born > born:
			delete(c.awaited, id)
		case c.now > h.foreign:
			// Nobody knows how the runs there were numbered.
			c.gap = runGap
			delete(c.awaited, id)
		}
	}
	return len(c.awaited) > 0
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

// Hosts returns the hosts that may get runs of this owner and whether they differ from those that are recorded. If they do, the set
// is to be recorded; until then only hosts in both sets get runs without a record.
func (c *Cell) Hosts() (hosts []fold.Host, changed bool) {
	for _, h := range c.ranked {
		if h.adopted && h.silent == 0 && !h.info.Draining {
			hosts = append(hosts, h.info)
			changed = changed || c.known[h.info.ID] != h.info.Born
		}
	}
	changed = changed || len(hosts) != len(c.known)
	if changed {
		both := make(map[string]int64, len(hosts))
		for _, h := range hosts {
			if c.known[h.ID] == h.Born {
				both[h.ID] = h.Born
			}
		}
		c.known = both
	}
	return hosts, changed
}

// SetKnown notes that the hosts are recorded as this owner's.
func (c *Cell) SetKnown(hosts []fold.Host) {
	clear(c.known)
	for _, h := range hosts {
		c.known[h.ID] = h.Born
	}
}

// SetUnrecorded says whether runs may start before they are recorded, because the table does not take records. A later
// owner finds them on the hosts.
func (c *Cell) SetUnrecorded(unrecorded bool) {
	if unrecorded != c.unrecorded {
		c.log.Debug("Starts and their records.", "unrecorded", unrecorded, "planned", len(c.planned)+len(c.recorded))
	}
	c.unrecorded = unrecorded
}

// startUnrecorded sends the plans that wait for their records.
func (c *Cell) startUnrecorded() {
	if !c.unrecorded {
		return
	}
	for _, plans := range [][]*run{c.recorded, c.planned} {
		for _, r := range plans {
			if r.phase == phasePlanned && !r.gone && !r.stopping && c.known[r.host.info.ID] == r.born {
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
	r := newRun(t, hr.Run, h, h.info.Born, c.now)
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
