package model_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/model"
)

// Guards against a check that misses a start in an evacuated failure domain, or that reports one which is permitted.
func TestStartsInEvacuatedDomain(t *testing.T) {
	cases := []struct {
		name string
		// before is played between the evacuation of the host and a start on it.
		before func(l *model.Live)
		want   bool
	}{
		{"start within the time", func(*model.Live) { time.Sleep(4900 * time.Millisecond) }, false},
		{"start after the time", func(*model.Live) { time.Sleep(5100 * time.Millisecond) }, true},
		{"another fault", func(l *model.Live) {
			l.RecordFault(time.Minute)
			time.Sleep(5100 * time.Millisecond)
		}, true},
		{"after the evacuation", func(l *model.Live) {
			time.Sleep(6 * time.Second)
			hosts, _ := l.Hosts()
			l.SetEvacuated([]string{hosts[0].ID}, false)
		}, false},
		{"evacuation of another host", func(l *model.Live) {
			hosts, _ := l.Hosts()
			l.SetEvacuated([]string{hosts[0].ID}, false)
			l.SetEvacuated([]string{hosts[1].ID}, true)
			time.Sleep(6 * time.Second)
		}, false},
		{"store away", func(l *model.Live) {
			l.ExcuseEvacuations(10 * time.Second)
			time.Sleep(9 * time.Second)
		}, false},
		{"store just back", func(l *model.Live) {
			l.ExcuseEvacuations(10 * time.Second)
			time.Sleep(14 * time.Second)
		}, false},
		{"store away after the time", func(l *model.Live) {
			time.Sleep(5100 * time.Millisecond)
			l.ExcuseEvacuations(10 * time.Second)
		}, true},
		{"store back for long enough", func(l *model.Live) {
			l.ExcuseEvacuations(10 * time.Second)
			time.Sleep(15100 * time.Millisecond)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newIdleWorld(t, nil)
				job := w.live.DrawJob(watchClass)
				w.live.SetEvacuated([]string{w.hosts[0].ID}, true)
				c.before(w.live)
				w.run(job, 0, 0, time.Second)
				_, violations := w.live.Result()
				if found := model.Rules(violations)["EVAC"] == 1; found != c.want || len(violations) > 1 || !c.want && len(violations) > 0 {
					t.Errorf("violations %q, want one of EVAC: %t", violations, c.want)
				}
			})
		})
	}
}

// Guards against a check that reports an order which was sent before the evacuation and is carried out late.
func TestLateStartInEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newIdleWorld(t, func(d *model.Day) { d.Classes[watchClass].Queue.Advice = nil })
		job := w.live.DrawJob(watchClass)
		w.live.InjectFault(model.Fault{Kind: model.OrdersLate, Duration: time.Second, Factor: 1})
		w.live.SetEvacuated([]string{w.hosts[0].ID}, true)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_ = w.live.Start(ctx, w.hosts[0], fold.StartRequest{Task: flow.TaskName{Job: job.ID}.String(), Run: 1, Fence: 1, LeaseEnd: 1 << 40})
		if counts, violations := w.live.Result(); counts.Starts != 1 || len(violations) > 0 {
			t.Errorf("%d starts, violations %q", counts.Starts, violations)
		}
	})
}
