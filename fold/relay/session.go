package relay

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

const (
	// EventsInterval is how often a session tells its news at least, because its permission is renewed by the answer.
	EventsInterval = 200 * time.Millisecond
	// OrdersWait is how long the owner lets a call for orders wait for some.
	OrdersWait = time.Second
	// newsGather is how long a session gathers news at least; news are told at least newsApart apart, so that under load more
	// of them travel together.
	newsGather = 4 * time.Millisecond
	newsApart  = 15 * time.Millisecond
	// callTime bounds a call to the owner, beside the wait for orders; callPause separates tries.
	callTime  = 700 * time.Millisecond
	callPause = 50 * time.Millisecond
	// orderAge is how old orders may be when they arrive; older ones are refused unsent, because the owner has given the
	// session up by then.
	orderAge = time.Second
	// ownerLost is how long a session goes on without an answer of the owner.
	ownerLost = 3 * time.Second
)

// Batch is what a session gets when it calls for orders.
type Batch struct {
	// Number grows with each batch; one that is called for again comes under its number again.
	Number uint64 `json:"number"`
	Orders Orders `json:"orders"`
	// LastEvents is the number of the last news that the owner had when it made the batch, which bounds the age of the batch.
	LastEvents uint64 `json:"heard"`
	// Ended says that the session is over.
	Ended bool `json:"ended,omitempty"`
}

// Permit is what a session gets for its news.
type Permit struct {
	// RenewFor is how long the session may renew leases and start runs, from the moment at which it sent the news.
	RenewFor time.Duration `json:"renew"`
	// OwnerTime is an instant of the owner's clock.
	OwnerTime fold.Instant `json:"stamp"`
	// Batch holds orders that wait, so that they need no call of their own.
	Batch Batch `json:"batch"`
	// Ended says that the session is over.
	Ended bool `json:"ended,omitempty"`
}

// Owner is the owner of the pool as a session reaches it.
type Owner interface {
	// Orders waits for the batch after the one with the number, at most OrdersWait. A batch without a number holds nothing.
	Orders(ctx context.Context, got uint64) (Batch, error)
	// SendEvents takes news; those that come again under their number are taken once. After leaving the session ends. The answer
	// may hold the batch after the one with the number got.
	SendEvents(ctx context.Context, number, got uint64, news Events, leaving bool) (Permit, error)
}

// Session is a relay for the owner in another process. It acts on the owner's permission only as long as that lasts by the
// clock of its own entry, counted from before the permission was asked for.
type Session struct {
	owner Owner
	clock fold.Clock
	log   hclog.Logger
	relay *Relay
	// leaving reports whether the entry is about to stop.
	leaving func() bool
	ctx     context.Context
	end     context.CancelFunc
	group   sync.WaitGroup

	mu sync.Mutex
	// permit is until when leases may be renewed and runs started, by this entry's clock.
	permit fold.Instant
	// stamp is an instant of the owner's clock.
	stamp fold.Instant
	// heard is when the owner last answered.
	heard fold.Instant
	// sent is when the news with the numbers were sent that the owner may still refer to.
	sent map[uint64]fold.Instant
	// texts are the specifications of jobs.
	texts map[string]string
	// got is the number of the last batch.
	got uint64
}

// Open starts a session; stamp is an instant of the owner's clock that has passed. Parts need no permission and no stamp of
// their own.
func Open(parts Parts, owner Owner, ownerTime fold.Instant, leaving func() bool) *Session {
	ctx, end := context.WithCancel(context.Background())
	now := parts.Clock.Now()
	s := &Session{
		owner: owner, clock: parts.Clock, log: parts.Logger.Named("session").With("epoch", parts.Epoch), leaving: leaving, ctx: ctx, end: end,
		stamp: ownerTime, heard: now, sent: map[uint64]fold.Instant{0: now}, texts: make(map[string]string),
	}
	parts.Permitted, parts.OwnerTime = s.may, s.stamped
	s.relay = New(parts)
	s.group.Go(s.run)
	return s
}

