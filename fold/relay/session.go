package relay

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

const (
	// EventsInterval is the longest time from the answer to an event message of a session to the next event message. Each
	// answer renews the owner's permission to renew leases and start runs.
	EventsInterval = 200 * time.Millisecond
	// OrdersWait is the longest time that the owner waits for orders before it answers a call for them.
	OrdersWait = time.Second
	// minGatherTime is the shortest time for which a session gathers events before it sends them.
	minGatherTime = 4 * time.Millisecond
	// minEventsInterval is the shortest time between two event messages, so that under load each of them carries more
	// events.
	minEventsInterval = 15 * time.Millisecond
	// renewalInterval is the time between two messages that only renew the permission. They are sent while answers are late.
	renewalInterval = 100 * time.Millisecond
	// ownerCallTimeout limits a call to the owner, in addition to the wait for orders. An answer that is too late for a
	// permission still confirms that events have arrived.
	ownerCallTimeout = 1500 * time.Millisecond
	// usefulRoundTrip is the longest round trip after which an answer can contain a valid permission.
	usefulRoundTrip = time.Second
	// repeatDelay is the delay before an unanswered event message is sent again. The calls before it go on.
	repeatDelay = 500 * time.Millisecond
	// ownerRetryDelay is the delay before a failed call to the owner is tried again.
	ownerRetryDelay = 50 * time.Millisecond
	// maxOrderAge is the age up to which orders are sent to hosts. Older ones are refused, because the owner may have ended
	// the session by then.
	maxOrderAge = time.Second
	// ownerTimeout is how long the owner may leave event messages unanswered, or answer them too late, before the session ends.
	ownerTimeout = 3 * time.Second
)

// Batch is the owner's answer to a call for orders.
type Batch struct {
	// Number increases with each batch. If a batch is requested again, its number stays the same.
	Number uint64 `json:"number"`
	Orders Orders `json:"orders"`
	// LastEvents is the number of the last event message that the owner had received when it made the batch. The time since
	// that message was sent is therefore an upper bound on the age of the batch.
	LastEvents uint64 `json:"heard"`
	// MadeAt is the reading of the owner's clock when it made the batch, or 0. It gives a closer bound on the age if messages
	// take long to arrive.
	MadeAt fold.Instant `json:"made,omitempty"`
	// Ended is true if the session has ended.
	Ended bool `json:"ended,omitempty"`
}

// Permit is the owner's answer to an event message.
type Permit struct {
	// RenewFor is how long the session may renew leases and start runs, counted from when it sent the event message.
	RenewFor time.Duration `json:"renew"`
	// OwnerTime is the reading of the owner's clock when it answered.
	OwnerTime fold.Instant `json:"stamp"`
	// Batch contains waiting orders, so that they need no separate call.
	Batch Batch `json:"batch"`
	// Ended is true if the session has ended.
	Ended bool `json:"ended,omitempty"`
}

// Owner is a session's connection to the owner of the pool.
type Owner interface {
	// Orders waits, for at most OrdersWait, for the batch that follows batch lastNumber, the last one whose releases are
	// applied. A batch with number 0 contains no orders.
	Orders(ctx context.Context, lastNumber uint64) (Batch, error)
	// SendEvents sends an event message. The owner handles a message once, even if it arrives again under the same number. If
	// leaving is true, the session ends. The answer may contain the batch that follows batch lastNumber. A message with number 0
	// contains no events, and its answer no batch; it only renews the permission.
	SendEvents(ctx context.Context, number, lastNumber uint64, events Events, leaving bool) (Permit, error)
}

// Session runs a relay for an owner in another process. The permission that the owner grants with an answer is counted, by
// this entry's clock, from the sending of the event message, so it expires here no later than the owner assumes.
type Session struct {
	owner Owner
	clock fold.Clock
	log   hclog.Logger
	relay *Relay
	// leaving reports whether the entry is about to stop.
	leaving func() bool
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu sync.Mutex
	// permittedUntil is when the permission to renew leases and start runs expires, by this entry's clock.
	permittedUntil fold.Instant
	// ownerTime is the latest known reading of the owner's clock.
	ownerTime fold.Instant
	// ownerClock relates the owner's clock to this entry's clock.
	ownerClock clockRelation
	// lastSent is when a message was last sent to the owner. lastAnswered is when the newest message that it has answered was
	// sent.
	lastSent, lastAnswered fold.Instant
	// lastContact is when the owner last answered an event message within usefulRoundTrip, or when the session was opened.
	lastContact fold.Instant
	// eventsSent holds the times at which event messages were first sent, by number. Messages to which new batches cannot refer
	// are removed.
	eventsSent map[uint64]fold.Instant
	// specs holds the specifications of jobs, by job id.
	specs map[string]string
	// lastBatch is the number of the newest batch that has arrived. appliedBatch is the number of the newest one whose releases
	// are applied.
	lastBatch, appliedBatch uint64
}

