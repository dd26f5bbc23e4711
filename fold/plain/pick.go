package plain

import (
	"math/rand/v2"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// Pick returns the index of a worker with enough free capacity for a task, or -1.
type Pick func(nodes []place.Worker, size fold.Resources) int

// FirstFit returns the first worker with enough free capacity.
func FirstFit(nodes []place.Worker, size fold.Resources) int {
	for i, n := range nodes {
		if size.Fits(n.Free()) {
			return i
		}
	}
	return -1
}

// LeastLoaded returns the least loaded worker with enough free capacity.
func LeastLoaded(nodes []place.Worker, size fold.Resources) int {
	best, least := -1, 0.0
	for i, n := range nodes {
		load := n.Used.Dominant(n.Capacity)
		if size.Fits(n.Free()) && (best < 0 || load < least) {
			best, least = i, load
		}
	}
	return best
}

// Random returns a Pick that chooses a random worker with enough free capacity.
func Random(rng *rand.Rand) Pick {
	return func(nodes []place.Worker, size fold.Resources) int {
		best, seen := -1, 0
		for i, n := range nodes {
			if !size.Fits(n.Free()) {
				continue
			}
			if seen++; rng.IntN(seen) == 0 {
				best = i
			}
		}
		return best
	}
}