// Close ends the session and waits for everything that it started.
func (s *Session) Close() error {
	s.end()
	s.group.Wait()
	return nil
}

// may reports whether the owner's permission lasts.
func (s *Session) may() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.permit
}

func (s *Session) stamped() fold.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp
}

// run carries the session until it ends.
func (s *Session) run() {
	s.log.Info("Look after hosts for the owner.")
	var group sync.WaitGroup
	group.Go(s.follow)
	s.report()
	s.end()
	group.Wait()
	_ = s.relay.Close()
	s.log.Info("No longer look after hosts.")
}

// follow takes the orders of the owner.
func (s *Session) follow() {
	for s.ctx.Err() == nil {
		call, cancel := context.WithTimeout(s.ctx, OrdersWait+callTime)
		batch, err := s.owner.Orders(call, s.last())
		cancel()
		switch {
		case err != nil:
			s.pause(callPause)
		case batch.Ended:
			s.end()
		default:
			s.take(batch)
		}
	}
}

// last returns the number of the last batch.
func (s *Session) last() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got
}

// take carries orders out unless they are too old, or came before. What they say of the hosts themselves counts in any
// case.
func (s *Session) take(batch Batch) {
	now := s.clock.Now()
	orders := batch.Orders
	s.mu.Lock()
	if batch.Number <= s.got {
		s.mu.Unlock()
		return
	}
	s.got = batch.Number
	sent, known := s.sent[batch.LastEvents]
	for number := range s.sent {
		if number < batch.LastEvents {
			delete(s.sent, number)
		}
	}
	for i := range orders.Starts {
		start := &orders.Starts[i]
		if start.Spec == "" {
			start.Spec = s.texts[start.Job]
		}
		s.texts[start.Job] = start.Spec
	}
	for _, job := range orders.Forget {
		delete(s.texts, job)
	}
	s.mu.Unlock()
	if age := now.Sub(sent); !known || age > orderAge {
		late := Orders{Starts: orders.Starts, Stops: orders.Stops, Paces: orders.Paces}
		orders.Starts, orders.Stops, orders.Paces = nil, nil, nil
		if !late.Empty() {
			s.log.Warn("Refused orders that are too old.", "starts", len(late.Starts), "stops", len(late.Stops), "age", age.String())
		}
		s.relay.Refuse(late, fold.Refuse(fold.Unavailable, "send the order again", "the order is %s old and was not sent", age))
	}
	s.relay.Apply(orders)
}

// report tells the owner what has happened, at least every EventsInterval, and so renews the permission.
func (s *Session) report() {
	last := s.clock.Now()
	for number := uint64(1); s.ctx.Err() == nil; number++ {
		news := Events{}
		if number > 1 {
			wait, cancel := context.WithTimeout(s.ctx, EventsInterval)
			news = s.relay.Events(wait, max(newsGather, newsApart-s.clock.Now().Sub(last)))
			cancel()
		}
		last = s.clock.Now()
		if !s.tell(number, news) {
			return
		}
	}
}

// tell sends news until they are taken; it reports false when the session is over.
func (s *Session) tell(number uint64, news Events) bool {
	for s.ctx.Err() == nil {
		sent := s.clock.Now()
		s.mu.Lock()
		s.sent[number] = sent
		lost := sent.Sub(s.heard) > ownerLost
		s.mu.Unlock()
		if lost {
			s.log.Warn("The owner does not answer.", "since", ownerLost.String())
			return false
		}
		call, cancel := context.WithTimeout(s.ctx, callTime)
		permit, err := s.owner.SendEvents(call, number, s.last(), news, s.leaving())
		cancel()
		if err != nil {
			s.pause(callPause)
			continue
		}
		s.mu.Lock()
		s.heard = s.clock.Now()
		s.permit = max(s.permit, sent.Add(permit.RenewFor))
		s.stamp = max(s.stamp, permit.OwnerTime)
		s.mu.Unlock()
		s.take(permit.Batch)
		return !permit.Ended
	}
	return false
}

func (s *Session) pause(wait time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-s.clock.After(wait):
	}
}
