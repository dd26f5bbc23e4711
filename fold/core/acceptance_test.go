package core_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/lease"
)

// startUnanswered submits a task, orders its start on the only host and applies an outcome to each try.
func (b *fixture) startUnanswered(outcome error) {
	b.cell.AddJob(job(queue(0), step(1)), 1)
	b.cell.Decide()
	b.cell.SnapshotRecorded(b.cell.Snapshot())
	for starts := b.cell.Orders().Starts; len(starts) > 0; starts = b.cell.Orders().Starts {
		b.advance(200 * time.Millisecond)
		b.cell.ApplyStart(starts[0], outcome)
	}
}

// Guards against a host that gets no work for good although it answers: each reason to give it none must end by itself.
func TestHostThatAnswersGetsWork(t *testing.T) {
	restart := func(b *fixture) {
		b.hosts[0] = nextIncarnation(b.hosts[0])
		b.cell.SetHosts(b.hosts)
	}
	silence := func(b *fixture, incarnation int64) {
		b.cell.RecordSilence("a", incarnation, lease.MaxDuration(leaseTime))
	}
	cases := []struct {
		name string
		// exclude keeps the host from getting work.
		exclude func(b *fixture)
		// within is how long the host may get no work although it answers.
		within time.Duration
	}{
		{"nothing", func(*fixture) {}, 0},
		{"silent", func(b *fixture) { silence(b, 1) }, 0},
		{"silent, then started again", func(b *fixture) { silence(b, 1); restart(b) }, 0},
		{"started again, then silent", func(b *fixture) { restart(b); silence(b, 2) }, 0},
		{"late silence of an earlier incarnation", func(b *fixture) { restart(b); silence(b, 1) }, 0},
		{"roster is late", func(b *fixture) {
			restarted := nextIncarnation(b.hosts[0])
			b.report(restarted, nil, nil)
			b.advance(time.Second)
			silence(b, 2)
			b.advance(time.Second)
			restart(b)
		}, 0},
		{"absent from the roster", func(b *fixture) {
			b.cell.SetHosts(nil)
			b.advance(time.Second)
			b.cell.SetHosts(b.hosts)
		}, 0},
		{"forgotten", func(b *fixture) {
			b.cell.SetHosts(nil)
			b.advance(time.Minute)
			b.cell.SetHosts(nil)
			b.cell.SetHosts(b.hosts)
		}, 0},
		{"has restarted, as it answers to a start", func(b *fixture) {
			b.startUnanswered(fold.HostRestarted.New("another incarnation"))
		}, time.Second},
		{"unhealthy", func(b *fixture) { b.startUnanswered(fold.HostUnhealthy.New("try later")) }, 1100 * time.Millisecond},
		{"run without a record", func(b *fixture) {
			b.report(b.hosts[0], []fold.HostRun{{Task: id + ".0.0.7", Run: 3}}, nil)
		}, 2100 * time.Millisecond},
		// A start without an answer may be carried out for 13 s.
		{"no answer to a start", func(b *fixture) {
			b.startUnanswered(fold.Unknown.New("no answer"))
			restart(b)
		}, 13 * time.Second},
		{"no answer to a start, then silent, then started again twice", func(b *fixture) {
			b.startUnanswered(fold.Unknown.New("no answer"))
			silence(b, 1)
			restart(b)
			b.report(b.hosts[0], nil, nil)
			silence(b, 2)
			restart(b)
		}, 13 * time.Second},
	}
	for _, c := range cases {
		for _, stops := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stops answered %v", c.name, stops), func(t *testing.T) {
				b := newFixture(t, fold.Rules{}, host("a", 4000))
				c.exclude(b)
				later := job(queue(0), step(1))
				later.ID = "ffffffffffffffff"
				b.cell.AddJob(later, 2)
				if after, ok := b.untilStartOf(later.ID, c.within+time.Second, stops); !ok || after > c.within {
					t.Errorf("the host gets work after %s (%v), want at most %s after it answers", after, ok, c.within)
				}
			})
		}
	}
}

// untilStartOf returns how long the host reports that it has no runs until it gets a task of the job. Orders to stop are
// answered if stops is true.
func (b *fixture) untilStartOf(jobID string, limit time.Duration, stops bool) (after time.Duration, ok bool) {
	const interval = 20 * time.Millisecond
	for ; after <= limit; after += interval {
		b.report(b.hosts[0], nil, nil)
		orders := b.decide()
		for _, s := range orders.Starts {
			if s.Job == jobID {
				return after, true
			}
		}
		b.answerStops(orders.Stops, stops)
		b.advance(interval)
	}
	return after, false
}

func (b *fixture) answerStops(orders []core.Stop, stops bool) {
	for _, s := range orders {
		if stops {
			b.cell.ApplyStop(s, fold.RunStale.New("the run has ended"))
		} else {
			b.cell.ApplyStop(s, fold.Unknown.New("no answer"))
		}
	}
}
