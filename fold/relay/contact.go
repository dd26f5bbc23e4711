package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

const (
	// holdTimeout limits a Hold call in addition to the requested wait and the usual delay of the host's answers. A lost answer
	// delays everything that waits for the run ends in it.
	holdTimeout = 250 * time.Millisecond
	// maxHoldTimeout is the upper bound of the limit, without the wait. The limit doubles with each unanswered call to a silent
	// host, so that a host whose answers have become slow is noticed.
	maxHoldTimeout = 1500 * time.Millisecond
	// delayDecay is the share by which the usual delay of a host's answers approaches a shorter one.
	delayDecay = 0.125
	// maxUnanswered is how many consecutive Hold calls may get no answer before the host counts as silent; single answers
	// get lost.
	maxUnanswered = 1
	// holdRetryDelay is the delay between Hold calls to a silent host.
	holdRetryDelay = 250 * time.Millisecond
	// maxAckWait limits the wait for the acknowledgement of run ends between two Hold calls.
	maxAckWait = 300 * time.Millisecond
	// maxBlindAck is how long after an answer ends are acknowledged. If the host has started again since, the acknowledgement
	// would delete the ends of runs that began there: they are numbered anew. It is longer than maxAckWait, because a check of
	// the incarnation after each wait would add a call for most ends.
	maxBlindAck = 350 * time.Millisecond
)

// contact is a supervised host. The lock of the relay guards it.
type contact struct {
	info   Contact
	lease  lease.Tracker
	cancel context.CancelFunc
	// incarnation is the one that last answered. lastEnd is the highest number of its run ends, and acked the highest one
	// that is recorded.
	incarnation, lastEnd, acked int64
	silent                      bool
	// usualDelay is how long the host's answers took recently, without the wait that was asked for. It follows a longer delay
	// at once and a shorter one slowly.
	usualDelay time.Duration
	// answeredAt is when the host last answered, or 0. ackSent is the highest number of an end that was acknowledged to this
	// incarnation.
	answeredAt fold.Instant
	ackSent    int64
	// answered is closed with the first answer. ackChanged is closed and replaced with each acknowledgement.
	answered, ackChanged chan struct{}
	// starting holds an element for each start that is being sent, and waitingStarts counts these and the ones that wait.
	starting      chan struct{}
	waitingStarts int
}

