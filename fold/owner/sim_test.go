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

// Durations of a fault schedule.
const (
	calmTime  = 15 * time.Second
	faultTime = 55 * time.Second
	// recoverBound is the maximum time from the last fault or start until every unit has an owner with standing. It covers
	// the delay of the instance list, RemovalTime, TTL of continuous contact, and the steps of fencing and takeover.
	recoverBound = 60 * time.Second
)

// simulate runs one fault schedule and returns the world and how long it took to recover.
func simulate(seed uint64, b ruleFaults) (*world, time.Duration) {
	w := newWorld(seed, 3+int(seed%4), b)
	w.copyStaleRows()
	w.callers()
	w.operators()
	w.run(calmTime)
	w.faulty = true
	w.faults()
	w.run(faultTime)
	w.heal()
	var since fold.Instant
	for since = w.now; len(w.failures) == 0; w.run(250 * time.Millisecond) {
		if w.hasRecovered() {
			break
		}
		if len(w.procs) > 0 && w.procs[len(w.procs)-1].startedAt > since {
			since = w.procs[len(w.procs)-1].startedAt
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
		p.changeConfig()
	}
	w.at(w.between(500*time.Millisecond, 2500*time.Millisecond), w.operators)
}

func (w *world) hasRecovered() bool { return w.missing() == "" }

// missing describes the first part of the cell that has not recovered, or returns "".
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
			return fmt.Sprintf("%s has %d owners with standing, want 1", spec.ID, owners)
		}
	}
	for _, p := range all {
		if w.names[p.name] == p && p.m.ConfigMode(w.now, p.revision) == ModeNone {
			return p.name + " refuses keyed work"
		}
	}
	return ""
}

// parallel runs fn for each seed on at most three goroutines. It stops early when fn returns false.
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

// Guards against two entries that act for one unit, tasks that run on two workers, claims granted twice, work under API
// keys with an outdated configuration, and units that stay without an owner. The faults are crashes, pauses, partitions,
// table outages, lost replies and a wrong instance list. Run more schedules with -args -seeds 2000.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	var mu sync.Mutex
	total := make(map[string]int)
	var times []time.Duration
	parallel(*first, *seeds, func(seed uint64) bool {
		w, took := simulate(seed, ruleFaults{})
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
			t.Errorf("no schedule counted %q, so that its rule was not tested", what)
		}
	}
}

// Guards against checks that detect no fault. Each broken rule must fail a check in one of the schedules.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, c := range []struct {
		name string
		rule ruleFaults
		want string
		// skip is the number of first schedules to leave out because they do not detect the broken rule.
		skip uint64
	}{
		{"outage mode without a majority", ruleFaults{outageWithoutMajority: true}, "", 0},
		{"fencing without waiting", ruleFaults{earlyFencing: true}, "acts for", 12},
		{"acting on a view that majorities do not know", ruleFaults{unacknowledgedView: true}, "", 10},
		{"heartbeats counted from their arrival", ruleFaults{countFromArrival: true}, "", 12},
		{"heartbeats counted that arrived as requests", ruleFaults{countRequests: true}, "", 0},
		{"claims without the takeover rule", ruleFaults{emptyBookAfterTakeover: true}, "was granted by", 8},
		{"workers that do not check the epoch", ruleFaults{ignoreEpoch: true}, "epoch", 130},
		{"workers that do not check the session", ruleFaults{ignoreSession: true}, "runs on", 10},
		{"old pending tasks started at once", ruleFaults{startWithoutWait: true}, "runs on", 30},
		{"configuration accepted when committed", ruleFaults{acceptOnCommit: true}, "keyed work", 35},
		{"configuration confirmed without having read it", ruleFaults{confirmUnread: true}, "keyed work", 0},
		{"reads of an outdated table", ruleFaults{staleReads: true}, "", 0},
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
				t.Fatalf("the broken rule was not detected in %d schedules", tried)
			}
			t.Logf("detected after %d schedules: %s", tried, caught)
		})
	}
}
