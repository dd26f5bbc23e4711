package relay_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/relay"
)

// hookedClock calls hook, if set, at the next reading.
type hookedClock struct {
	clock

	mu   sync.Mutex
	hook func()
}

func (c *hookedClock) set(hook func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = hook
}

func (c *hookedClock) Now() fold.Instant {
	c.mu.Lock()
	hook := c.hook
	c.hook = nil
	c.mu.Unlock()
	if hook != nil {
		hook()
	}
	return c.clock.Now()
}

// Guards against a start with a lease that begins after the relay was told to release the host: the owner counts the leases of
// the relay from the release.
func TestNoStartOnAReleasedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, hooked := newFakeHost(), &hookedClock{}
		p := parts(h)
		p.Clock = hooked
		r := relay.New(p)
		defer func() { _ = r.Close() }()
		supervised := contact
		// No Hold call reads the clock meanwhile.
		supervised.MaxWait = time.Minute
		r.Apply(relay.Orders{Contacts: []relay.Contact{supervised}})
		time.Sleep(time.Second)
		released := int64(0)
		// The first reading precedes the search for the contact. At the second one, the host is released, and the goroutine
		// continues after a pause that is shorter than a call.
		hooked.set(func() {
			hooked.set(func() {
				r.Apply(relay.Orders{Releases: []string{"a"}})
				h.update(func(*fakeHost) { released = time.Since(h.began).Milliseconds() + 1 })
				time.Sleep(150 * time.Millisecond)
			})
		})
		r.Apply(startOrder(1))
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		if released == 0 {
			t.Fatal("the host was not released")
		}
		for _, s := range h.starts {
			if limit := released + leaseTime.Milliseconds(); s.LeaseEnd > limit {
				t.Errorf("a start has a lease until %d ms, %d ms longer than one that began before the release", s.LeaseEnd, s.LeaseEnd-limit)
			}
		}
	})
}
