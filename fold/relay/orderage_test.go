package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/relay"
)

// losingOwner is the owner of a session. It assigns a host with its first answer, loses the answers to event messages for a
// while, and makes a batch with a start meanwhile, which takes long to arrive.
type losingOwner struct {
	// lostFrom and lostUntil limit the time in which answers to event messages are lost.
	lostFrom, lostUntil time.Time
	// ordered is when the owner makes the batch with the start. It arrives after the delay.
	ordered time.Time
	delay   time.Duration
	// stamped is true if batches tell when they were made.
	stamped bool

	mu         sync.Mutex
	lastEvents uint64
	sent       bool
}

var _ relay.Owner = &losingOwner{}

func (o *losingOwner) Orders(ctx context.Context, _ uint64) (relay.Batch, error) {
	o.mu.Lock()
	sent := o.sent
	o.sent = true
	o.mu.Unlock()
	if sent {
		<-ctx.Done()
		return relay.Batch{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	time.Sleep(time.Until(o.ordered))
	o.mu.Lock()
	batch := relay.Batch{Number: 2, LastEvents: o.lastEvents, Orders: startOrder(1)}
	o.mu.Unlock()
	if o.stamped {
		batch.MadeAt = clock{}.Now()
	}
	time.Sleep(o.delay)
	return batch, nil
}

func (o *losingOwner) SendEvents(ctx context.Context, number, last uint64, _ relay.Events, _ bool) (relay.Permit, error) {
	o.mu.Lock()
	o.lastEvents = max(o.lastEvents, number)
	o.mu.Unlock()
	if now := time.Now(); !now.Before(o.lostFrom) && now.Before(o.lostUntil) {
		<-ctx.Done()
		return relay.Permit{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	permit := relay.Permit{RenewFor: time.Second, OwnerTime: clock{}.Now()}
	if last == 0 {
		permit.Batch = relay.Batch{Number: 1, LastEvents: number, Orders: relay.Orders{Contacts: []relay.Contact{contact}}}
	}
	return permit, nil
}

// Guards against carrying out an order that is older than the limit because its age is counted from when an event message was
// repeated, although the owner had received it, and made the order, long before.
func TestAgeOfOrdersCountsFromFirstMessage(t *testing.T) {
	for _, stamped := range []bool{false, true} {
		t.Run(fmt.Sprintf("stamped: %v", stamped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, now := newFakeHost(), time.Now()
				// The Orders call is not given up before the batch arrives.
				o := &losingOwner{
					lostFrom: now.Add(100 * time.Millisecond), lostUntil: now.Add(1300 * time.Millisecond),
					ordered: now.Add(350 * time.Millisecond), delay: 1300 * time.Millisecond, stamped: stamped,
				}
				s := relay.Open(parts(h), o, clock{}.Now(), func() bool { return false })
				defer func() { _ = s.Close() }()
				time.Sleep(3 * time.Second)
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.holds[len(h.holds)-1].LeaseEnd == 0 {
					t.Error("the permission was not renewed, so the test shows nothing")
				}
				if len(h.starts) > 0 {
					t.Errorf("a start was carried out %s after it was ordered", o.delay)
				}
			})
		})
	}
}
