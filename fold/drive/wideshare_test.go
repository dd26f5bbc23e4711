package drive_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Guards against jobs with nothing running while wide steps use all calls to the adviser.
func TestWideStepsLeaveCallsForOthers(t *testing.T) {
	for _, entries := range []int{12, 37} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				adviser := newLateAdviser(0, 0)
				d, hosts := startAdvised(t, adviser, callersOf(adviser, entries), 350)
				queue := testQueue
				queue.Name, queue.Advice = "watch", &watchPolicy
				sent := time.Now()
				// There is one slow call at a time for each job.
				jobs := entries - max(2, entries/4)
				for n := range jobs {
					tasks := 100
					if n >= jobs-2 {
						tasks = 2
					}
					job := testJob(n, tasks)
					job.Queue, job.Steps[0].LongRunning, job.Steps[0].PerHost = queue, true, 1
					job.Steps[0].Size.CPU = 100
					if _, err := d.Submit(t.Context(), job, fold.Check{}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Minute)
				hosts.mu.Lock()
				defer hosts.mu.Unlock()
				var firsts []string
				var slowest time.Duration
				for n := range jobs {
					first := time.Minute
					for k := range 100 {
						if began, ok := hosts.started[flow.TaskName{Job: testJob(n, 0).ID, Index: k}.String()]; ok {
							first = min(first, began.Sub(sent))
						}
					}
					slowest = max(slowest, first)
					firsts = append(firsts, first.Round(10*time.Millisecond).String())
				}
				if slowest > maxIdle {
					t.Errorf("a job has nothing running for %s, want at most %s; first starts after %v", slowest, maxIdle, firsts)
				}
			})
		})
	}
}