// Open starts a session. ownerTime is an earlier reading of the owner's clock. The session sets Permitted and OwnerTime of
// parts itself.
func Open(parts Parts, owner Owner, ownerTime fold.Instant, leaving func() bool) *Session {
	ctx, cancel := context.WithCancel(context.Background())
	now := parts.Clock.Now()
	s := &Session{
		owner: owner, clock: parts.Clock, log: parts.Logger.Named("session").With("epoch", parts.Epoch), leaving: leaving, ctx: ctx, cancel: cancel,
		ownerTime: ownerTime, lastContact: now, eventsSent: map[uint64]fold.Instant{0: now}, specs: make(map[string]string),
	}
	parts.Permitted, parts.OwnerTime = s.permitted, s.lastOwnerTime
	s.relay = New(parts)
	s.group.Go(s.run)
	return s
}

// Close ends the session and waits for everything that it started.
func (s *Session) Close() error {
	s.cancel()
	s.group.Wait()
	return nil
}

// permitted reports whether the owner's permission is still valid.
func (s *Session) permitted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.permittedUntil
}

func (s *Session) lastOwnerTime() fold.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerTime
}

// run exchanges events and orders with the owner until the session ends, and then closes the relay.
func (s *Session) run() {
	s.log.Info("Started a session to supervise hosts for the owner.")
	var group sync.WaitGroup
	group.Go(s.followOrders)
	group.Go(s.renewPermission)
	s.reportEvents()
	s.cancel()
	group.Wait()
	_ = s.relay.Close()
	s.log.Info("Ended the session; no hosts are supervised any more.")
}

// followOrders gets orders from the owner and applies them.
func (s *Session) followOrders() {
	for s.ctx.Err() == nil {
		call, cancel := context.WithTimeout(s.ctx, OrdersWait+ownerCallTimeout)
		batch, err := s.owner.Orders(call, s.appliedBatchNumber())
		cancel()
		switch {
		case err != nil:
			s.pause(ownerRetryDelay)
		case batch.Ended:
			s.cancel()
		default:
			s.apply(batch)
		}
	}
}

// appliedBatchNumber returns the number of the newest batch whose releases are applied. The owner then no longer expects
// renewals on the released hosts.
func (s *Session) appliedBatchNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appliedBatch
}

// apply carries out the orders of a batch unless it was applied before. Starts, stops and paces whose age is unknown or above
// maxOrderAge are refused; the other orders are applied in any case.
func (s *Session) apply(batch Batch) {
	now := s.clock.Now()
	orders := batch.Orders
	s.mu.Lock()
	if batch.Number <= s.lastBatch {
		s.mu.Unlock()
		return
	}
	s.lastBatch = batch.Number
	madeAfter, known := s.eventsSent[batch.LastEvents]
	if earliest, ok := s.ownerClock.earliest(batch.MadeAt); ok && (!known || earliest > madeAfter) {
		madeAfter, known = earliest, true
	}
	// Later batches refer to the same message or to newer ones.
	for number := range s.eventsSent {
		if number < batch.LastEvents {
			delete(s.eventsSent, number)
		}
	}
	for i := range orders.Starts {
		start := &orders.Starts[i]
		if start.Spec == "" {
			start.Spec = s.specs[start.Job]
		}
		s.specs[start.Job] = start.Spec
	}
	for _, job := range orders.Forget {
		delete(s.specs, job)
	}
	s.mu.Unlock()
	if age := now.Sub(madeAfter); !known || age > maxOrderAge {
		late := Orders{Starts: orders.Starts, Stops: orders.Stops, Paces: orders.Paces}
		orders.Starts, orders.Stops, orders.Paces = nil, nil, nil
		if !late.Empty() {
			// The age means nothing if it is unknown. Paces are not counted here.
			s.log.Warn("Refused orders of the owner that arrived too late.", "starts", len(late.Starts), "stops", len(late.Stops), "age", age.String())
		}
		s.relay.Refuse(late, fold.Refuse(fold.Unavailable, "send the order again", "the order was not sent because it may be %s old", age))
	}
	s.relay.Apply(orders)
	s.mu.Lock()
	s.appliedBatch = max(s.appliedBatch, batch.Number)
	s.mu.Unlock()
}

