package fold

import "time"

// Instant is a time on a monotonic clock, in nanoseconds since an arbitrary origin.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration {
	return time.Duration(i - o)
}

// Clock provides monotonic time and timers. It is an interface so that tests can run the scheduler in virtual time.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}
