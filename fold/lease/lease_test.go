package lease_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

// hostClock returns the reading, in whole milliseconds, of a host's clock that started at the given instant and runs at a
// share of the speed of the local one.
func hostClock(started, now fold.Instant, speed float64) int64 {
	return time.Duration(float64(now.Sub(started)) * speed).Milliseconds()
}

// Guards against a lease that lasts longer than those assume who did not request it: a later owner, and an owner that takes a
// host from a supervisor, count the longest lease from the request and know no reading of the host's clock.
func TestLeaseCountsFromRequest(t *testing.T) {
	const length = 6 * time.Second
	started := fold.Instant(time.Hour)
	for _, speed := range []float64{0.98, 0.99, 1} {
		for _, age := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
			for _, delay := range []time.Duration{0, 50 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("speed %v, reading %s old, request %s late", speed, age, delay), func(t *testing.T) {
					read := started.Add(time.Minute)
					requested := read.Add(age)
					var g lease.Tracker
					g.RecordClock(hostClock(started, read, speed), read)
					// The host shortens a lease that exceeds the longest one.
					end := min(g.Renew(requested, length), hostClock(started, requested.Add(delay), speed)+length.Milliseconds())
					if clock := hostClock(started, requested.Add(lease.MaxDuration(length)), speed); clock < end {
						t.Errorf("the lease ends at %d ms on the host's clock, which reads %d ms %s after the request", end, clock, lease.MaxDuration(length))
					}
					if clock := hostClock(started, requested.Add(g.Remaining(requested)), speed); clock < end {
						t.Errorf("the lease ends at %d ms on the host's clock, which reads %d ms when no time remains", end, clock)
					}
				})
			}
		}
	}
}
