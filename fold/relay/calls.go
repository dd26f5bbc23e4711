package relay

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

const (
	// callTimeout limits a call to a host. Hosts answer within milliseconds, and starts can be repeated safely.
	callTimeout = 200 * time.Millisecond
	// permissionCheckInterval is the time between two checks whether a start is permitted.
	permissionCheckInterval = 10 * time.Millisecond
	// maxStarting is how many starts are sent to a host at a time, which is the number of connections for orders (package conns).
	maxStarting = 2
	// startWaitFactor times the usual delay of answers is how long a start waits until it can be sent, at least callTimeout and at most
	// startWait. With maxOrderAge this bounds the age of a start.
	startWaitFactor = 4
	startWait       = time.Second
	// orderDelayWeight is the weight of an answer in commonOrderDelay.
	orderDelayWeight = 0.05
	// maxOrderDelay limits the delay that is expected of the answer to an order.
	maxOrderDelay = 2 * time.Second
	// startRetryDelay is the delay before a start that could not be sent in time is tried again.
	startRetryDelay = 20 * time.Millisecond
)

// startRun sends a start to a host, after the starts before it. A start that certainly was not sent, because no connection was free or
// open in time, is tried again: if the owner planned the run anew instead, a busy host would only get more calls.
func (r *Relay) startRun(s Start, incarnation int64) {
	received := r.parts.Clock.Now()
	err := r.takeTurn(s, func(patience time.Duration) error {
		for {
			err := r.tryStart(s, incarnation)
			waited := r.parts.Clock.Now().Sub(received)
			if !errorx.IsOfType(err, fold.Unavailable) || !errors.Is(err, context.DeadlineExceeded) || waited >= patience {
				return err
			}
			r.pause(r.ctx, startRetryDelay)
		}
	})
	r.parts.Meter.Start(r.parts.Clock.Now().Sub(received), err)
	r.recordResult(s.Number, err)
}

// takeTurn calls fn when fewer than maxStarting starts are being sent to the host. It refuses a start at once whose turn would come
// after the patience that it passes to fn.
func (r *Relay) takeTurn(s Start, fn func(patience time.Duration) error) error {
	r.mu.Lock()
	c, ok := r.contacts[s.Host]
	if !ok {
		r.mu.Unlock()
		return r.notSupervised(s.Host)
	}
	patience := r.startPatience(c)
	expected := time.Duration(c.waitingStarts/maxStarting) * r.orderDelay(c)
	if expected > patience {
		r.mu.Unlock()
		return fold.Refuse(fold.Unavailable, "use another host", "the starts that wait for the host %s take %s", s.Host, expected)
	}
	c.waitingStarts++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		c.waitingStarts--
		r.mu.Unlock()
	}()
	select {
	case c.starting <- struct{}{}:
	case <-r.parts.Clock.After(patience):
		return fold.Refuse(fold.Unavailable, "send the order again", "too many starts wait for the host %s", s.Host)
	case <-r.ctx.Done():
		return fold.Refuse(fold.Unavailable, "send the order again", "the relay is closed")
	}
	defer func() { <-c.starting }()
	return fn(patience)
}

// tryStart sends a start to a host. It first waits for the host's clock, which the lease refers to.
func (r *Relay) tryStart(s Start, incarnation int64) error {
	return r.callHost(s.Host, func(ctx context.Context, c *contact) error {
		select {
		case <-c.answered:
		case <-ctx.Done():
			return fold.Refuse(fold.Unavailable, "wait for the host", "the host %s has not answered this relay yet", s.Host)
		}
		now, permitted := r.awaitPermission(ctx)
		if !permitted {
			// The process may have been suspended. A later owner assumes that no new leases were granted meanwhile.
			return fold.Refuse(fold.Unavailable, "wait for the table", "the owner's permission to start runs was not renewed in time")
		}
		host, until, err := r.leaseForStart(c, incarnation, now)
		if err != nil {
			return err
		}
		sent := r.parts.Clock.Now()
		err = r.parts.Runner.Start(ctx, host, fold.StartRequest{Task: s.Task, Run: s.Run, Spec: s.Spec, LeaseEnd: until, Fence: r.parts.Epoch, Checkpoint: s.Saved, Ticket: s.Ticket})
		r.recordOrderDelay(r.parts.Clock.Now().Sub(sent))
		return err
	})
}

