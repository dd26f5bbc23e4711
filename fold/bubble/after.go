package bubble

import "time"

// After returns a channel that receives the time after d, like [time.After].
//
// The race detector of Go 1.26.8 crashes if goroutines of a bubble receive from elapsed channel timers at the same time, because
// each of them runs its timer in the one race context of the bubble. The timer of this function is run by the bubble itself.
func After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- time.Now()
		return c
	}
	time.AfterFunc(d, func() { c <- time.Now() })
	return c
}
