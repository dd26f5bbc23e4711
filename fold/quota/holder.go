package quota

import (
	"time"

	"plantainfold.example/fold"
)

// Durations and the reserve of a holder.
const (
	// IdleTime is how long part of an allotment must be unneeded before it is returned without contention.
	IdleTime = 3 * time.Second
	// minRetryDelay is the delay after the first change that failed or granted less than was needed.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is the maximum delay after repeated such changes.
	maxRetryDelay = time.Second
	// slackDivisor makes a holder request 1/slackDivisor more than the need, so that not every start of a task needs a
	// write.
	slackDivisor = 4
)

// Holder decides when one pool changes its allotment of one team's limit. It is not safe for concurrent use.
type Holder struct {
	// held is the current allotment.
	held fold.Resources
	// short is set if the last change granted less than was needed.
	short bool
	// dirty is set while the table service may still record more than held.
	dirty bool
	// idleSince is since when part of the allotment has been unneeded, or -1.
	idleSince fold.Instant
	// nextRetry is the earliest instant of the next change.
	nextRetry fold.Instant
	// retryDelay is the current retry delay.
	retryDelay time.Duration
}

// NewHolder returns a holder with the given allotment.
func NewHolder(held fold.Resources) *Holder {
	return &Holder{held: held, idleSince: -1}
}

// Held returns the allotment.
func (h *Holder) Held() fold.Resources {
	return h.held
}

// Short reports whether the last change granted less than was needed.
func (h *Holder) Short() bool {
	return h.short
}

// Lower reduces the allotment to want before the reduction is written to the table service. If the reply to the write is
// lost, the pool then uses less than the table service records, never more.
func (h *Holder) Lower(want fold.Resources) {
	lowered := h.held.Min(want)
	h.dirty = h.dirty || lowered != h.held
	h.held = lowered
}

// Want returns the allotment that the pool should request and whether it should request it now. Contended is set if the
// allotment of another pool for the team is too small.
func (h *Holder) Want(now fold.Instant, need fold.Resources, contended bool) (fold.Resources, bool) {
	if !need.Fits(h.held) {
		h.idleSince = -1
		return withSlack(need).Max(h.held), now >= h.nextRetry
	}
	h.short = false
	if h.dirty {
		return withSlack(need).Min(h.held), now >= h.nextRetry
	}
	keep := need
	if !contended {
		keep = withSlack(need)
	}
	if h.held.Fits(keep) {
		h.idleSince = -1
		return h.held, false
	}
	if h.idleSince < 0 {
		h.idleSince = now
	}
	return keep.Min(h.held), contended || now.Sub(h.idleSince) >= IdleTime
}

// RecordFailure records that a change could not be written. The holder retries it after a delay.
func (h *Holder) RecordFailure(now fold.Instant) {
	h.backOff(now)
}

// RecordGrant records the allotment that was granted by a change and the resources that were needed.
func (h *Holder) RecordGrant(now fold.Instant, held, need fold.Resources) {
	h.held = held
	h.dirty = false
	h.idleSince = -1
	h.short = !need.Fits(held)
	if !h.short {
		h.retryDelay = 0
		return
	}
	h.backOff(now)
}

func (h *Holder) backOff(now fold.Instant) {
	h.retryDelay = min(max(2*h.retryDelay, minRetryDelay), maxRetryDelay)
	h.nextRetry = now.Add(h.retryDelay)
}

func withSlack(need fold.Resources) fold.Resources {
	return need.Add(fold.Resources{CPU: need.CPU / slackDivisor, Memory: need.Memory / slackDivisor, Accel: need.Accel / slackDivisor})
}
