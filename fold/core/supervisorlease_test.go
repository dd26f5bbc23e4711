package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against two runs of a task: the supervisor of a host is cut off from the owner, the host starts again, and the new
// incarnation confirms a start that was meant for the earlier one. The supervisor renews leases there until its permission ends.
func TestLeasesOfEarlierSupervisorAfterRestart(t *testing.T) {
	first, other := host("a", 1000), host("b", 1000)
	b := newFixture(t, fold.Rules{}, first)
	// The leases of earlier owners have ended.
	b.advance(20 * time.Second)
	b.applyRoster()
	b.cell.AddJob(job(queue(0), step(1)), 1)
	if starts := b.decide().Starts; len(starts) != 1 {
		t.Fatalf("starts %+v, want one", starts)
	}
	// The session of the supervisor ends; its permission lasts for another second.
	const permitted = 7200 * time.Millisecond
	b.cell.RecordLease(first.ID, permitted)
	b.advance(100 * time.Millisecond)
	b.cell.SetHosts([]fold.Host{nextIncarnation(first), other})
	bound := permitted - 100*time.Millisecond
	after := b.startedAfter(other, 4*bound)
	if after == 0 {
		t.Error("the task does not start again")
	} else if after < bound {
		t.Errorf("the task starts again %s after the restart; leases of the earlier supervisor may last %s", after, bound)
	}
}
