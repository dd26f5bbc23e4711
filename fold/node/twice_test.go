package node

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// faults are the kinds of faults that a random schedule contains.
type faults struct {
	stalls, terminations, crashes, joins, restarts, drains bool
	// shortRows makes most batches of records take several commits.
	shortRows bool
}

// play runs a cell with random faults and checks that no task runs twice.
func play(t *testing.T, seed uint64, f faults) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, seed)
		if f.restarts {
			// A run must not end before the owner has noticed the restart of its host.
			s.hosts.taskTimes = [2]time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond}
		}
		if f.shortRows {
			s.maxRow = 1 << 9
		}
		for i := range 3 {
			s.start(fmt.Sprintf("entry-%d", i), float64(1+s.intN(2)))
		}
		time.Sleep(3 * time.Second)
		const length = 40 * time.Second
		began := time.Now()
		s.running.Go(func() { s.submitFor(length) })
		for n := 3; time.Since(began) < length; n++ {
			s.inject(f, n)
			time.Sleep(s.between(100*time.Millisecond, 1200*time.Millisecond))
		}
		time.Sleep(3 * time.Second)
		s.finish(t)
	})
}

// inject injects one fault. n numbers the faults.
func (s *simulation) inject(f faults, n int) {
	victim := s.owning()
	s.mu.Lock()
	count := len(s.entries)
	s.mu.Unlock()
	if victim == nil || s.intN(3) == 0 {
		at := s.intN(count)
		s.mu.Lock()
		victim = s.entries[at]
		s.mu.Unlock()
	}
	host := fmt.Sprintf("host-%d", s.intN(simulatedHostCount))
	switch kind := s.intN(9); {
	case kind < 4 && f.stalls:
		var only *simulatedEntry
		if s.intN(4) == 0 {
			only = victim
		}
		s.stall(only, s.between(50*time.Millisecond, 2500*time.Millisecond))
	case kind == 4 && f.terminations && count > 2:
		s.running.Go(func() {
			victim.terminate()
			s.start(victim.settings.Name, victim.settings.Cores)
		})
	case kind == 5 && f.crashes && count > 2:
		victim.kill()
		s.running.Go(func() {
			time.Sleep(s.between(0, time.Second))
			s.start(victim.settings.Name, victim.settings.Cores)
		})
	case kind == 6 && f.joins && count < 6:
		s.start(fmt.Sprintf("entry-%d", n), float64(1+s.intN(2)))
	case kind == 7 && f.restarts:
		s.hosts.restart(host)
	case kind == 8 && f.drains:
		s.hosts.drain(host)
	}
}

// Guards against a task that runs twice because an entry takes over without looking for runs that an earlier owner started
// without records.
func TestNoTaskRunsTwice(t *testing.T) {
	for seed := range seedCount(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, seed, faults{stalls: true, terminations: true, crashes: true, joins: true})
		})
	}
}

// submitFor submits jobs for a while.
func (s *simulation) submitFor(length time.Duration) {
	for began := time.Now(); time.Since(began) < length; {
		s.submit()
		time.Sleep(s.between(20*time.Millisecond, 100*time.Millisecond))
	}
}

// startUnrecorded submits jobs and stalls the table for 1.5 s, until runs without records have started for a while.
func (s *simulation) startUnrecorded(t *testing.T) {
	t.Helper()
	// The second steps of these jobs are due in the stall.
	for attempt := range 10 {
		s.submitFor(700 * time.Millisecond)
		s.stall(nil, 1500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		if s.count("Started runs without records") > 0 {
			return
		}
		s.note("RETRY %d", attempt)
		time.Sleep(6 * time.Second)
	}
	t.Fatal("no run starts without a record")
}

// finish ends the simulation and checks that no task ran twice and that runs started without records.
func (s *simulation) finish(t *testing.T) {
	t.Helper()
	s.end()
	if s.hosts.twice != "" {
		t.Errorf("%s ran twice\n%s", s.hosts.twice, s.history(s.hosts.twice))
	}
	unrecorded := s.count("Started runs without records")
	if unrecorded == 0 {
		t.Error("no run started without a record, so the test checks nothing")
	}
	t.Logf("%d starts, %d rounds with starts without records, %d runs adopted, %d terms of %d entries", s.hosts.starts, unrecorded,
		s.count("Adopted a run"), s.count("This entry owns the pool"), s.started)
}

// Guards against a task that runs twice because the owner hands the pool over while runs without records exist. The next
// owner has started since the announcement: the row does not list it, and it has not been told.
func TestHandOverWithUnrecordedRuns(t *testing.T) {
	for seed := range seedCount(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.steps[0].Label, s.steps[1].Label = edgeLabel, mainLabel
				s.hosts.taskTimes[1] = 5 * time.Second
				first := s.start("entry-0", 1)
				time.Sleep(time.Second)
				second := s.start("entry-1", 1)
				time.Sleep(3 * time.Second)
				s.startUnrecorded(t)
				second.kill()
				time.Sleep(100 * time.Millisecond)
				s.start("entry-1", 1)
				time.Sleep(500 * time.Millisecond)
				s.running.Go(first.terminate)
				// The next owner first learns that the first steps have ended, and later of the runs of the second ones.
				s.hosts.delayBusy(100 * time.Millisecond)
				time.Sleep(8 * time.Second)
				s.finish(t)
			})
		})
	}
}

// Guards against a task that runs twice because the owner after the next one does not look for runs without records. The next
// owner is lost at any moment between its takeover and the records of the runs that it has adopted.
func TestOwnersLostInTurn(t *testing.T) {
	for seed := range seedCount(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.steps[0].Label, s.steps[1].Label = edgeLabel, mainLabel
				s.hosts.taskTimes[1] = 5 * time.Second
				first := s.start("entry-0", 1)
				time.Sleep(time.Second)
				s.start("entry-1", 1)
				s.start("entry-2", 1)
				time.Sleep(3 * time.Second)
				s.startUnrecorded(t)
				s.hosts.delayBusy(100 * time.Millisecond)
				first.kill()
				second := s.owning()
				for ; second == nil; second = s.owning() {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(time.Duration(seed) * 10 * time.Millisecond)
				second.kill()
				time.Sleep(8 * time.Second)
				s.finish(t)
			})
		})
	}
}

// seedCount returns the number of seeds to play: the given one, or that in the environment for a longer search.
func seedCount(usual uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("PLANTAINFOLD_SEEDS"), 10, 64); err == nil {
		return n
	}
	return usual
}
