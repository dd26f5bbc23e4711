package core

import "time"

// rateWindow sets the size of a burst: a team may submit the jobs of this much time at once, because arrivals are random.
const rateWindow = 3 * time.Second

// rate is a token bucket for the jobs of a team. It uses the times at which jobs were accepted, so that a new owner that
// loads the jobs gets the same result as the previous one.
type rate struct {
	tokens float64
	// lastJob is when the last job was accepted, in milliseconds since the Unix epoch, or 0 before the first.
	lastJob int64
}

// allow counts a job accepted at the given time, in milliseconds since the Unix epoch, and reports whether it is within the
// rate, in jobs per second. A rate of 0 sets no limit.
func (r *rate) allow(perSecond float64, accepted int64) bool {
	if perSecond <= 0 {
		return true
	}
	burst := max(1, perSecond*rateWindow.Seconds())
	if r.lastJob == 0 {
		r.tokens, r.lastJob = burst, accepted
	}
	if elapsed := accepted - r.lastJob; elapsed > 0 {
		r.tokens = min(burst, r.tokens+perSecond*float64(elapsed)/1000)
		r.lastJob = accepted
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
