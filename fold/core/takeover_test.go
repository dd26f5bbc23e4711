package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// newOwner returns a fixture with an owner that has just taken over; an earlier owner used the hosts, and none has
// answered.
func newOwner(t *testing.T, hosts ...fold.Host) *fixture {
	t.Helper()
	b := &fixture{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: hosts}
	b.cell = core.New(core.Times{Lease: 6 * time.Second, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	b.cell.SetTime(b.now, b.wall)
	b.cell.SetAwaited(hosts)
	b.cell.SetHosts(hosts)
	return b
}

// jobOfTeam returns a job of the team with one task.
func jobOfTeam(n int, team string, accepted int64) flow.Job {
	j := job(queue(0), step(1))
	j.ID, j.Team, j.Accepted = fmt.Sprintf("%016x", n), team, accepted
	return j
}

// Guards against new jobs that wait for a host that does not answer a new owner. No earlier owner can have started them.
func TestNewJobsDoNotAwaitHosts(t *testing.T) {
	b := newOwner(t, host("a", 9000), host("b", 9000))
	b.cell.RestoreJob(jobOfTeam(1, "crews", b.wall), flow.Record{})
	b.cell.AddJob(jobOfTeam(2, "crews", b.wall), 7)
	b.report(b.hosts[0], nil, nil)
	starts := b.decide().Starts
	if len(starts) != 1 || starts[0].Req.Task != jobOfTeam(2, "", 0).ID+".0.0.0" {
		t.Errorf("starts %+v, want one start of the new job", starts)
	}
}

// Guards against a team that exceeds its limit because an earlier owner may have started its runs on hosts that have not
// answered yet.
func TestLimitWhileHostsAreAwaited(t *testing.T) {
	b := newOwner(t, host("a", 4000), host("b", 4000))
	b.cell.SetRules(fold.Rules{Teams: []fold.TeamRule{{Name: "crews", Limit: fold.Resources{CPU: 4500}}}})
	b.cell.AddJob(jobOfTeam(1, "crews", b.wall), 7)
	b.report(b.hosts[0], nil, nil)
	if got := len(b.decide().Starts); got != 0 {
		t.Errorf("%d starts while a silent host may run work of the team, want 0", got)
	}
	b.report(b.hosts[1], nil, nil)
	if got := len(b.decide().Starts); got != 1 {
		t.Errorf("%d starts after all hosts have answered, want 1", got)
	}
}

// Guards against a second owner that does not record the hosts it still awaits. A third owner would not know that runs of
// the first may be there.
func TestAwaitedHostsAreRecorded(t *testing.T) {
	b := newOwner(t, host("a", 1000), host("b", 1000))
	b.report(b.hosts[0], nil, nil)
	hosts, changed := b.cell.HostsToRecord()
	awaited := slices.IndexFunc(hosts, func(h core.RecordedHost) bool { return h.ID == "b" && h.Awaited })
	if !changed || len(hosts) != 2 || awaited < 0 {
		t.Fatalf("recorded %+v, changed %v; want b as awaited", hosts, changed)
	}
	b.cell.SetRecordedHosts(hosts)
	if _, changed := b.cell.HostsToRecord(); changed {
		t.Error("unchanged hosts reported as changed")
	}
	b.report(b.hosts[1], nil, nil)
	hosts, changed = b.cell.HostsToRecord()
	if !changed || slices.ContainsFunc(hosts, func(h core.RecordedHost) bool { return h.Awaited }) {
		t.Errorf("recorded %+v, changed %v; want none awaited", hosts, changed)
	}
}

// Guards against an unrecorded run of a job that the next owner does not load, because the job was accepted after the last
// commit of this owner.
func TestNoRunsWithoutRecordsOfLaterJobs(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 9000))
	hosts, _ := b.cell.HostsToRecord()
	b.cell.SetRecordedHosts(hosts)
	b.cell.SetCommitted(10)
	b.cell.AddJob(jobOfTeam(1, "crews", b.wall), 10)
	b.cell.AddJob(jobOfTeam(2, "crews", b.wall), 11)
	b.cell.Decide()
	b.cell.Snapshot()
	b.cell.AllowUnrecorded(true)
	b.cell.Decide()
	starts := b.cell.Orders().Starts
	if len(starts) != 1 || starts[0].Req.Task != jobOfTeam(1, "", 0).ID+".0.0.0" {
		t.Errorf("starts %+v, want one start of the earlier job", starts)
	}
}

// Guards against two runs of a task under two owners: a host does not answer this owner, which cannot commit, and its lease has
// ended as far as this owner knows. A later owner may reach the host and renew the lease.
func TestNoRunWithoutRecordAfterALeaseHasEnded(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 900))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.SetCommitted(1)
	if starts := b.decide().Starts; len(starts) != 1 || starts[0].Host.ID != "a" {
		t.Fatalf("starts %+v, want one on host a", starts)
	}
	b.hosts[1].Capacity.CPU = 1000
	b.cell.SetHosts(b.hosts)
	hosts, _ := b.cell.HostsToRecord()
	b.cell.SetRecordedHosts(hosts)
	b.cell.RecordSilence("a", 1, lease.MaxDuration(leaseTime))
	b.advance(leaseTime + time.Second)
	b.report(b.hosts[1], nil, nil)
	b.cell.AllowUnrecorded(true)
	b.cell.Decide()
	if starts := b.cell.Orders().Starts; len(starts) != 0 {
		t.Errorf("starts %+v without a record", starts)
	}
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	if starts := b.cell.Orders().Starts; len(starts) != 1 || starts[0].Host.ID != "b" {
		t.Errorf("starts %+v after the record, want one on host b", starts)
	}
}

// Guards against jobs within the rate of their team that are ranked as excess because a new owner loads all jobs at the
// same time. The rate must use the times of acceptance.
func TestRateIsJudgedByAcceptance(t *testing.T) {
	b := newFixture(t, fold.Rules{Teams: []fold.TeamRule{{Name: "small", Weight: 1}, {Name: "hot", Weight: 1}}}, host("a", 6000))
	for n := range 12 {
		b.cell.RestoreJob(jobOfTeam(100+n, "hot", b.wall-2500), flow.Record{})
	}
	ages := []int64{1900, 1300, 700, 0}
	for n, age := range ages {
		b.cell.RestoreJob(jobOfTeam(n, "small", b.wall-age), flow.Record{})
	}
	started := make(map[string]int)
	for _, s := range b.decide().Starts {
		started[s.Req.Task[:16]]++
	}
	for n := range ages {
		if id := jobOfTeam(n, "", 0).ID; started[id] != 1 {
			t.Errorf("job %s of the small team did not start first; started jobs: %v", id, started)
		}
	}
}
