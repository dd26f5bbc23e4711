package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
)

// Guards against a host whose reports are ignored for ever: the time of day on its machine went back before it started again, so
// that its incarnation has a lower number than the one before.
func TestIncarnationWithLowerNumber(t *testing.T) {
	first, other := host("a", 1000), host("b", 1000)
	first.Incarnation = 10
	restarted := first
	restarted.Incarnation = 9
	b := newFixture(t, fold.Rules{}, first, other)
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.decide()
	b.advance(50 * time.Millisecond)
	b.report(first, []fold.HostRun{{Task: id + ".0.0.0", Run: 1, Percent: 10}}, nil)
	starts := 0
	for range 300 {
		b.advance(100 * time.Millisecond)
		b.hosts = []fold.Host{restarted, other}
		b.applyRoster()
		starts += len(b.decide().Starts)
	}
	if starts != 1 {
		t.Errorf("%d starts in 30 s after the host has started again without the run, want 1", starts)
	}
}
