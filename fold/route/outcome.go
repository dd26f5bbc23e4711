package route

import "time"

// Outcome is the result of a request to an endpoint.
type Outcome int

const (
	// Abandoned means that the request was not sent or its caller disconnected. It does not change the endpoint's health.
	Abandoned Outcome = iota
	// Served means that the endpoint answered.
	Served
	// Refused means that the endpoint confirmed that it did not run the request.
	Refused
	// Failed means that no valid answer arrived.
	Failed
	// Expired means that no answer arrived before the deadline of the request. The deadline may have been short.
	Expired
)

// Report describes the result of one request to an endpoint.
type Report struct {
	Outcome Outcome
	// Running and Slots are the requests that the endpoint runs besides this one and its number of slots. Slots is 0 if
	// the load is unknown.
	Running, Slots int
	// Took is the duration of the request.
	Took time.Duration
}

// latency estimates the mean and the deviation of request durations, in nanoseconds.
type latency struct {
	mean, deviation float64
}

// minTimeout is the shortest wait without an answer that counts as a failure of the endpoint.
const minTimeout = 50 * time.Millisecond

// sampleWeight is the weight of a new sample in the estimates. With 1/16 they follow a change within about 30 requests.
const sampleWeight = 1.0 / 16

func (t *latency) addSample(d time.Duration) {
	sample := float64(d)
	if t.mean == 0 {
		t.mean, t.deviation = sample, sample/4
		return
	}
	diff := sample - t.mean
	t.mean += sampleWeight * diff
	t.deviation += sampleWeight * (max(diff, -diff) - t.deviation)
}

// meanDuration returns the mean duration of a request, or 0 if it is unknown.
func (t *latency) meanDuration() time.Duration {
	return time.Duration(t.mean)
}

// likelyMax returns the duration within which most requests end, or 0 if it is unknown.
func (t *latency) likelyMax() time.Duration {
	return time.Duration(t.mean + 4*t.deviation)
}

// addExpired records a request that ran for d without an answer and reports whether d was long for a request. The sample
// is capped at twice the mean, because otherwise one unresponsive endpoint would make all requests look slow.
func (t *latency) addExpired(d time.Duration) bool {
	long := d > max(2*t.likelyMax(), minTimeout)
	if t.mean > 0 && d > t.meanDuration() {
		t.addSample(min(d, 2*t.meanDuration()))
	}
	return long
}

// MeanDuration returns the mean duration of a request at an endpoint, or 0 if it is unknown.
func (t *Table) MeanDuration() time.Duration {
	return t.times.meanDuration()
}

// LikelyMaxDuration returns the duration within which most requests end at an endpoint, or 0 if it is unknown.
func (t *Table) LikelyMaxDuration() time.Duration {
	return t.times.likelyMax()
}

// Rate returns how many requests complete per second at the current number in flight, or 0 if it is unknown.
func (t *Table) Rate() float64 {
	if t.times.mean <= 0 {
		return 0
	}
	return float64(t.inflight) / t.times.meanDuration().Seconds()
}
