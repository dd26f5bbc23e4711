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

// fixture holds a cell, its time and its hosts.
type fixture struct {
	t    testing.TB
	cell *core.Cell
	now  fold.Instant
	wall int64
	// hosts is the roster.
	hosts []fold.Host
}

func newFixture(t testing.TB, rules fold.Rules, hosts ...fold.Host) *fixture {
	t.Helper()
	b := &fixture{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: hosts}
	b.resetCell()
	b.cell.SetRules(rules)
	b.applyRoster()
	return b
}

// resetCell replaces the cell by a new one.
func (b *fixture) resetCell() {
	b.cell = core.New(core.Times{Lease: leaseTime, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	b.cell.SetTime(b.now, b.wall)
}

func (b *fixture) applyRoster() {
	b.cell.SetHosts(b.hosts)
	for _, h := range b.hosts {
		b.report(h, nil, nil)
	}
}

func (b *fixture) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.wall += d.Milliseconds()
	b.cell.SetTime(b.now, b.wall)
}

func (b *fixture) report(h fold.Host, runs []fold.HostRun, ends []fold.HostEnd) {
	b.cell.ApplyReport(h.ID, b.now, fold.HoldReply{Clock: b.wall, Incarnation: h.Incarnation, Runs: runs, Ends: ends}, lease.MaxDuration(leaseTime))
}

// decide plans runs, records them and returns all orders.
func (b *fixture) decide() core.Orders {
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

// Guards against starts that exceed the capacity or labels of hosts, or the limits of steps, queues or teams.
func TestStarts(t *testing.T) {
	changed := func(s flow.Step, change func(*flow.Step)) flow.Step {
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
		{"host capacity", fold.Rules{}, []fold.Host{host("a", 2500)}, []flow.Step{step(3)}, 2},
		{"team limit", limited, []fold.Host{host("a", 9000)}, []flow.Step{step(3)}, 2},
		{"label", fold.Rules{}, []fold.Host{host("a", 9000, "x", "r1"), host("b", 9000, "y", "r1")}, []flow.Step{changed(step(1), func(s *flow.Step) { s.Label = "z" })}, 0},
		{"tasks per host", fold.Rules{}, []fold.Host{host("a", 9000), host("b", 9000)}, []flow.Step{changed(step(5), func(s *flow.Step) { s.PerHost = 2 })}, 4},
		{"gang that does not fit", fold.Rules{}, []fold.Host{host("a", 2000), host("b", 2000)}, []flow.Step{changed(step(5), func(s *flow.Step) { s.Gang = true })}, 0},
		{"gang that fits", fold.Rules{}, []fold.Host{host("a", 2000), host("b", 3000)}, []flow.Step{changed(step(5), func(s *flow.Step) { s.Gang = true })}, 5},
		{"later step waits", fold.Rules{}, []fold.Host{host("a", 9000)}, []flow.Step{step(1), changed(step(4), func(s *flow.Step) { s.After = []int{0} })}, 1},
		{"fill step takes no cores", fold.Rules{}, []fold.Host{host("a", 2500)}, []flow.Step{changed(step(5), func(s *flow.Step) { s.Fill = true })}, 5},
		{"other service", fold.Rules{}, []fold.Host{{ID: "a", Address: "a", Incarnation: 1, Service: "elsewhere", Capacity: fold.Resources{CPU: 9000, Memory: 9000}}}, []flow.Step{step(1)}, 0},
		{"draining host", fold.Rules{}, []fold.Host{{ID: "a", Address: "a", Incarnation: 1, Service: "pool", Draining: true, Capacity: fold.Resources{CPU: 9000, Memory: 9000}}}, []flow.Step{step(1)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, c.rules, c.hosts...)
			b.cell.AddJob(job(queue(0), c.steps...), 1)
			if got := len(b.decide().Starts); got != c.want {
				t.Errorf("%d starts, want %d", got, c.want)
			}
		})
	}
}

// Guards against an occurrence that starts before it is due, and against a schedule that runs an occurrence twice.
func TestSchedule(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 9000))
	j := job(queue(0), step(1))
	j.Times, j.Start, j.Every = 2, b.wall+1000, 2000
	b.cell.AddJob(j, 1)
	for _, c := range []struct {
		wait time.Duration
		want int
	}{{0, 0}, {900 * time.Millisecond, 0}, {100 * time.Millisecond, 1}, {1900 * time.Millisecond, 0}, {100 * time.Millisecond, 1}, {5 * time.Second, 0}} {
		b.advance(c.wait)
		if got := len(b.decide().Starts); got != c.want {
			t.Errorf("%d starts after another %s, want %d", got, c.wait, c.want)
		}
	}
}

