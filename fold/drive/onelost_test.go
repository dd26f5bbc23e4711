package drive_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/plat"
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
				hosts := newFakeHosts(100, time.Hour)
				var callers []drive.AdviceCaller
				for n := range entries {
					var c drive.AdviceCaller = adviceCaller{name: fmt.Sprintf("entry-%02d", n), adviser: adviser}
					if n == 0 {
						c = losingCaller{c, &lost}
					}
					callers = append(callers, c)
				}
				table := plat.NewTable()
				d := startDriver(t, table, table, hosts, func(p *drive.Parts) {
					p.Runner = ticketHosts{hosts, adviser}
					p.AdviceCallers = func() []drive.AdviceCaller { return callers }
				})
				time.Sleep(5 * time.Second)
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
