package route

import "time"

// Outcome is how a request at an endpoint went.
type Outcome int

const (
	// Abandoned says nothing of the endpoint: the request was not sent, or its caller went away.
	Abandoned Outcome = iota
	// Served says that the endpoint answered.
	Served
	// Refused says that the endpoint proved that it did not run the request.
	Refused
	// Failed says that no valid answer came.
	Failed
	// Expired says that no answer came before the deadline of the request, which may have been short.
	Expired
)

// Report is what an entry learnt from a request.
type Report struct {
	Outcome Outcome
	// Running and Slots are the endpoint's load without the request; Slots is 0 if it is unknown.
	Running, Slots int
	Took           time.Duration
}

// times estimates the time that requests take.
type times struct {
	mean, deviation float64
}

// minPatience is the least time without an answer that counts against an endpoint.
const minPatience = 50 * time.Millisecond

// weight is the part of a new sample in the estimates; 1/16 follows a change within about 30 requests.
const weight = 1.0 / 16

func (t *times) add(d time.Duration) {
	sample := float64(d)
	if t.mean == 0 {
		t.mean, t.deviation = sample, sample/4
		return
	}
	off := sample - t.mean
	t.mean += weight * off
	t.deviation += weight * (max(off, -off) - t.deviation)
}

// Mean returns the mean time of a request, or 0 if it is unknown.
func (t *times) Mean() time.Duration {
	return time.Duration(t.mean)
}

// Likely returns the time within which most requests end, or 0 if it is unknown.
func (t *times) Likely() time.Duration {
	return time.Duration(t.mean + 4*t.deviation)
}

// expired takes note of a request that ran for d without an end. It counts at most double, because one endpoint that
// does not answer would otherwise make all requests look slow. It reports whether d was long for a request.
func (t *times) expired(d time.Duration) bool {
	long := d > max(2*t.Likely(), minPatience)
	if t.mean > 0 && d > t.Mean() {
		t.add(min(d, 2*t.Mean()))
	}
	return long
}

// Mean returns the mean time of a request at an endpoint, or 0 if it is unknown.
func (t *Table) Mean() time.Duration {
	return t.times.Mean()
}

// Likely returns the time within which most requests end at an endpoint, or 0 if it is unknown.
func (t *Table) Likely() time.Duration {
	return t.times.Likely()
}

// Rate returns how many requests a second end at the present number in flight, or 0 if it is unknown.
func (t *Table) Rate() float64 {
	if t.times.mean <= 0 {
		return 0
	}
	return float64(t.inflight) / t.times.Mean().Seconds()
}
