package core

import (
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Start is an order to start a run whose record is durable. The driver adds the lease and the fence when it sends the
// order.
type Start struct {
	Host fold.Host
	Req  fold.StartRequest
	// Job is the id of the job whose specification the request carries.
	Job string
}

// Stop is an order to stop a run.
type Stop struct {
	Host fold.Host
	Task string
	Run  int
}

// Pace is an order to run a task at a share of its full speed, in percent.
type Pace struct {
	Host    fold.Host
	Task    string
	Run     int
	Percent int
}

// Ack tells a host that its ends up to a number are recorded.
type Ack struct {
	Host        string
	Incarnation int64
	Number      int64
}

// Wait changes the maximum time that a host waits for an end before it reports.
type Wait struct {
	Host    string
	MaxWait time.Duration
}

// Orders are the orders that the driver sends.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Acks   []Ack
	Waits  []Wait
}

const (
	// maxStartTries is how often a start without an answer is sent before the run is given up.
	maxStartTries = 3
	// maxGangStartTime is how long the start of a gang's member is sent again. The members that run wait for the others only a few
	// seconds.
	maxGangStartTime = time.Second
	// unhealthyTime is how long a host gets no work after it reported that it is unhealthy or has less capacity than
	// declared.
	unhealthyTime = time.Second
	// stopRetryDelay is the delay before an unanswered stop is repeated. Hosts stop a run within Times.Stop.
	stopRetryDelay = 500 * time.Millisecond
)

// Orders returns the orders to send now and removes them from the cell.
func (c *Cell) Orders() Orders {
	for _, h := range c.changedHosts {
		h.runsChanged = false
		if wait := c.maxWait(h); wait != h.sentMaxWait {
			h.sentMaxWait = wait
			c.orders.Waits = append(c.orders.Waits, Wait{Host: h.info.ID, MaxWait: wait})
		}
	}
	c.changedHosts = c.changedHosts[:0]
	out := c.orders
	c.orders = Orders{}
	return out
}

// orderStart adds an order to start the run.
func (c *Cell) orderStart(r *run) {
	r.tries++
	r.orderedAt = c.now
	if r.tries == 1 {
		r.firstOrderedAt = c.now
	}
	r.resumed = r.resumed || r.task.checkpoint != ""
	c.stats.Starts++
	p := r.task.part
	c.orders.Starts = append(c.orders.Starts, Start{Host: r.host.info, Job: p.job.spec.ID, Req: fold.StartRequest{
		Task: r.key().task, Run: r.number, Spec: p.job.spec.Spec, Checkpoint: r.task.checkpoint, Ticket: r.ticket,
	}})
}

// stopRun stops a run. Its resources become free when the host reports the end.
func (c *Cell) stopRun(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	c.pendingStops = append(c.pendingStops, r)
	c.stats.Stops++
	c.markDirty(r.task.part.job)
	if r.phase != phasePlanned {
		c.sendStop(r)
	}
}

func (c *Cell) sendStop(r *run) {
	r.stopSentAt = c.now
	c.orders.Stops = append(c.orders.Stops, Stop{Host: r.host.info, Task: r.key().task, Run: r.number})
}

// ApplyStop applies the answer to an order to stop. RunStale means that the host has stopped the run before.
func (c *Cell) ApplyStop(s Stop, err error) {
	h, ok := c.hosts[s.Host.ID]
	if !ok || h.info.Incarnation != s.Host.Incarnation || err != nil && !errorx.IsOfType(err, fold.RunStale) {
		return
	}
	key := runKey{task: s.Task, run: s.Run}
	if r, ok := h.runs[key]; ok && r.stopAckedAt == 0 {
		r.stopAckedAt = c.now
	}
	h.forbiddenStarts = slices.DeleteFunc(h.forbiddenStarts, func(u unconfirmedStart) bool {
		if u.key == key {
			// The start may still be on its way when the host starts again and forgets the stop.
			h.unconfirmedStarts = append(h.unconfirmedStarts, u)
		}
		return u.key == key
	})
}

// forbidStarts orders a host to refuse starts that were sent to an earlier incarnation.
func (c *Cell) forbidStarts(h *host) {
	h.forbiddenStarts = slices.DeleteFunc(h.forbiddenStarts, func(u unconfirmedStart) bool { return c.now.Sub(u.failedAt) >= maxOrderDelay })
	for i := range h.forbiddenStarts {
		u := &h.forbiddenStarts[i]
		if h.enforcesFence && (u.stopSentAt == 0 || c.now.Sub(u.stopSentAt) > stopRetryDelay) {
			u.stopSentAt = c.now
			c.orders.Stops = append(c.orders.Stops, Stop{Host: h.info, Task: u.key.task, Run: u.key.run})
		}
	}
}

