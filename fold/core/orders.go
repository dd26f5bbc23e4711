package core

import (
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Start is an order to start a run; its record is durable. The lease and the fence are added when it is sent.
type Start struct {
	Host fold.Host
	Req  fold.StartRequest
	// Job is the id of the job, whose text the request carries.
	Job string
}

// Stop is an order to stop a run.
type Stop struct {
	Host fold.Host
	Task string
	Run  int
}

// Pace is an order to let a run work at a share of its speed, in percent.
type Pace struct {
	Host    fold.Host
	Task    string
	Run     int
	Percent int
}

// Ack says that the ends of a host are recorded up to a number.
type Ack struct {
	Host        string
	Incarnation int64
	Number      int64
}

// Wait changes how long a host may wait for an end before it reports.
type Wait struct {
	Host    string
	MaxWait time.Duration
}

// Orders is what the driver is to send.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Acks   []Ack
	Waits  []Wait
}

const (
	// maxTries is how often a start without an answer is sent before the run is given up.
	maxTries = 3
	// sickTime closes a host that says that it is unhealthy, or that has less room than it declares.
	sickTime = time.Second
	// stopAgain is when an order to stop without an answer is repeated; a host stops a run within the time of the settings.
	stopAgain = 500 * time.Millisecond
)

// Orders returns what has to be sent now.
func (c *Cell) Orders() Orders {
	for _, h := range c.touched {
		h.touched = false
		if wait := c.patience(h); wait != h.wait {
			h.wait = wait
			c.orders.Waits = append(c.orders.Waits, Wait{Host: h.info.ID, MaxWait: wait})
		}
	}
	c.touched = c.touched[:0]
	out := c.orders
	c.orders = Orders{}
	return out
}

// order sends the start of a run.
func (c *Cell) order(r *run) {
	r.tries++
	r.ordered = c.now
	c.stats.Starts++
	p := r.task.part
	c.orders.Starts = append(c.orders.Starts, Start{Host: r.host.info, Job: p.job.spec.ID, Req: fold.StartRequest{
		Task: r.key().task, Run: r.number, Spec: p.job.spec.Spec, Checkpoint: r.task.saved, Ticket: r.ticket,
	}})
}

// stop ends a run; its capacity is free once the host has told of the end.
func (c *Cell) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	c.stops = append(c.stops, r)
	c.stats.Stops++
	c.mark(r.task.part.job)
	if r.phase != phasePlanned {
		c.sendStop(r)
	}
}

func (c *Cell) sendStop(r *run) {
	r.stopAsked = c.now
	c.orders.Stops = append(c.orders.Stops, Stop{Host: r.host.info, Task: r.key().task, Run: r.number})
}

// ApplyStop takes the answer to an order to stop; a host that calls the run old has stopped it before.
func (c *Cell) ApplyStop(s Stop, err error) {
	h, ok := c.hosts[s.Host.ID]
	if !ok || h.info.Incarnation != s.Host.Incarnation || err != nil && !errorx.IsOfType(err, fold.RunStale) {
		return
	}
	key := runKey{task: s.Task, run: s.Run}
	if r, ok := h.runs[key]; ok && r.stopAcked == 0 {
		r.stopAcked = c.now
	}
	h.barred = slices.DeleteFunc(h.barred, func(u unsureStart) bool { return u.key == key })
}

// bar tells a new life of a host to refuse starts that were sent to an earlier one.
func (c *Cell) bar(h *host) {
	h.barred = slices.DeleteFunc(h.barred, func(u unsureStart) bool { return c.now.Sub(u.sent) >= lateOrder })
	for i := range h.barred {
		u := &h.barred[i]
		if h.adopted && (u.asked == 0 || c.now.Sub(u.asked) > stopAgain) {
			u.asked = c.now
			c.orders.Stops = append(c.orders.Stops, Stop{Host: h.info, Task: u.key.task, Run: u.key.run})
		}
	}
}

// ApplyStart takes the answer to an order to start.
func (c *Cell) ApplyStart(s Start, err error) {
	h, ok := c.hosts[s.Host.ID]
	if !ok || h.info.Incarnation != s.Host.Incarnation {
		return
	}
	key := runKey{task: s.Req.Task, run: s.Req.Run}
	if err != nil && !fold.DidNotRun(err) {
		h.unsure = slices.DeleteFunc(h.unsure, func(u unsureStart) bool { return c.now.Sub(u.sent) >= lateOrder })
		h.unsure = append(h.unsure, unsureStart{key: key, sent: c.now})
	}
	r, ok := h.runs[key]
	if !ok || r.phase == phaseRunning {
		return
	}
	if err == nil {
		r.phase, r.began, r.moved = phaseRunning, c.now, c.now
		return
	}
	c.stats.Refused++
	c.log.Debug("Start failed.", "task", s.Req.Task, "run", s.Req.Run, "host", h.info.ID, "try", r.tries, "error", err)
	switch {
	case r.stopping, errorx.IsOfType(err, fold.HostFenced):
		return
	case errorx.IsOfType(err, fold.OrderLate):
		c.retry(r)
	case !fold.DidNotRun(err):
		c.retry(r)
	default:
		c.refused(r, err)
	}
}

// retry sends a start again: the host answers the same for a run that is there already.
func (c *Cell) retry(r *run) {
	if r.tries < maxTries {
		c.order(r)
		return
	}
	c.giveUp(r)
}

// giveUp gives up a run whose start may yet arrive.
func (c *Cell) giveUp(r *run) {
	c.stop(r)
	c.breakGang(r)
}

// refused handles a start that the host has rejected.
func (c *Cell) refused(r *run, err error) {
	h := r.host
	switch {
	case errorx.IsOfType(err, fold.HostUnhealthy), errorx.IsOfType(err, fold.HostFull):
		h.health.until = max(h.health.until, c.now.Add(sickTime))
	case errorx.IsOfType(err, fold.HostRestarted):
		// Nothing is sent there until the host has told who it is.
		h.adopted = false
		c.moved = true
	case errorx.IsOfType(err, fold.BadTicket):
		delete(r.task.part.advice.grants, h)
	}
	if r.tries > 1 || errorx.IsOfType(err, fold.HostRestarted) {
		// An earlier order of the same run may have been carried out, or may yet be.
		c.giveUp(r)
		return
	}
	c.log.Info("Start refused.", "task", r.key().task, "run", r.number, "host", h.info.ID, "error", err)
	c.drop(r)
	c.breakGang(r)
}

// resend repeats orders to stop that were not carried out.
func (c *Cell) resend() {
	for _, id := range slices.Sorted(maps.Keys(c.barring)) {
		h, ok := c.hosts[id]
		if !ok || len(h.barred) == 0 {
			delete(c.barring, id)
			continue
		}
		c.bar(h)
	}
	c.stops = slices.DeleteFunc(c.stops, func(r *run) bool { return r.gone })
	for _, r := range c.stops {
		if r.phase == phasePlanned {
			continue
		}
		waited := c.now.Sub(r.stopAsked)
		if waited > stopAgain+c.times.Stop || r.stopAcked == 0 && waited > stopAgain {
			c.sendStop(r)
		}
	}
}
