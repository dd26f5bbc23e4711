package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

// Guards against two runs of a task: the next incarnation of a host has confirmed a start that was meant for the earlier one, and
// carries out a renewal without an answer late. Its clock has begun anew, so the host shortens the lease to the longest one but
// does not refuse it, and the run goes on.
func TestLateRenewalReachesNextIncarnation(t *testing.T) {
	first, other := host("a", 1000), host("b", 1000)
	b := newFixture(t, fold.Rules{}, first)
	// The leases of earlier owners have ended.
	b.advance(30 * time.Second)
	b.applyRoster()
	b.cell.AddJob(job(queue(0), step(1)), 1)
	if starts := b.decide().Starts; len(starts) != 1 {
		t.Fatalf("starts %+v, want one", starts)
	}
	b.advance(1500 * time.Millisecond)
	b.cell.RecordSilence(first.ID, first.Incarnation, lease.MaxDuration(leaseTime))
	arrived := b.now.Add(maxOrderDelay)
	b.cell.SetHosts([]fold.Host{nextIncarnation(first), other})
	b.expectNoStartBefore(other, arrived.Add(lease.OnSlowestClock(leaseTime)))
}