// ApplyStart applies the answer to an order to start.
func (c *Cell) ApplyStart(s Start, err error) {
	h, ok := c.hosts[s.Host.ID]
	if !ok || h.info.Incarnation != s.Host.Incarnation {
		return
	}
	key := runKey{task: s.Req.Task, run: s.Req.Run}
	if err != nil && !fold.DidNotRun(err) {
		h.unconfirmedStarts = slices.DeleteFunc(h.unconfirmedStarts, func(u unconfirmedStart) bool { return c.now.Sub(u.failedAt) >= maxOrderDelay })
		h.unconfirmedStarts = append(h.unconfirmedStarts, unconfirmedStart{key: key, failedAt: c.now})
	}
	r, ok := h.runs[key]
	if !ok || r.phase == phaseRunning {
		return
	}
	if err == nil {
		h.starts.grow()
		r.confirm()
		r.phase, r.startedAt, r.progressedAt = phaseRunning, c.now, c.now
		r.task.part.times.begin(c.now)
		c.confirmBegin(r.task.part.job)
		return
	}
	c.stats.Refused++
	c.log.Debug("Starting a run failed.", "task", s.Req.Task, "run", s.Req.Run, "host", h.info.ID, "try", r.tries, "error", err)
	switch {
	case r.stopping, errorx.IsOfType(err, fold.HostFenced):
		return
	case errorx.IsOfType(err, fold.OrderLate):
		c.retryStart(r)
	case !fold.DidNotRun(err):
		c.retryStart(r)
	default:
		c.handleRefusal(r, err)
	}
}

// retryStart sends a start again, unless its host was evacuated meanwhile. The host gives the same answer for a run that it has
// already started.
func (c *Cell) retryStart(r *run) {
	tooLate := r.task.part.step.Gang && c.now.Sub(r.firstOrderedAt) > maxGangStartTime
	if r.tries < maxStartTries && !tooLate && !r.host.evacuated {
		c.orderStart(r)
		return
	}
	c.giveUpStart(r)
}

// giveUpStart stops a run whose start may still arrive at the host.
func (c *Cell) giveUpStart(r *run) {
	c.stopRun(r)
	c.stopGang(r)
}

// handleRefusal handles a start that the host rejected.
func (c *Cell) handleRefusal(r *run, err error) {
	h := r.host
	switch {
	case errorx.IsOfType(err, fold.HostUnhealthy), errorx.IsOfType(err, fold.HostFull):
		h.health.quarantinedUntil = max(h.health.quarantinedUntil, c.now.Add(unhealthyTime))
	case errorx.IsOfType(err, fold.Unavailable):
		h.starts.shrink(c.now)
	case errorx.IsOfType(err, fold.HostRestarted):
		// Nothing is sent to the host until it has reported its new incarnation.
		h.enforcesFence = false
		c.hostsChanged = true
	case errorx.IsOfType(err, fold.BadTicket):
		a := &r.task.part.advice
		a.expiredTickets++
		if held, ok := a.tickets[h]; ok {
			c.log.Info("A host refused a ticket.", "task", r.key().task, "run", r.number, "host", h.info.ID, "left", held.expires.Sub(c.now).String())
		}
		delete(a.tickets, h)
	}
	if r.tries > 1 || errorx.IsOfType(err, fold.HostRestarted) {
		// An earlier order for this run may have been carried out or may still arrive.
		c.giveUpStart(r)
		return
	}
	c.log.Info("Host refused to start a run.", "task", r.key().task, "run", r.number, "host", h.info.ID, "error", err)
	c.detach(r)
	c.stopGang(r)
}

// resendStops repeats orders to stop that were not carried out.
func (c *Cell) resendStops() {
	for _, id := range slices.Sorted(maps.Keys(c.hostsWithForbiddenStarts)) {
		h, ok := c.hosts[id]
		if !ok || len(h.forbiddenStarts) == 0 {
			delete(c.hostsWithForbiddenStarts, id)
			continue
		}
		c.forbidStarts(h)
	}
	c.pendingStops = slices.DeleteFunc(c.pendingStops, func(r *run) bool { return r.detached })
	for _, r := range c.pendingStops {
		if r.phase == phasePlanned {
			continue
		}
		waited := c.now.Sub(r.stopSentAt)
		if waited > stopRetryDelay+c.times.Stop || r.stopAckedAt == 0 && waited > stopRetryDelay {
			c.sendStop(r)
		}
	}
}
