package drive_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/flow"
)

// Guards against a step that waits until a lost call is given up, although other entries could call the adviser.
func TestLostCallsOfOneEntry(t *testing.T) {
	for _, entries := range []int{4, 37} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs, tasks = 4, 6
				var lost atomic.Bool
				lost.Store(true)
				adviser := newLateAdviser(0, 0)
				callers := callersOf(adviser, entries)
				callers[0] = losingCaller{callers[0], &lost}
				d, hosts := startAdvised(t, adviser, callers, 100)
				submitted := submitWatchJobs(t, d, jobs, tasks)
				time.Sleep(30 * time.Second)
				hosts.mu.Lock()
				defer hosts.mu.Unlock()
				for id, sent := range submitted {
					first := time.Minute
					for k := range tasks {
						if began, ok := hosts.started[flow.TaskName{Job: id, Index: k}.String()]; ok {
							first = min(first, began.Sub(sent))
						}
					}
					if first > maxIdle {
						t.Errorf("a job has nothing running for %s, want at most %s", first, maxIdle)
					}
				}
			})
		})
	}
}