// recordOrderDelay records how long a host took to answer a start, or that it did not answer in that time.
func (r *Relay) recordOrderDelay(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commonOrderDelay += time.Duration(orderDelayWeight * float64(min(took, maxOrderDelay)-r.commonOrderDelay))
}

// orderDelay returns the delay to expect of the answer to an order. A missing answer of a single host changes it little. The caller holds
// the lock.
func (r *Relay) orderDelay(c *contact) time.Duration {
	return max(c.usualDelay, r.commonOrderDelay)
}

// startPatience returns how long a start may wait until it is sent. The caller holds the lock.
func (r *Relay) startPatience(c *contact) time.Duration {
	return max(callTimeout, min(startWait, startWaitFactor*r.orderDelay(c)))
}

// notSupervised is the refusal of an order to a host that this relay does not supervise.
func (r *Relay) notSupervised(host string) error {
	return fold.Refuse(fold.Unavailable, "send the order again", "this relay does not supervise the host %s", host)
}

// awaitPermission waits until runs may be started or ctx ends. It returns a time before the permission was checked. An answer of
// the owner that renews the permission may come a little later than the start.
func (r *Relay) awaitPermission(ctx context.Context) (now fold.Instant, permitted bool) {
	for {
		now = r.parts.Clock.Now()
		if r.parts.Permitted() {
			return now, true
		}
		r.pause(ctx, permissionCheckInterval)
		if ctx.Err() != nil {
			return now, false
		}
	}
}

// leaseForStart returns the lease for a start that was permitted at the given time or later. A silent or released host gets
// none, because the owner relies on its leases ending. Nor does another incarnation than the start is meant for: it does not know the
// runs and fences of that one.
func (r *Relay) leaseForStart(c *contact, incarnation int64, now fold.Instant) (fold.Host, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contacts[c.info.ID] != c {
		return fold.Host{}, 0, fold.Refuse(fold.Unavailable, "send the order again", "this relay no longer supervises the host %s", c.info.ID)
	}
	if c.silent {
		return fold.Host{}, 0, fold.Refuse(fold.Unavailable, "use another host", "the host %s does not answer", c.info.ID)
	}
	if c.incarnation != incarnation {
		return fold.Host{}, 0, fold.Refuse(fold.HostRestarted, "wait for the report of the host", "the host %s has started again since the start was ordered", c.info.ID)
	}
	return c.info.host(incarnation), c.lease.Renew(now, r.parts.Lease), nil
}

func (r *Relay) stopRun(s Stop, incarnation int64) {
	r.recordResult(s.Number, r.callHost(s.Host, func(ctx context.Context, c *contact) error {
		return r.parts.Runner.Stop(ctx, r.hostOf(c, incarnation), s.Task, s.Run, r.parts.Epoch)
	}))
}

func (r *Relay) paceRun(p Pace, incarnation int64) {
	r.recordResult(p.Number, r.callHost(p.Host, func(ctx context.Context, c *contact) error {
		return r.parts.Runner.Pace(ctx, r.hostOf(c, incarnation), p.Task, p.Run, p.Percent, r.parts.Epoch)
	}))
}

// hostOf returns an incarnation of a supervised host.
func (r *Relay) hostOf(c *contact, incarnation int64) fold.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.info.host(incarnation)
}

// callHost calls fn for a supervised host with a context that limits the call. The limit allows for the host's usual delay.
func (r *Relay) callHost(id string, fn func(context.Context, *contact) error) error {
	r.mu.Lock()
	c, ok := r.contacts[id]
	limit := callTimeout
	if ok {
		limit += r.orderDelay(c)
	}
	r.mu.Unlock()
	if !ok {
		return r.notSupervised(id)
	}
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	err := fn(ctx, c)
	if errorx.IsOfType(err, fold.HostFenced) {
		r.mu.Lock()
		r.fenced = true
		r.mu.Unlock()
		r.notify()
	}
	return err
}
