package drive

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

const (
	// orderTime bounds a call to a host; hosts answer within milliseconds, and a start can be repeated safely.
	orderTime = 200 * time.Millisecond
	// holdTime bounds a look at a host beyond the wait that was asked for: an answer that is lost holds up what waits for
	// the ends in it.
	holdTime = 250 * time.Millisecond
	// maxLost is how many looks in a row may go unanswered before the host counts as silent; single answers get lost.
	maxLost = 1
	// holdPause separates looks at a host that does not answer.
	holdPause = 250 * time.Millisecond
	// recordWait bounds the wait for the record of ends between two looks at a host.
	recordWait = 300 * time.Millisecond
	// idlePause separates checks whether a host without an address is back.
	idlePause = 500 * time.Millisecond
)

// send carries orders out, each on its own, and gives the answers to the cell.
func (d *Driver) send(ctx context.Context, orders core.Orders) {
	for _, s := range orders.Starts {
		d.spawn(func() { d.start(ctx, s) })
	}
	for _, s := range orders.Stops {
		d.spawn(func() {
			err := d.call(ctx, func(ctx context.Context) error {
				return d.parts.Runner.Stop(ctx, s.Host, s.Task, s.Run, d.term.Epoch())
			})
			d.with(func(c *core.Cell) { c.Stopped(s, err) })
		})
	}
	for _, p := range orders.Paces {
		d.spawn(func() {
			err := d.call(ctx, func(ctx context.Context) error {
				return d.parts.Runner.Pace(ctx, p.Host, p.Task, p.Run, p.Percent, d.term.Epoch())
			})
			d.with(func(c *core.Cell) { c.Paced(p, err) })
		})
	}
}

func (d *Driver) start(ctx context.Context, s core.Start) {
	s.Req.Fence = d.term.Epoch()
	sent := d.parts.Clock.Now()
	err := d.call(ctx, func(ctx context.Context) error {
		if !d.mayRenew() {
			// The process may have stood still; a later owner counts on no new leases.
			return fold.Refuse(fold.Unavailable, "wait for the table", "the ownership was not renewed in time")
		}
		return d.parts.Runner.Start(ctx, s.Host, s.Req)
	})
	d.parts.Meter.Start(d.parts.Clock.Now().Sub(sent), err)
	var orders core.Orders
	d.with(func(c *core.Cell) {
		c.Started(s, err)
		orders = c.Orders()
	})
	d.send(ctx, orders)
	if err != nil {
		poke(d.wake)
	}
}

func (d *Driver) call(ctx context.Context, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	err := fn(ctx)
	d.fenced(err)
	return err
}

// hold renews the leases of one host and reads its reports until the host is gone.
func (d *Driver) hold(ctx context.Context, id string) {
	lost := 0
	for ctx.Err() == nil {
		var host fold.Host
		var req fold.HoldRequest
		var ok bool
		d.with(func(c *core.Cell) { host, req, ok = c.Hold(id, d.term.Epoch(), d.renewable()) })
		if !ok {
			if !d.pause(ctx, idlePause) {
				return
			}
			continue
		}
		if lost > 0 {
			// Another life may answer under the id, whose ends are numbered anew: nothing is acknowledged until it has told.
			req.Wait, req.Acked = 0, 0
		}
		sent := d.parts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, req.Wait+holdTime)
		reply, err := d.parts.Runner.Hold(call, host, req)
		cancel()
		d.parts.Meter.Hold(d.parts.Clock.Now().Sub(sent), err)
		if err != nil {
			if ctx.Err() != nil || d.fenced(err) {
				return
			}
			if lost++; lost > maxLost {
				d.update(func(c *core.Cell) { c.HoldFailed(id, host.Born) })
				d.pause(ctx, holdPause)
			}
			continue
		}
		lost = 0
		d.update(func(c *core.Cell) { c.Report(id, sent, reply) })
		d.awaitRecord(ctx, id)
	}
}

// awaitRecord waits until the ends that the host has told are recorded, because it repeats them at once before; without
// a record it goes on after a while, so that leases are renewed.
func (d *Driver) awaitRecord(ctx context.Context, id string) {
	limit := d.parts.Clock.After(recordWait)
	for {
		var settled bool
		var recorded chan struct{}
		d.with(func(c *core.Cell) { settled, recorded = c.Settled(id), d.recorded })
		if settled {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-recorded:
		}
	}
}
