package relay

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// maxOwnerDrift is the share by which the clocks of two entries may differ in speed.
	maxOwnerDrift = 0.02
	// maxRelationAge limits the effect of a clock that stood still, as that of a paused virtual machine may.
	maxRelationAge = 5 * time.Second
)

// clockRelation relates the owner's clock to the clock of this entry. It is the zero value until the owner has answered.
type clockRelation struct {
	// sent is when, by this entry's clock, a message was sent. owner is what the owner's clock showed when it answered, which
	// was later.
	sent, owner fold.Instant
}

// earliest returns the earliest time, by this entry's clock, at which the owner's clock can have shown the given reading. It
// returns false if this is not known.
func (c clockRelation) earliest(owner fold.Instant) (fold.Instant, bool) {
	if c == (clockRelation{}) || owner == 0 {
		return 0, false
	}
	passed := float64(owner.Sub(c.owner))
	if passed < 0 {
		return c.sent.Add(time.Duration(passed / (1 - maxOwnerDrift))), true
	}
	return c.sent.Add(time.Duration(passed * (1 - maxOwnerDrift))), true
}

// observe records that the owner's clock showed a reading after a message was sent. The observation that gives the closest
// bound for this reading is kept, which is that of the message that took least time to arrive, unless it is old.
func (c *clockRelation) observe(sent, owner fold.Instant) {
	if known, ok := c.earliest(owner); !ok || sent >= known || sent.Sub(c.sent) > maxRelationAge {
		*c = clockRelation{sent: sent, owner: owner}
	}
}
