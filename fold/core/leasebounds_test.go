package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

// Guards against two runs of a task, and against a task that waits for as long as owners change: a host with a run falls silent, and
// owners hand over one after the other. The task starts again when the leases of all of them have ended, however many there were.
func TestLeaseBoundsAcrossOwners(t *testing.T) {
	const keepTime = 4 * time.Second
	cases := []struct {
		name string
		// answersAt is when the host last answers, and silentAt when the first owner notices, or 0.
		answersAt, silentAt time.Duration
		// granted is how long leases may last at the first hand-over that a supervisor granted and the owner does not know of.
		granted time.Duration
		// handOvers are the times at which owners hand over, all counted from the first takeover.
		handOvers []time.Duration
		// crashed is true if the first owner does not hand over.
		crashed bool
		// end is when the last lease may end.
		end time.Duration
	}{
		{"silent before the first hand-over", 10 * time.Second, 11 * time.Second, 0, []time.Duration{12 * time.Second, 14 * time.Second}, false, 10*time.Second + lease.MaxDuration(leaseTime)},
		{"silence not noticed by the first owner", 10 * time.Second, 0, lease.MaxDuration(leaseTime), []time.Duration{11 * time.Second, 13 * time.Second, 15 * time.Second}, false, 11*time.Second + lease.MaxDuration(leaseTime)},
		{"a supervisor may have renewed the lease", 10 * time.Second, 11 * time.Second, 7 * time.Second, []time.Duration{12 * time.Second, 16 * time.Second}, false, 19 * time.Second},
		{"a hand-over after the lease has ended", 10 * time.Second, 11 * time.Second, 0, []time.Duration{12 * time.Second, 16*time.Second + 50*time.Millisecond}, false, 10*time.Second + lease.MaxDuration(leaseTime)},
		{"the first owner crashes", 10 * time.Second, 11 * time.Second, 0, []time.Duration{12 * time.Second, 15 * time.Second, 18 * time.Second}, true, 12*time.Second + keepTime + lease.MaxDuration(leaseTime)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			silent, other := host("a", 1000), host("b", 1000)
			owner := newFixture(t, fold.Rules{}, silent, other)
			began := owner.now
			owner.cell.RestoreJob(job(queue(0), step(1)), recordedRun(silent))
			owner.advance(c.answersAt)
			owner.report(silent, []fold.HostRun{{Task: id + ".0.0.0", Run: 1}}, nil)
			if c.silentAt > 0 {
				owner.advance(c.silentAt - c.answersAt)
				owner.cell.RecordSilence(silent.ID, silent.Incarnation, 0)
			}
			for i, at := range c.handOvers {
				owner.report(other, nil, nil)
				owner.advance(at - owner.now.Sub(began))
				granted := func(string) time.Duration { return 0 }
				if i == 0 {
					granted = func(string) time.Duration { return c.granted }
				}
				bounds := owner.cell.LeaseBounds(granted, 10)
				next := newFixture(t, fold.Rules{})
				next.now, next.wall = owner.now, owner.wall
				next.resetCell()
				if i > 0 || !c.crashed {
					next.cell.SetForeignLeases(bounds)
				}
				next.cell.RestoreJob(job(queue(0), step(1)), recordedRun(silent))
				next.cell.SetHosts([]fold.Host{silent, other})
				owner = next
				if starts := owner.decide().Starts; len(starts) > 0 && owner.now.Sub(began) < c.end {
					t.Fatalf("the task starts %s before the lease ends", c.end-owner.now.Sub(began))
				}
			}
			const slack = 100 * time.Millisecond
			after, started := owner.untilTaskStarts(other, time.Minute)
			if at := owner.now.Sub(began); !started || at < c.end || at > max(c.end, c.handOvers[len(c.handOvers)-1])+slack {
				t.Errorf("the task starts again: %v, after %s, %s after the first takeover; want %s", started, after, at, c.end)
			}
		})
	}
}
