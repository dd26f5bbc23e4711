package quota

import (
	"math/bits"

	"plantainfold.example/fold"
)

// Split is the division of one team's limit among pools. It is stored as a row of the table service.
type Split struct {
	Limit fold.Resources            `json:"limit"`
	Held  map[string]fold.Resources `json:"held"`
}

// Sum returns the sum of the allotments of all pools.
func (s Split) Sum() fold.Resources {
	var sum fold.Resources
	for _, held := range s.Held {
		sum = sum.Add(held)
	}
	return sum
}

// Free returns the part of the limit that no pool holds. It is never negative.
func (s Split) Free() fold.Resources {
	return s.Limit.Sub(s.Sum()).Max(fold.Resources{})
}

// WithLimit returns the split with a new limit. Pools keep their allotments until they return them.
func (s Split) WithLimit(limit fold.Resources) Split {
	s.Limit = limit
	return s
}

// WithRequest returns the split after the pool requested the allotment want. The allotment grows by at most what is free.
func (s Split) WithRequest(pool string, want fold.Resources) Split {
	current := s.Held[pool]
	grown := want.Sub(current).Max(fold.Resources{}).Min(s.Free())
	next := want.Min(current).Add(grown)
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

// ProportionalShare returns the allotment that a pool may keep. If the allotments of all pools exceed the limit, this is the
// pool's part of the limit in proportion to its allotment.
func (s Split) ProportionalShare(pool string) fold.Resources {
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

// FairShare returns an equal part of the limit for each pool with an allotment and one more pool. While pools contend for a
// team's limit, none requests more than this. Otherwise a pool with a long queue would keep the whole limit.
func (s Split) FairShare() fold.Resources {
	n := int64(len(s.Held) + 1)
	return fold.Resources{CPU: s.Limit.CPU / n, Memory: s.Limit.Memory / n, Accel: s.Limit.Accel / n}
}
