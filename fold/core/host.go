package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// host is an instance that runs tasks: its current life and what may run there.
type host struct {
	info fold.Host
	// listed says that the roster named the host last time; gone is since when it does not.
	listed bool
	gone   fold.Instant
	// adopted says that this life has answered under this owner's fence, so that no order of an earlier owner counts.
	adopted bool
	runs    map[runKey]*run
	// order holds the runs in the order in which they were planned.
	order []*run
	// used is what live runs take of the capacity, soft what filling tasks declare of its processors.
	used fold.Resources
	soft int64
	// serving and filling count the live runs of tasks with a target and of tasks that fill.
	serving, filling int
	// strays is when a run without a record was last reported.
	strays fold.Instant

	// unsure are starts without an answer, which may yet be carried out; barred are those of an earlier life, which this
	// one is told to refuse before it gets work.
	unsure []unsureStart
	barred []unsureStart

	// foreign is when leases that this owner did not renew have surely ended, leased is the same for its own.
	foreign, leased fold.Instant
	// wait is how long the host may wait before it reports, as was last ordered; touched says that its runs have changed
	// since.
	wait    time.Duration
	touched bool
	// silent is since when calls go unanswered, or 0.
	silent fold.Instant

	// seen is the highest end that was taken in, ackNext goes into the next acknowledgement, acked was recorded.
	seen, ackNext, acked int64

	health health
}

// runKey identifies a run on a host.
type runKey struct {
	task string
	run  int
}

func (r *run) key() runKey {
	return runKey{task: r.id, run: r.number}
}

// unsureStart is a start without an answer.
type unsureStart struct {
	key runKey
	// sent is when the answer was given up, asked when the host was last told to refuse the run.
	sent, asked fold.Instant
}

// lateOrder is how long after it was sent an order without an answer may be carried out.
const lateOrder = 13 * time.Second

// host returns the host with the id, also one that the roster has not named.
func (c *Cell) host(id string) *host {
	h, ok := c.hosts[id]
	if !ok {
		h = &host{info: fold.Host{ID: id}, wait: idleWait, runs: make(map[runKey]*run), foreign: c.now.Add(c.foreignLease()), gone: c.now}
		c.hosts[id] = h
		at, _ := slices.BinarySearchFunc(c.ranked, id, func(o *host, id string) int { return cmp.Compare(o.info.ID, id) })
		c.ranked = slices.Insert(c.ranked, at, h)
	}
	return h
}

// foreignLease is how long after the start of this owner an earlier one may have kept runs alive: it renews leases for
// as long as it may act without the table.
func (c *Cell) foreignLease() time.Duration {
	return c.times.RenewWithoutTable + lease.OnSlowestClock(c.times.Lease)
}

// SetHosts takes a complete reading of the roster.
func (c *Cell) SetHosts(hosts []fold.Host) {
	named := make(map[string]bool, len(hosts))
	for _, info := range hosts {
		named[info.ID] = true
		h := c.host(info.ID)
		if info.Incarnation < h.info.Incarnation {
			continue
		}
		if info.Incarnation > h.info.Incarnation {
			c.reborn(h, info.Incarnation)
		}
		if info.Draining && !h.info.Draining {
			c.log.Info("Host drains.", "host", info.ID, "remaining", info.Remaining.String(), "runs", len(h.runs))
		}
		c.moved = c.moved || !h.listed || info.Draining != h.info.Draining || info.Address != h.info.Address
		if info.Draining && info.Remaining > 0 && (!h.info.Draining || info.Remaining != h.info.Remaining) {
			h.health.leaves = c.now.Add(info.Remaining)
		}
		h.info = info
		h.listed = true
	}
	c.ranked = slices.DeleteFunc(c.ranked, func(h *host) bool {
		if named[h.info.ID] {
			return false
		}
		if h.listed {
			h.listed, h.gone = false, c.now
			c.log.Info("Host left the roster.", "host", h.info.ID, "runs", len(h.runs))
		}
		forget := len(h.runs) == 0 && c.now.Sub(h.gone) > forgetHost
		if forget {
			delete(c.hosts, h.info.ID)
			c.moved = true
		}
		return forget
	})
}

// forgetHost is how long a host without runs is kept after it left the roster, so that a short gap in the roster does
// not forget which ends were taken in.
const forgetHost = 30 * time.Second

