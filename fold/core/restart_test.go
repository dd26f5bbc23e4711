package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

// Guards against two runs of a task: a host starts again twice while the only start of a run has no answer. The stop that the
// second incarnation has confirmed does not bind the third one, which may still receive the start.
func TestStopConfirmedByEarlierIncarnation(t *testing.T) {
	again := func(incarnation int64) fold.Host {
		h := host("a", 1000)
		h.Incarnation = incarnation
		return h
	}
	b := newFixture(t, fold.Rules{}, host("a", 1000), host("b", 1000))
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	starts := b.cell.Orders().Starts
	if len(starts) != 1 || starts[0].Host.ID != "a" {
		t.Fatalf("starts %+v, want one on host a", starts)
	}
	b.advance(50 * time.Millisecond)
	b.cell.SetHosts([]fold.Host{again(2), b.hosts[1]})
	stops := b.decide().Stops
	if len(stops) != 1 || stops[0].Host.Incarnation != 2 {
		t.Fatalf("stops %+v, want one at the second incarnation", stops)
	}
	b.cell.ApplyStop(stops[0], nil)
	b.advance(50 * time.Millisecond)
	b.cell.SetHosts([]fold.Host{again(3), b.hosts[1]})
	var stop *core.Stop
	for range 20 {
		b.advance(100 * time.Millisecond)
		b.report(again(3), nil, nil)
		b.report(b.hosts[1], nil, nil)
		orders := b.decide()
		if len(orders.Starts) != 0 {
			t.Fatalf("starts %+v although the third incarnation may still receive the first start", orders.Starts)
		}
		if len(orders.Stops) > 0 {
			stop = &orders.Stops[0]
			break
		}
	}
	if stop == nil || stop.Host.Incarnation != 3 {
		t.Fatalf("stop %+v, want one at the third incarnation", stop)
	}
	b.cell.ApplyStop(*stop, nil)
	b.advance(100 * time.Millisecond)
	b.report(again(3), nil, nil)
	if starts := b.decide().Starts; len(starts) != 1 || starts[0].Req.Run != 2 {
		t.Errorf("starts %+v after the stop, want run 2", starts)
	}
}
