package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

const id = "5c0e7a21d94b36f8"

// leaseTime is the lease that hosts grant.
const leaseTime = 6 * time.Second

// bench drives a cell by hand.
type bench struct {
	t    *testing.T
	cell *core.Cell
	now  fold.Instant
	wall int64
	// hosts are those of the roster.
	hosts []fold.Host
}

func newBench(t *testing.T, rules fold.Rules, hosts ...fold.Host) *bench {
	t.Helper()
	b := &bench{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: hosts}
	b.cell = core.New(core.Times{Lease: leaseTime, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	b.cell.SetTime(b.now, b.wall)
	b.cell.SetRules(rules)
	b.roster()
	return b
}

func (b *bench) roster() {
	b.cell.SetHosts(b.hosts)
	for _, h := range b.hosts {
		b.report(h, nil, nil)
	}
}

func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.wall += d.Milliseconds()
	b.cell.SetTime(b.now, b.wall)
}

func (b *bench) report(h fold.Host, runs []fold.HostRun, ends []fold.HostEnd) {
	b.cell.ApplyReport(h.ID, b.now, fold.HoldReply{Clock: b.wall, Incarnation: h.Incarnation, Runs: runs, Ends: ends}, lease.MaxDuration(leaseTime))
}

// decide plans, records and returns the orders.
func (b *bench) decide() core.Orders {
	b.cell.Decide()
	orders := b.cell.Orders()
	writes := b.cell.Snapshot()
	b.cell.SnapshotRecorded(writes)
	more := b.cell.Orders()
	orders.Starts = append(orders.Starts, more.Starts...)
	orders.Stops = append(orders.Stops, more.Stops...)
	orders.Paces = append(orders.Paces, more.Paces...)
	for _, s := range orders.Starts {
		b.cell.ApplyStart(s, nil)
	}
	return orders
}

func host(name string, cpu int64, labels ...string) fold.Host {
	return fold.Host{ID: name, Address: name, Incarnation: 1, Service: "pool", Labels: labels, Capacity: fold.Resources{CPU: cpu, Memory: 100000}}
}

func queue(priority int) fold.Queue {
	return fold.Queue{Name: "q", Service: "pool", Priority: priority, Attempts: 2, SlackFactor: 2, Target: time.Second}
}

func job(q fold.Queue, steps ...flow.Step) flow.Job {
	return flow.Job{ID: id, Team: "crews", Queue: q, Steps: steps, Accepted: 1e9}
}

func step(count int) flow.Step {
	return flow.Step{Count: count, Size: fold.Resources{CPU: 1000, Memory: 10}, Estimate: 1000}
}

// Guards against starts that break a bound of hosts, steps, queues or teams.
func TestStarts(t *testing.T) {
	with := func(s flow.Step, change func(*flow.Step)) flow.Step {
		change(&s)
		return s
	}
	limited := fold.Rules{Teams: []fold.TeamRule{{Name: "crews", Limit: fold.Resources{CPU: 2500}}}}
	cases := []struct {
		name  string
		rules fold.Rules
		hosts []fold.Host
		steps []flow.Step
		want  int
	}{
		{"all fit", fold.Rules{}, []fold.Host{host("a", 4000)}, []flow.Step{step(3)}, 3},
		{"capacity", fold.Rules{}, []fold.Host{host("a", 2500)}, []flow.Step{step(3)}, 2},
		{"limit of the team", limited, []fold.Host{host("a", 9000)}, []flow.Step{step(3)}, 2},
		{"label", fold.Rules{}, []fold.Host{host("a", 9000, "x", "r1"), host("b", 9000, "y", "r1")}, []flow.Step{with(step(1), func(s *flow.Step) { s.Label = "z" })}, 0},
		{"bound on a host", fold.Rules{}, []fold.Host{host("a", 9000), host("b", 9000)}, []flow.Step{with(step(5), func(s *flow.Step) { s.PerHost = 2 })}, 4},
		{"gang that does not fit", fold.Rules{}, []fold.Host{host("a", 2000), host("b", 2000)}, []flow.Step{with(step(5), func(s *flow.Step) { s.Gang = true })}, 0},
		{"gang that fits", fold.Rules{}, []fold.Host{host("a", 2000), host("b", 3000)}, []flow.Step{with(step(5), func(s *flow.Step) { s.Gang = true })}, 5},
		{"later step waits", fold.Rules{}, []fold.Host{host("a", 9000)}, []flow.Step{step(1), with(step(4), func(s *flow.Step) { s.After = []int{0} })}, 1},
		{"filling step takes no cores", fold.Rules{}, []fold.Host{host("a", 2500)}, []flow.Step{with(step(5), func(s *flow.Step) { s.Fill = true })}, 5},
		{"other service", fold.Rules{}, []fold.Host{{ID: "a", Address: "a", Incarnation: 1, Service: "elsewhere", Capacity: fold.Resources{CPU: 9000, Memory: 9000}}}, []flow.Step{step(1)}, 0},
		{"draining host", fold.Rules{}, []fold.Host{{ID: "a", Address: "a", Incarnation: 1, Service: "pool", Draining: true, Capacity: fold.Resources{CPU: 9000, Memory: 9000}}}, []flow.Step{step(1)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, c.rules, c.hosts...)
			b.cell.AddJob(job(queue(0), c.steps...), 1)
			if got := len(b.decide().Starts); got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
		})
	}
}

