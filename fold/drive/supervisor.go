package drive

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/relay"
)

// supervisor supervises hosts for the owner: the relay of this entry, or a session with the relay of another one.
type supervisor interface {
	// enqueue accepts orders without waiting for their outcome.
	enqueue(o relay.Orders)
	// capacity is the number of hosts that it can supervise.
	capacity() int
	// domain is its failure domain.
	domain() string
	name() string
}

// RelayEntry is another entry that can run a relay for the owner.
type RelayEntry interface {
	Name() string
	Domain() string
	// Capacity is the number of hosts that the entry can supervise.
	Capacity() int
	// OpenSession asks the entry to open a session with the owner of the epoch. The stamp is a reading of the owner's
	// clock from before the call.
	OpenSession(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error
}

// localRelay is the relay of this entry.
type localRelay struct {
	relay *relay.Relay
	parts Parts
}

var _ supervisor = &localRelay{}

func (o *localRelay) enqueue(orders relay.Orders) { o.relay.Apply(orders) }
func (o *localRelay) capacity() int               { return o.parts.RelayCapacity }
func (o *localRelay) domain() string              { return o.parts.Domain }
func (o *localRelay) name() string                { return "" }

// startLocalRelay starts the relay of this entry.
func (d *Driver) startLocalRelay(ctx context.Context) *localRelay {
	r := relay.New(relay.Parts{
		Runner: d.parts.Runner, Clock: d.parts.Clock, Logger: d.log, Meter: d.parts.Meter, Epoch: d.term.Epoch(), Lease: d.parts.Times.Lease,
		Permitted: d.mayRenew, OwnerTime: d.parts.Clock.Now,
	})
	o := &localRelay{relay: r, parts: d.parts}
	d.spawn(func() {
		for ctx.Err() == nil {
			if events := r.Events(ctx, localGather); !events.Empty() {
				d.handleEvents(o, events)
			}
		}
	})
	return o
}

const (
	// localGather is how long the relay of this entry gathers events, so that one round of decisions handles them together.
	localGather = 2 * time.Millisecond
	// sessionTimeout is how long a relay may be silent before its session ends; three event messages are missing then.
	sessionTimeout = 3*relay.EventsInterval + 50*time.Millisecond
	// orderDelay is how long orders wait for the answer to an event message, if the relay has recently sent one.
	orderDelay = 16 * time.Millisecond
	// recentEvents is the age up to which an event message counts as recent.
	recentEvents = 40 * time.Millisecond
	// resendAfter is how long the answer with a batch may be on its way before the batch is sent again.
	resendAfter = 100 * time.Millisecond
	// permitDuration is how long a relay may renew leases and start runs without an answer of the owner. It covers a few
	// lost calls. It also delays the reuse of hosts that neither the relay nor another entry can reach.
	permitDuration = time.Second
)

// session is the owner's side of a session with the relay of another entry. The relay calls the owner to get its orders.
type session struct {
	id    uint64
	entry RelayEntry
	clock fold.Clock
	// handling is held while an event message is handled. It is locked before the lock of the supervision.
	handling sync.Mutex

	// queue holds the orders that wait for the next batch. The lock of the supervision guards it and all fields below.
	queue relay.Orders
	// ready is closed and replaced when there are new orders.
	ready chan struct{}
	// queuedSince is when the queue became non-empty. lastEvents is when the last event message arrived.
	queuedSince, lastEvents fold.Instant
	// lastBatch is the last batch that was sent; its answer may have been lost.
	lastBatch relay.Batch
	// batchSent is when lastBatch was sent.
	batchSent fold.Instant
	// lastContact is when the relay last called.
	lastContact fold.Instant
	// eventsNumber is the highest number of a handled event message.
	eventsNumber uint64
	// permittedUntil is when the last permission to renew leases ends.
	permittedUntil fold.Instant
	// specs holds the ids of jobs whose specification the relay has.
	specs map[string]bool
	// opening reports whether the entry has not answered the call that opens the session.
	opening, closed bool
}

var _ supervisor = &session{}

func (s *session) capacity() int  { return s.entry.Capacity() }
func (s *session) domain() string { return s.entry.Domain() }
func (s *session) name() string   { return s.entry.Name() }

// enqueue queues orders. The caller holds the lock of the supervision.
func (s *session) enqueue(o relay.Orders) {
	if s.closed {
		return
	}
	if s.queue.Empty() {
		s.queuedSince = s.clock.Now()
	}
	for i := range o.Starts {
		start := &o.Starts[i]
		if s.specs[start.Job] {
			start.Spec = ""
		}
		s.specs[start.Job] = true
	}
	s.queue.Add(o)
	s.wakeCalls()
}

// wakeCalls wakes the calls that wait for orders. The caller holds the lock of the supervision.
func (s *session) wakeCalls() {
	close(s.ready)
	s.ready = make(chan struct{})
}

// Orders waits for the batch of a session that follows batch lastNumber. A relay that has lost an answer calls again with
// the same number.
func (d *Driver) Orders(ctx context.Context, id, lastNumber uint64) relay.Batch {
	limit := d.parts.Clock.After(relay.OrdersWait)
	for {
		batch, ready, wait := d.supervision.nextBatch(id, lastNumber, d.parts.Clock.Now())
		if ready == nil {
			return batch
		}
		var delayed <-chan time.Time
		if wait > 0 {
			ready, delayed = nil, d.parts.Clock.After(wait)
		}
		select {
		case <-ctx.Done():
			return relay.Batch{}
		case <-limit:
			return relay.Batch{}
		case <-delayed:
		case <-ready:
		}
	}
}

// nextBatch returns the batch of a session that follows batch lastNumber. If there is none to send yet, it returns a
// channel that is closed when there are orders, and how long queued orders wait for the answer to an event message, or 0.
func (l *supervision) nextBatch(id, lastNumber uint64, now fold.Instant) (batch relay.Batch, ready <-chan struct{}, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[id]
	if s == nil {
		return relay.Batch{Ended: true}, nil, 0
	}
	s.lastContact = now
	switch {
	case s.lastBatch.Number > lastNumber:
		if wait = resendAfter - now.Sub(s.batchSent); wait > 0 {
			return relay.Batch{}, s.ready, wait
		}
	case s.queue.Empty():
		return relay.Batch{}, s.ready, 0
	case now.Sub(s.lastEvents) < recentEvents:
		if wait = orderDelay - now.Sub(s.queuedSince); wait > 0 {
			return relay.Batch{}, s.ready, wait
		}
	}
	return s.batchAfter(lastNumber, now), nil, 0
}

// batchAfter returns the batch that follows batch lastNumber. The caller holds the lock of the supervision.
func (s *session) batchAfter(lastNumber uint64, now fold.Instant) relay.Batch {
	if s.lastBatch.Number <= lastNumber {
		if s.queue.Empty() {
			return relay.Batch{}
		}
		s.lastBatch = relay.Batch{Number: s.lastBatch.Number + 1, Orders: s.queue, LastEvents: s.eventsNumber, MadeAt: now}
		s.queue = relay.Orders{}
	}
	s.batchSent = now
	return s.lastBatch
}

// releasesUnapplied reports whether the relay, which has applied batch lastNumber, may still supervise hosts that were taken
// from it. The caller holds the lock of the supervision.
func (s *session) releasesUnapplied(lastNumber uint64) bool {
	return len(s.queue.Releases) > 0 || s.lastBatch.Number > lastNumber && len(s.lastBatch.Orders.Releases) > 0
}

// HandleEvents handles an event message of a session. A repeated message, which has the same number, is handled once. The
// answer to a message with number 0, which only renews the permission, contains no batch.
// The hosts of a relay that is leaving are assigned to other supervisors.
func (d *Driver) HandleEvents(id, number, lastNumber uint64, events relay.Events, leaving bool) relay.Permit {
	l := &d.supervision
	l.mu.Lock()
	s := l.sessions[id]
	if s == nil {
		l.mu.Unlock()
		return relay.Permit{Ended: true}
	}
	s.lastContact = d.parts.Clock.Now()
	if !events.Empty() {
		s.lastEvents = s.lastContact
	}
	l.mu.Unlock()
	if number > 0 {
		d.handleEventsOnce(s, number, events)
	}
	if leaving {
		d.endSession(s, "the entry of the relay is leaving")
		return relay.Permit{Ended: true}
	}
	now := d.parts.Clock.Now()
	renew := min(permitDuration, d.renewFor(now))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s.closed, l.ended:
		return relay.Permit{Ended: true}
	case s.releasesUnapplied(lastNumber):
		// The leases on the released hosts were recorded with the permission that the relay has.
		renew = 0
	}
	s.permittedUntil = max(s.permittedUntil, now.Add(renew))
	permit := relay.Permit{RenewFor: renew, OwnerTime: now}
	if number > 0 && (s.lastBatch.Number <= lastNumber || now.Sub(s.batchSent) >= resendAfter) {
		permit.Batch = s.batchAfter(lastNumber, now)
	}
	return permit
}

// handleEventsOnce handles the events of a message unless the message was handled before. A repeated message is answered after
// the first one was handled, because the next one must not overtake it.
func (d *Driver) handleEventsOnce(s *session, number uint64, events relay.Events) {
	s.handling.Lock()
	defer s.handling.Unlock()
	l := &d.supervision
	l.mu.Lock()
	fresh := number > s.eventsNumber
	s.eventsNumber = max(s.eventsNumber, number)
	l.mu.Unlock()
	if fresh && !events.Empty() {
		d.handleEvents(s, events)
	}
}

// renewFor returns how long leases may be renewed, counted from now.
func (d *Driver) renewFor(now fold.Instant) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.parts.Times.RenewWithoutTable-now.Sub(d.lastCommit))
}
