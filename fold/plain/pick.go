package plain

import (
	"math/rand/v2"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// Pick chooses one of the workers that have room for a task, or -1.
type Pick func(nodes []place.Node, size fold.Resources) int

// First takes the first worker with room.
func First(nodes []place.Node, size fold.Resources) int {
	for i, n := range nodes {
		if size.Fits(n.Free()) {
			return i
		}
	}
	return -1
}

// Least takes the worker with room that is least loaded.
func Least(nodes []place.Node, size fold.Resources) int {
	best, least := -1, 0.0
	for i, n := range nodes {
		load := n.Used.Dominant(n.Capacity)
		if size.Fits(n.Free()) && (best < 0 || load < least) {
			best, least = i, load
		}
	}
	return best
}

// Random takes any worker with room.
func Random(rng *rand.Rand) Pick {
	return func(nodes []place.Node, size fold.Resources) int {
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