// addContact starts to supervise a host, or updates a supervised one. The caller holds the lock.
func (r *Relay) addContact(info Contact) {
	c, ok := r.contacts[info.ID]
	if ok {
		c.info = info
		c.acknowledge(info.Incarnation, info.Acked)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	c = &contact{info: info, cancel: cancel, answered: make(chan struct{}), ackChanged: make(chan struct{}), starting: make(chan struct{}, maxStarting)}
	c.acknowledge(info.Incarnation, info.Acked)
	r.contacts[info.ID] = c
	r.spawn(func() { r.supervise(ctx, c) })
}

// acknowledge records that run ends of an incarnation are durably recorded, up to a number.
func (c *contact) acknowledge(incarnation, number int64) {
	if c.incarnation == 0 {
		// The first answer shows whether the host still runs in this incarnation.
		c.incarnation = incarnation
	}
	if incarnation != c.incarnation || number <= c.acked {
		return
	}
	c.acked = number
	close(c.ackChanged)
	c.ackChanged = make(chan struct{})
}

// supervise reads the reports of a host and renews its leases until ctx ends.
func (r *Relay) supervise(ctx context.Context, c *contact) {
	unanswered := 0
	for ctx.Err() == nil {
		host, req := r.holdRequest(c, unanswered)
		ownerTime, sent := r.parts.OwnerTime(), r.parts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, req.Wait+r.holdTimeout(c, unanswered))
		reply, err := r.parts.Runner.Hold(call, host, req)
		cancel()
		took := r.parts.Clock.Now().Sub(sent)
		r.parts.Meter.Hold(took, err)
		if err == nil {
			unanswered = 0
			r.recordDelay(c, took, req.Wait)
			r.handleReply(c, ownerTime, reply)
			r.awaitAcks(ctx, c)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errorx.IsOfType(err, fold.HostFenced) {
			r.mu.Lock()
			r.fenced = true
			r.mu.Unlock()
			r.notify()
			return
		}
		if unanswered++; unanswered > maxUnanswered {
			r.recordSilence(c, err)
			r.pause(ctx, holdRetryDelay)
		}
	}
}

// holdTimeout returns the limit of a Hold call, without the wait, after a number of unanswered ones.
func (r *Relay) holdTimeout(c *contact, unanswered int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	doublings := min(max(0, unanswered-maxUnanswered), maxHoldDoublings)
	return min((holdTimeout+c.usualDelay)<<doublings, maxHoldTimeout)
}

// maxHoldDoublings is the number of doublings after which holdTimeout exceeds maxHoldTimeout.
const maxHoldDoublings = 3

// recordDelay records how long a host took to answer a call that asked it to wait.
func (r *Relay) recordDelay(c *contact, took, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := took - wait
	if delay < 0 {
		// The host has answered early because of an end, so the delay is not known, but at most the time that the call took,
		// which holdTimeout covers in part.
		delay = min(max(0, took-holdTimeout), c.usualDelay)
	}
	if delay < c.usualDelay {
		delay = c.usualDelay - time.Duration(delayDecay*float64(c.usualDelay-delay))
	}
	c.usualDelay = delay
}

// holdRequest returns the next Hold call to a host. The leases of a silent host, which may still receive requests, and of a
// released one are not renewed: they have to end before its tasks can run elsewhere. The lease begins before the permission is
// checked, so a process that is suspended in between grants none that the permission does not cover. The lease and the
// acknowledgement are for the incarnation that answered last, to whose clock and ends they refer.
func (r *Relay) holdRequest(c *contact, unanswered int) (fold.Host, fold.HoldRequest) {
	now := r.parts.Clock.Now()
	permitted := r.parts.Permitted()
	r.mu.Lock()
	defer r.mu.Unlock()
	req := fold.HoldRequest{Fence: r.parts.Epoch}
	if permitted && !c.silent && r.contacts[c.info.ID] == c {
		req.LeaseEnd = c.lease.Renew(now, r.parts.Lease)
	}
	if unanswered == 0 && c.lease.ClockKnown() {
		req.Wait = c.info.MaxWait
	}
	// After an unanswered call, or some time after an answer, the host may answer in another incarnation. A call without an
	// acknowledgement then returns at once, if ends wait for one, and shows the incarnation.
	if unanswered == 0 && c.answeredAt != 0 && r.parts.Clock.Now().Sub(c.answeredAt) <= maxBlindAck {
		req.Acked, c.ackSent = c.acked, c.acked
	}
	return c.info.host(c.incarnation), req
}

// handleReply records a host's answer.
func (r *Relay) handleReply(c *contact, ownerTime fold.Instant, reply fold.HoldReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contacts[c.info.ID] != c {
		return
	}
	if reply.Incarnation != c.incarnation {
		c.incarnation, c.lastEnd, c.acked, c.ackSent, c.lease = reply.Incarnation, 0, 0, 0, lease.Tracker{}
	}
	now := r.parts.Clock.Now()
	if !c.lease.ClockKnown() {
		defer c.releaseStarts()
	}
	c.silent, c.answeredAt = false, now
	c.lease.RecordClock(max(1, reply.Clock), now)
	for _, e := range reply.Ends {
		c.lastEnd = max(c.lastEnd, e.Number)
	}
	r.reports[c.info.ID] = Report{Host: c.info.ID, Sent: ownerTime, Reply: reply, LeaseLeft: c.lease.Remaining(now)}
	delete(r.silences, c.info.ID)
	r.notify()
}

// releaseStarts lets starts proceed that wait for the host's clock.
func (c *contact) releaseStarts() {
	select {
	case <-c.answered:
	default:
		close(c.answered)
	}
}

// recordSilence records that a host does not answer.
func (r *Relay) recordSilence(c *contact, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.silent || r.contacts[c.info.ID] != c {
		return
	}
	c.silent = true
	r.log.Debug("A host does not answer; its leases are no longer renewed.", "host", c.info.ID, "error", err)
	// The incarnation that answered last may be newer than the one that the owner has sent.
	r.silences[c.info.ID] = Silence{Host: c.info.ID, Incarnation: max(c.info.Incarnation, c.incarnation), LeaseLeft: c.lease.Remaining(r.parts.Clock.Now())}
	r.notify()
}

// awaitAcks waits until the reported run ends are recorded, because the host would repeat them at once. It does not wait if
// some are recorded that the last call did not acknowledge. It waits for a limited time, so that leases are still renewed.
func (r *Relay) awaitAcks(ctx context.Context, c *contact) {
	limit := r.parts.Clock.After(maxAckWait)
	r.mu.Lock()
	unsent := c.acked > c.ackSent
	r.mu.Unlock()
	for !unsent {
		r.mu.Lock()
		settled, ackChanged := c.acked >= c.lastEnd, c.ackChanged
		r.mu.Unlock()
		if settled {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-ackChanged:
		}
	}
}

func (r *Relay) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.parts.Clock.After(wait):
	}
}
