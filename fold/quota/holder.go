package quota

import (
	"time"

	"plantainfold.example/fold"
)

// Times of a holder.
const (
	// IdleTime is how long an allotment must be unneeded before it is returned without being asked for.
	IdleTime = 3 * time.Second
	// firstRetry and lastRetry bound the pause after a change that brought too little.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// slackParts is the fraction of the need that is taken in advance, so that not every start costs a write.
	slackParts = 4
)

// Holder decides when one pool changes its allotment of one team. It is not safe for concurrent use.
type Holder struct {
	held  fold.Resources
	short bool
	// dirty says that the table service may still record more than held.
	dirty bool
	idle  fold.Instant
	retry fold.Instant
	pause time.Duration
}

// NewHolder returns a holder of an allotment.
func NewHolder(held fold.Resources) *Holder {
	return &Holder{held: held, idle: -1}
}

// Held returns the allotment.
func (h *Holder) Held() fold.Resources {
	return h.held
}

// Short reports whether the last change brought less than was needed.
func (h *Holder) Short() bool {
	return h.short
}

// Lower gives up what exceeds want before the table service is told, so that a lost reply leads to less use, not more.
func (h *Holder) Lower(want fold.Resources) {
	lowered := h.held.Min(want)
	h.dirty = h.dirty || lowered != h.held
	h.held = lowered
}

// Want returns the allotment that the pool should ask for and whether it should ask now. Contended says that another
// pool lacks allotment of the team.
func (h *Holder) Want(now fold.Instant, need fold.Resources, contended bool) (fold.Resources, bool) {
	if !need.Fits(h.held) {
		h.idle = -1
		return withSlack(need).Max(h.held), now >= h.retry
	}
	h.short = false
	if h.dirty {
		return withSlack(need).Min(h.held), now >= h.retry
	}
	keep := need
	if !contended {
		keep = withSlack(need)
	}
	if h.held.Fits(keep) {
		h.idle = -1
		return h.held, false
	}
	if h.idle < 0 {
		h.idle = now
	}
	return keep.Min(h.held), contended || now.Sub(h.idle) >= IdleTime
}

// Failed records that a change could not be written; it is tried again after a pause.
func (h *Holder) Failed(now fold.Instant) {
	h.backOff(now)
}

// Got records the allotment after a change, and what was needed.
func (h *Holder) Got(now fold.Instant, held, need fold.Resources) {
	h.held = held
	h.dirty = false
	h.idle = -1
	h.short = !need.Fits(held)
	if !h.short {
		h.pause = 0
		return
	}
	h.backOff(now)
}

func (h *Holder) backOff(now fold.Instant) {
	h.pause = min(max(2*h.pause, firstRetry), lastRetry)
	h.retry = now.Add(h.pause)
}

func withSlack(need fold.Resources) fold.Resources {
	return need.Add(fold.Resources{CPU: need.CPU / slackParts, Memory: need.Memory / slackParts, Accel: need.Accel / slackParts})
}
