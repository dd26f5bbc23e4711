package quota

import (
	"math/bits"

	"plantainfold.example/fold"
)

// Split is the division of one team's limit over pools, as a row of the table service holds it.
type Split struct {
	Limit fold.Resources            `json:"limit"`
	Held  map[string]fold.Resources `json:"held"`
}

// Sum returns what all pools hold together.
func (s Split) Sum() fold.Resources {
	var sum fold.Resources
	for _, held := range s.Held {
		sum = sum.Add(held)
	}
	return sum
}

// Free returns what no pool holds; it is never negative.
func (s Split) Free() fold.Resources {
	return s.Limit.Sub(s.Sum()).Max(fold.Resources{})
}

// WithLimit returns the split under a new limit; pools keep what they hold until they return it.
func (s Split) WithLimit(limit fold.Resources) Split {
	s.Limit = limit
	return s
}

// WithHeld returns the split after the pool asked for want, bounded by what is free.
func (s Split) WithHeld(pool string, want fold.Resources) Split {
	now := s.Held[pool]
	grown := want.Sub(now).Max(fold.Resources{}).Min(s.Free())
	next := want.Min(now).Add(grown)
	held := make(map[string]fold.Resources, len(s.Held)+1)
	for p, r := range s.Held {
		held[p] = r
	}
	held[pool] = next
	if next.IsZero() {
		delete(held, pool)
	}
	s.Held = held
	return s
}

// Part returns what a pool may keep when the limit was lowered below what all pools hold: its part of the limit in
// proportion to what it holds.
func (s Split) Part(pool string) fold.Resources {
	held, sum := s.Held[pool], s.Sum()
	return fold.Resources{
		CPU:    proportion(held.CPU, s.Limit.CPU, sum.CPU),
		Memory: proportion(held.Memory, s.Limit.Memory, sum.Memory),
		Accel:  proportion(held.Accel, s.Limit.Accel, sum.Accel),
	}
}

// proportion returns held scaled by limit/sum, rounded down, or held itself when the sum is within the limit.
func proportion(held, limit, sum int64) int64 {
	if sum <= limit {
		return held
	}
	high, low := bits.Mul64(uint64(held), uint64(limit))
	part, _ := bits.Div64(high, low, uint64(sum))
	return int64(part)
}

// Fair returns an equal part of the limit for each holder and one newcomer. While pools contend for a team's limit, none
// takes more than this; otherwise a pool with a long queue would keep all of it.
func (s Split) Fair() fold.Resources {
	n := int64(len(s.Held) + 1)
	return fold.Resources{CPU: s.Limit.CPU / n, Memory: s.Limit.Memory / n, Accel: s.Limit.Accel / n}
}
