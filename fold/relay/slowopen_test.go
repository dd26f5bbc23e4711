package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/plat"
)

// Guards against an owner that never gets relays, because the answer to opening a session takes longer than a fixed limit, and
// supervises all hosts itself.
func TestSessionsOpenOverSlowLinks(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 220 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts = 24
				var ids []string
				for n := range hosts {
					ids = append(ids, fmt.Sprintf("host-%02d", n))
				}
				p, links := newLeasedPool(ids...), &slowLinks{seed: 1, delays: constant(delay), ready: make(chan struct{})}
				var entries []*slowEntry
				var relays []drive.RelayEntry
				for n := range 6 {
					e := &slowEntry{id: fmt.Sprintf("entry-%d", n), pool: p, links: links}
					entries, relays = append(entries, e), append(relays, e)
				}
				table := plat.NewTable()
				driver, _, stop := startOwner(t, p, table, table, 2, relays...)
				links.driver = driver
				close(links.ready)
				defer func() {
					stop()
					time.Sleep(drainTime)
					for _, e := range entries {
						e.close()
					}
					time.Sleep(drainTime)
				}()
				time.Sleep(30 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				own := 0
				for _, id := range ids {
					if p.caller[id] == "owner" {
						own++
					}
				}
				if own > 2 {
					t.Errorf("the owner supervises %d of %d hosts itself after 30 s, it can supervise 2; %d sessions were opened", own, hosts, links.sessionsOpened())
				}
			})
		})
	}
}
