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

// crowdedCell returns a cell with full hosts and many waiting jobs, and a function that runs one round of decisions.
func crowdedCell(hosts, waiting int, options core.Options) (*core.Cell, func()) {
	cell := core.New(core.Times{Lease: 6 * time.Second, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	cell.SetOptions(options)
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
	// Four tasks of 15 cores leave 4 cores free on each host.
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

// Guards against rounds of decisions that examine each host for each of hundreds of jobs that wait for full hosts. The
// owner then has no time left for calls, and urgent work waits behind the backlog.
func TestRoundsAreCheapInACrowd(t *testing.T) {
	const hosts, rounds = 350, 20
	var counts []int64
	for _, options := range []core.Options{{}, {Speeds: true}} {
		cell, round := crowdedCell(hosts, 400, options)
		round()
		before := cell.Stats().Considered
		for range rounds {
			round()
		}
		got := (cell.Stats().Considered - before) / rounds
		if got > hosts {
			t.Errorf("options %+v: a round examines %d hosts for 400 waiting jobs, want at most each of %d once", options, got, hosts)
		}
		counts = append(counts, got)
	}
	if counts[1] > counts[0] {
		t.Errorf("a round examines %d hosts with speeds, %d without", counts[1], counts[0])
	}
}

// BenchmarkDecideCrowded measures a round of decisions while jobs wait for full hosts.
func BenchmarkDecideCrowded(b *testing.B) {
	for _, options := range []core.Options{{}, {Speeds: true}} {
		for _, waiting := range []int{50, 200, 400} {
			b.Run(fmt.Sprintf("speeds=%v/%d", options.Speeds, waiting), func(b *testing.B) {
				_, round := crowdedCell(350, waiting, options)
				round()
				for b.Loop() {
					round()
				}
			})
		}
	}
}

// BenchmarkUnevenPool measures a simulated pool in which runs end all the time, with and without speeds.
func BenchmarkUnevenPool(b *testing.B) {
	for _, options := range []core.Options{{}, {Speeds: true}} {
		b.Run(fmt.Sprintf("speeds=%v", options.Speeds), func(b *testing.B) {
			for b.Loop() {
				p := newUnevenPool(b, 3, thirds(90)...)
				p.cell.SetOptions(options)
				p.runMixed(5 * time.Second)
			}
		})
	}
}
