package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against a step that never runs again on an approved host which was away for so long that the owner forgot it.
func TestForgottenApprovedHostGetsWork(t *testing.T) {
	cases := []struct {
		name        string
		longRunning bool
		absence     time.Duration
	}{
		{"short absence", false, 10 * time.Second},
		{"long absence", false, 40 * time.Second},
		{"long absence, long-running", true, 40 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rules := advisedRules()
			b := newFixture(t, rules, host("a", 1000))
			waiting := step(2)
			waiting.LongRunning = c.longRunning
			b.cell.AddJob(jobOf(1, rules.Queues[0], waiting), 1)
			// The host is full, so the second task waits while the host is away.
			starts := b.adviseAndDecide(3)
			if starts != 1 {
				t.Fatalf("%d starts, want 1", starts)
			}
			b.report(b.hosts[0], nil, []fold.HostEnd{{Number: 1, Task: jobOf(1, rules.Queues[0], waiting).ID + ".0.0.0", Run: 1, Kind: fold.EndStopped}})
			b.cell.SetHosts(nil)
			b.advance(c.absence)
			b.cell.SetHosts(nil)
			b.advance(time.Second)
			b.hosts[0] = nextIncarnation(b.hosts[0])
			b.applyRoster()
			if starts := b.adviseAndDecide(5); starts != 1 {
				t.Errorf("%d starts after the host has returned, want 1", starts)
			}
		})
	}
}

// adviseAndDecide runs rounds of decisions half a second apart, approves all hosts of each call, and returns the number of
// starts.
func (b *fixture) adviseAndDecide(rounds int) (starts int) {
	for range rounds {
		starts += len(b.decide().Starts)
		for {
			call, ok := b.cell.NextAdviceCall(true)
			if !ok {
				break
			}
			var advice fold.Advice
			for _, id := range call.Hosts {
				advice.Approvals = append(advice.Approvals, fold.Approval{Host: id, Ticket: "ticket"})
			}
			b.cell.ApplyAdvice(call, advice, b.now, nil)
		}
		starts += len(b.decide().Starts)
		b.advance(500 * time.Millisecond)
	}
	return starts
}
