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
)

// newOwner returns a bench whose owner has just taken over from one that used the hosts; none of them has answered.
func newOwner(t *testing.T, hosts ...fold.Host) *bench {
	t.Helper()
	b := &bench{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: hosts}
	b.cell = core.New(core.Times{Lease: 6 * time.Second, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	b.cell.SetTime(b.now, b.wall)
	b.cell.SetAwaited(hosts)
	b.cell.SetHosts(hosts)
	return b
}

// named returns a job of the team with one task.
func named(n int, team string, accepted int64) flow.Job {
	j := job(queue(0), step(1))
	j.ID, j.Team, j.Accepted = fmt.Sprintf("%016x", n), team, accepted
	return j
}

// Pattern: one of many hosts does not answer a new owner. Guards against new jobs that wait for that host although no
// earlier owner can have started them.
func TestNewJobsDoNotAwaitHosts(t *testing.T) {
	b := newOwner(t, host("a", 9000), host("b", 9000))
	b.cell.RestoreJob(named(1, "crews", b.wall), flow.Record{})
	b.cell.AddJob(named(2, "crews", b.wall), 7)
	b.report(b.hosts[0], nil, nil)
	starts := b.decide().Starts
	if len(starts) != 1 || starts[0].Req.Task != named(2, "", 0).ID+".0.0.0" {
		t.Errorf("starts %+v, want one of the new job", starts)
	}
}

// Guards against a team that exceeds its limit because an earlier owner may have started runs of it on hosts that have
// not answered.
func TestLimitWhileHostsAreAwaited(t *testing.T) {
	b := newOwner(t, host("a", 4000), host("b", 4000))
	b.cell.SetRules(fold.Rules{Teams: []fold.TeamRule{{Name: "crews", Limit: fold.Resources{CPU: 4500}}}})
	b.cell.AddJob(named(1, "crews", b.wall), 7)
	b.report(b.hosts[0], nil, nil)
	if got := len(b.decide().Starts); got != 0 {
		t.Errorf("%d starts beside a host that may run work of the team", got)
	}
	b.report(b.hosts[1], nil, nil)
	if got := len(b.decide().Starts); got != 1 {
		t.Errorf("%d starts after all hosts have answered, want 1", got)
	}
}

// Guards against a third owner that does not know of a host for which the second one still waited: a run of the first
// one may be there.
func TestAwaitedHostsAreRecorded(t *testing.T) {
	b := newOwner(t, host("a", 1000), host("b", 1000))
	b.report(b.hosts[0], nil, nil)
	hosts, changed := b.cell.HostsToRecord()
	awaited := slices.IndexFunc(hosts, func(h core.UsedHost) bool { return h.ID == "b" && h.Awaited })
	if !changed || len(hosts) != 2 || awaited < 0 {
		t.Fatalf("recorded %+v, changed %v; want b as awaited", hosts, changed)
	}
	b.cell.SetRecordedHosts(hosts)
	if _, changed := b.cell.HostsToRecord(); changed {
		t.Error("the same hosts are recorded again")
	}
	b.report(b.hosts[1], nil, nil)
	hosts, changed = b.cell.HostsToRecord()
	if !changed || slices.ContainsFunc(hosts, func(h core.UsedHost) bool { return h.Awaited }) {
		t.Errorf("recorded %+v, changed %v; want none awaited", hosts, changed)
	}
}

// Guards against a run without a record of a job that the next owner does not load: the job was accepted after the last
// commit of this owner, perhaps under a newer one.
func TestNoRunsWithoutRecordsOfLaterJobs(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 9000))
	hosts, _ := b.cell.HostsToRecord()
	b.cell.SetRecordedHosts(hosts)
	b.cell.SetCommitted(10)
	b.cell.AddJob(named(1, "crews", b.wall), 10)
	b.cell.AddJob(named(2, "crews", b.wall), 11)
	b.cell.Decide()
	b.cell.Snapshot()
	b.cell.AllowUnrecorded(true)
	b.cell.Decide()
	starts := b.cell.Orders().Starts
	if len(starts) != 1 || starts[0].Req.Task != named(1, "", 0).ID+".0.0.0" {
		t.Errorf("starts %+v, want one of the earlier job", starts)
	}
}

// Pattern: one team sends far more than its rate, and a new owner loads all jobs at once. Guards against jobs within the
// rate of their team that count as excess because they are loaded together.
func TestRateIsJudgedByAcceptance(t *testing.T) {
	b := newBench(t, fold.Rules{Teams: []fold.TeamRule{{Name: "small", Weight: 1}, {Name: "hot", Weight: 1}}}, host("a", 6000))
	for n := range 12 {
		b.cell.RestoreJob(named(100+n, "hot", b.wall-2500), flow.Record{})
	}
	ages := []int64{1900, 1300, 700, 0}
	for n, age := range ages {
		b.cell.RestoreJob(named(n, "small", b.wall-age), flow.Record{})
	}
	started := make(map[string]int)
	for _, s := range b.decide().Starts {
		started[s.Req.Task[:16]]++
	}
	for n := range ages {
		if id := named(n, "", 0).ID; started[id] != 1 {
			t.Errorf("job %s of the small team is not among the first six, which are %v", id, started)
		}
	}
}
