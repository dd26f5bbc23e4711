package route

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// Window bounds the requests that an entry has in flight at one endpoint; 16 entries share its 64 connections.
	Window = 4
	// startLimit is the first limit of an unknown endpoint; several entries may learn of it at once.
	startLimit = 2
	// loadHalf is the age at which a reported load counts half, because other entries have changed it since; it is half
	// the usual run of 20 ms.
	loadHalf = 10 * time.Millisecond
	// farCost is how many more requests of 8 slots a near endpoint may hold before a far one is chosen instead.
	farCost = 2
)

// target is one endpoint.
type target struct {
	instance fold.Instance
	near     bool
	gone     bool
	inflight int
	// limit bounds inflight; it follows the free slots that the endpoint reports and its refusals.
	limit int
	// others is the number of requests of other entries when the endpoint last answered.
	others   float64
	reported fold.Instant
	// refusals counts refusals in a row.
	refusals int
	// until is when the endpoint may be tried again after a refusal or an ejection.
	until  fold.Instant
	health health
	// index is the position in the list of endpoints with a free place, or -1.
	index int
}

// open reports whether the endpoint may be sent one more request.
func (t *target) open(now fold.Instant) bool {
	return !t.gone && now >= t.until && t.inflight < t.health.bound(t.limit)
}

// load estimates how many requests the endpoint runs; a report that grows old tends to the usual load by others.
func (t *target) load(now fold.Instant, usual float64) float64 {
	age := float64(now.Sub(t.reported)) / float64(loadHalf)
	return float64(t.inflight) + usual + (t.others-usual)/(1+age)
}

// observe adapts the limit to the load that came with an answer; inflight no longer counts the answered request.
func (t *target) observe(now fold.Instant, running, slots int) {
	t.refusals = 0
	if slots <= 0 {
		return
	}
	t.others = float64(max(running-t.inflight, 0))
	t.reported = now
	if slots-running > 1 {
		t.limit = min(t.limit+1, Window)
		return
	}
	// The only free slot is the one that the answered request left, so this entry may fill it but not take more.
	t.limit = min(t.limit, t.inflight+1)
}

// refuse lowers the limit to what the endpoint accepted.
func (t *target) refuse(now fold.Instant, pause time.Duration) {
	t.refusals++
	t.limit = max(t.inflight, 1)
	t.reported = now
	if t.instance.Slots > 0 {
		t.others = float64(max(t.instance.Slots-t.inflight, 0))
	}
	if t.inflight == 0 {
		t.until = max(t.until, now.Add(pause))
	}
}
