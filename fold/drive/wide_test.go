package drive_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// maxTaskIdle is how long a task of a long-running step may wait although it fits on approved hosts.
const maxTaskIdle = 9 * time.Second

// Guards against tasks of a wide step that wait too long because the adviser is asked about some hosts after the others.
func TestWideStepStartsInTime(t *testing.T) {
	for _, late := range []time.Duration{0, 400 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tasks = 100
				adviser := newLateAdviser(late, 0)
				d, hosts := startAdvised(t, adviser, callersOf(adviser, poolEntries), 350)
				submitted := submitWatchJobs(t, d, 1, tasks)[testJob(0, 0).ID]
				time.Sleep(time.Minute)
				hosts.mu.Lock()
				defer hosts.mu.Unlock()
				overdue := 0
				var slowest time.Duration
				for _, began := range hosts.started {
					if took := began.Sub(submitted); took > maxTaskIdle {
						overdue++
					}
					slowest = max(slowest, began.Sub(submitted))
				}
				t.Logf("the last task starts after %s, %d calls", slowest, adviser.calls)
				if overdue > 0 || len(hosts.started) != tasks {
					t.Errorf("%d of %d tasks have started, %d of them later than %s", len(hosts.started), tasks, overdue, maxTaskIdle)
				}
			})
		})
	}
}
