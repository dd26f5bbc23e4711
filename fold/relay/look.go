package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

const (
	// holdTime bounds a look at a host beyond the wait that was asked for: an answer that is lost holds up what waits for
	// the ends in it.
	holdTime = 250 * time.Millisecond
	// maxLost is how many looks in a row may go unanswered before the host counts as silent; single answers get lost.
	maxLost = 1
	// holdPause separates looks at a host that does not answer.
	holdPause = 250 * time.Millisecond
	// recordWait bounds the wait for the record of ends between two looks at a host.
	recordWait = 300 * time.Millisecond
)

// contact is a host that the relay looks after; the lock of the relay guards it.
type contact struct {
	info   Contact
	lease  lease.Tracker
	cancel context.CancelFunc
	// born is the life that last answered, seen the highest number of its ends, acked the highest one that is recorded.
	born, seen, acked int64
	silent            bool
	// heard is closed with the first answer; recorded is closed and replaced with each acknowledgement.
	heard, recorded chan struct{}
}

// contact starts to look after a host, or changes a known one; the caller holds the lock.
func (r *Relay) contact(info Contact) {
	c, ok := r.contacts[info.ID]
	if ok {
		c.info = info
		c.ack(info.Incarnation, info.Acked)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	c = &contact{info: info, cancel: cancel, heard: make(chan struct{}), recorded: make(chan struct{})}
	c.ack(info.Incarnation, info.Acked)
	r.contacts[info.ID] = c
	r.spawn(func() { r.look(ctx, c) })
}

// ack notes that ends of a life are recorded.
func (c *contact) ack(born, number int64) {
	if c.born == 0 {
		// The first answer tells whether this life still runs.
		c.born = born
	}
	if born != c.born || number <= c.acked {
		return
	}
	c.acked = number
	close(c.recorded)
	c.recorded = make(chan struct{})
}

// look reads the reports of a host, and renews its leases, until ctx ends.
func (r *Relay) look(ctx context.Context, c *contact) {
	lost := 0
	for ctx.Err() == nil {
		host, req := r.request(c, lost)
		stamp, sent := r.parts.OwnerTime(), r.parts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, req.Wait+holdTime)
		reply, err := r.parts.Runner.Hold(call, host, req)
		cancel()
		r.parts.Meter.Hold(r.parts.Clock.Now().Sub(sent), err)
		if err == nil {
			lost = 0
			r.heard(c, stamp, reply)
			r.awaitRecord(ctx, c)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errorx.IsOfType(err, fold.HostFenced) {
			r.mu.Lock()
			r.fenced = true
			r.mu.Unlock()
			r.poke()
			return
		}
		if lost++; lost > maxLost {
			r.silence(c, err)
			r.pause(ctx, holdPause)
		}
	}
}

// request returns the next look at a host. One that does not answer may still receive renewals; without them its leases
// end, and its tasks can go elsewhere.
func (r *Relay) request(c *contact, lost int) (fold.Host, fold.HoldRequest) {
	may := r.parts.Permitted()
	r.mu.Lock()
	defer r.mu.Unlock()
	req := fold.HoldRequest{Fence: r.parts.Epoch}
	if may && !c.silent {
		req.LeaseEnd = c.lease.Renew(r.parts.Clock.Now(), r.parts.Lease)
	}
	if lost == 0 && c.lease.ClockKnown() {
		req.Wait = c.info.MaxWait
	}
	if lost == 0 {
		// After a look without an answer another life may answer, whose ends are numbered anew.
		req.Acked = c.acked
	}
	return c.info.Host(), req
}

// heard takes a host's answer.
func (r *Relay) heard(c *contact, stamp fold.Instant, reply fold.HoldReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contacts[c.info.ID] != c {
		return
	}
	if reply.Incarnation != c.born {
		c.born, c.seen, c.acked, c.lease = reply.Incarnation, 0, 0, lease.Tracker{}
	}
	now := r.parts.Clock.Now()
	if !c.lease.ClockKnown() {
		defer c.open()
	}
	c.silent = false
	c.lease.RecordClock(max(1, reply.Clock), now)
	for _, e := range reply.Ends {
		c.seen = max(c.seen, e.Number)
	}
	r.reports[c.info.ID] = Report{Host: c.info.ID, Sent: stamp, Reply: reply, LeaseLeft: c.lease.Remaining(now)}
	delete(r.silences, c.info.ID)
	r.poke()
}

// open lets orders go that wait for the host's clock.
func (c *contact) open() {
	select {
	case <-c.heard:
	default:
		close(c.heard)
	}
}

// silence notes that a host does not answer.
func (r *Relay) silence(c *contact, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.silent || r.contacts[c.info.ID] != c {
		return
	}
	c.silent = true
	r.log.Debug("No answer of a host.", "host", c.info.ID, "error", err)
	r.silences[c.info.ID] = Silence{Host: c.info.ID, Incarnation: c.info.Incarnation, LeaseLeft: c.lease.Remaining(r.parts.Clock.Now())}
	r.poke()
}

// awaitRecord waits until the ends that the host has told are recorded, because it repeats them at once before; without
// a record it goes on after a while, so that leases are renewed.
func (r *Relay) awaitRecord(ctx context.Context, c *contact) {
	limit := r.parts.Clock.After(recordWait)
	for {
		r.mu.Lock()
		settled, recorded := c.acked >= c.seen, c.recorded
		r.mu.Unlock()
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

func (r *Relay) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.parts.Clock.After(wait):
	}
}
