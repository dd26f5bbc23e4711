package peer_test

import (
	"sync"
	"testing"
	"time"

	"plantainfold.example/fold/peer"
)

// Guards against connections that stay open unused because several calls have opened one at the same time.
func TestConcurrentCallsShareAConnection(t *testing.T) {
	testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
		var calls sync.WaitGroup
		for range 20 {
			calls.Go(func() {
				if err := ask(t.Context(), client, time.Second, 0); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		time.Sleep(time.Minute)
		if dialled, open := p.counts(); dialled != 1 || open != 1 {
			t.Errorf("%d connections were opened and %d are open, want 1 and 1", dialled, open)
		}
	})
}

// Guards against a connection that is given up at the deadline of the call that opened it, although other calls wait for it.
func TestShortDeadlineDoesNotEndTheDial(t *testing.T) {
	testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
		p.hold(200 * time.Millisecond)
		var calls sync.WaitGroup
		calls.Go(func() {
			if err := ask(t.Context(), client, 50*time.Millisecond, 0); err == nil {
				t.Error("the call is answered although the connection takes longer than its deadline")
			}
		})
		time.Sleep(10 * time.Millisecond)
		calls.Go(func() {
			if err := ask(t.Context(), client, 2*time.Second, 0); err != nil {
				t.Error(err)
			}
		})
		calls.Wait()
		if dialled, _ := p.counts(); dialled != 1 {
			t.Errorf("%d connections were opened, want 1", dialled)
		}
	})
}
