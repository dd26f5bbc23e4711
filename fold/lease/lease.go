package lease

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// drift is how much slower a host's clock may run, as a share.
	drift = 0.02
	// margin covers the rounding of clocks in milliseconds.
	margin = 20 * time.Millisecond
)

// OnSlowestClock returns the time that a lease may last on a slow clock.
func OnSlowestClock(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - drift))
}

// MaxDuration returns how long a lease of the given length may last on any host's clock.
func MaxDuration(lease time.Duration) time.Duration {
	return OnSlowestClock(lease) + margin
}

// Tracker is what is known of the leases on one life of a host.
type Tracker struct {
	// clock is the host's clock in milliseconds when it last answered, at is when that answer arrived.
	clock int64
	at    fold.Instant
	// until is the longest lease that was asked for, on the host's clock.
	until int64
}

// RecordClock notes the host's clock in an answer. Answers may overtake each other; the clock only moves forward.
func (g *Tracker) RecordClock(clock int64, now fold.Instant) {
	if clock > g.clock {
		g.clock, g.at = clock, now
	}
}

// ClockKnown reports whether the host's clock is known, without which no lease can be asked for.
func (g *Tracker) ClockKnown() bool {
	return g.at != 0
}

// Renew returns the end of a lease of the given length from now, on the host's clock; 0 while that is not known.
func (g *Tracker) Renew(now fold.Instant, length time.Duration) int64 {
	if !g.ClockKnown() {
		return 0
	}
	until := g.clock + (now.Sub(g.at) + length).Milliseconds()
	g.until = max(g.until, until)
	return until
}

// Remaining returns how long what was asked for may last, on a clock as slow as a host's may be.
func (g *Tracker) Remaining(now fold.Instant) time.Duration {
	if !g.ClockKnown() || g.until <= g.clock {
		return 0
	}
	end := g.at.Add(MaxDuration(time.Duration(g.until-g.clock) * time.Millisecond))
	return max(0, end.Sub(now))
}
