package drive

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/relay"
)

// carrier is a way to hosts: the relay of this entry or that of another one.
type carrier interface {
	// give passes orders on; it does not wait.
	give(o relay.Orders)
	// room is how many hosts it can look after; domain is its failure domain.
	room() int
	domain() string
	name() string
}

// RelayEntry is an entry that can look after hosts for the owner.
type RelayEntry interface {
	Name() string
	Domain() string
	// Capacity is how many hosts it can look after.
	Capacity() int
	// OpenSession asks the entry to open a session with the owner of the epoch.
	OpenSession(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error
}

// own is the relay of this entry.
type own struct {
	relay *relay.Relay
	parts Parts
}

var _ carrier = &own{}

func (o *own) give(orders relay.Orders) { o.relay.Apply(orders) }
func (o *own) room() int                { return o.parts.RelayCapacity }
func (o *own) domain() string           { return o.parts.Domain }
func (o *own) name() string             { return "" }

// startOwn starts the relay of this entry.
func (d *Driver) startOwn(ctx context.Context) *own {
	r := relay.New(relay.Parts{
		Runner: d.parts.Runner, Clock: d.parts.Clock, Logger: d.log, Meter: d.parts.Meter, Epoch: d.term.Epoch(), Lease: d.parts.Times.Lease,
		Permitted: d.mayRenew, OwnerTime: d.parts.Clock.Now,
	})
	o := &own{relay: r, parts: d.parts}
	d.spawn(func() {
		for ctx.Err() == nil {
			if news := r.Events(ctx, ownGather); !news.Empty() {
				d.learn(o, news)
			}
		}
	})
	return o
}

const (
	// ownGather is how long the relay of this entry gathers news, so that they are decided together.
	ownGather = 2 * time.Millisecond
	// lostAfter is how long a session may be silent before its hosts go to other carriers: three news are missing then.
	lostAfter = 3*relay.EventsInterval + 50*time.Millisecond
	// orderGather is how long orders wait for the answer to news of a relay whose last news are at most talkative old, before
	// they travel by themselves.
	orderGather = 16 * time.Millisecond
	talkative   = 40 * time.Millisecond
	// resendAfter is how long the answer with a batch may be on its way.
	resendAfter = 100 * time.Millisecond
	// permitTime is how long a relay may renew leases and start runs without hearing from the owner. It outlasts a few lost
	// calls, and delays the reuse of hosts that neither the relay nor another entry reaches.
	permitTime = time.Second
)

// session is the relay of another entry, which calls for its orders.
type session struct {
	id     uint64
	helper RelayEntry
	clock  fold.Clock

	// The lock of the links guards the rest.
	queue relay.Orders
	// ready is closed and replaced when there are orders.
	ready chan struct{}
	// queued is since when the queue holds orders, talked when news last came.
	queued, talked fold.Instant
	// last is the last batch, which the relay may not have got, handed when it was sent.
	last   relay.Batch
	handed fold.Instant
	// heard is when the relay last called, told the number of the last news that was taken.
	heard fold.Instant
	told  uint64
	// until is when the last permission ends.
	until fold.Instant
	// texts are the jobs whose text the relay has.
	texts  map[string]bool
	closed bool
}

var _ carrier = &session{}

func (s *session) room() int      { return s.helper.Capacity() }
func (s *session) domain() string { return s.helper.Domain() }
func (s *session) name() string   { return s.helper.Name() }

// give queues orders; the caller holds the lock of the links.
func (s *session) give(o relay.Orders) {
	if s.closed {
		return
	}
	if s.queue.Empty() {
		s.queued = s.clock.Now()
	}
	for i := range o.Starts {
		start := &o.Starts[i]
		if s.texts[start.Job] {
			start.Spec = ""
		}
		s.texts[start.Job] = true
	}
	s.queue.Add(o)
	s.wake()
}

// wake lets calls for orders go on; the caller holds the lock of the links.
func (s *session) wake() {
	close(s.ready)
	s.ready = make(chan struct{})
}

// Orders waits for the batch of a session after the one with the number. A batch whose answer was lost is called for again.
func (d *Driver) Orders(ctx context.Context, id, got uint64) relay.Batch {
	limit := d.parts.Clock.After(relay.OrdersWait)
	for {
		batch, ready, wait := d.links.await(id, got, d.parts.Clock.Now())
		if ready == nil {
			return batch
		}
		var soon <-chan time.Time
		if wait > 0 {
			ready, soon = nil, d.parts.Clock.After(wait)
		}
		select {
		case <-ctx.Done():
			return relay.Batch{}
		case <-limit:
			return relay.Batch{}
		case <-soon:
		case <-ready:
		}
	}
}

// await returns the batch of a session after the one with the number, or a channel that tells when there are orders, or how
// long they are left to travel with the answer to the next news.
func (l *links) await(id, got uint64, now fold.Instant) (batch relay.Batch, ready <-chan struct{}, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[id]
	if s == nil {
		return relay.Batch{Ended: true}, nil, 0
	}
	s.heard = now
	switch {
	case s.last.Number > got:
		if wait = resendAfter - now.Sub(s.handed); wait > 0 {
			return relay.Batch{}, s.ready, wait
		}
	case s.queue.Empty():
		return relay.Batch{}, s.ready, 0
	case now.Sub(s.talked) < talkative:
		if wait = orderGather - now.Sub(s.queued); wait > 0 {
			return relay.Batch{}, s.ready, wait
		}
	}
	return s.hand(got, now), nil, 0
}

// hand returns the batch after the one with the number; the caller holds the lock of the links.
func (s *session) hand(got uint64, now fold.Instant) relay.Batch {
	if s.last.Number <= got {
		if s.queue.Empty() {
			return relay.Batch{}
		}
		s.last = relay.Batch{Number: s.last.Number + 1, Orders: s.queue, LastEvents: s.told}
		s.queue = relay.Orders{}
	}
	s.handed = now
	return s.last
}

// HandleEvents takes the news of a session. News that come again under their number are taken once. A relay that is leaving
// loses its hosts to others.
func (d *Driver) HandleEvents(id, number, got uint64, news relay.Events, leaving bool) relay.Permit {
	l := &d.links
	l.mu.Lock()
	s := l.sessions[id]
	if s == nil {
		l.mu.Unlock()
		return relay.Permit{Ended: true}
	}
	s.heard = d.parts.Clock.Now()
	if !news.Empty() {
		s.talked = s.heard
	}
	fresh := number > s.told
	s.told = max(s.told, number)
	l.mu.Unlock()
	if fresh && !news.Empty() {
		d.learn(s, news)
	}
	if leaving {
		d.endSession(s, "its entry leaves")
		return relay.Permit{Ended: true}
	}
	now := d.parts.Clock.Now()
	renew := min(permitTime, d.renewFor(now))
	l.mu.Lock()
	defer l.mu.Unlock()
	s.until = max(s.until, now.Add(renew))
	permit := relay.Permit{RenewFor: renew, OwnerTime: now}
	if s.last.Number <= got {
		permit.Batch = s.hand(got, now)
	}
	return permit
}

// renewFor returns how long leases may be renewed from now on.
func (d *Driver) renewFor(now fold.Instant) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.parts.Times.RenewWithoutTable-now.Sub(d.committed))
}
