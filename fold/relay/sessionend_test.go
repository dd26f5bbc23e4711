package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/relay"
)

// Guards against two runs of a task: the owner ends a session while it handles an event message of its relay, and then extends
// the permission beyond the time that it recorded for the leases of the session.
func TestNoPermissionAfterSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLeasedPool("a", "b")
		entry := &sessionEntry{id: "x", pool: p}
		table := plat.NewTable()
		driver, _, stop := startOwner(t, p, table, table, 1, entry)
		defer func() {
			stop()
			_ = entry.session.Close()
		}()
		// The test calls the owner in place of the relay.
		time.Sleep(300 * time.Millisecond)
		const session = 1
		if permit := driver.HandleEvents(session, 1, 0, relay.Events{}, false); permit.Ended || permit.RenewFor <= 0 {
			t.Fatalf("permit %+v of an open session, want a permission", permit)
		}
		ended := false
		p.clock.mu.Lock()
		p.clock.reading, p.clock.pause = 2, func() {
			ended = driver.HandleEvents(session, 3, 0, relay.Events{}, true).Ended
		}
		p.clock.mu.Unlock()
		permit := driver.HandleEvents(session, 2, 0, relay.Events{}, false)
		if !ended {
			t.Fatal("the session was not ended")
		}
		if permit.RenewFor > 0 {
			t.Errorf("the owner permits renewals for %s after it ended the session", permit.RenewFor)
		}
	})
}