// Guards against an occurrence that starts before it is due, or a schedule that runs it again.
func TestSchedule(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 9000))
	j := job(queue(0), step(1))
	j.Times, j.Start, j.Every = 2, b.wall+1000, 2000
	b.cell.AddJob(j, 1)
	for _, c := range []struct {
		wait time.Duration
		want int
	}{{0, 0}, {900 * time.Millisecond, 0}, {100 * time.Millisecond, 1}, {1900 * time.Millisecond, 0}, {100 * time.Millisecond, 1}, {5 * time.Second, 0}} {
		b.wait(c.wait)
		if got := len(b.decide().Starts); got != c.want {
			t.Errorf("%d starts after %s more, want %d", got, c.wait, c.want)
		}
	}
}

// Guards against the start of a task whose earlier run may still be on a host that does not answer, and against one that
// is never started again.
func TestSilentHost(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	if got := len(b.decide().Starts); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	b.hosts = append(b.hosts, host("b", 1000))
	b.cell.SetHosts(b.hosts)
	b.report(b.hosts[1], nil, nil)
	b.cell.RecordSilence("a", 1, lease.MaxDuration(leaseTime))
	for range 50 {
		b.wait(100 * time.Millisecond)
		b.report(b.hosts[1], nil, nil)
		if got := len(b.decide().Starts); got != 0 {
			t.Fatalf("started again although the lease has not ended")
		}
	}
	b.wait(2 * time.Second)
	if got := len(b.decide().Starts); got != 1 {
		t.Errorf("%d starts after the lease has ended, want 1", got)
	}
}

// Guards against a start that was still waiting for its record when its host came back in a new life.
func TestPlanOfALostHost(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	writes := b.cell.Snapshot()
	reborn := host("a", 1000)
	reborn.Incarnation = 2
	b.cell.SetHosts([]fold.Host{reborn})
	b.cell.SnapshotRecorded(writes)
	if starts := b.cell.Orders().Starts; len(starts) != 0 {
		t.Errorf("%d starts on a life that the plan was not made for", len(starts))
	}
}

// Guards against an acknowledgement of an end that is not recorded yet.
func TestAcknowledgement(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.decide()
	b.report(b.hosts[0], nil, []fold.HostEnd{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: fold.EndDone}})
	b.cell.Decide()
	writes := b.cell.Snapshot()
	if acks := b.cell.Orders().Acks; len(acks) != 0 || b.cell.Contacts()[0].Acked != 0 {
		t.Errorf("ends acknowledged before their record: %+v", acks)
	}
	if state, _, _ := b.cell.RecordedState(id); state == flow.Completed {
		t.Error("shown as completed before its record")
	}
	b.cell.SnapshotRecorded(writes)
	if acks := b.cell.Orders().Acks; len(acks) != 1 || acks[0] != (core.Ack{Host: "a", Incarnation: 1, Number: 1}) || b.cell.Contacts()[0].Acked != 1 {
		t.Errorf("acknowledged after the record: %+v, want end 1", acks)
	}
}

