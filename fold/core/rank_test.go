package core_test

import (
	"fmt"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Guards against urgent jobs that become worthless behind long jobs with time to spare, and against late urgent jobs that
// delay timely ones. Both happen when more work arrives than fits.
func TestLateUrgentJobsComeBeforeLongOnes(t *testing.T) {
	b := newFixture(t, fold.Rules{}, host("a", 1000))
	long := queue(2)
	long.Name, long.SlackFactor = "long", 10
	late, timely := jobOfTeam(1, "crews", b.wall-4000), jobOfTeam(2, "crews", b.wall)
	rebuild := jobOfTeam(3, "crews", b.wall-1000)
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