// reborn notes that a new life of the host runs under its id: the earlier one runs nothing any more.
func (c *Cell) reborn(h *host, born int64) {
	first := h.info.Incarnation == 0
	h.info.Incarnation = born
	c.moved = true
	h.adopted, h.leased, h.foreign = false, 0, c.now.Add(lease.OnSlowestClock(c.times.Lease))
	h.seen, h.ackNext, h.acked = 0, 0, 0
	h.health = health{}
	for _, u := range h.unsure {
		if c.now.Sub(u.sent) < lateOrder {
			h.barred = append(h.barred, unsureStart{key: u.key, sent: u.sent})
			c.barring[h.info.ID] = true
		}
	}
	h.unsure = nil
	if first {
		return
	}
	c.log.Info("Host started again.", "host", h.info.ID, "born", born, "runs", len(h.runs))
	for _, r := range h.list() {
		if r.phase == phaseOrdered || r.tries > 1 || r.inherited {
			// An order without an answer may still arrive, at the new life; a stop there makes sure that it does nothing.
			r.born = born
			c.stop(r)
			continue
		}
		c.lose(r, "host started again")
	}
}

// list returns the live runs, so that they can be changed meanwhile.
func (h *host) list() []*run {
	return slices.Clone(h.order)
}

// open reports whether the host takes new work.
func (h *host) open(now fold.Instant) bool {
	return h.listed && h.adopted && !h.info.Draining && h.silent == 0 && len(h.barred) == 0 && !h.health.barred(now) &&
		(h.strays == 0 || now.Sub(h.strays) > strayTime)
}

// strayTime closes a host after it reported a run without a record, whose size is not known; it is longer than a stop
// and a report take.
const strayTime = 2 * time.Second

// leaseEnd is when everything on the host has surely lapsed unless a lease is renewed.
func (h *host) leaseEnd() fold.Instant {
	return max(h.foreign, h.leased)
}

// Contact is a host that is to be looked at.
type Contact struct {
	Host fold.Host
	// Acked is the highest number of an end of this life that is recorded.
	Acked int64
	// MaxWait is how long the host may wait for an end before it reports.
	MaxWait time.Duration
}

// Contacts lists the hosts to look at: those of the roster, and others that may have runs.
func (c *Cell) Contacts() []Contact {
	contacts := make([]Contact, 0, len(c.ranked))
	for _, h := range c.ranked {
		if c.contacted(h) {
			contacts = append(contacts, Contact{Host: h.info, Acked: h.acked, MaxWait: h.wait})
		}
	}
	return contacts
}

func (c *Cell) contacted(h *host) bool {
	return h.info.Address != "" && (h.listed || len(h.runs) > 0 || c.awaited[h.info.ID] != 0)
}

// Contact returns the host with the id if it is to be looked at.
func (c *Cell) Contact(id string) (Contact, bool) {
	h, ok := c.hosts[id]
	if !ok || !c.contacted(h) {
		return Contact{}, false
	}
	return Contact{Host: h.info, Acked: h.acked, MaxWait: h.wait}, true
}

const (
	// busyWait bounds the time between two looks at a host with runs, which tells progress and the load of tasks that
	// serve; idleWait bounds it for other hosts. Both stay well below a lease.
	busyWait = time.Second
	idleWait = 1500 * time.Millisecond
	// urgentWait is used while urgent tasks run there: it bounds what a lost answer costs them.
	urgentWait = 400 * time.Millisecond
	// watchWait is used while filling tasks share a host with tasks that have a target.
	watchWait = 500 * time.Millisecond
)

// patience is how long the host may wait for an end before it reports.
func (c *Cell) patience(h *host) time.Duration {
	if len(h.runs) == 0 {
		return idleWait
	}
	serves, fills := h.mix()
	if serves && fills {
		return watchWait
	}
	for _, r := range h.order {
		if r.task.part.urgent() {
			return urgentWait
		}
	}
	return busyWait
}

// mix reports whether tasks with a target and filling tasks share the host.
func (h *host) mix() (serves, fills bool) {
	return h.serving > 0, h.filling > 0
}

// RecordLease notes that leases on a host may last for the given time from now on.
func (c *Cell) RecordLease(id string, left time.Duration) {
	if h, ok := c.hosts[id]; ok && left > 0 {
		h.leased = max(h.leased, c.now.Add(left))
	}
}

