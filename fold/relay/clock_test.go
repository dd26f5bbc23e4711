package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against taking orders for younger than they are, at any delay of the messages and with clocks of different speed.
func TestOwnerClockIsNotTakenForLater(t *testing.T) {
	for _, speed := range []float64{1 - maxOwnerDrift, 1, 1 + maxOwnerDrift} {
		for _, longest := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("speed %v, delays up to %s", speed, longest), func(t *testing.T) {
				const seed, began, owner = 3, fold.Instant(time.Hour), fold.Instant(20 * time.Hour)
				random := rand.New(rand.NewPCG(seed, 1))
				// ownerAt returns what the owner's clock shows at a time of this entry's clock.
				ownerAt := func(now fold.Instant) fold.Instant { return owner.Add(time.Duration(speed * float64(now.Sub(began)))) }
				var relation clockRelation
				if _, ok := relation.earliest(owner); ok {
					t.Error("a relation is known before the owner has answered")
				}
				var worst time.Duration
				for now := began; now < began.Add(time.Minute); now = now.Add(200 * time.Millisecond) {
					delay := time.Duration(random.Int64N(int64(longest)))
					relation.observe(now, ownerAt(now.Add(delay)))
					for _, apart := range []time.Duration{-2 * time.Second, -200 * time.Millisecond, 0, 100 * time.Millisecond, 5 * time.Second} {
						at := now.Add(apart)
						earliest, ok := relation.earliest(ownerAt(at))
						// One nanosecond is lost to rounding.
						if !ok || earliest > at+1 {
							t.Fatalf("seed %d: the owner's clock showed its reading %s before the earliest time", seed, earliest.Sub(at))
						}
						if apart == 0 {
							worst = max(worst, at.Sub(earliest))
						}
					}
				}
				if limit := longest + 50*time.Millisecond; worst > limit {
					t.Errorf("the earliest time is up to %s too early, want at most %s", worst, limit)
				}
			})
		}
	}
}

// Guards against a relay that takes all orders for young after its clock stood still, because later observations seem worse.
func TestStoppedClockIsNoticed(t *testing.T) {
	const stopped = 10 * time.Second
	began, owner := fold.Instant(time.Hour), fold.Instant(20*time.Hour)
	var relation clockRelation
	relation.observe(began, owner)
	// From here on, the owner's clock is ahead by the time for which the own one stood still.
	for passed := 200 * time.Millisecond; passed <= 2*maxRelationAge; passed += 200 * time.Millisecond {
		relation.observe(began.Add(passed), owner.Add(stopped+passed))
	}
	now := began.Add(2 * maxRelationAge)
	if earliest, _ := relation.earliest(owner.Add(stopped + 2*maxRelationAge)); earliest > now {
		t.Errorf("the owner's clock showed its reading %s before the earliest time", earliest.Sub(now))
	}
}
