package owner

import (
	"slices"
	"testing"
	"time"

	"plantainfold.example/fold"
)

const (
	// takeoverBound is the maximum time from the crash of one entry of eight until its units have owners again. It covers
	// TTL of an unchanged row, and the steps that read it, fence the entry, wait for majorities and write the new owners.
	takeoverBound = 9 * time.Second
	// handoverBound is the maximum time without an acting owner for a unit during a planned stop.
	handoverBound = time.Second
)

// settled returns a world of eight entries without faults in which all units have owners.
func settled(seed uint64) *world {
	w := newWorld(seed, 8, ruleFaults{})
	w.run(30*time.Second + w.between(0, time.Second))
	return w
}

// awaitOwners returns how long it takes until all units have an owner with standing. It checks once every step.
func (w *world) awaitOwners(bound, step time.Duration) time.Duration {
	begin := w.now
	for !w.hasRecovered() && w.now.Sub(begin) < bound {
		w.run(step)
	}
	return w.now.Sub(begin)
}

func report(t *testing.T, what string, times []time.Duration) {
	t.Helper()
	slices.Sort(times)
	t.Logf("%s over %d seeds: p50 %v, max %v", what, len(times), times[len(times)/2], times[len(times)-1])
}

// busiest returns the entry with the most units.
func (w *world) busiest() *proc {
	return slices.MaxFunc(w.alive(), func(a, b *proc) int { return len(a.opened) - len(b.opened) })
}

// Guards against a takeover that takes longer than its bound.
func TestTakeoverTime(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(*seeds / 20) {
		w := settled(seed)
		w.kill(w.busiest())
		took := w.awaitOwners(takeoverBound, 10*time.Millisecond)
		if took >= takeoverBound || len(w.failures) > 0 {
			t.Errorf("seed %d: %v: %s %v", seed, took, w.missing(), w.failures)
		}
		times = append(times, took)
	}
	report(t, "from kill to all units owned", times)
}

// Guards against a planned stop that leaves units without an owner for longer than its bound.
func TestPlannedStopTime(t *testing.T) {
	var gaps, stops []time.Duration
	for seed := range uint64(*seeds / 20) {
		w := settled(seed)
		p := w.busiest()
		begin := w.now
		var gap, longest time.Duration
		p.stop()
		for p.alive || !w.hasRecovered() {
			w.run(5 * time.Millisecond)
			if w.hasRecovered() {
				gap = 0
			} else {
				gap += 5 * time.Millisecond
			}
			longest = max(longest, gap)
			if w.now.Sub(begin) > takeoverBound {
				t.Fatalf("seed %d: not stopped after %v: %s", seed, takeoverBound, w.missing())
			}
		}
		if longest > handoverBound {
			t.Errorf("seed %d: a unit had no owner for %v", seed, longest)
		}
		gaps, stops = append(gaps, longest), append(stops, w.now.Sub(begin))
	}
	report(t, "longest time without an owner in a planned stop", gaps)
	report(t, "planned stop", stops)
}

// Guards against a cell that does not recover after all entries crashed at once and were replaced.
func TestAllEntriesReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		same  bool
		bound time.Duration
	}{
		{"under the same names", true, 15 * time.Second},
		{"under new names", false, recoverBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(*seeds / 50) {
				w := settled(seed)
				var lastStart fold.Instant
				for _, p := range w.alive() {
					w.kill(p)
					name := p.name
					if !c.same {
						name = "new-" + name
					}
					w.at(w.between(time.Second, 2*time.Second), func() { lastStart = w.start(name).startedAt })
				}
				w.run(2 * time.Second)
				w.awaitOwners(c.bound, 50*time.Millisecond)
				if took := w.now.Sub(lastStart); took >= c.bound || len(w.failures) > 0 {
					t.Errorf("seed %d: %v: %s %v", seed, took, w.missing(), w.failures)
				}
				times = append(times, w.now.Sub(lastStart))
			}
			report(t, "from the last start to all units owned", times)
		})
	}
}
