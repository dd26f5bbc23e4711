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

// Stretch returns the time that a lease may last on a slow clock.
func Stretch(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - drift))
}

// Longest returns how long a lease of the given length may last on any host's clock.
func Longest(lease time.Duration) time.Duration {
	return Stretch(lease) + margin
}

// Grant is what is known of the leases on one life of a host.
type Grant struct {
	// clock is the host's clock in milliseconds when it last answered, at is when that answer arrived.
	clock int64
	at    fold.Instant
	// until is the longest lease that was asked for, on the host's clock.
	until int64
}

// Heard notes the host's clock in an answer. Answers may overtake each other; the clock only moves forward.
func (g *Grant) Heard(clock int64, now fold.Instant) {
	if clock > g.clock {
		g.clock, g.at = clock, now
	}
}

// Known reports whether the host's clock is known, without which no lease can be asked for.
func (g *Grant) Known() bool {
	return g.at != 0
}

// Renew returns the end of a lease of the given length from now, on the host's clock; 0 while that is not known.
func (g *Grant) Renew(now fold.Instant, length time.Duration) int64 {
	if !g.Known() {
		return 0
	}
	until := g.clock + (now.Sub(g.at) + length).Milliseconds()
	g.until = max(g.until, until)
	return until
}

// Left returns how long what was asked for may last, on a clock as slow as a host's may be.
func (g *Grant) Left(now fold.Instant) time.Duration {
	if !g.Known() || g.until <= g.clock {
		return 0
	}
	end := g.at.Add(Longest(time.Duration(g.until-g.clock) * time.Millisecond))
	return max(0, end.Sub(now))
}
