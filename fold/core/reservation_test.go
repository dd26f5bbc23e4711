package core_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
)

// fillWith adds a job of long tasks of one core that write checkpoints, and starts them.
func fillWith(b *fixture, count int) {
	slow := step(count)
	slow.Estimate, slow.Checkpoints = 60000, true
	j := job(queue(2), slow)
	j.ID, j.Team = fmt.Sprintf("%016x", 7), "other"
	b.cell.AddJob(j, 1)
	b.decide()
}

// Guards against preemption that makes room for more tasks on a host than the step may have there.
func TestRoomIsMadeOncePerHost(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 2000), host("b", 2000))
	fillWith(b, 4)
	watch := step(2)
	watch.LongRunning, watch.PerHost = true, 1
	b.cell.AddJob(job(queue(1), watch), 1)
	b.advance(500 * time.Millisecond)
	stops := b.decide().Stops
	on := make(map[string]int)
	for _, s := range stops {
		on[s.Host.ID]++
	}
	if len(stops) != 2 || on["a"] != 1 || on["b"] != 1 {
		t.Errorf("%d stops, %v, want one on each host", len(stops), on)
	}
}

// Guards against stopped runs whose room goes to other tasks before a long-running task can use it.
func TestReservedRoomIsNotTaken(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 2000))
	fillWith(b, 2)
	watch := step(1)
	watch.LongRunning, watch.Size.CPU = true, 2000
	b.cell.AddJob(job(queue(1), watch), 1)
	b.advance(500 * time.Millisecond)
	stops := b.decide().Stops
	if len(stops) != 2 {
		t.Fatalf("%d stops, want 2", len(stops))
	}
	urgent := jobOfTeam(9, "crews", b.wall)
	b.cell.AddJob(urgent, 1)
	for n, s := range stops {
		b.advance(300 * time.Millisecond)
		ends := []fold.HostEnd{{Number: int64(n + 1), Task: s.Task, Run: s.Run, Kind: fold.EndStopped, Checkpoint: "c"}}
		b.report(b.hosts[0], nil, ends)
		for _, start := range b.decide().Starts {
			if start.Req.Task[:16] != id {
				t.Errorf("%s starts in the room that is reserved for %s", start.Req.Task, id)
			}
		}
	}
	if state, _, _ := b.cell.RecordedState(id); state != "running" {
		t.Errorf("the long-running job is %s after the stopped runs have ended, want running", state)
	}
}

// Guards against runs that are stopped for tasks which the limit of their team keeps from starting.
func TestNoRoomBeyondTheLimit(t *testing.T) {
	rules := fold.Rules{Teams: []fold.TeamRule{{Name: "crews", Limit: fold.Resources{CPU: 1000}}}}
	b := newFixture(t, rules, host("a", 3000))
	fillWith(b, 3)
	watch := step(3)
	watch.LongRunning = true
	b.cell.AddJob(job(queue(1), watch), 1)
	b.advance(500 * time.Millisecond)
	if stops := b.decide().Stops; len(stops) != 1 {
		t.Errorf("%d stops, want 1", len(stops))
	}
}

// Guards against a host that stays blocked by reserved room of a job that has been cancelled.
func TestReservedRoomEndsWithTheJob(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
	fillWith(b, 1)
	watch := step(1)
	watch.LongRunning = true
	b.cell.AddJob(job(queue(1), watch), 1)
	b.advance(500 * time.Millisecond)
	stops := b.decide().Stops
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	b.cell.Cancel(id)
	b.advance(300 * time.Millisecond)
	b.report(b.hosts[0], nil, []fold.HostEnd{{Number: 1, Task: stops[0].Task, Run: stops[0].Run, Kind: fold.EndStopped}})
	if starts := b.decide().Starts; len(starts) != 1 {
		t.Errorf("%d starts after the job was cancelled, want 1", len(starts))
	}
}