// Guards against a failure that is counted again by each owner, and a job that is given up too late.
func TestAttempts(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 1000))
	b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{
		State: flow.Running, Parts: []flow.Part{{Runs: []uint32{1}, Fails: []uint32{1}, Done: []byte{0}}},
	})
	end := fold.HostEnd{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: fold.EndFailed}
	b.report(b.hosts[0], nil, []fold.HostEnd{end})
	orders := b.decide()
	if len(orders.Starts) != 1 || orders.Starts[0].Req.Run != 2 {
		t.Fatalf("starts %+v, want run 2", orders.Starts)
	}
	b.report(b.hosts[0], nil, []fold.HostEnd{{Number: 2, Task: id + ".0.0.0", Run: 2, Kind: fold.EndFailed}})
	if got := len(b.decide().Starts); got != 0 {
		t.Errorf("%d starts after the attempts were used up", got)
	}
	if state, _, ok := b.cell.RecordedState(id); ok && state != flow.Failed {
		t.Errorf("state %s, want failed", state)
	}
}

// Guards against an owner that starts work while runs without records of an earlier owner may be on a host that has not
// answered, or that stops such a run.
func TestRunsWithoutRecords(t *testing.T) {
	b := &bench{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: []fold.Host{host("a", 1000), host("b", 1000)}}
	b.cell = core.New(core.Times{Lease: 6 * time.Second, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	b.cell.SetTime(b.now, b.wall)
	b.cell.SetAwaited(b.hosts)
	b.cell.RestoreJob(job(queue(0), step(1)), flow.Record{})
	b.cell.SetHosts(b.hosts)
	b.report(b.hosts[0], nil, nil)
	if got := len(b.decide().Starts); got != 0 {
		t.Fatalf("%d starts before all hosts have answered", got)
	}
	b.report(b.hosts[1], []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 50}}, nil)
	orders := b.decide()
	if len(orders.Starts)+len(orders.Stops) != 0 {
		t.Errorf("orders %+v, although the task runs", orders)
	}
	if state, _, _ := b.cell.RecordedState(id); state != flow.Running {
		t.Errorf("state %s, want running", state)
	}
}

// Pattern: urgent jobs come while the hosts are full of long work. Guards against urgent work that waits for it, and
// against stops that cost more than a checkpoint.
func TestUrgentWorkMakesRoom(t *testing.T) {
	cases := []struct {
		name  string
		saves bool
		want  int
	}{
		{"with checkpoints", true, 1},
		{"without checkpoints", false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, fold.Rules{}, host("a", 2000))
			long := step(2)
			long.Estimate, long.Checkpoints = 60000, c.saves
			slow := job(queue(2), long)
			slow.ID = "aaaaaaaaaaaaaaaa"
			b.cell.AddJob(slow, 1)
			b.decide()
			b.cell.AddJob(job(queue(0), step(1)), 1)
			b.wait(100 * time.Millisecond)
			if got := len(b.decide().Stops); got != c.want {
				t.Errorf("%d stops, want %d", got, c.want)
			}
		})
	}
}

// Pattern: a host fails all that it starts. Guards against a host that goes on eating attempts of one job after the other.
func TestFailingHostIsBarred(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 9000))
	for n, name := range []string{"aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb"} {
		j := job(queue(0), step(1))
		j.ID = name
		b.cell.AddJob(j, 1)
		b.decide()
		b.report(b.hosts[0], nil, []fold.HostEnd{{Number: int64(n + 1), Task: name + ".0.0.0", Run: 1, Kind: fold.EndFailed}})
	}
	if got := len(b.decide().Starts); got != 0 {
		t.Errorf("%d starts on a host on which two jobs in a row have failed", got)
	}
	b.wait(4 * time.Second)
	b.report(b.hosts[0], nil, nil)
	if got := len(b.decide().Starts); got == 0 {
		t.Error("the host was not tried again")
	}
}