// reportEvents sends events to the owner, at the latest EventsInterval after it answered the last event message. Its answers
// also renew the permission.
func (s *Session) reportEvents() {
	last := s.clock.Now()
	for number := uint64(1); s.ctx.Err() == nil; number++ {
		events := Events{}
		if number > 1 {
			wait, cancel := context.WithTimeout(s.ctx, EventsInterval)
			events = s.relay.Events(wait, max(minGatherTime, minEventsInterval-s.clock.Now().Sub(last)))
			cancel()
		}
		last = s.clock.Now()
		if !s.sendEvents(number, events) {
			return
		}
	}
}

// sendEvents sends an event message until the owner answers it, and repeats it while it is unanswered. It returns false if the
// session has ended.
func (s *Session) sendEvents(number uint64, events Events) bool {
	answered := make(chan Permit, 1)
	for s.ctx.Err() == nil {
		sent := s.clock.Now()
		s.mu.Lock()
		if _, repeated := s.eventsSent[number]; !repeated {
			s.eventsSent[number] = sent
		}
		timedOut := sent.Sub(s.lastContact) > ownerTimeout
		s.mu.Unlock()
		if timedOut {
			// The key "since" holds the limit; the owner has been silent for longer.
			s.log.Warn("Ending the session because the owner does not answer.", "since", ownerTimeout.String())
			return false
		}
		failed := make(chan struct{})
		s.group.Go(func() {
			permit, err := s.callOwner(sent, number, events)
			if err != nil {
				close(failed)
				return
			}
			select {
			case answered <- permit:
			default:
			}
		})
		select {
		case <-s.ctx.Done():
		case permit := <-answered:
			return !permit.Ended
		case <-failed:
			s.pause(ownerRetryDelay)
		case <-s.clock.After(repeatDelay):
		}
	}
	return false
}

// renewPermission renews the permission while answers to event messages are late, so that neither the permission nor the
// session ends.
func (s *Session) renewPermission() {
	for s.ctx.Err() == nil {
		s.pause(renewalInterval)
		now := s.clock.Now()
		s.mu.Lock()
		due := now.Sub(s.lastSent) >= renewalInterval && now.Sub(s.lastAnswered) >= EventsInterval+renewalInterval
		s.mu.Unlock()
		if !due {
			continue
		}
		s.group.Go(func() {
			if permit, err := s.callOwner(now, 0, Events{}); err == nil && permit.Ended {
				s.cancel()
			}
		})
	}
}

// callOwner sends an event message once and applies the answer. sent is a time before the call.
func (s *Session) callOwner(sent fold.Instant, number uint64, events Events) (Permit, error) {
	call, cancel := context.WithTimeout(s.ctx, ownerCallTimeout)
	defer cancel()
	s.mu.Lock()
	s.lastSent = max(s.lastSent, sent)
	s.mu.Unlock()
	// The session ends with an event message, so that the last events are handled.
	leaving := number > 0 && s.leaving()
	permit, err := s.owner.SendEvents(call, number, s.appliedBatchNumber(), events, leaving)
	if err != nil || permit.Ended {
		return permit, err
	}
	now := s.clock.Now()
	s.mu.Lock()
	if number > 0 && now.Sub(sent) <= usefulRoundTrip {
		s.lastContact = now
	}
	s.lastAnswered = max(s.lastAnswered, sent)
	s.permittedUntil = max(s.permittedUntil, sent.Add(permit.RenewFor))
	s.ownerTime = max(s.ownerTime, permit.OwnerTime)
	s.ownerClock.observe(sent, permit.OwnerTime)
	s.mu.Unlock()
	s.apply(permit.Batch)
	return permit, nil
}

func (s *Session) pause(wait time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-s.clock.After(wait):
	}
}
