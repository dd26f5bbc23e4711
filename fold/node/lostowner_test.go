package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a task of a host that is lost together with the owner which starts again so late that callers count it as lost.
// Callers grant the time of the outage, 1 s here, the 3 s for which entries count as out of contact after it, and 7 s. Answers of
// the adviser may take one of these 11 s.
func TestTaskOfLostHostAndOwner(t *testing.T) {
	const granted = 10 * time.Second
	for seed := range seedCount(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.calm = true
				s.steps = s.steps[:1]
				s.steps[0].Count = 1
				s.hosts.taskTimes[0] = time.Hour
				first := s.start("entry-0", 1)
				time.Sleep(time.Second)
				s.start("entry-1", 1)
				s.start("entry-2", 1)
				time.Sleep(3 * time.Second)
				s.submit()
				time.Sleep(time.Second + s.between(0, time.Second))
				if n := s.hosts.startCount(); n != 1 {
					t.Fatalf("%d runs have started", n)
				}
				s.hosts.delayBusy(time.Hour)
				s.cutOff(first)
				time.Sleep(granted)
				if s.hosts.startCount() == 1 {
					t.Errorf("the task has not started again %s after its host and the owner were lost", granted)
				}
				s.end()
			})
		})
	}
}

// Guards against a task of a lost host that waits for as long as the owners change: each new owner counted the leases of earlier ones
// from its own takeover, though they hand over in order and know how long their leases last.
func TestTaskOfLostHostWhileOwnersChange(t *testing.T) {
	const granted, interval, handOvers = 10 * time.Second, 4 * time.Second, 6
	for seed := range seedCount(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.calm = true
				s.steps = s.steps[:1]
				s.steps[0].Count = 1
				s.hosts.taskTimes[0] = time.Hour
				for i := range 3 {
					s.start(fmt.Sprintf("entry-%d", i), 1)
				}
				time.Sleep(3 * time.Second)
				s.submit()
				time.Sleep(time.Second + s.between(0, time.Second))
				s.hosts.delayBusy(time.Hour)
				lost := time.Now()
				time.Sleep(s.between(0, interval))
				for range handOvers {
					if s.hosts.startCount() > 1 {
						break
					}
					leaving := s.owning()
					if leaving == nil {
						t.Fatal("no entry owns the pool")
					}
					next := time.Now().Add(interval)
					name := leaving.settings.Name
					leaving.terminate()
					s.start(name, 1)
					for time.Now().Before(next) && s.hosts.startCount() == 1 {
						time.Sleep(10 * time.Millisecond)
					}
				}
				if s.hosts.startCount() == 1 || time.Since(lost) > granted {
					t.Errorf("%d starts, the last one at most %s after the host was lost; want another one within %s", s.hosts.startCount(), time.Since(lost), granted)
				}
				s.end()
			})
		})
	}
}
