package owner

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"plantainfold.example/fold"
)

var (
	seeds = flag.Int("seeds", 200, "number of fault schedules")
	first = flag.Uint64("seed", 1, "first seed of the fault schedules")
)

// Times of a schedule.
const (
	calmTime  = 15 * time.Second
	faultTime = 55 * time.Second
	// recoverBound is how long after the last fault or start every unit has an owner that may act. It covers the lag of
	// the instance list, UnlistedTime, TTL of lasting contact and the steps that fence and take.
	recoverBound = 60 * time.Second
)

// simulate runs one fault schedule and returns the world and how long it took to recover.
func simulate(seed uint64, b broken) (*world, time.Duration) {
	w := newWorld(seed, 3+int(seed%4), b)
	w.lag()
	w.callers()
	w.operators()
	w.run(calmTime)
	w.faulty = true
	w.faults()
	w.run(faultTime)
	w.heal()
	var since fold.Instant
	for since = w.now; len(w.failures) == 0; w.run(250 * time.Millisecond) {
		if w.recovered() {
			break
		}
		if len(w.procs) > 0 && w.procs[len(w.procs)-1].born > since {
			since = w.procs[len(w.procs)-1].born
		}
		if w.now.Sub(since) > recoverBound {
			w.fail("not recovered %v after the last fault or start: %s", recoverBound, w.missing())
		}
	}
	took := w.now.Sub(since)
	if len(w.failures) == 0 {
		if name := w.history.check(); name != "" {
			w.fail("the history of the %s is not linearizable", name)
		}
	}
	return w, took
}

// operators change the configuration every few seconds.
func (w *world) operators() {
	if p := w.pick(); p != nil {
		p.change()
	}
	w.at(w.between(500*time.Millisecond, 2500*time.Millisecond), w.operators)
}

func (w *world) recovered() bool { return w.missing() == "" }

// missing names what is not yet as it must be without faults.
func (w *world) missing() string {
	all := w.alive()
	if len(all) == 0 {
		return "no entry runs"
	}
	for _, spec := range w.specs {
		owners := 0
		for _, p := range all {
			if o, ok := p.opened[spec.ID]; ok && p.m.Standing(w.now) == ModeTable && p.m.EpochOf(spec.ID) == o.epoch {
				owners++
			}
		}
		if owners != 1 {
			return fmt.Sprintf("%s has %d owners that may act", spec.ID, owners)
		}
	}
	for _, p := range all {
		if w.names[p.name] == p && p.m.Fresh(w.now, p.revision) == ModeNone {
			return p.name + " refuses keyed work"
		}
	}
	return ""
}

// parallel runs fn for each seed on at most three goroutines; it stops early when fn returns false.
func parallel(from uint64, n int, fn func(seed uint64) bool) {
	var wait sync.WaitGroup
	work := make(chan uint64)
	stop := make(chan struct{})
	var once sync.Once
	for range min(3, runtime.GOMAXPROCS(0)) {
		wait.Go(func() {
			for seed := range work {
				if !fn(seed) {
					once.Do(func() { close(stop) })
				}
			}
		})
	}
	defer wait.Wait()
	defer close(work)
	for k := range n {
		select {
		case work <- from + uint64(k):
		case <-stop:
			return
		}
	}
}

// Guards against two entries that act for one unit, tasks that run in two places, claims granted twice, keyed work under
// an outdated configuration and units that stay without an owner, all under crashes, pauses, partitions, table outages,
// lost replies and a wrong instance list. Run more schedules with -args -seeds 2000.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	var mu sync.Mutex
	total := make(map[string]int)
	var times []time.Duration
	parallel(*first, *seeds, func(seed uint64) bool {
		w, took := simulate(seed, broken{})
		mu.Lock()
		defer mu.Unlock()
		for _, f := range w.failures {
			t.Errorf("seed %d: %s", seed, f)
		}
		for what, n := range w.counts {
			total[what] += n
		}
		times = append(times, took)
		return true
	})
	slices.Sort(times)
	t.Logf("%d schedules from seed %d; recovery p50 %v, max %v", len(times), *first, times[len(times)/2], times[len(times)-1])
	for _, what := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d", what, total[what])
	}
	for _, what := range []string{"acting, mode outage", "keyed work, mode outage", "keyed work, mode peer", "claims granted", "claims seen", "claims unsure", "claims inherited", "configurations accepted", "starts refused", "tasks done"} {
		if total[what] == 0 {
			t.Errorf("no schedule reached %q, so its rule was not tested", what)
		}
	}
}

// Guards against checks that notice nothing: each broken rule must fail in one of the schedules.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, c := range []struct {
		name string
		rule broken
		want string
		// skip passes over schedules that do not catch the rule, to save time.
		skip uint64
	}{
		{"outage mode without a majority", broken{alone: true}, "", 0},
		{"fencing without waiting", broken{hasty: true}, "acts for", 12},
		{"acting on a view that majorities do not know", broken{unacked: true}, "", 10},
		{"heartbeats counted from their arrival", broken{arrival: true}, "", 12},
		{"heartbeats counted that came as requests", broken{toldOnly: true}, "", 0},
		{"claims without the takeover rule", broken{trustful: true}, "was granted by", 8},
		{"workers that do not check the epoch", broken{noEpoch: true}, "epoch", 130},
		{"workers that do not check the session", broken{noSession: true}, "runs on", 10},
		{"old pending tasks started at once", broken{noHold: true}, "runs on", 30},
		{"configuration accepted when committed", broken{early: true}, "keyed work", 35},
		{"configuration confirmed without having read it", broken{eager: true}, "keyed work", 0},
		{"reads of an outdated table", broken{lagging: true}, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			var caught string
			tried := 0
			parallel(*first+c.skip, max(*seeds, 200), func(seed uint64) bool {
				w, _ := simulate(seed, c.rule)
				mu.Lock()
				defer mu.Unlock()
				tried++
				for _, f := range w.failures {
					if caught == "" && strings.Contains(f, c.want) {
						caught = fmt.Sprintf("seed %d: %s", seed, f)
					}
				}
				return caught == ""
			})
			if caught == "" {
				t.Fatalf("not caught in %d schedules", tried)
			}
			t.Logf("caught after %d schedules: %s", tried, caught)
		})
	}
}
