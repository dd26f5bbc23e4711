package route

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// MaxInflightPerEndpoint is the maximum number of requests that an entry has in flight at one endpoint. 16 entries share
	// the 64 connections of an endpoint.
	MaxInflightPerEndpoint = 4
	// startLimit is the first limit of a new endpoint. It is low because several entries may discover the endpoint at
	// once.
	startLimit = 2
	// loadHalfAge is the age at which a reported load counts half, because other entries have changed the load since. It
	// is half of the usual request duration of 20 ms.
	loadHalfAge = 10 * time.Millisecond
	// remoteCost is how many more requests, of 8 slots, an endpoint of the own failure domain may hold before one of
	// another domain is chosen.
	remoteCost = 2
)

// target is the state of one endpoint.
type target struct {
	instance fold.Instance
	local    bool
	removed  bool
	inflight int
	// limit bounds inflight. It follows the free slots and the refusals that the endpoint reports.
	limit int
	// otherLoad is the number of requests of other entries at the last answer of the endpoint.
	otherLoad      float64
	loadReportedAt fold.Instant
	// refusals counts consecutive refusals.
	refusals int
	// retryAt is the time from which the endpoint may be tried again after a refusal or an ejection.
	retryAt fold.Instant
	health  health
	// index is the position in the table's list of open endpoints, or -1.
	index int
}

// open reports whether the endpoint may receive one more request.
func (t *target) open(now fold.Instant) bool {
	return !t.removed && now >= t.retryAt && t.inflight < t.health.maxInflight(t.limit)
}

// load estimates how many requests the endpoint runs. As a report ages, the estimate approaches meanOtherLoad.
func (t *target) load(now fold.Instant, meanOtherLoad float64) float64 {
	age := float64(now.Sub(t.loadReportedAt)) / float64(loadHalfAge)
	return float64(t.inflight) + meanOtherLoad + (t.otherLoad-meanOtherLoad)/(1+age)
}

// recordLoad adapts the limit to the load reported in an answer. inflight no longer counts the answered request.
func (t *target) recordLoad(now fold.Instant, running, slots int) {
	t.refusals = 0
	if slots <= 0 {
		return
	}
	t.otherLoad = float64(max(running-t.inflight, 0))
	t.loadReportedAt = now
	if slots-running > 1 {
		t.limit = min(t.limit+1, MaxInflightPerEndpoint)
		return
	}
	// The only free slot is the one of the answered request, so this entry may use it again but no other slot.
	t.limit = min(t.limit, t.inflight+1)
}

// recordRefusal lowers the limit to the number of requests that the endpoint accepted.
func (t *target) recordRefusal(now fold.Instant, pause time.Duration) {
	t.refusals++
	t.limit = max(t.inflight, 1)
	t.loadReportedAt = now
	if t.instance.Slots > 0 {
		t.otherLoad = float64(max(t.instance.Slots-t.inflight, 0))
	}
	if t.inflight == 0 {
		t.retryAt = max(t.retryAt, now.Add(pause))
	}
}
