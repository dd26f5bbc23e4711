package core_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// advisedRules returns rules with two queues of the same service that need advice.
func advisedRules() fold.Rules {
	first := queue(2)
	first.Name, first.Advice = "first", &fold.AdvicePolicy{CallTime: 560 * time.Millisecond, TimePerHost: 8 * time.Millisecond, Validity: 2 * time.Second}
	second := first
	second.Name = "second"
	return fold.Rules{Revision: 1, Queues: []fold.Queue{first, second}}
}

// jobOf returns a job of a queue with one step.
func jobOf(n int, q fold.Queue, s flow.Step) flow.Job {
	j := job(q, s)
	j.ID = jobOfTeam(n, "", 0).ID
	return j
}

// Guards against a queue that never gets advice again, and against a crash of the owner, because the configuration of another
// queue changed while a call for it was in flight.
func TestQueueChangesDuringCall(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fold.Queue)
		answer error
	}{
		{"another service", func(q *fold.Queue) { q.Service = "elsewhere" }, nil},
		{"another service, no answer", func(q *fold.Queue) { q.Service = "elsewhere" }, fold.Unknown.New("no answer")},
		{"no advice", func(q *fold.Queue) { q.Advice = nil }, nil},
		{"no advice, no answer", func(q *fold.Queue) { q.Advice = nil }, fold.Unknown.New("no answer")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rules := advisedRules()
			b := newFixture(t, rules, host("a", 4000), host("b", 4000))
			b.cell.AddJob(jobOf(1, rules.Queues[0], step(200)), 1)
			b.cell.Decide()
			call, ok := b.cell.NextAdviceCall(true)
			if !ok {
				t.Fatal("no call for the first queue")
			}
			changed := advisedRules()
			changed.Revision = 2
			c.change(&changed.Queues[0])
			b.cell.SetRules(changed)
			b.cell.ApplyAdvice(call, fold.Advice{}, b.now, c.answer)
			b.cell.Cancel(jobOf(1, rules.Queues[0], step(1)).ID)
			b.cell.AddJob(jobOf(2, rules.Queues[1], step(2)), 1)
			b.advance(time.Second)
			b.cell.Decide()
			if call, ok := b.cell.NextAdviceCall(true); !ok || call.Step != jobOf(2, rules.Queues[1], step(2)).ID+".0.0" {
				t.Errorf("call for %q, want one for the second queue", call.Step)
			}
		})
	}
}

// Guards against a large step that gets no advice although no call is in flight: adding and subtracting the shares of
// calls must not leave a rounding error behind.
func TestNoShareWithoutCalls(t *testing.T) {
	rules := advisedRules()
	b := newFixture(t, rules, host("a", 4000), host("b", 6000))
	// In floating point, three tenths minus three times a tenth is above zero.
	for n := range 3 {
		b.cell.AddJob(jobOf(n, rules.Queues[0], step(1)), 1)
	}
	b.cell.Decide()
	var calls []core.AdviceCall
	for {
		call, ok := b.cell.NextAdviceCall(true)
		if !ok {
			break
		}
		calls = append(calls, call)
	}
	if len(calls) < 3 {
		t.Fatalf("%d calls in flight, want 3", len(calls))
	}
	for _, call := range calls {
		b.cell.ApplyAdvice(call, fold.Advice{}, b.now, nil)
	}
	for n := range calls {
		b.cell.Cancel(jobOf(n, rules.Queues[0], step(1)).ID)
	}
	b.cell.AddJob(jobOf(9, rules.Queues[1], step(1000)), 1)
	b.advance(time.Second)
	b.cell.Decide()
	if _, ok := b.cell.NextAdviceCall(true); !ok {
		t.Error("no call for a step that needs more than the whole capacity")
	}
}