// Pattern: filling tasks beside a task that serves. Guards against a serving task that stays over its target while they
// work on, and against filling tasks that stay slow when nothing is disturbed.
func TestPace(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 4000))
	serve, fill := step(1), step(1)
	serve.LongRunning, serve.Target, fill.Fill, fill.Estimate = true, 100, true, 60000
	b.cell.AddJob(job(queue(0), serve, fill), 1)
	b.decide()
	tell := func(load int64) []core.Pace {
		b.wait(700 * time.Millisecond)
		b.report(b.hosts[0], []fold.HostRun{
			{Task: id + ".0.0.0", Run: 1, Percent: 100, Load: load}, {Task: id + ".0.1.0", Run: 1, Percent: 10},
		}, nil)
		paces := b.decide().Paces
		for _, p := range paces {
			b.cell.ApplyPace(p, nil)
		}
		return paces
	}
	if paces := tell(150); len(paces) != 1 || paces[0].Percent != 0 {
		t.Errorf("paces %+v over the target, want 0 percent", paces)
	}
	if paces := tell(10); len(paces) != 1 || paces[0].Percent <= 0 {
		t.Errorf("paces %+v far below the target, want more", paces)
	}
}

// Guards against calls to the adviser, again and again, for a gang that has no room even where it may run: they keep others
// from their calls.
func TestNoAdviceForAGangWithoutRoom(t *testing.T) {
	asked := queue(0)
	asked.Advice = &fold.AdvicePolicy{CallTime: time.Millisecond, Validity: 2 * time.Second}
	gang := step(5)
	gang.Gang = true
	cases := []struct {
		name string
		cpu  int64
		want bool
	}{
		{"room for four", 2000, false},
		{"room for six", 3000, true},
	}
	for _, c := range cases {
		b := newBench(t, fold.Rules{}, host("a", c.cpu), host("b", c.cpu))
		b.cell.AddJob(job(asked, gang), 1)
		b.cell.Decide()
		if _, ok := b.cell.NextAdviceCall(true); ok != c.want {
			t.Errorf("%s: called: %v, want %v", c.name, ok, c.want)
		}
	}
}

// Pattern: many late jobs wait for hosts that are full, and one place after the other becomes free. Guards against a call to
// the adviser by each of them for the one place, which only one gets: the calls keep the adviser from others.
func TestCallsInACrowd(t *testing.T) {
	const hosts, waiting = 20, 50
	asked := queue(2)
	asked.Advice = &fold.AdvicePolicy{CallTime: 40 * time.Millisecond, Validity: 2500 * time.Millisecond}
	var list []fold.Host
	for n := range hosts {
		list = append(list, host(fmt.Sprintf("h%02d", n), 1000))
	}
	b := newBench(t, fold.Rules{Queues: []fold.Queue{asked}}, list...)
	for n := range waiting {
		j := job(asked, step(5))
		j.ID = fmt.Sprintf("%016x", n+1)
		b.cell.AddJob(j, 1)
	}
	// advise answers all calls that are made now, and returns how many.
	advise := func() (calls int) {
		var asks []core.AdviceCall
		for {
			ask, ok := b.cell.NextAdviceCall(true)
			if !ok {
				break
			}
			asks = append(asks, ask)
		}
		b.wait(40 * time.Millisecond)
		for _, ask := range asks {
			var advice fold.Advice
			for _, id := range ask.Hosts {
				advice.Approvals = append(advice.Approvals, fold.Approval{Host: id, Ticket: "t"})
			}
			b.cell.ApplyAdvice(ask, advice, b.now, nil)
		}
		return len(asks)
	}
	var running []core.Start
	for range 20 {
		running = append(running, b.decide().Starts...)
		advise()
	}
	if len(running) != hosts {
		t.Fatalf("%d starts on %d hosts", len(running), hosts)
	}
	calls, ended := 0, 0
	for n := range hosts {
		s := running[n]
		b.report(s.Host, nil, []fold.HostEnd{{Number: 1, Task: s.Req.Task, Run: s.Req.Run, Kind: fold.EndDone}})
		ended++
		for range 4 {
			b.decide()
			calls += advise()
		}
	}
	if calls > 4*ended {
		t.Errorf("%d calls for %d places", calls, ended)
	}
}
