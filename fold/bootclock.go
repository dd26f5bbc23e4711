package fold

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a Clock that also advances while the instance is suspended, unlike Go's monotonic clock.
type BootClock struct{}

var _ Clock = BootClock{}

// Now returns the time since boot, including suspended time.
func (BootClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fold: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// After returns a channel that receives once d has passed.
func (BootClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
