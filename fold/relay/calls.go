package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

const (
	// callTimeout limits a call to a host. Hosts answer within milliseconds, and starts can be repeated safely.
	callTimeout = 200 * time.Millisecond
	// permissionCheckInterval is the time between two checks whether a start is permitted.
	permissionCheckInterval = 10 * time.Millisecond
)

// startRun sends a start to a host. It first waits for the host's clock, which the lease refers to.
func (r *Relay) startRun(s Start, incarnation int64) {
	sent := r.parts.Clock.Now()
	err := r.callHost(s.Host, func(ctx context.Context, c *contact) error {
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
		return r.parts.Runner.Start(ctx, host, fold.StartRequest{Task: s.Task, Run: s.Run, Spec: s.Spec, LeaseEnd: until, Fence: r.parts.Epoch, Checkpoint: s.Saved, Ticket: s.Ticket})
	})
	r.parts.Meter.Start(r.parts.Clock.Now().Sub(sent), err)
	r.recordResult(s.Number, err)
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

// callHost calls fn for a supervised host with a context that limits the call.
func (r *Relay) callHost(id string, fn func(context.Context, *contact) error) error {
	r.mu.Lock()
	c, ok := r.contacts[id]
	limit := callTimeout
	if ok {
		limit += c.usualDelay
	}
	r.mu.Unlock()
	if !ok {
		return fold.Refuse(fold.Unavailable, "send the order again", "this relay does not supervise the host %s", id)
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
