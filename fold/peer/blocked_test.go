package peer_test

import (
	"sync"
	"testing"
	"time"

	"plantainfold.example/fold/peer"
)

// Guards against calls that take longer than their deadline because the connection takes no bytes.
func TestCallsEndInTimeOnABlockedConnection(t *testing.T) {
	testPair(t, func(t *testing.T, p *proxy, client *peer.Transport) {
		if err := ask(t.Context(), client, time.Second, 0); err != nil {
			t.Fatal(err)
		}
		p.harm(blocked)
		var calls sync.WaitGroup
		const limit = 250 * time.Millisecond
		for range 3 {
			calls.Go(func() {
				begin := time.Now()
				if err := ask(t.Context(), client, limit, 0); err == nil {
					t.Error("a call on a blocked connection is answered")
				}
				if took := time.Since(begin); took > limit+10*time.Millisecond {
					t.Errorf("a call with a deadline of %s takes %s", limit, took)
				}
			})
		}
		calls.Wait()
	})
}