// Guards against a second start of a task while its first run may still be on a silent host, and against a task that is not
// restarted after the lease has ended.
func TestSilentHost(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	if got := len(b.decide().Starts); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	b.hosts = append(b.hosts, host("b", 1000))
	b.cell.SetHosts(b.hosts)
	b.report(b.hosts[1], nil, nil)
	b.cell.RecordSilence("a", 1, lease.MaxDuration(leaseTime))
	for range 50 {
		b.advance(100 * time.Millisecond)
		b.report(b.hosts[1], nil, nil)
		if got := len(b.decide().Starts); got != 0 {
			t.Fatalf("task restarted although the lease has not ended")
		}
	}
	b.advance(2 * time.Second)
	if got := len(b.decide().Starts); got != 1 {
		t.Errorf("%d starts after the lease has ended, want 1", got)
	}
}

// Guards against a start on a host that has restarted while the start waited for its record.
func TestPlanOfALostHost(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	writes := b.cell.Snapshot()
	restarted := host("a", 1000)
	restarted.Incarnation = 2
	b.cell.SetHosts([]fold.Host{restarted})
	b.cell.SnapshotRecorded(writes)
	if starts := b.cell.Orders().Starts; len(starts) != 0 {
		t.Errorf("%d starts on an incarnation that the plan was not made for", len(starts))
	}
}

// Guards against an acknowledgement of an end before the end is recorded. The host would then drop the end.
func TestAcknowledgement(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.decide()
	b.report(b.hosts[0], nil, []fold.HostEnd{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: fold.EndDone}})
	b.cell.Decide()
	writes := b.cell.Snapshot()
	if acks := b.cell.Orders().Acks; len(acks) != 0 || b.cell.Contacts()[0].Acked != 0 {
		t.Errorf("ends acknowledged before they are recorded: %+v", acks)
	}
	if state, _, _ := b.cell.RecordedState(id); state == flow.Completed {
		t.Error("job reported as completed before its record is durable")
	}
	b.cell.SnapshotRecorded(writes)
	if acks := b.cell.Orders().Acks; len(acks) != 1 || acks[0] != (core.Ack{Host: "a", Incarnation: 1, Number: 1}) || b.cell.Contacts()[0].Acked != 1 {
		t.Errorf("acknowledgements after the record: %+v, want end 1", acks)
	}
}

// Guards against a failure that a new owner counts again, and against a job that gets more attempts than its queue allows.
func TestAttempts(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
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
		t.Errorf("%d starts after all attempts failed", got)
	}
	if state, _, ok := b.cell.RecordedState(id); ok && state != flow.Failed {
		t.Errorf("state %s, want failed", state)
	}
}

// Guards against a new owner that starts work before all hosts have answered: an earlier owner may have started runs there
// without a record. Also guards against an owner that stops such a run instead of adopting it.
func TestRunsWithoutRecords(t *testing.T) {
	b := &fixture{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: []fold.Host{host("a", 1000), host("b", 1000)}}
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
		t.Errorf("orders %+v, want none because the task runs", orders)
	}
	if state, _, _ := b.cell.RecordedState(id); state != flow.Running {
		t.Errorf("state %s, want running", state)
	}
}

// Guards against urgent jobs that wait for long tasks on full hosts, and against preemption of tasks without checkpoints,
// which would lose all of their work.
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
			b := newFixture(t, fold.Rules{}, host("a", 2000))
			long := step(2)
			long.Estimate, long.Checkpoints = 60000, c.saves
			slow := job(queue(2), long)
			slow.ID = "aaaaaaaaaaaaaaaa"
			b.cell.AddJob(slow, 1)
			b.decide()
			b.cell.AddJob(job(queue(0), step(1)), 1)
			b.advance(100 * time.Millisecond)
			if got := len(b.decide().Stops); got != c.want {
				t.Errorf("%d stops, want %d", got, c.want)
			}
		})
	}
}

// Guards against a faulty host that fails every task and so uses up the attempts of one job after the other.
func TestFailingHostIsBarred(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 9000))
	for n, name := range []string{"aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb"} {
		j := job(queue(0), step(1))
		j.ID = name
		b.cell.AddJob(j, 1)
		b.decide()
		b.report(b.hosts[0], nil, []fold.HostEnd{{Number: int64(n + 1), Task: name + ".0.0.0", Run: 1, Kind: fold.EndFailed}})
	}
	if got := len(b.decide().Starts); got != 0 {
		t.Errorf("%d starts on a host where two jobs in a row failed", got)
	}
	b.advance(4 * time.Second)
	b.report(b.hosts[0], nil, nil)
	if got := len(b.decide().Starts); got == 0 {
		t.Error("no start on the host after its quarantine")
	}
}

