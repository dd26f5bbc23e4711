package core_test

import (
	"slices"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// keepTime is how long an owner renews leases after its last commit.
const keepTime = 4 * time.Second

// recordOfRun returns the record of a job whose only task has run 1 on the host.
func recordOfRun(h fold.Host) flow.Record {
	return flow.Record{
		State: flow.Running, Seq: 1, Hosts: []flow.LiveHost{{ID: h.ID, Incarnation: h.Incarnation}},
		Parts: []flow.Part{{Done: []byte{0}, Runs: []uint32{1}, Live: []flow.LiveRun{{Run: 1}}}},
	}
}

// untilStart returns the time until the cell starts a task on the host, which keeps answering. It returns 0 if the cell starts
// none while leases may last.
func (b *fixture) untilStart(h fold.Host) time.Duration {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); waited < 2*(keepTime+leaseTime); waited += interval {
		b.report(h, nil, nil)
		if len(b.decide().Starts) > 0 {
			return waited
		}
		b.advance(interval)
	}
	return 0
}

// checkWait reports a task that starts again, the given time after the takeover, before the previous owner's leases have ended,
// or much later.
func checkWait(t *testing.T, startedAfter time.Duration) {
	t.Helper()
	const slack = 100 * time.Millisecond
	switch bound := keepTime + lease.OnSlowestClock(leaseTime); {
	case startedAfter < bound:
		t.Errorf("the task starts again after %s; the previous owner's leases may last %s", startedAfter, bound)
	case startedAfter > bound+slack:
		t.Errorf("the task starts again only after %s; the previous owner's leases last %s at most", startedAfter, bound)
	}
}

// Guards against a new owner that starts a task again while its run may still hold a lease of the previous owner, which
// renews leases for Times.RenewWithoutTable after its last commit.
func TestLeasesThatPreviousOwnerRenewsWithoutTable(t *testing.T) {
	silent := host("a", 1000)
	record := recordOfRun(silent)
	cases := []struct {
		name string
		// awaited and listed are what the new owner knows of the host on which the run may be.
		awaited, listed []fold.Host
		record          flow.Record
	}{
		{"recorded run on a host outside the roster", nil, nil, record},
		{"recorded run on a listed host", nil, []fold.Host{silent}, record},
		{"recorded run on an awaited host", []fold.Host{silent}, []fold.Host{silent}, record},
		{"run without a record on an awaited host", []fold.Host{silent}, []fold.Host{silent}, flow.Record{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, fold.Rules{})
			other := host("b", 1000)
			b.cell.SetAwaited(c.awaited)
			b.cell.RestoreJob(job(queue(0), step(1)), c.record)
			b.hosts = append(slices.Clone(c.listed), other)
			b.cell.SetHosts(b.hosts)
			startedAfter := b.untilStart(other)
			checkWait(t, startedAfter)
		})
	}
}

// Guards against a new owner that forgets, when a host starts again right after the takeover, that the previous owner may
// renew leases there: the host no longer enforces the fence of the new owner.
func TestLeasesOnHostThatRestartsAfterTakeover(t *testing.T) {
	b := newFixture(t, fold.Rules{})
	restarted, other := host("a", 1000), host("b", 1000)
	b.cell.RestoreJob(job(queue(0), step(1)), recordOfRun(restarted))
	b.hosts = []fold.Host{restarted, other}
	b.cell.SetHosts(b.hosts)
	b.report(restarted, []fold.HostRun{{Task: id + ".0.0.0", Run: 1}}, nil)
	const restartedAfter = 500 * time.Millisecond
	b.advance(restartedAfter)
	b.hosts[0].Incarnation++
	b.cell.SetHosts(b.hosts)
	startedAfter := restartedAfter + b.untilStart(other)
	checkWait(t, startedAfter)
}
