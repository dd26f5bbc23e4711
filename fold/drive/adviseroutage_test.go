package drive_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
)

// losingCaller answers none of the calls that it gets while lost is set.
type losingCaller struct {
	drive.AdviceCaller
	lost *atomic.Bool
}

func (l losingCaller) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	if l.lost.Load() {
		<-ctx.Done()
		return fold.Advice{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	return l.AdviceCaller.Advise(ctx, step, hosts)
}

// Guards against work that waits long after the adviser answers again, because the calls that it lost are not given up: each of
// them keeps its entry from making another one.
func TestWorkStartsAfterLostCalls(t *testing.T) {
	cases := []struct {
		entries, jobs, tasks int
		outage               time.Duration
	}{
		{37, 12, 20, 12 * time.Second},
		{37, 12, 20, 20 * time.Second},
		{4, 1, 6, 20 * time.Second},
		{1, 1, 6, 30 * time.Second},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d entries, %d jobs, %s", c.entries, c.jobs, c.outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLostCalls(t, c.entries, c.jobs, c.tasks, c.outage) })
		})
	}
}

func testLostCalls(t *testing.T, entries, jobs, tasks int, outage time.Duration) {
	t.Helper()
	var lost atomic.Bool
	adviser := newLateAdviser(0, 0)
	callers := callersOf(adviser, entries)
	for n := range callers {
		callers[n] = losingCaller{callers[n], &lost}
	}
	d, hosts := startAdvised(t, adviser, callers, 100)
	lost.Store(true)
	began := time.Now()
	submitted := submitWatchJobs(t, d, jobs, tasks)
	time.Sleep(outage - time.Since(began))
	lost.Store(false)
	answering := time.Now()
	time.Sleep(time.Minute)
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	var slowest time.Duration
	for id := range submitted {
		first := time.Minute
		for k := range tasks {
			if began, ok := hosts.started[flow.TaskName{Job: id, Index: k}.String()]; ok {
				first = min(first, began.Sub(answering))
			}
		}
		slowest = max(slowest, first)
	}
	// A job may have nothing running for 3 s after 4 s without a fault.
	if limit := 7 * time.Second; slowest > limit {
		t.Errorf("a job has nothing running until %s after the adviser answers again, want at most %s", slowest, limit)
	}
}
