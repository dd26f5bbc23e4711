package lease

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// maxDrift is the share by which a host's clock may be slower than the local one.
	maxDrift = 0.02
	// roundingMargin covers the rounding of clocks to milliseconds.
	roundingMargin = 20 * time.Millisecond
)

// OnSlowestClock returns how long a lease of the given length may last on the slowest clock.
func OnSlowestClock(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - maxDrift))
}

// MaxDuration returns how long a lease of the given length may last on any host's clock, including the rounding of clocks.
func MaxDuration(lease time.Duration) time.Duration {
	return OnSlowestClock(lease) + roundingMargin
}

// Tracker tracks the clock of one incarnation of a host and the leases requested there.
type Tracker struct {
	// clock is the highest reading of the host's clock in its answers, in milliseconds.
	clock int64
	// clockAt is when that answer arrived.
	clockAt fold.Instant
	// expires is the latest end of a requested lease, on the host's clock.
	expires int64
}

// RecordClock records the host's clock from an answer. Answers can arrive out of order; an older reading is ignored.
func (g *Tracker) RecordClock(clock int64, now fold.Instant) {
	if clock > g.clock {
		g.clock, g.clockAt = clock, now
	}
}

// ClockKnown reports whether the host's clock is known. Without it, no lease can be requested.
func (g *Tracker) ClockKnown() bool {
	return g.clockAt != 0
}

// Renew records and returns the end of a lease of at most the given length from now, on the host's clock. It returns 0 while
// the clock is unknown. It assumes that the clock has advanced as slowly as allowed since its last reading, because others
// count the lease from the request and do not know the reading.
func (g *Tracker) Renew(now fold.Instant, length time.Duration) int64 {
	if !g.ClockKnown() {
		return 0
	}
	advanced := time.Duration(float64(now.Sub(g.clockAt)) * (1 - maxDrift))
	expires := g.clock + (advanced + length).Milliseconds()
	g.expires = max(g.expires, expires)
	return expires
}

// Remaining returns how long the requested leases may still last if the host's clock is as slow as allowed.
func (g *Tracker) Remaining(now fold.Instant) time.Duration {
	if !g.ClockKnown() || g.expires <= g.clock {
		return 0
	}
	end := g.clockAt.Add(MaxDuration(time.Duration(g.expires-g.clock) * time.Millisecond))
	return max(0, end.Sub(now))
}