// Guards against a serving task that stays over its latency target because fill tasks on its host are not slowed down, and
// against fill tasks that stay slow after the latency has dropped.
func TestPace(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 4000))
	serving, filling := step(1), step(1)
	serving.LongRunning, serving.Target, filling.Fill, filling.Estimate = true, 100, true, 60000
	b.cell.AddJob(job(queue(0), serving, filling), 1)
	b.decide()
	reportLoad := func(load int64) []core.Pace {
		b.advance(700 * time.Millisecond)
		b.report(b.hosts[0], []fold.HostRun{
			{Task: id + ".0.0.0", Run: 1, Percent: 100, Load: load}, {Task: id + ".0.1.0", Run: 1, Percent: 10},
		}, nil)
		paces := b.decide().Paces
		for _, p := range paces {
			b.cell.ApplyPace(p, nil)
		}
		return paces
	}
	if paces := reportLoad(150); len(paces) != 1 || paces[0].Percent != 0 {
		t.Errorf("paces %+v above the latency target, want 0 percent", paces)
	}
	if paces := reportLoad(10); len(paces) != 1 || paces[0].Percent <= 0 {
		t.Errorf("paces %+v far below the latency target, want an increase", paces)
	}
}

// Guards against a fill task that an earlier owner has slowed down and that stays slow after a takeover.
func TestPaceAfterTakeover(t *testing.T) {
	filling := step(1)
	filling.Fill, filling.Estimate = true, 60000
	b := newFixture(t, fold.Rules{})
	b.cell.RestoreJob(job(queue(0), filling), recordedRun(host("a", 4000)))
	b.hosts = []fold.Host{host("a", 4000)}
	b.cell.SetHosts(b.hosts)
	b.report(b.hosts[0], []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, nil)
	b.advance(time.Second)
	paces := b.decide().Paces
	if len(paces) != 1 || paces[0].Percent != 100 {
		t.Fatalf("paces %+v after a takeover, want full speed", paces)
	}
	b.cell.ApplyPace(paces[0], nil)
	b.advance(time.Second)
	if paces := b.decide().Paces; len(paces) > 0 {
		t.Errorf("paces %+v again after the host has confirmed it", paces)
	}
}

// Guards against repeated calls to the adviser for a gang that does not fit on the hosts. They would delay calls for other
// steps.
func TestNoAdviceForAGangWithoutRoom(t *testing.T) {
	advised := queue(0)
	advised.Advice = &fold.AdvicePolicy{CallTime: time.Millisecond, Validity: 2 * time.Second}
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
		b := newFixture(t, fold.Rules{}, host("a", c.cpu), host("b", c.cpu))
		b.cell.AddJob(job(advised, gang), 1)
		b.cell.Decide()
		if _, ok := b.cell.NextAdviceCall(true); ok != c.want {
			t.Errorf("%s: adviser called: %v, want %v", c.name, ok, c.want)
		}
	}
}

// Guards against a call to the adviser by each of many waiting jobs whenever a single slot becomes free on full hosts. Only
// one of them can use the slot, and the calls delay those of others.
func TestCallsInACrowd(t *testing.T) {
	const hosts, waiting = 20, 50
	advised := queue(2)
	advised.Advice = &fold.AdvicePolicy{CallTime: 40 * time.Millisecond, Validity: 2500 * time.Millisecond}
	var list []fold.Host
	for n := range hosts {
		list = append(list, host(fmt.Sprintf("h%02d", n), 1000))
	}
	b := newFixture(t, fold.Rules{Queues: []fold.Queue{advised}}, list...)
	for n := range waiting {
		j := job(advised, step(5))
		j.ID = fmt.Sprintf("%016x", n+1)
		b.cell.AddJob(j, 1)
	}
	// advise answers all calls that are due and returns their number.
	advise := func() (calls int) {
		var pending []core.AdviceCall
		for {
			ask, ok := b.cell.NextAdviceCall(true)
			if !ok {
				break
			}
			pending = append(pending, ask)
		}
		b.advance(40 * time.Millisecond)
		for _, ask := range pending {
			var advice fold.Advice
			for _, id := range ask.Hosts {
				advice.Approvals = append(advice.Approvals, fold.Approval{Host: id, Ticket: "t"})
			}
			b.cell.ApplyAdvice(ask, advice, b.now, nil)
		}
		return len(pending)
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
		t.Errorf("%d calls to the adviser for %d free slots", calls, ended)
	}
}
