package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// orderTime bounds a call to a host; hosts answer within milliseconds, and a start can be repeated safely.
const orderTime = 200 * time.Millisecond

// start sends a start once the host's clock is known, by which its lease is counted.
func (r *Relay) start(s Start) {
	sent := r.parts.Clock.Now()
	err := r.call(s.Host, func(ctx context.Context, c *contact) error {
		select {
		case <-c.heard:
		case <-ctx.Done():
			return fold.Refuse(fold.Unavailable, "wait for the host", "the host %s has not answered this relay yet", s.Host)
		}
		if !r.parts.Permitted() {
			// The process may have stood still; a later owner counts on no new leases.
			return fold.Refuse(fold.Unavailable, "wait for the table", "the permission of the owner was not renewed in time")
		}
		host, until, err := r.startLease(c)
		if err != nil {
			return err
		}
		return r.parts.Runner.Start(ctx, host, fold.StartRequest{Task: s.Task, Run: s.Run, Spec: s.Spec, LeaseEnd: until, Fence: r.parts.Epoch, Checkpoint: s.Saved, Ticket: s.Ticket})
	})
	r.parts.Meter.Start(r.parts.Clock.Now().Sub(sent), err)
	r.result(s.Number, err)
}

// startLease returns the lease for a start. A host that does not answer gets none: the owner counts on its leases to end.
func (r *Relay) startLease(c *contact) (fold.Host, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.silent {
		return fold.Host{}, 0, fold.Refuse(fold.Unavailable, "use another host", "the host %s does not answer", c.info.ID)
	}
	return c.info.Host(), c.lease.Renew(r.parts.Clock.Now(), r.parts.Lease), nil
}

func (r *Relay) stopRun(s Stop) {
	r.result(s.Number, r.call(s.Host, func(ctx context.Context, c *contact) error {
		return r.parts.Runner.Stop(ctx, r.host(c), s.Task, s.Run, r.parts.Epoch)
	}))
}

func (r *Relay) pace(p Pace) {
	r.result(p.Number, r.call(p.Host, func(ctx context.Context, c *contact) error {
		return r.parts.Runner.Pace(ctx, r.host(c), p.Task, p.Run, p.Percent, r.parts.Epoch)
	}))
}

func (r *Relay) host(c *contact) fold.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.info.Host()
}

// call makes a bounded call to a host that the relay looks after.
func (r *Relay) call(id string, fn func(context.Context, *contact) error) error {
	r.mu.Lock()
	c, ok := r.contacts[id]
	r.mu.Unlock()
	if !ok {
		return fold.Refuse(fold.Unavailable, "send the order again", "this relay does not look after the host %s", id)
	}
	ctx, cancel := context.WithTimeout(r.ctx, orderTime)
	defer cancel()
	err := fn(ctx, c)
	if errorx.IsOfType(err, fold.HostFenced) {
		r.mu.Lock()
		r.fenced = true
		r.mu.Unlock()
		r.poke()
	}
	return err
}
