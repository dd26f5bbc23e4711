package peer_test

import (
	"testing"
	"time"

	"plantainfold.example/fold/peer"
)

// maxOutage is how long calls to a peer may fail after a connection has gone silent, while new connections work.
const maxOutage = 3 * time.Second

// Guards against an entry that goes on using a connection that has gone silent or no longer takes bytes, so that it no longer reaches the peer
// although new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name         string
		fault        fault
		limit, every time.Duration
	}{
		{"pings", swallowed, 250 * time.Millisecond, time.Second},
		{"events of a relay", swallowed, 700 * time.Millisecond, 50 * time.Millisecond},
		{"orders of a relay", swallowed, 1700 * time.Millisecond, 50 * time.Millisecond},
		{"long calls", swallowed, 25 * time.Second, 50 * time.Millisecond},
		{"pings on a blocked connection", blocked, 250 * time.Millisecond, time.Second},
		{"long calls on a blocked connection", blocked, 25 * time.Second, 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
				if err := ask(t.Context(), client, time.Second, 0); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Minute)
				p.harm(c.fault)
				begin := time.Now()
				for calls := 1; ; calls++ {
					err := ask(t.Context(), client, c.limit, 0)
					if err == nil {
						t.Logf("call %d is answered %s after the connection went silent", calls, time.Since(begin))
						break
					}
					if time.Since(begin) > time.Minute {
						t.Fatalf("no answer for %s: %d calls, the last error: %v", time.Since(begin), calls, err)
					}
					time.Sleep(c.every)
				}
				if outage := time.Since(begin); outage > maxOutage {
					t.Errorf("calls fail for %s, want at most %s", outage, maxOutage)
				}
				time.Sleep(maxOutage)
				if dialled, open := p.counts(); dialled != 2 || open != 1 {
					t.Errorf("%d connections were opened and %d are open, want 2 and 1", dialled, open)
				}
			})
		})
	}
}

// Guards against a connection that is taken for silent because the peer takes long for an answer.
func TestLongCallIsAnswered(t *testing.T) {
	testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
		if err := ask(t.Context(), client, time.Minute, 30*time.Second); err != nil {
			t.Error(err)
		}
		if dialled, _ := p.counts(); dialled != 1 {
			t.Errorf("%d connections were opened, want 1", dialled)
		}
	})
}

// Guards against calls that fail because the peer is frozen for a short time.
func TestShortSilenceLosesNoAnswer(t *testing.T) {
	testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
		if err := ask(t.Context(), client, time.Second, 0); err != nil {
			t.Fatal(err)
		}
		p.hold(1500 * time.Millisecond)
		if err := ask(t.Context(), client, 10*time.Second, 400*time.Millisecond); err != nil {
			t.Error(err)
		}
		if err := ask(t.Context(), client, time.Second, 0); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if _, open := p.counts(); open != 1 {
			t.Errorf("%d connections are open, want 1", open)
		}
	})
}

// Guards against a peer that is no longer reached because each connection to it is replaced before it has answered.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 350 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
				if err := ask(t.Context(), client, time.Second, 0); err != nil {
					t.Fatal(err)
				}
				p.setDelay(delay)
				// The delay is noticed with the first calls.
				for range 3 {
					_ = ask(t.Context(), client, 2*delay+time.Second, 0)
				}
				for range 20 {
					if err := ask(t.Context(), client, 2*delay+300*time.Millisecond, 0); err != nil {
						t.Error(err)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if dialled, open := p.counts(); dialled > 2 || open != 1 {
					t.Errorf("%d connections were opened and %d are open, want at most 2 and 1", dialled, open)
				}
				p.setDelay(0)
				time.Sleep(2 * delay)
			})
		})
	}
}
