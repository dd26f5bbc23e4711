package core_test

import (
	"fmt"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Pattern: more work has come than fits, some urgent jobs are late already. Guards against urgent jobs that lose what they
// are still worth behind long jobs, which have time left, and against late ones that hold up others in time.
func TestLateUrgentJobsComeBeforeLongOnes(t *testing.T) {
	b := newBench(t, fold.Rules{}, host("a", 1000))
	long := queue(2)
	long.Name, long.SlackFactor = "long", 10
	late, timely := named(1, "crews", b.wall-4000), named(2, "crews", b.wall)
	rebuild := named(3, "crews", b.wall-1000)
	rebuild.Queue, rebuild.Steps = long, []flow.Step{{Count: 1, Size: fold.Resources{CPU: 1000, Memory: 10}, Estimate: 6000}}
	for _, j := range []flow.Job{rebuild, late, timely} {
		b.cell.AddJob(j, 1)
	}
	var order []string
	for n := range 3 {
		starts := b.decide().Starts
		if len(starts) != 1 {
			t.Fatalf("%d starts in round %d, want 1", len(starts), n+1)
		}
		order = append(order, starts[0].Req.Task[:16])
		b.report(b.hosts[0], nil, []fold.HostEnd{{Number: int64(n + 1), Task: starts[0].Req.Task, Run: 1, Kind: fold.EndDone}})
	}
	if want := []string{timely.ID, late.ID, rebuild.ID}; fmt.Sprint(order) != fmt.Sprint(want) {
		t.Errorf("started in the order %v, want %v", order, want)
	}
}