// RecordSilence notes that a host did not answer and that its leases last for the given time unless they are renewed.
func (c *Cell) RecordSilence(id string, born int64, left time.Duration) {
	h, ok := c.hosts[id]
	if !ok || h.info.Incarnation != born {
		return
	}
	c.RecordLease(id, left)
	if h.silent == 0 {
		h.silent = c.now
		c.moved = true
		if len(h.runs) > 0 || h.listed {
			c.log.Warn("Host does not answer.", "host", id, "runs", len(h.runs))
		}
	}
}

// ApplyReport takes a host's answer to a request that was sent after the given instant; left is how long the leases there
// last unless they are renewed.
func (c *Cell) ApplyReport(id string, sent fold.Instant, reply fold.HoldReply, left time.Duration) {
	h, ok := c.hosts[id]
	if !ok || reply.Incarnation < h.info.Incarnation {
		return
	}
	if reply.Incarnation > h.info.Incarnation {
		c.reborn(h, reply.Incarnation)
	}
	if h.silent != 0 {
		c.log.Info("Host answers again.", "host", id, "after", c.now.Sub(h.silent).String())
		h.silent = 0
		c.moved = true
	}
	c.RecordLease(id, left)
	first := !h.adopted
	if first {
		c.moved = true
		// The fence of this owner is in force there: no earlier owner renews leases any more.
		h.adopted, h.foreign = true, c.now.Add(lease.OnSlowestClock(c.times.Lease))
	}
	c.takeEnds(h, reply.Ends)
	c.takeRuns(h, sent, reply, first)
}

// takeEnds takes the ends that were not seen before, in order.
func (c *Cell) takeEnds(h *host, ends []fold.HostEnd) {
	for _, e := range ends {
		if e.Number <= h.seen {
			continue
		}
		h.seen = e.Number
		c.ended(h, e)
	}
}

// takeRuns compares what runs on the host with what was ordered.
func (c *Cell) takeRuns(h *host, sent fold.Instant, reply fold.HoldReply, first bool) {
	listed := make(map[runKey]bool, len(reply.Runs))
	for _, hr := range reply.Runs {
		key := runKey{task: hr.Task, run: hr.Run}
		listed[key] = true
		r, ok := h.runs[key]
		if !ok {
			if name, valid := flow.ParseTaskName(hr.Task); !first || !valid || !c.find(h, c.task(name), hr) {
				c.stray(h, hr)
			}
			continue
		}
		c.progress(r, hr)
	}
	for _, r := range h.list() {
		if listed[r.key()] || r.phase == phasePlanned {
			continue
		}
		c.missing(r, sent, first)
	}
}

// missing handles a run that its host does not list.
func (c *Cell) missing(r *run, sent fold.Instant, first bool) {
	switch {
	case r.inherited && first:
		// The fence of this owner is in force there, so an order of an earlier owner arrives in vain from now on.
		c.lose(r, "host does not know it")
	case r.stopAcked != 0 && r.stopAcked < sent:
		c.lose(r, "stopped before it began")
	case r.phase == phaseRunning && r.began < sent && !r.stopping:
		// It runs no more, and its end was not told.
		c.stop(r)
	}
}

// stray handles a run that this owner has no record of: it takes capacity until it is stopped.
func (c *Cell) stray(h *host, hr fold.HostRun) {
	h.strays = c.now
	c.orders.Stops = append(c.orders.Stops, Stop{Host: h.info, Task: hr.Task, Run: hr.Run})
	c.log.Warn("Stopped a run without a record.", "task", hr.Task, "run", hr.Run, "host", h.info.ID)
}

// progress notes what a host says of a run.
func (c *Cell) progress(r *run, hr fold.HostRun) {
	if r.phase != phaseRunning {
		r.phase, r.began = phaseRunning, c.now
		r.moved, r.first = c.now, hr.Percent
	}
	if hr.Percent > r.percent || r.seen == 0 {
		r.moved = c.now
	}
	r.percent, r.seen, r.load = hr.Percent, c.now, hr.Load
	if hr.Checkpoint != "" {
		r.task.saved = hr.Checkpoint
	}
}

// lapse gives up the runs of hosts whose leases have ended.
func (c *Cell) lapse() {
	for _, h := range c.ranked {
		if len(h.runs) == 0 || h.silent == 0 && h.adopted {
			continue
		}
		if c.now > h.leaseEnd() {
			for _, r := range h.list() {
				if r.phase != phasePlanned {
					c.lose(r, "lease ended")
				}
			}
		}
	}
}
