package place_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// meanExamined returns the mean number of workers that one choice examines while tasks start and end.
func meanExamined(workers int) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	x := newIndex(workers, rng)
	type placement struct {
		name string
		size fold.Resources
	}
	var queue []placement
	before := x.Examined()
	const choices = 20_000
	for range choices {
		name, r := placeRandom(x, rng)
		if name != "" {
			queue = append(queue, placement{name, r})
		}
		// The test holds about one task per worker, so that indexes of all sizes are equally full.
		if len(queue) > workers || name == "" && len(queue) > 0 {
			x.Release(queue[0].name, queue[0].size)
			queue = queue[1:]
		}
	}
	return float64(x.Examined()-before) / choices
}

// Guards against a choice whose cost grows with the number of workers. It may at most double from 50 to 17,000 workers.
func TestChoiceCostDoesNotGrow(t *testing.T) {
	small := meanExamined(50)
	for _, workers := range []int{500, 5_000, 17_000} {
		got := meanExamined(workers)
		t.Logf("%d workers: %.1f workers examined per choice, %.1f at 50 workers, seed 1,2", workers, got, small)
		if got > 2*small {
			t.Errorf("%d workers: %.1f workers examined per choice, want at most twice %.1f", workers, got, small)
		}
	}
}

// Guards against a choice that misses a worker with enough free capacity, for example because a remembered miss is out of
// date, or that returns a worker without it.
func TestChoiceFindsRoomIfThereIsAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := place.New()
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		for i := range workers {
			x.Add(place.Worker{
				Name:     strconv.Itoa(i),
				Rack:     strconv.Itoa(i / 3),
				Capacity: fold.Resources{CPU: 16_000, Memory: 32_768, Accel: int64(i % 3)},
			})
		}
		size := rapid.Custom(func(t *rapid.T) fold.Resources {
			return fold.Resources{
				CPU:    rapid.Int64Range(1, 9_000).Draw(t, "cpu"),
				Memory: rapid.Int64Range(1, 18_000).Draw(t, "memory"),
				Accel:  rapid.Int64Range(0, 2).Draw(t, "accel"),
			}
		})
		sizes := rapid.SliceOfN(size, 1, 5).Draw(t, "sizes")
		taken := make(map[string][]fold.Resources)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := strconv.Itoa(rapid.IntRange(0, workers-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if n := len(taken[name]); n > 0 {
					x.Release(name, taken[name][n-1])
					taken[name] = taken[name][:n-1]
				}
			case 1:
				x.Close(name, place.Absent)
			case 2:
				x.Open(name, place.Absent)
			default:
				r := rapid.SampledFrom(sizes).Draw(t, "size")
				got, ok := x.Choose(r, nil)
				if want := fitsSomewhere(x, r); ok != want {
					t.Fatalf("Choose(%s) found %t, want %t", r, ok, want)
				}
				if ok && !x.Allocate(got, r) {
					t.Fatalf("Choose(%s) returned %s, on which it does not fit", r, got)
				}
				if ok {
					taken[got] = append(taken[got], r)
				}
			}
		}
	})
}

func fitsSomewhere(x *place.Index, r fold.Resources) bool {
	for i := range x.Len() {
		if n, closed := x.At(i); closed == 0 && r.Fits(n.Free()) {
			return true
		}
	}
	return false
}

// Guards against placing tasks without accelerators on workers with accelerators while others fit, and against dividing a
// gang over more racks than needed.
func TestPreferences(t *testing.T) {
	x := place.New()
	capacity := fold.Resources{CPU: 16_000, Memory: 32_768}
	for i := range 8 {
		c := capacity
		if i < 4 {
			c.Accel = 2
		}
		x.Add(place.Worker{Name: strconv.Itoa(i), Rack: strconv.Itoa(i / 2), Capacity: c})
	}
	open := func(_ place.Worker, why place.Reason) bool { return why == 0 }
	size := fold.Resources{CPU: 8_000, Memory: 8_192}
	if name, ok := x.Choose(size, nil); !ok || name < "4" {
		t.Errorf("Choose without accelerators returned %q, want one of the workers 4 to 7", name)
	}
	batches, ok := x.PlaceAll(size, 4, open)
	if !ok || len(batches) != 2 || batches[0].Worker[0]/2 != batches[1].Worker[0]/2 {
		t.Errorf("Spread of 4 tasks returned %v, want both workers of one rack", batches)
	}
	if _, ok := x.PlaceAll(size, 17, open); ok {
		t.Error("Spread of 17 tasks succeeded, want none of them placed")
	}
	batches, ok = x.PlaceAll(size, 16, open)
	if !ok || len(batches) != 8 {
		t.Errorf("Spread of 16 tasks returned %v, want all workers", batches)
	}
}
