package place_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// newIndex returns workers of 64 cores in racks of 8, filled to about 0.8.
func newIndex(workers int, rng *rand.Rand) *place.Index {
	x := place.New()
	for i := range workers {
		x.Add(place.Node{
			Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/8),
			Capacity: fold.Resources{CPU: 64_000, Memory: 131_072},
		})
	}
	for range workers * 12 {
		place64(x, rng)
	}
	return x
}

func place64(x *place.Index, rng *rand.Rand) (string, fold.Resources) {
	r := fold.Resources{CPU: 500 + rng.Int64N(7500), Memory: 512 + rng.Int64N(16_000)}
	name, ok := x.Choose(r, every)
	if !ok || !x.Commit(name, r) {
		return "", r
	}
	return name, r
}

func every(place.Node) bool { return true }

func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 17_000} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			x := newIndex(workers, rng)
			for b.Loop() {
				if name, r := place64(x, rng); name != "" {
					x.Release(name, r)
				}
			}
		})
	}
}
