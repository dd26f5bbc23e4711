package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// crowd returns a cell with full hosts and waiting jobs of three kinds, as in a burst.
func crowd(hosts, waiting int) (*core.Cell, func()) {
	cell := core.New(core.Times{Lease: 6 * time.Second, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	now, wall := fold.Instant(time.Hour), int64(1e9)
	cell.SetTime(now, wall)
	policy := &fold.AdvicePolicy{CallTime: 25 * time.Millisecond, TimePerHost: 300 * time.Microsecond, Validity: 2500 * time.Millisecond}
	quick := fold.Queue{Name: "check", Service: "pool", Attempts: 2, SlackFactor: 1.5, Target: 300 * time.Millisecond, Advice: policy}
	slow := fold.Queue{Name: "rebuild", Service: "pool", Priority: 2, Attempts: 2, SlackFactor: 2.2, Target: 1200 * time.Millisecond}
	rules := fold.Rules{Queues: []fold.Queue{quick, slow}}
	for n := range 20 {
		rules.Teams = append(rules.Teams, fold.TeamRule{Name: fmt.Sprintf("team-%d", n), Weight: 10})
	}
	cell.SetRules(rules)
	var list []fold.Host
	for n := range hosts {
		list = append(list, fold.Host{ID: fmt.Sprintf("host-%03d", n), Address: "a", Incarnation: 1, Service: "pool", Labels: []string{"a", fmt.Sprintf("r%d", n/8)}, Capacity: fold.Resources{CPU: 64000, Memory: 128000}})
	}
	cell.SetHosts(list)
	for _, h := range list {
		cell.ApplyReport(h.ID, now, fold.HoldReply{Clock: wall, Incarnation: 1}, 6*time.Second)
	}
	add := func(n int, q fold.Queue, cpu int64, count int) {
		cell.AddJob(flow.Job{ID: fmt.Sprintf("%016x", n), Team: fmt.Sprintf("team-%d", n%20), Queue: q, Accepted: wall, Steps: []flow.Step{{Count: count, Size: fold.Resources{CPU: cpu, Memory: 8000}, Estimate: 6000, Checkpoints: true}}}, 1)
	}
	// Four tasks of 15 cores leave 4 free on each host.
	for n := range hosts * 4 / 14 {
		add(n, slow, 15000, 14)
	}
	cell.Decide()
	cell.SnapshotRecorded(cell.Snapshot())
	for _, s := range cell.Orders().Starts {
		cell.ApplyStart(s, nil)
	}
	for n := range waiting {
		if n%2 == 0 {
			add(10000+n, quick, 9000, 10)
		} else {
			add(10000+n, slow, 18000, 14)
		}
	}
	return cell, func() {
		now, wall = now.Add(5*time.Millisecond), wall+5
		cell.SetTime(now, wall)
		cell.Decide()
		for {
			if _, ok := cell.NextAdviceCall(false); !ok {
				break
			}
		}
		cell.Orders()
	}
}

// Pattern: hundreds of jobs wait for full hosts. Guards against rounds of decisions that look at each host for each of
// them: the owner then has no time left for calls, and urgent work waits behind its own backlog.
func TestRoundsAreCheapInACrowd(t *testing.T) {
	const hosts, rounds = 350, 20
	cell, round := crowd(hosts, 400)
	round()
	before := cell.Stats().Considered
	for range rounds {
		round()
	}
	if got := (cell.Stats().Considered - before) / rounds; got > hosts {
		t.Errorf("a round looks at %d hosts for 400 waiting jobs, want at most all %d once", got, hosts)
	}
}

// BenchmarkDecideCrowded measures a round of decisions while jobs wait for full hosts.
func BenchmarkDecideCrowded(b *testing.B) {
	for _, waiting := range []int{50, 200, 400} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			_, round := crowd(350, waiting)
			round()
			for b.Loop() {
				round()
			}
		})
	}
}
