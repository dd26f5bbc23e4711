package place_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// newIndex returns an index of workers with 64 cores in racks of 8, of which about 0.8 is committed.
func newIndex(workers int, rng *rand.Rand) *place.Index {
	x := place.New()
	for i := range workers {
		x.Add(place.Worker{
			Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/8),
			Capacity: fold.Resources{CPU: 64_000, Memory: 131_072},
		})
	}
	for range workers * 12 {
		placeRandom(x, rng)
	}
	return x
}

// placeRandom places a task of random size and returns its worker, or "" if it fits nowhere.
func placeRandom(x *place.Index, rng *rand.Rand) (string, fold.Resources) {
	r := fold.Resources{CPU: 500 + rng.Int64N(7500), Memory: 512 + rng.Int64N(16_000)}
	name, ok := x.Choose(r, allowAny)
	if !ok || !x.Allocate(name, r) {
		return "", r
	}
	return name, r
}

func allowAny(place.Worker) bool { return true }

func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 17_000} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			x := newIndex(workers, rng)
			for b.Loop() {
				if name, r := placeRandom(x, rng); name != "" {
					x.Release(name, r)
				}
			}
		})
	}
}
