package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/relay"
)

// Guards against refusing starts because an answer that renews the permission arrives shortly after them.
func TestStartWaitsForPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFakeHost()
		const gap = 120 * time.Millisecond
		var until time.Time
		p := parts(h)
		p.Permitted = func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return !time.Now().Before(until)
		}
		r := relay.New(p)
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}})
		time.Sleep(time.Second)
		h.update(func(*fakeHost) { until = time.Now().Add(gap) })
		r.Apply(startOrder(1))
		time.Sleep(time.Second)
		events := r.Events(t.Context(), 0)
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.starts) != 1 || len(events.Results) != 1 || events.Results[0].Failed != nil {
			t.Fatalf("%d starts sent, results %+v; want one that succeeds", len(h.starts), events.Results)
		}
	})
}
