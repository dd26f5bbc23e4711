package core

import "time"

// rateWindow is how much of its rate a team may send at once; a few seconds even out the chance of arrivals.
const rateWindow = 3 * time.Second

// rate counts the jobs of a team against its rate by the times at which they were accepted, so that a new owner judges
// the jobs that it loads as the one before did.
type rate struct {
	tokens float64
	// at is the time of the last job in milliseconds since the Unix epoch, or 0 before the first.
	at int64
}

// take counts a job that was accepted at the given time, in milliseconds since the Unix epoch, and reports whether it is
// within the rate, in jobs a second. A rate of 0 is no bound.
func (r *rate) take(perSecond float64, accepted int64) bool {
	if perSecond <= 0 {
		return true
	}
	burst := max(1, perSecond*rateWindow.Seconds())
	if r.at == 0 {
		r.tokens, r.at = burst, accepted
	}
	if passed := accepted - r.at; passed > 0 {
		r.tokens = min(burst, r.tokens+perSecond*float64(passed)/1000)
		r.at = accepted
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
