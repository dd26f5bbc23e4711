package sched_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

func newGang(team, id string, count int, cores int64, duration time.Duration) fold.Job {
	j := newJob(team, id, count, cores, duration)
	j.Kind = fold.Gang
	return j
}

// rackOf returns the number of the rack of a worker in newPool.
func rackOf(worker string) int {
	n := 0
	for _, c := range worker[1:] {
		n = 10*n + int(c-'0')
	}
	return n / 8
}

// Guards against a gang that uses more racks than needed or of which only some tasks start.
func TestGangStartsWholeOnFewRacks(t *testing.T) {
	tests := []struct{ count, racks int }{{8, 1}, {9, 2}, {24, 3}, {25, 0}}
	for _, test := range tests {
		p := newPool(24)
		p.Submit(0, newGang("t0", "gang", test.count, 64, time.Second))
		racks := make(map[int]bool)
		starts := p.Decide(0, 4)
		for _, s := range starts {
			racks[rackOf(s.Worker)] = true
		}
		if len(racks) != test.racks || (len(starts) != 0 && len(starts) != test.count) {
			t.Errorf("gang of %d: %d started on %d racks, want all on %d", test.count, len(starts), len(racks), test.racks)
		}
	}
}

// Guards against a gang that never starts because small tasks take all free capacity.
func TestGangIsNotStarved(t *testing.T) {
	s := newSim(t, 16, fixedRunTime(2*time.Second))
	for i := range 500 {
		s.pool.Submit(0, newJob("t0", "small"+string(rune('a'+i%26))+string(rune('a'+i/26)), 100, 4, 2*time.Second))
	}
	s.advance(3 * time.Second)
	at := s.now
	s.pool.Submit(at, newGang("t1", "gang", 16, 32, 2*time.Second))
	s.advance(15 * time.Second)
	if began, ok := s.firstStart["gang"]; !ok || began.Sub(at) > 10*time.Second {
		t.Errorf("the gang started: %t, after %s, want within 10 s", ok, began.Sub(at))
	}
	if s.startCounts["gang"] != 16 {
		t.Errorf("%d tasks of the gang started, want 16", s.startCounts["gang"])
	}
}

// Guards against a gang that keeps holding capacity after it lost tasks with a worker and they cannot start again.
func TestPartOfGangDoesNotStrand(t *testing.T) {
	s := newSim(t, 2, fixedRunTime(time.Hour))
	s.pool.Submit(0, newGang("t0", "gang", 2, 64, time.Hour))
	s.advance(time.Second)
	for id, a := range s.running {
		if a.start.Worker == "w1" {
			delete(s.running, id)
		}
	}
	s.pool.RemoveWorker("w1")
	s.advance(5 * time.Second)
	if used := s.pool.Used("t0"); !used.IsZero() {
		t.Errorf("a part of the gang holds %s after 5 s, want nothing", used)
	}
	s.pool.Adopt(s.now, place.Worker{Name: "w1", Domain: "a", Rack: "r0"}, fold.Adoption{Capacity: capacity})
	s.advance(2 * time.Second)
	if status, _ := s.pool.Job("gang"); status.Running != 2 {
		t.Errorf("%d tasks of the gang run after the worker returned, want 2", status.Running)
	}
}

// Guards against a gang that runs incomplete because a refused start is not tried again.
func TestRefusedPartOfGangStartsAgain(t *testing.T) {
	p := newPool(8)
	p.Submit(0, newGang("t0", "gang", 8, 64, time.Hour))
	starts := p.Decide(0, 16)
	confirm(p, starts[:7])
	p.Confirm(starts[7].Worker, []fold.StartResult{{Task: starts[7].Task.Task, Reason: "no capacity"}})
	again := p.Decide(fold.Instant(time.Second), 16)
	if len(again) != 1 || again[0].Task.Task != starts[7].Task.Task {
		t.Errorf("Decide returned %v after a refusal, want the refused task", again)
	}
}

// Guards against an urgent gang that waits although preemption could free enough capacity for all its tasks.
func TestUrgentGangStartsInTime(t *testing.T) {
	s := newSim(t, 8, fixedRunTime(time.Hour))
	s.pool.Submit(0, newJob("t0", "long", 64, 8, time.Hour))
	s.advance(time.Second)
	j := newGang("t1", "urgent", 4, 32, time.Minute)
	j.Priority = fold.UrgentPriority
	at := s.now
	s.pool.Submit(at, j)
	s.advance(3 * time.Second)
	if s.startCounts["urgent"] != 4 || s.firstStart["urgent"].Sub(at) > 1200*time.Millisecond {
		t.Errorf("%d tasks of the urgent gang started after %s, want 4 within 1.2 s", s.startCounts["urgent"], s.firstStart["urgent"].Sub(at))
	}
}
